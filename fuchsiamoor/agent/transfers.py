"""Grants to send large request bodies to this daemon, a few at a time.

The link of a small machine carries a body of 60 KB in 100 ms. Many bodies at once fill
its queue, and all small messages to the machine wait behind them. A daemon therefore
asks before it sends a large body, and the receiver lets a few come at a time, in order.
A body comes in parts, of which few are on their way at a time; the request follows it.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Bodies from this size on need a grant: about ten packets.
LARGE_BODY_BYTES = 16 * 1024
# Bodies on their way at a time: while one ends, the next one's first bytes arrive.
GRANTS_MAX = 3
# Parts of one body, and how many of them are on their way at a time.
PART_BYTES = 8 * 1024
PARTS_MAX = 2
# A granted body of which no part has arrived for this time is given up.
GRANT_EXPIRY_MS = 1_500
# Time of a transfer assumed before any was measured.
DEFAULT_TRANSFER_MS = 100.0
# Weight of a new measurement in the moving average of the time of a transfer.
TRANSFER_MS_WEIGHT = 0.2


@dataclass(slots=True)
class GrantedBody:
    """A body that is on its way.

    Parameters
    ----------
    granted_ms : int
    heard_ms : int
        Time of the grant, or of the latest part.
    parts : dict of int to bytes
        Parts that have arrived, by offset.
    """

    granted_ms: int
    heard_ms: int
    parts: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Transfers:
    """Bodies that are on their way to this daemon, and those that wait for a grant.

    Parameters
    ----------
    granted : dict of str to GrantedBody
        Bodies on their way, by request id.
    waiting : OrderedDict of str to Future
        Grants that are waited for, by request id, oldest first.
    transfer_ms : float
        Moving average of the time from a grant to the arrival of the request.
    """

    granted: dict[str, GrantedBody] = field(default_factory=dict)
    waiting: OrderedDict[str, asyncio.Future] = field(default_factory=OrderedDict)
    transfer_ms: float = DEFAULT_TRANSFER_MS


async def wait_for_grant(
    transfers: Transfers, request_id: str, now_ms: Callable[[], int]
) -> bool:
    """Wait until a body may be sent.

    Returns
    -------
    bool
        False if the request is cancelled, or asks again, meanwhile.
    """
    grant = asyncio.get_running_loop().create_future()
    transfers.waiting[request_id] = grant
    try:
        grant_next(transfers, now_ms())
        while transfers.waiting.get(request_id) is grant:
            # An expired grant makes room without any other event.
            await asyncio.wait((grant,), timeout=GRANT_EXPIRY_MS / 1000)
            grant_next(transfers, now_ms())
    finally:
        if transfers.waiting.get(request_id) is grant:
            del transfers.waiting[request_id]
    return grant.done() and not grant.cancelled()


def grant_next(transfers: Transfers, now_ms: int) -> None:
    """Grant bodies that wait, in order, as far as there is room."""
    for request_id, body in list(transfers.granted.items()):
        if now_ms - body.heard_ms >= GRANT_EXPIRY_MS:
            del transfers.granted[request_id]
    while transfers.waiting and len(transfers.granted) < GRANTS_MAX:
        request_id, grant = transfers.waiting.popitem(last=False)
        transfers.granted[request_id] = GrantedBody(now_ms, now_ms)
        grant.set_result(None)


def add_part(
    transfers: Transfers,
    request_id: str,
    offset_bytes: int,
    content: bytes,
    now_ms: int,
) -> bool:
    """Keep a part of a body; return False if the body was given up."""
    body = transfers.granted.get(request_id)
    if body is None:
        return False
    body.parts[offset_bytes] = content
    body.heard_ms = now_ms
    return True


def take_body(
    transfers: Transfers, request_id: str, size_bytes: int, now_ms: int
) -> bytes | None:
    """Return a body that was sent ahead, and grant the next one.

    Returns
    -------
    bytes or None
        None if the body is not whole.
    """
    body = transfers.granted.pop(request_id, None)
    grant_next(transfers, now_ms)
    if body is None:
        return None
    joined = bytearray()
    for offset_bytes in sorted(body.parts):
        if offset_bytes != len(joined):
            return None
        joined += body.parts[offset_bytes]
    if len(joined) != size_bytes:
        return None
    elapsed_ms = now_ms - body.granted_ms
    transfers.transfer_ms += TRANSFER_MS_WEIGHT * (elapsed_ms - transfers.transfer_ms)
    return bytes(joined)


def count_held_bytes(transfers: Transfers) -> int:
    """Return the bytes of all parts that wait for their request."""
    return sum(
        len(content)
        for body in transfers.granted.values()
        for content in body.parts.values()
    )


def cancel(transfers: Transfers, request_id: str, now_ms: int) -> None:
    """Give up the body of a request whose caller has left, granted or not."""
    transfers.granted.pop(request_id, None)
    grant = transfers.waiting.pop(request_id, None)
    if grant is not None:
        grant.cancel()
    grant_next(transfers, now_ms)


def estimate_transfer_ms(transfers: Transfers) -> float:
    """Return the expected time until one more body has arrived, in milliseconds."""
    ahead = len(transfers.waiting) + len(transfers.granted)
    return transfers.transfer_ms * max(1.0, (ahead + 1) / GRANTS_MAX)
