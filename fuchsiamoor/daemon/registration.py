"""Registers this daemon's addresses and capacity in the store, and updates them.

A run is one start of the daemon. If a later run registers the same instance, this run
is superseded: it stops owning shards and registers no more.
"""

import asyncio

from loguru import logger

from fuchsiamoor.core import errors, members
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import state_sync
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.peers import codec
from fuchsiamoor.store import port

INITIAL_DELAY_MS = 100
MAX_DELAY_MS = 2_000
MAX_REPLACED = 16


async def maintain_registration(node: nodes.Node) -> None:
    """Keep the registration current, retrying while the store is unavailable."""
    delay_ms = INITIAL_DELAY_MS
    while not node.superseded:
        try:
            await register(node)
        except errors.StoreError:
            node.metrics.count("registration.failed")
            await asyncio.sleep(node.rng.uniform(0.5, 1.0) * delay_ms / 1000)
            delay_ms = min(delay_ms * 2, MAX_DELAY_MS)
            continue
        delay_ms = INITIAL_DELAY_MS
        if node.member.registered_version:
            await node.register_now.wait()
            node.register_now.clear()


async def register(node: nodes.Node) -> None:
    """Register this run as the current run of its instance.

    If the answer of the store was lost, the next call finds the registration and
    confirms it.

    Raises
    ------
    StoreError
    """
    key = state_sync.MEMBERS_PREFIX + node.member.instance
    member = node.member
    value = codec.encode_member(member._replace(registered_version=0))
    current = await node.store.get(key)
    if current is not None and current.value == value:
        _mark_registered(node, current.version)
        return
    if current is not None:
        registered = state_sync.read_registration(node, current)
        if registered is not None and registered.member_id != member.member_id:
            if member.registered_version:
                mark_superseded(node)
                return
            node.member = member._replace(replaces=list_replaced(member, registered))
            value = codec.encode_member(node.member)
    expected = current.version if current is not None else port.ABSENT
    match await node.store.swap(key, expected, value):
        case port.Swapped(version):
            _mark_registered(node, version)
        case port.Conflict():
            node.metrics.count("registration.raced")


def list_replaced(
    member: members.Member, registered: members.Member
) -> tuple[str, ...]:
    """Return the member ids of earlier runs that have certainly ended.

    An earlier run with the same peer address has ended, because this run now listens
    there.


    Parameters
    ----------
    member : Member
        This run, whose peer server is listening.
    registered : Member
        The registration that it replaces.
    """
    if registered.peer_address != member.peer_address:
        return ()
    return (registered.member_id, *registered.replaces)[:MAX_REPLACED]


def _mark_registered(node: nodes.Node, version: int) -> None:
    node.member = node.member._replace(registered_version=version)
    cluster_states.adopt_members(node.cluster_state, [node.member])


async def deregister(node: nodes.Node) -> None:
    """Delete this run's registration from the store at a planned stop.

    The registration of a voter stays, so that the next run at the same address can
    prove that the voter has ended.
    """
    if node.member.registered_version == 0 or _is_voter(node):
        return
    key = state_sync.MEMBERS_PREFIX + node.member.instance
    try:
        await node.store.delete(key, node.member.registered_version)
    except errors.StoreError:
        node.metrics.count("registration.failed")


def _is_voter(node: nodes.Node) -> bool:
    return any(
        voter.member_id == node.member.member_id
        for table in node.cluster_state.tables.values()
        for voter in (*table.voters, *table.previous_voters)
    )


def check_superseded(node: nodes.Node) -> None:
    """Mark this run as superseded if a later run has registered the instance."""
    if node.superseded:
        return
    if not directories.is_superseded(node.cluster_state.directory, node.member):
        return
    mark_superseded(node)


def mark_superseded(node: nodes.Node) -> None:
    """Give up all ownership, because a later run has registered the instance."""
    node.superseded = True
    logger.bind(member=node.member.member_id).warning(
        "instance registered by a later run"
    )
    for holder in node.holders.values():
        holders.retire(holder, node.now_ms())
