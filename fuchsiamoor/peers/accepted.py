"""The accepting side of peer links: hands each call to the handler, sends its answer.

Every call runs in a task of its own, so that a slow one holds up no other.
"""

import asyncio
import http
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import websockets
from loguru import logger
from websockets.asyncio import server as websockets_server
from websockets.http11 import Request, Response

from fuchsiamoor.core import addresses, messages
from fuchsiamoor.core.errors import AccessDeniedError, FrameError
from fuchsiamoor.peers import access, codec, outbox
from fuchsiamoor.peers.codec import Envelope, Role

MAX_RUNNING_CALLS = 4096
MAX_CONNECTIONS = 4096
OPEN_TIMEOUT_S = 2
PING_INTERVAL_S = 30
CLOSE_TIMEOUT_S = 1
WRITE_LIMIT_BYTES = 256 * 1024
QUIET_LOGGER = logging.Logger(__name__, logging.CRITICAL + 1)

Handle = Callable[[str, messages.Message], Awaitable[messages.Message]]


@dataclass(slots=True)
class AcceptedLink:
    """One link that a peer dialled."""

    sender: str
    connection: websockets_server.ServerConnection
    answers: outbox.Outbox = field(default_factory=outbox.Outbox)
    has_answers: asyncio.Event = field(default_factory=asyncio.Event)
    last_correlation_id: int = 0
    running: int = 0


@dataclass(slots=True)
class Acceptor:
    """All links that peers dialled to this member."""

    own_member_id: str
    guard: access.Guard
    handle: Handle
    metrics: object
    server: websockets_server.Server | None = None
    open_links: dict[int, AcceptedLink] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    is_leaving: bool = False


async def listen(acceptor: Acceptor, address: addresses.Address) -> addresses.Address:
    """Accept links at an address and return it with the port that was bound."""
    acceptor.server = await websockets_server.serve(
        lambda connection: _serve_link(acceptor, connection),
        address.host,
        address.port,
        process_request=lambda _, request: _check_request(acceptor, request),
        process_response=lambda _, request, response: _add_proof(
            acceptor, request, response
        ),
        compression="deflate",
        server_header=None,
        logger=QUIET_LOGGER,
        open_timeout=OPEN_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_INTERVAL_S,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=codec.MAX_FRAME_BYTES,
        write_limit=WRITE_LIMIT_BYTES,
    )
    host, port = next(iter(acceptor.server.sockets)).getsockname()[:2]
    return addresses.Address(host, port)


async def leave(acceptor: Acceptor, grace_ms: int) -> None:
    """Refuse new calls, finish those that run, and close all links.

    Parameters
    ----------
    acceptor : Acceptor
    grace_ms : int
        Longest time to wait for calls to end and for peers to close their links.
    """
    acceptor.is_leaving = True
    for link in acceptor.open_links.values():
        _send(link, Envelope(0, Role.LEAVING, None))
    if acceptor.server is None:
        return
    deadline_s = time.monotonic() + grace_ms / 1000
    while acceptor.open_links and time.monotonic() < deadline_s:
        await asyncio.sleep(0.005)
    acceptor.server.close()
    await acceptor.server.wait_closed()
    for task in acceptor.tasks:
        task.cancel()


def _check_request(acceptor: Acceptor, request: Request) -> Response | None:
    """Return a refusal for a handshake, None to let it pass."""
    try:
        offer = access.parse_offer(request.headers)
        access.admit(acceptor.guard, offer, time.time_ns() // 1_000_000)
    except (AccessDeniedError, LookupError) as error:
        acceptor.metrics.count("peers.refused")
        return _make_refusal(http.HTTPStatus.UNAUTHORIZED, str(error))
    if offer.receiver != acceptor.own_member_id:
        acceptor.metrics.count("peers.other_member_expected")
        return _make_refusal(
            http.HTTPStatus.MISDIRECTED_REQUEST, f"this is {acceptor.own_member_id}"
        )
    if acceptor.is_leaving or len(acceptor.open_links) >= MAX_CONNECTIONS:
        acceptor.metrics.count("peers.links_refused")
        return _make_refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, "no link now")
    return None


