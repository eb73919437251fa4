"""Ramp: raises the concurrency limit step by step after an upstream starts."""

from typing import NamedTuple

from fuchsiamoor.core.configuration import ColdStart


class Ramp(NamedTuple):
    """A linear ramp from the initial number of requests to all slots.

    Parameters
    ----------
    cold_start : ColdStart
    slots : int
    started_ms : int
    """

    cold_start: ColdStart
    slots: int
    started_ms: int


def make_ramp(cold_start: ColdStart, slots: int, now_ms: int) -> Ramp:
    """Return a ramp that starts now."""
    return Ramp(cold_start, slots, now_ms)


def restart(ramp: Ramp, now_ms: int) -> Ramp:
    """Return the same ramp, started now."""
    return ramp._replace(started_ms=now_ms)


def compute_concurrency_limit(ramp: Ramp, now_ms: int) -> int:
    """Return how many requests the upstream may run at a time.

    Examples
    --------
    >>> ramp = make_ramp(ColdStart(initial_requests=2, ramp_ms=1_000), 20, now_ms=0)
    >>> times_ms = (0, 500, 999, 1_000, 5_000)
    >>> [compute_concurrency_limit(ramp, now_ms) for now_ms in times_ms]
    [2, 11, 19, 20, 20]
    """
    initial = min(ramp.cold_start.initial_requests, ramp.slots)
    elapsed_ms = now_ms - ramp.started_ms
    if elapsed_ms >= ramp.cold_start.ramp_ms:
        return ramp.slots
    return initial + (ramp.slots - initial) * elapsed_ms // ramp.cold_start.ramp_ms


def is_over(ramp: Ramp, now_ms: int) -> bool:
    """Return whether the ramp has ended and all slots may be used."""
    return now_ms - ramp.started_ms >= ramp.cold_start.ramp_ms
