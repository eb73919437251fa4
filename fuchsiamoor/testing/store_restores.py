"""Drills in which the simulated store comes back from a copy."""

import asyncio

from fuchsiamoor.testing import range_simulation, transactional_store

# Ages of the copy, and times for which the store is away before it comes back.
AGES_S = (0.2, 7.0)
AWAY_S = (0.1, 2.5)


def schedule_restore(world: range_simulation.World) -> None:
    """Copy the store now, and bring the copy back after a random time and outage."""
    copy = transactional_store.take_copy(world.store)
    age_s, away_s = world.rng.uniform(*AGES_S), world.rng.uniform(*AWAY_S)
    asyncio.get_running_loop().call_later(age_s, go_away, world, away_s, copy)


def go_away(
    world: range_simulation.World, away_s: float, copy: transactional_store.Copy
) -> None:
    """Take the store down; it comes back from the copy."""
    world.store.down_until_ms = transactional_store.now_ms() + away_s * 1000
    transactional_store.restore(world.store, copy)
