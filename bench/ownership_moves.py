"""What moves of shards cost: churn for each event, imbalance, and unavailable time.

Churn and imbalance are those of the plans alone. Unavailable times are those of whole
domains of machines over a virtual clock, with links of 0 to 12 ms and a store that
answers within 10 ms. Run as ``python -m bench.ownership_moves``.
"""

import os
import platform
import random
from typing import NamedTuple

from fuchsiamoor.core import keys, settings
from fuchsiamoor.ownership import (
    balance,
    drafts,
    isolation,
    loads,
    overrides,
    placement,
)
from fuchsiamoor.testing import ownership_data as builders
from fuchsiamoor.testing import ownership_faults as faults
from fuchsiamoor.testing import ownership_simulation as simulation

MEMBERS = 13
SHARDS = 256
KEYS = 20_000
REQUESTS_PER_S = 13_000
REPORTED = 16
MINUTES = 10
PLANS_PER_MINUTE = 30
MOVES_PER_MINUTE = 60
RUNS = 20
PLACES = faults.DATA_CENTRES[:4]
STRUCK_MS = 3_000
WATCHED_MS = 9_000


class Traffic(NamedTuple):
    """Requests per second of each key hash, and the hottest ones in order."""

    rates: dict[int, float]
    hottest: list[int]


def list_targets(count: int = MEMBERS) -> list[placement.Target]:
    """Return targets of one weight, spread over four data centres."""
    return [
        placement.Target(
            f"m{n:02}", f"m{n:02}", PLACES[n % 4].rpartition("-")[0], PLACES[n % 4], 20
        )
        for n in range(count)
    ]


def make_even_layout(targets: list[placement.Target]) -> placement.Layout:
    """Return an evenly owned layout."""
    return placement.Layout(
        tuple(targets[s % len(targets)].member_id for s in range(SHARDS)),
        tuple(targets),
        overrides.DomainHolds((), {}, ()),
        {},
    )


def balance_fully(layout: placement.Layout) -> tuple[placement.Layout, int]:
    """Balance until nothing moves; return the moves as well."""
    moves = balance.plan_balance(layout, 10 * SHARDS)
    return placement.apply_moves(layout, moves), len(moves)


def print_churn() -> None:
    """Print the moves that each event causes."""
    targets = list_targets()
    layout = make_even_layout(targets)
    print(f"\nmoves for each event, {MEMBERS} members, {SHARDS} shards")
    print(f"{'event':34}{'forced':>8}{'balance':>9}{'least possible':>16}")
    lost = layout._replace(targets=tuple(targets[1:]))
    moves = placement.plan_losses(lost, ["m00"])
    after, balancing = balance_fully(placement.apply_moves(lost, moves))
    own = layout.owners.count("m00")
    print(f"{'loss of a member':34}{len(moves):8}{balancing:9}{own:16}")
    back = after._replace(targets=tuple(targets))
    _, balancing = balance_fully(back)
    print(f"{'its return':34}{0:8}{balancing:9}{SHARDS // MEMBERS:16}")
    staying = tuple(t for t in targets if t.data_centre != PLACES[0])
    out = layout._replace(targets=staying)
    moves = placement.plan_evacuations(out, [t.member_id for t in targets])
    after, balancing = balance_fully(placement.apply_moves(out, moves))
    gone = MEMBERS - len(staying)
    owned = sum(layout.owners.count(t.member_id) for t in targets if t not in staying)
    print(f"{'data centre out':34}{len(moves):8}{balancing:9}{owned:16}")
    _, balancing = balance_fully(after._replace(targets=tuple(targets)))
    share = SHARDS * gone // MEMBERS
    print(f"{'data centre back':34}{0:8}{balancing:9}{share:16}")


def make_traffic(source: random.Random, exponent: float) -> Traffic:
    """Draw a Zipf load over keys."""
    weights = [1 / (rank + 1) ** exponent for rank in range(KEYS)]
    scale = REQUESTS_PER_S / sum(weights)
    hashes = [
        keys.hash_key(keys.KeyId("stock", "dala", str(source.random())))
        for _ in weights
    ]
    rates = {h: w * scale for h, w in zip(hashes, weights, strict=True)}
    return Traffic(rates, hashes[:200])


def measure_rates(table, traffic: Traffic) -> tuple[dict, dict]:
    """Return the rates of shards and of members."""
    of_shards: dict[int, float] = {}
    of_members: dict[str, float] = {}
    for key_hash, rate in traffic.rates.items():
        shard = table.isolated.get(key_hash, key_hash % table.shard_count)
        owner = table.owners[shard]
        of_shards[shard] = of_shards.get(shard, 0.0) + rate
        of_members[owner] = of_members.get(owner, 0.0) + rate
    return of_shards, of_members


def report(table, traffic: Traffic, source: random.Random) -> dict:
    """Return what each member would tell, with noise of ten parts in a hundred."""
    of_shards, of_members = measure_rates(table, traffic)
    told = {}
    for member_id in of_members:
        shards = sorted(
            (s for s in of_shards if table.owners[s] == member_id),
            key=of_shards.get,
            reverse=True,
        )[:REPORTED]
        own_keys = [
            h
            for h in traffic.hottest
            if table.owners[table.isolated.get(h, h % table.shard_count)] == member_id
        ][:REPORTED]
        told[member_id] = builders.make_load(
            shard_rates={
                s: int(of_shards[s] * source.uniform(0.9, 1.1)) for s in shards
            },
            hot_keys={
                h: int(traffic.rates[h] * source.uniform(0.9, 1.1)) for h in own_keys
            },
        )
    return told


