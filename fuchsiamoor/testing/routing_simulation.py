"""Simulation of request routing between daemons, with faulty links and upstreams.

The entry and serving sides of the daemons are the production code, in one event loop on
virtual time. `World.runs` records every run at an upstream, so that tests can compare
the answers with it.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered, Forward, Message
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import entry, serving
from fuchsiamoor.daemon.forwarding import Entry
from fuchsiamoor.daemon.serving_state import Serving
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.routing import error_answers, routes
from fuchsiamoor.testing import requests_data, virtual_time

LINK_MS = 2
RUN_MS = 10
LEASE_MS = 800


class LinkFault(Enum):
    """A fault of one call on a link."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    LOST_BEFORE = "lost before it arrived"
    LOST_AFTER = "lost after it arrived"
    ANSWER_LOST = "answer never comes"
    ANSWER_LATE = "answer comes late"
    ANSWER_CROSSED = "answer to another request"
    TWICE = "arrives twice"
    TWICE_LATE = "arrives again much later"


class UpstreamFault(Enum):
    """A fault of an upstream in handling one request."""

    NONE = "none"
    SHED = "sheds it"
    REFUSES_CONNECTION = "cannot be reached"
    LOST_RAN = "runs it, then the connection breaks"
    LOST_NOT_RUN = "the connection breaks before it runs"
    SLOW = "takes long"
    STUCK = "takes longer than any deadline"
    FENCED = "refuses the epoch"


class RunRecord(NamedTuple):
    """One run of a request at an upstream.

    Parameters
    ----------
    request_id : str
    tenant : str
    instance : str
    shard : int
    started_ms, ended_ms : int
    """

    request_id: str
    tenant: str
    instance: str
    shard: int
    started_ms: int
    ended_ms: int


@dataclass(slots=True)
class Node:
    """One daemon's entry and serving sides.

    Parameters
    ----------
    may_serve : bool
        Whether it may serve the shards that the table assigns to it.
    """

    member: Member
    entry: Entry | None = None
    serving: Serving | None = None
    may_serve: bool = False


@dataclass(slots=True)
class World:
    """The daemons, their shard table, pending faults and recorded events.

    Parameters
    ----------
    link_faults, upstream_faults : list
        Faults of the next calls and runs; those after them succeed.
    received : list of (str, Request)
        Member id and request of every forward that arrived.
    """

    configuration: Configuration
    table: ShardTable | None
    nodes: dict[str, Node] = field(default_factory=dict)
    link_faults: list[LinkFault] = field(default_factory=list)
    upstream_faults: list[UpstreamFault] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    received: list[tuple[str, Request]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)
    in_flight: Counter[str] = field(default_factory=Counter)
    in_flight_max: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value


def make_world(
    members: list[Member],
    configuration: Configuration | None = None,
    owner: str | None = None,
    seed: int = 1,
) -> World:
    """Return a simulation in which ``owner``, or the first member, owns all shards."""
    owner = members[0].member_id if owner is None else owner
    world = World(
        configuration or requests_data.make_configuration(),
        requests_data.make_table(owner),
    )
    for member in members:
        _add_node(world, member, random.Random(seed))
    if owner in world.nodes:
        world.nodes[owner].may_serve = True
    return world


def _add_node(world: World, member: Member, rng: random.Random) -> None:
    node = Node(member)
    node.serving = serving.make_serving(
        get_configuration=lambda: world.configuration,
        get_table=lambda domain: world.table,
        own_member=lambda: member,
        check_serve=lambda domain, shard: _check_serve(world, node, shard),
        upstream=_SimulatedUpstream(world, member),
        metrics=world,
        now_ms=virtual_time.now_ms,
        unix_ms=virtual_time.now_ms,
    )
    node.entry = entry.make_entry(
        get_configuration=lambda: world.configuration,
        get_table=lambda domain: world.table,
        get_member=lambda member_id: _get_member(world, member_id),
        list_members=lambda service: [each.member for each in world.nodes.values()],
        own_member=lambda: member,
        links=_SimulatedLinks(world, member),
        serve_local=lambda forward: serving.serve(node.serving, forward),
        metrics=world,
        now_ms=virtual_time.now_ms,
        rng=rng,
    )
    world.nodes[member.member_id] = node


def announce_upstreams(world: World) -> None:
    """Announce every upstream as already warm."""
    for node in world.nodes.values():
        serving.handle_upstream_announced(
            node.serving, "first", node.member.slots, node.member.connections
        )
        warm = node.serving.capacity.ramp._replace(started_ms=-1_000_000)
        node.serving.capacity.ramp = warm


