"""HTTP/1.1 server of the daemon's surfaces: limits, pipelining and callers that leave.

One connection runs several requests at a time and answers them in the order in which
they came. A handler is cancelled once its caller has gone. `docs/PLATFORM.md` says why
this is not uvicorn.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools
from loguru import logger

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.traffic.catalog import CallerLimits

# Requests of one connection that run at a time; further ones wait unread.
PIPELINED_MAX = 16
BACKLOG = 1_024


class HttpRequest(NamedTuple):
    """A whole request.

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
    """A whole answer.

    Parameters
    ----------
    status : int
    headers : Headers
        Without those of framing and connection.
    body : bytes
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


Handle = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class HttpServer:
    """One listening address and what its connections share.

    Parameters
    ----------
    handle : callable
        ``async handle(request)``; raises nothing but `asyncio.CancelledError`.
    get_limits : callable
        Bounds in force.
    """

    def __init__(self, handle: Handle, get_limits: Callable[[], CallerLimits]):
        self.handle = handle
        self.get_limits = get_limits
        self.is_closing = False
        self.connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Accept connections and return the address with the port that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self), *address, backlog=BACKLOG
        )
        return Address(*self._server.sockets[0].getsockname()[:2])

    def announce_close(self) -> None:
        """Ask callers with each answer to close their connections."""
        self.is_closing = True

    def close(self) -> None:
        """Accept no more connections, and close those without a request."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def is_idle(self) -> bool:
        """Return whether no connection has a request."""
        return not any(connection.is_busy for connection in self.connections)


class HttpConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, surface: HttpServer):
        self._surface = surface
        self._limits = surface.get_limits()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[asyncio.Task] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._is_in_request = False
        self._is_last = False
        self._is_paused = False
        self._loop = asyncio.get_running_loop()
        self._reset()

    @property
    def is_busy(self) -> bool:
        """Whether a request is read or runs."""
        return bool(self._waiting) or self._is_in_request

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection over from the event loop."""
        self._transport = transport
        self._surface.connections.add(self)
        self._set_timer(self._limits.idle_timeout_ms, self._end_idle)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel everything that runs for the caller."""
        self._surface.connections.discard(self)
        self._clear_timer()
        self._is_last = True
        for task in self._waiting:
            task.cancel()
        self._waiting.clear()
        self._parser = None

    def eof_received(self) -> bool:
        """Take the end of the caller's sending for its leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read what the caller sent."""
        if self._is_last:
            return
        if not self._is_in_request and not self._waiting:
            self._set_timer(self._limits.header_timeout_ms, self._end_slow)
        if not self._body and self._is_head_open():
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_last:
                logger.debug("malformed request: {}", repr(error))
                self._refuse(HTTPStatus.BAD_REQUEST)
        if self._is_head_open() and self._head_bytes > self._limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _is_head_open(self) -> bool:
        return self._is_in_request and not self._is_head_done

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._is_in_request = True
        self._is_head_done = False

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._is_head_done = True
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        lengths = [v for n, v in self._headers if n == b"content-length"]
        codings = [v for n, v in self._headers if n == b"transfer-encoding"]
        if len(lengths) > 1 or (lengths and codings) or not _is_chunked(codings):
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if any(n == b"expect" for n, _ in self._headers) and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._is_last:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Start to handle a whole request."""
        self._is_in_request = False
        if self._is_last:
            return
        self._clear_timer()
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"".join(self._body),
        )
        keeps = self._parser.should_keep_alive()
        self._reset()
        task = self._loop.create_task(self._surface.handle(request))
        task.keeps_connection = keeps
        self._waiting.append(task)
        task.add_done_callback(self._flush)
        if not keeps:
            self._is_last = True
        elif len(self._waiting) >= PIPELINED_MAX:
            self._is_paused = True
            self._transport.pause_reading()

    def _flush(self, _: asyncio.Task) -> None:
        """Write the answers that are due, in order."""
        while self._waiting and self._waiting[0].done():
            task = self._waiting.popleft()
            if task.cancelled() or task.exception() is not None:
                self._abort(task)
                return
            is_over = not task.keeps_connection or (
                self._surface.is_closing and not self._waiting
            )
            self._write(task.result(), is_over)
            if is_over:
                self._end()
                return
        if self._is_paused and len(self._waiting) < PIPELINED_MAX:
            self._is_paused = False
            self._transport.resume_reading()
        if not self.is_busy and not self._is_last:
            self._set_timer(self._limits.idle_timeout_ms, self._end_idle)

    def _abort(self, task: asyncio.Task) -> None:
        if not task.cancelled():
            logger.error("handling a request failed: {}", repr(task.exception()))
        self._transport.abort()

    def _write(self, answer: HttpAnswer, is_over: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(encode_answer(answer, is_over))

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer what cannot be read, behind the answers that are due, and close."""
        if self._is_last:
            return
        self._is_last = True
        self._clear_timer()

        async def give_refusal() -> HttpAnswer:
            return HttpAnswer(status)

        task = self._loop.create_task(give_refusal())
        task.keeps_connection = False
        self._waiting.append(task)
        task.add_done_callback(self._flush)

    def _end(self) -> None:
        self._is_last = True
        self._clear_timer()
        for task in self._waiting:
            task.cancel()
        self._waiting.clear()
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close a connection without a request."""
        if not self.is_busy:
            self._end()

    def _end_idle(self) -> None:
        if not self.is_busy:
            self._end()

    def _end_slow(self) -> None:
        if self._is_head_open() or not self.is_busy:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _set_timer(self, delay_ms: int, call: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._loop.call_later(delay_ms / 1000, call)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_chunked(codings: list[bytes]) -> bool:
    """Return whether the transfer codings are none or chunked alone."""
    return not codings or (len(codings) == 1 and codings[0].lower() == b"chunked")


def encode_answer(answer: HttpAnswer, is_over: bool) -> bytes:
    """Return an answer as HTTP/1.1, with its length.

    Examples
    --------
    >>> encode_answer(HttpAnswer(204), True)
    b'HTTP/1.1 204 No Content\\r\\nConnection: close\\r\\n\\r\\n'
    """
    lines = [b"HTTP/1.1 %d %b" % (answer.status, _find_phrase(answer.status))]
    lines += [b"%b: %b" % header for header in answer.headers]
    if answer.status != HTTPStatus.NO_CONTENT:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if is_over:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


def _find_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
