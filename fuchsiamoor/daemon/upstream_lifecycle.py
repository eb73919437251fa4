"""The upstream beside this daemon: its announcements, and its own planned leave."""

import asyncio

from loguru import logger

from fuchsiamoor.core import tables
from fuchsiamoor.daemon import announcements, upstream_client
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings

DRAIN_CHECK_MS = 50
PROBE_EVERY_MS = 300
UPSTREAM_SILENCE_MS = 1_000
GRANT_LENGTH_MS = 3_600_000


def handle_announcement(
    node: nodes.Node, announcement: announcements.Announcement
) -> announcements.AnnounceResult:
    """Take in what the upstream says of itself."""
    config = node.settings
    if (announcement.service, announcement.instance) != (
        config.service,
        config.instance,
    ):
        return announcements.Rejected(
            f"this daemon serves {config.service} on {config.instance}, not "
            f"{announcement.service} on {announcement.instance}"
        )
    state = node.upstream
    servings.handle_upstream_announced(
        node.serving,
        announcement.incarnation,
        announcement.slots,
        announcement.connections,
    )
    restarted = announcement.incarnation != state.incarnation
    state.incarnation = announcement.incarnation
    state.slots = announcement.slots
    state.connections = announcement.connections
    state.checks_grants = announcement.checks_grants
    state.answered_ms = node.now_ms()
    if restarted:
        logger.bind(incarnation=announcement.incarnation).info("upstream announced")
        state.leaving = False
        _update_member(node)
        nodes.spawn(node, grant_all(node), "grants")
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
    """Notice an upstream that is gone or answers no more.

    A refused connection shows that the process is gone; one that does not answer its
    probe for a while is taken for frozen. What the probe says of readiness is no more
    than a hint and is not looked at here.
    """
    while True:
        probe = await node.client.probe()
        match probe:
            case upstream_client.Probe.ANSWERED:
                node.upstream.answered_ms = node.now_ms()
            case upstream_client.Probe.REFUSED:
                lose_upstream(node)
            case upstream_client.Probe.SILENT:
                if node.now_ms() - node.upstream.answered_ms > UPSTREAM_SILENCE_MS:
                    lose_upstream(node)
        try:
            await asyncio.wait_for(node.upstream_suspect.wait(), PROBE_EVERY_MS / 1000)
        except TimeoutError:
            pass
        node.upstream_suspect.clear()


def lose_upstream(node: nodes.Node) -> None:
    """Give the upstream no more work until it announces itself again."""
    if not node.upstream.incarnation:
        return
    logger.bind(incarnation=node.upstream.incarnation).warning("upstream lost")
    node.upstream.incarnation = ""
    servings.handle_upstream_lost(node.serving)
    node.renew_now.set()


async def drain_upstream(node: nodes.Node, incarnation: str) -> None:
    """Hand everything of the upstream over; returns when nothing of it runs."""
    if incarnation != node.upstream.incarnation:
        return
    node.upstream.leaving = True
    servings.mark_leaving(node.serving)
    node.renew_now.set()
    while has_shards_to_hand_over(node):
        await asyncio.sleep(DRAIN_CHECK_MS / 1000)
    await servings.drain(node.serving)


def has_shards_to_hand_over(node: nodes.Node) -> bool:
    """Return whether this daemon owns shards that another member could take."""
    return any(
        owned_shards(node, domain) and _has_successor(node, domain)
        for domain in node.holders
    )


def _has_successor(node: nodes.Node, domain: str) -> bool:
    return any(
        member.instance != node.member.instance
        for member in nodes.list_candidates(node, domain)
    )


def owned_shards(node: nodes.Node, domain: str) -> list[int]:
    """Return the shards of a domain that the newest table gives this daemon."""
    table = nodes.find_table(node, domain)
    if table is None:
        return []
    return tables.shards_of(table, node.member.member_id)


async def grant_all(node: nodes.Node) -> None:
    """Tell the upstream of all shards that this daemon owns."""
    for domain in list(node.holders):
        await grant_domain(node, domain)


async def grant_domain(node: nodes.Node, domain: str) -> None:
    """Tell the upstream of the shards of a domain that this daemon owns."""
    table = nodes.find_table(node, domain)
    if table is None or not node.upstream.checks_grants:
        return
    shards = [(shard, table.epochs[shard]) for shard in owned_shards(node, domain)]
    if shards:
        await node.client.grant(domain, shards, GRANT_LENGTH_MS)
