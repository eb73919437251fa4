"""One connection of a caller: reads requests, handles them in order, answers each.

Heads and bodies are bounded in size and time. Requests sent ahead of their answers wait
while one is handled, and the connection is not read meanwhile.
"""

import asyncio
import time
import uuid
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import NamedTuple

import httptools
from loguru import logger

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import caller_answers, caller_requests
from fuchsiamoor.routing import refusals

MAX_HEAD_BYTES = caller_requests.MAX_HEAD_BYTES + 16 * 1024
HEAD_TIMEOUT_S = 5.0
KEEP_ALIVE_S = 75.0
WRITE_TIMEOUT_S = 30.0
LINGER_S = 1.0
READY_PATH = b"/_ready"

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handle = Callable[[Request], Awaitable[Answer]]


class Surface(NamedTuple):
    """What all connections of callers share.

    Parameters
    ----------
    get_configuration : callable
        Returns the configuration in force.
    handle : callable
        Takes a `Request`, returns its `Answer`; cancelled when the caller goes away.
    is_ready : callable
        Whether the daemon holds a configuration and knows its peers.
    metrics : Metrics
    is_draining : callable
        Whether answers ask callers to close their connections.
    """

    get_configuration: Callable[[], configurations.Configuration]
    handle: Handle
    is_ready: Callable[[], bool]
    metrics: object
    is_draining: Callable[[], bool]


class Phase(Enum):
    """What a connection is reading."""

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    ENDING = auto()


class Waiting(NamedTuple):
    """A request that has been read.

    Parameters
    ----------
    request : Request or None
        None if ``answer`` is at hand.
    answer : Answer or None
    method : str
    keeps_alive : bool
        Whether the connection may be used after it.
    """

    request: Request | None
    answer: Answer | None
    method: str
    keeps_alive: bool


