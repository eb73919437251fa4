"""Planned moves in progress: requests to owners to release shards, and answers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import messages, tables
from fuchsiamoor.ownership import events, placement

# Earliest next request to an owner after one failed: for a move that evens out load,
# and for one that an evacuation or an override requires. An owner that lacked the
# newest table has it after two renewals.
BALANCING_RETRY_AFTER_MS = 5_000
REQUIRED_RETRY_AFTER_MS = 500
_ANSWER_MARGIN_MS = 1_000


class Transfer(NamedTuple):
    """A request to one owner to release shards.

    Parameters
    ----------
    move_id : int
    term : int
    source : str
    targets : dict of int to str
        New owner of each shard.
    deadline_ms : int
        Time after which the move is aborted if the owner has not answered.
    released : bool
        Whether the owner has released the shards.
    """

    move_id: int
    term: int
    source: str
    targets: dict[int, str]
    deadline_ms: int
    released: bool = False


@dataclass(slots=True)
class Transfers:
    """Planned moves of one coordinator.

    Parameters
    ----------
    in_progress : dict of int to Transfer
        By move id.
    move_ids_in_write : frozenset of int
        Moves that the write in flight completes.
    last_move_id : int
    failed_at_ms : dict of str to int
        Time of the latest request to each owner that failed to release.
    """

    in_progress: dict[int, Transfer] = field(default_factory=dict)
    move_ids_in_write: frozenset[int] = frozenset()
    last_move_id: int = 0
    failed_at_ms: dict[str, int] = field(default_factory=dict)


def request_releases(
    transfers: Transfers,
    table: tables.ShardTable,
    moves: Iterable[placement.Move],
    run_ms: int,
    now_ms: int,
    is_required: bool = False,
) -> list[events.Action]:
    """Request the release of shards, with one request to each owner.

    Owners with a request in progress, or a recent failure, are skipped.

    Parameters
    ----------
    transfers : Transfers
    table : ShardTable
    moves : iterable of Move
    run_ms : int
        Longest time that work running at the owner may take, in milliseconds.
    now_ms : int
        Monotonic time, in milliseconds.
    is_required : bool
        Whether the shards must move, so that an owner is asked again soon.

    Returns
    -------
    list of Action
    """
    targets_of: dict[str, dict[int, str]] = {}
    for move in moves:
        if move.source != move.target and move.shard not in table.pending:
            targets_of.setdefault(move.source, {})[move.shard] = move.target
    actions: list[events.Action] = []
    unavailable = _list_unavailable(transfers, now_ms, is_required)
    for source in sorted(targets_of.keys() - unavailable):
        transfers.last_move_id += 1
        timeout_ms = run_ms + _ANSWER_MARGIN_MS
        transfer = Transfer(
            transfers.last_move_id,
            table.term,
            source,
            targets_of[source],
            now_ms + timeout_ms + _ANSWER_MARGIN_MS,
        )
        transfers.in_progress[transfer.move_id] = transfer
        prepare = messages.Prepare(
            table.domain, table.term, transfer.move_id, tuple(sorted(transfer.targets))
        )
        actions.append(events.AskRelease(source, prepare, timeout_ms))
    return actions


def record_released(
    transfers: Transfers,
    table: tables.ShardTable,
    member_id: str,
    released: messages.Released,
) -> bool:
    """Record a release; return whether it belongs to a move in progress."""
    transfer = transfers.in_progress.get(released.move_id)
    if (
        transfer is None
        or released.term != transfer.term
        or released.domain != table.domain
    ):
        return False
    if transfer.source != member_id or set(released.shards) != set(transfer.targets):
        return False
    transfers.in_progress[released.move_id] = transfer._replace(released=True)
    return True


def list_released(transfers: Transfers) -> list[Transfer]:
    """Return the moves whose shards are released and can be reassigned."""
    return [
        transfer for transfer in transfers.in_progress.values() if transfer.released
    ]


def list_moving_shards(transfers: Transfers) -> frozenset[int]:
    """Return the shards of all moves in progress."""
    return frozenset(
        shard
        for transfer in transfers.in_progress.values()
        for shard in transfer.targets
    )


def abort_move(
    transfers: Transfers, table: tables.ShardTable, move_id: int, now_ms: int
) -> list[events.Action]:
    """Abort a move, unless the write in flight may complete it."""
    if move_id in transfers.move_ids_in_write or move_id not in transfers.in_progress:
        return []
    transfer = transfers.in_progress.pop(move_id)
    transfers.failed_at_ms[transfer.source] = now_ms
    abort = messages.AbortMove(table.domain, transfer.term, move_id)
    return [events.SendAbort(transfer.source, abort)]


def abort_overdue_moves(
    transfers: Transfers, table: tables.ShardTable, now_ms: int
) -> list[events.Action]:
    """Abort the moves whose owners have not answered in time."""
    overdue = [
        transfer.move_id
        for transfer in transfers.in_progress.values()
        if not transfer.released and now_ms >= transfer.deadline_ms
    ]
    return _abort_moves(transfers, table, overdue, now_ms)


def abort_unwritten_moves(
    transfers: Transfers, table: tables.ShardTable, now_ms: int
) -> list[events.Action]:
    """Abort all moves that no write in flight may complete."""
    return _abort_moves(transfers, table, list(transfers.in_progress), now_ms)


def _abort_moves(
    transfers: Transfers, table: tables.ShardTable, move_ids: list[int], now_ms: int
) -> list[events.Action]:
    return [
        action
        for move_id in move_ids
        for action in abort_move(transfers, table, move_id, now_ms)
    ]


def drop_moves_from(transfers: Transfers, sources: Iterable[str]) -> None:
    """Drop the moves whose source is one of the lost owners."""
    lost = frozenset(sources)
    transfers.in_progress = {
        move_id: transfer
        for move_id, transfer in transfers.in_progress.items()
        if transfer.source not in lost
    }


def _list_unavailable(transfers: Transfers, now_ms: int, is_required: bool) -> set[str]:
    retry_after_ms = (
        REQUIRED_RETRY_AFTER_MS if is_required else BALANCING_RETRY_AFTER_MS
    )
    asked = {transfer.source for transfer in transfers.in_progress.values()}
    backing_off = {
        source
        for source, failed_ms in transfers.failed_at_ms.items()
        if now_ms < failed_ms + retry_after_ms
    }
    return asked | backing_off
