"""How writes of a table end: confirmed, refused, overtaken by another, or unknown.

A write of unknown outcome stays in flight, unchanged, until the store tells its ending.
"""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import events, pushes, settlement, state

_REWRITE_AFTER_MS = 200


def take_over(
    coordinator: state.Coordinator, table: tables.ShardTable | None, version: int
) -> None:
    """Start from a table that another coordinator wrote, if there is one."""
    if table is None:
        return
    _set_table(coordinator, table, version)
    if table.coordinator != coordinator.member_id:
        coordinator.predecessor = table.coordinator


def confirm(
    coordinator: state.Coordinator, revision: int, version: int, now_ms: int
) -> list[events.Action]:
    """Take over the table in flight, which the store has confirmed."""
    written = coordinator.in_flight
    if written is None or written.revision != revision:
        return []
    before = coordinator.table
    is_first = not coordinator.installed
    _set_table(coordinator, written, version)
    known = coordinator.transfers
    for move_id in known.writing:
        known.under_way.pop(move_id, None)
    known.writing = frozenset()
    coordinator.changed = True
    if before is None or written.term > before.term:
        coordinator.raises_term = False
    if is_first:
        coordinator.installed = True
        coordinator.installed_ms = now_ms
        coordinator.isolation_revision = revision
        state.excuse_silence(coordinator, now_ms)
    elif written.isolated != before.isolated:
        coordinator.isolation_revision = revision
    settlement.refresh_waits(
        coordinator.settling, written, coordinator.roster.ended, now_ms
    )
    return pushes.announce(coordinator, before, now_ms)


def resolve_conflict(
    coordinator: state.Coordinator,
    version: int,
    table: tables.ShardTable | None,
    now_ms: int,
) -> list[events.Action]:
    """Settle a write that found another table in the store, or its own."""
    written = coordinator.in_flight
    if written is None:
        return []
    if table == written:
        return confirm(coordinator, written.revision, version, now_ms)
    if version == coordinator.table_version:
        coordinator.rewrites = True
        coordinator.retry_at_ms = now_ms + _REWRITE_AFTER_MS
        return []
    if coordinator.installed or table is None or table.term >= written.term:
        return state.resign(coordinator, "another coordinator has written the table")
    coordinator.in_flight = None
    take_over(coordinator, table, version)
    return []


def record_not_written(
    coordinator: state.Coordinator, revision: int, now_ms: int
) -> list[events.Action]:
    """Settle a write that certainly had no effect."""
    written = coordinator.in_flight
    if written is None or written.revision != revision:
        return []
    coordinator.retry_at_ms = now_ms + _REWRITE_AFTER_MS
    if coordinator.outcome_unknown:
        coordinator.rewrites = True
        return []
    coordinator.in_flight = None
    coordinator.transfers.writing = frozenset()
    return []


def record_unknown(
    coordinator: state.Coordinator, revision: int
) -> list[events.Action]:
    """Note that the write in flight may have taken effect."""
    written = coordinator.in_flight
    if written is not None and written.revision == revision:
        coordinator.outcome_unknown = True
    return []


def rewrite(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Write the table in flight again, unchanged, if it is time."""
    if not coordinator.rewrites or now_ms < coordinator.retry_at_ms:
        return []
    coordinator.rewrites = False
    return [events.WriteTable(coordinator.in_flight, coordinator.table_version)]


def _set_table(
    coordinator: state.Coordinator, table: tables.ShardTable, version: int
) -> None:
    coordinator.table = table
    coordinator.table_version = version
    coordinator.in_flight = None
    coordinator.outcome_unknown = False
    coordinator.rewrites = False
    coordinator.has_unowned = tables.NO_OWNER in table.owners[: table.shard_count]
    coordinator.owned = {}
    for owner in table.owners:
        if owner != tables.NO_OWNER:
            coordinator.owned[owner] = coordinator.owned.get(owner, 0) + 1
