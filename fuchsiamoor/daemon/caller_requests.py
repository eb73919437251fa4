"""Callers' requests: from the head of an HTTP request to a checked `Request`."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.requests import Headers, Request
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import http_headers

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 100
MAX_DEADLINE_MS = 10 * 60 * 1000
MAX_VALUE_BYTES = 1024

_KEY = b"fuchsiamoor-key"
_TENANT = b"fuchsiamoor-tenant"
_DEADLINE = b"fuchsiamoor-deadline-ms"
_IDEMPOTENCY_KEY = b"idempotency-key"
_DEFAULT_TENANT = b"default"
OWN_NAMES = frozenset((_KEY, _TENANT, _DEADLINE, _IDEMPOTENCY_KEY))


class Head(NamedTuple):
    """An HTTP request without its body, as it was read.

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


class SortedHeaders(NamedTuple):
    """The headers of a head, by whom they concern.

    Parameters
    ----------
    own : dict of bytes to bytes
        What they say to this system.
    end_to_end : Headers
        What travels on.
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
) -> Parsed | NotRun:
    """Read everything but the body.

    Parameters
    ----------
    configuration : Configuration
    head : Head
        As received; nothing in it is trusted.
    request_id : str
    now_ms : int
        Monotonic time.
    """
    found = _sort_headers(head)
    if isinstance(found, NotRun):
        return found
    own = found.own
    try:
        path = head.path.decode("ascii")
        query = head.query.decode("ascii")
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
    deadline_ms = _parse_deadline(own, service.default_deadline_ms)
    if deadline_ms is None:
        return _bad(
            f"Fuchsiamoor-Deadline-Ms: found {own[_DEADLINE]!r:.40}, "
            f"expected 1 to {MAX_DEADLINE_MS}"
        )
    limit_bytes = service.limits.body_bytes
    if found.content_length_bytes > limit_bytes:
        return refuse_body(limit_bytes)
    request = Request(
        request_id=request_id,
        service=service_name,
        tenant=tenant,
        key=key,
        idempotency_key=idempotency_key,
        method=head.method,
        path=f"/{below}?{query}" if query else f"/{below}",
        headers=found.end_to_end,
        body=b"",
        deadline_ms=now_ms + deadline_ms,
        idempotent=head.method in service.idempotent_methods,
    )
    return Parsed(
        request, limit_bytes, found.content_length_bytes > 0 or found.is_chunked
    )


def refuse_body(limit_bytes: int) -> NotRun:
    """Return the refusal of a body over its limit."""
    return NotRun(Reason.BODY_TOO_LARGE, f"expected at most {limit_bytes} bytes")


def _sort_headers(head: Head) -> SortedHeaders | NotRun:
    """Sort the headers within their limits."""
    own: dict[bytes, bytes] = {}
    kept = []
    names_hop = False
    content_length_bytes = 0
    is_chunked = False
    size_bytes = len(head.path) + len(head.query)
    for header in head.headers:
        name, value = header
        size_bytes += len(name) + len(value)
        if name in OWN_NAMES:
            if name in own or len(value) > MAX_VALUE_BYTES:
                return _bad(
                    f"{name.decode()}: expected once, at most {MAX_VALUE_BYTES} bytes"
                )
            own[name] = value
        elif not http_headers.ends_here(name):
            kept.append(header)
        elif name == b"content-length":
            content_length_bytes = int(value) if value.isdigit() else 0
        elif name == b"transfer-encoding":
            is_chunked = True
        elif name == b"connection":
            names_hop = True
    if size_bytes > MAX_HEAD_BYTES or len(head.headers) > MAX_HEADERS:
        return _bad(
            f"found {size_bytes} bytes in {len(head.headers)} headers, expected at "
            f"most {MAX_HEAD_BYTES} in {MAX_HEADERS}"
        )
    if names_hop:
        kept = http_headers.keep_end_to_end(head.headers)
    return SortedHeaders(own, tuple(kept), content_length_bytes, is_chunked)


def _parse_deadline(values: dict[bytes, bytes], default_ms: int) -> int | None:
    value = values.get(_DEADLINE)
    if value is None:
        return default_ms
    if not value.isdigit() or len(value) > 9:
        return None
    deadline_ms = int(value)
    return deadline_ms if 0 < deadline_ms <= MAX_DEADLINE_MS else None


def _bad(detail: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, detail)
