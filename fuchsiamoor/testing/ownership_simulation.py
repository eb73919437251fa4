"""Deterministic simulation of one ownership domain with injected faults.

Lease holders, voters and coordinators are the production code. Links, store and clocks
are simulated; their latencies and clock rates come from a seeded random source. Every
step checks that no shard can be served by two members, and that no confirmed assignment
is lost.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import members as members_
from fuchsiamoor.core import messages, settings, tables
from fuchsiamoor.ownership import coordinator as coordinators
from fuchsiamoor.ownership import events, lease_holder, voter
from fuchsiamoor.store import port
from fuchsiamoor.testing import ownership_data as builders
from fuchsiamoor.testing import ownership_faults as faults

TICK_MS = 50
CALL_TIMEOUT_MS = 300
RUN_MS = 1_500
TIMING = builders.TIMING._replace(drift_ratio=0.2)


class OverlapError(AssertionError):
    """Two members could serve one shard at the same time."""


class LostAssignmentError(AssertionError):
    """A confirmed assignment is not in the store's history."""


@dataclass(slots=True)
class Node:
    """One run of a daemon, with its clock.

    Parameters
    ----------
    slot : int
        Position in the simulation, which determines the faults that affect the daemon.
    rate : float
        Rate of the daemon's clock; 1 is that of the simulation.
    offset_ms : int
        Reading of the daemon's clock at time 0 of the simulation.
    deferred_actions : list of callable
        Actions deferred until the end of a pause.
    seen_members : tuple of Member
        Members last passed to its coordinator.
    """

    member: members_.Member
    slot: int
    rate: float
    offset_ms: int
    holder: lease_holder.LeaseHolder
    coordinator: coordinators.Coordinator | None = None
    alive: bool = True
    paused_until_ms: int = 0
    deferred_actions: list[Callable[[], None]] = field(default_factory=list)
    seen_members: tuple[members_.Member, ...] = ()
    next_election_ms: int = 0
    store_lease: int = 0
    renew_due_ms: int = 0


class Run(NamedTuple):
    """Time until which a member's upstream may work on a shard."""

    member_id: str
    until_ms: int


@dataclass(slots=True)
class World:
    """The state of one simulation run.

    Parameters
    ----------
    queue : list
        Heap of (time in ms, sequence number, action).
    slots : list of Node or None
        The newest daemon started on each slot.
    history : dict of int to ShardTable
        Every table ever stored, by revision.
    lease : tuple of (int, str, int)
        Store lease of the coordinator: id, member id, end in ms.
    injected_faults : list of (int, Fault)
        Faults so far, each with its time in ms.
    runs : dict of int to dict of str to int
        For each shard and member, the time until which a request may run there.
    counts_leases_from_receipt : bool
        Whether lease holders count leases from the receipt of an answer instead of the
        time of the request; a fault that a test sets to show that it is detected.
    observe : callable, optional
        Receives (time in ms, member id or empty, event) for every event.
    """

    source: random.Random
    timing: settings.Timing = TIMING
    now_ms: int = 0
    queue: list = field(default_factory=list)
    sequence: int = 0
    nodes: list[Node] = field(default_factory=list)
    by_id: dict[str, Node] = field(default_factory=dict)
    slots: list[Node | None] = field(default_factory=list)
    history: dict[int, tables.ShardTable] = field(default_factory=dict)
    stored: tables.ShardTable | None = None
    version: int = 0
    table_version: int = 0
    lease: tuple[int, str, int] = (0, "", -1)
    registered: dict[str, members_.Member] = field(default_factory=dict)
    configuration: configurations.Configuration = builders.make_configuration()
    injected_faults: list[tuple[int, faults.Fault]] = field(default_factory=list)
    runs: dict[int, dict[str, int]] = field(default_factory=dict)
    served_shards: list[tuple[Node, list[int]]] = field(default_factory=list)
    counts_leases_from_receipt: bool = False
    observe: Callable[[int, str, object], None] | None = None


def make_world(
    seed: int,
    size: int = 5,
    checks_grants: bool = True,
    timing: settings.Timing = TIMING,
) -> World:
    """Return a simulation at time 0 with one daemon on each slot."""
    world = World(random.Random(seed), timing)
    world.configuration = builders.make_configuration(
        service=builders.make_service(longest_run_ms=RUN_MS)
    )
    world.slots = [None] * size
    for slot in range(size):
        _start_daemon(world, slot, checks_grants)
    return world