async def move_planned(world: World, new_owner: str) -> None:
    """Move all shards as planned: drain the old owner, then change the table."""
    table = world.table
    old = world.nodes[table.owners[0]]
    old.may_serve = False
    await serving.drain_shards(old.serving, table.domain, range(table.shard_count))
    change_owner(world, new_owner)
    world.nodes[new_owner].may_serve = True
    notify_ownership_change(world)


async def move_unplanned(world: World, new_owner: str) -> None:
    """Move all shards from a lost owner, after its lease and the longest run."""
    service = world.configuration.services["stock"]
    world.nodes[world.table.owners[0]].may_serve = False
    await asyncio.sleep((LEASE_MS + service.longest_run_ms) / 1000)
    change_owner(world, new_owner)
    world.nodes[new_owner].may_serve = True
    notify_ownership_change(world)


def change_owner(world: World, new_owner: str) -> None:
    """Replace the table by a newer one in which one member owns all shards."""
    revision = world.table.revision + 1
    world.table = requests_data.make_table(new_owner, revision)


def notify_ownership_change(world: World) -> None:
    """Notify every daemon that ownership has changed."""
    for node in world.nodes.values():
        entry.handle_table_change(node.entry, world.table.domain)
        serving.handle_state_change(node.serving)


def count_runs(world: World, request_id: str) -> int:
    """Return how often a request ran at an upstream."""
    return sum(record.request_id == request_id for record in world.runs)


def list_leaks(world: World) -> list[str]:
    """Return the resources that daemons hold although every request has ended."""
    leaks = []
    for node in world.nodes.values():
        capacity = node.serving.capacity
        sizes = {
            "entry parking": node.entry.parking.count,
            "entry parked bytes": node.entry.parking.size_bytes,
            "serving parking": node.serving.parking.count,
            "running": len(node.serving.running),
            "running by key": len(node.serving.running_by_key),
            "runs": len(node.serving.runs.counts),
            "slots": capacity.in_flight if capacity else 0,
            "queue": len(capacity.waiting) if capacity else 0,
            "in flight": sum(
                each.in_flight for each in node.entry.measurements.members.values()
            ),
        }
        leaks += [
            f"{node.member.instance} {name}" for name, size in sizes.items() if size
        ]
    return leaks


def _check_serve(world: World, node: Node, shard: int) -> MayServe | Wait | NotOwner:
    table = world.table
    if table.owners[shard] != node.member.member_id:
        return NotOwner(table.owners[shard])
    if not node.may_serve:
        return Wait("handed over")
    return MayServe(table.epochs[shard], virtual_time.now_ms() + LEASE_MS)


def _get_member(world: World, member_id: str) -> Member | None:
    node = world.nodes.get(member_id)
    return node.member if node else None


class _SimulatedLinks:
    """Links of one daemon; each call takes the next fault of ``World.link_faults``."""

    def __init__(self, world: World, own: Member) -> None:
        self.world = world
        self.own = own

    async def call(self, member: Member, message: Message, timeout_ms: int) -> Message:
        world = self.world
        fault = world.link_faults.pop(0) if world.link_faults else LinkFault.NONE
        append_log(
            world,
            f"{self.own.instance} > {member.instance} {_describe_message(message)}",
            fault,
        )
        try:
            return await asyncio.wait_for(
                self._transmit(member, message, fault), timeout_ms / 1000
            )
        except TimeoutError:
            raise errors.PeerTimeoutError from None

    async def _transmit(
        self, member: Member, message: Forward, fault: LinkFault
    ) -> Message:
        if fault is LinkFault.UNREACHABLE:
            raise errors.PeerUnreachableError
        await asyncio.sleep(LINK_MS / 1000)
        if fault is LinkFault.LOST_BEFORE:
            raise errors.PeerLinkLostError
        arrived = self._deliver(member, message)
        if fault is LinkFault.LOST_AFTER:
            raise errors.PeerLinkLostError
        if fault is LinkFault.TWICE:
            self._deliver(member, message)
        answered = await asyncio.shield(arrived)
        if fault is LinkFault.TWICE_LATE:
            self._deliver(member, message, delay_ms=300)
        if fault is LinkFault.ANSWER_LOST:
            await asyncio.sleep(3_600)
        if fault is LinkFault.ANSWER_LATE:
            await asyncio.sleep(0.15)
        if fault is LinkFault.ANSWER_CROSSED:
            crossed = answered.answer._replace(request_id="another")
            return answered._replace(answer=crossed)
        await asyncio.sleep(LINK_MS / 1000)
        return answered

    def _deliver(
        self, member: Member, message: Forward, delay_ms: int = 0
    ) -> asyncio.Task[Answered]:
        self.world.received.append((member.member_id, message.request))
        node = self.world.nodes[member.member_id]

        async def receive() -> Answered:
            await asyncio.sleep(delay_ms / 1000)
            return await serving.serve(node.serving, message)

        return start_task(self.world, receive())

    def tell(self, member: Member, message: Message) -> None:
        append_log(
            self.world,
            f"{self.own.instance} > {member.instance} {_describe_message(message)}",
        )
        if not isinstance(message, messages.Cancel):
            return
        node = self.world.nodes[member.member_id]

        async def receive() -> None:
            await asyncio.sleep(LINK_MS / 1000)
            serving.cancel(node.serving, message.request_id)

        start_task(self.world, receive())


