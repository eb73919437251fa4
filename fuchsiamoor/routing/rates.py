"""Rates: the busiest of many names, counted in bounded memory.

Keeps at most `NAMES_MAX` counters. When a new name comes and all are taken, it
replaces the least one and takes over its count, so that a busy name is never missed
and a count is never too low.
"""

from dataclasses import dataclass, field

NAMES_MAX = 256
REPORTED_MAX = 16


@dataclass(slots=True)
class Rates:
    """Requests by name since the counting started."""

    started_ms: int
    counts: dict[int, int] = field(default_factory=dict)


def make_rates(now_ms: int) -> Rates:
    """Return rates that start counting now."""
    return Rates(now_ms)


def note_request(rates: Rates, name: int) -> None:
    """Count one request."""
    counts = rates.counts
    if name in counts:
        counts[name] += 1
        return
    if len(counts) < NAMES_MAX:
        counts[name] = 1
        return
    least = min(counts, key=counts.__getitem__)
    counts[name] = counts.pop(least) + 1


def take_busiest(rates: Rates, now_ms: int) -> dict[int, int]:
    """Return requests per second of the busiest names, and count anew.

    Examples
    --------
    >>> rates = make_rates(now_ms=0)
    >>> for name in (7, 7, 7, 7, 9):
    ...     note_request(rates, name)
    >>> take_busiest(rates, now_ms=2_000)
    {7: 2}
    """
    elapsed_ms = max(now_ms - rates.started_ms, 1)
    busiest = sorted(rates.counts.items(), key=lambda each: each[1], reverse=True)
    per_second = {
        name: count * 1_000 // elapsed_ms for name, count in busiest[:REPORTED_MAX]
    }
    rates.counts.clear()
    rates.started_ms = now_ms
    return {name: rate for name, rate in per_second.items() if rate}