def run_schedule(
    world: World, schedule: faults.Schedule, until_ms: int, checks: bool = True
) -> World:
    """Inject a schedule of faults and run until a time.

    Raises
    ------
    OverlapError
        If two members can serve one shard at the same time.
    LostAssignmentError
        If a daemon receives a table that is not in the store's history.
    """
    for at_ms, fault in schedule:
        _schedule_at(world, at_ms, lambda fault=fault: _inject_fault(world, fault))
    while world.queue and world.queue[0][0] <= until_ms:
        at_ms, _, action = heapq.heappop(world.queue)
        if checks:
            _record_possible_runs(world, at_ms)
        world.now_ms = at_ms
        action()
        if checks:
            _check_no_overlap(world)
        if world.observe is not None:
            world.observe(world.now_ms, "", list_served(world))
    return world


def find_coordinator(world: World) -> int | None:
    """Return the slot of the coordinator, None if there is none."""
    slots = [node.slot for node in world.nodes if node.alive and node.coordinator]
    return slots[0] if slots else None


def list_served(world: World) -> dict[int, list[str]]:
    """Return the ids of the members that serve each shard now."""
    served: dict[int, list[str]] = {}
    for shard in range(len(world.stored.owners) if world.stored else 0):
        served[shard] = [
            node.member.member_id
            for node in world.nodes
            if _is_running(world, node)
            and isinstance(
                lease_holder.check_serve(node.holder, shard, _read_clock(world, node)),
                lease_holder.MayServe,
            )
        ]
    return served


def _schedule_at(world: World, at_ms: int, action: Callable[[], None]) -> None:
    world.sequence += 1
    heapq.heappush(world.queue, (at_ms, world.sequence, action))


def _read_clock(world: World, node: Node, at_ms: int | None = None) -> int:
    return node.offset_ms + int((world.now_ms if at_ms is None else at_ms) * node.rate)


def _is_running(world: World, node: Node) -> bool:
    return node.alive and world.now_ms >= node.paused_until_ms


def _run_on_node(world: World, node: Node, action: Callable[[], None]) -> None:
    if not node.alive:
        return
    if world.now_ms < node.paused_until_ms:
        node.deferred_actions.append(action)
        return
    action()


def _start_daemon(
    world: World, slot: int, checks_grants: bool, runs_on: int | None = None
) -> None:
    instance = f"i{slot}"
    host = f"host-{slot if runs_on is None else runs_on}"
    before = world.registered.get(instance)
    replaces = ()
    if before is not None and before.peer_address.host == host:
        replaces = (before.member_id, *before.replaces)[:16]
    world.version += 1
    member = builders.make_member(
        instance,
        faults.DATA_CENTRES[slot],
        nonce=str(world.version),
        registered_version=world.version,
        checks_grants=checks_grants,
        replaces=replaces,
        host=host,
    )
    world.registered[instance] = member
    drift = world.timing.drift_ratio
    node = Node(
        member,
        slot if runs_on is None else runs_on,
        world.source.uniform(1 - drift, 1 + drift),
        world.source.randrange(1_000_000),
        lease_holder.make_lease_holder(member.member_id, builders.DOMAIN, world.timing),
    )
    world.nodes.append(node)
    world.by_id[member.member_id] = node
    if runs_on is None:
        world.slots[slot] = node
    if world.stored is not None:
        lease_holder.adopt_table(node.holder, world.stored, _read_clock(world, node))
    for other in world.nodes:
        _send(world, node, other, lambda other=other: _update_members(world, other))
    _schedule_at(
        world,
        world.now_ms + world.source.randrange(TICK_MS),
        lambda: _tick(world, node),
    )


def _update_members(world: World, node: Node) -> None:
    seen_members = tuple(world.registered.values())
    if node.coordinator is not None and node.seen_members != seen_members:
        node.seen_members = seen_members
        _dispatch_event(world, node, events.MembersChanged(seen_members))
    current = world.registered[node.member.instance]
    if current.member_id != node.member.member_id:
        lease_holder.retire(node.holder, _read_clock(world, node))


