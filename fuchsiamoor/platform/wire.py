"""Encodes and decodes HTTP requests and answers with the platform's headers."""

from fuchsiamoor.agent import dialect
from fuchsiamoor.core import carried
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.daemon import http_headers
from fuchsiamoor.daemon.upstream_connection import (
    AnswerMatch,
    WholeAnswer,
    match_request_id,
)
from fuchsiamoor.traffic import catalog, organisations, requests, upstreams

_REQUEST_ID = b"fuchsiamoor-request-id"
# Milliseconds until the caller's timeout, counted from the sending of the request.
_DEADLINE = b"fuchsiamoor-deadline-ms"
_KEY = b"fuchsiamoor-shard-key"
_CALLER_SERVICE = b"fuchsiamoor-caller-service"
_EXPECTED_UPSTREAM = b"fuchsiamoor-expect-instance"
_ORGANISATION = b"fuchsiamoor-tenant"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"bearer"
# Signature of an upstream's answer, forwarded to the caller unchanged.
_SIGNATURE = b"fuchsiamoor-server-stamp"
_LOAD = b"fuchsiamoor-server-load"
_NOT_RUN = b"fuchsiamoor-not-executed"
_UPSTREAM_ID = b"fuchsiamoor-instance-id"
# Remaining time of a cold start, in milliseconds.
_COLD_FOR = b"fuchsiamoor-cold-start-ms"

# Set by the daemon, in place of any value that the caller sent.
_DAEMON_HEADERS = frozenset(
    (_DEADLINE, _CALLER_SERVICE, _EXPECTED_UPSTREAM, _ORGANISATION)
)
# Meant for the daemon; removed from answers to callers.
_INTERNAL_HEADERS = frozenset((_LOAD, _NOT_RUN, _UPSTREAM_ID, _COLD_FOR))
_MISDIRECTED_STATUS = 421
_WAIT_MAX_MS = 10 * 60 * 1000
_WAIT_DEFAULT_MS = 10_000
# Peers take no number above 64 bits; this is 11 days of a cold start in milliseconds.
_FIGURE_DIGITS_MAX = 9


