"""Runs the coordinator of a domain while this daemon holds the coordinator role.

`fuchsiamoor.ownership.coordinator` takes the decisions; this module passes events to it
and executes the resulting actions. `fuchsiamoor.daemon.coordinator_election` claims the
role in the store.
"""

import asyncio
from dataclasses import dataclass, field

from loguru import logger

from fuchsiamoor.core import errors, messages, tables
from fuchsiamoor.daemon import calls, state_sync
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.membership import reachability
from fuchsiamoor.ownership import coordinator as coordinators
from fuchsiamoor.ownership import events, tables_codec
from fuchsiamoor.store import port

TICK_INTERVAL_MS = 50
READ_BACK_DELAY_MS = 50


@dataclass(slots=True)
class CoordinatorRole:
    """The coordinator role of one domain, while this daemon holds it.

    Parameters
    ----------
    domain : str
    coordinator : Coordinator
        State machine that takes the decisions.
    lease_id : str
        Store lease under which the role is held.
    started_ms : int
        Monotonic time at which the role was claimed.
    probes : ProbeHistory
        Probes of members and their answers.
    ended : asyncio.Event
        Set once the role is lost or resigned.
    """

    domain: str
    coordinator: coordinators.Coordinator
    lease_id: str
    started_ms: int
    probes: reachability.ProbeHistory = field(default_factory=reachability.make_history)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


def coordinator_key(domain: str) -> str:
    """Return the store key that holds the member id of a domain's coordinator."""
    return f"domains/{domain}/coordinator"


def table_key(domain: str) -> str:
    """Return the store key of a domain's shard table."""
    return f"domains/{domain}/table"


def handle_renew(
    node: nodes.Node, role: CoordinatorRole, renew: messages.Renew
) -> messages.Message:
    """Answer a lease renewal and record that the member is alive.

    The renewal is refused if the member no longer answers calls, because then it can't
    serve requests that peers forward to it.
    """
    now_ms = node.now_ms()
    if reachability.record_due_probe(role.probes, renew.member_id, now_ms):
        nodes.spawn(node, _ping_member(node, role, renew.member_id), "ping")
    if not reachability.is_reachable(role.probes, renew.member_id, now_ms):
        node.metrics.count("coordinator.member_unreached")
        return messages.RenewRefused(renew.domain, node.member.member_id, 0)
    reply = coordinators.answer_renew(role.coordinator, renew, now_ms)
    dispatch_event(node, role, events.RenewReceived(renew))
    if isinstance(reply, messages.Renewed):
        return reply._replace(
            configuration_revision=node.cluster_state.configuration.revision
        )
    return reply


async def _ping_member(node, role: CoordinatorRole, member_id: str) -> None:
    try:
        await calls.call_member(
            node, member_id, messages.Ping(), node.settings.timing.lease_ms
        )
    except errors.PeerError:
        return
    reachability.record_answer(role.probes, member_id, node.now_ms())


def dispatch_event(node: nodes.Node, role: CoordinatorRole, event) -> None:
    """Pass an event to the coordinator and start the resulting actions."""
    if role.ended.is_set():
        return
    actions = coordinators.handle_event(role.coordinator, event, node.now_ms())
    for action in actions:
        nodes.spawn(node, _execute_action(node, role, action), "coordinator action")


def dispatch_event_to_all(node: nodes.Node, event) -> None:
    """Pass an event to the coordinator of every domain that this daemon coordinates."""
    for role in list(node.coordinator_roles.values()):
        dispatch_event(node, role, event)


def make_members_event(node: nodes.Node) -> events.MembersChanged:
    """Return an event with the current members of the directory."""
    return events.MembersChanged(
        tuple(node.cluster_state.directory.by_instance.values())
    )