def _tick(world: World, node: Node) -> None:
    if not node.alive:
        return
    _schedule_at(world, world.now_ms + TICK_MS, lambda: _tick(world, node))
    if world.now_ms < node.paused_until_ms:
        return
    load = _make_load(world, node)
    requests = lease_holder.list_due_requests(
        node.holder, _read_clock(world, node), load, world.configuration.revision
    )
    for request in requests:
        _send_lease_request(world, node, request)
    if world.source.random() < 0.1:
        _gossip_state(world, node)
    if node.coordinator is None:
        _acquire_store_lease(world, node)
        return
    if _read_clock(world, node) >= node.renew_due_ms:
        _renew_store_lease(world, node)
    _dispatch_event(world, node, events.Tick())


def _make_load(world: World, node: Node) -> messages.MemberLoad:
    hot = {f.key_hash: 100 for f in _list_active(world, faults.HotKey)}
    owned = node.holder.owns_any
    return builders.make_load(
        leaving=any(f.slot == node.slot for f in _list_active(world, faults.Leave)),
        shard_rates={0: 100} if owned and hot else {},
        hot_keys=hot if owned else {},
    )


def _list_active(world: World, kind: type) -> list:
    return [
        fault
        for at_ms, fault in world.injected_faults
        if isinstance(fault, kind) and world.now_ms < at_ms + fault.duration_ms
    ]


def _is_cut(world: World, first: int, second: int) -> bool:
    return any(
        _is_separated_by(fault, first, second) or _is_separated_by(fault, second, first)
        for fault in _list_active(world, faults.Cut)
    )


def _is_separated_by(fault: faults.Cut, first: int, second: int) -> bool:
    if first not in fault.slots or second in fault.slots:
        return False
    return not fault.others or second in fault.others


def _send(world: World, source: Node, target: Node, action: Callable) -> None:
    if source.slot != target.slot and _is_cut(world, source.slot, target.slot):
        return
    copies, longest_ms = 1, 12
    if _list_active(world, faults.UnreliableLinks) and source.slot != target.slot:
        copies = world.source.choice((0, 1, 1, 1, 2))
        longest_ms = world.source.choice((12, 100, 700, 1_500))
    late_ms = sum(
        fault.delay_ms
        for fault in _list_active(world, faults.SlowLinks)
        if fault.slot == target.slot
    )
    for _ in range(copies):
        delay_ms = late_ms + world.source.randint(0, longest_ms)
        _schedule_at(
            world, world.now_ms + delay_ms, lambda: _run_on_node(world, target, action)
        )


def _gossip_state(world: World, node: Node) -> None:
    other = world.source.choice(world.nodes)
    _send(world, node, other, lambda: _update_members(world, other))
    if other.alive and node.holder.table is not None:
        _push_table(world, node, other, node.holder.table, lambda revision: None)


def _push_table(world, node: Node, target: Node, table, acknowledged: Callable) -> None:
    def receive() -> None:
        if table != world.history.get(table.revision):
            raise LostAssignmentError(
                f"revision {table.revision} is not in the store's history"
            )
        lease_holder.adopt_table(target.holder, table, _read_clock(world, target))
        ack = voter.acknowledge_table(target.holder.table)
        _send(world, target, node, lambda: acknowledged(ack.revision))

    _send(world, node, target, receive)


def _send_lease_request(
    world: World, node: Node, request: lease_holder.LeaseRequest
) -> None:
    target = world.by_id.get(request.member_id)
    if target is None:
        return
    sent_ms = _read_clock(world, node)

    def answer(reply) -> None:
        stamp_ms = (
            _read_clock(world, node) if world.counts_leases_from_receipt else sent_ms
        )
        match reply:
            case messages.Renewed(revision=revision):
                lease_holder.record_renewed(
                    node.holder, request.member_id, reply, stamp_ms
                )
            case messages.Vouched():
                lease_holder.record_vouched(
                    node.holder, request.member_id, reply, stamp_ms
                )
                return
            case (
                messages.RenewRefused(revision=revision)
                | messages.VouchRefused(revision=revision)
            ):
                pass
        if revision > node.holder.table.revision:
            _send(world, node, target, lambda: _push_newest_table(world, target, node))

    def receive() -> None:
        match request.message:
            case messages.Renew():
                reply = _handle_renew(world, target, request.message)
            case messages.Vouch():
                reply = voter.answer_vouch(
                    target.holder.table, target.member.member_id, request.message
                )
        _send(world, target, node, lambda: answer(reply))

    _send(world, node, target, receive)


