"""Many daemons, few watches: what a start, a change and lost watchers cost."""

import asyncio

from fuchsiamoor.agent import watch_relay
from fuchsiamoor.testing import (
    range_world,
    traffic_data,
    transactional_store,
    virtual_time,
)

COUNT = 12


class CountingClient(transactional_store.StoreClient):
    """A client that counts watches by the instance that asked."""

    def __init__(self, store, instance, counted):
        super().__init__(store)
        self._instance = instance
        self._counted = counted

    async def watch(self, prefix, after_version, wait_ms):
        self._counted.append((transactional_store.now_ms(), self._instance))
        return await super().watch(prefix, after_version, wait_ms)


async def start(world, counted):
    for machine in world.machines:
        range_world.start_daemon(world, machine)
        client = CountingClient(world.store, machine.instance, counted)
        machine.client = machine.agent.store.direct = client
        range_world.start_upstream(world, machine)
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
        world, counted = range_world.make_world(1, count=COUNT), []
        await start(world, counted)
        try:
            return await scene(world, counted)
        finally:
            await range_world.close(world)

    return virtual_time.run(run())


def test_in_quiet_only_two_daemons_of_a_region_watch_the_store():
    async def scene(world, counted):
        counted.clear()
        await asyncio.sleep(10)
        return {instance for _, instance in counted}

    assert len(play(scene)) == 2 * watch_relay.WATCHERS_PER_REGION


def test_a_start_costs_few_watches_for_each_daemon():
    async def scene(world, counted):
        return len(counted)

    assert play(scene) <= 30 * COUNT


def test_a_change_is_known_everywhere_within_a_turn():
    async def scene(world, counted):
        publish(world, 2)
        await asyncio.sleep(watch_relay.PEER_WATCH_MS / 1000)
        return list_versions(world)

    assert play(scene) == [2] * COUNT


def test_the_loss_of_all_watchers_delays_a_change_but_hides_none():
    async def scene(world, counted):
        watchers = {
            one.instance
            for machine in world.machines
            for one in watch_relay.find_watchers(machine.agent)
        }
        for machine in world.machines:
            if machine.instance in watchers:
                range_world.kill_daemon(machine)
        publish(world, 2)
        await asyncio.sleep(2)
        return list_versions(world)

    assert play(scene) == [2] * (COUNT - 2 * watch_relay.WATCHERS_PER_REGION)


def test_a_watcher_that_hears_nothing_delays_a_change_by_a_turn_or_two():
    async def scene(world, counted):
        deaf = watch_relay.find_watchers(world.machines[-1].agent)[0].instance
        for machine in world.machines:
            if machine.instance == deaf:
                machine.client.cut_until_ms = transactional_store.now_ms() + 60_000
        await asyncio.sleep(0.2)
        publish(world, 2)
        await asyncio.sleep(3 * watch_relay.PEER_WATCH_MS / 1000)
        return [
            machine.agent.cache.catalog.version
            for machine in world.machines
            if machine.instance != deaf
        ]

    assert play(scene) == [2] * (COUNT - 1)
