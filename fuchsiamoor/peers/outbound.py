"""Outbound peer links: one link to each peer, with many concurrent calls.

A link is dialled on first use. Every `IDLE_TIMEOUT_S` it is checked, and it is closed
if it was not used for that time. A call ends with its answer or with an error that
tells whether its message may have been sent.
"""

import asyncio
import functools
import logging
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import websockets
from websockets.asyncio import client as websockets_client

from fuchsiamoor.core import byte_account, members, messages
from fuchsiamoor.core.errors import (
    AccessDeniedError,
    FrameError,
    PeerLinkLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from fuchsiamoor.peers import codec, counted_frames, handshake, outbox
from fuchsiamoor.peers.codec import Envelope, Role

MAX_CALLS_IN_FLIGHT = 4096
DIAL_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
IDLE_TIMEOUT_S = 60.0
# A connection that brings nothing for this time after a ping gets no more calls.
PING_TIMEOUT_S = 1.0
# It is lost with its calls after this time: a few retransmissions, or a full queue of a
# slow network path.
LOST_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 1.0
WRITE_LIMIT_BYTES = 256 * 1024
# Suppresses the log lines of the websockets library.
DISABLED_LOGGER = logging.Logger(__name__, logging.CRITICAL + 1)


@dataclass(slots=True, eq=False)
class OutboundLink:
    """The link to one member, open or closed.

    Parameters
    ----------
    member : Member
    calls : dict of int to Future
        Calls in flight, by correlation id.
    unsent : Outbox
        Messages that have not been written to the connection at all.
    last_correlation_id : int
    task : Task or None
        Dials the link and runs it while it is open.
    connection : ClientConnection or None
        None until the link is open.
    is_peer_draining : bool
        Whether the peer has announced that it accepts no more calls on this connection.
    is_replaced : bool
        Whether new calls use another link, as this one may have been lost.
    dial_failures : int
        Consecutive failed attempts to dial.
    next_dial_s, last_used_s, last_received_s : float
        Event loop times of the earliest next attempt to dial, the last use of the link
        and the last frame received.
    """

    member: members.Member
    calls: dict[int, asyncio.Future] = field(default_factory=dict)
    unsent: outbox.Outbox = field(default_factory=outbox.Outbox)
    has_unsent: asyncio.Event = field(default_factory=asyncio.Event)
    last_correlation_id: int = 0
    task: asyncio.Task | None = None
    connection: counted_frames.CountedClientConnection | None = None
    check_task: asyncio.Task | None = None
    is_peer_draining: bool = False
    is_replaced: bool = False
    dial_failures: int = 0
    next_dial_s: float = 0.0
    last_used_s: float = 0.0
    last_received_s: float = 0.0


@dataclass(slots=True)
class Dialler:
    """All outbound links of this member.

    Parameters
    ----------
    links : dict of str to OutboundLink
        Links that take new calls, by member id.
    replaced : dict of str to OutboundLink
        Links that only wait for the answers to their calls, by member id; a member has
        one at most.
    """

    own_member_id: str
    keys: tuple[str, ...]
    metrics: object
    accounts: byte_account.Accounts
    uses_compression: Callable[[members.Member], bool] = lambda member: False
    links: dict[str, OutboundLink] = field(default_factory=dict)
    replaced: dict[str, OutboundLink] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    is_closing: bool = False


async def call(
    dialler: Dialler, member: members.Member, message: messages.Message, timeout_ms: int
) -> messages.Message:
    """Send a message and wait for its answer; see `fuchsiamoor.peers.links.call`."""
    loop = asyncio.get_running_loop()
    link = _get_or_dial_link(dialler, member, loop.time())
    if len(link.calls) >= MAX_CALLS_IN_FLIGHT:
        dialler.metrics.count("peers.calls_over_limit")
        raise PeerUnreachableError(f"{member.member_id}: too many calls in flight")
    correlation_id = _add_message(dialler, link, Role.CALL, message)
    future = loop.create_future()
    link.calls[correlation_id] = future
    timer = loop.call_later(
        timeout_ms / 1000, _handle_call_timeout, dialler, link, correlation_id
    )
    try:
        return await future
    finally:
        timer.cancel()
        if link.calls.pop(correlation_id, None) is not None:
            outbox.discard(link.unsent, correlation_id)
        if link.is_replaced and not link.calls:
            _abort_link(link)


def tell(dialler: Dialler, member: members.Member, message: messages.Message) -> None:
    """Send a one-way message; if the link cannot be used, drop and count it."""
    try:
        link = _get_or_dial_link(dialler, member, asyncio.get_running_loop().time())
        _add_message(dialler, link, Role.TELL, message)
    except PeerUnreachableError:
        dialler.metrics.count("peers.messages_dropped")


async def close(dialler: Dialler, grace_ms: int) -> None:
    """Refuse new calls, wait for calls in flight, and close all links."""
    dialler.is_closing = True
    deadline_s = time.monotonic() + grace_ms / 1000
    while _is_busy(dialler) and time.monotonic() < deadline_s:
        await asyncio.sleep(0.005)
    for task in dialler.tasks:
        task.cancel()
    await asyncio.gather(*dialler.tasks, return_exceptions=True)


def _is_busy(dialler: Dialler) -> bool:
    links = (*dialler.links.values(), *dialler.replaced.values())
    return any(link.calls or link.unsent.envelopes for link in links)


def _get_or_dial_link(
    dialler: Dialler, member: members.Member, now_s: float
) -> OutboundLink:
    """Return the link to a member; start to dial it if it is not open.

    Raises
    ------
    PeerUnreachableError
        If the backoff after a failed dial has not ended, or either side is draining.
    """
    if dialler.is_closing:
        raise PeerUnreachableError(f"{member.member_id}: this daemon is leaving")
    link = dialler.links.get(member.member_id)
    if link is None:
        link = dialler.links[member.member_id] = OutboundLink(member)
        link.unsent = _make_outbox(dialler, link)
    if link.is_peer_draining:
        raise PeerUnreachableError(f"{member.member_id}: it is leaving")
    link.last_used_s = now_s
    if link.task is not None:
        return link
    if now_s < link.next_dial_s:
        raise PeerUnreachableError(f"{member.member_id}: could not be dialled")
    link.task = asyncio.create_task(_run_link(dialler, link))
    dialler.tasks.add(link.task)
    link.task.add_done_callback(dialler.tasks.discard)
    return link


def _make_outbox(dialler: Dialler, link: OutboundLink) -> outbox.Outbox:
    return outbox.Outbox(
        account=dialler.accounts.unsent, abort_link=lambda: _abort_link(link)
    )


def _abort_link(link: OutboundLink) -> None:
    """Abort a link with too many unsent bytes; drop them if it is not open yet."""
    if link.connection is not None:
        link.connection.transport.abort()
        return
    _drop_unsent(link, "too much is unsent")


def _add_message(
    dialler: Dialler, link: OutboundLink, role: Role, message: messages.Message
) -> int:
    correlation_id = link.last_correlation_id + 1
    try:
        encoded = codec.encode_envelope(Envelope(correlation_id, role, message))
    except FrameError as error:
        raise PeerUnreachableError(f"{link.member.member_id}: {error}") from error
    if not outbox.has_capacity(link.unsent, len(encoded)):
        dialler.metrics.count("peers.calls_over_limit")
        raise PeerUnreachableError(
            f"{link.member.member_id}: too much waits to be sent"
        )
    link.last_correlation_id = correlation_id
    outbox.add(link.unsent, correlation_id, encoded)
    if correlation_id not in link.unsent.envelopes:
        raise PeerUnreachableError(f"{link.member.member_id}: too much is unsent")
    link.has_unsent.set()
    return correlation_id


def _handle_call_timeout(
    dialler: Dialler, link: OutboundLink, correlation_id: int
) -> None:
    """Fail a call that was not answered in time, and check its connection."""
    future = link.calls.pop(correlation_id, None)
    if future is None or future.done():
        return
    name = link.member.member_id
    if outbox.discard(link.unsent, correlation_id):
        future.set_exception(PeerUnreachableError(f"{name}: not sent in time"))
        return
    dialler.metrics.count("peers.timeouts")
    future.set_exception(PeerTimeoutError(f"{name}: no answer in time"))
    if link.connection is not None and link.check_task is None:
        link.check_task = asyncio.create_task(
            _check_connection(dialler, link, link.connection)
        )


async def _check_connection(
    dialler: Dialler,
    link: OutboundLink,
    connection: counted_frames.CountedClientConnection,
) -> None:
    """Ping the peer; replace the link, and abort it later, if nothing arrives from it.

    A network path may be slow, or full, and a pong waits behind the answers that the
    peer has queued. Calls in flight are therefore given more time than new ones, which
    can use another connection.
    """
    pinged_s = asyncio.get_running_loop().time()
    try:
        pong = await connection.ping()
        if await _has_heard(link, pong, pinged_s, PING_TIMEOUT_S):
            return
        _replace_link(dialler, link)
        if not await _has_heard(link, pong, pinged_s, LOST_TIMEOUT_S - PING_TIMEOUT_S):
            connection.transport.abort()
    except websockets.ConnectionClosed:
        pass
    finally:
        link.check_task = None


async def _has_heard(
    link: OutboundLink, pong: asyncio.Future, since_s: float, wait_s: float
) -> bool:
    """Return whether a pong or an answer arrives from a peer in time."""
    await asyncio.wait((pong,), timeout=wait_s)
    return pong.done() or link.last_received_s >= since_s


def _replace_link(dialler: Dialler, link: OutboundLink) -> None:
    """Use another link for new calls, and for those that have not been sent."""
    member_id = link.member.member_id
    if dialler.links.get(member_id) is not link or member_id in dialler.replaced:
        return
    del dialler.links[member_id]
    dialler.replaced[member_id] = link
    link.is_replaced = True
    dialler.metrics.count("peers.links_replaced")
    _drop_unsent(link, "the link is slow")
    if not link.calls:
        _abort_link(link)


def _drop_unsent(link: OutboundLink, cause: str) -> None:
    """Fail the calls that have not been sent as unreachable."""
    for correlation_id in list(link.unsent.envelopes):
        outbox.discard(link.unsent, correlation_id)
        future = link.calls.pop(correlation_id, None)
        if future is not None and not future.done():
            name = link.member.member_id
            future.set_exception(PeerUnreachableError(f"{name}: {cause}"))


async def _run_link(dialler: Dialler, link: OutboundLink) -> None:
    """Dial, then send and receive until the link breaks or is no longer needed."""
    cause = "link closed"
    connection = None
    try:
        connection = link.connection = await _dial(dialler, link)
        link.dial_failures = 0
        await _run_connection(dialler, link, connection)
    except PeerUnreachableError as error:
        cause = str(error)
        _record_dial_failure(dialler, link)
    finally:
        _reset_link(dialler, link, cause)
        if connection is not None:
            await connection.close()


async def _dial(
    dialler: Dialler, link: OutboundLink
) -> counted_frames.CountedClientConnection:
    """Open a connection and authenticate both sides."""
    host, port = link.member.peer_address
    offer = handshake.make_offer(
        dialler.keys[0],
        dialler.own_member_id,
        link.member.member_id,
        secrets.token_hex(16),
        time.time_ns() // 1_000_000,
    )
    try:
        connection = await websockets_client.connect(
            f"ws://{host}:{port}/",
            additional_headers=handshake.format_offer(offer),
            user_agent_header=None,
            proxy=None,
            compression="deflate" if dialler.uses_compression(link.member) else None,
            open_timeout=DIAL_TIMEOUT_S,
            ping_interval=None,
            logger=DISABLED_LOGGER,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=codec.MAX_FRAME_BYTES,
            write_limit=WRITE_LIMIT_BYTES,
            create_connection=functools.partial(
                counted_frames.CountedClientConnection, dialler.accounts.frames
            ),
        )
    except (
        OSError,
        TimeoutError,
        # An address that cannot be used, from a member's record.
        ValueError,
        OverflowError,
        websockets.WebSocketException,
    ) as error:
        raise PeerUnreachableError(f"{link.member.member_id}: {error!r}") from error
    try:
        proof = connection.response.headers.get(handshake.PROOF_HEADER, "")
        handshake.verify_acceptance(dialler.keys, offer, proof)
    except AccessDeniedError as error:
        dialler.metrics.count("peers.refused")
        connection.transport.abort()
        raise PeerUnreachableError(str(error)) from error
    dialler.metrics.count("peers.dialled")
    return connection


async def _run_connection(
    dialler: Dialler,
    link: OutboundLink,
    connection: counted_frames.CountedClientConnection,
) -> None:
    reader = asyncio.create_task(_read_answers(dialler, link, connection))
    writer = asyncio.create_task(_write_messages(link, connection, dialler.metrics))
    try:
        while not _is_unneeded(link):
            done, _ = await asyncio.wait(
                (reader, writer),
                timeout=IDLE_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
    finally:
        reader.cancel()
        writer.cancel()


def _is_unneeded(link: OutboundLink) -> bool:
    """Return whether a link has no calls, and is idle or has a draining peer."""
    if link.calls or link.unsent.envelopes:
        return False
    now_s = asyncio.get_running_loop().time()
    is_leaving = link.is_peer_draining or link.is_replaced
    return is_leaving or now_s - link.last_used_s >= IDLE_TIMEOUT_S


async def _write_messages(
    link: OutboundLink,
    connection: counted_frames.CountedClientConnection,
    metrics: object,
) -> None:
    """Write messages until the connection closes; what was not written stays unsent."""
    try:
        while True:
            await link.has_unsent.wait()
            link.has_unsent.clear()
            while link.unsent.envelopes:
                if connection.state is not websockets.State.OPEN:
                    return
                frame = outbox.take_frame(link.unsent)
                metrics.count("peers.sent_bytes", len(frame))
                await connection.send(frame)
                outbox.end_writing(link.unsent)
    except websockets.ConnectionClosed:
        pass


async def _read_answers(
    dialler: Dialler,
    link: OutboundLink,
    connection: counted_frames.CountedClientConnection,
) -> None:
    loop = asyncio.get_running_loop()
    try:
        async for frame in connection:
            connection.end_frame()
            link.last_received_s = loop.time()
            for envelope in codec.decode_frame(frame):
                _handle_answer(dialler, link, envelope)
            is_leaving = link.is_peer_draining or link.is_replaced
            if is_leaving and not link.calls and not link.unsent.envelopes:
                return
    except FrameError:
        dialler.metrics.count("peers.bad_frames")
    except websockets.ConnectionClosed:
        pass


def _handle_answer(dialler: Dialler, link: OutboundLink, envelope: Envelope) -> None:
    """Complete the call to which an answer belongs."""
    correlation_id, role, message = envelope
    if role is Role.LEAVING:
        link.is_peer_draining = True
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


def _record_dial_failure(dialler: Dialler, link: OutboundLink) -> None:
    dialler.metrics.count("peers.dial_failures")
    delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**link.dial_failures)
    link.dial_failures = min(link.dial_failures + 1, 10)
    link.next_dial_s = asyncio.get_running_loop().time() + delay_s


def _reset_link(dialler: Dialler, link: OutboundLink, cause: str) -> None:
    """Reset a closed link and fail its calls.

    Calls that are still unsent fail as unreachable; the others may have reached the
    peer and fail as lost.
    """
    if link.is_replaced:
        dialler.replaced.pop(link.member.member_id, None)
    link.task = None
    link.connection = None
    link.is_peer_draining = False
    link.has_unsent.clear()
    calls, link.calls = link.calls, {}
    unsent, link.unsent = link.unsent, _make_outbox(dialler, link)
    byte_account.release_all(unsent.account, unsent)
    if calls:
        dialler.metrics.count("peers.links_lost")
    for correlation_id, future in calls.items():
        if future.done():
            continue
        name = link.member.member_id
        if correlation_id in unsent.envelopes:
            future.set_exception(PeerUnreachableError(f"{name}: {cause}"))
        else:
            future.set_exception(PeerLinkLostError(f"{name}: {cause}"))
