"""Messages that carry requests by route and their results between daemons."""

from typing import NamedTuple

from fuchsiamoor.core.requests import Headers
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran

NO_KEY = -1


class Load(NamedTuple):
    """Load of the upstream beside a daemon.

    Parameters
    ----------
    running, waiting, slots : int
    work_percent : int
        Duration of runs, as a percentage of the usual one.
    wait_ms : int
        Expected queueing time of one more request.
    is_open : bool
        Whether it accepts requests.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int
    wait_ms: int
    is_open: bool


class CarriedRequest(NamedTuple):
    """A request sent to the daemon beside the upstream that shall run it.

    Parameters
    ----------
    request_id, method, target : str
    headers : Headers
    body : bytes
        Empty if it was sent ahead.
    body_ahead_bytes : int
        Size of a body that was sent ahead in parts, 0 for any other.
    key : int
    service : str
        Service that shall run the request.
    caller_service : str
        Service of the instance whose daemon received it from the caller.
    route : str
    rank : int
    is_idempotent : bool
    is_repeat : bool
        Whether an earlier attempt has reached an upstream.
    home_regions : tuple of str
        Regions that may handle it; empty for all.
    remaining_ms : int
        Time left until the deadline when it is sent.
    in_time_ms : int
        Time left in which an answer counts as in time; negative once it is late.
    catalog_version : int
        Version in force at the sender.
    sent_ms : int
        Sender's monotonic time, by which the receiver detects a delay in transit.
    organisation : str
        On whose behalf the caller sent it; empty if on nobody's.
    is_copy : bool
        Whether another upstream may be running it now; it runs at once or not at all.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    body_ahead_bytes: int
    key: int
    service: str
    caller_service: str
    route: str
    rank: int
    is_idempotent: bool
    is_repeat: bool
    home_regions: tuple[str, ...]
    remaining_ms: int
    in_time_ms: int
    catalog_version: int
    sent_ms: int
    organisation: str = ""
    is_copy: bool = False
    ADDED_FIELDS = 2


class CarriedAnswer(NamedTuple):
    """The result of a `CarriedRequest`.

    Parameters
    ----------
    verdict : NotRun or MayHaveRun or Ran
    status : int
        HTTP status of the upstream's answer; 0 without one.
    headers : Headers
    body : bytes
    has_arrived : bool
        Whether the request was sent to an upstream.
    run_ms : int
        Time for which the upstream ran it.
    has_failed_call : bool
        Whether a call that the run made was refused or failed.
    retry_after_ms : int
        With `NotRun`, time until capacity is likely to be free; 0 if unknown.
    load : Load
        Load of the answering daemon's upstream.
    catalog_version : int
        Version in force at the answering daemon.
    """

    verdict: NotRun | MayHaveRun | Ran
    status: int
    headers: Headers
    body: bytes
    has_arrived: bool
    run_ms: int
    has_failed_call: bool
    retry_after_ms: int
    load: Load
    catalog_version: int