def read_request(
    method: str, target: str, headers: Headers, body: bytes
) -> requests.CallerRequest:
    """Decode a caller's request.

    Parameters
    ----------
    method, target : str
    headers : Headers
        Names in lower case.
    body : bytes

    Raises
    ------
    ValueError
        If a header that routing needs is missing, duplicated or malformed.
    """
    routing_headers: dict[bytes, bytes] = {}
    forwarded, hosts, credentials = [], [], []
    connection_headers = _list_connection_headers(headers)
    for name, value in headers:
        if name == b"host":
            hosts.append(value)
        if name in (_REQUEST_ID, _DEADLINE, _KEY):
            if name in routing_headers:
                raise ValueError(f"{name.decode()}: duplicate header")
            routing_headers[name] = value
        if (
            name in http_headers.HOP_BY_HOP_HEADERS
            or name in _DAEMON_HEADERS
            or name in connection_headers
        ):
            continue
        if name == _AUTHORIZATION:
            credentials.append((name, value))
            continue
        forwarded.append((name, value))
    if len(hosts) != 1:
        raise ValueError(f"Host: found {len(hosts)} headers, expected one")
    request_id = routing_headers.get(_REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise ValueError("the request id is missing or empty")
    return requests.CallerRequest(
        request_id=request_id,
        method=method,
        host=hosts[0].decode("latin-1"),
        target=target,
        headers=tuple(forwarded),
        body=body,
        wait_ms=_read_wait_ms(routing_headers.get(_DEADLINE)),
        key=_read_key(routing_headers.get(_KEY)),
        # An upstream names a nested request by the id of the request that it runs, then
        # a dot and a suffix.
        parent_id=request_id.rpartition(".")[0],
        key_digest=_digest_key(credentials),
        credentials=tuple(credentials),
    )


def _digest_key(credentials: list[tuple[bytes, bytes]]) -> bytes:
    """Return the digest of the only key, empty bytes if there isn't exactly one."""
    if len(credentials) != 1:
        return b""
    scheme, _, key = credentials[0][1].strip().partition(b" ")
    if scheme.lower() != _KEY_SCHEME or not key.strip():
        return b""
    return organisations.digest_key(key.strip())


def _list_connection_headers(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )


def _read_wait_ms(value: bytes | None) -> int:
    if value is None:
        return _WAIT_DEFAULT_MS
    if not value.isdigit():
        raise ValueError(f"deadline: found {value!r:.40}, expected milliseconds")
    return min(int(value), _WAIT_MAX_MS)


def _read_key(value: bytes | None) -> int:
    if value is None:
        return carried.NO_KEY
    if not value.isdigit() or int(value) >= catalog.KEY_COUNT:
        raise ValueError(f"key: found {value!r:.40}, expected an integer up to 65535")
    return int(value)


def write_request(
    request: carried.CarriedRequest, upstream_id: str, remaining_ms: int
) -> bytes:
    """Encode a request for an upstream.

    Parameters
    ----------
    request : CarriedRequest
    upstream_id : str
        Sent along so that an upstream with another id refuses the request.
    remaining_ms : int
        Time until the deadline, in milliseconds.

    Raises
    ------
    ValueError
        If the request contains a line break, which would add a header or a request.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1".encode("latin-1"),
        *(b"%b: %b" % header for header in request.headers),
        b"%b: %d" % (_DEADLINE, max(remaining_ms, 1)),
        b"%b: %b" % (_CALLER_SERVICE, request.caller_service.encode("latin-1")),
        b"%b: %b" % (_EXPECTED_UPSTREAM, upstream_id.encode("latin-1")),
    ]
    if request.organisation:
        lines.append(b"%b: %b" % (_ORGANISATION, request.organisation.encode()))
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d" % len(request.body))
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(lines) - 1 or head.count(b"\r") != len(lines) - 1:
        raise ValueError("line breaks within the head of a request")
    return head + b"\r\n\r\n" + request.body


def match_answer(request_id: str, headers: list[tuple[bytes, bytes]]) -> AnswerMatch:
    """Return which request an upstream's answer belongs to."""
    return match_request_id(_REQUEST_ID, request_id, headers)


def read_answer(whole: WholeAnswer) -> requests.UpstreamAnswer:
    """Decode an upstream's complete answer."""
    headers = dict(whole.headers)
    is_signed = _SIGNATURE in headers
    is_success = 200 <= whole.status < 300
    not_run = _NOT_RUN in headers or whole.status == _MISDIRECTED_STATUS
    # The upstream encodes no content and signs each success; anything else was altered
    # on the way.
    is_corrupt = b"content-encoding" in headers or (is_success and not is_signed)
    return requests.UpstreamAnswer(
        status=whole.status,
        headers=tuple(
            header
            for header in whole.headers
            if header[0] not in http_headers.HOP_BY_HOP_HEADERS
            and header[0] not in _INTERNAL_HEADERS
        ),
        body=whole.body,
        has_run=not not_run,
        is_misdirected=whole.status == _MISDIRECTED_STATUS and not_run,
        is_corrupt=is_corrupt and not not_run,
        load=_read_load(headers.get(_LOAD)),
    )


def write_health_check(path: str, host: str) -> bytes:
    """Encode a health check."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")


def read_health(whole: WholeAnswer) -> dialect.Health:
    """Decode an upstream's answer to a health check."""
    headers = dict(whole.headers)
    return dialect.Health(
        upstream_id=headers.get(_UPSTREAM_ID, b"").decode("latin-1"),
        cold_for_ms=_read_figure(headers.get(_COLD_FOR, b"")) or 0,
        load=_read_load(headers.get(_LOAD)),
    )


def _read_load(value: bytes | None) -> upstreams.ReportedLoad | None:
    figures = [_read_figure(figure) for figure in (value or b"").split(b",")]
    if None in figures or len(figures) < 3:
        return None
    running, waiting, slots, *rest = figures
    return upstreams.ReportedLoad(running, waiting, slots, rest[0] if rest else 100)


def _read_figure(value: bytes) -> int | None:
    """Return a whole number of an upstream, None if it is none or beyond any."""
    digits = value.strip()
    if not digits.isdigit() or len(digits) > _FIGURE_DIGITS_MAX:
        return None
    return int(digits)


def write_request_id(request_id: str) -> tuple[bytes, bytes]:
    """Return the header that names the request in an answer by the daemon itself."""
    return (b"Fuchsiamoor-Request-Id", request_id.encode("latin-1"))