def run_balancing(traffic: Traffic, isolates: bool, weighs: bool) -> tuple:
    """Plan for some minutes; return imbalance at the end, and moves for each half."""
    source = random.Random(2)
    targets = list_targets()
    table = builders.make_table(make_even_layout(targets).owners)
    hot_keys, known = isolation.CoolingKeys(), loads.ShardLoads()
    moved = [0, 0]
    for step in range(MINUTES * PLANS_PER_MINUTE):
        told = report(table, traffic, source)
        draft = drafts.make_draft(table, "m00")
        if isolates:
            now_ms = step * 60_000 // PLANS_PER_MINUTE
            plan = isolation.plan_isolation(table, told, (), hot_keys, now_ms)
            for key_hash in plan.isolate:
                drafts.isolate_key(draft, key_hash)
        loads.update_rates(known, told.values())
        weights = loads.compute_weights(known, SHARDS) if weighs else {}
        layout = placement.make_layout(
            drafts.finish_draft(draft),
            targets,
            overrides.DomainHolds((), {}, ()),
            weights,
        )
        limit = MOVES_PER_MINUTE // PLANS_PER_MINUTE
        for move in balance.plan_balance(layout, limit):
            drafts.assign_shard(draft, move.shard, move.target)
            moved[step * 2 // (MINUTES * PLANS_PER_MINUTE)] += 1
        table = drafts.finish_draft(draft)
    _, of_members = measure_rates(table, traffic)
    mean = sum(of_members.values()) / MEMBERS
    return max(of_members.values()) / mean, *moved, len(table.isolated)


def print_imbalance() -> None:
    """Print the imbalance under Zipf loads."""
    print(
        f"\nimbalance under a Zipf load of {KEYS} keys after {MINUTES} minutes,"
        f" {MOVES_PER_MINUTE} moves a minute at most"
    )
    print(
        f"{'exponent':>9}{'isolation':>11}{'by rates':>10}{'max / mean':>12}"
        f"{'hottest key':>13}{'moves 1st half':>16}{'2nd half':>10}{'isolated':>10}"
    )
    for exponent in (0.6, 0.8, 0.99):
        traffic = make_traffic(random.Random(1), exponent)
        hottest = max(traffic.rates.values()) / (REQUESTS_PER_S / MEMBERS)
        for isolates, weighs in ((False, False), (False, True), (True, True)):
            ratio, first, second, isolated = run_balancing(traffic, isolates, weighs)
            print(
                f"{exponent:9}{isolates!s:>11}{weighs!s:>10}{ratio:12.2f}"
                f"{hottest:13.2f}{first:16}{second:10}{isolated:10}"
            )


def find_unavailable_ms(world: simulation.World, fault, until_ms: int) -> int:
    """Return the longest time without an owner of a shard, in milliseconds."""
    simulation.run_schedule(world, [], STRUCK_MS - 1)
    since_ms: dict[int, int] = {}
    longest_ms = 0

    def observe(now_ms: int, member_id: str, seen: object) -> None:
        nonlocal longest_ms
        if not isinstance(seen, dict):
            return
        for shard, owners in seen.items():
            if not owners:
                since_ms.setdefault(shard, now_ms)
            elif shard in since_ms:
                longest_ms = max(longest_ms, now_ms - since_ms.pop(shard))

    world.observe = observe
    simulation.run_schedule(world, [(STRUCK_MS, fault)], until_ms)
    waiting = max((until_ms - at_ms for at_ms in since_ms.values()), default=0)
    return max(longest_ms, waiting)


def print_unavailable() -> None:
    """Print unavailable times over random phases of all timers."""
    print(f"\nlongest time that a shard is not served, ms, {RUNS} runs, 8 members")
    print(f"{'event':34}{'mean':>8}{'worst':>8}")
    cases = {
        "kill of a member": lambda c: faults.Kill(frozenset({(c + 1) % 8}), 60_000),
        "kill of the coordinator": lambda c: faults.Kill(frozenset({c}), 60_000),
        "freeze of a member": lambda c: faults.Pause(frozenset({(c + 1) % 8}), 60_000),
        "cut of a member from all": lambda c: faults.Cut(
            frozenset({(c + 1) % 8}), True, 60_000
        ),
        "loss of a data centre": lambda c: faults.Kill(
            frozenset({(c + 1) % 4, (c + 1) % 4 + 4}), 60_000
        ),
        "loss of the coordinator's": lambda c: faults.Kill(
            frozenset({c % 4, c % 4 + 4}), 60_000
        ),
        "data centre taken out (drain 0-150)": lambda c: faults.TakeOut(
            PLACES[(c + 1) % 4], 60_000
        ),
        "store outage": lambda c: faults.StoreDown(60_000),
    }
    for name, make_fault in cases.items():
        found = []
        for seed in range(RUNS):
            world = simulation.make_world(seed, 8, timing=settings.Timing())
            simulation.run_schedule(world, [], STRUCK_MS - 2)
            fault = make_fault(simulation.find_coordinator(world))
            found.append(find_unavailable_ms(world, fault, WATCHED_MS))
        print(f"{name:36}{sum(found) / RUNS:6.0f}{max(found):8}")


def main() -> None:
    """Print all tables."""
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    print_unavailable()
    print_churn()
    print_imbalance()


if __name__ == "__main__":
    main()
