"""Requests by route and their endings, as they travel between daemons."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Headers
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran

NO_KEY = -1


class Load(NamedTuple):
    """What a daemon tells of the upstream beside it.

    Parameters
    ----------
    running, waiting, slots : int
    work_percent : int
        How long work takes; 100 is usual.
    wait_ms : int
        Expected wait of one more request.
    is_open : bool
        Whether it takes requests.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int
    wait_ms: int
    is_open: bool


class CarriedRequest(NamedTuple):
    """A request on its way to the daemon beside the upstream that is to run it.

    Parameters
    ----------
    request_id, method, target : str
    headers : Headers
    body : bytes
    key : int
    service : str
        That is to run it.
    caller_service : str
        Of the instance at which it began.
    route : str
    rank : int
    is_idempotent : bool
    home_regions : tuple of str
        Empty for all.
    remaining_ms : int
        Time that is left when it is sent on.
    in_time_ms : int
        Time that is left for an answer in time; negative once it is late.
    catalog_version : int
        In force at the sender.
    sent_ms : int
        Sender's monotonic time, by which a delay on the way shows.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    key: int
    service: str
    caller_service: str
    route: str
    rank: int
    is_idempotent: bool
    home_regions: tuple[str, ...]
    remaining_ms: int
    in_time_ms: int
    catalog_version: int
    sent_ms: int


class CarriedAnswer(NamedTuple):
    """The ending of a carried request.

    Parameters
    ----------
    verdict : NotRun or MayHaveRun or Ran
    status : int
        Of the upstream's answer; 0 without one.
    headers : Headers
    body : bytes
    has_arrived : bool
        Whether an upstream was sent the request.
    run_ms : int
        Time that the upstream took.
    retry_after_ms : int
        With `NotRun`, when there is likely to be room; 0 if unknown.
    load : Load
        Of the upstream there.
    catalog_version : int
        In force there.
    """

    verdict: NotRun | MayHaveRun | Ran
    status: int
    headers: Headers
    body: bytes
    has_arrived: bool
    run_ms: int
    retry_after_ms: int
    load: Load
    catalog_version: int
