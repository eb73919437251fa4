"""Moves of shards, as two revisions of a table show them."""

from typing import NamedTuple

from fuchsiamoor.core import tables
from fuchsiamoor.core.tables import ShardTable


class Moves(NamedTuple):
    """Shards that changed their owner.

    Parameters
    ----------
    planned : int
        After a release by the owner.
    unplanned : int
        After a loss: nobody serves them until they have settled.
    """

    planned: int
    unplanned: int


def count_moves(old: ShardTable, new: ShardTable) -> Moves:
    """Compare the owners of two revisions; a first owner is no move.

    Parameters
    ----------
    old, new : ShardTable
        Of one domain, ``new`` the later.
    """
    if old.owners is new.owners:
        return Moves(0, 0)
    moved = [
        shard
        for shard, (before, after) in enumerate(
            zip(old.owners, new.owners, strict=False)
        )
        if before != after and before != tables.NO_OWNER
    ]
    unplanned = sum(
        shard in new.pending or new.owners[shard] == tables.NO_OWNER for shard in moved
    )
    return Moves(len(moved) - unplanned, unplanned)
