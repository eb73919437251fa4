import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import requests, verdicts
from fuchsiamoor.core.configuration import Objective
from fuchsiamoor.daemon import metrics as daemon_metrics
from fuchsiamoor.reports import burn, counts, measures, merged_counts
from fuchsiamoor.reports.burn import BurnState

OBJECTIVE = Objective(0.99, 250, 0.9, 30)
RAN = requests.Answer("r", verdicts.Ran(), 200)
FAILED = requests.Answer("r", verdicts.NotRun(verdicts.Reason.SHED), 503)


def _make_daemon(instance, failed_by_minute, per_minute=100):
    made = daemon_metrics.make_metrics(None)
    made.slow_after_us = {"stock": 250_000}
    for minute, failed in enumerate(failed_by_minute):
        made.flush(minute * counts.MINUTE_MS)
        for number in range(per_minute):
            made.record_answer("stock", FAILED if number < failed else RAN, 1_000)
    return made.snapshot(instance, "stock", "almaty-1")


def _burn(*snapshots):
    return burn.compute_burn(
        "stock", OBJECTIVE, merged_counts.merge_snapshots(snapshots)
    )


def test_windows_include_only_their_own_minutes():
    found = _burn(_make_daemon("a", [0] * 115 + [50] * 5))
    assert found.success.by_window["5m"] == pytest.approx(50)
    assert found.success.by_window["30m"] == pytest.approx(50 / 6)
    assert found.success.by_window["1h"] == pytest.approx(50 / 12)
    assert found.success.by_window["6h"] == pytest.approx(50 / 24)
    assert found.counted_ms == 120 * counts.MINUTE_MS
    assert found.latency.by_window["1h"] == 0


def test_counts_of_all_daemons_are_summed():
    found = _burn(_make_daemon("a", [100] * 3), _make_daemon("b", [0] * 3, 300))
    assert found.success.by_window["5m"] == pytest.approx(25)


@pytest.mark.parametrize(
    ("failed_by_minute", "state"),
    [
        ([0] * 120, BurnState.WITHIN),
        ([0] * 60 + [20] * 60, BurnState.FAST),
        ([20] * 60 + [0] * 60, BurnState.WITHIN),
        ([0] * 60 + [100] * 20 + [0] * 10, BurnState.WITHIN),
        ([7] * 360, BurnState.SLOW),
        ([2] * 4320, BurnState.STEADY),
        ([100] * 10, BurnState.FAST),
        ([2] * 10, BurnState.WITHIN),
    ],
)
def test_burn_state_requires_a_long_and_a_short_window(failed_by_minute, state):
    assert _burn(_make_daemon("a", failed_by_minute)).success.state is state


def test_budget_left_is_scaled_by_the_time_covered():
    day = 24 * 60
    found = _burn(_make_daemon("a", [1] * 3 * day, 100))
    assert found.success.budget_left_ratio == pytest.approx(0.9)
    overdrawn = _burn(_make_daemon("a", [50] * day, 100)).success
    assert overdrawn.budget_left_ratio < 0
    assert burn.is_objective_missed(overdrawn)


def test_no_requests_give_no_burn_rate():
    found = _burn()
    assert set(found.success.by_window.values()) == {None}
    assert found.success.budget_left_ratio is None
    assert not burn.is_objective_missed(found.success)


@given(st.lists(st.lists(st.integers(0, 20), max_size=130), min_size=1, max_size=3))
def test_merged_totals_equal_the_sum_of_the_daemons(daemons):
    snapshots = [
        _make_daemon(str(index), failed, 20) for index, failed in enumerate(daemons)
    ]
    history = merged_counts.merge_snapshots(snapshots)
    if not any(daemons):
        assert history.services["stock"].minutes == {}
        return
    kept = [failed[-60:] for failed in daemons]
    last = max(len(failed) for failed in daemons)
    total = merged_counts.sum_counts(history.services["stock"].minutes.values())
    assert total.failed == sum(map(sum, kept))
    assert total.succeeded + total.failed == 20 * sum(map(len, kept))
    assert history.latest_ms == (last - 1) * counts.MINUTE_MS


def test_minutes_around_a_data_centre_outage_are_measured_separately():
    made = daemon_metrics.make_metrics(None)
    for minute in range(20):
        made.data_centres_out = frozenset({"x"} if 5 <= minute < 8 else ())
        made.flush(minute * counts.MINUTE_MS)
        made.record_answer(
            "stock", FAILED if minute == 6 else RAN, 1_000 * (minute + 1)
        )
    history = merged_counts.merge_snapshots([made.snapshot("a", "stock", "x")])
    found = measures.compute_service_measures("stock", history)
    assert found.data_centre_moves.requests == 5
    assert found.data_centre_moves.success_ratio == 0.8
    assert found.undisturbed.requests == 15
    assert found.undisturbed.success_ratio == 1


def test_idle_upstream_counts_towards_the_imbalance():
    busy, idle = (daemon_metrics.make_metrics(None) for _ in range(2))
    for _ in range(30):
        busy.record_upstream_answer("stock", 5)
    snapshots = [
        busy.snapshot("a", "stock", "x"),
        idle.snapshot("b", "stock", "x"),
        idle.snapshot("c", "booking", "x"),
    ]
    found = measures.compute_service_measures(
        "stock", merged_counts.merge_snapshots(snapshots)
    )
    assert found.imbalance_ratio == 2
