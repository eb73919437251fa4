"""Composes the next revision of a table from all pending changes."""

from fuchsiamoor.core import members, tables
from fuchsiamoor.ownership import (
    acknowledgements,
    drafts,
    isolation,
    liveness,
    placement,
    state,
    transfer,
    votes,
)

# Time for members to renew before the first assignment of a domain's shards.
FIRST_ASSIGNMENT_DELAY_MS = 1_000
# Above this number, a change to the same voters is started, which removes old losses.
_MAX_REMEMBERED_LOSSES = 64


def compose_write(
    coordinator: state.Coordinator, now_ms: int, is_planning: bool
) -> tables.ShardTable | None:
    """Return the next revision, None if no change is due.

    Parameters
    ----------
    coordinator : Coordinator
        With no write in flight.
    now_ms : int
        Monotonic time, in milliseconds.
    is_planning : bool
        Whether deferrable changes are included: isolated keys and added voters.

    Returns
    -------
    ShardTable or None
    """
    base = _find_base(coordinator)
    if base is None:
        return None
    draft = drafts.make_draft(base, coordinator.member_id)
    coordinator.transfers.move_ids_in_write = frozenset()
    if not coordinator.term_confirmed:
        drafts.raise_term(draft)
        return drafts.finish_draft(draft)
    if not _needs_write(coordinator, base, now_ms, is_planning):
        return None
    has_reassigned = _reassign_lost_shards(coordinator, draft, now_ms)
    _clear_expired_pending(coordinator, draft, now_ms)
    _place_unowned(coordinator, draft, now_ms)
    _assign_released(coordinator, draft, now_ms)
    if is_planning:
        _isolate_keys(coordinator, draft, now_ms)
    if is_planning or has_reassigned or base.previous_voters or not base.voters:
        _update_voters(coordinator, draft, now_ms)
    if coordinator.needs_new_term:
        drafts.raise_term(draft)
        _cancel_moves(coordinator)
    return drafts.finish_draft(draft) if drafts.is_changed(draft) else None


def _find_base(coordinator: state.Coordinator) -> tables.ShardTable | None:
    if coordinator.table is not None:
        return coordinator.table
    service = state.find_service(coordinator)
    if service is None:
        return None
    return tables.make_empty_table(coordinator.domain, service.shard_count)


def _needs_write(
    coordinator: state.Coordinator,
    base: tables.ShardTable,
    now_ms: int,
    is_planning: bool,
) -> bool:
    return (
        is_planning
        or coordinator.needs_new_term
        or (coordinator.has_unowned and not _awaits_first_members(coordinator, now_ms))
        or bool(acknowledgements.list_awaited_revisions(base))
        or bool(transfer.list_released(coordinator.transfers))
        or bool(state.list_lost_owners(coordinator, now_ms))
    )


