"""In-flight runs: what may still be running at the local upstream, by key.

A run whose outcome is unknown counts until it can no longer be running. Runs are
counted by key and not by shard, since a key moves to another shard when it is isolated
and when its isolation ends.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

NO_SHARD = -1
NO_KEY = -1
PURGE_AT_COUNT = 1_024


class RunKey(NamedTuple):
    """A key of a domain, by its hash; `NO_KEY` for requests without one."""

    domain: str
    key_hash: int


@dataclass(slots=True)
class InFlightRuns:
    """Runs in flight, and runs of unknown outcome that may still be running.

    Parameters
    ----------
    counts : dict of RunKey to int
        Number of runs in flight.
    uncertain_until_ms : dict of RunKey to int
        Time until which a run of unknown outcome may still be running.
    purge_at_count : int
        Size of ``uncertain_until_ms`` above which expired entries are removed.
    """

    counts: dict[RunKey, int] = field(default_factory=dict)
    uncertain_until_ms: dict[RunKey, int] = field(default_factory=dict)
    purge_at_count: int = PURGE_AT_COUNT


def make_in_flight_runs() -> InFlightRuns:
    """Return a count without any runs."""
    return InFlightRuns()


def record_start(runs: InFlightRuns, run_key: RunKey) -> None:
    """Record that a run starts."""
    runs.counts[run_key] = runs.counts.get(run_key, 0) + 1


def record_end(runs: InFlightRuns, run_key: RunKey) -> bool:
    """Record that a run ended; True if it was the last one of its key in flight."""
    left = runs.counts[run_key] - 1
    if left:
        runs.counts[run_key] = left
        return False
    del runs.counts[run_key]
    return True


def record_uncertain_end(
    runs: InFlightRuns, run_key: RunKey, until_ms: int, now_ms: int
) -> bool:
    """Record that a run ended with an unknown outcome and may still be running.

    Expired entries are removed once there are more than ``purge_at_count``.

    Parameters
    ----------
    runs : InFlightRuns
    run_key : RunKey
    until_ms : int
        Time until which it may still be running.
    now_ms : int

    Returns
    -------
    bool
        True if it was the last one of its key in flight.

    Examples
    --------
    >>> runs, run_key = make_in_flight_runs(), RunKey("stock@a", 1)
    >>> record_start(runs, run_key)
    >>> record_uncertain_end(runs, run_key, until_ms=500, now_ms=100)
    True
    >>> compute_wait_ms(runs, run_key, now_ms=200)
    300
    """
    known_ms = runs.uncertain_until_ms.get(run_key, 0)
    runs.uncertain_until_ms[run_key] = max(known_ms, until_ms)
    if len(runs.uncertain_until_ms) > runs.purge_at_count:
        _purge_expired(runs, now_ms)
    return record_end(runs, run_key)


def _purge_expired(runs: InFlightRuns, now_ms: int) -> None:
    runs.uncertain_until_ms = {
        run_key: until_ms
        for run_key, until_ms in runs.uncertain_until_ms.items()
        if until_ms > now_ms
    }
    runs.purge_at_count = max(PURGE_AT_COUNT, 2 * len(runs.uncertain_until_ms))


def compute_wait_ms(runs: InFlightRuns, run_key: RunKey, now_ms: int) -> int:
    """Return for how long runs of unknown outcome of a key may still be running."""
    until_ms = runs.uncertain_until_ms.get(run_key, now_ms)
    if until_ms > now_ms:
        return until_ms - now_ms
    runs.uncertain_until_ms.pop(run_key, None)
    return 0


def list_keys(
    runs: InFlightRuns, domain: str, is_included: Callable[[int], bool]
) -> list[RunKey]:
    """Return the keys of a domain that may still be running at the upstream.

    Parameters
    ----------
    runs : InFlightRuns
    domain : str
    is_included : callable
        Whether a key hash is to be listed.
    """
    known = {*runs.counts, *runs.uncertain_until_ms}
    return [key for key in known if key.domain == domain and is_included(key.key_hash)]
