"""Exchange: spreads configuration, tables and registrations between daemons."""

import asyncio

from fuchsiamoor.core import errors, messages
from fuchsiamoor.daemon import calls
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.documents import stored
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.membership import partners
from fuchsiamoor.peers import codec

CALL_TIMEOUT_MS = 1_000
STORE_READ_EVERY_MS = 300_000
STORE_READ_ALONE_MS = 3_000
STORE_READ_UNCONFIGURED_MS = 500
MEMBERS_PREFIX = "members/"
TABLES_PREFIX = "domains/"
TABLE_SUFFIX = "/table"


async def run_gossip(node: nodes.Node) -> None:
    """Exchange state with a partner at the pace of the settings."""
    interval_ms = node.settings.timing.gossip_every_ms
    while True:
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * interval_ms / 1000)
        partner = partners.choose_partner(
            node.member.member_id, list(node.knowledge.directory.by_id), node.rng
        )
        if partner is not None:
            await exchange_with(node, partner)


async def exchange_with(node: nodes.Node, member_id: str) -> None:
    """Exchange newer state with one member, both ways."""
    digest = knowledges.make_digest(node.knowledge)
    try:
        reply = await calls.call_member(node, member_id, digest, CALL_TIMEOUT_MS)
        if not isinstance(reply, messages.DigestReply):
            return
        node.last_exchange_ms = node.now_ms()
        take_state(node, reply)
        push = knowledges.select_newer(node.knowledge, reply.digest)
        if not knowledges.is_empty(push):
            await calls.call_member(node, member_id, push, CALL_TIMEOUT_MS)
    except errors.PeerError:
        node.metrics.count("gossip.failed")


def take_state(
    node: nodes.Node, state: messages.DigestReply | messages.StatePush
) -> None:
    """Adopt a peer's newer state and count what could not be read."""
    problems = knowledges.take_state(node.knowledge, state)
    if problems:
        node.metrics.count("gossip.unreadable", len(problems))


async def run_store_reads(node: nodes.Node) -> None:
    """Read the store at the start, when alone, and seldom otherwise."""
    while True:
        try:
            await read_store(node)
        except errors.StoreError:
            node.metrics.count("store.read_failed")
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * _pause_ms(node) / 1000)


def _pause_ms(node: nodes.Node) -> int:
    if node.knowledge.configuration.revision == 0:
        return STORE_READ_UNCONFIGURED_MS
    if node.now_ms() - node.last_exchange_ms > STORE_READ_ALONE_MS:
        return STORE_READ_ALONE_MS
    return STORE_READ_EVERY_MS


async def read_store(node: nodes.Node) -> None:
    """Take in the configuration, all registrations and all tables.

    Raises
    ------
    StoreError
    """
    await read_configuration(node)
    listing = await node.store.list_prefix(MEMBERS_PREFIX)
    take_listing(node, listing)
    tables = await node.store.list_prefix(TABLES_PREFIX)
    for entry in tables.entries:
        if entry.key.endswith(TABLE_SUFFIX):
            knowledges.adopt_table(node.knowledge, entry.value)


async def read_configuration(node: nodes.Node) -> None:
    """Take in the configuration that the store holds.

    Raises
    ------
    StoreError
    """
    entry = await node.store.get(stored.CONFIGURATION_KEY)
    if entry is not None:
        knowledges.adopt_configuration(node.knowledge, entry.value)


def take_listing(node: nodes.Node, listing) -> None:
    """Take in a listing of all registrations."""
    found = [
        codec.decode_member(entry.value)._replace(registered_version=entry.version)
        for entry in listing.entries
    ]
    if directories.apply_listing(node.knowledge.directory, listing.version, found):
        node.knowledge.on_directory()
