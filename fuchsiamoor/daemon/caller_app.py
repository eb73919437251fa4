"""ASGI app of the caller endpoint: turns HTTP requests into `Request` and back.

It uses no web framework, since every request passes through it. An answer goes only to
the caller of its request; a caller that disconnects cancels its request.
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
# A daemon whose store is reachable has its first configuration within this time.
CONFIGURATION_WAIT_MS = 2_000
CONFIGURATION_POLL_MS = 20

_STATUSES_WITHOUT_BODY = (204, 304)
_PLAIN_TEXT = (b"content-type", b"text/plain; charset=utf-8")

Handle = Callable[[Request], Awaitable[Answer]]


class CallerGone(NamedTuple):
    """The caller disconnected."""


def make_caller_app(
    get_configuration: Callable[[], configurations.Configuration],
    handle: Handle,
    is_ready: Callable[[], bool],
    metrics: object,
    is_draining: Callable[[], bool] = lambda: False,
) -> Callable:
    """Return the ASGI app of the caller endpoint.

    It requires `http_limits.BoundedHttpProtocol`, which reports disconnected callers.

    Parameters
    ----------
    get_configuration : callable
        Returns the configuration in force.
    handle : callable
        Takes a `Request`, returns its `Answer`; cancelled if the caller disconnects.
    is_ready : callable
        Whether the daemon has a configuration and knows its peers.
    metrics : Metrics
    is_draining : callable
        Whether answers close the callers' connections.
    """
    process_id = uuid.uuid4()
    request_numbers = itertools.count(1)

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        if scope["raw_path"] == READY_PATH:
            await _send_ready(send, is_ready())
            return
        request_id = f"{process_id}-{next(request_numbers)}"
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
                await _handle_missing_body(send, request_id, body, metrics)
                return
            request = request._replace(body=body)
        set_on_disconnect = scope["extensions"][http_limits.ON_DISCONNECT_EXTENSION]
        answer = await _handle_until_disconnect(handle, request, set_on_disconnect)
        if isinstance(answer, CallerGone):
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
    """Return the configuration in force, None if none arrives in time.

    A daemon accepts callers before it has received its first configuration; until then
    it must not answer that a service is unknown.
    """
    end_ms = clock.read_clock_ms() + CONFIGURATION_WAIT_MS
    while get_configuration().revision == 0:
        if clock.read_clock_ms() >= end_ms:
            return None
        await asyncio.sleep(CONFIGURATION_POLL_MS / 1000)
    return get_configuration()


async def _read_body(
    receive: Callable, parsed: caller_requests.ParsedHead
) -> bytes | NotRun | CallerGone:
    """Read the body within its size limit and the request's deadline."""
    reader_task = asyncio.current_task()
    is_late = False

    def expire() -> None:
        nonlocal is_late
        is_late = True
        reader_task.cancel()

    remaining_ms = parsed.request.deadline_ms - clock.read_clock_ms()
    loop = asyncio.get_running_loop()
    timer = loop.call_later(max(remaining_ms, 0) / 1000, expire)
    try:
        return await _gather_body(receive, parsed.body_limit_bytes)
    except asyncio.CancelledError:
        if not is_late:
            raise
        reader_task.uncancel()
        return NotRun(Reason.DEADLINE_PASSED, "the body did not arrive in time")
    finally:
        timer.cancel()


async def _gather_body(
    receive: Callable, limit_bytes: int
) -> bytes | NotRun | CallerGone:
    parts = []
    size_bytes = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return CallerGone()
        parts.append(event["body"])
        size_bytes += len(event["body"])
        if size_bytes > limit_bytes:
            return caller_requests.refuse_body(limit_bytes)
        if not event["more_body"]:
            return parts[0] if len(parts) == 1 else b"".join(parts)


async def _handle_missing_body(
    send: Callable, request_id: str, failure: NotRun | CallerGone, metrics: object
) -> None:
    match failure:
        case CallerGone():
            metrics.count("requests.cancelled")
        case NotRun():
            await _refuse(send, request_id, failure)


async def _handle_until_disconnect(
    handle: Handle, request: Request, set_on_disconnect: Callable
) -> Answer | CallerGone:
    """Handle a request; cancel it if the caller disconnects first."""
    handler_task = asyncio.current_task()
    is_disconnected = False

    def cancel() -> None:
        nonlocal is_disconnected
        is_disconnected = True
        handler_task.cancel()

    set_on_disconnect(cancel)
    try:
        return await handle(request)
    except asyncio.CancelledError:
        if not is_disconnected:
            raise
        handler_task.uncancel()
        return CallerGone()
    finally:
        set_on_disconnect(None)


async def _send_ready(send: Callable, is_ready: bool) -> None:
    status = http.HTTPStatus.OK if is_ready else http.HTTPStatus.SERVICE_UNAVAILABLE
    await _send(send, status, [(b"content-length", b"0")], b"")


async def _refuse(send: Callable, request_id: str, verdict: NotRun) -> None:
    """Refuse a request and close its connection, since its body was not read."""
    answer = error_answers.make_error_answer(request_id, verdict)
    await _send_answer(send, answer, "", True)


async def _send_answer(
    send: Callable, answer: Answer, method: str, closes_connection: bool
) -> None:
    """Send an answer with the Fuchsiamoor headers added."""
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
    if answer.status not in _STATUSES_WITHOUT_BODY and method != "HEAD":
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
