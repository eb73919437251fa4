"""In-memory counts of a daemon by minute, hour and day, for the operators' reports.

Minutes include latency histograms; hours and days have totals only. The counts of a
daemon are lost when it stops, which the report states.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from fuchsiamoor.core import verdicts
from fuchsiamoor.core.requests import Answer
from fuchsiamoor.core.verdicts import Reason
from fuchsiamoor.reports import histogram

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
MINUTES_KEPT = 60
HOURS_KEPT = 3 * 24 + 1
DAYS_KEPT = 31
MAX_SERVICES = 64
FIRST_SERVER_ERROR_STATUS = 500

_EXCLUDED_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.CANCELLED,
        Reason.OUTSIDE_HOME_REGIONS,
        Reason.UNKNOWN_SERVICE,
        Reason.UNKNOWN_TENANT,
    }
)


class Outcome(StrEnum):
    """How a request counts towards the objective of its service."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_COUNTED = "not-counted"


_SUCCEEDED, _FAILED = Outcome.SUCCEEDED, Outcome.FAILED


@dataclass(slots=True)
class ServiceCounts:
    """Counts of one service in one period.

    Parameters
    ----------
    succeeded, failed : int
        Requests from this daemon's callers.
    slow : int
        Successful requests slower than the latency objective.
    served : int
        Requests that this daemon's upstream ran.
    moved_planned, moved_unplanned : int
        Shards that this daemon moved as coordinator, after a release and after a
        loss of the owner.
    unavailable_shard_ms : int
        Time without an owner, summed over shards, as measured by this daemon as
        coordinator.
    latency : Histogram
        Latency of successful requests, in microseconds.
    """

    succeeded: int = 0
    failed: int = 0
    slow: int = 0
    served: int = 0
    moved_planned: int = 0
    moved_unplanned: int = 0
    unavailable_shard_ms: int = 0
    latency: histogram.Histogram = field(default_factory=dict)


@dataclass(slots=True)
class Period:
    """Counts of one minute, hour or day, by service.

    Parameters
    ----------
    start_ms : int
        Unix time.
    data_centres_out : frozenset of str
        Data centres that were out of service at any time in the period.
    services : dict of str to ServiceCounts
    """

    start_ms: int
    data_centres_out: frozenset[str] = frozenset()
    services: dict[str, ServiceCounts] = field(default_factory=dict)


@dataclass(slots=True)
class Counts:
    """Retained periods of a daemon, including the current ones.

    Parameters
    ----------
    since_ms : int
        Unix time of the daemon's start.
    minutes, hours, days : deque of Period
        Oldest first; the last of each is the current one. Hours and days include only
        completed minutes.
    """

    since_ms: int
    minutes: deque[Period]
    hours: deque[Period]
    days: deque[Period]


class CountsSnapshot(NamedTuple):
    """Counts of one daemon, as sent to operators."""

    instance: str
    service: str
    data_centre: str
    since_ms: int
    counters: dict[str, int]
    gauges: dict[str, float]
    minutes: tuple[Period, ...]
    hours: tuple[Period, ...]
    days: tuple[Period, ...]


def classify_answer(answer: Answer) -> Outcome:
    """Return how an answer counts; a caller's own errors do not count.

    Examples
    --------
    >>> str(classify_answer(Answer("r", verdicts.Ran(), 200)))
    'succeeded'
    >>> str(classify_answer(Answer("r", verdicts.NotRun(Reason.UNKNOWN_TENANT), 403)))
    'not-counted'
    """
    match answer.verdict:
        case verdicts.Ran():
            return _SUCCEEDED if answer.status < FIRST_SERVER_ERROR_STATUS else _FAILED
        case verdicts.NotRun(reason) | verdicts.MayHaveRun(reason):
            return Outcome.NOT_COUNTED if reason in _EXCLUDED_REASONS else _FAILED


def make_counts(now_ms: int) -> Counts:
    """Return empty counts that start at a Unix time."""
    return Counts(
        since_ms=now_ms,
        minutes=deque([Period(_compute_period_start(now_ms, MINUTE_MS))], MINUTES_KEPT),
        hours=deque([Period(_compute_period_start(now_ms, HOUR_MS))], HOURS_KEPT),
        days=deque([Period(_compute_period_start(now_ms, DAY_MS))], DAYS_KEPT),
    )


def find_current_counts(counts: Counts, service: str) -> ServiceCounts | None:
    """Return a service's counts of the current minute, created if missing.

    None if ``MAX_SERVICES`` other services are counted already.
    """
    services = counts.minutes[-1].services
    found = services.get(service)
    if found is None and len(services) < MAX_SERVICES:
        found = services[service] = ServiceCounts()
    return found


def start_new_periods(
    counts: Counts, now_ms: int, data_centres_out: frozenset[str]
) -> None:
    """Start a new minute, hour or day if the current one is over.

    A clock that runs backwards starts no period.

    Parameters
    ----------
    counts : Counts
    now_ms : int
        Unix time.
    data_centres_out : frozenset of str
        Data centres out of service in the configuration in force.
    """
    minute_ms = _compute_period_start(now_ms, MINUTE_MS)
    if minute_ms > counts.minutes[-1].start_ms:
        for long_period in (counts.hours[-1], counts.days[-1]):
            _add_minute(counts.minutes[-1], long_period)
        counts.minutes.append(Period(minute_ms))
    for periods, length_ms in ((counts.hours, HOUR_MS), (counts.days, DAY_MS)):
        start_ms = _compute_period_start(now_ms, length_ms)
        if start_ms > periods[-1].start_ms:
            periods.append(Period(start_ms))
    counts.minutes[-1].data_centres_out |= data_centres_out


def add_totals(into: ServiceCounts, other: ServiceCounts) -> None:
    """Add the counts of ``other`` to ``into``, without the latency histogram."""
    into.succeeded += other.succeeded
    into.failed += other.failed
    into.slow += other.slow
    into.served += other.served
    into.moved_planned += other.moved_planned
    into.moved_unplanned += other.moved_unplanned
    into.unavailable_shard_ms += other.unavailable_shard_ms


def add_service_counts(into: ServiceCounts, other: ServiceCounts) -> None:
    """Add the counts of ``other`` to ``into``."""
    add_totals(into, other)
    histogram.add(into.latency, other.latency)


def _compute_period_start(now_ms: int, length_ms: int) -> int:
    return now_ms - now_ms % length_ms


def _add_minute(minute: Period, long_period: Period) -> None:
    long_period.data_centres_out |= minute.data_centres_out
    for service, found in minute.services.items():
        add_totals(long_period.services.setdefault(service, ServiceCounts()), found)
