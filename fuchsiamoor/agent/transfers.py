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
class Transfers:
    """Bodies that are on their way to this daemon, and those that wait for a grant.

    Parameters
    ----------
    granted_ms : OrderedDict of str to int
        Time of the grant of each body on its way, by request id, oldest first.
    waiting : OrderedDict of str to Future
        Grants that are waited for, by request id, oldest first.
    heard_ms : dict of str to int
        Time of the grant, or of the latest part, of each body on its way.
    parts : dict of str to dict of int to bytes
        Parts of each body on its way that have arrived, by offset.
    transfer_ms : float
        Moving average of the time from a grant to the arrival of the request.
    """

    granted_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: OrderedDict[str, asyncio.Future] = field(default_factory=OrderedDict)
    heard_ms: dict[str, int] = field(default_factory=dict)
    parts: dict[str, dict[int, bytes]] = field(default_factory=dict)
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
    for request_id, heard_ms in list(transfers.heard_ms.items()):
        if now_ms - heard_ms >= GRANT_EXPIRY_MS:
            _drop(transfers, request_id)
    while transfers.waiting and len(transfers.granted_ms) < GRANTS_MAX:
        request_id, grant = transfers.waiting.popitem(last=False)
        transfers.granted_ms[request_id] = transfers.heard_ms[request_id] = now_ms
        transfers.parts[request_id] = {}
        grant.set_result(None)


def _drop(transfers: Transfers, request_id: str) -> None:
    for by_request in (transfers.granted_ms, transfers.heard_ms, transfers.parts):
        by_request.pop(request_id, None)


def add_part(
    transfers: Transfers,
    request_id: str,
    offset_bytes: int,
    content: bytes,
    now_ms: int,
) -> bool:
    """Keep a part of a body; return False if the body was given up."""
    parts = transfers.parts.get(request_id)
    if parts is None:
        return False
    parts[offset_bytes] = content
    transfers.heard_ms[request_id] = now_ms
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
    parts = transfers.parts.get(request_id, {})
    granted_ms = transfers.granted_ms.get(request_id, now_ms)
    _drop(transfers, request_id)
    grant_next(transfers, now_ms)
    body = bytearray()
    for offset_bytes in sorted(parts):
        if offset_bytes != len(body):
            return None
        body += parts[offset_bytes]
    if len(body) != size_bytes:
        return None
    elapsed_ms = now_ms - granted_ms
    transfers.transfer_ms += TRANSFER_MS_WEIGHT * (elapsed_ms - transfers.transfer_ms)
    return bytes(body)


def count_held_bytes(transfers: Transfers) -> int:
    """Return the bytes of all parts that wait for their request."""
    return sum(
        len(content) for parts in transfers.parts.values() for content in parts.values()
    )


def cancel(transfers: Transfers, request_id: str, now_ms: int) -> None:
    """Give up the body of a request whose caller has left, granted or not."""
    _drop(transfers, request_id)
    grant = transfers.waiting.pop(request_id, None)
    if grant is not None:
        grant.cancel()
    grant_next(transfers, now_ms)


def estimate_transfer_ms(transfers: Transfers) -> float:
    """Return the expected time until one more body has arrived, in milliseconds."""
    ahead = len(transfers.waiting) + len(transfers.granted_ms)
    return transfers.transfer_ms * max(1.0, (ahead + 1) / GRANTS_MAX)
