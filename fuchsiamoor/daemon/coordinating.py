"""Coordinating: runs the coordinator of a domain while this daemon holds that role.

The decisions are those of `fuchsiamoor.ownership.coordinator`; this module feeds events
and carries the actions out. `fuchsiamoor.daemon.candidacy` takes the role in the store.
"""

import asyncio
from dataclasses import dataclass, field

from loguru import logger

from fuchsiamoor.core import errors, messages, tables
from fuchsiamoor.daemon import calls, exchange
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.membership import reachability
from fuchsiamoor.ownership import coordinator as coordinators
from fuchsiamoor.ownership import events, tables_codec
from fuchsiamoor.store import port

TICK_MS = 50
READ_BACK_DELAY_MS = 50


@dataclass(slots=True)
class Coordination:
    """The role of coordinator in one domain.

    Parameters
    ----------
    domain : str
    machine : Coordinator
    lease_id : str
        The store lease under which the role is held.
    started_ms : int
        Monotonic time at which the role was taken.
    reach : ProbeHistory
        Which members answer calls.
    ended : asyncio.Event
        Set once the role is lost or given up.
    """

    domain: str
    machine: coordinators.Coordinator
    lease_id: str
    started_ms: int
    reach: reachability.ProbeHistory = field(default_factory=reachability.make_history)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


def coordinator_key(domain: str) -> str:
    """Return the store key that names a domain's coordinator."""
    return f"domains/{domain}/coordinator"


def table_key(domain: str) -> str:
    """Return the store key of a domain's table."""
    return f"domains/{domain}/table"


def answer_renew(
    node: nodes.Node, coordination: Coordination, renew: messages.Renew
) -> messages.Message:
    """Answer a renewal and take note of the sign of life."""
    now_ms = node.now_ms()
    if reachability.record_due_probe(coordination.reach, renew.member_id, now_ms):
        nodes.spawn(node, _ping(node, coordination, renew.member_id), "ping")
    if not reachability.is_reachable(coordination.reach, renew.member_id, now_ms):
        node.metrics.count("coordinator.member_unreached")
        return messages.RenewRefused(renew.domain, node.member.member_id, 0)
    reply = coordinators.answer_renew(coordination.machine, renew, now_ms)
    feed(node, coordination, events.RenewReceived(renew))
    if isinstance(reply, messages.Renewed):
        return reply._replace(
            configuration_revision=node.knowledge.configuration.revision
        )
    return reply


async def _ping(node, coordination: Coordination, member_id: str) -> None:
    try:
        await calls.call_member(
            node, member_id, messages.Ping(), node.settings.timing.lease_ms
        )
    except errors.PeerError:
        return
    reachability.record_answer(coordination.reach, member_id, node.now_ms())


def feed(node: nodes.Node, coordination: Coordination, event) -> None:
    """Give the machine one event and start its actions."""
    if coordination.ended.is_set():
        return
    actions = coordinators.handle_event(coordination.machine, event, node.now_ms())
    for action in actions:
        nodes.spawn(node, _act(node, coordination, action), "coordinator action")


def feed_all(node: nodes.Node, event) -> None:
    """Give every machine of this daemon one event."""
    for coordination in list(node.coordinating.values()):
        feed(node, coordination, event)


def members_event(node: nodes.Node) -> events.MembersChanged:
    """Return the directory as an event."""
    return events.MembersChanged(tuple(node.knowledge.directory.by_instance.values()))


async def coordinate(
    node: nodes.Node,
    domain: str,
    lease_id: str,
    entry: port.Entry | None,
    sent_ms: int,
) -> None:
    """Run the role that was just taken in the store, until it ends.

    Parameters
    ----------
    node : Node
    domain : str
    lease_id : str
        Of the store lease under which the role is held.
    entry : Entry or None
        The table as read after the role was taken.
    sent_ms : int
        Monotonic time at which the lease was asked for.
    """
    if domain in node.coordinating:
        return
    table, version = _read_table(entry)
    machine = coordinators.make_coordinator(
        domain,
        node.member.member_id,
        node.settings.timing,
        table,
        version,
        node.now_ms(),
    )
    coordination = Coordination(domain, machine, lease_id, node.now_ms())
    node.coordinating[domain] = coordination
    node.coordinator_hints[domain] = node.member.member_id
    node.metrics.count("coordinator.acquired")
    logger.bind(domain=domain).info("coordinating")
    feed(node, coordination, events.StoreLeaseRenewed(sent_ms))
    feed(
        node,
        coordination,
        events.ConfigurationChanged(node.knowledge.configuration),
    )
    feed(node, coordination, members_event(node))
    try:
        await _run_role(node, coordination)
    finally:
        coordination.ended.set()
        node.coordinating.pop(domain, None)
        node.metrics.count("coordinator.ended")
        logger.bind(domain=domain).info("no longer coordinating")


def _read_table(entry: port.Entry | None) -> tuple[tables.ShardTable | None, int]:
    if entry is None:
        return None, port.ABSENT
    return tables_codec.decode_table(entry.value), entry.version


async def _run_role(node: nodes.Node, coordination: Coordination) -> None:
    renewing = nodes.spawn(node, _keep_store_lease(node, coordination), "store lease")
    try:
        while not coordination.ended.is_set():
            feed(node, coordination, events.Tick())
            await _check_hearing(node, coordination)
            await asyncio.sleep(TICK_MS / 1000)
    finally:
        renewing.cancel()


