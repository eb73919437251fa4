"""Restores of the store from a copy: one owner of each key, and rising fences."""

import asyncio

import pytest

from fuchsiamoor.agent import ownership_schedules_test as schedules
from fuchsiamoor.agent import registrations, store_eras, store_sync, table_writer
from fuchsiamoor.core import errors
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import eras, port
from fuchsiamoor.testing import (
    range_simulation,
    store_restores,
    traffic_data,
    transactional_store,
    virtual_time,
)

SEEDS = range(12)
SERVICE = range_simulation.SERVICE
CATALOG_KEY = traffic_data.CATALOG_KEY


async def _play(seed, restores=2):
    """Play random faults with restores of the store among them."""
    world = range_simulation.make_world(seed)
    checking = asyncio.create_task(range_simulation.check_continuously(world))
    await schedules._start_all(world)
    for _ in range(restores):
        store_restores.schedule_restore(world)
        for _ in range(schedules.STEPS // restores):
            schedules._choose_step(world)()
            await asyncio.sleep(world.rng.uniform(0.05, 4.0))
    checking.cancel()
    await range_simulation.close(world)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_no_key_is_held_twice_and_fences_rise_across_restores(seed):
    assert virtual_time.run(_play(seed)).violations == []


@pytest.mark.parametrize("seed", range(4))
def test_every_key_is_held_again_after_a_restore_among_faults(seed):
    async def play():
        world = range_simulation.make_world(seed)
        await schedules._start_all(world)
        store_restores.schedule_restore(world)
        for _ in range(4):
            schedules._choose_step(world)()
            await asyncio.sleep(world.rng.uniform(0.05, 4.0))
        await asyncio.sleep(6)
        await schedules._recover(world)
        held = range_simulation.count_held_keys(world)
        await range_simulation.close(world)
        return held

    assert virtual_time.run(play()) == 65_536


def _play_scene(scene, seed=1, count=4):
    """Play a scene in a started world; return its result and the violations."""

    async def play():
        world = range_simulation.make_world(seed, count)
        checking = asyncio.create_task(range_simulation.check_continuously(world))
        await schedules._start_all(world)
        result = await scene(world)
        checking.cancel()
        await range_simulation.close(world)
        return result, world.violations

    return virtual_time.run(play())


async def _drain_between_copy_and_restore(world):
    """Let the first upstream's keys move after the copy; restart its daemon then."""
    machine = world.machines[0]
    copy = transactional_store.take_copy(world.store)
    machine.upstream.is_draining = True
    await asyncio.sleep(5)
    assert not machine.upstream.holds
    store_restores.go_away(world, 0.5, copy)
    schedules._restart_daemon(world, machine)
    await asyncio.sleep(14)
    return range_simulation.count_held_keys(world)


@pytest.mark.parametrize("seed", range(4))
def test_keys_that_moved_after_the_copy_stay_with_their_new_owner(seed):
    assert _play_scene(_drain_between_copy_and_restore, seed) == (65_536, [])


def test_checker_catches_grants_by_a_table_that_a_copy_has_brought_back(monkeypatch):
    def put_in_force(agent, found, entry):
        agent.cache.tables.setdefault(found.service, found)

    monkeypatch.setattr(store_sync, "_note_copied_table", put_in_force)
    monkeypatch.setattr(
        store_eras,
        "find_grants_until_ms",
        lambda agent, table: agent.registration.valid_until_ms,
    )
    worlds = [_play_scene(_drain_between_copy_and_restore, seed) for seed in range(4)]
    assert any(violations for _, violations in worlds)


def test_checker_catches_keys_given_away_before_the_earlier_era_has_run_out(
    monkeypatch,
):
    monkeypatch.setattr(
        table_writer, "_must_wait_for_earlier_eras", lambda agent, table: False
    )
    assert any(virtual_time.run(_play(seed)).violations for seed in range(40))


# Load: all keys in use while the store is restored, without any other fault.
@pytest.mark.parametrize("away_s", [0.1, 2.0])
def test_owners_go_on_under_their_fences_while_the_store_comes_back(away_s):
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        fences = dict(world.newest_fences)
        await asyncio.sleep(2)
        store_restores.go_away(world, away_s, copy)
        least_held = 65_536
        for _ in range(200):
            await asyncio.sleep(0.1)
            least_held = min(least_held, range_simulation.count_held_keys(world))
        agent = world.machines[0].agent
        era = tables.era_of(agent.cache.tables[SERVICE].version)
        return least_held, era, fences == world.newest_fences

    assert _play_scene(scene) == ((65_536, 1, True), [])


def test_registrations_are_back_within_two_seconds_under_leases_of_the_new_era():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        await asyncio.sleep(1)
        store_restores.go_away(world, 0.3, copy)
        await asyncio.sleep(0.3 + 2)
        return [
            (machine.agent.registration.confirmed.lease_id.partition("-")[0], key)
            for machine in world.machines
            if (key := registrations.registration_key(machine.instance))
            in world.store.items
        ]

    found, violations = _play_scene(scene)
    assert [era for era, _ in found] == ["1"] * 4
    assert violations == []


# Fences must rise across restores although counts of tables begin again.
def test_keys_that_move_after_a_restore_get_higher_fences():
    async def scene(world):
        for _ in range(2):
            copy = transactional_store.take_copy(world.store)
            await asyncio.sleep(1)
            store_restores.go_away(world, 0.3, copy)
            await asyncio.sleep(6)
            schedules._restart_upstream(world, world.machines[0])
            await asyncio.sleep(14)
        return range_simulation.count_held_keys(world)

    assert _play_scene(scene) == (65_536, [])


def test_a_second_restore_before_the_table_is_adopted_stops_no_owner():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        await asyncio.sleep(1)
        store_restores.go_away(world, 0.3, copy)
        await asyncio.sleep(0.33)
        store_restores.go_away(world, 0.3, copy)
        least_held = 65_536
        for _ in range(150):
            await asyncio.sleep(0.1)
            least_held = min(least_held, range_simulation.count_held_keys(world))
        return least_held

    assert _play_scene(scene) == (65_536, [])


# A lease id may belong to another daemon after a restore.
def test_a_renewal_of_a_lease_that_was_granted_again_does_not_count():
    async def scene(world):
        client = transactional_store.StoreClient(world.store)
        copy = transactional_store.take_copy(world.store)
        lease_id = await client.grant_lease(2_000)
        transactional_store.restore(world.store, copy)
        other = transactional_store.StoreClient(world.store)
        await other.get("")
        others_lease_id = await other.grant_lease(2_000)
        assert eras.split_lease_id(others_lease_id) == (
            1,
            eras.split_lease_id(lease_id)[1],
        )
        try:
            first = await client.renew_lease(lease_id)
        except errors.StoreOutcomeUnknownError:
            first = None
        return first, await client.renew_lease(lease_id)

    assert _play_scene(scene, count=1)[0] == (None, False)


def test_a_table_of_an_earlier_era_that_overwrites_the_present_one_is_replaced():
    async def scene(world):
        key = registrations.table_key(SERVICE)
        old = world.store.items[key].value
        copy = transactional_store.take_copy(world.store)
        await asyncio.sleep(1)
        store_restores.go_away(world, 0.1, copy)
        await asyncio.sleep(4)
        transactional_store.put_now(world.store, key, old)
        await asyncio.sleep(3)
        stored = tables.decode_table(world.store.items[key].value)
        return tables.era_of(stored.version), range_simulation.count_held_keys(world)

    assert _play_scene(scene) == ((1, 65_536), [])


def test_a_plan_of_an_earlier_era_is_not_written():
    async def scene(world):
        agent = world.machines[0].agent
        table = agent.cache.tables[SERVICE]
        agent.store.learn_era(1)
        planned = table._replace(version=table.version + 1)
        return await table_writer.write_table(agent, table, planned, [])

    assert _play_scene(scene)[0] is False


def test_a_claim_covers_a_write_whose_answer_was_lost():
    async def scene(world):
        machine = world.machines[0]
        agent, table = machine.agent, machine.agent.cache.tables[SERVICE]
        world.store.lost_share = 1.0
        planned = table._replace(version=table.version + 1)
        machine.client.cut_until_ms = 0
        await asyncio.sleep(0)
        writing = asyncio.create_task(
            table_writer.write_table(agent, table, planned, [])
        )
        await asyncio.sleep(0)
        agent.store.learn_era(1)
        claim = store_eras.make_claim(agent)
        writing.cancel()
        world.store.lost_share = 0.0
        return claim.version - table.version

    assert _play_scene(scene)[0] == 1


def test_no_claim_is_made_once_the_registration_has_run_out_or_the_owner_ended():
    async def scene(world):
        agents = [machine.agent for machine in world.machines[:3]]
        agents[0].registration.valid_until_ms = agents[0].now_ms()
        agents[1].upstream.granting.was_ended = True
        for agent in agents:
            agent.store.learn_era(1)
        return [store_eras.make_claim(agent) is not None for agent in agents]

    assert _play_scene(scene)[0] == [False, False, True]


def test_configuration_evacuation_and_leave_that_the_copy_lacks_are_kept():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        transactional_store.put_now(
            world.store, CATALOG_KEY, traffic_data.encode_version(5)
        )
        centre = world.machines[1].agent.settings.data_centre
        transactional_store.put_now(
            world.store, traffic_data.EVACUATED_PREFIX + centre, b""
        )
        world.machines[0].upstream.is_draining = True
        await asyncio.sleep(2)
        store_restores.go_away(world, 0.3, copy)
        await asyncio.sleep(4)
        agent = world.machines[0].agent
        leave = world.store.items.get(registrations.leave_key(agent.settings.instance))
        kept = centre in agent.cache.evacuated
        await asyncio.sleep(store_eras.KEEP_EVACUATED_MS / 1000 + 4)
        dropped = centre not in agent.cache.evacuated
        return agent.cache.catalog.version, kept, dropped, leave is not None

    assert _play_scene(scene) == ((5, True, True, True), [])


# A daemon that knows only a copy cannot tell who had the keys last.
def test_a_daemon_that_starts_in_a_new_era_grants_nothing_by_the_copied_table():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        store_restores.go_away(world, 0.1, copy)
        for machine in world.machines:
            schedules._restart_daemon(world, machine)
        await asyncio.sleep(5)
        in_force = [SERVICE in one.agent.cache.tables for one in world.machines]
        await asyncio.sleep(10)
        return any(in_force), range_simulation.count_held_keys(world)

    assert _play_scene(scene) == ((False, 65_536), [])


def test_a_precondition_of_an_earlier_era_fails_though_its_revision_came_again():
    async def scene(world):
        client = transactional_store.StoreClient(world.store)
        copy = transactional_store.take_copy(world.store)
        transactional_store.put_now(world.store, "k", b"old")
        found = await client.get("k")
        transactional_store.restore(world.store, copy)
        transactional_store.put_now(world.store, "k", b"new")
        assert world.store.items["k"].version == eras.revision_of(found.version)
        await client.get("k")
        result = await client.transact(
            (port.Precondition("k", found.version),), (port.Put("k", b"mine"),)
        )
        return result, world.store.items["k"].value

    assert _play_scene(scene, count=1)[0] == (port.PreconditionFailed(), b"new")


# The copy's configuration is older than the one in force.
def test_a_daemon_that_starts_learns_the_configuration_that_the_copy_lacks():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        transactional_store.put_now(
            world.store, CATALOG_KEY, traffic_data.encode_version(5)
        )
        await asyncio.sleep(1)
        store_restores.go_away(world, 0.1, copy)
        await asyncio.sleep(3)
        machine = world.machines[0]
        schedules._restart_daemon(world, machine)
        await asyncio.sleep(2)
        return machine.agent.cache.catalog.version

    assert _play_scene(scene) == (5, [])


# A stopping daemon's lease may belong to another one after a restore.
def test_a_daemon_that_stops_at_a_restore_ends_no_lease_of_another_one():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        stopping = world.machines[0].agent
        lease_id = stopping.registration.lease_id
        store_restores.go_away(world, 0.1, copy)
        await asyncio.sleep(4)
        await stopping.store.revoke_lease(lease_id)
        await asyncio.sleep(0.1)
        return sum(
            registrations.registration_key(machine.instance) in world.store.items
            for machine in world.machines
        )

    assert _play_scene(scene) == (4, [])


# A daemon that ended after its upstream's leave cannot write that again itself.
def test_a_leave_that_the_copy_lacks_is_written_again_for_a_daemon_that_is_gone():
    async def scene(world):
        copy = transactional_store.take_copy(world.store)
        machine = world.machines[3]
        machine.upstream.is_draining = True
        await asyncio.sleep(2)
        key = registrations.leave_key(machine.instance)
        value = world.store.items[key].value
        range_simulation.kill_daemon(machine)
        store_restores.go_away(world, 0.1, copy)
        await asyncio.sleep(3)
        return world.store.items[key].value == value

    assert _play_scene(scene) == (True, [])


async def _cut_off_across_a_restore(world):
    """Cut a daemon off from the store and all others before a restore."""
    machine = world.machines[0]
    copy = transactional_store.take_copy(world.store)
    machine.client.cut_until_ms = transactional_store.now_ms() + 60_000
    machine.agent.links = schedules._NoLinks()
    await asyncio.sleep(0.5)
    store_restores.go_away(world, 0.1, copy)
    await asyncio.sleep(20)
    return range_simulation.count_held_keys(world)


@pytest.mark.parametrize("seed", range(4))
def test_keys_of_a_daemon_that_does_not_learn_of_the_restore_go_to_others(seed):
    assert _play_scene(_cut_off_across_a_restore, seed) == (65_536, [])


def test_checker_catches_holds_that_outlast_the_era_in_which_they_were_granted(
    monkeypatch,
):
    monkeypatch.setattr(granting, "REGISTRATION_VALID_MS", 30_000)
    found = [_play_scene(_cut_off_across_a_restore, seed) for seed in range(4)]
    assert all(violations for _, violations in found)


# A renewal in the new era must not prolong what the table of the earlier one grants.
def test_grants_by_a_table_of_an_earlier_era_end_with_its_registration():
    async def scene(world):
        agent = world.machines[0].agent
        table, until_ms = agent.cache.tables[SERVICE], agent.registration.valid_until_ms
        for era in (1, 2):
            agent.store.learn_era(era)
            agent.registration.valid_until_ms += 5_000
            assert store_eras.find_grants_until_ms(agent, table) == until_ms
        present = table._replace(version=tables.make_version(2, 1))
        return store_eras.find_grants_until_ms(agent, present) - until_ms

    assert _play_scene(scene)[0] == 10_000


def test_a_store_that_names_an_era_from_the_start_is_served_at_once():
    async def play():
        world = range_simulation.make_world(seed=1)
        world.store.era = 3
        await schedules._start_all(world)
        held = range_simulation.count_held_keys(world)
        agent = world.machines[0].agent
        version = agent.cache.tables[SERVICE].version
        await range_simulation.close(world)
        return held, version

    assert virtual_time.run(play()) == (65_536, tables.make_version(3, 1))
