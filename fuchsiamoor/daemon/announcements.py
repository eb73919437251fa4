"""The surface on which the upstream beside this daemon announces itself."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypedDict

from litestar import Litestar, Response, post

MAX_BODY_BYTES = 16 * 1024
CONFLICT_STATUS = 409


class Announcement(NamedTuple):
    """What an upstream says of itself.

    Parameters
    ----------
    service, instance : str
    incarnation : str
        New with every start of the upstream.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it accepts.
    checks_grants : bool
        Whether it refuses work without a live fenced grant.
    """

    service: str
    instance: str
    incarnation: str
    slots: int
    connections: int
    checks_grants: bool


class Accepted(NamedTuple):
    """The announcement is in force."""


class Rejected(NamedTuple):
    """The announcement has no effect."""

    reason: str


AnnounceResult = Accepted | Rejected
OnAnnounce = Callable[[Announcement], Awaitable[AnnounceResult]]
OnLeave = Callable[[str], Awaitable[None]]


class AnnounceBody(TypedDict):
    """Body of an announcement."""

    service: str
    instance: str
    incarnation: str
    slots: int
    connections: int
    checks_grants: bool


class LeaveBody(TypedDict):
    """Body of a leave."""

    incarnation: str


def make_announce_app(on_announce: OnAnnounce, on_leave: OnLeave) -> Litestar:
    """Return the ASGI app of the surface.

    Parameters
    ----------
    on_announce : callable
        Takes an `Announcement`, returns `Accepted` or `Rejected`.
    on_leave : callable
        Takes an incarnation; returns when nothing of it runs any more.
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
    """Return what is wrong with the values, empty if nothing is."""
    for name in ("service", "instance", "incarnation"):
        if not body[name]:
            return f"{name}: found an empty text, expected a name"
    for name in ("slots", "connections"):
        if body[name] < 1:
            return f"{name}: found {body[name]}, expected a whole number above 0"
    return ""