async def _check_hearing(node: nodes.Node, coordination: Coordination) -> None:
    """Call members that have gone silent; resign if they answer and none is heard."""
    now_ms = node.now_ms()
    own_id = node.member.member_id
    roster = coordination.machine.roster
    unheard_ms = coordination.started_ms + reachability.FIRST_CONTACT_GRACE_MS
    heard_ms = {
        member_id: roster.last_heard_ms.get(member_id, unheard_ms)
        for member_id in roster.members
    }
    for member_id in reachability.list_silent(heard_ms, own_id, now_ms):
        if reachability.record_due_probe(
            coordination.reach, member_id, now_ms, reachability.SILENT_PROBE_INTERVAL_MS
        ):
            nodes.spawn(node, _ping(node, coordination, member_id), "ping")
    if reachability.has_lost_inbound(coordination.reach, heard_ms, own_id, now_ms):
        await _step_down(node, coordination, "nothing that is sent to it arrives")


async def _step_down(node, coordination: Coordination, reason: str) -> None:
    logger.bind(domain=coordination.domain).info(f"resigning: {reason}")
    node.resigned_ms[coordination.domain] = node.now_ms()
    await resign(node, coordination)


async def _keep_store_lease(node: nodes.Node, coordination: Coordination) -> None:
    interval_s = node.settings.timing.store_lease_ms / 3000
    while True:
        await asyncio.sleep(interval_s)
        sent_ms = node.now_ms()
        try:
            alive = await node.store.renew_lease(coordination.lease_id)
        except errors.StoreError:
            node.metrics.count("coordinator.renew_failed")
            continue
        if not alive:
            feed(node, coordination, events.StoreLeaseLost())
            coordination.ended.set()
            return
        feed(node, coordination, events.StoreLeaseRenewed(sent_ms))


async def _act(node: nodes.Node, coordination: Coordination, action) -> None:
    match action:
        case events.WriteTable():
            await _write_table(node, coordination, action)
        case events.PushTable():
            _push_table(node, coordination, action)
        case events.AskRelease():
            await _ask_release(node, coordination, action)
        case events.SendAbort():
            await _send_abort(node, action)
        case events.Resign(reason):
            await _step_down(node, coordination, reason)


async def _write_table(node, coordination, action: events.WriteTable) -> None:
    revision = action.table.revision
    value = tables_codec.encode_table(action.table)
    key = table_key(coordination.domain)
    try:
        result = await node.store.swap(key, action.expected_version, value)
    except errors.StoreUnavailableError:
        node.metrics.count("coordinator.write_refused")
        feed(node, coordination, events.TableNotWritten(revision))
        return
    except errors.StoreError:
        node.metrics.count("coordinator.write_unknown")
        feed(node, coordination, events.TableOutcomeUnknown(revision))
        result = port.Conflict(await _read_back(node, coordination, key))
    match result:
        case port.Swapped(version):
            _take_written(node, coordination, revision, value, version)
        case port.Conflict(current) if current and current.value == value:
            _take_written(node, coordination, revision, value, current.version)
        case port.Conflict(current):
            table, version = _read_table(current)
            feed(node, coordination, events.TableConflict(version, table))


def _take_written(node, coordination, revision: int, value: bytes, version: int):
    knowledges.adopt_table(node.knowledge, value)
    table = nodes.find_table(node, coordination.domain)
    logger.bind(
        domain=table.domain,
        term=table.term,
        revision=revision,
        pending=len(table.pending),
        unowned=table.owners.count(tables.NO_OWNER),
    ).info("table written")
    feed(node, coordination, events.TableWritten(revision, version))


async def _read_back(node, coordination, key: str) -> port.Entry | None:
    """Read a key until the store answers."""
    while not coordination.ended.is_set():
        await asyncio.sleep(READ_BACK_DELAY_MS / 1000)
        try:
            return await node.store.get(key)
        except errors.StoreError:
            node.metrics.count("coordinator.read_back_failed")
    return None


def _push_table(node, coordination, action: events.PushTable) -> None:
    value = tables_codec.encode_table(action.table)
    push = messages.TablePush(coordination.domain, action.table.revision, value)
    for member_id in action.member_ids:
        nodes.spawn(node, _push_to(node, coordination, member_id, push), "table push")


async def _push_to(node, coordination, member_id: str, push) -> None:
    timeout_ms = node.settings.timing.lease_ms
    try:
        reply = await calls.call_member(node, member_id, push, timeout_ms)
    except errors.PeerError:
        node.metrics.count("coordinator.push_failed")
        return
    if isinstance(reply, messages.TableAcked):
        feed(
            node,
            coordination,
            events.TableAckReceived(member_id, reply.revision),
        )


async def _ask_release(node, coordination, action: events.AskRelease) -> None:
    move_id = action.prepare.move_id
    try:
        reply = await calls.call_member(
            node, action.member_id, action.prepare, action.timeout_ms
        )
    except errors.PeerError:
        reply = None
    if isinstance(reply, messages.Released):
        feed(node, coordination, events.ReleasedReceived(action.member_id, reply))
        return
    feed(node, coordination, events.ReleaseFailed(action.member_id, move_id))


async def _send_abort(node, action: events.SendAbort) -> None:
    try:
        await calls.call_member(
            node, action.member_id, action.abort, exchange.CALL_TIMEOUT_MS
        )
    except errors.PeerError:
        node.metrics.count("coordinator.abort_failed")


async def resign(node: nodes.Node, coordination: Coordination) -> None:
    """Give the role up, so that another member may take it at once."""
    coordination.ended.set()
    try:
        await node.store.revoke_lease(coordination.lease_id)
    except errors.StoreError:
        node.metrics.count("coordinator.resign_failed")