class _SimulatedUpstream:
    """An upstream that ignores cancellation but starts no run after the deadline."""

    def __init__(self, world: World, member: Member) -> None:
        self.world = world
        self.member = member

    async def run(
        self,
        request: Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
        domain: str = "",
    ) -> Answer:
        world = self.world
        instance = self.member.instance
        fault = (
            world.upstream_faults.pop(0)
            if world.upstream_faults
            else UpstreamFault.NONE
        )
        append_log(world, f"{instance} runs {request.request_id}", fault)
        world.in_flight[instance] += 1
        world.in_flight_max[instance] = max(
            world.in_flight_max[instance], world.in_flight[instance]
        )
        try:
            return await self._run(request, shard, fault)
        finally:
            world.in_flight[instance] -= 1

    async def _run(self, request: Request, shard: int, fault: UpstreamFault) -> Answer:
        def fail(verdict: NotRun | MayHaveRun) -> Answer:
            return error_answers.make_error_answer(request.request_id, verdict)

        await asyncio.sleep(0.001)
        match fault:
            case UpstreamFault.SHED:
                return fail(NotRun(Reason.SHED))
            case UpstreamFault.FENCED:
                return fail(NotRun(Reason.FENCED))
            case UpstreamFault.REFUSES_CONNECTION:
                return fail(NotRun(Reason.CONNECT_FAILED))
            case UpstreamFault.LOST_NOT_RUN:
                return fail(MayHaveRun(Reason.UPSTREAM_LOST))
        run_ms = {UpstreamFault.SLOW: 200, UpstreamFault.STUCK: 499}.get(fault, RUN_MS)
        started_ms = virtual_time.now_ms()
        record = RunRecord(
            request.request_id,
            request.tenant,
            self.member.instance,
            shard,
            started_ms,
            started_ms + run_ms,
        )
        self.world.runs.append(record)
        left_ms = min(run_ms, request.deadline_ms - started_ms)
        await asyncio.sleep(max(left_ms, 0) / 1000)
        if left_ms < run_ms:
            return fail(MayHaveRun(Reason.DEADLINE_PASSED))
        if fault is UpstreamFault.LOST_RAN:
            return fail(MayHaveRun(Reason.UPSTREAM_LOST))
        body = f"{request.request_id} {request.path}".encode()
        return Answer(request.request_id, Ran(), 200, (), body, self.member.instance)


def start_task(world: World, coroutine) -> asyncio.Task:
    """Start a task and keep a reference to it until it ends."""
    task = asyncio.ensure_future(coroutine)
    world.tasks.add(task)
    task.add_done_callback(world.tasks.discard)
    return task


def append_log(world: World, line: str, fault: Enum | None = None) -> None:
    """Append a line with the virtual time to the log."""
    suffix = f" ({fault.value})" if fault and fault.value != "none" else ""
    world.log.append(f"{virtual_time.now_ms():>5} {line}{suffix}")


def find_shard(world: World, request: Request) -> int:
    """Return the shard of a request's key."""
    return routes.find_shard(world.table, request)


def _describe_message(message: Message) -> str:
    match message:
        case Forward(request=request, attempt=attempt):
            return f"Forward {request.request_id} attempt {attempt}"
        case messages.Cancel(request_id):
            return f"Cancel {request_id}"
        case _:
            return type(message).__name__
