"""Load balancing: chooses the instance for a request by expected latency and link cost.

An answer in time has the value 1 and a late one `LATE_VALUE`; the probability of an
answer in time follows from the expected latency. The cost of the bytes sent between
regions or data centres is subtracted. Each daemon reports its load with every answer;
a report loses weight with age, and requests sent since it are added to it.
"""

import heapq
import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from fuchsiamoor.core.carried import Load

# Value of a late answer; an answer in time has the value 1.
LATE_VALUE = 0.3
# Cost of a kilobyte sent between regions, and between data centres of one region: what
# operators pay for links, relative to the value of an answer in time.
REGION_COST_PER_KB = 0.09
DATA_CENTRE_COST_PER_KB = 0.012
# Bytes of headers and framing sent besides an answer's body, both directions together.
OVERHEAD_BYTES = 900
# Size of an answer's body assumed for a route without measurements.
DEFAULT_BODY_BYTES = 2_000.0
# Error of the expected latency, as a share of the time left.
ESTIMATE_ERROR_SHARE = 0.15
# An answer expected after this share of the time left is as likely late as in time.
EVEN_ODDS_SHARE = 0.8
# Assumed network round trips, in milliseconds.
REGION_ROUND_TRIP_MS = 25.0
DATA_CENTRE_ROUND_TRIP_MS = 4.0
# A load report has half its weight after this time.
LOAD_HALF_LIFE_MS = 400.0
# An instance that refused a request or was unreachable is avoided for this time, and
# one with consecutive failures for up to six times as long.
AVOID_MS = 400
# Consecutive failures after which an instance is avoided.
SUSPECT_FAILURES = 3


# Instances of its own region, and of other regions, that a daemon usually considers.
# Fewer instances mean more recent reports of each, and fewer links.
NEAR_MAX = 8
# Those of its own data centre among the first, if it has as many: bytes between data
# centres cost, and answers come sooner. The others take over when it is full.
NEAR_SAME_CENTRE = 5
FAR_MAX = 8
# Instances of other regions considered for one request, drawn at random.
FAR_DRAWN = 2
# An older load report is renewed before a request is sent: half the time after which
# it has half its weight.
FRESH_REPORT_MS = 200


class Location(NamedTuple):
    """An instance with its region and data centre."""

    name: str
    region: str
    data_centre: str


class Candidates(NamedTuple):
    """The instances of a service to which one daemon may send a request.

    Parameters
    ----------
    own : Location or None
        The instance beside the daemon, if it belongs to the service.
    near, far : tuple of Location
        The instances usually considered in the own region and in others. Each daemon
        has its own choice of them, so that all instances have about as many daemons.
    rest : tuple of Location
        The others, considered if all of these have been tried or are avoided.
    """

    own: Location | None
    near: tuple[Location, ...]
    far: tuple[Location, ...]
    rest: tuple[Location, ...]


@dataclass(slots=True)
class InstanceStats:
    """Statistics of this daemon about one instance.

    Parameters
    ----------
    load : Load or None
    reported_ms : int
        When the load was reported.
    sent_since_report : int
        Requests sent after that report.
    in_flight : int
        Requests sent and not ended.
    avoid_until_ms : int
        Until when other instances are preferred.
    failures : int
        Consecutive failures.
    slowdown : float
        Moving average of its run times relative to other instances; 1 is normal.
    """

    load: Load | None = None
    reported_ms: int = 0
    sent_since_report: int = 0
    in_flight: int = 0
    avoid_until_ms: int = 0
    failures: int = 0
    slowdown: float = 1.0


@dataclass(slots=True)
class SelectionStats:
    """Statistics by instance; average run time and body size of answers by route."""

    by_instance: dict[str, InstanceStats] = field(default_factory=dict)
    body_bytes: dict[str, float] = field(default_factory=dict)
    run_ms: dict[str, float] = field(default_factory=dict)


def make_selection_stats() -> SelectionStats:
    """Return empty statistics."""
    return SelectionStats()


def find_instance_stats(stats: SelectionStats, name: str) -> InstanceStats:
    """Return the statistics of an instance, created if there are none."""
    instance = stats.by_instance.get(name)
    if instance is None:
        instance = stats.by_instance[name] = InstanceStats()
    return instance


def record_sent(stats: SelectionStats, name: str) -> None:
    """Record that a request was sent."""
    instance = find_instance_stats(stats, name)
    instance.in_flight += 1
    instance.sent_since_report += 1


def record_ended(stats: SelectionStats, name: str) -> None:
    """Record that a request ended, whatever its outcome."""
    find_instance_stats(stats, name).in_flight -= 1


