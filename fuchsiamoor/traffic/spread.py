"""Spread: which instance serves a request best, with what its way there costs.

An answer in time is worth 1, one that is late `LATE_WORTH`; how likely it is to be in
time follows from the time expected. Bytes between regions and data centres cost a part
of that worth. Each daemon tells its load with every answer; what was told ages, and
requests sent since then count on top of it.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.carried import Load

# Worth of a late answer, of one in time 1.
LATE_WORTH = 0.3
# Worth of a kilobyte on the way between regions, and between data centres of one: what
# operators pay for links, as against an answer in time.
REGION_KB_WORTH = 0.09
DATA_CENTRE_KB_WORTH = 0.012
# Bytes of head and framing that travel besides an answer's body, both ways together.
OVERHEAD_BYTES = 900
BODY_BYTES_FIRST = 2_000.0
# Times expected are wrong by about this share of the time that is left.
UNCERTAINTY = 0.15
# An answer expected at this share of the time left is as likely late as in time.
EVEN_SHARE = 0.8
# Round trips, in milliseconds, until one is measured.
REGION_ROUND_TRIP_MS = 25.0
DATA_CENTRE_ROUND_TRIP_MS = 4.0
# Told load is worth half after this time.
LOAD_HALF_LIFE_MS = 400.0
# An instance that refused or could not be reached is avoided for this time.
AVOID_MS = 400
# Failures in a row that make an instance suspect.
SUSPECT_FAILURES = 3


class Place(NamedTuple):
    """Where an instance is, seen from this daemon."""

    name: str
    region: str
    data_centre: str


@dataclass(slots=True)
class View:
    """What this daemon knows of one instance.

    Parameters
    ----------
    load : Load or None
    told_ms : int
        When the load was told.
    sent_since : int
        Requests sent after that.
    in_flight : int
        Requests sent and not ended.
    avoid_until_ms : int
    failures : int
        Failures in a row.
    slowness : float
        Moving average of its run times relative to others; 1 is usual.
    """

    load: Load | None = None
    told_ms: int = 0
    sent_since: int = 0
    in_flight: int = 0
    avoid_until_ms: int = 0
    failures: int = 0
    slowness: float = 1.0


@dataclass(slots=True)
class Views:
    """Views by instance name, and usual run times and sizes of answers by route."""

    by_name: dict[str, View] = field(default_factory=dict)
    body_bytes: dict[str, float] = field(default_factory=dict)
    run_ms: dict[str, float] = field(default_factory=dict)


def make_views() -> Views:
    """Return views of nobody."""
    return Views()


def find_view(views: Views, name: str) -> View:
    """Return what is known of an instance, starting a record if there is none."""
    view = views.by_name.get(name)
    if view is None:
        view = views.by_name[name] = View()
    return view


def note_sent(views: Views, name: str) -> None:
    """Count a request as sent."""
    view = find_view(views, name)
    view.in_flight += 1
    view.sent_since += 1


def note_ended(views: Views, name: str) -> None:
    """Count a request as ended, however it did."""
    find_view(views, name).in_flight -= 1


def note_load(views: Views, name: str, load: Load, now_ms: int) -> None:
    """Take in a told load."""
    view = find_view(views, name)
    view.load = load
    view.told_ms = now_ms
    view.sent_since = 0


def note_run(
    views: Views, name: str, route: str, run_ms: float, body_bytes: int
) -> None:
    """Take in the time of one whole run at an instance, and its answer's size."""
    known_bytes = views.body_bytes.get(route, float(body_bytes))
    views.body_bytes[route] = known_bytes + 0.05 * (body_bytes - known_bytes)
    view = find_view(views, name)
    view.failures = 0
    usual_ms = views.run_ms.get(route)
    if usual_ms is None:
        views.run_ms[route] = run_ms
        return
    views.run_ms[route] = usual_ms + 0.05 * (run_ms - usual_ms)
    relative = min(run_ms / max(usual_ms, 1.0), 5.0)
    view.slowness += 0.1 * (relative - view.slowness)


