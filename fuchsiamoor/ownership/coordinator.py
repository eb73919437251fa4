"""A domain's coordinator: turns events into writes, pushes and planned moves.

The coordinator is a state machine without clock or I/O. Its driver holds the role in
the store, carries out the actions and reports their outcomes as events. At most one
write is in flight, and decisions use only tables that the store has confirmed.
"""

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import messages, settings, tables
from fuchsiamoor.ownership import (
    acknowledgements,
    events,
    liveness,
    outcomes,
    overrides,
    planning,
    pushes,
    state,
    transfer,
    writes,
)

Coordinator = state.Coordinator

# Time without a quorum of responsive voters after which the coordinator resigns.
MAX_QUORUM_LOSS_MS = 3_000


def make_coordinator(
    domain: str,
    member_id: str,
    timing: settings.Timing,
    table: tables.ShardTable | None,
    table_version: int,
    now_ms: int,
) -> Coordinator:
    """Return a coordinator that has just acquired the role in the store.

    Parameters
    ----------
    domain : str
    member_id : str
        Member on which the coordinator runs.
    timing : Timing
    table : ShardTable or None
        As read from the store after the role was acquired; None for a new domain.
    table_version : int
        The store's version of the table, `ABSENT` without one.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    Coordinator
        It refuses all renewals until its first write is confirmed.
    """
    coordinator = Coordinator(
        domain,
        member_id,
        timing,
        None,
        0,
        liveness.Roster(domain, silence_counted_from_ms=now_ms),
        now_ms,
    )
    outcomes.load_table(coordinator, table, table_version)
    return coordinator


def handle_event(
    coordinator: Coordinator, event: events.Event, now_ms: int
) -> list[events.Action]:
    """Update the state for one event and return the resulting actions.

    Parameters
    ----------
    coordinator : Coordinator
    event : Event
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    list of Action
        To be started in the given order.
    """
    if coordinator.resigned:
        return []
    _detect_pause(coordinator, now_ms)
    match event:
        case events.MembersChanged(members):
            liveness.update_members(coordinator.roster, members)
            coordinator.needs_planning = True
            actions = []
        case events.ConfigurationChanged(configuration):
            actions = _apply_configuration(coordinator, configuration)
        case events.RenewReceived(renew):
            if not _handle_renewal(coordinator, renew, now_ms):
                return []
            actions = []
        case events.StoreLeaseRenewed(sent_ms):
            coordinator.lease_sent_ms = max(sent_ms, coordinator.lease_sent_ms or 0)
            actions = []
        case events.StoreLeaseLost():
            return state.resign(coordinator, "its store lease has lapsed")
        case events.TableWritten(revision, version):
            actions = outcomes.confirm_write(coordinator, revision, version, now_ms)
        case events.TableConflict(version, table):
            actions = outcomes.handle_conflict(coordinator, version, table, now_ms)
        case events.TableNotWritten(revision):
            actions = outcomes.handle_not_written(coordinator, revision, now_ms)
        case events.TableOutcomeUnknown(revision):
            actions = outcomes.handle_unknown_outcome(coordinator, revision)
        case events.TableAckReceived(member_id, revision):
            acknowledgements.record_known_revision(
                coordinator.acks, member_id, revision
            )
            actions = []
        case events.ReleasedReceived(member_id, released):
            actions = _handle_released(coordinator, member_id, released, now_ms)
        case events.ReleaseFailed(member_id, move_id):
            actions = _handle_release_failed(coordinator, move_id, now_ms)
        case events.Tick():
            actions = []
    if coordinator.resigned:
        return actions
    return actions + _advance(coordinator, now_ms)


def answer_renew(
    coordinator: Coordinator, renew: messages.Renew, now_ms: int
) -> messages.Renewed | messages.RenewRefused:
    """Decide whether a member's lease is renewed, without changing any state.

    Parameters
    ----------
    coordinator : Coordinator
    renew : Renew
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    Renewed | RenewRefused
    """
    table = coordinator.table
    if table is None or coordinator.resigned or not coordinator.term_confirmed:
        return messages.RenewRefused(renew.domain, tables.NO_OWNER, 0)
    refusal = messages.RenewRefused(renew.domain, coordinator.member_id, table.revision)
    if not state.has_valid_store_lease(coordinator, now_ms) or not _may_renew(
        coordinator, renew
    ):
        return refusal
    return messages.Renewed(
        renew.domain,
        table.term,
        table.revision,
        coordinator.configuration.revision,
    )


def _may_renew(coordinator: Coordinator, renew: messages.Renew) -> bool:
    """Return whether a member is listed and has the tables that its lease requires.

    These are the table that set the voters, and every table that reassigned shards from
    it without a release, including one whose write is in flight.
    """
    if renew.domain != coordinator.domain:
        return False
    if renew.member_id not in coordinator.roster.members:
        return False
    if coordinator.in_flight and _has_unseen_loss(coordinator.in_flight, renew):
        return False
    if renew.revision < coordinator.table.voters_revision:
        return False
    return not _has_unseen_loss(coordinator.table, renew)


def _has_unseen_loss(table: tables.ShardTable, renew: messages.Renew) -> bool:
    """Return whether the member lost shards in a revision that it does not have."""
    return table.lost.get(renew.member_id, 0) > renew.revision


def _detect_pause(coordinator: Coordinator, now_ms: int) -> None:
    """Restart the silence timers if this process was paused.

    Renewals may have been missed during the pause.
    """
    if now_ms - coordinator.last_event_ms > coordinator.timing.renew_every_ms:
        state.restart_silence_timers(coordinator, now_ms)
    coordinator.last_event_ms = now_ms


