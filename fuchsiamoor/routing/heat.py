"""Heat: how often shards and keys are asked for, counted by their owner.

Counts are kept for one window at a time and reported as rates once it is over, so that
memory is bounded by what one window may hold. A key that is hot is met early in a
window, before the bound on distinct keys is reached.
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
    """Rates of the last whole window.

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
class Heat:
    """Counts of one domain.

    Parameters
    ----------
    since_ms : int
        Start of the present window.
    shards, keys : Counter
    rates : Rates
        Of the last whole window.
    """

    since_ms: int
    shards: Counter[int] = field(default_factory=Counter)
    keys: Counter[int] = field(default_factory=Counter)
    rates: Rates = field(default_factory=lambda: Rates({}, {}))


def make_heat(now_ms: int) -> Heat:
    """Return counts that begin at a monotonic time."""
    return Heat(now_ms)


def note_request(heat: Heat, shard: int, key_hash: int) -> None:
    """Count one request."""
    heat.shards[shard] += 1
    if key_hash in heat.keys or len(heat.keys) < MAX_KEYS:
        heat.keys[key_hash] += 1


def read_rates(heat: Heat, now_ms: int) -> Rates:
    """Return the rates of the last whole window, ending the present one if it is over.

    Examples
    --------
    >>> heat = make_heat(0)
    >>> for _ in range(10):
    ...     note_request(heat, 3, 77)
    >>> read_rates(heat, 1_000)
    Rates(shards={}, keys={})
    >>> read_rates(heat, 2_000)
    Rates(shards={3: 5}, keys={77: 5})
    """
    elapsed_ms = now_ms - heat.since_ms
    if elapsed_ms >= WINDOW_MS:
        heat.rates = Rates(
            _select_busiest(heat.shards, REPORTED_SHARDS, elapsed_ms),
            _select_busiest(heat.keys, REPORTED_KEYS, elapsed_ms),
        )
        heat.shards.clear()
        heat.keys.clear()
        heat.since_ms = now_ms
    return heat.rates


def _select_busiest(
    counted: Counter[int], limit: int, elapsed_ms: int
) -> dict[int, int]:
    busiest = heapq.nlargest(limit, counted.items(), key=lambda item: item[1])
    return {
        name: count * 1000 // elapsed_ms
        for name, count in busiest
        if count * 1000 >= elapsed_ms
    }
