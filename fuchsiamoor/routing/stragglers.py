"""Stragglers: when a slow answer is worth a second sending elsewhere."""

from dataclasses import dataclass, field

WINDOW_REQUESTS = 128
HEDGE_QUANTILE = 0.95
HEDGE_MIN_MS = 2
HEDGE_DEFAULT_MS = 50
REFRESH_REQUESTS = 16


@dataclass(slots=True)
class Latencies:
    """The last latencies of one service as this daemon measured them.

    Parameters
    ----------
    window_ms : list of float
        Ring of the last `WINDOW_REQUESTS`.
    next_index : int
    hedge_ms : int
        Delay before a hedge, renewed every `REFRESH_REQUESTS`.
    """

    window_ms: list[float] = field(default_factory=list)
    next_index: int = 0
    hedge_ms: int = HEDGE_DEFAULT_MS


def make_latencies() -> Latencies:
    """Return latencies of nothing."""
    return Latencies()


def note_latency(latencies: Latencies, latency_ms: float) -> None:
    """Take in the time of one whole answer."""
    if len(latencies.window_ms) < WINDOW_REQUESTS:
        latencies.window_ms.append(latency_ms)
    else:
        latencies.window_ms[latencies.next_index] = latency_ms
    latencies.next_index = (latencies.next_index + 1) % WINDOW_REQUESTS
    if latencies.next_index % REFRESH_REQUESTS == 0:
        latencies.hedge_ms = _compute_hedge_ms(latencies.window_ms)


def _compute_hedge_ms(window_ms: list[float]) -> int:
    ordered = sorted(window_ms)
    index = min(int(len(ordered) * HEDGE_QUANTILE), len(ordered) - 1)
    return max(HEDGE_MIN_MS, int(ordered[index]) + 1)
