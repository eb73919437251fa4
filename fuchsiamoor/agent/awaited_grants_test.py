"""Heartbeats that come before their daemon is registered."""

import asyncio

import pytest

from fuchsiamoor.agent import awaited_grants
from fuchsiamoor.ranges import granting
from fuchsiamoor.testing import range_simulation, traffic_data, virtual_time


async def _start_world(seed):
    world = range_simulation.make_world(seed)
    for machine in world.machines:
        range_simulation.start_upstream(world, machine)
        range_simulation.start_daemon(world, machine)
    await asyncio.sleep(6)
    assert range_simulation.holds_all_keys(world)
    return world


def _knows_a_grant(agent):
    grants = agent.upstream.granting
    if grants is None or not grants.current_grants:
        return False
    key = grants.current_grants[0].first
    return granting.find_grant(grants, key, agent.now_ms()) is not None


# Pattern: a daemon restarts beside a living upstream, and callers of its keys come on.
# The first heartbeat renewed nothing, so that they were refused until the next one.
@pytest.mark.parametrize("seed", range(6))
def test_a_restarted_daemon_serves_held_keys_from_the_first_heartbeat_on(seed):
    async def play():
        world = await _start_world(seed)
        checking = asyncio.create_task(range_simulation.check_continuously(world))
        machine = world.machines[0]
        range_simulation.kill_daemon(machine)
        await asyncio.sleep(0.2)
        range_simulation.start_daemon(world, machine)
        async with asyncio.timeout(10):
            while machine.agent.upstream.incarnation is None:
                await asyncio.sleep(0.005)
            heard_s = asyncio.get_running_loop().time()
            while not _knows_a_grant(machine.agent):
                await asyncio.sleep(0.005)
        waited_s = asyncio.get_running_loop().time() - heard_s
        checking.cancel()
        await range_simulation.close(world)
        return waited_s, world.violations

    waited_s, violations = virtual_time.run(play())
    assert violations == []
    assert waited_s < 0.2


def _play_unregistered(scenario):
    async def play():
        world = range_simulation.make_world(seed=1, count=2)
        for machine in world.machines:
            range_simulation.start_daemon(world, machine)
        await asyncio.sleep(2)
        agent = world.machines[0].agent
        world.store.down_until_ms = agent.now_ms() + 60_000
        try:
            return await scenario(agent)
        finally:
            world.store.down_until_ms = 0
            await range_simulation.close(world)

    return virtual_time.run(play())


def _answer(agent, **changes):
    heartbeat = traffic_data.make_heartbeat(**changes)
    return asyncio.ensure_future(awaited_grants.answer_heartbeat(agent, heartbeat))


def test_without_the_store_a_heartbeat_is_answered_well_within_its_second():
    async def scenario(agent):
        began_s = asyncio.get_running_loop().time()
        grants = await _answer(agent)
        return grants, asyncio.get_running_loop().time() - began_s

    grants, waited_s = _play_unregistered(scenario)
    assert grants is None
    assert 0.5 < waited_s <= awaited_grants.WAIT_MAX_MS / 1000 + 0.01


# Two answers with grants in the wrong order could renew keys that are to move.
def test_an_answer_that_a_later_heartbeat_supersedes_grants_nothing():
    async def scenario(agent):
        first = _answer(agent, sequence=1)
        await asyncio.sleep(0.1)
        second = _answer(agent, sequence=2)
        return await first, await second

    assert _play_unregistered(scenario)[0] is None


@pytest.mark.parametrize(
    "changes", [{"is_draining": True}, {"service": traffic_data.PLAIN_SERVICE}]
)
def test_an_upstream_that_is_to_get_no_keys_is_answered_at_once(changes):
    async def scenario(agent):
        began_s = asyncio.get_running_loop().time()
        await _answer(agent, **changes)
        return asyncio.get_running_loop().time() - began_s

    assert _play_unregistered(scenario) < 0.01
