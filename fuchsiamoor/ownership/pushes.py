"""Who is told of a new table at once; everyone else learns it by gossip."""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import events, settlement, state, votes


def announce(
    coordinator: state.Coordinator, before: tables.ShardTable | None, now_ms: int
) -> list[events.Action]:
    """Push the table just confirmed to whom it concerns.

    Parameters
    ----------
    coordinator : Coordinator
    before : ShardTable or None
        The table that it replaced.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    list of Action
    """
    table = coordinator.table
    concerned = _list_concerned(coordinator, before, table)
    for member_id in concerned:
        coordinator.push_to[member_id] = table.revision
    coordinator.push_due_ms = now_ms + coordinator.timing.renew_every_ms
    if not concerned:
        return []
    return [events.PushTable(table, tuple(concerned))]


def repeat(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Push the table again to those that have not acknowledged what concerns them."""
    if now_ms < coordinator.push_due_ms or coordinator.table is None:
        return []
    coordinator.push_due_ms = now_ms + coordinator.timing.renew_every_ms
    known = coordinator.settling.known_revision
    coordinator.push_to = {
        member_id: revision
        for member_id, revision in coordinator.push_to.items()
        if known.get(member_id, 0) < revision
        and member_id in coordinator.roster.members
    }
    awaited = settlement.list_unacknowledged(coordinator.settling, coordinator.table)
    waiting = sorted(
        {
            *awaited,
            *(
                m
                for m in coordinator.push_to
                if state.is_reached(coordinator, m, now_ms)
            ),
        }
        & coordinator.roster.members.keys()
    )
    if not waiting:
        return []
    return [events.PushTable(coordinator.table, tuple(waiting))]


def _list_concerned(
    coordinator: state.Coordinator,
    before: tables.ShardTable | None,
    table: tables.ShardTable,
) -> list[str]:
    if before is None or (before.term, before.voters_revision) != (
        table.term,
        table.voters_revision,
    ):
        return sorted(coordinator.roster.members)
    gaining, losing = _list_changed_owners(before, table)
    concerned = dict.fromkeys(sorted(gaining) + sorted(losing - gaining))
    if (
        settlement.list_awaited(table)
        or before.voters_revision != table.voters_revision
    ):
        concerned.update(dict.fromkeys(votes.list_voter_ids(table)))
    return [name for name in concerned if name in coordinator.roster.members]


def _list_changed_owners(
    before: tables.ShardTable, table: tables.ShardTable
) -> tuple[set[str], set[str]]:
    gaining, losing = set(), set()
    for shard, epoch in enumerate(table.epochs):
        is_old = shard < len(before.epochs)
        if is_old and before.epochs[shard] == epoch:
            if shard in before.pending and shard not in table.pending:
                gaining.add(table.owners[shard])
            continue
        gaining.add(table.owners[shard])
        if is_old:
            losing.add(before.owners[shard])
    return gaining, losing
