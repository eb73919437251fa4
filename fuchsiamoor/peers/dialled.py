"""The dialling side of peer links: one link to each peer, many calls in flight.

A link is dialled when it is first needed and closed when it has been idle. A call ends
with its answer or with an error that says whether its message may have left.
"""

import asyncio
import logging
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import websockets
from websockets.asyncio import client as websockets_client

from fuchsiamoor.core import members, messages
from fuchsiamoor.core.errors import (
    AccessDeniedError,
    FrameError,
    PeerLinkLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from fuchsiamoor.peers import access, codec, outbox
from fuchsiamoor.peers.codec import Envelope, Role

MAX_CALLS_IN_FLIGHT = 4096
DIAL_TIMEOUT_S = 1.0
FIRST_BACK_OFF_S = 0.05
MAX_BACK_OFF_S = 0.5
IDLE_S = 60.0
PING_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
WRITE_LIMIT_BYTES = 256 * 1024
QUIET_LOGGER = logging.Logger(__name__, logging.CRITICAL + 1)


@dataclass(slots=True)
class DialledLink:
    """The link to one member, open or not.

    Parameters
    ----------
    member : Member
    calls : dict of int to Future
        Calls without an ending, by correlation id.
    unsent : Outbox
        Messages of which nothing has left.
    last_correlation_id : int
    task : Task or None
        Holds the link open, or is opening it.
    connection : ClientConnection or None
        Once open.
    is_leaving : bool
        Whether the peer has said that it takes no more calls on this connection.
    failures : int
        Attempts to dial that failed in a row.
    dial_after_s, used_at_s, heard_at_s : float
        Times of the event loop: earliest next attempt, last message added, last frame
        received.
    """

    member: members.Member
    calls: dict[int, asyncio.Future] = field(default_factory=dict)
    unsent: outbox.Outbox = field(default_factory=outbox.Outbox)
    has_unsent: asyncio.Event = field(default_factory=asyncio.Event)
    last_correlation_id: int = 0
    task: asyncio.Task | None = None
    connection: websockets_client.ClientConnection | None = None
    ping_task: asyncio.Task | None = None
    is_leaving: bool = False
    failures: int = 0
    dial_after_s: float = 0.0
    used_at_s: float = 0.0
    heard_at_s: float = 0.0


@dataclass(slots=True)
class Dialler:
    """All links that this member dials."""

    own_member_id: str
    keys: tuple[str, ...]
    metrics: object
    is_far: Callable[[members.Member], bool] = lambda member: False
    links: dict[str, DialledLink] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    is_closing: bool = False


async def call(
    dialler: Dialler, member: members.Member, message: messages.Message, timeout_ms: int
) -> messages.Message:
    """Send a message and wait for its answer; see `fuchsiamoor.peers.links.call`."""
    loop = asyncio.get_running_loop()
    link = _ready_link(dialler, member, loop.time())
    if len(link.calls) >= MAX_CALLS_IN_FLIGHT:
        dialler.metrics.count("peers.calls_over_limit")
        raise PeerUnreachableError(f"{member.member_id}: too many calls in flight")
    correlation_id = _add_message(dialler, link, Role.CALL, message)
    future = loop.create_future()
    link.calls[correlation_id] = future
    timer = loop.call_later(timeout_ms / 1000, _expire, dialler, link, correlation_id)
    try:
        return await future
    finally:
        timer.cancel()
        if link.calls.pop(correlation_id, None) is not None:
            outbox.discard(link.unsent, correlation_id)


def tell(dialler: Dialler, member: members.Member, message: messages.Message) -> None:
    """Send a message without an answer; dropped and counted if the link is not up."""
    try:
        link = _ready_link(dialler, member, asyncio.get_running_loop().time())
        _add_message(dialler, link, Role.TELL, message)
    except PeerUnreachableError:
        dialler.metrics.count("peers.messages_dropped")


async def close(dialler: Dialler, grace_ms: int) -> None:
    """Refuse new calls, wait for those in flight, and close all links."""
    dialler.is_closing = True
    deadline_s = time.monotonic() + grace_ms / 1000
    while _is_busy(dialler) and time.monotonic() < deadline_s:
        await asyncio.sleep(0.005)
    for task in dialler.tasks:
        task.cancel()
    await asyncio.gather(*dialler.tasks, return_exceptions=True)


def _is_busy(dialler: Dialler) -> bool:
    return any(link.calls or link.unsent.waiting for link in dialler.links.values())


def _ready_link(dialler: Dialler, member: members.Member, now_s: float) -> DialledLink:
    """Return the link to a member, dialling it if needed.

    Raises
    ------
    PeerUnreachableError
        If the last attempt has just failed, or either side is leaving.
    """
    if dialler.is_closing:
        raise PeerUnreachableError(f"{member.member_id}: this daemon is leaving")
    link = dialler.links.get(member.member_id)
    if link is None:
        link = dialler.links[member.member_id] = DialledLink(member)
    if link.is_leaving:
        raise PeerUnreachableError(f"{member.member_id}: it is leaving")
    link.used_at_s = now_s
    if link.task is not None:
        return link
    if now_s < link.dial_after_s:
        raise PeerUnreachableError(f"{member.member_id}: could not be dialled")
    link.task = asyncio.create_task(_hold_link(dialler, link))
    dialler.tasks.add(link.task)
    link.task.add_done_callback(dialler.tasks.discard)
    return link


def _add_message(
    dialler: Dialler, link: DialledLink, role: Role, message: messages.Message
) -> int:
    correlation_id = link.last_correlation_id + 1
    try:
        encoded = codec.encode_envelope(Envelope(correlation_id, role, message))
    except FrameError as error:
        raise PeerUnreachableError(f"{link.member.member_id}: {error}") from error
    if not outbox.has_room(link.unsent, len(encoded)):
        dialler.metrics.count("peers.calls_over_limit")
        raise PeerUnreachableError(
            f"{link.member.member_id}: too much waits to be sent"
        )
    link.last_correlation_id = correlation_id
    outbox.add(link.unsent, correlation_id, encoded)
    link.has_unsent.set()
    return correlation_id


def _expire(dialler: Dialler, link: DialledLink, correlation_id: int) -> None:
    """End a call that has had no answer in time."""
    future = link.calls.pop(correlation_id, None)
    if future is None or future.done():
        return
    name = link.member.member_id
    if outbox.discard(link.unsent, correlation_id):
        future.set_exception(PeerUnreachableError(f"{name}: not sent in time"))
        return
    dialler.metrics.count("peers.timeouts")
    future.set_exception(PeerTimeoutError(f"{name}: no answer in time"))
    if link.connection is not None and link.ping_task is None:
        link.ping_task = asyncio.create_task(_ping(link, link.connection))


async def _ping(
    link: DialledLink, connection: websockets_client.ClientConnection
) -> None:
    """Abort a connection that no longer carries anything."""
    try:
        pong = await connection.ping()
        await asyncio.wait_for(pong, PING_TIMEOUT_S)
    except TimeoutError:
        connection.transport.abort()
    except websockets.ConnectionClosed:
        pass
    finally:
        link.ping_task = None


async def _hold_link(dialler: Dialler, link: DialledLink) -> None:
    """Dial, then write and read until the link breaks or is idle."""
    cause = "link closed"
    connection = None
    try:
        connection = link.connection = await _dial(dialler, link)
        link.failures = 0
        await _exchange(dialler, link, connection)
    except PeerUnreachableError as error:
        cause = str(error)
        _back_off(dialler, link)
    finally:
        _end_link(dialler, link, cause)
        if connection is not None:
            await connection.close()


async def _dial(
    dialler: Dialler, link: DialledLink
) -> websockets_client.ClientConnection:
    """Open a connection on which both sides have proved a key in force."""
    host, port = link.member.peer_address
    offer = access.make_offer(
        dialler.keys[0],
        dialler.own_member_id,
        link.member.member_id,
        secrets.token_hex(16),
        time.time_ns() // 1_000_000,
    )
    try:
        connection = await websockets_client.connect(
            f"ws://{host}:{port}/",
            additional_headers=access.format_offer(offer),
            user_agent_header=None,
            proxy=None,
            compression="deflate" if dialler.is_far(link.member) else None,
            open_timeout=DIAL_TIMEOUT_S,
            ping_interval=None,
            logger=QUIET_LOGGER,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=codec.MAX_FRAME_BYTES,
            write_limit=WRITE_LIMIT_BYTES,
        )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise PeerUnreachableError(f"{link.member.member_id}: {error!r}") from error
    try:
        proof = connection.response.headers.get(access.PROOF_HEADER, "")
        access.check_acceptance(dialler.keys, offer, proof)
    except AccessDeniedError as error:
        dialler.metrics.count("peers.refused")
        connection.transport.abort()
        raise PeerUnreachableError(str(error)) from error
    dialler.metrics.count("peers.dialled")
    return connection


async def _exchange(
    dialler: Dialler,
    link: DialledLink,
    connection: websockets_client.ClientConnection,
) -> None:
    reader = asyncio.create_task(_read_answers(dialler, link, connection))
    writer = asyncio.create_task(_write_messages(link, connection, dialler.metrics))
    try:
        while not _is_over(link):
            done, _ = await asyncio.wait(
                (reader, writer),
                timeout=IDLE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
    finally:
        reader.cancel()
        writer.cancel()


def _is_over(link: DialledLink) -> bool:
    """Return whether an open link is no longer needed."""
    if link.calls or link.unsent.waiting:
        return False
    now_s = asyncio.get_running_loop().time()
    return link.is_leaving or now_s - link.used_at_s >= IDLE_S


async def _write_messages(
    link: DialledLink,
    connection: websockets_client.ClientConnection,
    metrics: object,
) -> None:
    try:
        while True:
            await link.has_unsent.wait()
            link.has_unsent.clear()
            while link.unsent.waiting:
                frame = outbox.take_frame(link.unsent)
                metrics.count("peers.sent_bytes", len(frame))
                await connection.send(frame)
    except websockets.ConnectionClosed:
        pass


async def _read_answers(
    dialler: Dialler,
    link: DialledLink,
    connection: websockets_client.ClientConnection,
) -> None:
    loop = asyncio.get_running_loop()
    try:
        async for frame in connection:
            link.heard_at_s = loop.time()
            for envelope in codec.decode_frame(frame):
                _settle(dialler, link, envelope)
            if link.is_leaving and not link.calls and not link.unsent.waiting:
                return
    except FrameError:
        dialler.metrics.count("peers.bad_frames")
    except websockets.ConnectionClosed:
        pass


def _settle(dialler: Dialler, link: DialledLink, envelope: Envelope) -> None:
    """Give an answer to the call that waits for it."""
    correlation_id, role, message = envelope
    if role is Role.LEAVING:
        link.is_leaving = True
        return
    future = link.calls.pop(correlation_id, None)
    if future is None or future.done():
        dialler.metrics.count("peers.late_answers")
        return
    name = link.member.member_id
    match role:
        case Role.ANSWER:
            future.set_result(message)
        case Role.REFUSED:
            future.set_exception(PeerUnreachableError(f"{name}: refused the call"))
        case Role.FAILED:
            future.set_exception(PeerLinkLostError(f"{name}: failed on the call"))
        case _:
            raise FrameError(f"found role {role!r}, expected an answer")


def _back_off(dialler: Dialler, link: DialledLink) -> None:
    dialler.metrics.count("peers.dial_failures")
    delay_s = min(MAX_BACK_OFF_S, FIRST_BACK_OFF_S * 2**link.failures)
    link.failures = min(link.failures + 1, 10)
    link.dial_after_s = asyncio.get_running_loop().time() + delay_s


def _end_link(dialler: Dialler, link: DialledLink, cause: str) -> None:
    """End all calls of a link that is no longer open, each as truly as can be known."""
    link.task = None
    link.connection = None
    link.is_leaving = False
    link.has_unsent.clear()
    calls, link.calls = link.calls, {}
    unsent, link.unsent = link.unsent, outbox.Outbox()
    if calls:
        dialler.metrics.count("peers.links_lost")
    for correlation_id, future in calls.items():
        if future.done():
            continue
        name = link.member.member_id
        if correlation_id in unsent.waiting:
            future.set_exception(PeerUnreachableError(f"{name}: {cause}"))
        else:
            future.set_exception(PeerLinkLostError(f"{name}: {cause}"))
