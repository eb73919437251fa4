"""Measures what shard moves cost: churn per event, imbalance, and unavailable time.

Churn and imbalance come from the planning functions alone. Unavailable times come from
simulations of a whole domain in virtual time, with link delays of 0 to 12 ms and a
store that answers within 10 ms. Run with ``python -m bench.ownership_moves``.
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
MAX_REPORTED = 16
MINUTES = 10
PLANS_PER_MINUTE = 30
MOVES_PER_MINUTE = 60
RUNS = 20
DATA_CENTRES = faults.DATA_CENTRES[:4]
FAULT_AT_MS = 3_000
END_MS = 9_000


class Traffic(NamedTuple):
    """Request rates of the keys.

    Parameters
    ----------
    rates : dict of int to float
        Requests per second by key hash.
    hottest : list of int
        Hashes of the hottest keys, the hottest first.
    """

    rates: dict[int, float]
    hottest: list[int]


def make_targets(count: int = MEMBERS) -> list[placement.Target]:
    """Return targets of equal capacity, spread over four data centres."""
    return [
        placement.Target(
            f"m{n:02}",
            f"m{n:02}",
            DATA_CENTRES[n % 4].rpartition("-")[0],
            DATA_CENTRES[n % 4],
            20,
        )
        for n in range(count)
    ]


def make_even_layout(targets: list[placement.Target]) -> placement.Layout:
    """Return a layout in which the targets own the shards in turn."""
    return placement.Layout(
        tuple(targets[s % len(targets)].member_id for s in range(SHARDS)),
        tuple(targets),
        overrides.DomainHolds((), {}, ()),
        {},
    )


def balance_fully(layout: placement.Layout) -> tuple[placement.Layout, int]:
    """Return the layout after full balancing, and the number of moves."""
    moves = balance.plan_balance(layout, 10 * SHARDS)
    return placement.apply_moves(layout, moves), len(moves)


def print_churn() -> None:
    """Print the moves that each event causes."""
    targets = make_targets()
    layout = make_even_layout(targets)
    print(f"\nmoves for each event, {MEMBERS} members, {SHARDS} shards")
    print(f"{'event':34}{'forced':>8}{'balance':>9}{'least possible':>16}")
    lost = layout._replace(targets=tuple(targets[1:]))
    moves = placement.plan_losses(lost, ["m00"])
    after, balancing = balance_fully(placement.apply_moves(lost, moves))
    lost_shards = layout.owners.count("m00")
    print(f"{'loss of a member':34}{len(moves):8}{balancing:9}{lost_shards:16}")
    layout_with_returned = after._replace(targets=tuple(targets))
    _, balancing = balance_fully(layout_with_returned)
    print(f"{'its return':34}{0:8}{balancing:9}{SHARDS // MEMBERS:16}")
    staying = tuple(t for t in targets if t.data_centre != DATA_CENTRES[0])
    out = layout._replace(targets=staying)
    moves = placement.plan_evacuations(out, [t.member_id for t in targets])
    after, balancing = balance_fully(placement.apply_moves(out, moves))
    lost_count = MEMBERS - len(staying)
    owned = sum(layout.owners.count(t.member_id) for t in targets if t not in staying)
    print(f"{'data centre out':34}{len(moves):8}{balancing:9}{owned:16}")
    _, balancing = balance_fully(after._replace(targets=tuple(targets)))
    share = SHARDS * lost_count // MEMBERS
    print(f"{'data centre back':34}{0:8}{balancing:9}{share:16}")


def make_traffic(source: random.Random, exponent: float) -> Traffic:
    """Return traffic with a Zipf distribution over random keys."""
    weights = [1 / (rank + 1) ** exponent for rank in range(KEYS)]
    scale = REQUESTS_PER_S / sum(weights)
    hashes = [
        keys.hash_key(keys.KeyId("stock", "dala", str(source.random())))
        for _ in weights
    ]
    rates = {h: w * scale for h, w in zip(hashes, weights, strict=True)}
    return Traffic(rates, hashes[:200])


def measure_rates(table, traffic: Traffic) -> tuple[dict, dict]:
    """Return the requests per second by shard and by owning member."""
    shard_rates_per_s: dict[int, float] = {}
    member_rates_per_s: dict[str, float] = {}
    for key_hash, rate in traffic.rates.items():
        shard = table.isolated.get(key_hash, key_hash % table.shard_count)
        owner = table.owners[shard]
        shard_rates_per_s[shard] = shard_rates_per_s.get(shard, 0.0) + rate
        member_rates_per_s[owner] = member_rates_per_s.get(owner, 0.0) + rate
    return shard_rates_per_s, member_rates_per_s


def make_reports(table, traffic: Traffic, source: random.Random) -> dict:
    """Return the load report of each member, with random errors of up to 10 %."""
    shard_rates_per_s, member_rates_per_s = measure_rates(table, traffic)
    reports = {}
    for member_id in member_rates_per_s:
        shards = sorted(
            (s for s in shard_rates_per_s if table.owners[s] == member_id),
            key=shard_rates_per_s.get,
            reverse=True,
        )[:MAX_REPORTED]
        own_keys = [
            h
            for h in traffic.hottest
            if table.owners[table.isolated.get(h, h % table.shard_count)] == member_id
        ][:MAX_REPORTED]
        reports[member_id] = builders.make_load(
            shard_rates={
                s: int(shard_rates_per_s[s] * source.uniform(0.9, 1.1)) for s in shards
            },
            hot_keys={
                h: int(traffic.rates[h] * source.uniform(0.9, 1.1)) for h in own_keys
            },
        )
    return reports


def run_balancing(traffic: Traffic, isolates_keys: bool, weighs_shards: bool) -> tuple:
    """Plan for `MINUTES` minutes of traffic.

    Returns
    -------
    tuple
        Highest rate of a member relative to the mean at the end, moves in the first
        and in the second half, and the number of isolated keys.
    """
    source = random.Random(2)
    targets = make_targets()
    table = builders.make_table(make_even_layout(targets).owners)
    hot_keys, shard_loads = isolation.CoolingKeys(), loads.ShardLoads()
    move_counts = [0, 0]
    for step in range(MINUTES * PLANS_PER_MINUTE):
        reports = make_reports(table, traffic, source)
        draft = drafts.make_draft(table, "m00")
        if isolates_keys:
            now_ms = step * 60_000 // PLANS_PER_MINUTE
            plan = isolation.plan_isolation(table, reports, (), hot_keys, now_ms)
            for key_hash in plan.isolate:
                drafts.isolate_key(draft, key_hash)
        loads.update_rates(shard_loads, reports.values())
        weights = loads.compute_weights(shard_loads, SHARDS) if weighs_shards else {}
        layout = placement.make_layout(
            drafts.finish_draft(draft),
            targets,
            overrides.DomainHolds((), {}, ()),
            weights,
        )
        limit = MOVES_PER_MINUTE // PLANS_PER_MINUTE
        for move in balance.plan_balance(layout, limit):
            drafts.assign_shard(draft, move.shard, move.target)
            move_counts[step * 2 // (MINUTES * PLANS_PER_MINUTE)] += 1
        table = drafts.finish_draft(draft)
    _, member_rates_per_s = measure_rates(table, traffic)
    mean = sum(member_rates_per_s.values()) / MEMBERS
    return max(member_rates_per_s.values()) / mean, *move_counts, len(table.isolated)


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
        for isolates_keys, weighs_shards in (
            (False, False),
            (False, True),
            (True, True),
        ):
            ratio, first, second, isolated = run_balancing(
                traffic, isolates_keys, weighs_shards
            )
            print(
                f"{exponent:9}{isolates_keys!s:>11}{weighs_shards!s:>10}{ratio:12.2f}"
                f"{hottest:13.2f}{first:16}{second:10}{isolated:10}"
            )


def measure_unavailable_ms(world: simulation.World, fault, until_ms: int) -> int:
    """Return the longest time for which a shard has no serving owner, in ms."""
    simulation.run_schedule(world, [], FAULT_AT_MS - 1)
    since_ms: dict[int, int] = {}
    longest_ms = 0

    def observe(now_ms: int, member_id: str, served: object) -> None:
        nonlocal longest_ms
        if not isinstance(served, dict):
            return
        for shard, owners in served.items():
            if not owners:
                since_ms.setdefault(shard, now_ms)
            elif shard in since_ms:
                longest_ms = max(longest_ms, now_ms - since_ms.pop(shard))

    world.observe = observe
    simulation.run_schedule(world, [(FAULT_AT_MS, fault)], until_ms)
    still_unavailable_ms = max(
        (until_ms - at_ms for at_ms in since_ms.values()), default=0
    )
    return max(longest_ms, still_unavailable_ms)


def print_unavailable() -> None:
    """Print unavailable times over runs that start all timers at random phases."""
    print(f"\nlongest time that a shard is not served, ms, {RUNS} runs, 8 members")
    print(f"{'event':34}{'mean':>8}{'worst':>8}")
    # Each case makes a fault from the slot of the coordinator.
    cases = {
        "kill of a member": lambda slot: faults.Kill(
            frozenset({(slot + 1) % 8}), 60_000
        ),
        "kill of the coordinator": lambda slot: faults.Kill(frozenset({slot}), 60_000),
        "freeze of a member": lambda slot: faults.Pause(
            frozenset({(slot + 1) % 8}), 60_000
        ),
        "cut of a member from all": lambda slot: faults.Cut(
            frozenset({(slot + 1) % 8}), True, 60_000
        ),
        "loss of a data centre": lambda slot: faults.Kill(
            frozenset({(slot + 1) % 4, (slot + 1) % 4 + 4}), 60_000
        ),
        "loss of the coordinator's": lambda slot: faults.Kill(
            frozenset({slot % 4, slot % 4 + 4}), 60_000
        ),
        "data centre taken out (drain 0-150)": lambda slot: faults.TakeOut(
            DATA_CENTRES[(slot + 1) % 4], 60_000
        ),
        "store outage": lambda slot: faults.StoreDown(60_000),
    }
    for name, make_fault in cases.items():
        longest_times_ms = []
        for seed in range(RUNS):
            world = simulation.make_world(seed, 8, timing=settings.Timing())
            simulation.run_schedule(world, [], FAULT_AT_MS - 2)
            fault = make_fault(simulation.find_coordinator(world))
            longest_times_ms.append(measure_unavailable_ms(world, fault, END_MS))
        print(f"{name:36}{sum(longest_times_ms) / RUNS:6.0f}{max(longest_times_ms):8}")


def main() -> None:
    """Print all tables."""
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    print_unavailable()
    print_churn()
    print_imbalance()


if __name__ == "__main__":
    main()
