"""Selection of the HTTP headers that a proxy forwards."""

from collections.abc import Iterable

from fuchsiamoor.core.requests import Headers

OWN_PREFIX = b"fuchsiamoor-"

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_NEVER_FORWARDED = HOP_BY_HOP_HEADERS | {b"host", b"idempotency-key"}


def is_never_forwarded(name: bytes) -> bool:
    """Return whether a header is never forwarded, whatever ``Connection`` lists.

    Examples
    --------
    >>> is_never_forwarded(b"fuchsiamoor-epoch"), is_never_forwarded(b"te")
    (True, True)
    >>> is_never_forwarded(b"accept")
    False
    """
    return name in _NEVER_FORWARDED or name.startswith(OWN_PREFIX)


def select_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end headers, which are forwarded.

    Excludes hop-by-hop headers, headers listed in ``Connection``, headers of
    Fuchsiamoor itself, and headers that each hop sets itself.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Examples
    --------
    >>> select_end_to_end([(b"accept", b"*/*"), (b"x", b"1"), (b"connection", b"X")])
    ((b'accept', b'*/*'),)
    """
    kept = [header for header in headers if not is_never_forwarded(header[0])]
    named = [value for name, value in headers if name == b"connection"]
    if not named:
        return tuple(kept)
    dropped = {token.strip().lower() for value in named for token in value.split(b",")}
    return tuple(header for header in kept if header[0] not in dropped)
