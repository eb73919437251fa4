"""Answers to callers: from `Answer` to HTTP."""

import functools
import http

from fuchsiamoor.core import verdicts
from fuchsiamoor.core.requests import Answer, Headers
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.routing import refusals

_BODILESS_STATUSES = (204, 304)
_PLAIN_TEXT = (b"content-type", b"text/plain; charset=utf-8")


def describe_answer(
    answer: Answer, method: str, closes_connection: bool
) -> tuple[Headers, bytes]:
    """Return the headers and the body that tell a caller of an answer.

    Parameters
    ----------
    answer : Answer
    method : str
        Of the request.
    closes_connection : bool
        Whether the connection ends with this answer.
    """
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
    if answer.status in _BODILESS_STATUSES or method == "HEAD":
        body = b""
    else:
        headers.append((b"content-length", str(len(body)).encode()))
    if closes_connection:
        headers.append((b"connection", b"close"))
    return tuple(headers), body


def encode_answer(answer: Answer, method: str, closes_connection: bool) -> bytes:
    """Return an answer as HTTP/1.1; one that would be read as another is replaced."""
    headers, body = describe_answer(answer, method, closes_connection)
    head = b"".join(
        (
            _encode_status(answer.status),
            *[b"%b: %b\r\n" % header for header in headers],
            b"\r\n",
        )
    )
    if head.count(b"\n") != len(headers) + 2:
        malformed = MayHaveRun(Reason.TRUNCATED, "malformed headers")
        replaced = refusals.make_refusal(answer.request_id, malformed)
        return encode_answer(replaced, method, closes_connection)
    return head + body


@functools.cache
def _encode_status(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()
