"""Holding: keeps this daemon's serving leases renewed, one holder for each domain."""

import asyncio

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import errors, keys, messages
from fuchsiamoor.daemon import calls, coordinating, exchange
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import voter

SHORTEST_PAUSE_MS = 5


def add_missing_holders(node: nodes.Node) -> None:
    """Make a holder for every domain of this daemon's service and region."""
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
    own = node.settings
    found = []
    for domain in configurations.list_domains(node.knowledge.configuration):
        service, regions = keys.split_domain_id(domain)
        if service == own.service and own.region in regions:
            found.append(domain)
    return found


def adopt_table(node: nodes.Node, domain: str) -> None:
    """Tell the domain's holder of a newer table."""
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
    """Renew all leases when they are due, and at once on a new table."""
    while True:
        if node.member.registered_version:
            for holder in list(node.holders.values()):
                _renew(node, holder)
        try:
            await asyncio.wait_for(node.renew_now.wait(), _pause_ms(node) / 1000)
        except TimeoutError:
            pass
        node.renew_now.clear()


def _pause_ms(node: nodes.Node) -> int:
    """Return the time until a lease is due, in milliseconds."""
    longest_ms = node.settings.timing.renew_every_ms
    dues_ms = [
        holders.compute_next_request_ms(holder) for holder in node.holders.values()
    ]
    next_ms = min((due_ms for due_ms in dues_ms if due_ms is not None), default=None)
    if next_ms is None:
        return longest_ms
    return max(SHORTEST_PAUSE_MS, min(next_ms - node.now_ms(), longest_ms))


def _renew(node: nodes.Node, holder: holders.LeaseHolder) -> None:
    asks = holders.list_due_requests(
        holder,
        node.now_ms(),
        nodes.make_load(node, holder.domain),
        node.knowledge.configuration.revision,
    )
    for ask in asks:
        nodes.spawn(node, _ask(node, holder, ask), "renewal")


async def _ask(
    node: nodes.Node, holder: holders.LeaseHolder, ask: holders.LeaseRequest
) -> None:
    sent_ms = node.now_ms()
    try:
        reply = await calls.call_member(
            node, ask.member_id, ask.message, node.settings.timing.lease_ms
        )
    except errors.PeerError:
        node.metrics.count("lease.ask_failed")
        return
    match reply:
        case messages.Renewed():
            holders.record_renewed(holder, ask.member_id, reply, sent_ms)
            servings.handle_state_change(node.serving)
            if reply.configuration_revision > node.knowledge.configuration.revision:
                await exchange.exchange_with(node, ask.member_id)
        case messages.Vouched():
            holders.record_vouched(holder, ask.member_id, reply, sent_ms)
            servings.handle_state_change(node.serving)
        case messages.RenewRefused():
            node.metrics.count("lease.refused")
            holders.record_refused(holder, reply)
            node.renew_now.set()
            await _follow_refusal(node, ask.member_id, reply)
        case messages.VouchRefused():
            node.metrics.count("lease.refused")
            await _follow_refusal(node, ask.member_id, reply)


async def _follow_refusal(node, member_id, reply) -> None:
    known = nodes.find_table(node, reply.domain)
    if known is None or reply.revision > known.revision:
        await exchange.exchange_with(node, member_id)


def handle_renew(node: nodes.Node, renew: messages.Renew) -> messages.Message:
    """Answer a member's renewal, as the coordinator if this daemon is it."""
    coordination = node.coordinating.get(renew.domain)
    if coordination is None:
        return messages.RenewRefused(
            renew.domain,
            node.coordinator_hints.get(renew.domain, ""),
            _known_revision(node, renew.domain),
        )
    return coordinating.answer_renew(node, coordination, renew)


def handle_vouch(node: nodes.Node, vouch: messages.Vouch) -> messages.Message:
    """Answer a member's request for a vouch."""
    table = nodes.find_table(node, vouch.domain)
    if table is None:
        return messages.VouchRefused(vouch.domain, 0)
    return voter.answer_vouch(table, node.member.member_id, vouch)


def _known_revision(node: nodes.Node, domain: str) -> int:
    table = nodes.find_table(node, domain)
    return table.revision if table is not None else 0
