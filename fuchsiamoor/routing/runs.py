"""Runs: what may still be running at the local upstream, by key.

A run whose ending is unknown counts until it can no longer be running. Runs are counted
by key and not by shard, since a key changes its shard when it is isolated or goes back.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

NO_SHARD = -1
NO_KEY = -1
DROP_AT_COUNT = 1_024


class RunKey(NamedTuple):
    """A key of a domain, by its hash; `NO_KEY` for requests without one."""

    domain: str
    key_hash: int


@dataclass(slots=True)
class Runs:
    """Counts of runs, and times until which ended ones may go on.

    Parameters
    ----------
    counts : dict of RunKey to int
    uncertain_until_ms : dict of RunKey to int
    drop_at_count : int
        Number of uncertain keys at which those that have passed are dropped.
    """

    counts: dict[RunKey, int] = field(default_factory=dict)
    uncertain_until_ms: dict[RunKey, int] = field(default_factory=dict)
    drop_at_count: int = DROP_AT_COUNT


def make_runs() -> Runs:
    """Return no runs."""
    return Runs()


def start(runs: Runs, run_key: RunKey) -> None:
    """Count a run."""
    runs.counts[run_key] = runs.counts.get(run_key, 0) + 1


def end(runs: Runs, run_key: RunKey) -> bool:
    """Count a run as ended; True if it was the key's last."""
    left = runs.counts[run_key] - 1
    if left:
        runs.counts[run_key] = left
        return False
    del runs.counts[run_key]
    return True


def end_uncertain(runs: Runs, run_key: RunKey, until_ms: int, now_ms: int) -> bool:
    """Count a run as ended that may go on until a time.

    Times that have passed are dropped now and then.

    Examples
    --------
    >>> runs, run_key = make_runs(), RunKey("stock@a", 1)
    >>> start(runs, run_key)
    >>> end_uncertain(runs, run_key, until_ms=500, now_ms=100)
    True
    >>> compute_wait_ms(runs, run_key, now_ms=200)
    300
    """
    known_ms = runs.uncertain_until_ms.get(run_key, 0)
    runs.uncertain_until_ms[run_key] = max(known_ms, until_ms)
    if len(runs.uncertain_until_ms) > runs.drop_at_count:
        _drop_passed(runs, now_ms)
    return end(runs, run_key)


def _drop_passed(runs: Runs, now_ms: int) -> None:
    runs.uncertain_until_ms = {
        run_key: until_ms
        for run_key, until_ms in runs.uncertain_until_ms.items()
        if until_ms > now_ms
    }
    runs.drop_at_count = max(DROP_AT_COUNT, 2 * len(runs.uncertain_until_ms))


def compute_wait_ms(runs: Runs, run_key: RunKey, now_ms: int) -> int:
    """Return how long ended runs of a key may still go on."""
    until_ms = runs.uncertain_until_ms.get(run_key, now_ms)
    if until_ms > now_ms:
        return until_ms - now_ms
    runs.uncertain_until_ms.pop(run_key, None)
    return 0


def select_keys(
    runs: Runs, domain: str, is_concerned: Callable[[int], bool]
) -> list[RunKey]:
    """Return the keys of a domain that may still be running, among those concerned.

    Parameters
    ----------
    runs : Runs
    domain : str
    is_concerned : callable
        Told a key hash.
    """
    known = {*runs.counts, *runs.uncertain_until_ms}
    return [key for key in known if key.domain == domain and is_concerned(key.key_hash)]