async def run_coordinator(
    node: nodes.Node,
    domain: str,
    lease_id: str,
    table_entry: port.Entry | None,
    sent_ms: int,
) -> None:
    """Run the coordinator of a domain from the claim of the role until it ends.

    Parameters
    ----------
    node : Node
    domain : str
    lease_id : str
        Store lease under which the role is held.
    table_entry : Entry or None
        Shard table as read after the role was claimed.
    sent_ms : int
        Monotonic time at which the store lease was requested.
    """
    if domain in node.coordinator_roles:
        return
    table, version = _read_table(table_entry)
    coordinator = coordinators.make_coordinator(
        domain,
        node.member.member_id,
        node.settings.timing,
        table,
        version,
        node.now_ms(),
    )
    role = CoordinatorRole(domain, coordinator, lease_id, node.now_ms())
    node.coordinator_roles[domain] = role
    node.coordinator_hints[domain] = node.member.member_id
    node.metrics.count("coordinator.acquired")
    logger.bind(domain=domain).info("coordinating")
    dispatch_event(node, role, events.StoreLeaseRenewed(sent_ms))
    dispatch_event(
        node,
        role,
        events.ConfigurationChanged(node.cluster_state.configuration),
    )
    dispatch_event(node, role, make_members_event(node))
    try:
        await _run_until_ended(node, role)
    finally:
        role.ended.set()
        node.coordinator_roles.pop(domain, None)
        node.metrics.count("coordinator.ended")
        logger.bind(domain=domain).info("no longer coordinating")


def _read_table(entry: port.Entry | None) -> tuple[tables.ShardTable | None, int]:
    if entry is None:
        return None, port.ABSENT
    return tables_codec.decode_table(entry.value), entry.version


async def _run_until_ended(node: nodes.Node, role: CoordinatorRole) -> None:
    renewal_task = nodes.spawn(node, _maintain_store_lease(node, role), "store lease")
    try:
        while not role.ended.is_set():
            dispatch_event(node, role, events.Tick())
            await _check_reachability(node, role)
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
    finally:
        renewal_task.cancel()


async def _check_reachability(node: nodes.Node, role: CoordinatorRole) -> None:
    """Ping silent members; resign if they answer but none of their messages arrives."""
    now_ms = node.now_ms()
    own_id = node.member.member_id
    roster = role.coordinator.roster
    first_due_ms = role.started_ms + reachability.FIRST_CONTACT_GRACE_MS
    last_heard_ms = {
        member_id: roster.last_heard_ms.get(member_id, first_due_ms)
        for member_id in roster.members
    }
    for member_id in reachability.list_silent(last_heard_ms, own_id, now_ms):
        if reachability.record_due_probe(
            role.probes, member_id, now_ms, reachability.SILENT_PROBE_INTERVAL_MS
        ):
            nodes.spawn(node, _ping_member(node, role, member_id), "ping")
    if reachability.has_lost_inbound(role.probes, last_heard_ms, own_id, now_ms):
        await give_up_role(
            node, role, "members answer pings, but their messages do not arrive", True
        )


async def give_up_role(
    node: nodes.Node, role: CoordinatorRole, reason: str, pauses_candidacy: bool
) -> None:
    """Resign for a reason that is logged; see `events.Resign`."""
    logger.bind(domain=role.domain).info(f"resigning: {reason}")
    if pauses_candidacy:
        node.candidacy_paused_ms[role.domain] = node.now_ms()
    await resign(node, role)


async def _maintain_store_lease(node: nodes.Node, role: CoordinatorRole) -> None:
    interval_s = node.settings.timing.store_lease_ms / 3000  # a third of the lease
    while True:
        await asyncio.sleep(interval_s)
        sent_ms = node.now_ms()
        try:
            alive = await node.store.renew_lease(role.lease_id)
        except errors.StoreError:
            node.metrics.count("coordinator.renew_failed")
            continue
        if not alive:
            dispatch_event(node, role, events.StoreLeaseLost())
            role.ended.set()
            return
        dispatch_event(node, role, events.StoreLeaseRenewed(sent_ms))


