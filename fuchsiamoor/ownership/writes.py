"""Composes the next revision of a table from all that calls for a change."""

from fuchsiamoor.core import members, tables
from fuchsiamoor.ownership import (
    drafts,
    isolation,
    liveness,
    placement,
    settlement,
    state,
    transfer,
    votes,
)

FIRST_WAIT_MS = 1_000
_MAX_REMEMBERED_LOSSES = 64


def compose_write(
    coordinator: state.Coordinator, now_ms: int, is_planning: bool
) -> tables.ShardTable | None:
    """Return the next revision, None if nothing has to change.

    Parameters
    ----------
    coordinator : Coordinator
        With no write in flight.
    now_ms : int
        Monotonic time, in milliseconds.
    is_planning : bool
        Whether changes that can wait are due: isolated keys and more voters.

    Returns
    -------
    ShardTable or None
    """
    base = _find_base(coordinator)
    if base is None:
        return None
    draft = drafts.make_draft(base, coordinator.member_id)
    coordinator.transfers.writing = frozenset()
    if not coordinator.installed:
        drafts.raise_term(draft)
        return drafts.finish_draft(draft)
    if not _has_work(coordinator, base, now_ms, is_planning):
        return None
    is_taking = _take_losses(coordinator, draft, now_ms)
    _clear_settled(coordinator, draft, now_ms)
    _place_unowned(coordinator, draft, now_ms)
    _write_released(coordinator, draft, now_ms)
    if is_planning:
        _isolate_keys(coordinator, draft, now_ms)
    if is_planning or is_taking or base.previous_voters or not base.voters:
        _update_voters(coordinator, draft, now_ms)
    if coordinator.raises_term:
        drafts.raise_term(draft)
        _end_moves(coordinator)
    return drafts.finish_draft(draft) if drafts.is_changed(draft) else None


def _find_base(coordinator: state.Coordinator) -> tables.ShardTable | None:
    if coordinator.table is not None:
        return coordinator.table
    service = state.find_service(coordinator)
    if service is None:
        return None
    return tables.make_empty_table(coordinator.domain, service.shard_count)


def _has_work(
    coordinator: state.Coordinator,
    base: tables.ShardTable,
    now_ms: int,
    is_planning: bool,
) -> bool:
    return (
        is_planning
        or coordinator.raises_term
        or (coordinator.has_unowned and not _is_gathering(coordinator, now_ms))
        or bool(settlement.list_awaited(base))
        or bool(transfer.list_released(coordinator.transfers))
        or bool(state.list_lost(coordinator, now_ms))
    )


