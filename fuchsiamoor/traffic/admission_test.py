from fuchsiamoor.core.verdicts import Reason
from fuchsiamoor.traffic import admission


def make_request(ticket, rank=1, deadline_ms=2_000, in_time_by_ms=600, route="r"):
    return admission.AdmissionRequest(ticket, route, rank, deadline_ms, in_time_by_ms)


def make_full_queue(slots=1):
    queue = admission.make_admission_queue(slots, 0.0, 0)
    for number in range(slots):
        assert isinstance(
            admission.admit(queue, make_request(f"first-{number}"), 0),
            admission.Admitted,
        )
    return queue


def release_and_admit(queue, now_ms):
    admission.release_slot(queue)
    admitted, expired = admission.admit_next(queue, now_ms)
    return [e.ticket for e in admitted], [e.ticket for e in expired]


def test_lower_rank_goes_first_and_equal_ranks_in_order_of_arrival():
    queue = make_full_queue()
    for ticket, rank in (("a", 2), ("b", 2), ("c", 1)):
        admission.admit(queue, make_request(ticket, rank, 9_000, 9_000), 0)
    assert [release_and_admit(queue, 10)[0] for _ in range(3)] == [["c"], ["a"], ["b"]]


def test_late_request_waits_behind_requests_in_time():
    queue = make_full_queue()
    admission.admit(queue, make_request("late", in_time_by_ms=100), 0)
    admission.admit(queue, make_request("in-time", in_time_by_ms=900), 0)
    assert release_and_admit(queue, 10)[0] == ["in-time"]
    assert release_and_admit(queue, 20)[0] == ["late"]


def test_late_request_of_lower_rank_goes_before_higher_ranks():
    queue = make_full_queue()
    admission.admit(queue, make_request("a", rank=2, in_time_by_ms=900), 0)
    admission.admit(queue, make_request("b", rank=1, in_time_by_ms=100), 0)
    assert release_and_admit(queue, 10)[0] == ["b"]


def test_request_that_becomes_late_is_moved_behind_requests_in_time():
    queue = make_full_queue()
    admission.admit(queue, make_request("a", in_time_by_ms=500), 0)
    admission.admit(queue, make_request("b", in_time_by_ms=900), 0)
    assert release_and_admit(queue, 450)[0] == ["b"]


def test_request_that_would_miss_its_deadline_is_refused_with_retry_after():
    queue = make_full_queue()
    for number in range(3):
        admission.admit(queue, make_request(number), 0)
    refused = admission.admit(
        queue, make_request("x", deadline_ms=900, in_time_by_ms=600), 0
    )
    assert refused.verdict.reason is Reason.OVER_LIMIT
    assert refused.retry_after_ms > 0


def test_queued_request_that_cannot_meet_its_deadline_expires():
    queue = make_full_queue()
    admission.admit(queue, make_request("a", deadline_ms=500), 0)
    assert release_and_admit(queue, 450) == ([], ["a"])
    assert queue.waiting == 0


def test_removed_request_is_skipped():
    queue = make_full_queue()
    admission.admit(queue, make_request("a"), 0)
    admission.admit(queue, make_request("b"), 0)
    admission.remove_queued(queue, "a")
    assert release_and_admit(queue, 1)[0] == ["b"]


def test_cold_upstream_never_exceeds_its_rate_limit():
    queue = admission.make_admission_queue(100, 16.0, cold_until_ms=5_000)
    starts = []
    for now_ms in range(0, 4_000, 5):
        request = make_request(now_ms, deadline_ms=now_ms + 60, in_time_by_ms=now_ms)
        if isinstance(admission.admit(queue, request, now_ms), admission.Admitted):
            starts.append(now_ms)
            admission.release_slot(queue)
        admission.clear_queue(queue)
    for first in starts:
        assert sum(first <= start < first + 1_000 for start in starts) <= 16
    assert len(starts) >= 16 * 3


# Requests that waited for a connection arrived together with later ones, over the rate.
def test_cold_upstream_never_exceeds_its_rate_limit_after_waits_for_a_connection():
    queue = admission.make_admission_queue(100, 16.0, cold_until_ms=5_000)
    arrivals, held_up = [], []
    for now_ms in range(0, 4_000, 5):
        if now_ms % 900 == 0:
            for taken_ms in held_up:
                admission.record_sent(queue, taken_ms, now_ms)
                arrivals.append(now_ms)
            held_up.clear()
        request = make_request(now_ms, deadline_ms=now_ms + 60, in_time_by_ms=now_ms)
        if isinstance(admission.admit(queue, request, now_ms), admission.Admitted):
            held_up.append(now_ms)
            admission.release_slot(queue)
        admission.clear_queue(queue)
    for first in arrivals:
        assert sum(first <= arrival < first + 1_000 for arrival in arrivals) <= 16
    assert len(arrivals) >= 16 * 2