def _push_newest_table(world: World, node: Node, target: Node) -> None:
    newest = node.holder.table
    if node.coordinator is not None and node.coordinator.table is not None:
        newest = node.coordinator.table
    if newest is not None:
        _push_table(world, node, target, newest, lambda revision: None)


def _handle_renew(world: World, node: Node, renew: messages.Renew):
    if node.coordinator is None:
        revision = node.holder.table.revision if node.holder.table else 0
        return messages.RenewRefused(renew.domain, "", revision)
    _dispatch_event(world, node, events.RenewReceived(renew))
    if node.coordinator is None:
        return messages.RenewRefused(renew.domain, "", 0)
    return coordinators.answer_renew(node.coordinator, renew, _read_clock(world, node))


def _is_store_reachable(world: World, node: Node) -> bool:
    if _list_active(world, faults.StoreDown):
        return False
    return not any(
        fault.store and node.slot in fault.slots
        for fault in _list_active(world, faults.Cut)
    )


def _call_store(
    world: World,
    node: Node,
    operation: Callable,
    answered: Callable,
    refused: Callable[[], None],
    unknown: Callable[[], None],
) -> None:
    """Simulate one store call; exactly one of the last three callbacks is called."""
    if not _is_store_reachable(world, node):
        _schedule_at(
            world, world.now_ms + 2, lambda: _run_on_node(world, node, refused)
        )
        return
    loses_answers = bool(_list_active(world, faults.StoreAnswersLost))
    delay_ms = world.source.randint(1, 900 if loses_answers else 5)
    completed = []

    def perform() -> None:
        result = operation()
        if loses_answers and world.source.random() < 0.7:
            return
        delay_ms = world.source.randint(1, 5)
        _schedule_at(
            world,
            world.now_ms + delay_ms,
            lambda: _run_on_node(world, node, deliver(result)),
        )

    def deliver(result) -> Callable:
        def run() -> None:
            if not completed:
                completed.append(True)
                answered(result)

        return run

    def time_out() -> None:
        if not completed:
            completed.append(True)
            unknown()

    _schedule_at(world, world.now_ms + delay_ms, perform)
    _schedule_at(
        world,
        world.now_ms + CALL_TIMEOUT_MS,
        lambda: _run_on_node(world, node, time_out),
    )


def _acquire_store_lease(world: World, node: Node) -> None:
    now_ms = _read_clock(world, node)
    if now_ms < node.next_election_ms or node.holder.retired:
        return
    node.next_election_ms = now_ms + world.source.randint(100, 400)

    def acquire():
        _, _, until_ms = world.lease
        if world.now_ms <= until_ms:
            return None
        world.version += 1
        world.lease = (
            world.version,
            node.member.member_id,
            world.now_ms + world.timing.store_lease_ms,
        )
        return (world.version, world.stored, world.table_version)

    def acquired(result) -> None:
        if result is None or node.coordinator is not None:
            return
        node.store_lease, table, version = result
        node.coordinator = coordinators.make_coordinator(
            builders.DOMAIN,
            node.member.member_id,
            world.timing,
            table,
            version,
            _read_clock(world, node),
        )
        node.renew_due_ms = _read_clock(world, node)
        node.seen_members = tuple(world.registered.values())
        _dispatch_event(world, node, events.MembersChanged(node.seen_members))
        _dispatch_event(world, node, events.ConfigurationChanged(world.configuration))
        _dispatch_event(world, node, events.StoreLeaseRenewed(now_ms))

    _call_store(world, node, acquire, acquired, lambda: None, lambda: None)


def _renew_store_lease(world: World, node: Node) -> None:
    sent_ms = _read_clock(world, node)
    lease_id = node.store_lease
    node.renew_due_ms = sent_ms + world.timing.store_lease_ms // 3

    def renew() -> bool:
        held, member_id, until_ms = world.lease
        if held != lease_id or world.now_ms > until_ms:
            return False
        world.lease = (held, member_id, world.now_ms + world.timing.store_lease_ms)
        return True

    def renewed(is_alive: bool) -> None:
        if node.coordinator is None or node.store_lease != lease_id:
            return
        lost = events.StoreLeaseLost()
        _dispatch_event(
            world, node, events.StoreLeaseRenewed(sent_ms) if is_alive else lost
        )

    _call_store(world, node, renew, renewed, lambda: None, lambda: None)