def _apply_configuration(
    coordinator: Coordinator, configuration: configurations.Configuration
) -> list[events.Action]:
    if configuration.revision >= coordinator.configuration.revision:
        coordinator.configuration = configuration
        coordinator.holds = overrides.resolve_holds(configuration, coordinator.domain)
        coordinator.needs_planning = True
    return []


def _handle_renewal(
    coordinator: Coordinator, renew: messages.Renew, now_ms: int
) -> bool:
    """Record a member's revision and renewal; return whether anything changed."""
    if coordinator.table is None or renew.domain != coordinator.domain:
        return False
    has_changed = acknowledgements.record_known_revision(
        coordinator.acks, renew.member_id, renew.revision
    )
    if not _may_renew(coordinator, renew):
        return has_changed
    if liveness.record_renewal(coordinator.roster, renew, now_ms):
        coordinator.needs_planning = True
        has_changed = True
    return has_changed


def _handle_released(
    coordinator: Coordinator,
    member_id: str,
    released: messages.Released,
    now_ms: int,
) -> list[events.Action]:
    """Record a release, or abort a move that is no longer in progress.

    After an abort, the owner may keep serving the shards.
    """
    table = coordinator.table
    if table is None or released.term != table.term:
        return []
    known = coordinator.transfers
    if transfer.record_released(known, table, member_id, released):
        return []
    if released.move_id in known.in_progress or coordinator.in_flight is not None:
        return []
    if not _owns_settled_shards(table, member_id, released.shards):
        return []
    abort = messages.AbortMove(released.domain, released.term, released.move_id)
    return [events.SendAbort(member_id, abort)]


def _owns_settled_shards(
    table: tables.ShardTable, member_id: str, shards: tuple[int, ...]
) -> bool:
    return all(
        tables.shard_state(table, shard) == tables.ShardState.OWNED
        and table.owners[shard] == member_id
        for shard in shards
    )


def _handle_release_failed(
    coordinator: Coordinator, move_id: int, now_ms: int
) -> list[events.Action]:
    actions = transfer.abort_move(
        coordinator.transfers, coordinator.table, move_id, now_ms
    )
    _prepare_for_retry(coordinator, actions, now_ms)
    return actions


def _advance(coordinator: Coordinator, now_ms: int) -> list[events.Action]:
    if not state.has_valid_store_lease(coordinator, now_ms):
        return _give_up_moves(coordinator, now_ms)
    if coordinator.table is not None:
        acknowledgements.update_acknowledged(
            coordinator.acks,
            coordinator.table,
            coordinator.roster.ended,
            now_ms,
        )
    actions = _expire_moves(coordinator, now_ms)
    if coordinator.in_flight is not None:
        return (
            actions
            + outcomes.retry_write(coordinator, now_ms)
            + pushes.repeat_pushes(coordinator, now_ms)
        )
    is_planning = now_ms >= coordinator.plan_due_ms or coordinator.needs_planning
    if now_ms >= coordinator.retry_at_ms:
        table = writes.compose_write(coordinator, now_ms, is_planning)
        if table is not None:
            coordinator.in_flight = table
            actions.append(events.WriteTable(table, coordinator.table_version))
    if coordinator.in_flight is None and is_planning and coordinator.term_confirmed:
        actions += planning.plan_moves(coordinator, now_ms)
    actions += pushes.repeat_pushes(coordinator, now_ms)
    return actions + _resign_if_needed(coordinator, now_ms)


def _expire_moves(coordinator: Coordinator, now_ms: int) -> list[events.Action]:
    """Abort moves that their owners have not answered in time; requires a new term."""
    if not coordinator.transfers.in_progress:
        return []
    actions = transfer.abort_overdue_moves(
        coordinator.transfers, coordinator.table, now_ms
    )
    _prepare_for_retry(coordinator, actions, now_ms)
    return actions


def _prepare_for_retry(
    coordinator: Coordinator, aborts: list[events.Action], now_ms: int
) -> None:
    """Raise the term after aborted moves, and plan again when owners may be asked."""
    if not aborts:
        return
    coordinator.needs_new_term = True
    retry_ms = now_ms + transfer.REQUIRED_RETRY_AFTER_MS
    coordinator.plan_due_ms = min(coordinator.plan_due_ms, retry_ms)


def _give_up_moves(coordinator: Coordinator, now_ms: int) -> list[events.Action]:
    """Abort the moves that cannot be written without a store lease.

    Their shards would be served by nobody until the store is back.
    """
    if not coordinator.transfers.in_progress:
        return []
    actions = transfer.abort_unwritten_moves(
        coordinator.transfers, coordinator.table, now_ms
    )
    _prepare_for_retry(coordinator, actions, now_ms)
    return actions


def _resign_if_needed(coordinator: Coordinator, now_ms: int) -> list[events.Action]:
    if coordinator.in_flight is not None or not coordinator.term_confirmed:
        return []
    others = coordinator.roster.members.keys() - {coordinator.member_id}
    if not others:
        return []
    if state.has_quorum(coordinator, now_ms):
        coordinator.quorum_lost_since_ms = None
    elif coordinator.quorum_lost_since_ms is None:
        coordinator.quorum_lost_since_ms = now_ms
    elif now_ms - coordinator.quorum_lost_since_ms > MAX_QUORUM_LOSS_MS:
        return state.resign(coordinator, "it reaches less than half of the votes", True)
    if planning.is_own_member_drained(coordinator, now_ms):
        return state.resign(coordinator, "its member leaves", True)
    return []