def update_load(stats: SelectionStats, name: str, load: Load, now_ms: int) -> None:
    """Replace the load of an instance by a newer report."""
    instance = find_instance_stats(stats, name)
    instance.load = load
    instance.reported_ms = now_ms
    instance.sent_since_report = 0


def record_run(
    stats: SelectionStats, name: str, route: str, run_ms: float, body_bytes: int
) -> None:
    """Record the run time and body size of an answer from an instance."""
    # Moving averages: a new measurement has a weight of 0.05 for a route, and of 0.1
    # for an instance's slowdown.
    known_bytes = stats.body_bytes.get(route, float(body_bytes))
    stats.body_bytes[route] = known_bytes + 0.05 * (body_bytes - known_bytes)
    instance = find_instance_stats(stats, name)
    instance.failures = 0
    usual_ms = stats.run_ms.get(route)
    if usual_ms is None:
        stats.run_ms[route] = run_ms
        return
    stats.run_ms[route] = usual_ms + 0.05 * (run_ms - usual_ms)
    # Bounded, to limit the effect of one very long run.
    relative = min(run_ms / max(usual_ms, 1.0), 5.0)
    instance.slowdown += 0.1 * (relative - instance.slowdown)


def record_overtaken(
    stats: SelectionStats, name: str, route: str, elapsed_ms: float, now_ms: int
) -> None:
    """Record that a copy was answered first, ``elapsed_ms`` after the first sending.

    The run may never end, so that it also counts as failed.
    """
    instance = find_instance_stats(stats, name)
    usual_ms = stats.run_ms.get(route, elapsed_ms)
    relative = min(elapsed_ms / max(usual_ms, 1.0), 5.0)
    instance.slowdown += 0.1 * max(relative - instance.slowdown, 0.0)
    record_failure(stats, name, now_ms)


def record_refusal(stats: SelectionStats, name: str, now_ms: int) -> None:
    """Avoid an instance for `AVOID_MS` after it refused a request."""
    find_instance_stats(stats, name).avoid_until_ms = now_ms + AVOID_MS


def record_failure(stats: SelectionStats, name: str, now_ms: int) -> None:
    """Record a failed request; avoid the instance after consecutive failures."""
    instance = find_instance_stats(stats, name)
    instance.failures += 1
    if instance.failures >= SUSPECT_FAILURES:
        instance.avoid_until_ms = now_ms + AVOID_MS * min(instance.failures, 6)


def estimate_latency_ms(
    stats: SelectionStats, own: Location, location: Location, route: str, now_ms: int
) -> float:
    """Return the expected latency of one more request, in milliseconds."""
    instance = find_instance_stats(stats, location.name)
    # For a route without measurements, a run time of 200 ms is assumed.
    run_ms = stats.run_ms.get(route, 200.0) * instance.slowdown
    total_ms = run_ms + _estimate_wait_ms(instance, run_ms, now_ms)
    if location.region != own.region:
        return total_ms + REGION_ROUND_TRIP_MS
    if location.data_centre != own.data_centre:
        return total_ms + DATA_CENTRE_ROUND_TRIP_MS
    return total_ms


def estimate_value(
    stats: SelectionStats,
    own: Location,
    location: Location,
    route: str,
    in_time_ms: int,
    now_ms: int,
) -> float:
    """Return the expected value of sending a request to an instance.

    Parameters
    ----------
    stats : SelectionStats
    own, location : Location
    route : str
    in_time_ms : int
        Time left for an answer in time.
    now_ms : int
    """
    expected_ms = estimate_latency_ms(stats, own, location, route, now_ms)
    size_kb = (stats.body_bytes.get(route, DEFAULT_BODY_BYTES) + OVERHEAD_BYTES) / 1000
    value = _compute_latency_value(expected_ms, in_time_ms)
    if location.region != own.region:
        return value - REGION_COST_PER_KB * size_kb
    if location.data_centre != own.data_centre:
        return value - DATA_CENTRE_COST_PER_KB * size_kb
    return value


def _compute_latency_value(expected_ms: float, in_time_ms: int) -> float:
    """Return the value of an answer with an expected latency, without link cost."""
    # Bounded from below, as the time left may be zero or negative.
    scale_ms = max(in_time_ms, 100)
    deviation = (expected_ms - EVEN_ODDS_SHARE * in_time_ms) / (
        ESTIMATE_ERROR_SHARE * scale_ms
    )
    # Bounded, so that the exponential cannot overflow.
    in_time = 1 / (1 + math.exp(min(max(deviation, -30.0), 30.0)))
    # An earlier late answer is better than a later one.
    late = LATE_VALUE / (1 + expected_ms / (10 * scale_ms))
    return in_time + (1 - in_time) * late


