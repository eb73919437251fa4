import asyncio
import json

import pytest

from fuchsiamoor.daemon import announcements
from fuchsiamoor.daemon.announcements import Accepted, Announcement, Rejected
from fuchsiamoor.testing import asgi_server

BODY = {
    "service": "booking",
    "instance": "almaty-1-a",
    "incarnation": "i-1",
    "slots": 20,
    "connections": 130,
    "checks_grants": True,
}


def post(path, body, result=None):
    """Return the status, the response body and what the handlers received."""
    received = []

    async def on_announce(announcement):
        received.append(announcement)
        return result or Accepted()

    async def on_leave(incarnation):
        received.append(incarnation)

    async def scenario():
        app = announcements.make_announce_app(on_announce, on_leave)
        payload = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
        )
        async with asgi_server.serve_app(app) as address:
            return await asgi_server.send_raw(address, head.encode() + payload)

    head, _, answer = asyncio.run(scenario()).partition(b"\r\n\r\n")
    return int(head.split()[1]), answer, received


def test_announcement_is_accepted():
    status, answer, received = post("/v1/announce", BODY)
    assert (status, json.loads(answer)) == (200, {"accepted": True})
    assert received == [Announcement(**BODY)]


def test_rejection_carries_its_reason():
    status, answer, _ = post("/v1/announce", BODY, Rejected("another service"))
    assert status == 409
    assert json.loads(answer) == {"accepted": False, "reason": "another service"}


def test_leave_passes_the_incarnation():
    status, _, received = post("/v1/leave", {"incarnation": "i-1"})
    assert (status, received) == (200, ["i-1"])


@pytest.mark.parametrize(
    "body, status",
    [
        (b"not json", 400),
        ({}, 400),
        (BODY | {"slots": "many"}, 400),
        (BODY | {"checks_grants": None}, 400),
        (BODY | {"slots": 0}, 409),
        (BODY | {"connections": -1}, 409),
        (BODY | {"instance": ""}, 409),
        (b" " * 20_000, 413),
    ],
)
def test_invalid_announcement_is_refused(body, status):
    found, _, received = post("/v1/announce", body)
    assert (found, received) == (status, [])
