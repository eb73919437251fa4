from fuchsiamoor.core.verdicts import Reason
from fuchsiamoor.traffic import gate as gates


def make_entrant(ticket, rank=1, ends_by_ms=2_000, in_time_by_ms=600, route="r"):
    return gates.Entrant(ticket, route, rank, ends_by_ms, in_time_by_ms)


def make_full_gate(slots=1):
    gate = gates.make_gate(slots, 0.0, 0)
    for number in range(slots):
        assert isinstance(
            gates.ask(gate, make_entrant(f"first-{number}"), 0), gates.Enter
        )
    return gate


def admit(gate, now_ms):
    gates.release(gate)
    admitted, expired = gates.admit_next(gate, now_ms)
    return [e.ticket for e in admitted], [e.ticket for e in expired]


def test_an_urgent_request_goes_first_and_equals_go_in_order():
    gate = make_full_gate()
    for ticket, rank in (("a", 2), ("b", 2), ("c", 1)):
        gates.ask(gate, make_entrant(ticket, rank, 9_000, 9_000), 0)
    assert [admit(gate, 10)[0] for _ in range(3)] == [["c"], ["a"], ["b"]]


def test_one_that_will_be_late_waits_behind_those_in_time():
    gate = make_full_gate()
    gates.ask(gate, make_entrant("late", in_time_by_ms=100), 0)
    gates.ask(gate, make_entrant("in-time", in_time_by_ms=900), 0)
    assert admit(gate, 10)[0] == ["in-time"]
    assert admit(gate, 20)[0] == ["late"]


def test_an_urgent_request_that_will_be_late_goes_before_less_urgent_ones():
    gate = make_full_gate()
    gates.ask(gate, make_entrant("a", rank=2, in_time_by_ms=900), 0)
    gates.ask(gate, make_entrant("b", rank=1, in_time_by_ms=100), 0)
    assert admit(gate, 10)[0] == ["b"]


def test_one_that_became_late_lets_those_in_time_pass():
    gate = make_full_gate()
    gates.ask(gate, make_entrant("a", in_time_by_ms=500), 0)
    gates.ask(gate, make_entrant("b", in_time_by_ms=900), 0)
    assert admit(gate, 450)[0] == ["b"]


def test_what_can_hardly_be_served_is_refused_at_once_with_a_time_to_return():
    gate = make_full_gate()
    for number in range(3):
        gates.ask(gate, make_entrant(number), 0)
    refused = gates.ask(gate, make_entrant("x", ends_by_ms=900, in_time_by_ms=600), 0)
    assert refused.verdict.reason is Reason.OVER_LIMIT
    assert refused.retry_after_ms > 0


def test_one_that_cannot_end_in_time_any_more_leaves_the_queue():
    gate = make_full_gate()
    gates.ask(gate, make_entrant("a", ends_by_ms=500), 0)
    assert admit(gate, 450) == ([], ["a"])
    assert gate.waiting == 0


def test_one_that_left_is_passed_over():
    gate = make_full_gate()
    gates.ask(gate, make_entrant("a"), 0)
    gates.ask(gate, make_entrant("b"), 0)
    gates.leave_queue(gate, "a")
    assert admit(gate, 1)[0] == ["b"]


def test_a_cold_upstream_is_never_sent_more_than_it_bears():
    gate = gates.make_gate(100, 16.0, cold_until_ms=5_000)
    starts = []
    for now_ms in range(0, 4_000, 5):
        entrant = make_entrant(now_ms, ends_by_ms=now_ms + 60, in_time_by_ms=now_ms)
        if isinstance(gates.ask(gate, entrant, now_ms), gates.Enter):
            starts.append(now_ms)
            gates.release(gate)
        gates.clear(gate)
    for first in starts:
        assert sum(first <= start < first + 1_000 for start in starts) <= 16
    assert len(starts) >= 16 * 3


def test_a_cold_upstream_takes_the_next_as_soon_as_it_bears_it():
    gate = gates.make_gate(100, 1.0, cold_until_ms=5_000)
    gates.ask(gate, make_entrant("a", ends_by_ms=9_000, in_time_by_ms=9_000), 0)
    gates.ask(gate, make_entrant("b", ends_by_ms=9_000, in_time_by_ms=9_000), 0)
    at_ms = gates.next_room_ms(gate, 0)
    assert 1_000 <= at_ms <= gates.COLD_WINDOW_MS + 1
    assert [e.ticket for e in gates.admit_next(gate, at_ms)[0]] == ["b"]


def test_work_of_others_finds_a_slot_beside_long_runs():
    gate = gates.make_gate(slots=10, cold_per_s=0.0, cold_until_ms=0)
    gates.ask(gate, make_entrant("call", rank=-1), 0)
    gates.release(gate)
    long = [gates.ask(gate, make_entrant(n), 100) for n in range(10)]
    assert sum(isinstance(asked, gates.Enter) for asked in long) == 9
    assert isinstance(gates.ask(gate, make_entrant("next", rank=-1), 110), gates.Enter)


def test_the_kept_slot_is_given_to_all_once_nobody_asks_for_it():
    gate = gates.make_gate(slots=10, cold_per_s=0.0, cold_until_ms=0)
    gates.ask(gate, make_entrant("call", rank=-1), 0)
    gates.release(gate)
    later_ms = gates.CALL_KEPT_MS + 1
    for number in range(10):
        entrant = make_entrant(number, ends_by_ms=9_000, in_time_by_ms=9_000)
        assert isinstance(gates.ask(gate, entrant, later_ms), gates.Enter)


def test_one_slot_is_never_kept_from_all():
    gate = gates.make_gate(slots=1, cold_per_s=0.0, cold_until_ms=0)
    gates.ask(gate, make_entrant("call", rank=-1), 0)
    gates.release(gate)
    assert isinstance(gates.ask(gate, make_entrant("a"), 1), gates.Enter)
