"""Grants to send large request bodies to this daemon, a few at a time.

The link of a small machine carries a body of 60 KB in 100 ms. Many bodies at once fill
its queue, and all small messages to the machine wait behind them. A daemon therefore
asks before it sends a large body, and the receiver lets a few come at a time, in order.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Bodies from this size on need a grant: about ten packets.
LARGE_BODY_BYTES = 16 * 1024
# Bodies on their way at a time: while one ends, the next one's first bytes arrive.
GRANTS_MAX = 2
# A granted body that has not arrived after this time no longer counts.
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
    transfer_ms : float
        Moving average of the time from a grant to the arrival of the body.
    """

    granted_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: OrderedDict[str, asyncio.Future] = field(default_factory=OrderedDict)
    transfer_ms: float = DEFAULT_TRANSFER_MS


async def wait_for_grant(
    transfers: Transfers, request_id: str, now_ms: Callable[[], int]
) -> bool:
    """Wait until a body may be sent; False if its request is cancelled meanwhile."""
    grant = asyncio.get_running_loop().create_future()
    transfers.waiting[request_id] = grant
    try:
        while not grant.done():
            grant_next(transfers, now_ms())
            # An expired grant makes room without any other event.
            await asyncio.wait((grant,), timeout=GRANT_EXPIRY_MS / 1000)
    finally:
        if transfers.waiting.get(request_id) is grant:
            del transfers.waiting[request_id]
    return not grant.cancelled()


def grant_next(transfers: Transfers, now_ms: int) -> None:
    """Grant bodies that wait, in order, as far as there is room."""
    for request_id, granted_ms in list(transfers.granted_ms.items()):
        if now_ms - granted_ms >= GRANT_EXPIRY_MS:
            del transfers.granted_ms[request_id]
    while transfers.waiting and len(transfers.granted_ms) < GRANTS_MAX:
        request_id, grant = transfers.waiting.popitem(last=False)
        transfers.granted_ms[request_id] = now_ms
        grant.set_result(None)


def record_arrival(transfers: Transfers, request_id: str, now_ms: int) -> None:
    """Record that a request has arrived, and grant the next body if it had a grant."""
    granted_ms = transfers.granted_ms.pop(request_id, None)
    if granted_ms is None:
        return
    elapsed_ms = now_ms - granted_ms
    transfers.transfer_ms += TRANSFER_MS_WEIGHT * (elapsed_ms - transfers.transfer_ms)
    grant_next(transfers, now_ms)


def cancel(transfers: Transfers, request_id: str, now_ms: int) -> None:
    """Give up the body of a request whose caller has left, granted or not."""
    transfers.granted_ms.pop(request_id, None)
    grant = transfers.waiting.pop(request_id, None)
    if grant is not None:
        grant.cancel()
    grant_next(transfers, now_ms)


def estimate_transfer_ms(transfers: Transfers) -> float:
    """Return the expected time until one more body has arrived, in milliseconds."""
    ahead = len(transfers.waiting) + len(transfers.granted_ms)
    return transfers.transfer_ms * max(1.0, (ahead + 1) / GRANTS_MAX)