def _make_refusal(status: http.HTTPStatus, text: str) -> Response:
    body = text.encode()
    headers = websockets.Headers(
        {"Content-Length": str(len(body)), "Connection": "close"}
    )
    return Response(status.value, status.phrase, headers, body)


def _add_proof(acceptor: Acceptor, request: Request, response: Response) -> None:
    if response.status_code != http.HTTPStatus.SWITCHING_PROTOCOLS:
        return
    offer = access.parse_offer(request.headers)
    key = access.find_key(acceptor.guard.keys, offer)
    response.headers[access.PROOF_HEADER] = access.prove_acceptance(key, offer)


async def _serve_link(
    acceptor: Acceptor, connection: websockets_server.ServerConnection
) -> None:
    sender = access.parse_offer(connection.request.headers).sender
    link = AcceptedLink(sender, connection)
    acceptor.open_links[id(link)] = link
    writer = asyncio.create_task(_write_answers(link, acceptor.metrics))
    try:
        async for frame in connection:
            for envelope in codec.decode_frame(frame):
                _receive(acceptor, link, envelope)
    except FrameError:
        acceptor.metrics.count("peers.bad_frames")
        await connection.close(1002)
    except websockets.ConnectionClosed:
        pass
    finally:
        writer.cancel()
        del acceptor.open_links[id(link)]


def _receive(acceptor: Acceptor, link: AcceptedLink, envelope: Envelope) -> None:
    """Start the handling of one call or message."""
    correlation_id, role, message = envelope
    if role not in (Role.TELL, Role.CALL):
        raise FrameError(f"found role {role!r}, expected a call")
    if correlation_id <= link.last_correlation_id:
        acceptor.metrics.count("peers.duplicate_messages")
        return
    link.last_correlation_id = correlation_id
    if acceptor.is_leaving or link.running >= MAX_RUNNING_CALLS:
        acceptor.metrics.count("peers.calls_refused")
        if role is Role.CALL:
            _send(link, Envelope(correlation_id, Role.REFUSED, None))
        return
    link.running += 1
    task = asyncio.create_task(_handle(acceptor, link, envelope))
    acceptor.tasks.add(task)
    task.add_done_callback(acceptor.tasks.discard)


async def _handle(acceptor: Acceptor, link: AcceptedLink, envelope: Envelope) -> None:
    correlation_id, role, message = envelope
    try:
        answer = await acceptor.handle(link.sender, message)
        reply = Envelope(correlation_id, Role.ANSWER, answer)
    except Exception as error:
        acceptor.metrics.count("peers.handler_failures")
        logger.opt(exception=error).error("handler of {} failed", type(message))
        reply = Envelope(correlation_id, Role.FAILED, None)
    finally:
        link.running -= 1
    if role is Role.CALL:
        _answer(acceptor, link, reply)


def _answer(acceptor: Acceptor, link: AcceptedLink, reply: Envelope) -> None:
    if id(link) not in acceptor.open_links:
        acceptor.metrics.count("peers.answers_without_link")
        return
    try:
        _send(link, reply)
    except FrameError as error:
        acceptor.metrics.count("peers.handler_failures")
        logger.error("answer not sent: {}", error)
        _send(link, Envelope(reply.correlation_id, Role.FAILED, None))


def _send(link: AcceptedLink, envelope: Envelope) -> None:
    """Queue an answer; a peer that reads none loses its link."""
    encoded = codec.encode_envelope(envelope)
    if not outbox.has_room(link.answers, len(encoded)):
        link.connection.transport.abort()
        return
    outbox.add(link.answers, envelope.correlation_id, encoded)
    link.has_answers.set()


async def _write_answers(link: AcceptedLink, metrics: object) -> None:
    try:
        while True:
            await link.has_answers.wait()
            link.has_answers.clear()
            while link.answers.waiting:
                frame = outbox.take_frame(link.answers)
                metrics.count("peers.sent_bytes", len(frame))
                await link.connection.send(frame)
    except websockets.ConnectionClosed:
        pass
