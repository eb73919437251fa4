"""Lifecycle of the local upstream: announcements, probes, shard grants and drain."""

import asyncio

from loguru import logger

from fuchsiamoor.core import tables
from fuchsiamoor.daemon import announcements, upstream_client
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings

DRAIN_POLL_MS = 50
PROBE_EVERY_MS = 300
PROBE_SILENCE_MAX_MS = 1_000
GRANT_TTL_MS = 3_600_000


def handle_announcement(
    node: nodes.Node, announcement: announcements.Announcement
) -> announcements.AnnounceResult:
    """Handle an announcement of the upstream; reject one of another instance."""
    settings = node.settings
    if (announcement.service, announcement.instance) != (
        settings.service,
        settings.instance,
    ):
        return announcements.Rejected(
            f"this daemon serves {settings.service} on {settings.instance}, not "
            f"{announcement.service} on {announcement.instance}"
        )
    state = node.upstream
    servings.handle_upstream_announced(
        node.serving,
        announcement.incarnation,
        announcement.slots,
        announcement.connections,
    )
    is_new_incarnation = announcement.incarnation != state.incarnation
    state.incarnation = announcement.incarnation
    state.slots = announcement.slots
    state.connections = announcement.connections
    state.checks_grants = announcement.checks_grants
    state.last_seen_ms = node.now_ms()
    if is_new_incarnation:
        logger.bind(incarnation=announcement.incarnation).info("upstream announced")
        state.leaving = False
        _update_member(node)
        nodes.spawn(node, grant_all_domains(node), "grants")
    return announcements.Accepted()


def _update_member(node: nodes.Node) -> None:
    state = node.upstream
    node.member = node.member._replace(
        checks_grants=state.checks_grants,
        slots=state.slots,
        connections=state.connections,
    )
    node.register_now.set()


async def watch_upstream(node: nodes.Node) -> None:
    """Probe the upstream and detect that it has ended or stopped responding.

    A refused connection shows that the process has ended. An upstream that answers no
    probe for `PROBE_SILENCE_MAX_MS` counts as frozen. The readiness that a probe
    reports is only a hint and is ignored here.
    """
    while True:
        probe = await node.client.probe()
        match probe:
            case upstream_client.Probe.ANSWERED:
                node.upstream.last_seen_ms = node.now_ms()
            case upstream_client.Probe.REFUSED:
                mark_upstream_lost(node)
            case upstream_client.Probe.SILENT:
                if node.now_ms() - node.upstream.last_seen_ms > PROBE_SILENCE_MAX_MS:
                    mark_upstream_lost(node)
        try:
            await asyncio.wait_for(node.upstream_suspect.wait(), PROBE_EVERY_MS / 1000)
        except TimeoutError:
            pass
        node.upstream_suspect.clear()


def mark_upstream_lost(node: nodes.Node) -> None:
    """Send the upstream no more requests until it announces itself again."""
    if not node.upstream.incarnation:
        return
    logger.bind(incarnation=node.upstream.incarnation).warning("upstream lost")
    node.upstream.incarnation = ""
    servings.handle_upstream_lost(node.serving)
    node.renew_now.set()


async def drain_upstream(node: nodes.Node, incarnation: str) -> None:
    """Hand over the upstream's shards and wait until it runs no request.

    A later incarnation is not drained in its place.
    """
    if incarnation != node.upstream.incarnation:
        return
    node.upstream.leaving = True
    servings.mark_leaving(node.serving)
    node.renew_now.set()
    while has_shards_to_hand_over(node):
        await asyncio.sleep(DRAIN_POLL_MS / 1000)
    if incarnation == node.upstream.incarnation:
        await servings.drain(node.serving)


def has_shards_to_hand_over(node: nodes.Node) -> bool:
    """Return whether this daemon owns shards that another member could take over."""
    return any(
        list_owned_shards(node, domain) and _has_successor(node, domain)
        for domain in node.holders
    )


def _has_successor(node: nodes.Node, domain: str) -> bool:
    return any(
        member.instance != node.member.instance
        for member in nodes.list_candidates(node, domain)
    )


def list_owned_shards(node: nodes.Node, domain: str) -> list[int]:
    """Return the shards of a domain that this daemon owns by the newest table."""
    table = nodes.find_table(node, domain)
    if table is None:
        return []
    return tables.shards_of(table, node.member.member_id)


async def grant_all_domains(node: nodes.Node) -> None:
    """Grant the upstream all shards that this daemon owns."""
    for domain in list(node.holders):
        await grant_domain(node, domain)


async def grant_domain(node: nodes.Node, domain: str) -> None:
    """Grant the upstream the shards of a domain that this daemon owns."""
    table = nodes.find_table(node, domain)
    if table is None or not node.upstream.checks_grants:
        return
    shards = [(shard, table.epochs[shard]) for shard in list_owned_shards(node, domain)]
    if shards:
        await node.client.grant(domain, shards, GRANT_TTL_MS)
