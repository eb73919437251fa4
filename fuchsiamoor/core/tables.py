"""Shard tables: the owner of each shard of a domain, as kept in the platform's store.

A table is one value in the store and is replaced as a whole by compare-and-swap.
Shards below ``shard_count`` hold keys by hash; each higher one holds a single isolated
key. All functions here are pure.
"""

from enum import StrEnum
from typing import NamedTuple

NO_OWNER = ""


class Voter(NamedTuple):
    """A member that may vouch, and the number of its votes."""

    member_id: str
    votes: int


class PendingShard(NamedTuple):
    """A shard that was moved from a lost owner and may not be served yet.

    Parameters
    ----------
    previous_owner : str
        Member that may still have a lease on it.
    revision : int
        Table revision that moved it.
    """

    previous_owner: str
    revision: int


class ShardTable(NamedTuple):
    """The owners of one domain's shards.

    Parameters
    ----------
    domain : str
    term : int
        Increases with every new coordinator.
    coordinator : str
        Member that wrote this revision.
    revision : int
        Increases with every write.
    shard_count : int
        Number of shards that hold keys by hash.
    owners : tuple of str
        Member id for each shard, `NO_OWNER` where there is none.
    epochs : tuple of int
        Fencing epoch for each shard: the revision of its last assignment.
    pending : dict of int to PendingShard
        Shards that no member may serve yet.
    lost : dict of str to int
        Last revision that removed a shard from a member, by member id.
    voters : tuple of Voter
    previous_voters : tuple of Voter
        Voters replaced at ``voters_revision``; empty once the change is complete.
    voters_revision : int
    isolated : dict of int to int
        Shard by key hash, for keys that have a shard of their own.
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
    """Whether a shard may be served by its owner, by the table alone."""

    OWNED = "owned"
    PENDING = "pending"
    UNOWNED = "unowned"


def make_empty_table(domain: str, shard_count: int) -> ShardTable:
    """Return revision 0, which has no owners and no voters."""
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
    """Return whether the table lets an owner serve a shard."""
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
