"""The measures of a deployment over the minutes kept: what the operators weigh."""

from collections.abc import Iterable
from typing import NamedTuple

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.reports import burn, histogram, merged
from fuchsiamoor.reports.counts import MINUTE_MS, CountsSnapshot, ServiceCounts

MINUTES_AFTER_A_MOVE = 2


class Quality(NamedTuple):
    """What callers got.

    Parameters
    ----------
    requests : int
    success_ratio : float or None
        None if there were no requests.
    p99_us : int or None
    """

    requests: int
    success_ratio: float | None
    p99_us: int | None


class ServiceMeasures(NamedTuple):
    """Measures of one service over the minutes kept.

    Parameters
    ----------
    service : str
    imbalance_ratio : float or None
        Requests of the busiest upstream over the mean of all.
    moved_planned, moved_unplanned : int
        Shards moved.
    unavailable_shard_ms : int
        Time without an owner, added over shards.
    failed : int
        Requests of callers that failed.
    p50_us, p99_us, p999_us : int or None
        Latency of the requests that succeeded.
    worst_minute_p99_us : int or None
    undisturbed : Quality
        In minutes with every data centre in service.
    data_centre_moves : Quality
        In minutes with a data centre out, leaving or just returned.
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
    """What the tool's ``report`` shows.

    Parameters
    ----------
    daemons : int
        Whose counts are here.
    unreachable : tuple of str
        Daemons that are known and did not answer.
    oldest_since_ms, youngest_since_ms : int
        Unix times of the daemons' starts; earlier counts are lost.
    minutes : int
        Minutes that the measures cover.
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
        For the services and their objectives.
    """
    history = merged.merge(snapshots)
    services = sorted(in_force.services)
    return Report(
        daemons=len(snapshots),
        unreachable=unreachable,
        oldest_since_ms=history.oldest_since_ms,
        youngest_since_ms=history.youngest_since_ms,
        minutes=len(history.out_by_minute),
        measures=tuple(measure_service(name, history) for name in services),
        burns=tuple(
            burn.compute_burn(name, in_force.services[name].objective, history)
            for name in services
        ),
    )


def measure_service(service: str, history: merged.History) -> ServiceMeasures:
    """Return the measures of one service."""
    found = history.services.get(service, merged.ServiceHistory())
    total = merged.sum_counts(found.minutes.values())
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
    """Return the minutes with a data centre out, and the few after each.

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
        for later in range(MINUTES_AFTER_A_MOVE + 1)
    }
    return near & out_by_minute.keys()


def _compute_imbalance(served: list[int]) -> float | None:
    total = sum(served)
    if total == 0:
        return None
    return max(served) * len(served) / total


def _compute_quality(parts: Iterable[ServiceCounts]) -> Quality:
    total = merged.sum_counts(parts)
    requests = total.succeeded + total.failed
    return Quality(
        requests=requests,
        success_ratio=total.succeeded / requests if requests else None,
        p99_us=histogram.compute_quantile_us(total.latency, 0.99),
    )
