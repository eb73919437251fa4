"""How many requests an upstream that resets connections when it is full is sent.

A reset right after a request was sent tells that the upstream was full, but not whether
the request ran. Crashes, lost answers and faults of the network reset connections too:
resets only count while the upstream has many runs, and once it has answered another
request since the first of them. Then the limit is below the number of runs at which a
reset came. It rises by one run after some answers for each run, until it is no longer
needed.
"""

from dataclasses import dataclass

# A full upstream resets a request as it arrives, on the same machine; what comes later
# may be the lost answer of a short run.
FULL_WITHIN_MS = 10
# An upstream may forget an idle connection well before its idle timeout, and reset what
# comes next. Only a connection that is new or was just in use tells of a full one.
FORGOTTEN_AFTER_MS = 50
# A higher limit is tried after so many answers for each run: one that is still needed
# costs a reset each time, and one that is not needed costs room until then.
ROUNDS = 3
# An upstream with less than this share of its slots in use is not full.
FULL_SHARE = 0.5
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
    has_answered : bool
        Whether the upstream has answered a request since the first of these resets.
    """

    runs: int | None = None
    answers: int = 0
    last_reset_ms: int | None = None
    has_answered: bool = False


def record_reset(
    limit: ResetLimit, running: int, slots: int, after_ms: float, now_ms: int
) -> bool:
    """Lower the limit after a reset; return whether it was lowered.

    Parameters
    ----------
    limit : ResetLimit
    running : int
        Requests at the upstream, with the one that was reset.
    slots : int
    after_ms : float
        Time from its sending to the reset.
    now_ms : int

    Examples
    --------
    >>> limit = ResetLimit()
    >>> record_reset(limit, 8, 8, 2, 0)
    False
    >>> record_answer(limit, 8)
    >>> record_reset(limit, 7, 8, 2, 10), limit.runs
    (True, 6)
    >>> record_reset(limit, 6, 8, 90, 20)
    False
    """
    if after_ms > FULL_WITHIN_MS or running < FULL_SHARE * slots:
        return False
    previous_ms, limit.last_reset_ms = limit.last_reset_ms, now_ms
    if previous_ms is None or now_ms - previous_ms > WINDOW_MS:
        limit.has_answered = False
        return False
    if not limit.has_answered:
        return False
    runs = max(running - 1, 1)
    limit.runs = runs if limit.runs is None else min(limit.runs, runs)
    limit.answers = 0
    return True


def record_answer(limit: ResetLimit, slots: int) -> None:
    """Raise the limit after `ROUNDS` answers for each run.

    Examples
    --------
    >>> limit = ResetLimit(runs=2, answers=5)
    >>> record_answer(limit, 4)
    >>> limit.runs, limit.answers
    (3, 0)
    """
    limit.has_answered = True
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