def _dispatch_event(world: World, node: Node, event: events.Event) -> None:
    coordinator = node.coordinator
    if coordinator is None:
        return
    actions = coordinators.handle_event(coordinator, event, _read_clock(world, node))
    if world.observe is not None:
        for seen in (event, *actions):
            world.observe(world.now_ms, node.member.member_id, seen)
    for action in actions:
        _perform_action(world, node, coordinator, action)


def _perform_action(
    world: World, node: Node, coordinator, action: events.Action
) -> None:
    match action:
        case events.WriteTable(table, expected_version):
            _write_table(world, node, coordinator, table, expected_version)
        case events.PushTable(table, member_ids):
            for member_id in member_ids:
                target = world.by_id[member_id]
                _push_table(
                    world,
                    node,
                    target,
                    table,
                    _make_ack_handler(world, node, coordinator, target),
                )
        case events.AskRelease(member_id, prepare, timeout_ms):
            _ask_release(world, node, coordinator, member_id, prepare, timeout_ms)
        case events.SendAbort(member_id, abort):
            target = world.by_id[member_id]
            _send(
                world,
                node,
                target,
                lambda: lease_holder.abort_release(target.holder, abort),
            )
        case events.Resign():
            node.coordinator = None
            node.next_election_ms = _read_clock(world, node) + 1_000


def _make_ack_handler(world: World, node: Node, coordinator, target: Node) -> Callable:
    def acknowledged(revision: int) -> None:
        if node.coordinator is coordinator:
            member_id = target.member.member_id
            _dispatch_event(world, node, events.TableAckReceived(member_id, revision))

    return acknowledged


def _write_table(
    world: World, node: Node, coordinator, table, expected_version: int
) -> None:
    def swap():
        if world.table_version != expected_version:
            return port.Conflict(None)
        world.version += 1
        world.table_version = world.version
        world.stored = table
        world.history[table.revision] = table
        return port.Swapped(world.version)

    def report(event: events.Event) -> None:
        if node.coordinator is coordinator:
            _dispatch_event(world, node, event)

    def swapped(result) -> None:
        if isinstance(result, port.Swapped):
            report(events.TableWritten(table.revision, result.version))
            return
        read()

    def read() -> None:
        _call_store(
            world,
            node,
            lambda: (world.table_version, world.stored),
            lambda found: report(events.TableConflict(*found)),
            read_later,
            read_later,
        )

    def read_later() -> None:
        _schedule_at(world, world.now_ms + 100, lambda: _run_on_node(world, node, read))

    def unknown() -> None:
        report(events.TableOutcomeUnknown(table.revision))
        read()

    def refused() -> None:
        report(events.TableNotWritten(table.revision))

    _call_store(world, node, swap, swapped, refused, unknown)


def _ask_release(
    world, node: Node, coordinator, member_id: str, prepare, timeout_ms
) -> None:
    target = world.by_id[member_id]
    completed = []

    def report(event: events.Event) -> None:
        if not completed and node.coordinator is coordinator:
            completed.append(True)
            _dispatch_event(world, node, event)

    def fail() -> None:
        report(events.ReleaseFailed(member_id, prepare.move_id))

    def drained() -> None:
        match lease_holder.finish_release(target.holder, prepare):
            case messages.Released() as released:
                for shard in prepare.shards:
                    world.runs.get(shard, {}).pop(member_id, None)
                event = events.ReleasedReceived(member_id, released)
                _send(world, target, node, lambda: report(event))
            case messages.ReleaseRefused():
                _send(world, target, node, fail)

    def receive() -> None:
        match lease_holder.begin_release(target.holder, prepare):
            case lease_holder.ReleaseBegun():
                at_ms = world.now_ms + world.source.randint(0, 150)
                _schedule_at(world, at_ms, lambda: _run_on_node(world, target, drained))
            case messages.ReleaseRefused():
                _send(world, target, node, fail)

    _send(world, node, target, receive)
    _schedule_at(
        world, world.now_ms + timeout_ms, lambda: _run_on_node(world, node, fail)
    )


def _inject_fault(world: World, fault: faults.Fault) -> None:
    world.injected_faults.append((world.now_ms, fault))
    if world.observe is not None:
        world.observe(world.now_ms, "", fault)
    match fault:
        case faults.Kill(slots, restart_after_ms):
            for slot in slots:
                _kill_daemons(world, slot, restart_after_ms)
        case faults.DuplicateInstance(slot, runs_on):
            if not _is_instance_running(world, slot, runs_on):
                checks = world.slots[slot].member.checks_grants
                _start_daemon(world, slot, checks, runs_on)
        case faults.Pause(slots, duration_ms):
            for node in world.nodes:
                if node.slot in slots:
                    _pause_daemon(world, node, duration_ms)
        case faults.TakeOut() | faults.Hold():
            _update_configuration(world)
            _schedule_at(
                world,
                world.now_ms + fault.duration_ms,
                lambda: _update_configuration(world),
            )


