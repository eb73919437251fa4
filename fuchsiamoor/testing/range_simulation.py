"""Simulation of range ownership: daemons, upstreams with their own clocks, a checker.

The daemons are the production code without sockets. Their tasks run on the event loop's
virtual time, and upstreams send heartbeats by direct function calls.
"""

import asyncio
import random
from dataclasses import dataclass, field

from fuchsiamoor.agent import awaited_grants, lifecycle, state
from fuchsiamoor.core import errors, members
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon.upstream_connection import Lost
from fuchsiamoor.ranges import granting
from fuchsiamoor.testing import traffic_data, transactional_store
from fuchsiamoor.traffic import catalog, upstreams

HEARTBEAT_MS = 870
# An upstream whose holds changed sends its next heartbeat after this time.
REPORT_AGAIN_MS = 100
# Time in which all machines have started and the first table is granted.
START_S = 5.0
# Share of the released ranges in which the upstream still runs a request for one key.
BUSY_RELEASE_SHARE = 0.5
SERVICE = traffic_data.KEYED_SERVICE


@dataclass(slots=True)
class Hold:
    """A range of keys that an upstream may serve until ``until_ms``."""

    first: int
    last: int
    fence: int
    until_ms: float


@dataclass(slots=True)
class Upstream:
    """One run of a simulated upstream.

    Parameters
    ----------
    clock_rate : float
        Rate of its clock; below 1, holds last longer than granted.
    still_busy : list of Hold
        Keys of released ranges that it serves until their running requests end.
    released : list of ReleasedRange
        Released ranges that the next heartbeat reports.
    granted_fences : list of (int, int, int)
        Accepted grants as (first key, last key, fence).
    """

    instance: str
    incarnation: upstreams.Incarnation
    clock_rate: float
    holds: list[Hold] = field(default_factory=list)
    still_busy: list[Hold] = field(default_factory=list)
    released: list[upstreams.ReleasedRange] = field(default_factory=list)
    granted_fences: list[tuple[int, int, int]] = field(default_factory=list)
    sequence: int = 0
    is_up: bool = True
    is_draining: bool = False


@dataclass(slots=True)
class Machine:
    """The daemon and the upstream of one instance; each may be stopped.

    Parameters
    ----------
    isolated_until_ms : float
        Time until which its daemon reaches no other daemon, and none reaches it.
    """

    instance: str
    region: str
    client: transactional_store.StoreClient | None = None
    agent: state.Agent | None = None
    supervisor: asyncio.Task | None = None
    upstream: Upstream | None = None
    heartbeats: asyncio.Task | None = None
    isolated_until_ms: float = 0.0


@dataclass(slots=True)
class World:
    """All machines, the store, and the violations found by the checker.

    Parameters
    ----------
    violations : list of str
        Keys with two holders, fences that did not increase, and failed heartbeats.
    newest_fences : dict of int to (int, str)
        Newest fence of a key and its holder, for every 256th key.
    late_share : float
        Share of the heartbeats, and of the answers to them, that are delayed.
    service : str
        Service of all upstreams.
    """

    rng: random.Random
    store: transactional_store.StoreState
    machines: list[Machine] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    newest_fences: dict[int, tuple[int, str]] = field(default_factory=dict)
    upstream_starts: int = 0
    late_share: float = 0.0
    service: str = SERVICE


class SimulatedLinks:
    """Links of a daemon to the other running daemons."""

    def __init__(self, world: World, own_id: str):
        self._world = world
        self._own_id = own_id

    def tell(self, member, message) -> None:
        """Discard a message."""

    async def call(self, member, message, timeout_ms):
        """Return the answer of a member's daemon to a message."""
        await asyncio.sleep(0.002)
        if self._is_isolated(self._own_id):
            raise errors.PeerUnreachableError(member.member_id)
        for machine in self._world.machines:
            agent = machine.agent
            if agent is None or agent.run != members.run_of(member.member_id):
                continue
            if not self._is_isolated(machine.instance):
                return await lifecycle.handle_message(agent, self._own_id, message)
        raise errors.PeerUnreachableError(member.member_id)

    def _is_isolated(self, instance: str) -> bool:
        now_ms = transactional_store.now_ms()
        return any(
            now_ms < machine.isolated_until_ms
            for machine in self._world.machines
            if machine.instance == instance
        )

    async def close(self, grace_ms: int = 0) -> None:
        """Do nothing."""


def make_world(seed: int, count: int = 4, service: str = SERVICE) -> World:
    """Return a simulation of stopped machines with a catalog in its store."""
    rng = random.Random(seed)
    store = transactional_store.make_store_state(rng)
    world = World(rng, store, service=service)
    for number in range(count):
        region = ("north", "south")[number % 2]
        world.machines.append(Machine(f"10.0.0.{number + 1}", region))
    transactional_store.put_now(
        world.store, traffic_data.CATALOG_KEY, traffic_data.encode_version(1)
    )
    return world


