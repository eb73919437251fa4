"""Runs: what may still be running at the local upstream, by shard.

A run whose ending is unknown counts until it can no longer be running.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

NO_SHARD = -1


class ShardId(NamedTuple):
    """A shard of a domain."""

    domain: str
    shard: int


@dataclass(slots=True)
class Runs:
    """Counts of runs, and times until which ended ones may go on.

    Parameters
    ----------
    counts : dict of ShardId to int
    uncertain_until_ms : dict of ShardId to int
    """

    counts: dict[ShardId, int] = field(default_factory=dict)
    uncertain_until_ms: dict[ShardId, int] = field(default_factory=dict)


def make_runs() -> Runs:
    """Return no runs."""
    return Runs()


def start(runs: Runs, shard_id: ShardId) -> None:
    """Count a run."""
    runs.counts[shard_id] = runs.counts.get(shard_id, 0) + 1


def end(runs: Runs, shard_id: ShardId) -> bool:
    """Count a run as ended; True if it was the shard's last."""
    left = runs.counts[shard_id] - 1
    if left:
        runs.counts[shard_id] = left
        return False
    del runs.counts[shard_id]
    return True


def end_uncertain(runs: Runs, shard_id: ShardId, until_ms: int) -> bool:
    """Count a run as ended that may go on until a time.

    Examples
    --------
    >>> runs, shard_id = make_runs(), ShardId("stock@a", 1)
    >>> start(runs, shard_id)
    >>> end_uncertain(runs, shard_id, until_ms=500)
    True
    >>> compute_wait_ms(runs, shard_id, now_ms=200)
    300
    """
    known_ms = runs.uncertain_until_ms.get(shard_id, 0)
    runs.uncertain_until_ms[shard_id] = max(known_ms, until_ms)
    return end(runs, shard_id)


def compute_wait_ms(runs: Runs, shard_id: ShardId, now_ms: int) -> int:
    """Return how long ended runs of a shard may still go on."""
    until_ms = runs.uncertain_until_ms.get(shard_id, now_ms)
    if until_ms > now_ms:
        return until_ms - now_ms
    runs.uncertain_until_ms.pop(shard_id, None)
    return 0
