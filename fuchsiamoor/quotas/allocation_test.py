import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.quotas import allocation
from fuchsiamoor.traffic.organisations import Quota

QUOTA = Quota(10.0, 5.0)


def _fill(quota=QUOTA):
    found = allocation.make_allocation(quota, 0)
    return found, int(1000 * quota.burst / quota.rate_per_s)


def _take_all(found, now_ms):
    stamps_ms = []
    while isinstance(given_ := allocation.take(found, now_ms), allocation.Given):
        stamps_ms.append(given_.stamp_ms)
    return stamps_ms


def test_a_new_allocator_begins_without_credit():
    found, _ = _fill()
    assert isinstance(allocation.take(found, 0), allocation.Exhausted)


def test_each_refused_asker_is_told_a_later_time_at_the_rate():
    found, full_ms = _fill()
    assert len(_take_all(found, full_ms)) == QUOTA.burst
    later_ms = [allocation.take(found, full_ms).retry_after_ms for _ in range(9)]
    assert later_ms == [200, 300, 400, 500, 500, 500, 500, 500, 500]


def test_a_halved_limit_binds_at_once():
    found, full_ms = _fill()
    allocation.set_part(found, Quota(5.0, 2.0), full_ms)
    assert len(_take_all(found, full_ms)) == 2
    assert len(_take_all(found, full_ms + 1_000)) == 2


def test_a_clock_that_stands_or_goes_back_gives_nothing():
    found, full_ms = _fill()
    _take_all(found, full_ms)
    assert _take_all(found, full_ms) == _take_all(found, 0) == []


def test_credit_that_was_not_used_returns():
    found, full_ms = _fill()
    stamps_ms = _take_all(found, full_ms)
    allocation.give_back(found, stamps_ms[:3], full_ms + 50)
    assert len(_take_all(found, full_ms + 50)) == 3


@pytest.mark.parametrize("stamp_ms", [0, 10_000_000])
def test_credit_of_another_time_does_not_return(stamp_ms):
    found = allocation.make_allocation(QUOTA, 1_000)
    allocation.give_back(found, [stamp_ms] * 5, 1_010)
    assert _take_all(found, 1_010) == []


@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.integers(0, 8), st.integers(0, 8)),
        max_size=40,
    )
)
def test_what_runs_in_any_window_stays_within_the_limit(steps):
    """Askers take credit in bursts and return some of it, at any time later."""
    found, now_ms, held = allocation.make_allocation(QUOTA, 0), 0, []
    for pause_ms, takes, returns in steps:
        now_ms += pause_ms
        back = [held.pop(0) for _ in range(min(returns, len(held)))]
        allocation.give_back(found, back, now_ms)
        for _ in range(takes):
            match allocation.take(found, now_ms):
                case allocation.Given(stamp_ms):
                    held.append(stamp_ms)
    for first, begin_ms in enumerate(held):
        for last in range(first, len(held)):
            limit = QUOTA.rate_per_s * (held[last] - begin_ms) / 1000 + QUOTA.burst
            assert last - first + 1 <= limit + 1e-6