async def start_checked(seed: int, count: int) -> tuple[World, asyncio.Task]:
    """Return a simulation in which every key is held, and its checker's task."""
    world = make_world(seed, count)
    checking = asyncio.create_task(check_continuously(world))
    for machine in world.machines:
        start_daemon(world, machine)
        start_upstream(world, machine)
    await asyncio.sleep(START_S)
    assert holds_all_keys(world)
    return world, checking


def start_daemon(world: World, machine: Machine) -> None:
    """Start a machine's daemon with empty state."""
    machine.client = transactional_store.StoreClient(world.store)
    settings = traffic_data.make_settings(
        machine.instance, machine.region, world.service
    )
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), machine.client)
    agent.links = SimulatedLinks(world, machine.instance)
    agent.ask_health = lambda asking: _answer_health(machine)
    agent.now_ms = lambda: round(transactional_store.now_ms())
    agent.rng = random.Random(world.rng.random())
    machine.agent = agent
    machine.supervisor = asyncio.create_task(lifecycle.run_tree(agent))


async def _answer_health(machine: Machine) -> Lost | NotRun:
    """Refuse the connection if no upstream runs, and time out otherwise."""
    await asyncio.sleep(0.001)
    if machine.upstream is None:
        return NotRun(Reason.CONNECT_FAILED, "connection refused")
    return Lost(Reason.DEADLINE_PASSED, "no answer")


def kill_daemon(machine: Machine) -> None:
    """Stop a machine's daemon without a shutdown."""
    if machine.supervisor is not None:
        machine.supervisor.cancel()
        machine.client.is_closed = True
        for task in tuple(machine.agent.tasks):
            task.cancel()
    machine.supervisor = machine.agent = None


def start_upstream(world: World, machine: Machine, upstream_id: str = "") -> None:
    """Start a new run of a machine's upstream."""
    world.upstream_starts += 1
    machine.upstream = Upstream(
        machine.instance,
        upstreams.Incarnation(
            upstream_id or f"i-{world.upstream_starts}", world.upstream_starts
        ),
        clock_rate=world.rng.uniform(0.98, 1.0),
    )
    machine.heartbeats = asyncio.create_task(
        _send_heartbeats(world, machine, machine.upstream)
    )


def kill_upstream(machine: Machine) -> None:
    """Crash a machine's upstream; its address then refuses connections."""
    if machine.upstream is None:
        return
    machine.upstream.is_up = False
    machine.upstream.holds.clear()
    machine.heartbeats.cancel()
    machine.upstream = None


def isolate(machine: Machine, duration_ms: float) -> None:
    """Cut a machine off the store and all other daemons; its upstream is not."""
    if machine.client is None:
        return
    until_ms = transactional_store.now_ms() + duration_ms
    machine.client.cut_until_ms = machine.isolated_until_ms = until_ms


def silence(machine: Machine, duration_ms: float) -> None:
    """Let a daemon's watches report nothing for a while, then all changes at once."""
    if machine.client is not None:
        until_ms = transactional_store.now_ms() + duration_ms
        machine.client.silent_until_ms = until_ms


def hold_heartbeats(world: World, machine: Machine, delay_s: float) -> None:
    """Let an upstream send its next heartbeat after a delay."""
    machine.heartbeats.cancel()
    machine.heartbeats = asyncio.create_task(
        _send_heartbeats(world, machine, machine.upstream, delay_s)
    )


async def _send_heartbeats(
    world: World, machine: Machine, upstream: Upstream, delay_s: float = 0.0
) -> None:
    await asyncio.sleep(delay_s)
    while upstream.is_up:
        must_report_again = await _send_heartbeat(world, machine, upstream)
        wait_ms = REPORT_AGAIN_MS if must_report_again else HEARTBEAT_MS
        await asyncio.sleep(wait_ms * world.rng.uniform(0.9, 1.1) / 1000)


async def _send_heartbeat(world: World, machine: Machine, upstream: Upstream) -> bool:
    """Send one heartbeat; return whether to send the next after `REPORT_AGAIN_MS`."""
    sent_ms = transactional_store.now_ms()
    _expire_holds(upstream, sent_ms)
    upstream.sequence += 1
    heartbeat = upstreams.UpstreamHeartbeat(
        upstream.incarnation,
        world.service,
        traffic_data.ADDRESS,
        f"{machine.region}-1",
        upstream.sequence,
        18,
        upstream.is_draining,
        0,
        tuple(
            upstreams.HeldRange(hold.first, hold.last, hold.fence)
            for hold in upstream.holds + upstream.still_busy
        ),
        tuple(upstream.released),
    )
    if world.rng.random() < world.late_share:
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    agent = machine.agent
    if agent is None:
        return False
    try:
        grants = await awaited_grants.answer_heartbeat(agent, heartbeat)
    except Exception as error:
        world.violations.append(f"heartbeat failed: {error!r}")
        return False
    if machine.agent is not agent:
        return False
    if world.rng.random() < world.late_share:
        await asyncio.sleep(world.rng.uniform(0.05, 1.4))
    answered_ms = transactional_store.now_ms()
    if not upstream.is_up or answered_ms - sent_ms > 1_000 + 2_500:
        return False
    upstream.released.clear()
    return _apply_grants(world, upstream, grants, sent_ms)


