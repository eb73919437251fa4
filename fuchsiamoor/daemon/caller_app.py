"""The callers' surface: HTTP requests to `Request`, `Answer` back to HTTP.

A bare ASGI app, as the path of every request. Each answer goes to exactly its caller: a
caller that goes away cancels the handling of its request.
"""

import asyncio
import http
import itertools
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from fuchsiamoor.core import clock, verdicts
from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import caller_requests, http_limits
from fuchsiamoor.routing import error_answers

READY_PATH = b"/_ready"
# A start with a store that answers takes less than this until a configuration is known.
FIRST_CONFIGURATION_MS = 2_000
FIRST_CONFIGURATION_CHECK_MS = 20

_BODILESS_STATUSES = (204, 304)
_PLAIN_TEXT = (b"content-type", b"text/plain; charset=utf-8")

Handle = Callable[[Request], Awaitable[Answer]]


class Gone(NamedTuple):
    """The caller went away."""


def make_caller_app(
    get_configuration: Callable[[], configurations.Configuration],
    handle: Handle,
    is_ready: Callable[[], bool],
    metrics: object,
    is_draining: Callable[[], bool] = lambda: False,
) -> Callable:
    """Return the ASGI app of the surface.

    It runs under `http_limits.BoundedHttpProtocol`, which tells it of callers that go
    away.

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
    process_id = uuid.uuid4()
    numbers = itertools.count(1)

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        if scope["raw_path"] == READY_PATH:
            await _send_ready(send, is_ready())
            return
        request_id = f"{process_id}-{next(numbers)}"
        head = caller_requests.Head(
            scope["method"], scope["raw_path"], scope["query_string"], scope["headers"]
        )
        configuration = await _wait_for_configuration(get_configuration)
        if configuration is None:
            starting = NotRun(Reason.STARTING, "no configuration received yet")
            await _refuse(send, request_id, starting)
            return
        parsed = caller_requests.parse_head(
            configuration, head, request_id, clock.read_clock_ms()
        )
        if isinstance(parsed, NotRun):
            await _refuse(send, request_id, parsed)
            return
        request = parsed.request
        if parsed.has_body:
            body = await _read_body(receive, parsed)
            if not isinstance(body, bytes):
                await _end_without_body(send, request_id, body, metrics)
                return
            request = request._replace(body=body)
        set_on_gone = scope["extensions"][http_limits.ON_GONE_EXTENSION]
        answer = await _handle_until_gone(handle, request, set_on_gone)
        if isinstance(answer, Gone):
            metrics.count("requests.cancelled")
            return
        if answer.request_id != request_id:
            metrics.count("requests.crossed")
            crossed = MayHaveRun(Reason.TRUNCATED, "answer to another request")
            answer = error_answers.make_error_answer(request_id, crossed)
        await _send_answer(send, answer, request.method, is_draining())

    return app


async def _wait_for_configuration(
    get_configuration: Callable[[], configurations.Configuration],
) -> configurations.Configuration | None:
    """Return the configuration in force, None if none arrives for a while.

    A daemon that has just started accepts callers before it knows any: what it does not
    know yet is no unknown service.
    """
    end_ms = clock.read_clock_ms() + FIRST_CONFIGURATION_MS
    while get_configuration().revision == 0:
        if clock.read_clock_ms() >= end_ms:
            return None
        await asyncio.sleep(FIRST_CONFIGURATION_CHECK_MS / 1000)
    return get_configuration()


async def _read_body(
    receive: Callable, parsed: caller_requests.Parsed
) -> bytes | NotRun | Gone:
    """Read the body within its limit and the request's deadline."""
    reading = asyncio.current_task()
    is_late = False

    def expire() -> None:
        nonlocal is_late
        is_late = True
        reading.cancel()

    remaining_ms = parsed.request.deadline_ms - clock.read_clock_ms()
    loop = asyncio.get_running_loop()
    timer = loop.call_later(max(remaining_ms, 0) / 1000, expire)
    try:
        return await _gather_body(receive, parsed.body_limit_bytes)
    except asyncio.CancelledError:
        if not is_late:
            raise
        reading.uncancel()
        return NotRun(Reason.DEADLINE_PASSED, "the body did not arrive in time")
    finally:
        timer.cancel()


async def _gather_body(receive: Callable, limit_bytes: int) -> bytes | NotRun | Gone:
    parts = []
    size_bytes = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return Gone()
        parts.append(event["body"])
        size_bytes += len(event["body"])
        if size_bytes > limit_bytes:
            return caller_requests.refuse_body(limit_bytes)
        if not event["more_body"]:
            return parts[0] if len(parts) == 1 else b"".join(parts)


async def _end_without_body(
    send: Callable, request_id: str, ending: NotRun | Gone, metrics: object
) -> None:
    match ending:
        case Gone():
            metrics.count("requests.cancelled")
        case NotRun():
            await _refuse(send, request_id, ending)


async def _handle_until_gone(
    handle: Handle, request: Request, set_on_gone: Callable
) -> Answer | Gone:
    """Handle a request; cancel that if the caller goes away first."""
    handling = asyncio.current_task()
    is_gone = False

    def cancel() -> None:
        nonlocal is_gone
        is_gone = True
        handling.cancel()

    set_on_gone(cancel)
    try:
        return await handle(request)
    except asyncio.CancelledError:
        if not is_gone:
            raise
        handling.uncancel()
        return Gone()
    finally:
        set_on_gone(None)


async def _send_ready(send: Callable, is_ready: bool) -> None:
    status = http.HTTPStatus.OK if is_ready else http.HTTPStatus.SERVICE_UNAVAILABLE
    await _send(send, status, [(b"content-length", b"0")], b"")


async def _refuse(send: Callable, request_id: str, verdict: NotRun) -> None:
    """Refuse a request whose body has not been read: its connection is closed."""
    answer = error_answers.make_error_answer(request_id, verdict)
    await _send_answer(send, answer, "", True)


async def _send_answer(
    send: Callable, answer: Answer, method: str, closes_connection: bool
) -> None:
    """Send an answer with this system's headers."""
    body = answer.body
    headers = [
        *answer.headers,
        (b"fuchsiamoor-verdict", verdicts.format_verdict(answer.verdict).encode()),
        (b"fuchsiamoor-request-id", answer.request_id.encode()),
        (b"fuchsiamoor-served-by", answer.served_by.encode()),
    ]
    match answer.verdict:
        case NotRun(reason, detail) | MayHaveRun(reason, detail):
            headers.append((b"fuchsiamoor-reason", reason.value.encode()))
            if detail and not body:
                body = f"{detail}\n".encode()
                headers.append(_PLAIN_TEXT)
    if answer.status not in _BODILESS_STATUSES and method != "HEAD":
        headers.append((b"content-length", str(len(body)).encode()))
    if closes_connection:
        headers.append((b"connection", b"close"))
    await _send(send, answer.status, headers, b"" if method == "HEAD" else body)


async def _send(
    send: Callable, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    start = {"type": "http.response.start", "status": status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": body})
