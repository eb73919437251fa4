"""Inbound peer links: passes each call to the handler and sends its answer.

Each call runs in its own task, so that a slow call does not delay others.
"""

import asyncio
import functools
import http
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import websockets
from loguru import logger
from websockets.asyncio import server as websockets_server
from websockets.http11 import Request, Response

from fuchsiamoor.core import addresses, byte_account, messages
from fuchsiamoor.core.errors import AccessDeniedError, FrameError
from fuchsiamoor.peers import codec, counted_frames, handshake, outbox
from fuchsiamoor.peers.codec import Envelope, Role

MAX_RUNNING_CALLS = 4096
MAX_CONNECTIONS = 4096
OPEN_TIMEOUT_S = 2
PING_INTERVAL_S = 30
CLOSE_TIMEOUT_S = 1
WRITE_LIMIT_BYTES = 256 * 1024
# Suppresses the log lines of the websockets library.
DISABLED_LOGGER = logging.Logger(__name__, logging.CRITICAL + 1)

MessageHandler = Callable[[str, messages.Message], Awaitable[messages.Message]]


@dataclass(slots=True)
class InboundLink:
    """A link dialled by a peer."""

    sender: str
    connection: counted_frames.CountedServerConnection
    answers: outbox.Outbox
    has_answers: asyncio.Event = field(default_factory=asyncio.Event)
    last_correlation_id: int = 0
    running_calls: int = 0


@dataclass(slots=True)
class Acceptor:
    """The server for inbound links, and the links that are open."""

    own_member_id: str
    authenticator: handshake.Authenticator
    handle: MessageHandler
    metrics: object
    accounts: byte_account.Accounts
    server: websockets_server.Server | None = None
    open_links: dict[int, InboundLink] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    is_draining: bool = False


async def listen(acceptor: Acceptor, address: addresses.Address) -> addresses.Address:
    """Accept links at an address; return the address with the bound port."""
    acceptor.server = await websockets_server.serve(
        lambda connection: _serve_link(acceptor, connection),
        address.host,
        address.port,
        process_request=lambda _, request: _check_handshake(acceptor, request),
        process_response=lambda _, request, response: _add_proof(
            acceptor, request, response
        ),
        compression="deflate",
        server_header=None,
        logger=DISABLED_LOGGER,
        open_timeout=OPEN_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_INTERVAL_S,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=codec.MAX_FRAME_BYTES,
        write_limit=WRITE_LIMIT_BYTES,
        create_connection=functools.partial(
            counted_frames.CountedServerConnection, acceptor.accounts.frames
        ),
    )
    host, port = next(iter(acceptor.server.sockets)).getsockname()[:2]
    return addresses.Address(host, port)


def announce_leave(acceptor: Acceptor) -> None:
    """Refuse new calls, and let each peer close its link after its last answer."""
    if acceptor.is_draining:
        return
    acceptor.is_draining = True
    for link in acceptor.open_links.values():
        _queue_envelope(link, Envelope(0, Role.LEAVING, None))


def has_unsent_answers(acceptor: Acceptor) -> bool:
    """Return whether an answer waits for its peer to read."""
    return any(
        link.answers.envelopes or link.connection.transport.get_write_buffer_size()
        for link in acceptor.open_links.values()
    )


async def drain(acceptor: Acceptor, grace_ms: int) -> None:
    """Refuse new calls, finish running calls, and close all links.

    Parameters
    ----------
    acceptor : Acceptor
    grace_ms : int
        Longest time to wait for calls to end and for peers to close their links.
    """
    announce_leave(acceptor)
    if acceptor.server is None:
        return
    deadline_s = time.monotonic() + grace_ms / 1000
    while acceptor.open_links and time.monotonic() < deadline_s:
        await asyncio.sleep(0.005)
    acceptor.server.close()
    await acceptor.server.wait_closed()
    for task in acceptor.tasks:
        task.cancel()


