"""Counts shard moves between two revisions of a shard table."""

from typing import NamedTuple

from fuchsiamoor.core import tables
from fuchsiamoor.core.tables import ShardTable


class Moves(NamedTuple):
    """Numbers of shards that changed owner.

    Parameters
    ----------
    planned : int
        Moved after their owner released them.
    unplanned : int
        Moved after the loss of their owner. They are pending or unowned in the new
        table, and no instance serves them until the move completes.
    """

    planned: int
    unplanned: int


def count_moves(old: ShardTable, new: ShardTable) -> Moves:
    """Count the shards whose owner differs; a first assignment is not a move.

    Parameters
    ----------
    old, new : ShardTable
        Two revisions of the table of one domain; ``new`` is the later one.
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