def _estimate_wait_ms(instance: InstanceStats, run_ms: float, now_ms: int) -> float:
    load = instance.load
    if load is None:
        # Without a load report, 16 slots are assumed.
        return run_ms * instance.in_flight / 16
    freshness = 0.5 ** ((now_ms - instance.reported_ms) / LOAD_HALF_LIFE_MS)
    slots = max(load.slots, 1)
    running = max(
        load.running * freshness + instance.sent_since_report, instance.in_flight
    )
    wait_ms = load.wait_ms * freshness
    excess = running + load.waiting * freshness - slots
    if excess > 0:
        wait_ms = max(wait_ms, run_ms * excess / slots)
    # Run times grow with the share of slots in use, by 30 percent if all are in use.
    contention_ms = run_ms * 0.3 * (running / slots) ** 2
    # Half of the reported excess over the usual run time is added.
    slowdown_ms = run_ms * 0.5 * freshness * max(load.work_percent - 100, 0) / 100
    return wait_ms + contention_ms + slowdown_ms


def make_candidates(own: Location, locations: Iterable[Location]) -> Candidates:
    """Divide a service's instances into those usually considered and the rest.

    The choice is by rendezvous hashing: if an instance comes or goes, only the daemons
    that choose it are affected, each with one instance.
    """
    own_name = own.name.encode()

    def score(location: Location) -> int:
        return xxhash.xxh3_64_intdigest(b"%b|%b" % (own_name, location.name.encode()))

    beside, same_centre, same_region, far = None, [], [], []
    for location in locations:
        if location.name == own.name:
            beside = location
        elif location.region != own.region:
            far.append(location)
        elif location.data_centre == own.data_centre:
            same_centre.append(location)
        else:
            same_region.append(location)
    same_centre.sort(key=score, reverse=True)
    chosen_elsewhere = heapq.nlargest(
        NEAR_MAX - min(len(same_centre), NEAR_SAME_CENTRE), same_region, key=score
    )
    chosen_near = same_centre[: NEAR_MAX - len(chosen_elsewhere)] + chosen_elsewhere
    chosen_far = heapq.nlargest(FAR_MAX, far, key=score)
    chosen = {*chosen_near, *chosen_far}
    unchosen = (*same_centre, *same_region, *far)
    rest = tuple(location for location in unchosen if location not in chosen)
    return Candidates(beside, tuple(chosen_near), tuple(chosen_far), rest)


def draw_locations(
    stats: SelectionStats,
    candidates: Candidates,
    tried: Collection[str],
    now_ms: int,
    rng: random.Random,
) -> list[Location]:
    """Return the instances to choose from for one request, in random order.

    The instance beside the daemon comes first. The number of instances is bounded,
    unless none of the usual ones can be used.
    """
    beside = [candidates.own] if candidates.own is not None else []
    far = candidates.far
    if len(far) > FAR_DRAWN:
        far = rng.sample(far, FAR_DRAWN)
    usual = [*candidates.near, *far]
    rng.shuffle(usual)
    drawn = beside + usual
    if any(
        location.name not in tried and not _is_avoided(stats, location.name, now_ms)
        for location in drawn
    ):
        return drawn
    return [*drawn, *candidates.far, *candidates.rest]


def has_fresh_report(stats: SelectionStats, name: str, now_ms: int) -> bool:
    """Return whether the load of an instance is known well enough to send to it."""
    instance = find_instance_stats(stats, name)
    return instance.load is not None and now_ms - instance.reported_ms < FRESH_REPORT_MS


def _is_avoided(stats: SelectionStats, name: str, now_ms: int) -> bool:
    instance = find_instance_stats(stats, name)
    return now_ms < instance.avoid_until_ms or (
        instance.load is not None and not instance.load.is_open
    )


def choose_instances(
    stats: SelectionStats,
    own: Location,
    locations: Iterable[Location],
    tried: Collection[str],
    route: str,
    in_time_ms: int,
    now_ms: int,
    count: int = 1,
) -> list[Location]:
    """Return the instances of the highest expected value, best first.

    Avoided and closed instances come after all others.

    Parameters
    ----------
    stats : SelectionStats
    own : Location
    locations : iterable of Location
    tried : collection of str
        Names of instances that are left out.
    route : str
    in_time_ms : int
        Time left for an answer in time.
    now_ms : int
    count : int, optional
        Largest number of instances returned.
    """

    def rate(location: Location) -> tuple[bool, float]:
        return (
            not _is_avoided(stats, location.name, now_ms),
            estimate_value(stats, own, location, route, in_time_ms, now_ms),
        )

    left = [location for location in locations if location.name not in tried]
    return heapq.nlargest(count, left, key=rate)
