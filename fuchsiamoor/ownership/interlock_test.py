"""No two members serve a shard at one time under faults, and each rule is needed.

`fuchsiamoor.testing.ownership_simulation` simulates a domain and checks for overlap at
every step. The second half of the tests disables one rule at a time; a schedule run
with fixed seeds then has to detect an overlap.
"""

from typing import NamedTuple

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from fuchsiamoor.core import messages
from fuchsiamoor.ownership import (
    acknowledgements,
    drafts,
    lease_holder,
    liveness,
    outcomes,
    state,
    transfer,
    voter,
    votes,
)
from fuchsiamoor.testing import ownership_faults as faults
from fuchsiamoor.testing import ownership_simulation as simulation

SIZE = 5
SEEDS = 12
FAULTS_UNTIL_MS = 6_000
CHECKED_UNTIL_MS = 9_000
RECOVERY_MS = 16_000

SLOTS = st.integers(0, SIZE - 1)
SLOT_SETS = st.frozensets(SLOTS, min_size=1)
DURATIONS_MS = st.sampled_from((300, 700, 1_200, 2_500, 4_000))
RESTARTS_MS = st.sampled_from((0, 300, 2_000, 5_000))
FAULTS = st.one_of(
    st.builds(faults.Kill, SLOT_SETS, RESTARTS_MS),
    st.builds(faults.DuplicateInstance, SLOTS, SLOTS),
    st.builds(faults.Pause, SLOT_SETS, DURATIONS_MS),
    st.builds(faults.Cut, SLOT_SETS, st.booleans(), DURATIONS_MS),
    st.builds(faults.StoreDown, DURATIONS_MS),
    st.builds(faults.StoreAnswersLost, DURATIONS_MS),
    st.builds(faults.UnreliableLinks, DURATIONS_MS),
    st.builds(faults.Leave, SLOTS, DURATIONS_MS),
    st.builds(faults.TakeOut, st.sampled_from(faults.DATA_CENTRES[:4]), DURATIONS_MS),
    st.builds(faults.Hold, SLOTS, DURATIONS_MS),
    st.builds(faults.HotKey, st.integers(0, (1 << 64) - 1), DURATIONS_MS),
)
SCHEDULES = st.lists(
    st.tuples(st.integers(0, FAULTS_UNTIL_MS), FAULTS), min_size=1, max_size=6
)


