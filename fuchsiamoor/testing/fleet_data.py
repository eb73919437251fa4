"""Fleets of many daemons under virtual time, with counts of what they do."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fuchsiamoor.agent import lifecycle
from fuchsiamoor.core import errors, members
from fuchsiamoor.testing import range_simulation, transactional_store

REGIONS = ("north", "south", "east")
START_S = 8


@dataclass(slots=True)
class Fleet:
    """A running fleet.

    Parameters
    ----------
    world : World
    store_calls : Counter
        Calls of all daemons to the store, by name.
    messages : Counter
        Messages between daemons, by type.
    """

    world: range_simulation.World
    store_calls: Counter = field(default_factory=Counter)
    messages: Counter = field(default_factory=Counter)


class _CountingClient(transactional_store.StoreClient):
    """A client of the store that counts its calls."""

    def __init__(self, fleet: Fleet):
        super().__init__(fleet.world.store)
        self._fleet = fleet

    def __getattribute__(self, name):
        found = super().__getattribute__(name)
        if asyncio.iscoroutinefunction(found):
            self._fleet.store_calls[name] += 1
        return found


class _CountingLinks:
    """Links that find a daemon in constant time and count messages."""

    def __init__(self, fleet: Fleet, own_id: str):
        self._fleet = fleet
        self._own_id = own_id

    def tell(self, member, message) -> None:
        """Count a message."""
        self._fleet.messages[type(message).__name__] += 1

    async def call(self, member, message, timeout_ms):
        """Return the answer of a member's daemon to a message."""
        self._fleet.messages[type(message).__name__] += 1
        await asyncio.sleep(0.002)
        machine = self._fleet.world.machines[int(member.instance.split("-")[1])]
        agent = machine.agent
        if agent is None or agent.run != members.run_of(member.member_id):
            raise errors.PeerUnreachableError(member.member_id)
        return await lifecycle.handle_message(agent, self._own_id, message)

    async def close(self, grace_ms: int = 0) -> None:
        """Do nothing."""


async def start_fleet(count: int, spread_s: tuple[float, float] = (0, 0)) -> Fleet:
    """Start daemons and upstreams in three regions, and wait `START_S` seconds.

    Parameters
    ----------
    count : int
    spread_s : tuple of float, optional
        Times over which the starts of daemons, and of upstreams, are spread.
    """
    fleet = Fleet(range_simulation.make_world(1, count))
    for number, machine in enumerate(fleet.world.machines):
        machine.instance = f"m-{number:03}"
        machine.region = REGIONS[number % len(REGIONS)]
    await asyncio.gather(
        *(_start_machine(fleet, machine, spread_s) for machine in fleet.world.machines)
    )
    await asyncio.sleep(START_S)
    return fleet


async def _start_machine(
    fleet: Fleet, machine: range_simulation.Machine, spread_s: tuple[float, float]
) -> None:
    delays_s = [fleet.world.rng.uniform(0, longest_s) for longest_s in spread_s]
    await asyncio.sleep(delays_s[0])
    range_simulation.start_daemon(fleet.world, machine)
    machine.client = machine.agent.store.direct = _CountingClient(fleet)
    machine.agent.links = _CountingLinks(fleet, machine.instance)
    await asyncio.sleep(max(0.0, delays_s[1] - delays_s[0]))
    range_simulation.start_upstream(fleet.world, machine)
