"""What a fleet does at its start and at rest, and how that grows with its size."""

import asyncio
import sys

import pytest

from fuchsiamoor.agent import watch_relay
from fuchsiamoor.ranges import planning
from fuchsiamoor.testing import (
    fleet_data,
    range_simulation,
    store_restores,
    transactional_store,
    virtual_time,
)

SIZES = (13, 60, 195)
REST_S = 5
# Daemons start within 0.3 s of each other, and upstreams report within one heartbeat.
SPREAD_S = (0.3, 0.87)
# A follower of the store asks twice a second, a registration is renewed a little more
# often than once, and an upstream is looked at twice; the rest is a margin.
TIMERS_PER_S = 8
# Smallest limit on the writes of all daemons to a store.
WRITES_PER_S = 400


def _count_plans(monkeypatch):
    """Return a list that grows by one with each plan of a table."""
    plans = []
    plan_next_table = planning.plan_next_table

    def count(table, owners):
        plans.append(table.version)
        return plan_next_table(table, owners)

    monkeypatch.setattr(planning, "plan_next_table", count)
    return plans


def _count_timers(monkeypatch):
    """Return a list that grows by one with each timer that a daemon sets."""
    timers = []

    def count(function):
        def counted(*arguments):
            caller = sys._getframe(1).f_globals["__name__"]
            if caller.startswith("fuchsiamoor.agent."):
                timers.append(caller)
            return function(*arguments)

        return counted

    for name in ("sleep", "timeout"):
        monkeypatch.setattr(asyncio, name, count(getattr(asyncio, name)))
    return timers


def _play(count, monkeypatch):
    async def run():
        plans, timers = _count_plans(monkeypatch), _count_timers(monkeypatch)
        fleet = await fleet_data.start_fleet(count)
        started = (
            dict(fleet.store_calls),
            range_simulation.holds_all_keys(fleet.world),
        )
        plans.clear()
        timers.clear()
        fleet.store_calls.clear()
        fleet.messages.clear()
        await asyncio.sleep(REST_S)
        counted = len(plans), len(timers)
        await range_simulation.close(fleet.world)
        return started, fleet, *counted

    return virtual_time.run(run())


@pytest.mark.parametrize("count", [60, 195])
def test_a_start_that_is_spread_takes_few_watches_for_each_daemon(count):
    async def run():
        fleet = await fleet_data.start_fleet(count, SPREAD_S)
        await range_simulation.close(fleet.world)
        return fleet.store_calls["watch"]

    assert virtual_time.run(run()) <= 2 * count


@pytest.mark.parametrize("count", SIZES)
def test_work_of_one_daemon_does_not_grow_with_the_fleet(count, monkeypatch):
    (start_calls, is_held), fleet, plans, timers = _play(count, monkeypatch)
    assert is_held
    # A start takes a lease, a listing, a registration and a table for each daemon;
    # the store answers watches until the watchers of each region are known.
    assert start_calls["grant_lease"] == start_calls["list_prefix"] == count
    assert start_calls["transact"] <= count + 4
    assert start_calls["watch"] <= 3 * count
    # At rest, tables are planned anew once in a while only, one daemon of each region
    # watches, and a follower asks one watcher at a time.
    assert plans <= count
    assert timers <= TIMERS_PER_S * REST_S * count
    watches = REST_S * 1000 // watch_relay.WATCH_MS + 1
    assert fleet.store_calls["watch"] <= len(fleet_data.REGIONS) * watches
    assert fleet.store_calls["transact"] == 0
    asked = fleet.messages["StoreCall"] / (count * REST_S)
    assert asked <= 1000 / watch_relay.PEER_WATCH_MS


# Load: the leases of all daemons are lost at once with a restore of the store.
@pytest.mark.parametrize("count", SIZES)
def test_a_restore_takes_few_calls_of_each_daemon_spread_over_a_second(count):
    async def run():
        fleet = await fleet_data.start_fleet(count)
        copy = transactional_store.take_copy(fleet.world.store)
        await asyncio.sleep(1)
        store_restores.go_away(fleet.world, 0.3, copy)
        await asyncio.sleep(0.3)
        fleet.store_calls.clear()
        written, least_held = [0], 65_536
        for _ in range(60):
            await asyncio.sleep(0.1)
            calls = fleet.store_calls
            written.append(calls["transact"] + calls["grant_lease"])
            least_held = min(least_held, range_simulation.count_held_keys(fleet.world))
        await range_simulation.close(fleet.world)
        return written, least_held, fleet.store_calls

    written, least_held, calls = virtual_time.run(run())
    assert least_held == 65_536
    # A lease and a registration for each daemon, within two seconds.
    assert written[20] >= 2 * count
    assert calls["transact"] <= 1.1 * count + 8
    assert calls["grant_lease"] <= 1.1 * count + 8
    assert calls["list_prefix"] <= 1.1 * count + 8
    busiest = max(
        later - earlier for earlier, later in zip(written, written[5:], strict=False)
    )
    assert busiest <= max(WRITES_PER_S / 2, 2 * count * 0.7)
