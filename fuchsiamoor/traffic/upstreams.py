"""Upstream incarnations and the state and load that upstreams report."""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address

# Far more than an upstream runs at a time; a sum of them fits any integer field.
SLOTS_MAX = 1_000_000


class Incarnation(NamedTuple):
    """One start of an upstream process.

    Parameters
    ----------
    upstream_id : str
        A later incarnation may have the same one.
    started_unix_ms : int
        When the process started.
    """

    upstream_id: str
    started_unix_ms: int


class HeldRange(NamedTuple):
    """Key range that an upstream holds or still works on, both ends included."""

    first: int
    last: int
    fence: int


class ReleasedRange(NamedTuple):
    """Key range that an upstream has released.

    Parameters
    ----------
    first, last : int
        Both ends included.
    handover : str
        Token that the next owner gets so that it starts warm.
    """

    first: int
    last: int
    handover: str


class UpstreamHeartbeat(NamedTuple):
    """State that an upstream reports to its daemon.

    Parameters
    ----------
    incarnation : Incarnation
    service : str
    address : Address
        Where it takes requests.
    data_centre : str
    sequence : int
        Increases with every heartbeat of an incarnation.
    slots : int
        Number of requests that it can run concurrently.
    is_draining : bool
    cold_for_ms : int
        Remaining time of the cold start; 0 if the upstream is warm.
    held : tuple of HeldRange
    released : tuple of ReleasedRange
        Ranges released since the last acknowledged heartbeat.
    reports_ranges : bool
        Whether it names the ranges held and released, if only as none. Upstreams of a
        service that is divided by key always do.
    """

    incarnation: Incarnation
    service: str
    address: Address
    data_centre: str
    sequence: int
    slots: int
    is_draining: bool
    cold_for_ms: int
    held: tuple[HeldRange, ...]
    released: tuple[ReleasedRange, ...]
    reports_ranges: bool = True


class ReportedLoad(NamedTuple):
    """Load that an upstream reports with an answer.

    Parameters
    ----------
    running, waiting, slots : int
    work_percent : int
        Current run time relative to the normal run time; 100 is normal.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int


def format_incarnation(incarnation: Incarnation) -> str:
    """Return the name of an incarnation, as in the owners of a range table.

    Examples
    --------
    >>> format_incarnation(Incarnation("i-7f", 1700000000000))
    'i-7f@1700000000000'
    """
    return f"{incarnation.upstream_id}@{incarnation.started_unix_ms}"


def is_stale(heartbeat: UpstreamHeartbeat, known: Incarnation, sequence: int) -> bool:
    """Return whether a heartbeat is older than the latest one received.

    Parameters
    ----------
    heartbeat : UpstreamHeartbeat
    known : Incarnation
        Latest incarnation that reported from the same address.
    sequence : int
        Highest sequence number received from ``known``.
    """
    reported = heartbeat.incarnation
    if reported == known:
        return heartbeat.sequence <= sequence
    return reported.started_unix_ms < known.started_unix_ms
