"""Admission control: whether the local upstream may take one more request."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import NotRun, Reason


class AdmissionLimits(NamedTuple):
    """Limits on the requests that the local upstream runs and queues.

    Parameters
    ----------
    requests : int
        Largest number of requests in flight.
    queued_requests : int
        Largest number of requests that wait for a slot.
    latency_ms : float
        Expected latency of one request, 0 if unknown.
    """

    requests: int
    queued_requests: int
    latency_ms: float


class Admitted(NamedTuple):
    """The request may be sent to the upstream now."""


class Queued(NamedTuple):
    """The request may wait for a slot."""


class Refused(NamedTuple):
    """The request has not run here and will not."""

    verdict: NotRun


Admission = Admitted | Queued | Refused


def admit(
    limits: AdmissionLimits, in_flight: int, queued: int, now_ms: int, request: Request
) -> Admission:
    """Decide whether the local upstream may take one more request.

    A request that would have to wait is refused if it is expected to miss its deadline.

    Parameters
    ----------
    limits : AdmissionLimits
    in_flight : int
        Requests sent to the upstream and not answered yet.
    queued : int
        Requests that already wait for a slot.
    now_ms : int
        Monotonic time, in milliseconds.
    request : Request

    Examples
    --------
    >>> from fuchsiamoor.testing import requests_data
    >>> request = requests_data.make_request(deadline_ms=100)
    >>> admit(AdmissionLimits(2, 1, 0.0), 2, 0, 0, request)
    Queued()
    >>> admit(AdmissionLimits(2, 1, 0.0), 2, 1, 0, request).verdict.reason.name
    'OVER_LIMIT'
    """
    if request.deadline_ms <= now_ms:
        return Refused(NotRun(Reason.DEADLINE_PASSED, "before it was handed over"))
    if in_flight < limits.requests and queued == 0:
        return Admitted()
    if queued >= limits.queued_requests:
        return Refused(NotRun(Reason.OVER_LIMIT, "the queue is full"))
    expected_ms = limits.latency_ms * (1 + (queued + 1) / max(limits.requests, 1))
    if now_ms + expected_ms > request.deadline_ms:
        return Refused(NotRun(Reason.OVER_LIMIT, "it would end after its deadline"))
    return Queued()
