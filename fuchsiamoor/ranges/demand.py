"""Offered load of an owner, in total and by key.

A sample is one request for a key and its expected run time. The work of the samples of
a sliding window, in percent of the capacity of the owner's slots in that window, is the
owner's utilization; above 100 the owner is overloaded.
"""

import bisect
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables

# Length of the sliding window: several times the longest usual run, but short compared
# with a load peak of seconds.
WINDOW_MS = 3_000
# Shortest time over which work is averaged: in a shorter one, a single long run weighs
# too much.
WINDOW_MIN_MS = 1_000
# Largest number of samples kept; an owner of a few dozen slots gets fewer per window.
SAMPLES_MAX = 4_000
# Weight of a new report in the moving average of an upstream's run time ratio.
WORK_PERCENT_WEIGHT = 0.03


class Sample(NamedTuple):
    """One request for a key.

    Parameters
    ----------
    at_ms : int
    key : int
    work_ms : float
        Expected run time at normal speed.
    """

    at_ms: int
    key: int
    work_ms: float


@dataclass(slots=True)
class Demand:
    """Offered load of the keys of an upstream.

    Parameters
    ----------
    samples : deque of Sample
        Oldest first.
    work_percent : float
        Moving average of the run time relative to the normal run time; 100 is normal.
    first_seen_ms : dict of int to int
        When each row was first seen, by fence.
    """

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=SAMPLES_MAX))
    work_percent: float = 100.0
    first_seen_ms: dict[int, int] = field(default_factory=dict)


def record_request(demand: Demand, key: int, work_ms: float, now_ms: int) -> None:
    """Record a request for a key."""
    demand.samples.append(Sample(now_ms, key, work_ms))


def record_work_percent(demand: Demand, work_percent: int) -> None:
    """Record a reported run time ratio in the moving average."""
    demand.work_percent += WORK_PERCENT_WEIGHT * (work_percent - demand.work_percent)


def list_recent_samples(
    demand: Demand, rows: Sequence[tables.Row], now_ms: int
) -> list[Sample]:
    """Return the samples of the window whose keys are in the given rows.

    The work of a sample is scaled up if its row has existed for a part of the window
    only.
    """
    while demand.samples and demand.samples[0].at_ms <= now_ms - WINDOW_MS:
        demand.samples.popleft()
    fences = {row.fence for row in rows}
    demand.first_seen_ms = {
        fence: demand.first_seen_ms.get(fence, now_ms) for fence in fences
    }
    firsts = [row.first for row in rows]
    found = []
    for sample in demand.samples:
        index = bisect.bisect_right(firsts, sample.key) - 1
        if index < 0 or sample.key > rows[index].last:
            continue
        age_ms = now_ms - demand.first_seen_ms[rows[index].fence]
        scale = WINDOW_MS / min(max(age_ms, WINDOW_MIN_MS), WINDOW_MS)
        found.append(sample._replace(work_ms=sample.work_ms * scale))
    return found


def compute_utilization_percent(
    demand: Demand, samples: Collection[Sample], slots: int
) -> int:
    """Return the offered load in percent of the capacity of the slots."""
    rate = sum(sample.work_ms for sample in samples) / WINDOW_MS
    return round(rate * demand.work_percent / max(slots, 1))