def _reassign_lost_shards(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> bool:
    lost = state.list_lost_owners(coordinator, now_ms)
    if not lost or not state.has_quorum(coordinator, now_ms):
        return False
    layout = _make_layout_without(coordinator, draft, lost, now_ms)
    if not layout.targets:
        return False
    successors = {
        member_id: coordinator.roster.member_by_instance.get(
            members.instance_of(member_id), ""
        )
        for member_id in lost
    }
    transfer.drop_moves_from(coordinator.transfers, lost)
    for move in placement.plan_losses(layout, lost, successors):
        drafts.reassign_unreleased_shard(draft, move.shard, move.target)
    return True


def _make_layout_without(
    coordinator: state.Coordinator, draft: drafts.Draft, lost: list[str], now_ms: int
) -> placement.Layout:
    layout = state.make_layout(coordinator, draft, now_ms)
    return layout._replace(
        targets=tuple(t for t in layout.targets if t.member_id not in lost)
    )


def _clear_expired_pending(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    service = state.find_service(coordinator)
    if service is None:
        return
    for shard, entry in draft.base.pending.items():
        checks_grants = coordinator.roster.checks_grants.get(entry.previous_owner)
        run_ms = 0 if checks_grants else service.longest_run_ms
        if acknowledgements.have_old_leases_expired(
            coordinator.acks, entry.revision, run_ms, now_ms, coordinator.timing
        ):
            drafts.clear_pending(draft, shard)


def _place_unowned(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    in_use = [*range(draft.base.shard_count), *draft.isolated.values()]
    unowned = [shard for shard in in_use if draft.owners[shard] == tables.NO_OWNER]
    if not unowned:
        return
    if _awaits_first_members(coordinator, now_ms):
        return
    layout = state.make_layout(coordinator, draft, now_ms)
    if not layout.targets:
        return
    for move in placement.place_shards(layout, unowned):
        drafts.assign_shard(draft, move.shard, move.target)


def _awaits_first_members(coordinator: state.Coordinator, now_ms: int) -> bool:
    waited_ms = now_ms - coordinator.term_confirmed_ms
    return not coordinator.owned_counts and waited_ms < FIRST_ASSIGNMENT_DELAY_MS


def _assign_released(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    released = transfer.list_released(coordinator.transfers)
    if not released:
        return
    layout = state.make_layout(coordinator, draft, now_ms)
    usable = {target.member_id for target in layout.targets} | {tables.NO_OWNER}
    for moving in released:
        unplaced = []
        for shard, target in moving.targets.items():
            if target in usable:
                drafts.assign_shard(draft, shard, target)
            else:
                unplaced.append(shard)
        layout = layout._replace(owners=draft.owners)
        for move in placement.place_shards(layout, unplaced):
            drafts.assign_shard(draft, move.shard, move.target)
    coordinator.transfers.move_ids_in_write = frozenset(t.move_id for t in released)


def _isolate_keys(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    plan = plan_isolation(coordinator, now_ms)
    moving = transfer.list_moving_shards(coordinator.transfers)
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
    """Decide which keys of the confirmed table to isolate and which to merge back."""
    loads = {
        member_id: load
        for member_id, load in coordinator.roster.loads.items()
        if state.is_responsive(coordinator, member_id, now_ms)
    }
    return isolation.plan_isolation(
        coordinator.table,
        loads,
        coordinator.holds.keys,
        coordinator.cooling_keys,
        now_ms,
    )


def _is_unchanged(draft: drafts.Draft, shards: set[int]) -> bool:
    return all(draft.epochs[shard] == draft.base.epochs[shard] for shard in shards)


def _update_voters(
    coordinator: state.Coordinator, draft: drafts.Draft, now_ms: int
) -> None:
    base = draft.base
    if _awaits_first_members(coordinator, now_ms):
        return
    if base.previous_voters and acknowledgements.have_old_leases_expired(
        coordinator.acks, base.voters_revision, 0, now_ms, coordinator.timing
    ):
        drafts.finish_voter_change(draft)
        return
    if base.previous_voters and _is_half_responsive(coordinator, base.voters, now_ms):
        return
    wanted = votes.choose_voters(_list_candidates(coordinator, now_ms), base.voters)
    if wanted and wanted != base.voters:
        drafts.begin_voter_change(draft, wanted)
    elif len(base.lost) > _MAX_REMEMBERED_LOSSES and not base.previous_voters:
        drafts.begin_voter_change(draft, base.voters)


def _is_half_responsive(coordinator, voters, now_ms: int) -> bool:
    return votes.is_at_least_half(
        voters, lambda voter_id: state.is_responsive(coordinator, voter_id, now_ms)
    )


def _list_candidates(coordinator: state.Coordinator, now_ms: int) -> list:
    known = coordinator.roster
    in_service = liveness.list_in_service(
        known, coordinator.configuration, now_ms, coordinator.timing
    )
    present = {voter.member_id for voter in coordinator.table.voters}
    not_yet_heard = [
        member
        for member_id, member in known.members.items()
        if member_id in present
        and member_id not in known.last_heard_ms
        and not liveness.is_silent(known, member_id, now_ms, coordinator.timing)
    ]
    return in_service + not_yet_heard


def _cancel_moves(coordinator: state.Coordinator) -> None:
    known = coordinator.transfers
    known.in_progress = {
        move_id: moving
        for move_id, moving in known.in_progress.items()
        if move_id in known.move_ids_in_write
    }
