"""Restores of the store from a copy: one owner of each key, and rising fences."""

import asyncio

import pytest

from fuchsiamoor.agent import ownership_schedules_test as schedules
from fuchsiamoor.testing import range_simulation, store_restores, virtual_time

SEEDS = range(12)


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
