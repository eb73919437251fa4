"""Demand: how much work an owner is asked for, and on which of its keys.

A sample is one request that came for a key, with the time that its run takes. What the
samples of the last moments add up to, as a share of what the slots can do meanwhile, is
the owner's utilization; over 100% it is asked for more than it can do.
"""

import bisect
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables

# Time over which demand is added up: several runs of the longest usual kind, and short
# beside a hot spell of seconds.
WINDOW_MS = 3_000
# A shorter time tells too little: one long run is a large part of it.
WINDOW_MIN_MS = 1_000
# Samples kept at most; more than an owner of some dozen slots is asked for in a window.
SAMPLES_MAX = 4_000
# Weight of one report in the moving average of an upstream's speed.
SPEED_WEIGHT = 0.03


class Sample(NamedTuple):
    """One request that came for a key.

    Parameters
    ----------
    at_ms : int
    key : int
    work_ms : float
        Time of its run at usual speed.
    """

    at_ms: int
    key: int
    work_ms: float


@dataclass(slots=True)
class Demand:
    """What an upstream's keys are asked for.

    Parameters
    ----------
    samples : deque of Sample
        Oldest first.
    work_percent : float
        Moving average of how long work takes here; 100 is usual.
    granted_ms : dict of int to int
        When a row was seen first, by its fence.
    """

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=SAMPLES_MAX))
    work_percent: float = 100.0
    granted_ms: dict[int, int] = field(default_factory=dict)


def note_request(demand: Demand, key: int, work_ms: float, now_ms: int) -> None:
    """Take in a request that came for a key."""
    demand.samples.append(Sample(now_ms, key, work_ms))


def note_speed(demand: Demand, work_percent: int) -> None:
    """Take in how long work takes at this moment."""
    demand.work_percent += SPEED_WEIGHT * (work_percent - demand.work_percent)


def list_recent(
    demand: Demand, rows: Sequence[tables.Row], now_ms: int
) -> list[Sample]:
    """Return the samples of the window on keys of some rows.

    The work of a sample is scaled up where its row was there for a part of the window
    only.
    """
    while demand.samples and demand.samples[0].at_ms <= now_ms - WINDOW_MS:
        demand.samples.popleft()
    fences = {row.fence for row in rows}
    demand.granted_ms = {
        fence: demand.granted_ms.get(fence, now_ms) for fence in fences
    }
    firsts = [row.first for row in rows]
    found = []
    for sample in demand.samples:
        index = bisect.bisect_right(firsts, sample.key) - 1
        if index < 0 or sample.key > rows[index].last:
            continue
        age_ms = now_ms - demand.granted_ms[rows[index].fence]
        scale = WINDOW_MS / min(max(age_ms, WINDOW_MIN_MS), WINDOW_MS)
        found.append(sample._replace(work_ms=sample.work_ms * scale))
    return found


def compute_asked_percent(
    demand: Demand, samples: Collection[Sample], slots: int
) -> int:
    """Return the work asked for, in percent of what the slots can do."""
    rate = sum(sample.work_ms for sample in samples) / WINDOW_MS
    return round(rate * demand.work_percent / max(slots, 1))
