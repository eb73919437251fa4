"""Request rates of shards and keys, counted by their owner.

Counts cover one window and are reported as rates once the window has ended, so that
memory is bounded by what one window may hold. A hot key is counted early in a window,
before the bound on distinct keys is reached.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

WINDOW_MS = 2_000
MAX_KEYS = 4_096
REPORTED_SHARDS = 64
REPORTED_KEYS = 16


class Rates(NamedTuple):
    """Request rates of the last complete window.

    Parameters
    ----------
    shards : dict of int to int
        Requests per second of the busiest shards.
    keys : dict of int to int
        Requests per second of the busiest key hashes.
    """

    shards: dict[int, int]
    keys: dict[int, int]


@dataclass(slots=True)
class RateCounter:
    """Request counts of one domain.

    Parameters
    ----------
    window_start_ms : int
        Start of the current window.
    shards, keys : Counter
        Requests in the current window by shard and by key hash.
    rates : Rates
        Rates of the last complete window.
    """

    window_start_ms: int
    shards: Counter[int] = field(default_factory=Counter)
    keys: Counter[int] = field(default_factory=Counter)
    rates: Rates = field(default_factory=lambda: Rates({}, {}))


def make_rate_counter(now_ms: int) -> RateCounter:
    """Return a counter whose first window starts at a monotonic time."""
    return RateCounter(now_ms)


def record_request(counter: RateCounter, shard: int, key_hash: int) -> None:
    """Count one request."""
    counter.shards[shard] += 1
    if key_hash in counter.keys or len(counter.keys) < MAX_KEYS:
        counter.keys[key_hash] += 1


def read_rates(counter: RateCounter, now_ms: int) -> Rates:
    """Return the rates of the last complete window, and start a new one if due.

    Examples
    --------
    >>> counter = make_rate_counter(0)
    >>> for _ in range(10):
    ...     record_request(counter, 3, 77)
    >>> read_rates(counter, 1_000)
    Rates(shards={}, keys={})
    >>> read_rates(counter, 2_000)
    Rates(shards={3: 5}, keys={77: 5})
    """
    elapsed_ms = now_ms - counter.window_start_ms
    if elapsed_ms >= WINDOW_MS:
        counter.rates = Rates(
            _select_busiest(counter.shards, REPORTED_SHARDS, elapsed_ms),
            _select_busiest(counter.keys, REPORTED_KEYS, elapsed_ms),
        )
        counter.shards.clear()
        counter.keys.clear()
        counter.window_start_ms = now_ms
    return counter.rates


def _select_busiest(
    counted: Counter[int], limit: int, elapsed_ms: int
) -> dict[int, int]:
    busiest = heapq.nlargest(limit, counted.items(), key=lambda item: item[1])
    return {
        name: count * 1000 // elapsed_ms
        for name, count in busiest
        if count * 1000 >= elapsed_ms
    }
