"""Cold detection: recognises by latency that the upstream has lost its warm state.

An upstream may lose its caches without reporting it. The first sign is that the
requests in flight grow older. Their mean age is compared with its moving average; the
fewer requests are in flight, the larger the deviation that chance alone explains.
"""

import math
from dataclasses import dataclass, field

RUNS_MIN = 4
ANSWERS_MIN = 50
AGE_WEIGHT = 0.01
DEVIATIONS_MAX = 8.0
AGE_MS_MIN = 5.0


@dataclass(slots=True)
class ColdDetector:
    """Runs in flight at the upstream, and their usual mean age.

    Parameters
    ----------
    started_ms : dict of int to int
        Start of each run by its number.
    started_sum_ms : int
        Sum of the starts.
    last_run : int
        Number of the latest run.
    usual_age_ms : float
        Moving average of the mean age of runs.
    answer_count : int
    """

    started_ms: dict[int, int] = field(default_factory=dict)
    started_sum_ms: int = 0
    last_run: int = 0
    usual_age_ms: float = 0.0
    answer_count: int = 0


def make_cold_detector() -> ColdDetector:
    """Return a detector without any runs."""
    return ColdDetector()


def record_start(detector: ColdDetector, now_ms: int) -> int:
    """Record that a run starts, and return its number."""
    detector.last_run += 1
    detector.started_ms[detector.last_run] = now_ms
    detector.started_sum_ms += now_ms
    return detector.last_run


def record_answer(detector: ColdDetector, run: int, now_ms: int) -> None:
    """Record that a run ended with a complete answer."""
    if run not in detector.started_ms:
        return
    detector.answer_count += 1
    weight = max(AGE_WEIGHT, 1 / detector.answer_count)
    age_ms = _compute_mean_age_ms(detector, now_ms)
    detector.usual_age_ms += weight * (age_ms - detector.usual_age_ms)
    record_end(detector, run)


def record_end(detector: ColdDetector, run: int) -> None:
    """Remove a run that ended, with or without an answer."""
    detector.started_sum_ms -= detector.started_ms.pop(run, 0)


def clear_runs(detector: ColdDetector) -> None:
    """Remove the runs in flight, so that they no longer count as signs of coldness."""
    detector.started_ms.clear()
    detector.started_sum_ms = 0


def is_cold(detector: ColdDetector, now_ms: int) -> bool:
    """Return whether the runs in flight are far older than usual.

    Examples
    --------
    >>> detector = make_cold_detector()
    >>> for start_ms in range(0, 1_000, 10):
    ...     record_answer(detector, record_start(detector, start_ms), start_ms + 10)
    >>> runs = [record_start(detector, 1_000) for _ in range(4)]
    >>> is_cold(detector, now_ms=1_040), is_cold(detector, now_ms=1_060)
    (False, True)
    """
    count = len(detector.started_ms)
    if count < RUNS_MIN or detector.answer_count < ANSWERS_MIN:
        return False
    usual_ms = max(detector.usual_age_ms, AGE_MS_MIN)
    allowed_ms = usual_ms * (1 + DEVIATIONS_MAX / math.sqrt(count))
    return _compute_mean_age_ms(detector, now_ms) > allowed_ms


def _compute_mean_age_ms(detector: ColdDetector, now_ms: int) -> float:
    return now_ms - detector.started_sum_ms / len(detector.started_ms)