@settings(max_examples=settings.default.max_examples // 3)
@given(SCHEDULES, st.integers(0, 1 << 32), st.booleans())
def test_no_shard_is_served_twice_and_no_assignment_is_lost(
    schedule, seed, checks_grants
):
    world = simulation.make_world(seed, SIZE, checks_grants)
    simulation.run_schedule(world, schedule, CHECKED_UNTIL_MS)


@settings(max_examples=max(3, settings.default.max_examples // 12))
@given(SCHEDULES, st.integers(0, 1 << 32), st.booleans())
def test_every_shard_is_served_again_after_the_faults_end(
    schedule, seed, checks_grants
):
    # If a voter ends while another daemon claims its instance, nothing proves that it
    # has ended, so the domain may not recover.
    kinds = {type(fault) for _, fault in schedule}
    assume(not {faults.DuplicateInstance, faults.Kill} <= kinds)
    world = simulation.make_world(seed, SIZE, checks_grants)
    simulation.run_schedule(world, schedule, FAULTS_UNTIL_MS + RECOVERY_MS)
    assert_every_shard_served_once(world)


def test_a_domain_recovers_when_its_only_voter_is_superseded():
    world = simulation.make_world(1, 3)
    everyone = faults.Kill(frozenset({0, 1, 2}), 5_000)
    schedule = [(600, everyone), (1_000, faults.DuplicateInstance(2, 1))]
    simulation.run_schedule(world, schedule, 20_000)
    assert_every_shard_served_once(world)


def assert_every_shard_served_once(world: simulation.World) -> None:
    served = simulation.list_served(world)
    in_use = [*range(world.stored.shard_count), *world.stored.isolated.values()]
    assert {shard: len(served[shard]) for shard in in_use} == dict.fromkeys(in_use, 1)


class Case(NamedTuple):
    """Positions of the simulated members: coordinator, and all others in order."""

    coordinator: int
    others: tuple[int, ...]


def cut_owner_from_coordinator(case: Case) -> faults.Schedule:
    owner, coordinator = frozenset(case.others[:1]), frozenset({case.coordinator})
    return [(3_000, faults.Cut(owner, False, 5_000, coordinator))]


def cut_owner_off_step_by_step(case: Case) -> faults.Schedule:
    alone = faults.Cut(frozenset(case.others[:1]), False, 5_000)
    return [*cut_owner_from_coordinator(case), (3_600, alone)]


def cut_owner_whose_answers_are_late(case: Case) -> faults.Schedule:
    alone = faults.Cut(frozenset(case.others[:1]), False, 5_000)
    return [(2_500, faults.SlowLinks(case.others[0], 2_000, 6_000)), (4_500, alone)]


def cut_coordinator_from_all(case: Case) -> faults.Schedule:
    cut = frozenset({case.coordinator})
    return [(3_000, faults.Cut(cut, False, 5_000))]


def split_in_halves(case: Case) -> faults.Schedule:
    return [(3_000, faults.Cut(frozenset(case.others[:2]), False, 5_000))]


def cut_coordinator_and_owner(case: Case) -> faults.Schedule:
    cut = frozenset({case.coordinator, case.others[0]})
    return [(3_000, faults.Cut(cut, True, 5_000))]


def cut_owner_while_voters_change(case: Case) -> faults.Schedule:
    owner = frozenset(case.others[-1:])
    return [
        (2_800, faults.Leave(case.others[1], 8_000)),
        (3_150, faults.Cut(owner, False, 2_000)),
        (3_150, faults.Cut(owner, False, 6_000, frozenset({case.coordinator}))),
    ]


def leave_in_turn(case: Case) -> faults.Schedule:
    return [
        (at_ms + 20 * position, faults.Leave(member, 700))
        for at_ms in (3_000, 4_500, 6_000)
        for position, member in enumerate(case.others)
    ]


def lose_answers_while_owners_leave(case: Case) -> faults.Schedule:
    return [
        (3_000, faults.Leave(case.others[0], 4_000)),
        (3_020, faults.Leave(case.others[1], 4_000)),
        (3_200, faults.StoreAnswersLost(600)),
    ]


def cut_voters_whose_instances_are_claimed(case: Case) -> faults.Schedule:
    apart = frozenset(case.others)
    return [
        (3_000, faults.Cut(apart, False, 5_000, frozenset({case.coordinator}))),
        (3_050, faults.DuplicateInstance(case.others[1], case.coordinator)),
        (3_100, faults.DuplicateInstance(case.others[2], case.coordinator)),
    ]


def run_case(
    seed: int, make_schedule, checks_grants: bool, size: int = 4, **fields
) -> None:
    world = simulation.make_world(seed, size, checks_grants)
    for name, value in fields.items():
        setattr(world, name, value)
    simulation.run_schedule(world, [], 2_500)
    coordinator = simulation.find_coordinator(world)
    others = tuple(other for other in range(size) if other != coordinator)
    schedule = make_schedule(Case(coordinator, others))
    simulation.run_schedule(world, schedule, CHECKED_UNTIL_MS)


def detects_overlap(make_schedule, checks_grants: bool = True, **fields) -> bool:
    for seed in range(SEEDS):
        try:
            run_case(seed, make_schedule, checks_grants, **fields)
        except simulation.OverlapError:
            return True
    return False


ALL_CASES = (
    cut_owner_from_coordinator,
    cut_owner_off_step_by_step,
    cut_owner_whose_answers_are_late,
    cut_coordinator_from_all,
    split_in_halves,
    cut_coordinator_and_owner,
    cut_owner_while_voters_change,
    leave_in_turn,
    lose_answers_while_owners_leave,
    cut_voters_whose_instances_are_claimed,
)


@pytest.mark.parametrize("make_schedule", ALL_CASES)
def test_no_overlap_occurs_in_any_case_with_all_rules(make_schedule):
    run_case(1, make_schedule, checks_grants=False)
    run_case(2, make_schedule, checks_grants=True)


def test_overlap_is_detected_if_voters_never_refuse(monkeypatch):
    def answer(table, own_member_id, vouch):
        return messages.Vouched(vouch.domain, vouch.revision)

    monkeypatch.setattr(voter, "answer_vouch", answer)
    assert detects_overlap(cut_owner_from_coordinator)


def test_overlap_is_detected_without_the_wait_for_old_leases(monkeypatch):
    monkeypatch.setattr(
        acknowledgements, "compute_expiry_wait_ms", lambda run_ms, timing: 0
    )
    assert detects_overlap(cut_owner_from_coordinator)


def test_overlap_is_detected_without_the_wait_for_unchecked_runs(monkeypatch):
    wait_ms = acknowledgements.compute_expiry_wait_ms(0, simulation.TIMING)
    monkeypatch.setattr(
        acknowledgements, "compute_expiry_wait_ms", lambda run_ms, timing: wait_ms
    )
    assert detects_overlap(cut_owner_from_coordinator, checks_grants=False)


def test_overlap_is_detected_if_acknowledgements_are_not_awaited(monkeypatch):
    monkeypatch.setattr(votes, "is_acknowledged", lambda table, agrees: True)
    assert detects_overlap(cut_coordinator_from_all)


def test_overlap_is_detected_if_leases_count_from_receipt():
    assert detects_overlap(
        cut_owner_whose_answers_are_late, counts_leases_from_receipt=True
    )


def test_overlap_is_detected_if_half_of_the_votes_suffice(monkeypatch):
    def find_half(voters, sent_ms):
        given = 0
        for at_ms, count in sorted(
            ((sent_ms[v.member_id], v.votes) for v in voters if v.member_id in sent_ms),
            reverse=True,
        ):
            given += count
            if 2 * given >= sum(voter.votes for voter in voters):
                return at_ms
        return None

    monkeypatch.setattr(votes, "find_majority_ms", find_half)
    assert detects_overlap(split_in_halves)


def test_overlap_is_detected_if_voters_are_replaced_at_once(monkeypatch):
    def change(draft, voters):
        draft.voters = voters
        draft.voters_revision = draft.revision

    monkeypatch.setattr(drafts, "begin_voter_change", change)
    assert detects_overlap(cut_coordinator_from_all)


def test_overlap_is_detected_if_the_store_lease_is_not_checked(monkeypatch):
    monkeypatch.setattr(
        state, "has_valid_store_lease", lambda coordinator, now_ms: True
    )
    assert detects_overlap(cut_coordinator_and_owner)


def test_overlap_is_detected_without_allowance_for_drift(monkeypatch):
    monkeypatch.setattr(
        lease_holder, "shorten_by_drift", lambda time_ms, timing: time_ms
    )
    monkeypatch.setattr(
        acknowledgements,
        "compute_expiry_wait_ms",
        lambda run_ms, timing: timing.lease_ms,
    )
    assert detects_overlap(cut_owner_off_step_by_step)


def test_overlap_is_detected_if_a_voter_change_drops_losses(monkeypatch):
    def finish(draft):
        draft.previous_voters = ()
        draft.lost = {}

    monkeypatch.setattr(drafts, "finish_voter_change", finish)
    monkeypatch.setattr(votes, "VOTERS_PER_DATA_CENTRE", 1)
    assert detects_overlap(cut_owner_while_voters_change, size=8)


def test_overlap_is_detected_if_any_newer_table_ends_a_release(monkeypatch):
    monkeypatch.setattr(
        lease_holder, "_is_release_valid", lambda table, shard, release: False
    )
    assert detects_overlap(leave_in_turn)


def test_overlap_is_detected_if_an_unknown_write_counts_as_failed(monkeypatch):
    def forget(machine, revision):
        known = machine.transfers
        written, known.move_ids_in_write, machine.in_flight = (
            known.move_ids_in_write,
            frozenset(),
            None,
        )
        return [
            action
            for move_id in written
            for action in transfer.abort_move(known, machine.table, move_id, 0)
        ]

    monkeypatch.setattr(outcomes, "handle_unknown_outcome", forget)
    assert detects_overlap(lose_answers_while_owners_leave)


def test_overlap_is_detected_if_superseded_voters_count_as_ended(monkeypatch):
    class Superseded:
        def __init__(self, roster):
            self.roster = roster

        def __contains__(self, member_id):
            return liveness.is_superseded(self.roster, member_id)

    update_members = liveness.update_members

    def set_all(roster, listed):
        update_members(roster, listed)
        roster.ended = Superseded(roster)

    monkeypatch.setattr(liveness, "update_members", set_all)
    assert detects_overlap(cut_voters_whose_instances_are_claimed)
