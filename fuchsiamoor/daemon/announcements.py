"""HTTP API through which the local upstream announces its start and its drain."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypedDict

from litestar import Litestar, Response, post

MAX_BODY_BYTES = 16 * 1024
CONFLICT_STATUS = 409


class Announcement(NamedTuple):
    """Identity and capacity that an upstream announces.

    Parameters
    ----------
    service, instance : str
    incarnation : str
        Identifies one start of the upstream; each start announces a new one.
    slots : int
        Number of requests that it runs concurrently.
    connections : int
        Number of connections that it accepts.
    checks_grants : bool
        Whether it refuses requests without a valid, fenced ownership grant.
    """

    service: str
    instance: str
    incarnation: str
    slots: int
    connections: int
    checks_grants: bool


class Accepted(NamedTuple):
    """The announcement was accepted and is in effect."""


class Rejected(NamedTuple):
    """The announcement was refused and has no effect."""

    reason: str


AnnounceResult = Accepted | Rejected
OnAnnounce = Callable[[Announcement], Awaitable[AnnounceResult]]
OnLeave = Callable[[str], Awaitable[None]]


class AnnounceBody(TypedDict):
    """JSON body of an announcement."""

    service: str
    instance: str
    incarnation: str
    slots: int
    connections: int
    checks_grants: bool


class LeaveBody(TypedDict):
    """JSON body of a leave request."""

    incarnation: str


def make_announce_app(on_announce: OnAnnounce, on_leave: OnLeave) -> Litestar:
    """Return the ASGI application of the announcement API.

    Parameters
    ----------
    on_announce : callable
        Handles an `Announcement` and returns `Accepted` or `Rejected`.
    on_leave : callable
        Drains an incarnation; returns once none of its requests is in flight.
    """

    @post("/v1/announce", status_code=200)
    async def announce(data: AnnounceBody) -> Response[dict[str, object]]:
        fault = _find_fault(data)
        result = Rejected(fault) if fault else await on_announce(Announcement(**data))
        match result:
            case Accepted():
                return Response({"accepted": True})
            case Rejected(reason):
                answer = {"accepted": False, "reason": reason}
                return Response(answer, status_code=CONFLICT_STATUS)

    @post("/v1/leave", status_code=200)
    async def leave(data: LeaveBody) -> dict[str, object]:
        await on_leave(data["incarnation"])
        return {}

    return Litestar(
        [announce, leave],
        request_max_body_size=MAX_BODY_BYTES,
        openapi_config=None,
        logging_config=None,
    )


def _find_fault(body: AnnounceBody) -> str:
    """Return a description of the first invalid value, or an empty text."""
    for name in ("service", "instance", "incarnation"):
        if not body[name]:
            return f"{name}: found an empty text, expected a name"
    for name in ("slots", "connections"):
        if body[name] < 1:
            return f"{name}: found {body[name]}, expected a whole number above 0"
    return ""
