"""Service-level burn: how fast each service uses up its error budget.

A burn of 1 uses the whole budget in the objective's window, a burn of 10 in a tenth of
it. A state is told only if a long and a short window agree, so that neither a blip nor
an old failure raises it. Where the counts do not reach back over the long window, its
burn counts for the share of it that they cover.
"""

from enum import StrEnum
from typing import NamedTuple

from fuchsiamoor.core.configuration import Objective
from fuchsiamoor.reports import merged
from fuchsiamoor.reports.counts import DAY_MS, HOUR_MS, MINUTE_MS, ServiceCounts

MINUTE_WINDOWS_MS = {"5m": 5 * MINUTE_MS, "30m": 30 * MINUTE_MS, "1h": HOUR_MS}
HOUR_WINDOWS_MS = {"6h": 6 * HOUR_MS, "3d": 3 * DAY_MS}
WINDOWS_MS = MINUTE_WINDOWS_MS | HOUR_WINDOWS_MS


class BurnState(StrEnum):
    """How urgent a burn is."""

    FAST = "fast"
    SLOW = "slow"
    STEADY = "steady"
    WITHIN = "within"


class _Rule(NamedTuple):
    """A state that holds while both windows burn at least this fast."""

    state: BurnState
    long_window: str
    short_window: str
    burn: float


RULES = (
    _Rule(BurnState.FAST, "1h", "5m", 14.4),
    _Rule(BurnState.SLOW, "6h", "30m", 6.0),
    _Rule(BurnState.STEADY, "3d", "6h", 1.0),
)


class Burn(NamedTuple):
    """Burn of one promise of a service.

    Parameters
    ----------
    promise : str
        ``success`` or ``latency``.
    target_ratio : float
    by_window : dict of str to float or None
        None where nothing was counted.
    state : BurnState
    budget_left_ratio : float or None
        Share of the budget left over the objective's window, taking traffic as steady;
        negative if overdrawn.
    """

    promise: str
    target_ratio: float
    by_window: dict[str, float | None]
    state: BurnState
    budget_left_ratio: float | None


class ServiceBurn(NamedTuple):
    """Burn of a service.

    Parameters
    ----------
    service : str
    window_days : int
    counted_ms : int
        Time that the counts reach back.
    success, latency : Burn
    """

    service: str
    window_days: int
    counted_ms: int
    success: Burn
    latency: Burn


def compute_burn(
    service: str, objective: Objective, history: merged.History
) -> ServiceBurn:
    """Return the burn of a service from the counts of all daemons."""
    found = history.services.get(service, merged.ServiceHistory())
    end_ms = history.latest_ms + MINUTE_MS
    by_window = {
        name: _sum_since(found.minutes, end_ms - span_ms)
        for name, span_ms in MINUTE_WINDOWS_MS.items()
    }
    # Hours and days hold past minutes only, so that the current minute is added.
    current = found.minutes.get(history.latest_ms, ServiceCounts())
    for name, span_ms in HOUR_WINDOWS_MS.items():
        past = _sum_since(found.hours, end_ms - span_ms - HOUR_MS + 1)
        by_window[name] = merged.sum_counts([past, current])
    whole = merged.sum_counts([*found.days.values(), current])
    counted_ms = end_ms - history.oldest_since_ms if history.latest_ms else 0
    window_ms = objective.window_days * DAY_MS
    span_ratio = min(counted_ms / window_ms, 1.0)

    def make_burn(promise: str, target_ratio: float) -> Burn:
        burns = {
            name: _compute_ratio(promise, part, target_ratio)
            for name, part in by_window.items()
        }
        overall = _compute_ratio(promise, whole, target_ratio)
        left = None if overall is None else 1.0 - overall * span_ratio
        return Burn(promise, target_ratio, burns, judge(burns, counted_ms), left)

    return ServiceBurn(
        service=service,
        window_days=objective.window_days,
        counted_ms=counted_ms,
        success=make_burn("success", objective.success_ratio),
        latency=make_burn("latency", objective.latency_ratio),
    )


def judge(by_window: dict[str, float | None], counted_ms: int) -> BurnState:
    """Return the most urgent state whose windows agree.

    Parameters
    ----------
    by_window : dict of str to float or None
    counted_ms : int
        Time that the counts reach back.

    Examples
    --------
    >>> burns = {"5m": 20.0, "30m": 9.0, "1h": 15.0, "6h": 3.0, "3d": 0.5}
    >>> str(judge(burns, 3 * DAY_MS))
    'fast'
    >>> str(judge(burns | {"5m": 0.0}, 3 * DAY_MS))
    'within'
    """
    for rule in RULES:
        burn, recent = by_window[rule.long_window], by_window[rule.short_window]
        if burn is None or recent is None:
            continue
        covered = min(counted_ms / WINDOWS_MS[rule.long_window], 1.0)
        if min(burn * covered, recent) >= rule.burn:
            return rule.state
    return BurnState.WITHIN


def is_missed(burn: Burn) -> bool:
    """Return whether a promise is being missed or its budget is used up."""
    overdrawn = burn.budget_left_ratio is not None and burn.budget_left_ratio < 0
    return overdrawn or burn.state is not BurnState.WITHIN


def _sum_since(periods: dict[int, ServiceCounts], start_ms: int) -> ServiceCounts:
    return merged.sum_counts(
        found for begin_ms, found in periods.items() if begin_ms >= start_ms
    )


def _compute_ratio(
    promise: str, found: ServiceCounts, target_ratio: float
) -> float | None:
    if promise == "success":
        bad, total = found.failed, found.succeeded + found.failed
    else:
        bad, total = found.slow, found.succeeded
    if total == 0:
        return None
    return (bad / total) / (1.0 - target_ratio)
