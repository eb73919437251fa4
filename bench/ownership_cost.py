"""Measures the processor time of each ownership decision and extrapolates to a fleet.

Run with ``python -m bench.ownership_cost``.
"""

import os
import platform
import time
from collections.abc import Callable
from typing import NamedTuple

from fuchsiamoor.core import members, messages, settings, tables
from fuchsiamoor.ownership import (
    balance,
    events,
    lease_holder,
    placement,
    state,
    tables_codec,
    voter,
    votes,
)
from fuchsiamoor.ownership import coordinator as coordinators
from fuchsiamoor.testing import ownership_data as builders

MIN_MEASUREMENT_S = 0.2
SIZES = ((13, 256), (13, 4096), (250, 256), (250, 4096))
DATA_CENTRES = ("almaty-1", "almaty-2", "astana-1", "astana-2")
TIMING = settings.Timing()
FLEET_DAEMONS = 510
LARGEST_DOMAIN = (250, 4096)


class Costs(NamedTuple):
    """Mean time of each decision in microseconds, and the size of an encoded table.

    The field names are printed as the names of the rows.
    """

    check_serve_us: float
    list_renewals_us: float
    list_vouches_us: float
    answer_vouch_us: float
    answer_renew_us: float
    renew_received_us: float
    tick_us: float
    plan_us: float
    loss_us: float
    encode_us: float
    decode_us: float
    adopt_us: float
    table_bytes: int


def measure_us(call: Callable[[], object]) -> float:
    """Return the mean time of a call, in microseconds."""
    count, batch = 0, 1
    start_s = time.perf_counter()
    while (elapsed_s := time.perf_counter() - start_s) < MIN_MEASUREMENT_S:
        for _ in range(batch):
            call()
        count += batch
        batch = min(batch * 2, 1_000)
    return elapsed_s / count * 1e6


def make_members(count: int) -> list[members.Member]:
    """Return members spread evenly over four data centres."""
    return [
        builders.make_member(
            f"stock-{n:03}", DATA_CENTRES[n % len(DATA_CENTRES)], nonce=f"{n:012x}"
        )
        for n in range(count)
    ]


def make_table(
    domain_members: list[members.Member], shard_count: int
) -> tables.ShardTable:
    """Return a table with evenly distributed owners and an epoch for each shard."""
    base = tables.make_empty_table(builders.DOMAIN, shard_count)
    return base._replace(
        term=7,
        coordinator=domain_members[0].member_id,
        revision=2_000_000,
        owners=tuple(
            domain_members[s % len(domain_members)].member_id
            for s in range(shard_count)
        ),
        epochs=tuple(1_000_000 + shard for shard in range(shard_count)),
        voters=votes.choose_voters(domain_members),
        voters_revision=1_000_000,
    )


def make_coordinator(
    domain_members, table, shard_count: int
) -> coordinators.Coordinator:
    """Return a coordinator in office that has received a renewal from every member."""
    own_id = domain_members[0].member_id
    coordinator = coordinators.make_coordinator(
        builders.DOMAIN, own_id, TIMING, table, 1, 0
    )
    service = builders.make_service(shard_count)
    for event in (
        events.MembersChanged(tuple(domain_members)),
        events.ConfigurationChanged(builders.make_configuration(service=service)),
        events.StoreLeaseRenewed(0),
        events.TableWritten(table.revision + 1, 2),
    ):
        coordinators.handle_event(coordinator, event, 0)
    for member in domain_members:
        renew = make_renew(member.member_id, table.revision + 1)
        coordinators.handle_event(coordinator, events.RenewReceived(renew), 0)
    return coordinator


def make_renew(member_id: str, revision: int) -> messages.Renew:
    """Return a renewal with a load report of 16 shards and 16 hot keys."""
    load = builders.make_load(
        shard_rates={shard: 100 + shard for shard in range(16)},
        hot_keys=dict.fromkeys(range(16), 100),
    )
    return messages.Renew(builders.DOMAIN, member_id, revision, 1, load)


