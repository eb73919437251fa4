from fuchsiamoor.quotas import spending
from fuchsiamoor.traffic.organisations import Quota

TOLERANCE = spending.Tolerance(5_000, 0.1, 20)
CREDIT = spending.Credit("a#1", 7, 1_000)


def test_own_shares_of_all_daemons_are_a_quarter_of_the_tolerance():
    quota = Quota(92.0, 92.0)
    for daemons in (1, 13, 60, 510):
        shares = [
            spending.count_own_share(quota, TOLERANCE, position, daemons)
            for position in range(daemons)
        ]
        assert sum(shares) == int((92 * 5 * 0.1 + 20) / 4)


def test_the_own_share_returns_after_a_window_or_unused():
    found = spending.Spending()
    first = spending.take_own(found, 1, TOLERANCE, 0)
    assert spending.take_own(found, 1, TOLERANCE, 5_000) is None
    assert spending.take_own(found, 1, TOLERANCE, 5_001) is not None
    spending.give_back(found, first._replace(taken_ms=5_001))
    assert spending.take_own(found, 1, TOLERANCE, 5_001) is not None


def test_a_kept_credit_serves_another_request_for_half_of_the_tolerated_time():
    found = spending.Spending()
    for later_ms, is_taken in ((250, True), (251, False)):
        spending.give_back(found, CREDIT)
        credit = spending.take_kept(found, TOLERANCE, CREDIT.taken_ms + later_ms)
        assert (credit == CREDIT) == is_taken
    assert spending.take_returns(found, "b#1") == ()
    assert spending.take_returns(found, CREDIT.source) == (CREDIT.stamp_ms,)
    assert spending.take_returns(found, CREDIT.source) == ()


def test_an_allocator_that_refused_is_not_asked_until_it_has_credit():
    found = spending.Spending()
    spending.close(found, "a", 300)
    assert spending.list_open(found, ("a", "b"), 299) == ["b"]
    assert spending.list_open(found, ("a", "b"), 300) == ["a", "b"]
    spending.close(found, "b", 200)
    assert spending.find_reopening_ms(found, ("a", "b"), 150) == 50
