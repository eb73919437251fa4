"""Limits: the concurrency that a warm upstream stands, and how long its runs take."""

from dataclasses import dataclass

LATENCY_WEIGHT = 0.1
REQUESTS_MIN = 1


@dataclass(slots=True)
class SlotLimit:
    """The limit of a warm upstream.

    Parameters
    ----------
    requests : int
        Least of the upstream's slots and connections.
    latency_ms : float
        Moving average of its answers, 0 before the first.
    """

    requests: int
    latency_ms: float = 0.0


def make_limit(slots: int, connections: int) -> SlotLimit:
    """Return the limit of an upstream that was not measured yet.

    Examples
    --------
    >>> make_limit(slots=20, connections=8).requests
    8
    """
    return SlotLimit(max(REQUESTS_MIN, min(slots, connections)))


def note_latency(limit: SlotLimit, latency_ms: float) -> None:
    """Take in the time of one whole answer."""
    if limit.latency_ms == 0.0:
        limit.latency_ms = latency_ms
        return
    limit.latency_ms += LATENCY_WEIGHT * (latency_ms - limit.latency_ms)
