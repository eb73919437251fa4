"""Burn rates: how fast each service consumes the error budget of its objective.

A burn rate of 1 consumes the whole budget within the objective's window, a burn rate of
10 within a tenth of it. A burn state is reported only if a long and a short window
agree, so that neither a short spike nor an old failure raises it. If the counts cover
only a part of the long window, its burn rate is scaled by the share that they cover.
"""

from enum import StrEnum
from typing import NamedTuple

from fuchsiamoor.core.configuration import Objective
from fuchsiamoor.reports import merged_counts
from fuchsiamoor.reports.counts import DAY_MS, HOUR_MS, MINUTE_MS, ServiceCounts

MINUTE_WINDOWS_MS = {"5m": 5 * MINUTE_MS, "30m": 30 * MINUTE_MS, "1h": HOUR_MS}
HOUR_WINDOWS_MS = {"6h": 6 * HOUR_MS, "3d": 3 * DAY_MS}
WINDOWS_MS = MINUTE_WINDOWS_MS | HOUR_WINDOWS_MS


class BurnState(StrEnum):
    """Urgency of a burn rate."""

    FAST = "fast"
    SLOW = "slow"
    STEADY = "steady"
    WITHIN = "within"


class _BurnRule(NamedTuple):
    """State reported while the burn rates of both windows reach ``burn``."""

    state: BurnState
    long_window: str
    short_window: str
    burn: float


BURN_RULES = (
    _BurnRule(BurnState.FAST, "1h", "5m", 14.4),
    _BurnRule(BurnState.SLOW, "6h", "30m", 6.0),
    _BurnRule(BurnState.STEADY, "3d", "6h", 1.0),
)


class Burn(NamedTuple):
    """Burn rates of one promise of a service's objective.

    Parameters
    ----------
    promise : str
        ``success`` or ``latency``.
    target_ratio : float
        Share of requests that have to meet the promise.
    by_window : dict of str to float or None
        Burn rate in each window; None if no requests were counted.
    state : BurnState
    budget_left_ratio : float or None
        Share of the window's budget that is left, assuming steady traffic; negative if
        it is overdrawn.
    """

    promise: str
    target_ratio: float
    by_window: dict[str, float | None]
    state: BurnState
    budget_left_ratio: float | None


class ServiceBurn(NamedTuple):
    """Burn rates of a service, for both promises of its objective.

    Parameters
    ----------
    service : str
    window_days : int
    counted_ms : int
        Length of time that the counts cover.
    success, latency : Burn
    """

    service: str
    window_days: int
    counted_ms: int
    success: Burn
    latency: Burn


def compute_burn(
    service: str, objective: Objective, history: merged_counts.History
) -> ServiceBurn:
    """Compute the burn rates of a service from the counts of all daemons."""
    found = history.services.get(service, merged_counts.ServiceHistory())
    end_ms = history.latest_ms + MINUTE_MS
    by_window = {
        name: _sum_counts_since(found.minutes, end_ms - window_length_ms)
        for name, window_length_ms in MINUTE_WINDOWS_MS.items()
    }
    # Hours and days include only completed minutes; the current one is added here.
    current = found.minutes.get(history.latest_ms, ServiceCounts())
    for name, window_length_ms in HOUR_WINDOWS_MS.items():
        past = _sum_counts_since(found.hours, end_ms - window_length_ms - HOUR_MS + 1)
        by_window[name] = merged_counts.sum_counts([past, current])
    total = merged_counts.sum_counts([*found.days.values(), current])
    counted_ms = end_ms - history.oldest_since_ms if history.latest_ms else 0
    window_ms = objective.window_days * DAY_MS
    covered_ratio = min(counted_ms / window_ms, 1.0)

    def make_burn(promise: str, target_ratio: float) -> Burn:
        burns = {
            name: _compute_burn_rate(promise, part, target_ratio)
            for name, part in by_window.items()
        }
        overall = _compute_burn_rate(promise, total, target_ratio)
        left = None if overall is None else 1.0 - overall * covered_ratio
        return Burn(
            promise, target_ratio, burns, classify_burn(burns, counted_ms), left
        )

    return ServiceBurn(
        service=service,
        window_days=objective.window_days,
        counted_ms=counted_ms,
        success=make_burn("success", objective.success_ratio),
        latency=make_burn("latency", objective.latency_ratio),
    )


def classify_burn(by_window: dict[str, float | None], counted_ms: int) -> BurnState:
    """Return the most urgent state whose long and short window agree.

    Parameters
    ----------
    by_window : dict of str to float or None
        Burn rate in each window.
    counted_ms : int
        Length of time that the counts cover.

    Examples
    --------
    >>> burns = {"5m": 20.0, "30m": 9.0, "1h": 15.0, "6h": 3.0, "3d": 0.5}
    >>> str(classify_burn(burns, 3 * DAY_MS))
    'fast'
    >>> str(classify_burn(burns | {"5m": 0.0}, 3 * DAY_MS))
    'within'
    """
    for rule in BURN_RULES:
        burn, recent = by_window[rule.long_window], by_window[rule.short_window]
        if burn is None or recent is None:
            continue
        covered = min(counted_ms / WINDOWS_MS[rule.long_window], 1.0)
        if min(burn * covered, recent) >= rule.burn:
            return rule.state
    return BurnState.WITHIN


def is_objective_missed(burn: Burn) -> bool:
    """Return whether the budget burns too fast or is overdrawn."""
    overdrawn = burn.budget_left_ratio is not None and burn.budget_left_ratio < 0
    return overdrawn or burn.state is not BurnState.WITHIN


def _sum_counts_since(
    periods: dict[int, ServiceCounts], start_ms: int
) -> ServiceCounts:
    return merged_counts.sum_counts(
        found
        for period_start_ms, found in periods.items()
        if period_start_ms >= start_ms
    )


def _compute_burn_rate(
    promise: str, found: ServiceCounts, target_ratio: float
) -> float | None:
    if promise == "success":
        bad, total = found.failed, found.succeeded + found.failed
    else:
        bad, total = found.slow, found.succeeded
    if total == 0:
        return None
    return (bad / total) / (1.0 - target_ratio)
