"""Deadlines of one caller's request, and the record of the attempts to serve it."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import MayHaveRun


class Deadlines(NamedTuple):
    """Arrival and deadlines of a request, on the daemon's monotonic clock.

    Parameters
    ----------
    arrived_ms : int
    answer_by_ms : int
        By then the caller gets an answer, even if only a failure.
    in_time_by_ms : int
        Latest time at which an answer counts as in time.
    """

    arrived_ms: int
    answer_by_ms: int
    in_time_by_ms: int


@dataclass(slots=True)
class Attempts:
    """Attempts to serve one request.

    Parameters
    ----------
    arrivals : int
        Attempts that reached an upstream.
    tried : set of str
        Instances that are not tried again.
    may_have_run : MayHaveRun or None
        Verdict of the latest attempt that may have run.
    has_run : bool
        Whether an upstream has answered any attempt with its own answer.
    last_outcome : CarriedAnswer or None
    refusals : int
        Attempts that certainly did not run.
    retry_after_ms : int
        Shortest time after which an instance expects a free slot; 0 if unknown.
    ownerless_ms : int
        Time spent waiting for the key to get an owner.
    target : str
        Instance of the latest attempt.
    is_in_flight : bool
        Whether an attempt is in progress.
    """

    arrivals: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: MayHaveRun | None = None
    has_run: bool = False
    last_outcome: CarriedAnswer | None = None
    refusals: int = 0
    retry_after_ms: int = 0
    ownerless_ms: int = 0
    target: str = ""
    is_in_flight: bool = False


def may_have_run(attempts: Attempts) -> bool:
    """Return whether any attempt has run or may have run."""
    return (
        attempts.has_run or attempts.is_in_flight or attempts.may_have_run is not None
    )
