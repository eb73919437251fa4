"""Shard tables: who owns each shard of a domain, as kept in the platform's store.

A table is one value in the store, replaced whole by compare-and-swap. Shards below
``shard_count`` are hashed; higher ones each hold a single isolated key. All functions
here are pure.
"""

from enum import StrEnum
from typing import NamedTuple

NO_OWNER = ""


class Voter(NamedTuple):
    """A member whose vouches count, and for how many votes."""

    member_id: str
    votes: int


class PendingShard(NamedTuple):
    """A shard taken from a lost owner, not yet safe to serve at its new one.

    Parameters
    ----------
    previous_owner : str
        Member that may still hold a lease on it.
    revision : int
        Table revision that took it away.
    """

    previous_owner: str
    revision: int


class ShardTable(NamedTuple):
    """The owners of one domain's shards.

    Parameters
    ----------
    domain : str
    term : int
        Rises with every coordinator.
    coordinator : str
        Member that wrote this revision.
    revision : int
        Rises with every write.
    shard_count : int
        Number of hashed shards.
    owners : tuple of str
        Member id for each shard, `NO_OWNER` where there is none.
    epochs : tuple of int
        Fencing epoch for each shard: the revision of its last assignment.
    pending : dict of int to PendingShard
        Shards that nobody may serve yet.
    lost : dict of str to int
        For each member, the last revision that took a shard from it.
    voters : tuple of Voter
    previous_voters : tuple of Voter
        Voters replaced at ``voters_revision``; empty once the change has settled.
    voters_revision : int
    isolated : dict of int to int
        Key hash to shard index, for keys that have a shard to themselves.
    """

    domain: str
    term: int
    coordinator: str
    revision: int
    shard_count: int
    owners: tuple[str, ...]
    epochs: tuple[int, ...]
    pending: dict[int, PendingShard]
    lost: dict[str, int]
    voters: tuple[Voter, ...]
    previous_voters: tuple[Voter, ...]
    voters_revision: int
    isolated: dict[int, int]


class ShardState(StrEnum):
    """Whether a shard may be served by its owner as far as the table tells."""

    OWNED = "owned"
    PENDING = "pending"
    UNOWNED = "unowned"


def make_empty_table(domain: str, shard_count: int) -> ShardTable:
    """Return revision 0, which owns nothing and has no voters."""
    return ShardTable(
        domain=domain,
        term=0,
        coordinator=NO_OWNER,
        revision=0,
        shard_count=shard_count,
        owners=(NO_OWNER,) * shard_count,
        epochs=(0,) * shard_count,
        pending={},
        lost={},
        voters=(),
        previous_voters=(),
        voters_revision=0,
        isolated={},
    )


def find_shard(table: ShardTable, key_hash: int) -> int:
    """Return the shard that holds a key hash under this table."""
    isolated = table.isolated.get(key_hash)
    if isolated is not None:
        return isolated
    return key_hash % table.shard_count


def shard_state(table: ShardTable, shard: int) -> ShardState:
    """Return whether the table lets anyone serve a shard."""
    if shard >= len(table.owners) or table.owners[shard] == NO_OWNER:
        return ShardState.UNOWNED
    if shard in table.pending:
        return ShardState.PENDING
    return ShardState.OWNED


def shards_of(table: ShardTable, member_id: str) -> list[int]:
    """Return the shards that a member owns, pending ones included."""
    return [shard for shard, owner in enumerate(table.owners) if owner == member_id]


def is_newer(candidate: ShardTable, known: ShardTable) -> bool:
    """Return whether a table supersedes the known one."""
    return candidate.revision > known.revision