def _take_losses(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> bool:
    lost = state.list_lost(coordinator, now_ms)
    if not lost or not state.has_quorum(coordinator, now_ms):
        return False
    layout = _make_layout_without(coordinator, draft, lost, now_ms)
    if not layout.targets:
        return False
    heirs = {
        member_id: coordinator.roster.holders.get(members.instance_of(member_id), "")
        for member_id in lost
    }
    transfer.drop_sources(coordinator.transfers, lost)
    for move in placement.plan_losses(layout, lost, heirs):
        drafts.take_shard(draft, move.shard, move.target)
    return True


def _make_layout_without(
    coordinator: state.Coordinator, draft: drafts.Draft, lost: list[str], now_ms: int
) -> placement.Layout:
    layout = state.make_layout(coordinator, draft, now_ms)
    return layout._replace(
        targets=tuple(t for t in layout.targets if t.member_id not in lost)
    )


def _clear_settled(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    service = state.find_service(coordinator)
    if service is None:
        return
    for shard, entry in draft.base.pending.items():
        checks_grants = coordinator.roster.checks_grants.get(entry.previous_owner)
        run_ms = 0 if checks_grants else service.longest_run_ms
        if settlement.is_settled(
            coordinator.settling, entry.revision, run_ms, now_ms, coordinator.timing
        ):
            drafts.clear_pending(draft, shard)


def _place_unowned(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    in_use = [*range(draft.base.shard_count), *draft.isolated.values()]
    unowned = [shard for shard in in_use if draft.owners[shard] == tables.NO_OWNER]
    if not unowned:
        return
    if _is_gathering(coordinator, now_ms):
        return
    layout = state.make_layout(coordinator, draft, now_ms)
    if not layout.targets:
        return
    for move in placement.place_shards(layout, unowned):
        drafts.assign_shard(draft, move.shard, move.target)


def _is_gathering(coordinator: state.Coordinator, now_ms: int) -> bool:
    waited_ms = now_ms - coordinator.installed_ms
    return not coordinator.owned and waited_ms < FIRST_WAIT_MS


def _write_released(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    released = transfer.list_released(coordinator.transfers)
    if not released:
        return
    layout = state.make_layout(coordinator, draft, now_ms)
    usable = {target.member_id for target in layout.targets} | {tables.NO_OWNER}
    for moving in released:
        stale = []
        for shard, target in moving.targets.items():
            if target in usable:
                drafts.assign_shard(draft, shard, target)
            else:
                stale.append(shard)
        layout = layout._replace(owners=draft.owners)
        for move in placement.place_shards(layout, stale):
            drafts.assign_shard(draft, move.shard, move.target)
    coordinator.transfers.writing = frozenset(t.move_id for t in released)


def _isolate_keys(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    plan = plan_isolation(coordinator, now_ms)
    moving = transfer.list_moving(coordinator.transfers)
    for key_hash in plan.merge:
        shards = {draft.isolated[key_hash], key_hash % draft.base.shard_count}
        if not shards & moving and _is_unchanged(draft, shards):
            drafts.merge_key(draft, key_hash)
    for key_hash in plan.isolate:
        shards = {key_hash % draft.base.shard_count}
        if not shards & moving and _is_unchanged(draft, shards):
            drafts.isolate_key(draft, key_hash)


def plan_isolation(
    coordinator: state.Coordinator, now_ms: int
) -> isolation.IsolationPlan:
    """Decide which keys are isolated and which go back, on the confirmed table."""
    loads = {
        member_id: load
        for member_id, load in coordinator.roster.loads.items()
        if state.is_reached(coordinator, member_id, now_ms)
    }
    return isolation.plan_isolation(
        coordinator.table, loads, coordinator.holds.keys, coordinator.hot_keys, now_ms
    )


def _is_unchanged(draft: drafts.Draft, shards: set[int]) -> bool:
    return all(draft.epochs[shard] == draft.base.epochs[shard] for shard in shards)


def _update_voters(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    base = draft.base
    if _is_gathering(coordinator, now_ms):
        return
    if base.previous_voters and settlement.is_settled(
        coordinator.settling, base.voters_revision, 0, now_ms, coordinator.timing
    ):
        drafts.settle_voters(draft)
        return
    if base.previous_voters and _is_half_reached(coordinator, base.voters, now_ms):
        return
    wanted = votes.choose_voters(_list_candidates(coordinator, now_ms), base.voters)
    if wanted and wanted != base.voters:
        drafts.change_voters(draft, wanted)
    elif len(base.lost) > _MAX_REMEMBERED_LOSSES and not base.previous_voters:
        drafts.change_voters(draft, base.voters)


def _is_half_reached(coordinator, voters, now_ms: int) -> bool:
    return votes.is_at_least_half(
        voters, lambda voter_id: state.is_reached(coordinator, voter_id, now_ms)
    )


def _list_candidates(coordinator: state.Coordinator, now_ms: int) -> list:
    known = coordinator.roster
    staying = liveness.list_staying(
        known, coordinator.configuration, now_ms, coordinator.timing
    )
    present = {voter.member_id for voter in coordinator.table.voters}
    unheard = [
        member
        for member_id, member in known.members.items()
        if member_id in present
        and member_id not in known.last_heard_ms
        and not liveness.is_silent(known, member_id, now_ms, coordinator.timing)
    ]
    return staying + unheard


def _end_moves(coordinator: state.Coordinator) -> None:
    known = coordinator.transfers
    known.under_way = {
        move_id: moving
        for move_id, moving in known.under_way.items()
        if move_id in known.writing
    }