def measure(member_count: int, shard_count: int) -> Costs:
    """Measure every decision in a domain of one size."""
    domain_members = make_members(member_count)
    table = make_table(domain_members, shard_count)
    own_id = domain_members[1].member_id
    holder = lease_holder.make_lease_holder(own_id, builders.DOMAIN, TIMING)
    lease_holder.adopt_table(holder, table, 0)
    renewed = messages.Renewed(builders.DOMAIN, 7, table.revision, 1)
    lease_holder.record_renewed(holder, domain_members[0].member_id, renewed, 0)
    load = builders.make_load()
    vouch = messages.Vouch(builders.DOMAIN, own_id, table.revision, 1_000_000)
    coordinator = make_coordinator(domain_members, table, shard_count)
    renew = make_renew(own_id, table.revision + 1)
    layout = placement.make_layout(
        table, state.list_targets(coordinator, 0), coordinator.holds
    )
    layout_after_loss = layout._replace(
        targets=tuple(t for t in layout.targets if t.member_id != own_id)
    )
    value = tables_codec.encode_table(table)

    def list_due_renewals() -> None:
        holder.renew_due_ms = 0
        lease_holder.list_due_requests(holder, 1, load, 1)

    def list_due_vouches() -> None:
        holder.vouch_due_ms = holder.renew_due_ms = 0
        lease_holder.list_due_requests(holder, 700, load, 1)

    def adopt_again() -> None:
        holder.table = None
        lease_holder.adopt_table(holder, table, 0)

    def plan() -> None:
        placement.plan_evacuations(layout, [own_id])
        placement.plan_overrides(layout)
        balance.plan_balance(layout, 10)

    return Costs(
        measure_us(lambda: lease_holder.check_serve(holder, 1, 1)),
        measure_us(list_due_renewals),
        measure_us(list_due_vouches),
        measure_us(lambda: voter.answer_vouch(table, own_id, vouch)),
        measure_us(lambda: coordinators.answer_renew(coordinator, renew, 1)),
        measure_us(
            lambda: coordinators.handle_event(
                coordinator, events.RenewReceived(renew), 1
            )
        ),
        measure_us(lambda: coordinators.handle_event(coordinator, events.Tick(), 1)),
        measure_us(plan),
        measure_us(lambda: placement.plan_losses(layout_after_loss, [own_id])),
        measure_us(lambda: tables_codec.encode_table(table)),
        measure_us(lambda: tables_codec.decode_table(value)),
        measure_us(adopt_again),
        len(value),
    )


def print_fleet_costs(costs: Costs) -> None:
    """Print the processor shares in the largest domain when it has no traffic."""
    per_s = 1_000 / TIMING.renew_every_ms
    member_us = per_s * costs.list_renewals_us
    renewals_per_s = LARGEST_DOMAIN[0] * per_s
    coordinator_us = (
        renewals_per_s * (costs.answer_renew_us + costs.renew_received_us)
        + 20 * costs.tick_us
        + costs.plan_us
    )
    voters = 3 * len(DATA_CENTRES)
    voter_us = renewals_per_s * costs.answer_vouch_us
    outage_us = per_s * costs.list_vouches_us
    print()
    print(f"a domain of {LARGEST_DOMAIN[0]} members and {LARGEST_DOMAIN[1]} shards,")
    print(f"one of those of {FLEET_DAEMONS} daemons; decisions alone, share of a core:")
    print(f"  member at rest           {member_us / 1e4:8.3f} %")
    print(f"  coordinator at rest      {coordinator_us / 1e4:8.3f} %")
    print(f"    renewals received      {renewals_per_s:8.0f} a second")
    print(f"  member, store away       {outage_us / 1e4:8.3f} %")
    print(f"    vouches asked          {per_s * voters:8.0f} a second")
    print(f"  voter, store away        {voter_us / 1e4:8.3f} %")
    print(f"    vouches answered       {renewals_per_s:8.0f} a second")


def main() -> None:
    """Measure all sizes and print the tables."""
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    measured = [measure(*size) for size in SIZES]
    titles = [f"{size[0]} x {size[1]}" for size in SIZES]
    print(f"{'members x shards':20}" + "".join(f"{title:>14}" for title in titles))
    for position, name in enumerate(Costs._fields):
        cells = "".join(f"{costs[position]:14.1f}" for costs in measured)
        print(f"{name:20}{cells}")
    print_fleet_costs(measured[SIZES.index(LARGEST_DOMAIN)])


if __name__ == "__main__":
    main()
