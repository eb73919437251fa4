"""Concurrency limit of a warm upstream, and the average latency of its answers."""

from dataclasses import dataclass

LATENCY_WEIGHT = 0.1
REQUESTS_MIN = 1


@dataclass(slots=True)
class ConcurrencyLimit:
    """The concurrency limit of a warm upstream.

    Parameters
    ----------
    requests : int
        The smaller of the upstream's slots and connections.
    latency_ms : float
        Moving average of the latency of its answers, 0 before the first.
    """

    requests: int
    latency_ms: float = 0.0


def make_limit(slots: int, connections: int) -> ConcurrencyLimit:
    """Return the limit of an upstream that has not been measured yet.

    Examples
    --------
    >>> make_limit(slots=20, connections=8).requests
    8
    """
    return ConcurrencyLimit(max(REQUESTS_MIN, min(slots, connections)))


def record_latency(limit: ConcurrencyLimit, latency_ms: float) -> None:
    """Update the moving average with the latency of one complete answer."""
    if limit.latency_ms == 0.0:
        limit.latency_ms = latency_ms
        return
    limit.latency_ms += LATENCY_WEIGHT * (latency_ms - limit.latency_ms)
