"""Hedging: after which delay a slow request is sent to a second upstream."""

from dataclasses import dataclass, field

WINDOW_REQUESTS = 128
HEDGE_QUANTILE = 0.95
HEDGE_MIN_MS = 2
HEDGE_DEFAULT_MS = 50
REFRESH_REQUESTS = 16


@dataclass(slots=True)
class LatencyWindow:
    """The latest latencies of one service, as measured by this daemon.

    Parameters
    ----------
    latencies_ms : list of float
        Ring buffer of the last `WINDOW_REQUESTS` latencies.
    next_index : int
        Where the next latency is written.
    hedge_delay_ms : int
        Delay before a hedge, recomputed every `REFRESH_REQUESTS` requests.
    """

    latencies_ms: list[float] = field(default_factory=list)
    next_index: int = 0
    hedge_delay_ms: int = HEDGE_DEFAULT_MS


def make_latency_window() -> LatencyWindow:
    """Return an empty window."""
    return LatencyWindow()


def record_latency(window: LatencyWindow, latency_ms: float) -> None:
    """Record the latency of one complete answer."""
    if len(window.latencies_ms) < WINDOW_REQUESTS:
        window.latencies_ms.append(latency_ms)
    else:
        window.latencies_ms[window.next_index] = latency_ms
    window.next_index = (window.next_index + 1) % WINDOW_REQUESTS
    if window.next_index % REFRESH_REQUESTS == 0:
        window.hedge_delay_ms = _compute_hedge_delay_ms(window.latencies_ms)


def _compute_hedge_delay_ms(latencies_ms: list[float]) -> int:
    ordered = sorted(latencies_ms)
    index = min(int(len(ordered) * HEDGE_QUANTILE), len(ordered) - 1)
    return max(HEDGE_MIN_MS, int(ordered[index]) + 1)
