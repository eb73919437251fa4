"""A daemon that restarts beside an upstream which has announced to leave."""

import asyncio

import pytest

from fuchsiamoor.agent import endpoints, upstream_lifecycle
from fuchsiamoor.agent.http_server import HttpRequest
from fuchsiamoor.testing import range_simulation, traffic_data, virtual_time


async def start_world():
    """Return a simulation in which every machine is registered, and its first one."""
    world = range_simulation.make_world(seed=5)
    for machine in world.machines:
        range_simulation.start_upstream(world, machine)
        range_simulation.start_daemon(world, machine)
    await asyncio.sleep(8)
    assert range_simulation.holds_all_keys(world)
    return world, world.machines[0]


async def restart_daemon(world, machine):
    range_simulation.kill_daemon(machine)
    await asyncio.sleep(0.3)
    range_simulation.start_daemon(world, machine)


def announce_leave(machine):
    """Let the upstream's next heartbeats say that it leaves."""
    machine.upstream.is_draining = True


def deregister(machine):
    """Let the upstream deregister; its heartbeats do not say that it leaves."""
    upstream_lifecycle.handle_deregistration(
        machine.agent, machine.upstream.incarnation.upstream_id
    )


@pytest.mark.parametrize("leave", [announce_leave, deregister])
def test_a_restarted_daemon_sends_nothing_to_an_upstream_that_leaves(leave):
    async def play():
        world, machine = await start_world()
        leave(machine)
        await asyncio.sleep(1.2)
        assert machine.agent.upstream.draining_since_ms is not None
        await restart_daemon(world, machine)
        found = []
        for _ in range(80):
            await asyncio.sleep(0.05)
            may_send = upstream_lifecycle.may_send(machine.agent)
            registered = machine.agent.cache.directory.registered
            own = registered.get(machine.instance)
            found.append((may_send, own is not None and own.is_open))
        assert machine.agent.upstream.incarnation is not None
        await range_simulation.close(world)
        return set(found)

    assert virtual_time.run(play()) == {(False, False)}


def test_a_new_incarnation_serves_after_an_earlier_one_has_left():
    async def play():
        world, machine = await start_world()
        deregister(machine)
        await asyncio.sleep(1.2)
        range_simulation.kill_upstream(machine)
        range_simulation.start_upstream(world, machine)
        await restart_daemon(world, machine)
        await asyncio.sleep(4)
        may_send = upstream_lifecycle.may_send(machine.agent)
        await range_simulation.close(world)
        return may_send

    assert virtual_time.run(play()) is True


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_deregistration_is_acknowledged_once_it_is_recorded(is_store_down):
    async def play():
        world, machine = await start_world()
        if is_store_down:
            world.store.down_until_ms = virtual_time.now_ms() + 60_000
        upstream_id = machine.upstream.incarnation.upstream_id
        target = traffic_data.DEREGISTER_PREFIX + upstream_id
        began_ms = virtual_time.now_ms()
        answer = await endpoints.handle_upstream_call(
            machine.agent, HttpRequest("POST", target, (), b"")
        )
        elapsed_ms = virtual_time.now_ms() - began_ms
        is_recorded = not machine.agent.registration.confirmed.is_open
        await range_simulation.close(world)
        return answer.status, is_recorded, elapsed_ms < 500

    assert virtual_time.run(play()) == (200, not is_store_down, True)
