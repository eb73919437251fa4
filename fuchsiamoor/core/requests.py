"""Requests and answers, as sent between daemons."""

from typing import NamedTuple

from fuchsiamoor.core.verdicts import Verdict

Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A caller's request, as parsed by the daemon that received it.

    Parameters
    ----------
    request_id : str
        Unique to the request; the same for all its attempts and hops.
    service : str
    tenant : str
    key : str
        Empty for a request that any upstream of the service may serve.
    idempotency_key : str
        Empty if the caller set none.
    method : str
    path : str
        Path and query below the service's name, starting with ``/``.
    headers : Headers
        End-to-end headers.
    body : bytes
    deadline_ms : int
        Monotonic time of this process at which the caller stops waiting. On the wire it
        is replaced by the remaining time.
    idempotent : bool
        Whether running it twice is harmless.
    """

    request_id: str
    service: str
    tenant: str
    key: str
    idempotency_key: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline_ms: int
    idempotent: bool


class Answer(NamedTuple):
    """The result of a request.

    Parameters
    ----------
    request_id : str
        Id of the request that it answers.
    verdict : Verdict
    status : int
        HTTP status for the caller.
    headers : Headers
    body : bytes
        Always complete.
    served_by : str
        Instance whose upstream ran the request, empty if none did.
    """

    request_id: str
    verdict: Verdict
    status: int
    headers: Headers = ()
    body: bytes = b""
    served_by: str = ""
