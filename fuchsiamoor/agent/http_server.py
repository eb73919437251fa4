"""HTTP/1.1 server with size limits, timeouts, pipelining and cancellation.

The pipelined requests of a connection run concurrently and are answered in order. If
the client disconnects, its handlers are cancelled. `docs/PLATFORM.md` says why this is
not uvicorn.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools
from loguru import logger

from fuchsiamoor.agent import connection_limits
from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.traffic.catalog import CallerLimits

# What a parsed request that waits for earlier ones takes besides its head and body.
REQUEST_BYTES = 1_000
# Parts of a body in one read beyond which the next read of the connection is put off; a
# client that sends in parts of 256 bytes and more never brings so many.
PARTS_FREE = 1_024
# For each further part, about two hundred times what it takes to parse: so many clients
# that send like this leave time for others.
PART_PAUSE_MS = 0.1
# Larger bodies of answers are not copied to follow their head.
JOINED_BYTES = 16 * 1024
# Sent with the refusal of a body for which there is no room: about the time of one run.
RETRY_AFTER = (b"Retry-After", b"0.3")


class HttpRequest(NamedTuple):
    """A complete request.

    Parameters
    ----------
    method, target : str
    headers : Headers
        Names in lower case.
    body : bytes
    """

    method: str
    target: str
    headers: Headers
    body: bytes


class HttpAnswer(NamedTuple):
    """A complete answer.

    Parameters
    ----------
    status : int
    headers : Headers
        Without framing and connection headers.
    body : bytes
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class _Parsed(NamedTuple):
    """A request that is not handled yet.

    Parameters
    ----------
    next : HttpRequest or HttpAnswer
        The refusal, if the request is refused.
    keep_alive : bool
    body_bytes, head_bytes : int
        What it holds in the accounts.
    """

    next: HttpRequest | HttpAnswer
    keep_alive: bool
    body_bytes: int
    head_bytes: int


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    handler : callable
        ``async handler(request)``; raises nothing but `asyncio.CancelledError`.
    get_limits : callable
        Returns the limits in force, read once for each connection.
    accounts : Accounts
        Bodies are held until their request is answered; one for which there is no room
        is refused, before it is read if its length is known. Heads are held as long,
        and answers until the caller has read them.
    limits : ConnectionLimits
        At the largest number of connections, one without a request that got an answer
        the longest time ago is closed for a new one.
    on_closed : callable
        Called for each connection that is closed for a new one.

    Attributes
    ----------
    connections : dict of HttpConnection to None
        That which got an answer the longest time ago first.
    handled : int
        Requests that are handled now.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        accounts: byte_account.Accounts,
        limits: connection_limits.ConnectionLimits,
        on_closed: Callable[[], None] = lambda: None,
    ):
        self.handler = handler
        self.get_limits = get_limits
        self.accounts = accounts
        self.limits = limits
        self.on_closed = on_closed
        self.is_closing = False
        self.connections: dict[HttpConnection, None] = {}
        self.handled = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to accept connections and return the bound address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self),
            *address,
            backlog=connection_limits.compute_backlog(self.limits),
        )
        return Address(*self._server.sockets[0].getsockname()[:2])

    def add(self, connection: "HttpConnection") -> None:
        """Add a connection; close one if there are too many."""
        self.connections[connection] = None
        if len(self.connections) <= self.limits.connections:
            return
        closed = connection_limits.choose_closed(
            self.connections, lambda one: one.is_handling
        )
        self.on_closed()
        (closed or connection).abort()

    def record_answer(self, connection: "HttpConnection") -> None:
        """Make a connection the one that got an answer last."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def has_room(self, size_bytes: int) -> bool:
        """Return whether bytes of a body may be held; slow bodies make room."""
        bodies = self.accounts.bodies
        if byte_account.has_room(bodies, size_bytes):
            return True
        for connection in tuple(self.connections):
            connection.refuse_slow_body()
        return byte_account.has_room(bodies, size_bytes)

    def announce_close(self) -> None:
        """Make each connection close after its last pending answer."""
        self.is_closing = True

    def close(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
            self._server = None
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def is_idle(self) -> bool:
        """Return whether no connection has a request in progress or unsent bytes."""
        return not any(
            connection.is_busy or connection.has_unsent
            for connection in self.connections
        )


class HttpConnection(asyncio.Protocol):
    """Connection of one client; parses its requests and writes the answers."""

    def __init__(self, http_server: HttpServer):
        self._http_server = http_server
        self._limits = http_server.get_limits()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        # Requests that wait to be handled, and those that are or wait for their turn.
        self._parsed: deque[_Parsed] = deque()
        self._pending: deque[asyncio.Task] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._is_timing_head = False
        self._has_begun_request = False
        self._is_reading_request = False
        self._is_head_complete = False
        # Event loop time at which the head of the request being read was complete.
        self._body_since_s = 0.0
        # Empty lines since the last request.
        self._blank_bytes = 0
        self._is_writing = False
        # Parts of bodies in the latest read, and whether the next one is put off.
        self._read_parts = 0
        self._is_slowed = False
        # Answers written since the caller had last read all.
        self._unread_bytes = 0
        # Bytes of the request being read, without those of the read that began it.
        self._received_bytes = 0
        self._read_bytes = 0
        # Bodies and heads of unanswered requests, as counted in the accounts.
        self._held_bytes = 0
        self._pending_heads_bytes = 0
        self._is_closing = False
        self._is_paused = False
        self._is_write_blocked = False
        self._loop = asyncio.get_running_loop()
        self._reset_request()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self.is_handling or self._is_reading_request

    @property
    def is_handling(self) -> bool:
        """Whether a whole request has not been answered."""
        return bool(self._pending or self._parsed)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer waits for the client to read."""
        return self._transport.get_write_buffer_size() > 0

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        # Of the read in which the head began, which may hold earlier requests too.
        self._first_read_bytes = 0
        # What the head of the request being read counts as held.
        self._held_head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        # Every byte that the caller has not read is counted.
        transport.set_write_buffer_limits(high=0)
        self._http_server.add(self)
        if self._transport.is_closing():
            return
        self._set_timer(self._limits.idle_timeout_ms, self._handle_idle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected."""
        self._http_server.connections.pop(self, None)
        self._clear_timer()
        self._stop_write_timer()
        self._is_closing = True
        for task in self._pending:
            task.cancel()
        self._pending.clear()
        self._parsed.clear()
        self._is_write_blocked = False
        self._release(self._held_bytes)
        byte_account.release_all(self._http_server.accounts.heads, self)
        byte_account.release_all(self._http_server.accounts.unsent, self)
        self._parser = None

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Read no more requests while the caller does not read its answers."""
        self._is_write_blocked = True
        self._update_reading()
        self._count_unsent()
        self._start_write_timer()

    def resume_writing(self) -> None:
        """Read requests again."""
        self._is_write_blocked = False
        self._unread_bytes = 0
        self._stop_write_timer()
        self._handle_parsed()
        self._update_reading()
        self._count_unsent()

    def _start_write_timer(self) -> None:
        """Cut the connection if the caller reads nothing for the idle timeout."""
        self._write_timer = self._loop.call_later(
            self._limits.idle_timeout_ms / 1000,
            self._check_write_progress,
            self._transport.get_write_buffer_size(),
        )

    def _check_write_progress(self, unsent_bytes: int) -> None:
        if self._transport.get_write_buffer_size() >= unsent_bytes:
            self.abort()
            return
        self._start_write_timer()

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""
        self._is_closing = True
        self._transport.abort()

    def _update_reading(self) -> None:
        handled = len(self._pending) + len(self._parsed)
        is_paused = (
            self._is_write_blocked
            or self._is_slowed
            or handled >= connection_limits.PIPELINED_MAX
        )
        if is_paused == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _put_off_reading(self, pause_ms: float) -> None:
        """Read nothing for a while, so that others are served."""
        if self._is_closing:
            return
        self._is_slowed = True
        self._update_reading()
        self._loop.call_later(pause_ms / 1000, self._read_on)

    def _read_on(self) -> None:
        self._is_slowed = False
        if not self._is_closing:
            self._update_reading()

    def _count_unsent(self) -> None:
        """Count answers that wait for an earlier one or for the caller."""
        unsent_bytes = sum(
            len(task.result().body)
            for task in self._pending
            if task.done() and not task.cancelled() and task.exception() is None
        )
        if self._is_write_blocked:
            unsent_bytes += self._unread_bytes
        account = self._http_server.accounts.unsent
        if unsent_bytes:
            byte_account.set_held(account, self, unsent_bytes)
        else:
            byte_account.release_all(account, self)

    def _count_heads(self) -> bool:
        """Count the heads of all requests; return False if the connection was cut."""
        account = self._http_server.accounts.heads
        heads_bytes = self._pending_heads_bytes + self._held_head_bytes
        if heads_bytes:
            return byte_account.set_held(account, self, heads_bytes)
        byte_account.release_all(account, self)
        return True

    def cut(self, detail: str) -> None:
        """Close the connection, as too many bytes are held."""
        self._held_head_bytes = 0
        if not (self.is_handling or self._is_write_blocked or self._is_closing):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
            return
        self._is_closing = True
        # Other connections may take the room before this one is closed.
        self._parsed.clear()
        self._reset_request()
        if self._is_writing:
            self._loop.call_soon(self._transport.abort)
        else:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limits on the head."""
        if self._is_closing:
            return
        was_between_requests = not self._is_reading_request
        self._has_begun_request = False
        if not self._body and self._is_reading_head():
            self._head_bytes += len(data)
        self._read_bytes = len(data)
        self._read_parts = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_closing:
                logger.debug("malformed request: {}", repr(error))
                self._refuse(HTTPStatus.BAD_REQUEST)
        if self._read_parts > PARTS_FREE:
            self._put_off_reading((self._read_parts - PARTS_FREE) * PART_PAUSE_MS)
        if was_between_requests and not self._has_begun_request:
            self._blank_bytes += len(data)
        if self._is_reading_head() and not self._is_timing_head:
            self._is_timing_head = True
            self._set_timer(self._limits.header_timeout_ms, self._handle_head_timeout)
        if self._blank_bytes > self._limits.header_bytes or (
            self._is_reading_head() and self._head_bytes > self._limits.header_bytes
        ):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._is_reading_request and self._is_head_complete:
            self._received_bytes += len(data)
            self._check_body_framing()
        elif self._is_reading_head() and not self._is_closing:
            headers_bytes = len(self._headers) * byte_account.HEADER_BYTES
            read_bytes = self._first_read_bytes + self._head_bytes
            self._held_head_bytes = read_bytes + headers_bytes
            self._count_heads()

    def _check_body_framing(self) -> None:
        """Bound chunk framing and trailers, and the time between parts of a body."""
        self._set_timer(self._limits.idle_timeout_ms, self._handle_body_timeout)
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > self._body_bytes + self._limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _is_reading_head(self) -> bool:
        return self._is_reading_request and not self._is_head_complete

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_request()
        self._has_begun_request = True
        self._is_timing_head = False
        self._blank_bytes = 0
        self._is_reading_request = True
        self._is_head_complete = False
        self._first_read_bytes = self._read_bytes
        self._received_bytes = -self._read_bytes

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the size and the framing of a complete head."""
        self._is_head_complete = True
        if self._is_closing:
            return
        self._body_since_s = self._loop.time()
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._held_head_bytes = size + len(self._headers) * byte_account.HEADER_BYTES
        if not self._count_heads():
            return
        lengths = [v for n, v in self._headers if n == b"content-length"]
        codings = [v for n, v in self._headers if n == b"transfer-encoding"]
        if len(lengths) > 1 or (lengths and codings) or not _is_chunked(codings):
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        length_bytes = int(lengths[0]) if lengths else 0
        if length_bytes > self._limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if not self._http_server.has_room(length_bytes):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
            return
        if any(n == b"expect" for n, _ in self._headers) and not self.is_handling:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._read_parts += 1
        self._body_bytes += len(data)
        if self._is_closing:
            return
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._http_server.has_room(len(data)):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
        else:
            byte_account.hold(self._http_server.accounts.bodies, len(data))
            self._held_bytes += len(data)
            self._body += data

    def refuse_slow_body(self) -> None:
        """Refuse an unfinished body that has taken longer than the idle timeout."""
        if not (self._is_reading_request and self._is_head_complete and self._body):
            return
        taken_ms = (self._loop.time() - self._body_since_s) * 1000
        if taken_ms >= self._limits.idle_timeout_ms:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))

    def _release(self, size_bytes: int) -> None:
        byte_account.release(self._http_server.accounts.bodies, size_bytes)
        self._held_bytes -= size_bytes

    def on_message_complete(self) -> None:
        """Start the handler of a complete request."""
        self._is_reading_request = False
        if self._is_closing:
            return
        self._clear_timer()
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        head_bytes = self._held_head_bytes + REQUEST_BYTES
        self._pending_heads_bytes += head_bytes
        self._reset_request()
        if not keep_alive:
            self._is_closing = True
        self._parsed.append(_Parsed(request, keep_alive, len(request.body), head_bytes))
        self._handle_parsed()

    def _handle_parsed(self) -> None:
        """Begin to handle parsed requests, as many as the limits allow."""
        server = self._http_server
        while self._parsed and not self._is_write_blocked:
            pipelined_max = connection_limits.compute_pipelined_max(
                server.limits, server.handled
            )
            if len(self._pending) >= pipelined_max:
                break
            parsed = self._parsed.popleft()
            is_refused = isinstance(parsed.next, HttpAnswer)
            answer = _give if is_refused else server.handler
            task = self._loop.create_task(answer(parsed.next))
            task.parsed = parsed
            self._pending.append(task)
            server.handled += 1
            task.add_done_callback(self._write_finished)
        if not self._is_closing:
            self._update_reading()

    def _write_finished(self, _: asyncio.Task) -> None:
        """Write finished answers up to the first unfinished request, in order."""
        self._http_server.handled -= 1
        while self._pending and self._pending[0].done():
            task = self._pending.popleft()
            self._release(task.parsed.body_bytes)
            self._pending_heads_bytes -= task.parsed.head_bytes
            self._count_heads()
            if task.cancelled() or task.exception() is not None:
                self._abort(task)
                return
            closes = not task.parsed.keep_alive or (
                self._http_server.is_closing and not self.is_handling
            )
            self._write(task.result(), closes)
            self._http_server.record_answer(self)
            if closes:
                self._count_unsent()
                self._close()
                return
        self._handle_parsed()
        if self._pending or self._is_write_blocked:
            self._count_unsent()
        if not self.is_busy and not self._is_closing:
            self._set_timer(self._limits.idle_timeout_ms, self._handle_idle_timeout)

    def _abort(self, task: asyncio.Task) -> None:
        if not task.cancelled():
            logger.error("request handler failed: {}", repr(task.exception()))
        self._transport.abort()

    def _write(self, answer: HttpAnswer, closes: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        head = encode_answer_head(answer, closes)
        self._is_writing = True
        self._unread_bytes += len(head) + len(answer.body)
        if len(answer.body) < JOINED_BYTES:
            self._transport.write(head + answer.body)
        else:
            self._transport.writelines((head, answer.body))
        self._is_writing = False
        if not self._is_write_blocked:
            self._unread_bytes = 0

    def _refuse(self, status: HTTPStatus, headers: Headers = ()) -> None:
        """Answer an invalid request after all pending answers, and close."""
        if self._is_closing:
            return
        self._is_closing = True
        self._clear_timer()
        self._release(len(self._body))
        self._reset_request()
        self._count_heads()
        refusal = HttpAnswer(status, headers)
        self._parsed.append(_Parsed(refusal, False, 0, 0))
        self._handle_parsed()

    def _close(self) -> None:
        self._is_closing = True
        self._clear_timer()
        for task in self._pending:
            task.cancel()
        self._pending.clear()
        self._parsed.clear()
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy:
            self._close()

    def _handle_idle_timeout(self) -> None:
        if self._is_paused:
            self._set_timer(self._limits.idle_timeout_ms, self._handle_idle_timeout)
        elif not self.is_busy:
            self._close()

    def _handle_head_timeout(self) -> None:
        if self._is_paused:
            # The rest of the head may wait to be read.
            self._set_timer(self._limits.header_timeout_ms, self._handle_head_timeout)
        elif self._is_reading_head():
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _handle_body_timeout(self) -> None:
        if self._is_paused:
            self._set_timer(self._limits.idle_timeout_ms, self._handle_body_timeout)
        elif self._is_reading_request:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _set_timer(self, delay_ms: int, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(delay_ms / 1000, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def _give(answer: HttpAnswer) -> HttpAnswer:
    return answer


def _is_chunked(codings: list[bytes]) -> bool:
    """Return whether there is no transfer coding or only chunked."""
    return not codings or (len(codings) == 1 and codings[0].lower() == b"chunked")


def encode_answer(answer: HttpAnswer, closes: bool) -> bytes:
    """Return an answer as HTTP/1.1 bytes, with its length.

    Parameters
    ----------
    answer : HttpAnswer
    closes : bool
        Whether the connection closes after it.

    Examples
    --------
    >>> encode_answer(HttpAnswer(204), True)
    b'HTTP/1.1 204 No Content\\r\\nConnection: close\\r\\n\\r\\n'
    """
    return encode_answer_head(answer, closes) + answer.body


def encode_answer_head(answer: HttpAnswer, closes: bool) -> bytes:
    """Return the head of an answer; see `encode_answer`."""
    lines = [b"HTTP/1.1 %d %b" % (answer.status, _find_phrase(answer.status))]
    lines += [b"%b: %b" % header for header in answer.headers]
    if answer.status != HTTPStatus.NO_CONTENT:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _find_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
