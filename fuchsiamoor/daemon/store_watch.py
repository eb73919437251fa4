"""Watches the store for changes while this daemon coordinates a domain.

Only coordinators watch, so that the number of open watch calls does not grow with the
fleet; other daemons receive changes by gossip.
"""

import asyncio

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import state_sync
from fuchsiamoor.documents import stored
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.store import port

WATCH_WAIT_MS = 10_000
IDLE_CHECK_MS = 200
RETRY_DELAY_MS = 200


async def watch_configuration(node: nodes.Node) -> None:
    """Adopt each new configuration from the store."""
    await _watch_prefix(node, stored.CONFIGURATION_KEY, _apply_configuration)


async def watch_members(node: nodes.Node) -> None:
    """Update the directory when a registration is written or deleted."""
    await _watch_prefix(node, state_sync.MEMBERS_PREFIX, _apply_registration)


async def _watch_prefix(node: nodes.Node, prefix: str, handle_change) -> None:
    version = 0
    while True:
        if not node.coordinator_roles:
            version = 0
            await asyncio.sleep(IDLE_CHECK_MS / 1000)
            continue
        try:
            if version == 0:
                version = await _load_listing(node, prefix, handle_change)
            changes = await node.store.watch(prefix, version, WATCH_WAIT_MS)
        except errors.StoreError:
            version = 0
            await asyncio.sleep(RETRY_DELAY_MS / 1000)
            continue
        for change in changes.changes:
            handle_change(node, change, changes.version)
        version = changes.version


async def _load_listing(node: nodes.Node, prefix: str, handle_change) -> int:
    listing = await node.store.list_prefix(prefix)
    if prefix == state_sync.MEMBERS_PREFIX:
        state_sync.adopt_listing(node, listing)
        return listing.version
    for entry in listing.entries:
        handle_change(node, port.Change(entry.key, entry), listing.version)
    return listing.version


def _apply_configuration(node: nodes.Node, change: port.Change, version: int) -> None:
    if change.entry is not None and change.key == stored.CONFIGURATION_KEY:
        state_sync.adopt_entry(node, cluster_states.adopt_configuration, change.entry)


def _apply_registration(node: nodes.Node, change: port.Change, version: int) -> None:
    if change.entry is None:
        instance = change.key.removeprefix(state_sync.MEMBERS_PREFIX)
        if directories.remove_instance(node.cluster_state.directory, instance, version):
            node.cluster_state.on_directory()
        return
    member = state_sync.read_registration(node, change.entry)
    if member is not None:
        cluster_states.adopt_members(node.cluster_state, [member])