class CallerConnection(asyncio.Protocol):
    """Carries requests and answers of one connection.

    Parameters
    ----------
    surface : Surface
    connections : set of CallerConnection
        All that are open; this one enters and leaves it.
    """

    def __init__(self, surface: Surface, connections: set["CallerConnection"]):
        self._surface = surface
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._phase = Phase.HEAD
        self._has_begun = False
        self._since_s = 0.0
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._body_timer: asyncio.TimerHandle | None = None
        self._parsed: caller_requests.Parsed | None = None
        self._waiting: deque[Waiting] = deque()
        self._task: asyncio.Task | None = None
        self._is_reading = True
        self._is_full = False
        self._is_gone = False
        self._is_leaving = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection over from the event loop."""
        self._transport = transport
        self._since_s = time.monotonic()
        self._connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what is handled for a caller that went away."""
        self._connections.discard(self)
        self._is_gone = True
        self._waiting.clear()
        self._stop_body_timer()
        if self._task is not None:
            self._task.cancel()
        elif self._phase is Phase.BODY:
            self._surface.metrics.count("requests.cancelled")
        self._parser = None

    def pause_writing(self) -> None:
        """Handle no more requests until the caller has read its answers."""
        self._is_full = True
        self._since_s = time.monotonic()

    def resume_writing(self) -> None:
        """Handle requests again."""
        self._is_full = False
        self._handle_next()

    def data_received(self, data: bytes) -> None:
        """Read what the caller sent."""
        if self._phase is Phase.ENDING:
            return
        if self._phase is not Phase.BODY:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(NotRun(Reason.BAD_REQUEST, "malformed HTTP request"))
        if self._phase is Phase.HEAD and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(NotRun(Reason.BAD_REQUEST, "request head too large"))
        if self._phase is Phase.BODY and self._body_timer is None:
            self._start_body_timer()

    def check_time(self, now_s: float) -> None:
        """End the connection if it has been idle or slow for too long."""
        waited_s = now_s - self._since_s
        if self._is_full:
            if waited_s > WRITE_TIMEOUT_S:
                self._transport.abort()
            return
        if self._phase is Phase.HEAD and waited_s > HEAD_TIMEOUT_S:
            self._refuse(NotRun(Reason.BAD_REQUEST, "request head too slow"))
        if self._is_idle() and waited_s > KEEP_ALIVE_S:
            self._transport.close()

    def leave(self) -> None:
        """Close once nothing is read or handled."""
        self._is_leaving = True
        if self._is_idle() or not self._has_begun:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def _is_idle(self) -> bool:
        return self._phase is Phase.IDLE and self._task is None and not self._waiting

    def on_message_begin(self) -> None:
        """Start a request."""
        self._has_begun = True
        if self._phase is Phase.IDLE:
            self._phase = Phase.HEAD
            self._since_s = time.monotonic()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = []
        self._body_bytes = 0
        self._parsed = None

    def on_url(self, data: bytes) -> None:
        """Keep a part of the URL."""
        self._url += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check the head and refuse what needs no body to be refused."""
        if self._phase is Phase.ENDING:
            return
        self._phase = Phase.BODY
        self._head_bytes = 0
        if self._parser.should_upgrade():
            self._refuse(NotRun(Reason.BAD_REQUEST, "upgrades are not offered"))
            return
        path, _, query = self._url.partition(b"?")
        if path == READY_PATH:
            return
        parsed = caller_requests.parse_head(
            self._surface.get_configuration(),
            caller_requests.Head(
                self._parser.get_method().decode(), path, query, self._headers
            ),
            str(uuid.uuid4()),
            time.monotonic_ns() // 1_000_000,
        )
        if isinstance(parsed, NotRun):
            self._refuse(parsed)
            return
        self._parsed = parsed
        if parsed.has_body and (b"expect", b"100-continue") in self._headers:
            self._transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body, within its limit."""
        if self._phase is Phase.ENDING or self._parsed is None:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._parsed.body_limit_bytes:
            limit_bytes = self._parsed.body_limit_bytes
            self._refuse(caller_requests.refuse_body(limit_bytes))
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Handle the request, or let it wait for those before it."""
        if self._phase is Phase.ENDING:
            return
        self._stop_body_timer()
        self._phase = Phase.IDLE
        self._head_bytes = 0
        keeps_alive = self._parser.should_keep_alive()
        if self._parsed is None:
            answer = _answer_readiness(self._surface.is_ready())
            self._waiting.append(Waiting(None, answer, "GET", keeps_alive))
        else:
            request = self._parsed.request
            if self._body:
                request = request._replace(body=b"".join(self._body))
            self._waiting.append(Waiting(request, None, request.method, keeps_alive))
        if not keeps_alive:
            self._phase = Phase.ENDING
        self._handle_next()

    def _start_body_timer(self) -> None:
        if self._parsed is None:
            remaining_s = HEAD_TIMEOUT_S
        else:
            deadline_ms = self._parsed.request.deadline_ms
            remaining_s = deadline_ms / 1000 - time.monotonic()
        verdict = NotRun(Reason.DEADLINE_PASSED, "the body did not arrive in time")
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(max(remaining_s, 0), self._refuse, verdict)

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _refuse(self, verdict: NotRun) -> None:
        """Answer the request being read with a refusal and read nothing after it."""
        if self._phase is Phase.ENDING:
            return
        self._stop_body_timer()
        self._phase = Phase.ENDING
        request_id = str(uuid.uuid4())
        answer = refusals.make_refusal(request_id, verdict)
        self._waiting.append(Waiting(None, answer, "", False))
        self._handle_next()

    def _handle_next(self) -> None:
        """Answer or handle waiting requests until one is under way."""
        while self._waiting and self._task is None and not self._is_full:
            waiting = self._waiting.popleft()
            if waiting.answer is not None:
                self._write(waiting, waiting.answer)
            else:
                self._task = asyncio.create_task(self._handle(waiting))
        if self._phase is not Phase.ENDING:
            self._read_while(not self._waiting)

    def _read_while(self, is_reading: bool) -> None:
        if is_reading == self._is_reading or self._is_gone:
            return
        self._is_reading = is_reading
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    async def _handle(self, waiting: Waiting) -> None:
        request = waiting.request
        try:
            answer = await self._surface.handle(request)
        except asyncio.CancelledError:
            self._surface.metrics.count("requests.cancelled")
            if not self._is_gone:
                self._transport.abort()
            return
        except Exception as error:
            self._surface.metrics.count("requests.failed")
            logger.opt(exception=error).error("handling of a request failed")
            verdict = MayHaveRun(Reason.LINK_LOST, "the daemon failed")
            answer = refusals.make_refusal(request.request_id, verdict)
        finally:
            self._task = None
        if self._is_gone:
            return
        if answer.request_id != request.request_id:
            self._surface.metrics.count("requests.crossed")
            verdict = MayHaveRun(Reason.TRUNCATED, "answer to another request")
            answer = refusals.make_refusal(request.request_id, verdict)
        self._write(waiting, answer)
        self._handle_next()

    def _write(self, waiting: Waiting, answer: Answer) -> None:
        closes = not waiting.keeps_alive or self._is_leaving
        closes = closes or self._surface.is_draining()
        self._since_s = time.monotonic()
        self._transport.write(
            caller_answers.encode_answer(answer, waiting.method, closes)
        )
        if closes:
            self._end()

    def _end(self) -> None:
        """Close after what has been written, giving the caller time to read it."""
        self._phase = Phase.ENDING
        self._waiting.clear()
        if self._transport.is_closing():
            return
        self._read_while(True)
        self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)


def _answer_readiness(is_ready: bool) -> Answer:
    request_id = str(uuid.uuid4())
    if is_ready:
        return Answer(request_id, Ran(), 200)
    return refusals.make_refusal(request_id, NotRun(Reason.STARTING, "not ready yet"))
