"""Coldness: tells from a daemon's own measurements that its upstream turned cold.

An upstream may lose its warm state without a word. What then shows first is that the
requests it runs grow old. Their mean age is compared with what it usually is; the fewer
run, the further it may stray by chance.
"""

import math
from dataclasses import dataclass, field

RUNS_MIN = 4
ANSWERS_MIN = 50
AGE_WEIGHT = 0.01
DEVIATIONS_MAX = 8.0
AGE_MS_MIN = 5.0


@dataclass(slots=True)
class Coldness:
    """Runs at the upstream, and their usual age.

    Parameters
    ----------
    started_ms : dict of int to int
        Start of each run by its number.
    started_sum_ms : int
        Sum of the starts.
    next_run : int
    usual_age_ms : float
        Moving average of the mean age of runs.
    answer_count : int
    """

    started_ms: dict[int, int] = field(default_factory=dict)
    started_sum_ms: int = 0
    next_run: int = 0
    usual_age_ms: float = 0.0
    answer_count: int = 0


def make_coldness() -> Coldness:
    """Return what is known before the first run."""
    return Coldness()


def note_start(coldness: Coldness, now_ms: int) -> int:
    """Take in that a run starts, and return its number."""
    coldness.next_run += 1
    coldness.started_ms[coldness.next_run] = now_ms
    coldness.started_sum_ms += now_ms
    return coldness.next_run


def note_answer(coldness: Coldness, run: int, now_ms: int) -> None:
    """Take in a whole answer."""
    if run not in coldness.started_ms:
        return
    coldness.answer_count += 1
    weight = max(AGE_WEIGHT, 1 / coldness.answer_count)
    age_ms = _compute_age_ms(coldness, now_ms)
    coldness.usual_age_ms += weight * (age_ms - coldness.usual_age_ms)
    note_other_ending(coldness, run)


def note_other_ending(coldness: Coldness, run: int) -> None:
    """Take in that a run ended without an answer."""
    coldness.started_sum_ms -= coldness.started_ms.pop(run, 0)


def forget_runs(coldness: Coldness) -> None:
    """Count none of the present runs against the upstream any more."""
    coldness.started_ms.clear()
    coldness.started_sum_ms = 0


def is_cold(coldness: Coldness, now_ms: int) -> bool:
    """Return whether what runs is far older than usual.

    Examples
    --------
    >>> coldness = make_coldness()
    >>> for start_ms in range(0, 1_000, 10):
    ...     note_answer(coldness, note_start(coldness, start_ms), start_ms + 10)
    >>> runs = [note_start(coldness, 1_000) for _ in range(4)]
    >>> is_cold(coldness, now_ms=1_040), is_cold(coldness, now_ms=1_060)
    (False, True)
    """
    count = len(coldness.started_ms)
    if count < RUNS_MIN or coldness.answer_count < ANSWERS_MIN:
        return False
    usual_ms = max(coldness.usual_age_ms, AGE_MS_MIN)
    allowed_ms = usual_ms * (1 + DEVIATIONS_MAX / math.sqrt(count))
    return _compute_age_ms(coldness, now_ms) > allowed_ms


def _compute_age_ms(coldness: Coldness, now_ms: int) -> float:
    return now_ms - coldness.started_sum_ms / len(coldness.started_ms)