def note_refused(views: Views, name: str, now_ms: int) -> None:
    """Avoid an instance for a moment."""
    find_view(views, name).avoid_until_ms = now_ms + AVOID_MS


def note_failed(views: Views, name: str, now_ms: int) -> None:
    """Take in a request that was lost there; several in a row keep others away."""
    view = find_view(views, name)
    view.failures += 1
    if view.failures >= SUSPECT_FAILURES:
        view.avoid_until_ms = now_ms + AVOID_MS * min(view.failures, 6)


def estimate_ms(
    views: Views, own: Place, place: Place, route: str, now_ms: int
) -> float:
    """Return the expected time of one more request, in milliseconds."""
    view = find_view(views, place.name)
    run_ms = views.run_ms.get(route, 200.0) * view.slowness
    total_ms = run_ms + _estimate_wait_ms(view, run_ms, now_ms)
    if place.region != own.region:
        return total_ms + REGION_ROUND_TRIP_MS
    if place.data_centre != own.data_centre:
        return total_ms + DATA_CENTRE_ROUND_TRIP_MS
    return total_ms


def estimate_worth(
    views: Views, own: Place, place: Place, route: str, in_time_ms: int, now_ms: int
) -> float:
    """Return what sending a request to an instance is likely to be worth.

    Parameters
    ----------
    views : Views
    own, place : Place
    route : str
    in_time_ms : int
        Time that is left for an answer in time.
    now_ms : int
    """
    expected_ms = estimate_ms(views, own, place, route, now_ms)
    size_kb = (views.body_bytes.get(route, BODY_BYTES_FIRST) + OVERHEAD_BYTES) / 1000
    worth = _worth_of_time(expected_ms, in_time_ms)
    if place.region != own.region:
        return worth - REGION_KB_WORTH * size_kb
    if place.data_centre != own.data_centre:
        return worth - DATA_CENTRE_KB_WORTH * size_kb
    return worth


def _worth_of_time(expected_ms: float, in_time_ms: int) -> float:
    """Return the worth of an answer expected after a time."""
    scale_ms = max(in_time_ms, 100)
    off = (expected_ms - EVEN_SHARE * in_time_ms) / (UNCERTAINTY * scale_ms)
    in_time = 1 / (1 + math.exp(min(max(off, -30.0), 30.0)))
    # Among late answers an earlier one is better.
    late = LATE_WORTH / (1 + expected_ms / (10 * scale_ms))
    return in_time + (1 - in_time) * late


def _estimate_wait_ms(view: View, run_ms: float, now_ms: int) -> float:
    load = view.load
    if load is None:
        return run_ms * view.in_flight / 16
    fresh = 0.5 ** ((now_ms - view.told_ms) / LOAD_HALF_LIFE_MS)
    slots = max(load.slots, 1)
    running = max(load.running * fresh + view.sent_since, view.in_flight)
    wait_ms = load.wait_ms * fresh
    over = running + load.waiting * fresh - slots
    if over > 0:
        wait_ms = max(wait_ms, run_ms * over / slots)
    # Upstreams slow down as they fill.
    crowding = run_ms * 0.3 * (running / slots) ** 2
    spell = run_ms * 0.5 * fresh * max(load.work_percent - 100, 0) / 100
    return wait_ms + crowding + spell


def choose(
    views: Views,
    own: Place,
    places: Iterable[Place],
    tried: Collection[str],
    route: str,
    in_time_ms: int,
    now_ms: int,
) -> Place | None:
    """Return the instance that is likely worth most, None if all were tried.

    Instances that refused a moment ago are taken only where no other is left.
    """
    best, best_key = None, None
    for place in places:
        if place.name in tried:
            continue
        view = find_view(views, place.name)
        is_avoided = now_ms < view.avoid_until_ms or (
            view.load is not None and not view.load.is_open
        )
        worth = estimate_worth(views, own, place, route, in_time_ms, now_ms)
        key = (not is_avoided, worth)
        if best_key is None or key > best_key:
            best, best_key = place, key
    return best
