"""The callers' surface: HTTP requests to `Request`, `Answer` back to HTTP.

A bare ASGI app, as the path of every request. Each answer goes to exactly its caller: a
caller that goes away cancels the handling of its request.
"""

import asyncio
import http
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import verdicts
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import http_headers, http_limits
from fuchsiamoor.routing import refusals

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_DEADLINE_MS = 10 * 60 * 1000
MAX_KEY_BYTES = 1024
READY_PATH = b"/_ready"

_KEY = b"fuchsiamoor-key"
_TENANT = b"fuchsiamoor-tenant"
_DEADLINE = b"fuchsiamoor-deadline-ms"
_IDEMPOTENCY_KEY = b"idempotency-key"
_DEFAULT_TENANT = b"default"
_OWN_NAMES = (_KEY, _TENANT, _DEADLINE, _IDEMPOTENCY_KEY)
_BODILESS_STATUSES = (204, 304)
_PLAIN_TEXT = (b"content-type", b"text/plain; charset=utf-8")

Handle = Callable[[Request], Awaitable[Answer]]


class Parsed(NamedTuple):
    """A request whose body has not been read.

    Parameters
    ----------
    request : Request
        With an empty body.
    body_limit_bytes : int
    has_body : bool
    """

    request: Request
    body_limit_bytes: int
    has_body: bool


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

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] != "http":
            return
        if scope["raw_path"] == READY_PATH:
            await _send_ready(send, is_ready())
            return
        request_id = str(uuid.uuid4())
        parsed = _parse(get_configuration(), scope, request_id, _now_ms())
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
            answer = refusals.make_refusal(request_id, crossed)
        await _send_answer(send, answer, request.method, is_draining())

    return app


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _parse(
    configuration: configurations.Configuration,
    scope: dict,
    request_id: str,
    now_ms: int,
) -> Parsed | NotRun:
    """Read everything but the body."""
    headers = scope["headers"]
    head_bytes = sum([len(name) + len(value) for name, value in headers])
    head_bytes += len(scope["raw_path"]) + len(scope["query_string"])
    if head_bytes > MAX_HEAD_BYTES or len(headers) > MAX_HEADERS:
        return _bad(
            f"found {head_bytes} bytes in {len(headers)} headers, expected at most "
            f"{MAX_HEAD_BYTES} in {MAX_HEADERS}"
        )
    own, content_length, is_chunked = _read_own_headers(headers)
    if own is None:
        return _bad("a header of this system is given twice")
    try:
        path = scope["raw_path"].decode("ascii")
        query = scope["query_string"].decode("ascii")
        key = own.get(_KEY, b"").decode()
        tenant = own.get(_TENANT, _DEFAULT_TENANT).decode()
        idempotency_key = own.get(_IDEMPOTENCY_KEY, b"").decode()
    except UnicodeDecodeError:
        return _bad("path or header is not UTF-8")
    _, _, rest = path.partition("/")
    service_name, _, below = rest.partition("/")
    service = configuration.services.get(service_name)
    if service is None:
        return NotRun(Reason.UNKNOWN_SERVICE, f"no service {service_name!r:.80}")
    if tenant not in configuration.tenants:
        return NotRun(Reason.UNKNOWN_TENANT, f"no tenant {tenant!r:.80}")
    if service.key_required and not key:
        return _bad("Fuchsiamoor-Key is missing")
    if max(map(len, own.values()), default=0) > MAX_KEY_BYTES:
        return _bad(f"expected at most {MAX_KEY_BYTES} bytes in a header's value")
    deadline_ms = _parse_deadline(own.get(_DEADLINE), service.default_deadline_ms)
    if deadline_ms is None:
        return _bad(
            f"Fuchsiamoor-Deadline-Ms: found {own[_DEADLINE]!r:.40}, "
            f"expected 1 to {MAX_DEADLINE_MS}"
        )
    limit_bytes = service.limits.body_bytes
    if content_length > limit_bytes:
        return NotRun(
            Reason.BODY_TOO_LARGE,
            f"found {content_length} bytes, expected at most {limit_bytes}",
        )
    request = Request(
        request_id=request_id,
        service=service_name,
        tenant=tenant,
        key=key,
        idempotency_key=idempotency_key,
        method=scope["method"],
        path=f"/{below}?{query}" if query else f"/{below}",
        headers=http_headers.keep_end_to_end(headers),
        body=b"",
        deadline_ms=now_ms + deadline_ms,
        idempotent=scope["method"] in service.idempotent_methods,
    )
    return Parsed(request, limit_bytes, content_length > 0 or is_chunked)


def _read_own_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[dict[bytes, bytes] | None, int, bool]:
    """Return this system's headers (None if repeated), the length, and if chunked."""
    own: dict[bytes, bytes] = {}
    content_length = 0
    is_chunked = False
    for name, value in headers:
        if name in _OWN_NAMES:
            if name in own:
                return None, 0, False
            own[name] = value
        elif name == b"content-length":
            content_length = int(value) if value.isdigit() else 0
        elif name == b"transfer-encoding":
            is_chunked = True
    return own, content_length, is_chunked


def _parse_deadline(value: bytes | None, default_ms: int) -> int | None:
    if value is None:
        return default_ms
    if not value.isdigit() or len(value) > 9:
        return None
    deadline_ms = int(value)
    return deadline_ms if 0 < deadline_ms <= MAX_DEADLINE_MS else None


def _bad(detail: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, detail)


async def _read_body(receive: Callable, parsed: Parsed) -> bytes | NotRun | Gone:
    """Read the body within its limit and the request's deadline."""
    loop = asyncio.get_running_loop()
    remaining_ms = parsed.request.deadline_ms - _now_ms()
    parts = []
    size_bytes = 0
    try:
        async with asyncio.timeout_at(loop.time() + remaining_ms / 1000):
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    return Gone()
                parts.append(event.get("body", b""))
                size_bytes += len(parts[-1])
                if size_bytes > parsed.body_limit_bytes:
                    return NotRun(
                        Reason.BODY_TOO_LARGE,
                        f"expected at most {parsed.body_limit_bytes} bytes",
                    )
                if not event.get("more_body", False):
                    return b"".join(parts)
    except TimeoutError:
        return NotRun(Reason.DEADLINE_PASSED, "the body did not arrive in time")


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
    answer = refusals.make_refusal(request_id, verdict)
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
