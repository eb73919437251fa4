"""Limits: the concurrency that an upstream stands, from its measured latency."""

from dataclasses import dataclass

LATENCY_WEIGHT = 0.1
LIMIT_MIN = 1


@dataclass(slots=True)
class AdaptiveLimit:
    """The limit in force.

    Parameters
    ----------
    requests : float
    requests_max : int
        Least of the upstream's slots and connections.
    latency_ms : float
        Moving average, 0 before the first answer.
    """

    requests: float
    requests_max: int
    latency_ms: float = 0.0


def make_limit(slots: int, connections: int) -> AdaptiveLimit:
    """Return the limit of an upstream that was not measured yet."""
    requests_max = max(LIMIT_MIN, min(slots, connections))
    return AdaptiveLimit(float(requests_max), requests_max)


def note_latency(limit: AdaptiveLimit, latency_ms: float) -> None:
    """Take in the time of one whole answer."""
    if limit.latency_ms == 0.0:
        limit.latency_ms = latency_ms
        return
    limit.latency_ms += LATENCY_WEIGHT * (latency_ms - limit.latency_ms)
