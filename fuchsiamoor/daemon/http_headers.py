"""Which HTTP headers travel on, and which end with their hop."""

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
_ENDS_HERE = HOP_BY_HOP_HEADERS | {b"host", b"idempotency-key"}


def ends_here(name: bytes) -> bool:
    """Return whether a header never travels on, whatever ``Connection`` names.

    Examples
    --------
    >>> ends_here(b"te"), ends_here(b"fuchsiamoor-epoch"), ends_here(b"accept")
    (True, True, False)
    """
    return name in _ENDS_HERE or name.startswith(OWN_PREFIX)


def keep_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that travel on.

    Left out are those of one hop, those that the ``Connection`` header names, this
    project's own, and those that every hop writes itself.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Examples
    --------
    >>> keep_end_to_end([(b"accept", b"*/*"), (b"x", b"1"), (b"connection", b"X")])
    ((b'accept', b'*/*'),)
    """
    kept = [header for header in headers if not ends_here(header[0])]
    named = [value for name, value in headers if name == b"connection"]
    if not named:
        return tuple(kept)
    dropped = {token.strip().lower() for value in named for token in value.split(b",")}
    return tuple(header for header in kept if header[0] not in dropped)
