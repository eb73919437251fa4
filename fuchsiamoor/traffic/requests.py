"""Requests by route as callers send them, and answers as upstreams give them."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Headers
from fuchsiamoor.traffic import upstreams


class CallerRequest(NamedTuple):
    """A caller's request, as its entry daemon read it.

    Parameters
    ----------
    request_id : str
        Unique for each attempt of a caller.
    method : str
    host : str
    target : str
        Path and query.
    headers : Headers
        Those that travel on, names in lower case.
    body : bytes
    wait_ms : int
        How long the caller waits.
    key : int
        `carried.NO_KEY` without one.
    is_call : bool
        Whether an upstream sent it on behalf of a request that it runs.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    wait_ms: int
    key: int
    is_call: bool


class UpstreamAnswer(NamedTuple):
    """A whole answer of an upstream.

    Parameters
    ----------
    status : int
    headers : Headers
        Those that travel on.
    body : bytes
    has_run : bool
        False only where the upstream states that it has not run the request.
    is_other_upstream : bool
        Whether another upstream than the expected one has the address, or the upstream
        does not hold the key.
    is_spoiled : bool
        Whether the answer is not what the upstream made.
    load : ReportedLoad or None
    """

    status: int
    headers: Headers
    body: bytes
    has_run: bool
    is_other_upstream: bool
    is_spoiled: bool
    load: upstreams.ReportedLoad | None
