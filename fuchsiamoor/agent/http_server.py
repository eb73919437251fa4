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

from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.traffic.catalog import CallerLimits

# Requests of one connection that run concurrently; at this number the server stops
# reading from the connection.
PIPELINED_MAX = 16
BACKLOG = 1_024
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
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        accounts: byte_account.Accounts,
    ):
        self.handler = handler
        self.get_limits = get_limits
        self.accounts = accounts
        self.is_closing = False
        self.connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to accept connections and return the bound address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self), *address, backlog=BACKLOG
        )
        return Address(*self._server.sockets[0].getsockname()[:2])

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
        self._pending: deque[asyncio.Task] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading_request = False
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
        return bool(self._pending) or self._is_reading_request

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
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        self._http_server.connections.add(self)
        self._set_timer(self._limits.idle_timeout_ms, self._handle_idle_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of a client that has disconnected."""
        self._http_server.connections.discard(self)
        self._clear_timer()
        self._is_closing = True
        for task in self._pending:
            task.cancel()
        self._pending.clear()
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

    def resume_writing(self) -> None:
        """Read requests again."""
        self._is_write_blocked = False
        self._update_reading()
        self._count_unsent()

    def _update_reading(self) -> None:
        is_paused = self._is_write_blocked or len(self._pending) >= PIPELINED_MAX
        if is_paused == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _count_unsent(self) -> None:
        """Count answers that wait for an earlier one or for the caller."""
        unsent_bytes = sum(
            len(task.result().body)
            for task in self._pending
            if task.done() and not task.cancelled() and task.exception() is None
        )
        if self._is_write_blocked:
            unsent_bytes += self._transport.get_write_buffer_size()
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
        if not self._pending and not self._is_write_blocked:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
            return
        self._is_closing = True
        # The transport may be in the middle of a write.
        self._loop.call_soon(self._transport.abort)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limits on the head."""
        if self._is_closing:
            return
        if not self._is_reading_request and not self._pending:
            self._set_timer(self._limits.header_timeout_ms, self._handle_head_timeout)
        if not self._body and self._is_reading_head():
            self._head_bytes += len(data)
        self._read_bytes = len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_closing:
                logger.debug("malformed request: {}", repr(error))
                self._refuse(HTTPStatus.BAD_REQUEST)
        if self._is_reading_head() and self._head_bytes > self._limits.header_bytes:
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
        if not byte_account.has_room(self._http_server.accounts.bodies, length_bytes):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
            return
        if any(n == b"expect" for n, _ in self._headers) and not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(data)
        if self._is_closing:
            return
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not byte_account.hold(self._http_server.accounts.bodies, len(data)):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, (RETRY_AFTER,))
        else:
            self._held_bytes += len(data)
            self._body.append(data)

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
            b"".join(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        head_bytes = self._held_head_bytes
        self._pending_heads_bytes += head_bytes
        self._reset_request()
        task = self._loop.create_task(self._http_server.handler(request))
        task.keep_alive = keep_alive
        task.body_bytes, task.head_bytes = len(request.body), head_bytes
        self._pending.append(task)
        task.add_done_callback(self._write_finished)
        if not keep_alive:
            self._is_closing = True
        else:
            self._update_reading()

    def _write_finished(self, _: asyncio.Task) -> None:
        """Write finished answers up to the first unfinished request, in order."""
        while self._pending and self._pending[0].done():
            task = self._pending.popleft()
            self._release(task.body_bytes)
            self._pending_heads_bytes -= task.head_bytes
            self._count_heads()
            if task.cancelled() or task.exception() is not None:
                self._abort(task)
                return
            closes = not task.keep_alive or (
                self._http_server.is_closing and not self._pending
            )
            self._write(task.result(), closes)
            if closes:
                self._close()
                return
        self._update_reading()
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
        self._transport.write(encode_answer(answer, closes))

    def _refuse(self, status: HTTPStatus, headers: Headers = ()) -> None:
        """Answer an invalid request after all pending answers, and close."""
        if self._is_closing:
            return
        self._is_closing = True
        self._clear_timer()

        async def make_refusal() -> HttpAnswer:
            return HttpAnswer(status, headers)

        task = self._loop.create_task(make_refusal())
        task.keep_alive = False
        task.body_bytes = task.head_bytes = 0
        self._pending.append(task)
        task.add_done_callback(self._write_finished)

    def _close(self) -> None:
        self._is_closing = True
        self._clear_timer()
        for task in self._pending:
            task.cancel()
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy:
            self._close()

    def _handle_idle_timeout(self) -> None:
        if not self.is_busy:
            self._close()

    def _handle_head_timeout(self) -> None:
        if self._is_reading_head() or not self.is_busy:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _handle_body_timeout(self) -> None:
        if self._is_reading_request:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _set_timer(self, delay_ms: int, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(delay_ms / 1000, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


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
    lines = [b"HTTP/1.1 %d %b" % (answer.status, _find_phrase(answer.status))]
    lines += [b"%b: %b" % header for header in answer.headers]
    if answer.status != HTTPStatus.NO_CONTENT:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


def _find_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
