"""Requests as callers send them and answers as upstreams return them."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Headers
from fuchsiamoor.traffic import upstreams


class CallerRequest(NamedTuple):
    """A request as the daemon that accepted it from the caller has parsed it.

    Parameters
    ----------
    request_id : str
        Unique for each attempt of the caller.
    method : str
    host : str
    target : str
        Path and query.
    headers : Headers
        Headers to forward, names in lower case.
    body : bytes
    wait_ms : int
        How long the caller waits for the answer.
    key : int
        `carried.NO_KEY` if the request has none.
    parent_id : str
        Id of the request that an upstream runs and on whose behalf it sent this one;
        empty for any other caller.
    key_digest : bytes
        Digest of the caller's key; empty without exactly one key.
    credentials : Headers
        Headers that may carry a key; they are not in ``headers``.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    wait_ms: int
    key: int
    parent_id: str
    key_digest: bytes = b""
    credentials: Headers = ()

    @property
    def is_nested(self) -> bool:
        """Whether an upstream sent it on behalf of a request that the upstream runs."""
        return bool(self.parent_id)


class UpstreamAnswer(NamedTuple):
    """A complete answer of an upstream.

    Parameters
    ----------
    status : int
    headers : Headers
        Headers to forward.
    body : bytes
    has_run : bool
        False only if the upstream states that it has not run the request.
    is_misdirected : bool
        Whether a different upstream than the expected one answers at the address, or
        the upstream does not hold the key.
    is_corrupt : bool
        Whether the answer was altered on its way from the upstream.
    load : ReportedLoad or None
    """

    status: int
    headers: Headers
    body: bytes
    has_run: bool
    is_misdirected: bool
    is_corrupt: bool
    load: upstreams.ReportedLoad | None
