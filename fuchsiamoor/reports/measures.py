"""Computes the operators' report: latency, imbalance, shard moves and burn rates."""

from collections.abc import Iterable
from typing import NamedTuple

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.reports import burn, histogram, merged_counts
from fuchsiamoor.reports.counts import MINUTE_MS, CountsSnapshot, ServiceCounts

DISTURBED_MINUTES_AFTER_RETURN = 2


class Quality(NamedTuple):
    """Success ratio and latency of the requests in a set of minutes.

    Parameters
    ----------
    requests : int
        Requests that count towards the objective.
    success_ratio : float or None
        None if there were no requests.
    p99_us : int or None
        None if no request succeeded.
    """

    requests: int
    success_ratio: float | None
    p99_us: int | None


class ServiceMeasures(NamedTuple):
    """Measures of one service over the minutes that the daemons retain.

    Parameters
    ----------
    service : str
    imbalance_ratio : float or None
        Requests run by the busiest upstream divided by the mean over all upstreams.
    moved_planned, moved_unplanned : int
        Shards that changed owner after a release, and after a loss of the owner.
    unavailable_shard_ms : int
        Time without an owner, summed over shards.
    failed : int
        Callers' requests that failed.
    p50_us, p99_us, p999_us : int or None
        Latency of successful requests.
    worst_minute_p99_us : int or None
        Highest 99th percentile of a single minute.
    undisturbed : Quality
        Minutes with every data centre in service.
    data_centre_moves : Quality
        Minutes with a data centre out of service, or just after its return.
    """

    service: str
    imbalance_ratio: float | None
    moved_planned: int
    moved_unplanned: int
    unavailable_shard_ms: int
    failed: int
    p50_us: int | None
    p99_us: int | None
    p999_us: int | None
    worst_minute_p99_us: int | None
    undisturbed: Quality
    data_centre_moves: Quality


class Report(NamedTuple):
    """Output of the tool's ``report`` command.

    Parameters
    ----------
    daemons : int
        Number of daemons whose counts are included.
    unreachable : tuple of str
        Known daemons that did not answer.
    oldest_since_ms, youngest_since_ms : int
        Earliest and latest start of a daemon, in Unix time; counts from before a
        daemon's start are lost.
    minutes : int
        Number of minutes that the measures cover.
    measures : tuple of ServiceMeasures
    burns : tuple of ServiceBurn
    """

    daemons: int
    unreachable: tuple[str, ...]
    oldest_since_ms: int
    youngest_since_ms: int
    minutes: int
    measures: tuple[ServiceMeasures, ...]
    burns: tuple[burn.ServiceBurn, ...]


def make_report(
    snapshots: list[CountsSnapshot],
    unreachable: tuple[str, ...],
    in_force: Configuration,
) -> Report:
    """Return the report of a deployment.

    Parameters
    ----------
    snapshots : list of CountsSnapshot
        One for each daemon that answered.
    unreachable : tuple of str
    in_force : Configuration
        Source of the services and their objectives.
    """
    history = merged_counts.merge_snapshots(snapshots)
    services = sorted(in_force.services)
    return Report(
        daemons=len(snapshots),
        unreachable=unreachable,
        oldest_since_ms=history.oldest_since_ms,
        youngest_since_ms=history.youngest_since_ms,
        minutes=len(history.out_by_minute),
        measures=tuple(compute_service_measures(name, history) for name in services),
        burns=tuple(
            burn.compute_burn(name, in_force.services[name].objective, history)
            for name in services
        ),
    )


def compute_service_measures(
    service: str, history: merged_counts.History
) -> ServiceMeasures:
    """Return the measures of one service."""
    found = history.services.get(service, merged_counts.ServiceHistory())
    total = merged_counts.sum_counts(found.minutes.values())
    disturbed = find_disturbed_minutes(history.out_by_minute)
    worst = [
        histogram.compute_quantile_us(minute.latency, 0.99) or 0
        for minute in found.minutes.values()
    ]
    return ServiceMeasures(
        service=service,
        imbalance_ratio=_compute_imbalance(list(found.served_by_instance.values())),
        moved_planned=total.moved_planned,
        moved_unplanned=total.moved_unplanned,
        unavailable_shard_ms=total.unavailable_shard_ms,
        failed=total.failed,
        p50_us=histogram.compute_quantile_us(total.latency, 0.5),
        p99_us=histogram.compute_quantile_us(total.latency, 0.99),
        p999_us=histogram.compute_quantile_us(total.latency, 0.999),
        worst_minute_p99_us=max(worst, default=0) or None,
        undisturbed=_compute_quality(
            counted
            for start_ms, counted in found.minutes.items()
            if start_ms not in disturbed
        ),
        data_centre_moves=_compute_quality(
            counted
            for start_ms, counted in found.minutes.items()
            if start_ms in disturbed
        ),
    )


def find_disturbed_minutes(out_by_minute: dict[int, frozenset[str]]) -> set[int]:
    """Return the minutes with a data centre out of service, and those just after.

    Examples
    --------
    >>> out = {0: frozenset(), 60_000: frozenset({"a"}), 120_000: frozenset()}
    >>> sorted(find_disturbed_minutes(out | {300_000: frozenset()}))
    [60000, 120000]
    """
    out_starts = [start_ms for start_ms, out in out_by_minute.items() if out]
    near = {
        start_ms + later * MINUTE_MS
        for start_ms in out_starts
        for later in range(DISTURBED_MINUTES_AFTER_RETURN + 1)
    }
    return near & out_by_minute.keys()


def _compute_imbalance(served: list[int]) -> float | None:
    total = sum(served)
    if total == 0:
        return None
    return max(served) * len(served) / total


def _compute_quality(parts: Iterable[ServiceCounts]) -> Quality:
    total = merged_counts.sum_counts(parts)
    requests = total.succeeded + total.failed
    return Quality(
        requests=requests,
        success_ratio=total.succeeded / requests if requests else None,
        p99_us=histogram.compute_quantile_us(total.latency, 0.99),
    )
