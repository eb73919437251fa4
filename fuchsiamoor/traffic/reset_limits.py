"""How many requests an upstream that resets connections when it is full is sent.

A reset right after a request was sent tells that the upstream was full, but not whether
the request ran. One alone has other causes too; after a second one the limit is below
the number of runs at which it came. It rises by one run after some answers for each
run, until it is no longer needed.
"""

from dataclasses import dataclass

# A full upstream resets a request as it arrives; a run that ends so early is no run.
FULL_WITHIN_MS = 50
# An upstream may forget an idle connection well before its idle timeout, and reset what
# comes next. Only a connection that is new or was just in use tells of a full one.
FORGOTTEN_AFTER_MS = 50
# A higher limit is tried after so many answers for each run: one that is still needed
# costs a reset each time.
ROUNDS = 8
# Resets further apart are taken for single faults.
WINDOW_MS = 1_000


@dataclass(slots=True)
class ResetLimit:
    """The limit learnt from resets.

    Parameters
    ----------
    runs : int or None
        Largest number of runs at a time; None without a limit.
    answers : int
        Answers since the limit last changed.
    last_reset_ms : int or None
        Monotonic time of the latest reset that tells of a full upstream.
    """

    runs: int | None = None
    answers: int = 0
    last_reset_ms: int | None = None


def record_reset(limit: ResetLimit, running: int, after_ms: float, now_ms: int) -> bool:
    """Lower the limit after a reset; return whether it was lowered.

    Parameters
    ----------
    limit : ResetLimit
    running : int
        Requests at the upstream, with the one that was reset.
    after_ms : float
        Time from its sending to the reset.
    now_ms : int

    Examples
    --------
    >>> limit = ResetLimit()
    >>> record_reset(limit, 8, 2, 0), record_reset(limit, 7, 2, 10), limit.runs
    (False, True, 6)
    >>> record_reset(limit, 4, 90, 20)
    False
    """
    if after_ms > FULL_WITHIN_MS:
        return False
    previous_ms, limit.last_reset_ms = limit.last_reset_ms, now_ms
    if previous_ms is None or now_ms - previous_ms > WINDOW_MS:
        return False
    runs = max(running - 1, 1)
    limit.runs = runs if limit.runs is None else min(limit.runs, runs)
    limit.answers = 0
    return True


def record_answer(limit: ResetLimit, slots: int) -> None:
    """Raise the limit after `ROUNDS` answers for each run.

    Examples
    --------
    >>> limit = ResetLimit(runs=2, answers=15)
    >>> record_answer(limit, 4)
    >>> limit
    ResetLimit(runs=3, answers=0, last_reset_ms=None)
    """
    if limit.runs is None:
        return
    limit.answers += 1
    if limit.answers < limit.runs * ROUNDS:
        return
    limit.answers = 0
    limit.runs = limit.runs + 1 if limit.runs + 1 < slots else None


def compute_slots(limit: ResetLimit, slots: int) -> int:
    """Return how many of an upstream's slots may be used.

    Examples
    --------
    >>> compute_slots(ResetLimit(), 8), compute_slots(ResetLimit(runs=3), 8)
    (8, 3)
    """
    return slots if limit.runs is None else min(limit.runs, slots)
