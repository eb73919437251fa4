"""A world for tests of range ownership: daemons, upstreams with clocks, and a checker.

The daemons are the real ones without sockets: their store parts run on the loop's
virtual time, and upstreams report to them by plain calls.
"""

import asyncio
import random
from dataclasses import dataclass, field

from fuchsiamoor.agent import lifecycle, state, table_writer
from fuchsiamoor.core import errors, members
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon.upstream_connection import Lost
from fuchsiamoor.ranges import granting
from fuchsiamoor.testing import traffic_data, transactional_store
from fuchsiamoor.traffic import catalog, upstreams

HEARTBEAT_MS = 870
# A change of hold is reported again this soon.
AGAIN_MS = 100
# Share of the releases after which the upstream still works on a key.
WORKING_SHARE = 0.5
SERVICE = traffic_data.KEYED_SERVICE


@dataclass(slots=True)
class Hold:
    """Keys that a simulated upstream holds."""

    first: int
    last: int
    fence: int
    until_ms: float


@dataclass(slots=True)
class Upstream:
    """One life of a simulated upstream.

    Parameters
    ----------
    clock_rate : float
        Its clock's rate; below 1 it measures holds too long.
    working : list of Hold
        Keys let go of on which it still works until then.
    seen : list of (int, int, int)
        Highest fence seen on ranges of keys.
    """

    instance: str
    incarnation: upstreams.Incarnation
    clock_rate: float
    holds: list[Hold] = field(default_factory=list)
    working: list[Hold] = field(default_factory=list)
    released: list[upstreams.ReleasedRange] = field(default_factory=list)
    seen: list[tuple[int, int, int]] = field(default_factory=list)
    sequence: int = 0
    is_up: bool = True
    is_draining: bool = False


@dataclass(slots=True)
class Machine:
    """A daemon, running or not, and the upstream beside it."""

    instance: str
    region: str
    client: transactional_store.StoreClient | None = None
    agent: state.Agent | None = None
    tree: asyncio.Task | None = None
    upstream: Upstream | None = None
    beats: asyncio.Task | None = None


@dataclass(slots=True)
class World:
    """All machines, the store, and what the checker found."""

    rng: random.Random
    store: transactional_store.StoreState
    machines: list[Machine] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    fences: dict[int, tuple[int, str]] = field(default_factory=dict)
    births: int = 0
    late_share: float = 0.0


class WorldLinks:
    """Links of a daemon to the other living daemons of a world."""

    def __init__(self, world: World, own_id: str):
        self._world = world
        self._own_id = own_id

    def tell(self, member, message) -> None:
        """Drop a message."""

    async def call(self, member, message, timeout_ms):
        """Have the daemon of a member answer a message."""
        await asyncio.sleep(0.002)
        for machine in self._world.machines:
            agent = machine.agent
            if agent is not None and agent.run == members.run_of(member.member_id):
                return await lifecycle.handle_message(agent, self._own_id, message)
        raise errors.PeerUnreachableError(member.member_id)

    async def close(self, grace_ms: int = 0) -> None:
        """Close nothing."""


def make_world(seed: int, count: int = 4) -> World:
    """Return a world of stopped machines with a catalog in its store."""
    rng = random.Random(seed)
    world = World(rng, transactional_store.make_store_state(rng))
    for number in range(count):
        region = ("north", "south")[number % 2]
        world.machines.append(Machine(f"10.0.0.{number + 1}", region))
    transactional_store.put_now(
        world.store, traffic_data.CATALOG_KEY, traffic_data.encode_version(1)
    )
    return world


def start_daemon(world: World, machine: Machine) -> None:
    """Start a machine's daemon with nothing remembered."""
    machine.client = transactional_store.StoreClient(world.store)
    settings = traffic_data.make_settings(machine.instance, machine.region)
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), machine.client)
    agent.links = WorldLinks(world, machine.instance)
    agent.ask_health = lambda asking: _answer_health(machine)
    agent.now_ms = lambda: round(transactional_store.now_ms())
    agent.rng = random.Random(world.rng.random())
    machine.agent = agent
    machine.tree = asyncio.create_task(lifecycle.run_tree(agent))