def _is_instance_running(world: World, slot: int, runs_on: int) -> bool:
    """Return whether a daemon of the instance already runs on the slot."""
    return any(
        node.alive and (node.slot, node.member.instance) == (runs_on, f"i{slot}")
        for node in world.nodes
    )


def _kill_daemons(world: World, slot: int, restart_after_ms: int) -> None:
    ended = [node for node in world.nodes if node.slot == slot and node.alive]
    for node in ended:
        node.alive = False
    if ended:
        checks = ended[-1].member.checks_grants
        at_ms = world.now_ms + restart_after_ms
        _schedule_at(world, at_ms, lambda: _start_daemon(world, slot, checks))


def _pause_daemon(world: World, node: Node, duration_ms: int) -> None:
    node.paused_until_ms = max(node.paused_until_ms, world.now_ms + duration_ms)

    def wake() -> None:
        if world.now_ms < node.paused_until_ms:
            return
        deferred_actions, node.deferred_actions = node.deferred_actions, []
        for action in deferred_actions:
            _run_on_node(world, node, action)

    _schedule_at(world, node.paused_until_ms, wake)


def _update_configuration(world: World) -> None:
    out = frozenset(fault.data_centre for fault in _list_active(world, faults.TakeOut))
    held = tuple(
        configurations.Override(
            "stock", "", "", configurations.HoldToInstance(f"i{fault.slot}")
        )
        for fault in _list_active(world, faults.Hold)
    )
    world.configuration = world.configuration._replace(
        revision=world.configuration.revision + 1,
        data_centres_out=out,
        overrides=held,
    )
    event = events.ConfigurationChanged(world.configuration)
    for node in world.nodes:
        delay_ms = world.source.randint(0, 100)
        _schedule_at(
            world,
            world.now_ms + delay_ms,
            lambda node=node: _run_on_node(
                world, node, lambda: _dispatch_event(world, node, event)
            ),
        )


def _record_possible_runs(world: World, until_ms: int) -> None:
    """Record the runs that were possible between the last step and ``until_ms``.

    Nothing changes between two steps, so the last check still applies. A request may
    run until the lease ends, and for the longest run time beyond if the upstream does
    not check grants.
    """
    for node, shards in world.served_shards:
        lease_until_ms = node.holder.lease_until_ms
        lease_end_ms = int((lease_until_ms - node.offset_ms) / node.rate)
        run_ms = 0 if node.member.checks_grants else RUN_MS
        end_ms = min(until_ms, lease_end_ms) + run_ms
        member_id = node.member.member_id
        for shard in shards:
            runs = world.runs.setdefault(shard, {})
            runs[member_id] = max(runs.get(member_id, 0), end_ms)


def _check_no_overlap(world: World) -> None:
    world.served_shards = [
        (node, shards)
        for node in world.nodes
        if (shards := _list_served_shards(world, node))
    ]
    serving: dict[int, str] = {}
    for node, shards in world.served_shards:
        own_id = node.member.member_id
        for shard in shards:
            other = serving.setdefault(shard, own_id)
            if other != own_id:
                raise OverlapError(
                    f"{world.now_ms} ms: shard {shard} is served by {own_id}"
                    f" and {other}"
                )
            for member_id, until_ms in world.runs.get(shard, {}).items():
                if member_id != own_id and until_ms > world.now_ms:
                    raise OverlapError(
                        f"{world.now_ms} ms: shard {shard} is served by {own_id}"
                        f" while {member_id} may serve it until {until_ms} ms"
                    )


def _list_served_shards(world: World, node: Node) -> list[int]:
    holder = node.holder
    now_ms = _read_clock(world, node)
    if not holder.owns_any or now_ms >= holder.lease_until_ms:
        return []
    return [
        shard
        for shard, owner in enumerate(holder.table.owners)
        if owner == holder.member_id
        and isinstance(
            lease_holder.check_serve(holder, shard, now_ms), lease_holder.MayServe
        )
    ]
