"""Pushes of new tables to the members affected; all others get them by gossip."""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import acknowledgements, events, state, votes


def push_confirmed(
    coordinator: state.Coordinator, before: tables.ShardTable | None, now_ms: int
) -> list[events.Action]:
    """Push the table just confirmed to the members affected by its changes.

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
    recipients = _list_recipients(coordinator, before, table)
    for member_id in recipients:
        coordinator.unacknowledged_pushes[member_id] = table.revision
    coordinator.push_due_ms = now_ms + coordinator.timing.renew_every_ms
    if not recipients:
        return []
    return [events.PushTable(table, tuple(recipients))]


def repeat_pushes(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Push the table again to members that have not acknowledged their changes."""
    if now_ms < coordinator.push_due_ms or coordinator.table is None:
        return []
    coordinator.push_due_ms = now_ms + coordinator.timing.renew_every_ms
    known = coordinator.acks.known_revision
    coordinator.unacknowledged_pushes = {
        member_id: revision
        for member_id, revision in coordinator.unacknowledged_pushes.items()
        if known.get(member_id, 0) < revision
        and member_id in coordinator.roster.members
    }
    awaited = acknowledgements.list_unacknowledged_voters(
        coordinator.acks, coordinator.table
    )
    waiting = sorted(
        {
            *awaited,
            *(
                m
                for m in coordinator.unacknowledged_pushes
                if state.is_responsive(coordinator, m, now_ms)
            ),
        }
        & coordinator.roster.members.keys()
    )
    if not waiting:
        return []
    return [events.PushTable(coordinator.table, tuple(waiting))]


def _list_recipients(
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
    recipients = dict.fromkeys(sorted(gaining) + sorted(losing - gaining))
    if (
        acknowledgements.list_awaited_revisions(table)
        or before.voters_revision != table.voters_revision
    ):
        recipients.update(dict.fromkeys(votes.list_voter_ids(table)))
    return [name for name in recipients if name in coordinator.roster.members]


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
