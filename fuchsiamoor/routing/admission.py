"""Admission: whether the local upstream may take one more request."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import NotRun, Reason


class Limit(NamedTuple):
    """What the local upstream may be given.

    Parameters
    ----------
    requests : int
        Requests at a time.
    queued_requests : int
        Requests that may wait for a slot.
    latency_ms : float
        Expected time of one run, 0 if unknown.
    """

    requests: int
    queued_requests: int
    latency_ms: float


class Admitted(NamedTuple):
    """It may be handed over now."""


class Queued(NamedTuple):
    """It may wait for a slot."""


class Refused(NamedTuple):
    """It has not run here and will not."""

    verdict: NotRun


Admission = Admitted | Queued | Refused


def admit(
    limit: Limit, in_flight: int, queued: int, now_ms: int, request: Request
) -> Admission:
    """Decide whether the local upstream may take one more request.

    Parameters
    ----------
    limit : Limit
    in_flight : int
        Requests handed to the upstream and not yet answered.
    queued : int
        Requests that wait already.
    now_ms : int
        Monotonic time, in milliseconds.
    request : Request

    Examples
    --------
    >>> from fuchsiamoor.testing import requests_data
    >>> request = requests_data.make_request(deadline_ms=100)
    >>> admit(Limit(2, 1, 0.0), 2, 0, 0, request)
    Queued()
    >>> admit(Limit(2, 1, 0.0), 2, 1, 0, request).verdict.reason.name
    'OVER_LIMIT'
    """
    if request.deadline_ms <= now_ms:
        return Refused(NotRun(Reason.DEADLINE_PASSED, "before it was handed over"))
    if in_flight < limit.requests and queued == 0:
        return Admitted()
    if queued >= limit.queued_requests:
        return Refused(NotRun(Reason.OVER_LIMIT, "the queue is full"))
    expected_ms = limit.latency_ms * (1 + (queued + 1) / max(limit.requests, 1))
    if now_ms + expected_ms > request.deadline_ms:
        return Refused(NotRun(Reason.OVER_LIMIT, "it would end after its deadline"))
    return Queued()
