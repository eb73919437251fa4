"""Upstream incarnations and what they report of themselves."""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One life of an upstream process.

    Parameters
    ----------
    upstream_id : str
        May be used again by a later life.
    started_unix_ms : int
        Start of this life.
    """

    upstream_id: str
    started_unix_ms: int


class HeldRange(NamedTuple):
    """Keys that an upstream holds or still works on, both ends included."""

    first: int
    last: int
    fence: int


class ReleasedRange(NamedTuple):
    """Keys that an upstream let go of.

    Parameters
    ----------
    first, last : int
        Both ends included.
    handover : str
        Token with which the next holder starts warm.
    """

    first: int
    last: int
    handover: str


class UpstreamHeartbeat(NamedTuple):
    """What an upstream reports of itself.

    Parameters
    ----------
    incarnation : Incarnation
    service : str
    sequence : int
        Rises with every report of one incarnation.
    slots : int
        Requests that it runs at once.
    is_draining : bool
    cold_for_ms : int
        Remaining time of the cold start; 0 once warm.
    held : tuple of HeldRange
    released : tuple of ReleasedRange
        Since its last acknowledged heartbeat.
    """

    incarnation: Incarnation
    service: str
    sequence: int
    slots: int
    is_draining: bool
    cold_for_ms: int
    held: tuple[HeldRange, ...]
    released: tuple[ReleasedRange, ...]


class ReportedLoad(NamedTuple):
    """Load that an upstream reports with an answer.

    Parameters
    ----------
    running, waiting, slots : int
    work_percent : int
        How long work takes at present; 100 is usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int


def format_incarnation(incarnation: Incarnation) -> str:
    """Return the name under which an incarnation owns keys.

    Examples
    --------
    >>> format_incarnation(Incarnation("i-7f", 1700000000000))
    'i-7f@1700000000000'
    """
    return f"{incarnation.upstream_id}@{incarnation.started_unix_ms}"


def is_stale(
    heartbeat: UpstreamHeartbeat, known: Incarnation | None, sequence: int
) -> bool:
    """Return whether a report comes from an earlier life or was overtaken.

    Parameters
    ----------
    heartbeat : UpstreamHeartbeat
    known : Incarnation or None
        Latest incarnation heard of at the same address.
    sequence : int
        Highest number heard of ``known``.
    """
    if known is None:
        return False
    reported = heartbeat.incarnation
    if reported == known:
        return heartbeat.sequence <= sequence
    return reported.started_unix_ms < known.started_unix_ms
