"""Watching: follows the store's changes while this daemon coordinates a domain.

Only coordinators watch, so that the number of waiting calls does not grow with the
fleet; other daemons learn of changes from their peers.
"""

import asyncio

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import exchange
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.documents import stored
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.peers import codec
from fuchsiamoor.store import port

WATCH_WAIT_MS = 10_000
IDLE_CHECK_MS = 200
FAILURE_DELAY_MS = 200


async def watch_configuration(node: nodes.Node) -> None:
    """Adopt every configuration that the store accepts."""
    await _watch(node, stored.CONFIGURATION_KEY, _take_configuration)


async def watch_members(node: nodes.Node) -> None:
    """Take in every registration as it is made or deleted."""
    await _watch(node, exchange.MEMBERS_PREFIX, _take_member)


async def _watch(node: nodes.Node, prefix: str, take) -> None:
    version = 0
    while True:
        if not node.coordinating:
            version = 0
            await asyncio.sleep(IDLE_CHECK_MS / 1000)
            continue
        try:
            if version == 0:
                version = await _start(node, prefix, take)
            changes = await node.store.watch(prefix, version, WATCH_WAIT_MS)
        except errors.StoreError:
            version = 0
            await asyncio.sleep(FAILURE_DELAY_MS / 1000)
            continue
        for change in changes.changes:
            take(node, change, changes.version)
        version = changes.version


async def _start(node: nodes.Node, prefix: str, take) -> int:
    listing = await node.store.list_prefix(prefix)
    if prefix == exchange.MEMBERS_PREFIX:
        exchange.take_listing(node, listing)
        return listing.version
    for entry in listing.entries:
        take(node, port.Change(entry.key, entry), listing.version)
    return listing.version


def _take_configuration(node: nodes.Node, change: port.Change, version: int) -> None:
    if change.entry is not None and change.key == stored.CONFIGURATION_KEY:
        knowledges.adopt_configuration(node.knowledge, change.entry.value)


def _take_member(node: nodes.Node, change: port.Change, version: int) -> None:
    if change.entry is None:
        instance = change.key.removeprefix(exchange.MEMBERS_PREFIX)
        if directories.remove_instance(node.knowledge.directory, instance, version):
            node.knowledge.on_directory()
        return
    member = codec.decode_member(change.entry.value)
    knowledges.adopt_members(
        node.knowledge, [member._replace(registered_version=change.entry.version)]
    )