async def _execute_action(node: nodes.Node, role: CoordinatorRole, action) -> None:
    match action:
        case events.WriteTable():
            await _write_table(node, role, action)
        case events.PushTable():
            _push_table(node, role, action)
        case events.AskRelease():
            await _request_release(node, role, action)
        case events.SendAbort():
            await _send_abort(node, action)
        case events.Resign(reason, pauses_candidacy):
            await give_up_role(node, role, reason, pauses_candidacy)


async def _write_table(node, role, action: events.WriteTable) -> None:
    revision = action.table.revision
    value = tables_codec.encode_table(action.table)
    key = table_key(role.domain)
    try:
        result = await node.store.swap(key, action.expected_version, value)
    except errors.StoreUnavailableError:
        node.metrics.count("coordinator.write_refused")
        dispatch_event(node, role, events.TableNotWritten(revision))
        return
    except errors.StoreError:
        node.metrics.count("coordinator.write_unknown")
        dispatch_event(node, role, events.TableOutcomeUnknown(revision))
        result = port.Conflict(await _read_back(node, role, key))
    match result:
        case port.Swapped(version):
            _handle_table_written(node, role, revision, value, version)
        case port.Conflict(current) if current and current.value == value:
            _handle_table_written(node, role, revision, value, current.version)
        case port.Conflict(current):
            table, version = _read_table(current)
            dispatch_event(node, role, events.TableConflict(version, table))


def _handle_table_written(node, role, revision: int, value: bytes, version: int):
    cluster_states.adopt_table(node.cluster_state, value)
    table = nodes.find_table(node, role.domain)
    logger.bind(
        domain=table.domain,
        term=table.term,
        revision=revision,
        pending=len(table.pending),
        unowned=table.owners.count(tables.NO_OWNER),
    ).info("table written")
    dispatch_event(node, role, events.TableWritten(revision, version))


async def _read_back(node, role, key: str) -> port.Entry | None:
    """Read a key, retrying until the store answers or the role ends."""
    while not role.ended.is_set():
        await asyncio.sleep(READ_BACK_DELAY_MS / 1000)
        try:
            return await node.store.get(key)
        except errors.StoreError:
            node.metrics.count("coordinator.read_back_failed")
    return None


def _push_table(node, role, action: events.PushTable) -> None:
    value = tables_codec.encode_table(action.table)
    push = messages.TablePush(role.domain, action.table.revision, value)
    for member_id in action.member_ids:
        nodes.spawn(
            node, _push_table_to_member(node, role, member_id, push), "table push"
        )


async def _push_table_to_member(node, role, member_id: str, push) -> None:
    timeout_ms = node.settings.timing.lease_ms
    try:
        reply = await calls.call_member(node, member_id, push, timeout_ms)
    except errors.PeerError:
        node.metrics.count("coordinator.push_failed")
        return
    if isinstance(reply, messages.TableAcked):
        dispatch_event(
            node,
            role,
            events.TableAckReceived(member_id, reply.revision),
        )


async def _request_release(node, role, action: events.AskRelease) -> None:
    move_id = action.prepare.move_id
    try:
        reply = await calls.call_member(
            node, action.member_id, action.prepare, action.timeout_ms
        )
    except errors.PeerError:
        reply = None
    if isinstance(reply, messages.Released):
        dispatch_event(node, role, events.ReleasedReceived(action.member_id, reply))
        return
    dispatch_event(node, role, events.ReleaseFailed(action.member_id, move_id))


async def _send_abort(node, action: events.SendAbort) -> None:
    try:
        await calls.call_member(
            node, action.member_id, action.abort, state_sync.CALL_TIMEOUT_MS
        )
    except errors.PeerError:
        node.metrics.count("coordinator.abort_failed")


async def resign(node: nodes.Node, role: CoordinatorRole) -> None:
    """Revoke the store lease, so that another member can claim the role at once."""
    role.ended.set()
    try:
        await node.store.revoke_lease(role.lease_id)
    except errors.StoreError:
        node.metrics.count("coordinator.resign_failed")
