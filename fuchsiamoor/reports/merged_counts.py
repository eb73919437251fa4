"""Merges the count snapshots of all daemons by service and period."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.reports import counts
from fuchsiamoor.reports.counts import CountsSnapshot, Period, ServiceCounts


@dataclass(slots=True)
class ServiceHistory:
    """Counts of one service, summed over all daemons.

    Parameters
    ----------
    minutes, hours, days : dict of int to ServiceCounts
        Keyed by the start of the period, in Unix milliseconds.
    served_by_instance : dict of str to int
        Requests run by each upstream in the retained minutes.
    """

    minutes: dict[int, ServiceCounts] = field(default_factory=dict)
    hours: dict[int, ServiceCounts] = field(default_factory=dict)
    days: dict[int, ServiceCounts] = field(default_factory=dict)
    served_by_instance: dict[str, int] = field(default_factory=dict)


class History(NamedTuple):
    """Merged counts of a deployment.

    Parameters
    ----------
    services : dict of str to ServiceHistory
    out_by_minute : dict of int to frozenset of str
        Data centres out of service, keyed by the start of the minute.
    latest_ms : int
        Start of the latest minute; 0 if there are no counts.
    oldest_since_ms, youngest_since_ms : int
        Earliest and latest start of the daemons whose counts are included.
    """

    services: dict[str, ServiceHistory]
    out_by_minute: dict[int, frozenset[str]]
    latest_ms: int
    oldest_since_ms: int
    youngest_since_ms: int


def merge_snapshots(snapshots: Sequence[CountsSnapshot]) -> History:
    """Merge the snapshots of several daemons."""
    services: dict[str, ServiceHistory] = defaultdict(ServiceHistory)
    out_by_minute: dict[int, frozenset[str]] = {}
    for snapshot in snapshots:
        services[snapshot.service].served_by_instance[snapshot.instance] = 0
        for minute in snapshot.minutes:
            out = out_by_minute.get(minute.start_ms, frozenset())
            out_by_minute[minute.start_ms] = out | minute.data_centres_out
    for snapshot in snapshots:
        for start_ms, service, found in _iterate_service_counts(snapshot.minutes):
            history = services[service]
            _add_counts(history.minutes, start_ms, found)
            if found.served:
                served = history.served_by_instance
                total = served.get(snapshot.instance, 0) + found.served
                served[snapshot.instance] = total
        for start_ms, service, found in _iterate_service_counts(snapshot.hours):
            _add_counts(services[service].hours, start_ms, found)
        for start_ms, service, found in _iterate_service_counts(snapshot.days):
            _add_counts(services[service].days, start_ms, found)
    return History(
        services=dict(services),
        out_by_minute=out_by_minute,
        latest_ms=max(out_by_minute, default=0),
        oldest_since_ms=min((found.since_ms for found in snapshots), default=0),
        youngest_since_ms=max((found.since_ms for found in snapshots), default=0),
    )


def sum_counts(parts: Iterable[ServiceCounts]) -> ServiceCounts:
    """Return the sum of counts, latency histograms included."""
    total = ServiceCounts()
    for part in parts:
        counts.add_service_counts(total, part)
    return total


def _iterate_service_counts(
    periods: Iterable[Period],
) -> Iterable[tuple[int, str, ServiceCounts]]:
    for period in periods:
        for service, found in period.services.items():
            yield period.start_ms, service, found


def _add_counts(
    into: dict[int, ServiceCounts], start_ms: int, found: ServiceCounts
) -> None:
    counts.add_service_counts(into.setdefault(start_ms, ServiceCounts()), found)
