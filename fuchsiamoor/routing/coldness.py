"""Coldness: tells from a daemon's own measurements that its upstream turned cold.

An upstream may lose its warm state without a word. What then shows first is that runs
take far longer than the slowest of late; they are noticed while they still run.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

OVERDUE_FACTOR = 3.0
OVERDUE_RUNS_MIN = 2
OVERDUE_MS_MIN = 20
PEAK_DECAY = 0.99


@dataclass(slots=True)
class Coldness:
    """Runs at the upstream, and the slowest of late.

    Parameters
    ----------
    started_ms : OrderedDict of int to int
        Start of each run by its number, oldest first.
    next_run : int
    peak_ms : float
        Slowest answer, decaying with each answer; 0 before the first.
    """

    started_ms: OrderedDict[int, int] = field(default_factory=OrderedDict)
    next_run: int = 0
    peak_ms: float = 0.0


def make_coldness() -> Coldness:
    """Return what is known before the first run."""
    return Coldness()


def note_start(coldness: Coldness, now_ms: int) -> int:
    """Take in that a run starts, and return its number."""
    coldness.next_run += 1
    coldness.started_ms[coldness.next_run] = now_ms
    return coldness.next_run


def note_answer(coldness: Coldness, run: int, latency_ms: float) -> None:
    """Take in a whole answer."""
    coldness.started_ms.pop(run, None)
    coldness.peak_ms = max(latency_ms, coldness.peak_ms * PEAK_DECAY)


def note_other_ending(coldness: Coldness, run: int) -> None:
    """Take in that a run ended without an answer."""
    coldness.started_ms.pop(run, None)


def forget_runs(coldness: Coldness) -> None:
    """Count none of the present runs against the upstream any more."""
    coldness.started_ms.clear()


def is_cold(coldness: Coldness, now_ms: int) -> bool:
    """Return whether at least half of what runs is overdue.

    Examples
    --------
    >>> coldness = make_coldness()
    >>> note_answer(coldness, note_start(coldness, 0), latency_ms=10)
    >>> runs = [note_start(coldness, now_ms) for now_ms in (10, 10, 60)]
    >>> is_cold(coldness, now_ms=40), is_cold(coldness, now_ms=61)
    (False, True)
    """
    if coldness.peak_ms == 0.0:
        return False
    allowed_ms = max(OVERDUE_MS_MIN, OVERDUE_FACTOR * coldness.peak_ms)
    overdue = 0
    for started_ms in coldness.started_ms.values():
        if now_ms - started_ms <= allowed_ms:
            break
        overdue += 1
    return overdue >= OVERDUE_RUNS_MIN and 2 * overdue >= len(coldness.started_ms)