async def _answer_health(machine: Machine) -> Lost | NotRun:
    """Refuse to connect where no upstream listens, and be silent elsewhere."""
    await asyncio.sleep(0.001)
    if machine.upstream is None:
        return NotRun(Reason.CONNECT_FAILED, "connection refused")
    return Lost(Reason.DEADLINE_PASSED, "no answer")


def kill_daemon(machine: Machine) -> None:
    """End a machine's daemon at once."""
    if machine.tree is not None:
        machine.tree.cancel()
        machine.client.is_closed = True
        for task in tuple(machine.agent.tasks):
            task.cancel()
    machine.tree = machine.agent = None


def start_upstream(world: World, machine: Machine, upstream_id: str = "") -> None:
    """Start another life of a machine's upstream."""
    world.births += 1
    machine.upstream = Upstream(
        machine.instance,
        upstreams.Incarnation(upstream_id or f"i-{world.births}", world.births),
        clock_rate=world.rng.uniform(0.98, 1.0),
    )
    machine.beats = asyncio.create_task(_beat(world, machine, machine.upstream))


def kill_upstream(machine: Machine) -> None:
    """Crash a machine's upstream; its address then refuses connections."""
    if machine.upstream is None:
        return
    machine.upstream.is_up = False
    machine.upstream.holds.clear()
    machine.beats.cancel()
    machine.upstream = None


async def _beat(world: World, machine: Machine, upstream: Upstream) -> None:
    while upstream.is_up:
        is_due_again = await _report(world, machine, upstream)
        wait_ms = AGAIN_MS if is_due_again else HEARTBEAT_MS
        await asyncio.sleep(wait_ms * world.rng.uniform(0.9, 1.1) / 1000)


async def _report(world: World, machine: Machine, upstream: Upstream) -> bool:
    """Send one heartbeat; True if another is due at once."""
    sent_ms = transactional_store.now_ms()
    _expire(upstream, sent_ms)
    upstream.sequence += 1
    heartbeat = upstreams.UpstreamHeartbeat(
        upstream.incarnation,
        SERVICE,
        upstream.sequence,
        18,
        upstream.is_draining,
        0,
        tuple(
            upstreams.HeldRange(hold.first, hold.last, hold.fence)
            for hold in upstream.holds + upstream.working
        ),
        tuple(upstream.released),
    )
    if world.rng.random() < world.late_share:
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    if machine.agent is None:
        return False
    try:
        grants = table_writer.answer_heartbeat(machine.agent, heartbeat)
    except Exception as error:
        world.faults.append(f"heartbeat failed: {error!r}")
        return False
    if world.rng.random() < world.late_share:
        await asyncio.sleep(world.rng.uniform(0.05, 1.4))
    answered_ms = transactional_store.now_ms()
    if not upstream.is_up or answered_ms - sent_ms > 1_000 + 2_500:
        return False
    upstream.released.clear()
    return _apply(world, upstream, grants, sent_ms)


def _expire(upstream: Upstream, now_ms: float) -> None:
    upstream.holds = [hold for hold in upstream.holds if hold.until_ms > now_ms]
    for hold in upstream.working:
        if hold.until_ms <= now_ms:
            token = f"t{len(upstream.seen)}"
            released = upstreams.ReleasedRange(hold.first, hold.last, token)
            upstream.released.append(released)
    upstream.working = [hold for hold in upstream.working if hold.until_ms > now_ms]