def test_cold_upstream_starts_the_next_request_when_the_rate_allows():
    queue = admission.make_admission_queue(100, 1.0, cold_until_ms=5_000)
    admission.admit(queue, make_request("a", deadline_ms=9_000, in_time_by_ms=9_000), 0)
    admission.admit(queue, make_request("b", deadline_ms=9_000, in_time_by_ms=9_000), 0)
    at_ms = admission.find_next_start_ms(queue, 0)
    assert 1_000 <= at_ms <= admission.COLD_WINDOW_MS + 1
    assert [e.ticket for e in admission.admit_next(queue, at_ms)[0]] == ["b"]


def test_nested_request_gets_a_reserved_slot_beside_long_runs():
    queue = admission.make_admission_queue(slots=10, cold_per_s=0.0, cold_until_ms=0)
    admission.admit(queue, make_request("call", rank=-1), 0)
    admission.release_slot(queue)
    long = [admission.admit(queue, make_request(n), 100) for n in range(10)]
    assert sum(isinstance(decided, admission.Admitted) for decided in long) == 9
    assert isinstance(
        admission.admit(queue, make_request("next", rank=-1), 110), admission.Admitted
    )


def test_reservation_ends_without_further_nested_requests():
    queue = admission.make_admission_queue(slots=10, cold_per_s=0.0, cold_until_ms=0)
    admission.admit(queue, make_request("call", rank=-1), 0)
    admission.release_slot(queue)
    later_ms = admission.NESTED_RESERVE_MS + 1
    for number in range(10):
        request = make_request(number, deadline_ms=9_000, in_time_by_ms=9_000)
        assert isinstance(admission.admit(queue, request, later_ms), admission.Admitted)


def test_only_slot_is_never_reserved():
    queue = admission.make_admission_queue(slots=1, cold_per_s=0.0, cold_until_ms=0)
    admission.admit(queue, make_request("call", rank=-1), 0)
    admission.release_slot(queue)
    assert isinstance(admission.admit(queue, make_request("a"), 1), admission.Admitted)


def play_stream(queue, rank, every_ms, until_ms, run_ms):
    """Let requests of one rank arrive, and each run for the same time."""
    ends = []
    for now_ms in range(0, until_ms, every_ms):
        for _ in [end_ms for end_ms in ends if end_ms <= now_ms]:
            admission.release_slot(queue)
        ends = [end_ms for end_ms in ends if end_ms > now_ms]
        request = make_request(now_ms, rank, now_ms + 2_000, now_ms + 1_900)
        if isinstance(admission.admit(queue, request, now_ms), admission.Admitted):
            ends.append(now_ms + run_ms)
        admitted, _ = admission.admit_next(queue, now_ms)
        ends += [now_ms + run_ms] * len(admitted)


# Pattern: requests of rank 0 fill all slots for seconds. Those of rank 1 were queued by
# the little work ahead of them, overtaken, and refused after 1.7 of their 2 seconds.
def test_request_that_a_stream_of_lower_rank_overtakes_is_refused_at_once():
    queue = admission.make_admission_queue(slots=6, cold_per_s=0.0, cold_until_ms=0)
    play_stream(queue, rank=0, every_ms=30, until_ms=3_000, run_ms=200)
    assert admission.compute_overtaking_share(queue, 1, False, 3_000) == 0.9
    decided = admission.admit(queue, make_request("x", 1, 5_000, 4_000), 3_000)
    assert isinstance(decided, admission.Refused)
    assert decided.retry_after_ms > 0


# Pattern: the same ranks with room for both.
def test_request_behind_a_stream_that_leaves_room_is_accepted():
    queue = admission.make_admission_queue(slots=6, cold_per_s=0.0, cold_until_ms=0)
    play_stream(queue, rank=0, every_ms=70, until_ms=3_000, run_ms=200)
    decided = admission.admit(queue, make_request("x", 1, 5_000, 4_000), 3_000)
    assert not isinstance(decided, admission.Refused)


def test_stream_of_higher_rank_overtakes_nobody():
    queue = admission.make_admission_queue(slots=6, cold_per_s=0.0, cold_until_ms=0)
    play_stream(queue, rank=2, every_ms=30, until_ms=3_000, run_ms=200)
    assert admission.compute_overtaking_share(queue, 1, True, 3_000) == 0


def test_overtaking_is_forgotten_with_time():
    queue = admission.make_admission_queue(slots=6, cold_per_s=0.0, cold_until_ms=0)
    play_stream(queue, rank=0, every_ms=30, until_ms=3_000, run_ms=200)
    assert admission.compute_overtaking_share(queue, 1, False, 9_000) < 0.01


# Pattern: what was to be in time has become late behind a steady stream; it waited on
# until its deadline.
def test_requests_that_become_late_without_room_are_refused_then():
    queue = make_full_queue()
    for ticket in ("a", "b", "c", "d", "e"):
        request = make_request(ticket, deadline_ms=1_200, in_time_by_ms=1_150)
        admission.admit(queue, request, 0)
    assert release_and_admit(queue, 1_010) == (["e"], ["a", "b", "c", "d"])
