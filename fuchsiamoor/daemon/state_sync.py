"""Keeps the cluster state current by gossip with peers and reads from the store."""

import asyncio
from collections.abc import Callable

from loguru import logger

from fuchsiamoor.core import errors, members, messages
from fuchsiamoor.daemon import calls
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.documents import stored
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.membership import partners
from fuchsiamoor.peers import codec
from fuchsiamoor.store import port

CALL_TIMEOUT_MS = 1_000
STORE_READ_INTERVAL_MS = 300_000
# Also: a daemon without gossip for this time counts as isolated.
STORE_READ_ISOLATED_MS = 3_000
STORE_READ_UNCONFIGURED_MS = 500
MEMBERS_PREFIX = "members/"
TABLES_PREFIX = "domains/"
TABLE_SUFFIX = "/table"


async def run_gossip(node: nodes.Node) -> None:
    """Exchange state with a gossip partner at a jittered interval."""
    interval_ms = node.settings.timing.gossip_every_ms
    while True:
        await asyncio.sleep(node.rng.uniform(0.5, 1.5) * interval_ms / 1000)
        partner = partners.choose_partner(
            node.member.member_id, list(node.cluster_state.directory.by_id), node.rng
        )
        if partner is not None:
            await exchange_state(node, partner)


async def exchange_state(node: nodes.Node, member_id: str) -> None:
    """Exchange state with one member, so that both have the newer of each item."""
    digest = cluster_states.make_digest(node.cluster_state)
    try:
        reply = await calls.call_member(node, member_id, digest, CALL_TIMEOUT_MS)
        if not isinstance(reply, messages.DigestReply):
            return
        node.last_exchange_ms = node.now_ms()
        adopt_state(node, reply)
        push = cluster_states.select_newer(node.cluster_state, reply.digest)
        if not cluster_states.is_empty(push):
            await calls.call_member(node, member_id, push, CALL_TIMEOUT_MS)
    except errors.PeerError:
        node.metrics.count("gossip.failed")


def adopt_state(
    node: nodes.Node, state: messages.DigestReply | messages.StatePush
) -> None:
    """Adopt a peer's newer state and count the parts that could not be read."""
    problems = cluster_states.adopt_state(node.cluster_state, state)
    if problems:
        node.metrics.count("gossip.unreadable", len(problems))


async def poll_store(node: nodes.Node) -> None:
    """Read the whole state from the store at the start and periodically.

    Reads are frequent while there is no configuration or no gossip, and rare otherwise.
    """
    while True:
        try:
            await read_store(node)
        except errors.StoreError:
            node.metrics.count("store.read_failed")
        await asyncio.sleep(
            node.rng.uniform(0.5, 1.5) * _compute_read_pause_ms(node) / 1000
        )


def _compute_read_pause_ms(node: nodes.Node) -> int:
    if node.cluster_state.configuration.revision == 0:
        return STORE_READ_UNCONFIGURED_MS
    if node.now_ms() - node.last_exchange_ms > STORE_READ_ISOLATED_MS:
        return STORE_READ_ISOLATED_MS
    return STORE_READ_INTERVAL_MS


async def read_store(node: nodes.Node) -> None:
    """Adopt the configuration, all registrations and all tables from the store.

    Raises
    ------
    StoreError
    """
    await read_configuration(node)
    listing = await node.store.list_prefix(MEMBERS_PREFIX)
    adopt_listing(node, listing)
    tables = await node.store.list_prefix(TABLES_PREFIX)
    for entry in tables.entries:
        if entry.key.endswith(TABLE_SUFFIX):
            adopt_entry(node, cluster_states.adopt_table, entry)


async def read_configuration(node: nodes.Node) -> None:
    """Adopt the configuration from the store.

    Raises
    ------
    StoreError
    """
    entry = await node.store.get(stored.CONFIGURATION_KEY)
    if entry is not None:
        adopt_entry(node, cluster_states.adopt_configuration, entry)


def adopt_entry(
    node: nodes.Node,
    adopt: Callable[[cluster_states.ClusterState, bytes], bool],
    entry: port.Entry,
) -> None:
    """Adopt an entry of the store; log one that cannot be, as the others hold."""
    for problem in cluster_states.adopt_or_report(
        adopt, node.cluster_state, entry.value
    ):
        _report_unreadable(node, entry, problem)


def read_registration(node: nodes.Node, entry: port.Entry) -> members.Member | None:
    """Decode a registration; one that cannot be changes nothing of its instance."""
    instance = entry.key.removeprefix(MEMBERS_PREFIX)
    try:
        member = codec.decode_member(entry.value)
        if member.instance != instance:
            raise errors.FrameError(f"found instance {member.instance!r:.40}")
    except errors.FrameError as error:
        _report_unreadable(node, entry, str(error))
        return node.cluster_state.directory.by_instance.get(instance)
    return member._replace(registered_version=entry.version)


def _report_unreadable(node: nodes.Node, entry: port.Entry, problem: str) -> None:
    node.metrics.count("store.unreadable")
    logger.bind(key=entry.key, error=problem[:200]).error(
        "store entry cannot be decoded"
    )


def adopt_listing(node: nodes.Node, listing: port.Listing) -> None:
    """Update the directory from a listing of all registrations."""
    found = (read_registration(node, entry) for entry in listing.entries)
    registrations = [member for member in found if member is not None]
    if directories.apply_listing(
        node.cluster_state.directory, listing.version, registrations
    ):
        node.cluster_state.on_directory()
