"""Watches of the store by many daemons: their number, and delays by lost watchers."""

import asyncio

from fuchsiamoor.agent import watch_relay
from fuchsiamoor.testing import (
    range_simulation,
    traffic_data,
    transactional_store,
    virtual_time,
)

COUNT = 12
REGIONS = 2


class CountingClient(transactional_store.StoreClient):
    """A client that records the time and the instance of each watch."""

    def __init__(self, store, instance, watches):
        super().__init__(store)
        self._instance = instance
        self._watches = watches

    async def watch(self, prefix, after_version, wait_ms):
        self._watches.append((transactional_store.now_ms(), self._instance))
        return await super().watch(prefix, after_version, wait_ms)


async def start(world, watches):
    for machine in world.machines:
        range_simulation.start_daemon(world, machine)
        client = CountingClient(world.store, machine.instance, watches)
        machine.client = machine.agent.store.direct = client
        range_simulation.start_upstream(world, machine)
    await asyncio.sleep(8)


def publish(world, version):
    transactional_store.put_now(
        world.store, traffic_data.CATALOG_KEY, traffic_data.encode_version(version)
    )


def list_versions(world):
    return [
        machine.agent.cache.catalog.version
        for machine in world.machines
        if machine.agent is not None
    ]


def play(scene):
    async def run():
        world, watches = range_simulation.make_world(1, count=COUNT), []
        await start(world, watches)
        try:
            return await scene(world, watches)
        finally:
            await range_simulation.close(world)

    return virtual_time.run(run())


def test_only_one_daemon_of_a_region_watches_the_store_in_steady_state():
    async def scene(world, watches):
        watches.clear()
        await asyncio.sleep(10)
        return {instance for _, instance in watches}

    assert len(play(scene)) == REGIONS


def test_starting_all_daemons_takes_few_watches_per_daemon():
    async def scene(world, watches):
        return len(watches)

    assert play(scene) <= 30 * COUNT


def test_a_change_reaches_every_daemon_within_one_watch_of_a_peer():
    async def scene(world, watches):
        publish(world, 2)
        await asyncio.sleep(watch_relay.PEER_WATCH_MS / 1000)
        return list_versions(world)

    assert play(scene) == [2] * COUNT


def test_a_change_reaches_every_daemon_after_the_loss_of_all_watchers():
    async def scene(world, watches):
        watchers = {
            watcher.instance
            for machine in world.machines
            for watcher in watch_relay.find_watchers(machine.agent, machine.region)
        }
        for machine in world.machines:
            if machine.instance in watchers:
                range_simulation.kill_daemon(machine)
        publish(world, 2)
        await asyncio.sleep(2)
        return list_versions(world)

    assert play(scene) == [2] * (COUNT - REGIONS * watch_relay.WATCHERS_PER_REGION)


def test_a_stalled_watcher_delays_a_change_by_at_most_three_watches_of_a_peer():
    async def scene(world, watches):
        last = world.machines[-1]
        stalled = watch_relay.find_watchers(last.agent, last.region)[0].instance
        for machine in world.machines:
            if machine.instance == stalled:
                machine.client.cut_until_ms = transactional_store.now_ms() + 60_000
        await asyncio.sleep(0.2)
        publish(world, 2)
        await asyncio.sleep(3 * watch_relay.PEER_WATCH_MS / 1000)
        return [
            machine.agent.cache.catalog.version
            for machine in world.machines
            if machine.instance != stalled
        ]

    assert play(scene) == [2] * (COUNT - 1)


def test_a_change_reaches_a_region_whose_two_watchers_have_other_faults():
    """The first watcher's connection has stalled, the second one's source is lost."""

    async def scene(world, watches):
        near, far = (
            watch_relay.find_watchers(world.machines[0].agent, region)
            for region in ("north", "south")
        )
        for machine in world.machines:
            if machine.instance == near[0].instance:
                machine.client.cut_until_ms = transactional_store.now_ms() + 60_000
            if machine.instance == far[0].instance:
                range_simulation.kill_daemon(machine)
        await asyncio.sleep(0.2)
        publish(world, 2)
        await asyncio.sleep(2.5)
        return [
            machine.agent.cache.catalog.version
            for machine in world.machines
            if machine.agent is not None and machine.instance != near[0].instance
        ]

    assert play(scene) == [2] * (COUNT - 2)