def _check_handshake(acceptor: Acceptor, request: Request) -> Response | None:
    """Return the HTTP error with which to refuse a handshake, None to accept it."""
    try:
        offer = handshake.parse_offer(request.headers)
        handshake.authenticate(
            acceptor.authenticator, offer, time.time_ns() // 1_000_000
        )
    except (AccessDeniedError, LookupError) as error:
        acceptor.metrics.count("peers.refused")
        return _make_refusal(http.HTTPStatus.UNAUTHORIZED, str(error))
    if offer.receiver != acceptor.own_member_id:
        acceptor.metrics.count("peers.other_member_expected")
        return _make_refusal(
            http.HTTPStatus.MISDIRECTED_REQUEST, f"this is {acceptor.own_member_id}"
        )
    if acceptor.is_draining or len(acceptor.open_links) >= MAX_CONNECTIONS:
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
    offer = handshake.parse_offer(request.headers)
    key = handshake.find_key(acceptor.authenticator.keys, offer)
    response.headers[handshake.PROOF_HEADER] = handshake.prove_acceptance(key, offer)


async def _serve_link(
    acceptor: Acceptor, connection: counted_frames.CountedServerConnection
) -> None:
    sender = handshake.parse_offer(connection.request.headers).sender
    answers = outbox.Outbox(
        account=acceptor.accounts.unsent, abort_link=connection.transport.abort
    )
    link = InboundLink(sender, connection, answers)
    acceptor.open_links[id(link)] = link
    writer = asyncio.create_task(_write_answers(link, acceptor.metrics))
    try:
        async for frame in connection:
            connection.end_frame()
            for envelope in codec.decode_frame(frame):
                _handle_envelope(acceptor, link, envelope)
    except FrameError:
        acceptor.metrics.count("peers.bad_frames")
        await connection.close(1002)
    except websockets.ConnectionClosed:
        pass
    finally:
        writer.cancel()
        del acceptor.open_links[id(link)]
        byte_account.release_all(answers.account, answers)


def _handle_envelope(acceptor: Acceptor, link: InboundLink, envelope: Envelope) -> None:
    """Start the handler of a call or one-way message."""
    correlation_id, role, message = envelope
    if role not in (Role.TELL, Role.CALL):
        raise FrameError(f"found role {role!r}, expected a call")
    if correlation_id <= link.last_correlation_id:
        acceptor.metrics.count("peers.duplicate_messages")
        return
    link.last_correlation_id = correlation_id
    if acceptor.is_draining or link.running_calls >= MAX_RUNNING_CALLS:
        acceptor.metrics.count("peers.calls_refused")
        if role is Role.CALL:
            _queue_envelope(link, Envelope(correlation_id, Role.REFUSED, None))
        return
    link.running_calls += 1
    task = asyncio.create_task(_run_handler(acceptor, link, envelope))
    acceptor.tasks.add(task)
    task.add_done_callback(acceptor.tasks.discard)


async def _run_handler(
    acceptor: Acceptor, link: InboundLink, envelope: Envelope
) -> None:
    correlation_id, role, message = envelope
    try:
        answer = await acceptor.handle(link.sender, message)
        reply = Envelope(correlation_id, Role.ANSWER, answer)
    except Exception as error:
        acceptor.metrics.count("peers.handler_failures")
        logger.opt(exception=error).error(
            "message handler failed for {}", type(message)
        )
        reply = Envelope(correlation_id, Role.FAILED, None)
    finally:
        link.running_calls -= 1
    if role is Role.CALL:
        _send_answer(acceptor, link, reply)


def _send_answer(acceptor: Acceptor, link: InboundLink, reply: Envelope) -> None:
    if id(link) not in acceptor.open_links:
        acceptor.metrics.count("peers.answers_without_link")
        return
    try:
        _queue_envelope(link, reply)
    except FrameError as error:
        acceptor.metrics.count("peers.handler_failures")
        logger.error("cannot encode answer: {}", error)
        _queue_envelope(link, Envelope(reply.correlation_id, Role.FAILED, None))


def _queue_envelope(link: InboundLink, envelope: Envelope) -> None:
    """Queue an envelope; abort the link if the peer reads too slowly."""
    encoded = codec.encode_envelope(envelope)
    if not outbox.has_capacity(link.answers, len(encoded)):
        link.connection.transport.abort()
        return
    outbox.add(link.answers, envelope.correlation_id, encoded)
    link.has_answers.set()


async def _write_answers(link: InboundLink, metrics: object) -> None:
    try:
        while True:
            await link.has_answers.wait()
            link.has_answers.clear()
            while link.answers.envelopes:
                frame = outbox.take_frame(link.answers)
                metrics.count("peers.sent_bytes", len(frame))
                await link.connection.send(frame)
                outbox.end_writing(link.answers)
    except websockets.ConnectionClosed:
        pass
