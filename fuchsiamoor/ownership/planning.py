"""Planned moves that a table calls for: evacuations, holds, cooled keys, balance."""

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
_BALANCE_CHUNKS = 6


def plan_moves(coordinator: state.Coordinator, now_ms: int) -> list[events.Action]:
    """Ask owners to release what has to move, most pressing first.

    Parameters
    ----------
    coordinator : Coordinator
        Installed, with no write in flight.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    list of Action
    """
    coordinator.changed = False
    if now_ms >= coordinator.plan_due_ms:
        coordinator.plan_due_ms = now_ms + PLAN_EVERY_MS
        _weigh_shards(coordinator, now_ms)
    service = state.find_service(coordinator)
    if service is None:
        return []
    layout = state.make_layout(coordinator, coordinator.table, now_ms)
    needed = _list_needed(coordinator, layout, now_ms)
    moves = needed or _list_balancing(coordinator, layout, now_ms)
    ready = [move for move in moves if _is_informed(coordinator, move.source)]
    if len(ready) < len(moves):
        coordinator.changed = True
    actions = transfer.begin(
        coordinator.transfers,
        coordinator.table,
        ready,
        service.longest_run_ms,
        now_ms,
    )
    if not needed:
        _count_balancing(coordinator, actions, now_ms)
    return actions


def is_done_here(coordinator: state.Coordinator, now_ms: int) -> bool:
    """Return whether the coordinator's own member leaves and owns nothing more."""
    own = coordinator.roster.members.get(coordinator.member_id)
    load = coordinator.roster.loads.get(coordinator.member_id)
    if own is None or load is None or coordinator.member_id in coordinator.owned:
        return False
    staying = liveness.list_staying(
        coordinator.roster, coordinator.configuration, now_ms, coordinator.timing
    )
    return bool(staying) and own not in staying


def _weigh_shards(coordinator: state.Coordinator, now_ms: int) -> None:
    known = coordinator.roster.loads
    reached = [m for m in known if state.is_reached(coordinator, m, now_ms)]
    loads.update_rates(coordinator.shard_loads, [known[m] for m in reached])
    coordinator.shard_weights = loads.compute_weights(
        coordinator.shard_loads, coordinator.table.shard_count
    )


def _list_needed(
    coordinator: state.Coordinator, layout: placement.Layout, now_ms: int
) -> list[placement.Move]:
    known = coordinator.roster
    alive = liveness.list_alive(known, now_ms, coordinator.timing)
    staying = {
        member.member_id
        for member in liveness.list_staying(
            known, coordinator.configuration, now_ms, coordinator.timing
        )
    }
    moves = placement.plan_evacuations(layout, [member.member_id for member in alive])
    moves = [
        move
        for move in moves
        if move.target != tables.NO_OWNER or move.source not in staying
    ]
    return moves + placement.plan_overrides(placement.apply_moves(layout, moves))


def _list_balancing(
    coordinator: state.Coordinator, layout: placement.Layout, now_ms: int
) -> list[placement.Move]:
    if coordinator.table.pending or coordinator.transfers.under_way:
        return []
    coordinator.balanced_ms = [
        at_ms for at_ms in coordinator.balanced_ms if now_ms - at_ms < _MINUTE_MS
    ]
    limit = coordinator.configuration.moves_per_minute
    chunk = max(1, limit // _BALANCE_CHUNKS)
    room = min(chunk, limit - len(coordinator.balanced_ms))
    cooled = writes.plan_isolation(coordinator, now_ms).moves[: max(0, room)]
    if cooled:
        return list(cooled)
    return balance.plan_balance(layout, room)


def _count_balancing(
    coordinator: state.Coordinator, actions: list[events.Action], now_ms: int
) -> None:
    for action in actions:
        if isinstance(action, events.AskRelease):
            coordinator.balanced_ms += [now_ms] * len(action.prepare.shards)


def _is_informed(coordinator: state.Coordinator, member_id: str) -> bool:
    known = coordinator.settling.known_revision.get(member_id, 0)
    return known >= coordinator.isolation_revision
