"""Requests and answers as they travel between daemons."""

from typing import NamedTuple

from fuchsiamoor.core.verdicts import Verdict

Headers = tuple[tuple[bytes, bytes], ...]


class Request(NamedTuple):
    """A caller's request, as its entry daemon read it.

    Parameters
    ----------
    request_id : str
        Unique per attempt chain; the same on every hop.
    service : str
    tenant : str
    key : str
        Empty for a request that any upstream of the service may answer.
    idempotency_key : str
        Empty if the caller gave none.
    method : str
    path : str
        Path and query below the service's name, starting with ``/``.
    headers : Headers
        End-to-end headers.
    body : bytes
    deadline_ms : int
        Monotonic time of this process at which the caller stops waiting. On the wire
        its place is taken by the time that remains.
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
    """The ending of a request.

    Parameters
    ----------
    request_id : str
        Of the request that it answers.
    verdict : Verdict
    status : int
        HTTP status for the caller.
    headers : Headers
    body : bytes
        Whole, never partial.
    served_by : str
        Instance whose upstream ran it, empty if none did.
    """

    request_id: str
    verdict: Verdict
    status: int
    headers: Headers = ()
    body: bytes = b""
    served_by: str = ""
