"""Outcomes of table writes: confirmed, rejected, in conflict or unknown.

A write of unknown outcome stays in flight, unchanged, until the store shows whether it
took effect.
"""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import acknowledgements, events, pushes, state

_RETRY_AFTER_MS = 200


def load_table(
    coordinator: state.Coordinator, table: tables.ShardTable | None, version: int
) -> None:
    """Start from the table read from the store, if there is one."""
    if table is None:
        return
    _set_table(coordinator, table, version)
    if table.coordinator != coordinator.member_id:
        coordinator.predecessor = table.coordinator


def confirm_write(
    coordinator: state.Coordinator, revision: int, version: int, now_ms: int
) -> list[events.Action]:
    """Make the table in flight the current one, as the store has confirmed it."""
    written = coordinator.in_flight
    if written is None or written.revision != revision:
        return []
    before = coordinator.table
    is_first = not coordinator.term_confirmed
    _set_table(coordinator, written, version)
    known = coordinator.transfers
    for move_id in known.move_ids_in_write:
        known.in_progress.pop(move_id, None)
    known.move_ids_in_write = frozenset()
    coordinator.needs_planning = True
    if before is None or written.term > before.term:
        coordinator.needs_new_term = False
    if is_first:
        coordinator.term_confirmed = True
        coordinator.term_confirmed_ms = now_ms
        coordinator.isolation_revision = revision
        state.restart_silence_timers(coordinator, now_ms)
    elif written.isolated != before.isolated:
        coordinator.isolation_revision = revision
    acknowledgements.update_acknowledged(
        coordinator.acks, written, coordinator.roster.ended, now_ms
    )
    return pushes.push_confirmed(coordinator, before, now_ms)


def handle_conflict(
    coordinator: state.Coordinator,
    version: int,
    table: tables.ShardTable | None,
    now_ms: int,
) -> list[events.Action]:
    """Handle a conflict: the store holds another table, or the one in flight."""
    written = coordinator.in_flight
    if written is None:
        return []
    if table == written:
        return confirm_write(coordinator, written.revision, version, now_ms)
    if version == coordinator.table_version:
        coordinator.needs_rewrite = True
        coordinator.retry_at_ms = now_ms + _RETRY_AFTER_MS
        return []
    if coordinator.term_confirmed or table is None or table.term >= written.term:
        return state.resign(coordinator, "another coordinator has written the table")
    coordinator.in_flight = None
    load_table(coordinator, table, version)
    return []


def handle_not_written(
    coordinator: state.Coordinator, revision: int, now_ms: int
) -> list[events.Action]:
    """Handle a write that had no effect."""
    written = coordinator.in_flight
    if written is None or written.revision != revision:
        return []
    coordinator.retry_at_ms = now_ms + _RETRY_AFTER_MS
    if coordinator.outcome_unknown:
        coordinator.needs_rewrite = True
        return []
    coordinator.in_flight = None
    coordinator.transfers.move_ids_in_write = frozenset()
    return []


def handle_unknown_outcome(
    coordinator: state.Coordinator, revision: int
) -> list[events.Action]:
    """Mark the write in flight as one that may have taken effect."""
    written = coordinator.in_flight
    if written is not None and written.revision == revision:
        coordinator.outcome_unknown = True
    return []


def retry_write(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Write the table in flight again, unchanged, once the retry is due."""
    if not coordinator.needs_rewrite or now_ms < coordinator.retry_at_ms:
        return []
    coordinator.needs_rewrite = False
    return [events.WriteTable(coordinator.in_flight, coordinator.table_version)]


def _set_table(
    coordinator: state.Coordinator, table: tables.ShardTable, version: int
) -> None:
    coordinator.table = table
    coordinator.table_version = version
    coordinator.in_flight = None
    coordinator.outcome_unknown = False
    coordinator.needs_rewrite = False
    coordinator.has_unowned = tables.NO_OWNER in table.owners[: table.shard_count]
    coordinator.owned_counts = {}
    for owner in table.owners:
        if owner != tables.NO_OWNER:
            coordinator.owned_counts[owner] = coordinator.owned_counts.get(owner, 0) + 1