def _apply(
    world: World, upstream: Upstream, grants: granting.Grants | None, sent_ms: float
) -> bool:
    if grants is None:
        return False
    until_ms = sent_ms + grants.hold_ms / upstream.clock_rate
    now_ms = transactional_store.now_ms()
    granted = {(grant.first, grant.last) for grant in grants.rows}
    is_due_again = False
    for hold in tuple(upstream.holds):
        if (hold.first, hold.last) not in granted:
            upstream.holds.remove(hold)
            _release_rest(world, upstream, hold, grants)
            is_due_again = True
    for grant in grants.rows:
        _hold(world, upstream, grant, until_ms, now_ms)
    return is_due_again or bool(upstream.working)


def _release_rest(
    world: World, upstream: Upstream, hold: Hold, grants: granting.Grants
) -> None:
    """Report as released what no grant covers any more."""
    rest = [(hold.first, hold.last)]
    for grant in grants.rows:
        cut = []
        for first, last in rest:
            if grant.last < first or grant.first > last:
                cut.append((first, last))
                continue
            if first < grant.first:
                cut.append((first, grant.first - 1))
            if grant.last < last:
                cut.append((grant.last + 1, last))
        rest = cut
    for first, last in rest:
        if world.rng.random() < WORKING_SHARE and last > first:
            done_ms = transactional_store.now_ms() + world.rng.uniform(50, 1_500)
            done_ms = min(done_ms, hold.until_ms)
            upstream.working.append(Hold(first, first, hold.fence, done_ms))
            first += 1
        token = f"t{world.rng.random()}"
        upstream.released.append(upstreams.ReleasedRange(first, last, token))


def _hold(
    world: World,
    upstream: Upstream,
    grant: granting.Grant,
    until_ms: float,
    now_ms: float,
) -> None:
    for hold in upstream.holds:
        if (hold.first, hold.last, hold.fence) == grant[:3]:
            hold.until_ms = until_ms
            return
    for first, last, fence in upstream.seen:
        if first <= grant.last and grant.first <= last and fence > grant.fence:
            return
    if until_ms <= now_ms:
        return
    upstream.holds.append(Hold(grant.first, grant.last, grant.fence, until_ms))
    upstream.seen.append(grant[:3])
    _check_fence(world, upstream, grant)


def _check_fence(world: World, upstream: Upstream, grant: granting.Grant) -> None:
    name = upstreams.format_incarnation(upstream.incarnation)
    for key in range(grant.first, grant.last + 1, 256):
        fence, holder = world.fences.get(key, (0, ""))
        if holder not in ("", name) and grant.fence <= fence:
            world.faults.append(f"key {key}: fence {grant.fence} after {fence}")
        if grant.fence >= fence:
            world.fences[key] = (grant.fence, name)


async def check_always(world: World) -> None:
    """Look for keys that two living upstreams hold, until cancelled."""
    while True:
        await asyncio.sleep(0.01)
        check_once(world)


def check_once(world: World) -> None:
    """Note every pair of living upstreams that hold the same key now."""
    now_ms = transactional_store.now_ms()
    holds = [
        (hold.first, hold.last, machine.instance)
        for machine in world.machines
        if machine.upstream is not None
        for hold in machine.upstream.holds + machine.upstream.working
        if hold.until_ms > now_ms
    ]
    holds.sort()
    reached = (-1, "")
    for first, last, instance in holds:
        if first <= reached[0] and instance != reached[1]:
            world.faults.append(f"key {first}: {reached[1]} and {instance}")
        reached = max(reached, (last, instance))


def count_held(world: World) -> int:
    """Return how many keys some living upstream holds now."""
    now_ms = transactional_store.now_ms()
    return sum(
        hold.last - hold.first + 1
        for machine in world.machines
        if machine.upstream is not None
        for hold in machine.upstream.holds
        if hold.until_ms > now_ms
    )


def holds_all(world: World) -> bool:
    """Return whether every key is held."""
    return count_held(world) == catalog.KEY_COUNT


async def close(world: World) -> None:
    """End everything."""
    for machine in world.machines:
        kill_daemon(machine)
        kill_upstream(machine)
    await asyncio.sleep(0)
