"""Serving leases: renews this daemon's leases, with one lease holder per domain."""

import asyncio

from loguru import logger

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import errors, keys, messages
from fuchsiamoor.daemon import calls, coordinator_role, loop_pauses, state_sync
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import voter

RENEWAL_PAUSE_MIN_MS = 5


def add_missing_holders(node: nodes.Node) -> None:
    """Create the missing lease holders for this daemon's service and region."""
    for domain in list_own_domains(node):
        if domain in node.holders:
            continue
        node.holders[domain] = holders.make_lease_holder(
            node.member.member_id, domain, node.settings.timing
        )
        table = nodes.find_table(node, domain)
        if table is not None:
            holders.adopt_table(node.holders[domain], table, node.now_ms())


def list_own_domains(node: nodes.Node) -> list[str]:
    """Return the domains in which this daemon may own shards."""
    settings = node.settings
    found = []
    for domain in configurations.list_domains(node.cluster_state.configuration):
        service, regions = keys.split_domain_id(domain)
        if service == settings.service and settings.region in regions:
            found.append(domain)
    return found


def adopt_table(node: nodes.Node, domain: str) -> None:
    """Pass a newer table to the lease holder of its domain."""
    holder = node.holders.get(domain)
    table = nodes.find_table(node, domain)
    if holder is None or table is None:
        return
    holders.adopt_table(holder, table, node.now_ms())
    node.renew_now.set()


def check_serve(
    node: nodes.Node, domain: str, shard: int
) -> holders.MayServe | holders.Wait | holders.NotOwner:
    """Return whether this daemon may serve a shard now."""
    holder = node.holders.get(domain)
    if holder is None or node.superseded:
        return holders.NotOwner("")
    return holders.check_serve(holder, shard, node.now_ms())


async def run_renewals(node: nodes.Node) -> None:
    """Renew leases when they are due, and immediately after a new table."""
    while True:
        if node.member.registered_version:
            for holder in list(node.holders.values()):
                _start_due_requests(node, holder)
                log_lapse(node, holder)
        try:
            await asyncio.wait_for(
                node.renew_now.wait(), _compute_pause_ms(node) / 1000
            )
        except TimeoutError:
            pass
        node.renew_now.clear()


def log_lapse(node: nodes.Node, holder: holders.LeaseHolder) -> None:
    """Log once when an owner's lease has ended unrenewed, and when it is renewed.

    A pause of the event loop as long as the lease explains the lapse.
    """
    now_ms, lease_until_ms = node.now_ms(), holders.lease_until_ms(holder)
    is_lapsed = holder.owns_any and holders.NO_LEASE_MS < lease_until_ms <= now_ms
    if is_lapsed == (holder.domain in node.lapsed_domains):
        return
    if not is_lapsed:
        node.lapsed_domains.discard(holder.domain)
        logger.bind(domain=holder.domain).info("serving lease renewed")
        return
    node.lapsed_domains.add(holder.domain)
    node.metrics.count("lease.lapsed")
    pause = loop_pauses.find_longest(node.pause_history)
    logger.bind(
        domain=holder.domain,
        ended_before_ms=now_ms - lease_until_ms,
        coordinator=holder.table.coordinator,
        is_refused=holder.refused,
        loop_pause_ms=pause.duration_ms if pause else 0,
        loop_pause_ended_before_ms=now_ms - pause.ended_ms if pause else 0,
    ).warning("serving lease lapsed")


def _compute_pause_ms(node: nodes.Node) -> int:
    """Return the time until the next lease is due, in milliseconds."""
    pause_max_ms = node.settings.timing.renew_every_ms
    dues_ms = [
        holders.compute_next_request_ms(holder) for holder in node.holders.values()
    ]
    next_ms = min((due_ms for due_ms in dues_ms if due_ms is not None), default=None)
    if next_ms is None:
        return pause_max_ms
    return max(RENEWAL_PAUSE_MIN_MS, min(next_ms - node.now_ms(), pause_max_ms))


def _start_due_requests(node: nodes.Node, holder: holders.LeaseHolder) -> None:
    due_requests = holders.list_due_requests(
        holder,
        node.now_ms(),
        nodes.make_load(node, holder.domain),
        node.cluster_state.configuration.revision,
    )
    for request in due_requests:
        nodes.spawn(node, _send_request(node, holder, request), "renewal")


async def _send_request(
    node: nodes.Node, holder: holders.LeaseHolder, request: holders.LeaseRequest
) -> None:
    sent_ms = node.now_ms()
    try:
        reply = await calls.call_member(
            node, request.member_id, request.message, node.settings.timing.lease_ms
        )
    except errors.PeerError:
        node.metrics.count("lease.ask_failed")
        return
    match reply:
        case messages.Renewed():
            holders.record_renewed(holder, request.member_id, reply, sent_ms)
            servings.handle_state_change(node.serving)
            if reply.configuration_revision > node.cluster_state.configuration.revision:
                await state_sync.exchange_state(node, request.member_id)
        case messages.Vouched():
            holders.record_vouched(holder, request.member_id, reply, sent_ms)
            servings.handle_state_change(node.serving)
        case messages.RenewRefused():
            node.metrics.count("lease.refused")
            holders.record_refused(holder, reply)
            node.renew_now.set()
            await _sync_after_refusal(node, request.member_id, reply)
        case messages.VouchRefused():
            node.metrics.count("lease.refused")
            await _sync_after_refusal(node, request.member_id, reply)


async def _sync_after_refusal(node, member_id, reply) -> None:
    table = nodes.find_table(node, reply.domain)
    if table is None or reply.revision > table.revision:
        await state_sync.exchange_state(node, member_id)


def handle_renew(node: nodes.Node, renew: messages.Renew) -> messages.Message:
    """Answer a renewal as the coordinator, or refuse it with a coordinator hint."""
    coordination = node.coordinator_roles.get(renew.domain)
    if coordination is None:
        return messages.RenewRefused(
            renew.domain,
            node.coordinator_hints.get(renew.domain, ""),
            _find_table_revision(node, renew.domain),
        )
    return coordinator_role.handle_renew(node, coordination, renew)


def handle_vouch(node: nodes.Node, vouch: messages.Vouch) -> messages.Message:
    """Answer a member's request for a vouch as a voter."""
    table = nodes.find_table(node, vouch.domain)
    if table is None:
        return messages.VouchRefused(vouch.domain, 0)
    return voter.answer_vouch(table, node.member.member_id, vouch)


def _find_table_revision(node: nodes.Node, domain: str) -> int:
    table = nodes.find_table(node, domain)
    return table.revision if table is not None else 0
