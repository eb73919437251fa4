"""Planning of moves: evacuations, overrides, cooled keys and load balancing."""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import (
    balance,
    events,
    liveness,
    loads,
    placement,
    state,
    transfer,
    writes,
)

PLAN_EVERY_MS = 2_000
_MINUTE_MS = 60_000
# Balancing moves are spread over the minute.
_CHUNKS_PER_MINUTE = 6


def plan_moves(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Request the release of shards that have to move.

    Balancing moves are planned only if no evacuation or override requires a move.

    Parameters
    ----------
    coordinator : Coordinator
        With a confirmed term and no write in flight.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    list of Action
    """
    coordinator.needs_planning = False
    if now_ms >= coordinator.plan_due_ms:
        coordinator.plan_due_ms = now_ms + PLAN_EVERY_MS
        _update_shard_weights(coordinator, now_ms)
    service = state.find_service(coordinator)
    if service is None:
        return []
    layout = state.make_layout(coordinator, coordinator.table, now_ms)
    required = _list_required_moves(coordinator, layout, now_ms)
    moves = required or _list_balancing_moves(coordinator, layout, now_ms)
    ready = [move for move in moves if _knows_isolated_keys(coordinator, move.source)]
    if len(ready) < len(moves):
        coordinator.needs_planning = True
    actions = transfer.request_releases(
        coordinator.transfers,
        coordinator.table,
        ready,
        service.longest_run_ms,
        now_ms,
        is_required=bool(required),
    )
    if not required:
        _record_balancing_moves(coordinator, actions, now_ms)
    return actions


def is_own_member_drained(coordinator: state.Coordinator, now_ms: int) -> bool:
    """Return whether the coordinator's own member leaves and owns no shards."""
    own = coordinator.roster.members.get(coordinator.member_id)
    load = coordinator.roster.loads.get(coordinator.member_id)
    if own is None or load is None or coordinator.member_id in coordinator.owned_counts:
        return False
    in_service = liveness.list_in_service(
        coordinator.roster, coordinator.configuration, now_ms, coordinator.timing
    )
    return bool(in_service) and own not in in_service


def _update_shard_weights(coordinator: state.Coordinator, now_ms: int) -> None:
    known = coordinator.roster.loads
    responsive = [m for m in known if state.is_responsive(coordinator, m, now_ms)]
    loads.update_rates(coordinator.shard_loads, [known[m] for m in responsive])
    coordinator.shard_weights = loads.compute_weights(
        coordinator.shard_loads, coordinator.table.shard_count
    )


def _list_required_moves(
    coordinator: state.Coordinator, layout: placement.Layout, now_ms: int
) -> list[placement.Move]:
    known = coordinator.roster
    alive = liveness.list_alive(known, now_ms, coordinator.timing)
    in_service = {
        member.member_id
        for member in liveness.list_in_service(
            known, coordinator.configuration, now_ms, coordinator.timing
        )
    }
    moves = placement.plan_evacuations(layout, [member.member_id for member in alive])
    moves = [
        move
        for move in moves
        if move.target != tables.NO_OWNER or move.source not in in_service
    ]
    return moves + placement.plan_overrides(placement.apply_moves(layout, moves))


def _list_balancing_moves(
    coordinator: state.Coordinator, layout: placement.Layout, now_ms: int
) -> list[placement.Move]:
    if coordinator.table.pending or coordinator.transfers.in_progress:
        return []
    coordinator.balancing_move_times_ms = [
        at_ms
        for at_ms in coordinator.balancing_move_times_ms
        if now_ms - at_ms < _MINUTE_MS
    ]
    limit = coordinator.configuration.moves_per_minute
    chunk = max(1, limit // _CHUNKS_PER_MINUTE)
    allowed = min(chunk, limit - len(coordinator.balancing_move_times_ms))
    cooled = writes.plan_isolation(coordinator, now_ms).moves[: max(0, allowed)]
    if cooled:
        return list(cooled)
    return balance.plan_balance(layout, allowed)


def _record_balancing_moves(
    coordinator: state.Coordinator, actions: list[events.Action], now_ms: int
) -> None:
    for action in actions:
        if isinstance(action, events.AskRelease):
            coordinator.balancing_move_times_ms += [now_ms] * len(action.prepare.shards)


def _knows_isolated_keys(coordinator: state.Coordinator, member_id: str) -> bool:
    known = coordinator.acks.known_revision.get(member_id, 0)
    return known >= coordinator.isolation_revision
