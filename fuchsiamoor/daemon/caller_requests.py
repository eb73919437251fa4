"""Parsing and validation of the head of a caller's HTTP request."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.requests import Headers, Request
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import http_headers

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_DEADLINE_MS = 10 * 60 * 1000
MAX_OWN_HEADER_BYTES = 1024

_KEY = b"fuchsiamoor-key"
_TENANT = b"fuchsiamoor-tenant"
_DEADLINE = b"fuchsiamoor-deadline-ms"
_IDEMPOTENCY_KEY = b"idempotency-key"
_DEFAULT_TENANT = b"default"
OWN_HEADERS = frozenset((_KEY, _TENANT, _DEADLINE, _IDEMPOTENCY_KEY))


class Head(NamedTuple):
    """The head of an HTTP request, as received.

    Parameters
    ----------
    method : str
    path, query : bytes
    headers : list of (bytes, bytes)
        Names in lower case.
    """

    method: str
    path: bytes
    query: bytes
    headers: list[tuple[bytes, bytes]]


class ParsedHead(NamedTuple):
    """A parsed request whose body has not been read.

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


class SortedHeaders(NamedTuple):
    """The headers of a request, split by recipient.

    Parameters
    ----------
    own : dict of bytes to bytes
        Headers addressed to Fuchsiamoor, by name.
    end_to_end : Headers
        Headers that are forwarded to the upstream.
    content_length_bytes : int
    is_chunked : bool
    """

    own: dict[bytes, bytes]
    end_to_end: Headers
    content_length_bytes: int
    is_chunked: bool


def parse_head(
    configuration: configurations.Configuration,
    head: Head,
    request_id: str,
    now_ms: int,
) -> ParsedHead | NotRun:
    """Parse and validate everything but the body.

    Parameters
    ----------
    configuration : Configuration
    head : Head
        Untrusted input.
    request_id : str
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    ParsedHead or NotRun
        `NotRun` is the refusal of an invalid request.
    """
    sorted_headers = _sort_headers(head)
    if isinstance(sorted_headers, NotRun):
        return sorted_headers
    own = sorted_headers.own
    try:
        path = head.path.decode("ascii")
        query = head.query.decode("ascii")
        key = own.get(_KEY, b"").decode()
        tenant = own.get(_TENANT, _DEFAULT_TENANT).decode()
        idempotency_key = own.get(_IDEMPOTENCY_KEY, b"").decode()
    except UnicodeDecodeError:
        return _refuse_bad_request("path or header is not UTF-8")
    _, _, rest = path.partition("/")
    service_name, _, service_path = rest.partition("/")
    service = configuration.services.get(service_name)
    if service is None:
        return NotRun(Reason.UNKNOWN_SERVICE, f"no service {service_name!r:.80}")
    if tenant not in configuration.tenants:
        return NotRun(Reason.UNKNOWN_TENANT, f"no tenant {tenant!r:.80}")
    if service.key_required and not key:
        return _refuse_bad_request("Fuchsiamoor-Key is missing")
    deadline_ms = _parse_deadline(own, service.default_deadline_ms)
    if deadline_ms is None:
        return _refuse_bad_request(
            f"Fuchsiamoor-Deadline-Ms: found {own[_DEADLINE]!r:.40}, "
            f"expected 1 to {MAX_DEADLINE_MS}"
        )
    limit_bytes = service.limits.body_bytes
    if sorted_headers.content_length_bytes > limit_bytes:
        return refuse_body(limit_bytes)
    request = Request(
        request_id=request_id,
        service=service_name,
        tenant=tenant,
        key=key,
        idempotency_key=idempotency_key,
        method=head.method,
        path=f"/{service_path}?{query}" if query else f"/{service_path}",
        headers=sorted_headers.end_to_end,
        body=b"",
        deadline_ms=now_ms + deadline_ms,
        idempotent=head.method in service.idempotent_methods,
    )
    return ParsedHead(
        request,
        limit_bytes,
        sorted_headers.content_length_bytes > 0 or sorted_headers.is_chunked,
    )


def refuse_body(limit_bytes: int) -> NotRun:
    """Return the refusal of a body that exceeds its limit."""
    return NotRun(Reason.BODY_TOO_LARGE, f"expected at most {limit_bytes} bytes")


def _sort_headers(head: Head) -> SortedHeaders | NotRun:
    """Split the headers by recipient; refuse a head that exceeds the limits."""
    own: dict[bytes, bytes] = {}
    end_to_end = []
    has_connection_header = False
    content_length_bytes = 0
    is_chunked = False
    size_bytes = len(head.path) + len(head.query)
    for header in head.headers:
        name, value = header
        size_bytes += len(name) + len(value)
        if name in OWN_HEADERS:
            if name in own or len(value) > MAX_OWN_HEADER_BYTES:
                return _refuse_bad_request(
                    f"{name.decode()}: expected once, "
                    f"at most {MAX_OWN_HEADER_BYTES} bytes"
                )
            own[name] = value
        elif not http_headers.is_never_forwarded(name):
            end_to_end.append(header)
        elif name == b"content-length":
            content_length_bytes = int(value) if value.isdigit() else 0
        elif name == b"transfer-encoding":
            is_chunked = True
        elif name == b"connection":
            has_connection_header = True
    if size_bytes > MAX_HEAD_BYTES or len(head.headers) > MAX_HEADERS:
        return _refuse_bad_request(
            f"found {size_bytes} bytes in {len(head.headers)} headers, expected at "
            f"most {MAX_HEAD_BYTES} in {MAX_HEADERS}"
        )
    if has_connection_header:
        end_to_end = http_headers.select_end_to_end(head.headers)
    return SortedHeaders(own, tuple(end_to_end), content_length_bytes, is_chunked)


def _parse_deadline(values: dict[bytes, bytes], default_ms: int) -> int | None:
    value = values.get(_DEADLINE)
    if value is None:
        return default_ms
    if not value.isdigit() or len(value) > 9:
        return None
    deadline_ms = int(value)
    return deadline_ms if 0 < deadline_ms <= MAX_DEADLINE_MS else None


def _refuse_bad_request(detail: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, detail)