def _expire_holds(upstream: Upstream, now_ms: float) -> None:
    upstream.holds = [hold for hold in upstream.holds if hold.until_ms > now_ms]
    for hold in upstream.still_busy:
        if hold.until_ms <= now_ms:
            token = f"t{len(upstream.granted_fences)}"
            released = upstreams.ReleasedRange(hold.first, hold.last, token)
            upstream.released.append(released)
    upstream.still_busy = [
        hold for hold in upstream.still_busy if hold.until_ms > now_ms
    ]


def _apply_grants(
    world: World, upstream: Upstream, grants: granting.Grants | None, sent_ms: float
) -> bool:
    if grants is None:
        return False
    until_ms = sent_ms + grants.hold_ms / upstream.clock_rate
    now_ms = transactional_store.now_ms()
    granted = {(grant.first, grant.last) for grant in grants.rows}
    must_report_again = False
    for hold in tuple(upstream.holds):
        if (hold.first, hold.last) not in granted:
            upstream.holds.remove(hold)
            _release_uncovered(world, upstream, hold, grants)
            must_report_again = True
    for grant in grants.rows:
        _accept_grant(world, upstream, grant, until_ms, now_ms)
    return must_report_again or bool(upstream.still_busy)


def _release_uncovered(
    world: World, upstream: Upstream, hold: Hold, grants: granting.Grants
) -> None:
    """Release the parts of a hold that no grant covers any longer."""
    uncovered = [(hold.first, hold.last)]
    for grant in grants.rows:
        remaining = []
        for first, last in uncovered:
            if grant.last < first or grant.first > last:
                remaining.append((first, last))
                continue
            if first < grant.first:
                remaining.append((first, grant.first - 1))
            if grant.last < last:
                remaining.append((grant.last + 1, last))
        uncovered = remaining
    for first, last in uncovered:
        if world.rng.random() < BUSY_RELEASE_SHARE and last > first:
            done_ms = transactional_store.now_ms() + world.rng.uniform(50, 1_500)
            done_ms = min(done_ms, hold.until_ms)
            upstream.still_busy.append(Hold(first, first, hold.fence, done_ms))
            first += 1
        token = f"t{world.rng.random()}"
        upstream.released.append(upstreams.ReleasedRange(first, last, token))


def _accept_grant(
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
    for first, last, fence in upstream.granted_fences:
        if first <= grant.last and grant.first <= last and fence > grant.fence:
            return
    if until_ms <= now_ms:
        return
    upstream.holds.append(Hold(grant.first, grant.last, grant.fence, until_ms))
    upstream.granted_fences.append(grant[:3])
    _check_fence(world, upstream, grant)


def _check_fence(world: World, upstream: Upstream, grant: granting.Grant) -> None:
    name = upstreams.format_incarnation(upstream.incarnation)
    for key in range(grant.first, grant.last + 1, 256):
        fence, holder = world.newest_fences.get(key, (0, ""))
        if holder not in ("", name) and grant.fence <= fence:
            world.violations.append(f"key {key}: fence {grant.fence} after {fence}")
        if grant.fence >= fence:
            world.newest_fences[key] = (grant.fence, name)


async def check_continuously(world: World) -> None:
    """Record keys with two holders every 10 ms, until cancelled."""
    while True:
        await asyncio.sleep(0.01)
        check_once(world)


def check_once(world: World) -> None:
    """Record every pair of running upstreams that hold the same key now."""
    now_ms = transactional_store.now_ms()
    holds = [
        (hold.first, hold.last, machine.instance)
        for machine in world.machines
        if machine.upstream is not None
        for hold in machine.upstream.holds + machine.upstream.still_busy
        if hold.until_ms > now_ms
    ]
    holds.sort()
    previous_end = (-1, "")
    for first, last, instance in holds:
        if first <= previous_end[0] and instance != previous_end[1]:
            world.violations.append(f"key {first}: {previous_end[1]} and {instance}")
        previous_end = max(previous_end, (last, instance))


def count_held_keys(world: World) -> int:
    """Return the number of keys that running upstreams hold now."""
    now_ms = transactional_store.now_ms()
    return sum(
        hold.last - hold.first + 1
        for machine in world.machines
        if machine.upstream is not None
        for hold in machine.upstream.holds
        if hold.until_ms > now_ms
    )


def holds_all_keys(world: World) -> bool:
    """Return whether every key is held by an upstream."""
    return count_held_keys(world) == catalog.KEY_COUNT


async def close(world: World) -> None:
    """Stop all daemons and upstreams."""
    for machine in world.machines:
        kill_daemon(machine)
        kill_upstream(machine)
    await asyncio.sleep(0)
