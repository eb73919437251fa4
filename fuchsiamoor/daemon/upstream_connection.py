"""HTTP connection to an upstream: one request at a time, each written once."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import httptools

from fuchsiamoor.core import byte_account, http_status
from fuchsiamoor.core.verdicts import Reason

# Largest accepted head of an answer. All bytes of an answer that are not part of its
# body (heads, interim answers, chunk framing, trailers) may exceed the body by as much.
MAX_HEAD_BYTES = 64 * 1024
# Smaller bodies are not counted on their way to their callers.
LARGE_BODY_BYTES = 64 * 1024
# Requests that may have been refused on one connection before it is closed.
MAX_REFUSED_IDS = 256

# The parser takes other protocols with the same kind of head, and other versions.
_FIRST_BYTES = (b"", b"H")
_VERSIONS = ("1.0", "1.1")
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class WholeAnswer(NamedTuple):
    """An answer that has arrived completely."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Lost(NamedTuple):
    """No complete answer will arrive; the request may have run.

    Parameters
    ----------
    reason : Reason
    detail : str
    is_reset : bool
        Whether the upstream reset the connection before any byte of an answer.
    """

    reason: Reason
    detail: str
    is_reset: bool = False


Received = WholeAnswer | Lost


class AnswerMatch(Enum):
    """Which request an answer belongs to, by the request ids in its headers."""

    OWN = "own"
    # It names another request, so the own answer may still follow it.
    OTHER = "other"
    # It names no request, or several: nothing on the connection can be trusted.
    UNCLEAR = "unclear"


MatchAnswer = Callable[[list[tuple[bytes, bytes]]], AnswerMatch]


def match_request_id(
    header: bytes, request_id: str, headers: list[tuple[bytes, bytes]]
) -> AnswerMatch:
    """Compare the request id in an answer's headers with that of the request.

    Parameters
    ----------
    header : bytes
        Name of the header with the request id, in lower case.
    request_id : str
    headers : list of tuple of bytes
    """
    found = [value for name, value in headers if name == header]
    if len(found) != 1:
        return AnswerMatch.UNCLEAR
    is_own = found[0] == request_id.encode("latin-1")
    return AnswerMatch.OWN if is_own else AnswerMatch.OTHER


class UpstreamConnection(asyncio.Protocol):
    """Protocol of one connection: writes requests and parses their answers.

    Parameters
    ----------
    answer_limit_bytes : int
        Largest accepted body of an answer.
    on_lost : callable
        Called with this connection once it is closed.
    accepts_close_delimited : bool
        Whether an answer without a length is complete once the upstream has closed
        the connection cleanly.
    account : ByteAccount, optional
        Counts the bytes of unfinished answers.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be written.
    refused_ids : set of str
        Ids of requests that were answered without success here. They may be sent again,
        but not on this connection: an upstream may repeat an answer late, and it names
        the request, not the sending.
    idle_since_s : float
        Event loop time at which the connection became idle.
    """

    __slots__ = (
        "_account",
        "_answer_limit_bytes",
        "_body",
        "_body_bytes",
        "_is_close_delimited",
        "_future",
        "_has_final_status",
        "_head_bytes",
        "_header_count",
        "_headers",
        "_is_head",
        "_match_answer",
        "_on_lost",
        "_parser",
        "_received_bytes",
        "_accepts_close_delimited",
        "_transport",
        "_request_id",
        "idle_since_s",
        "is_reusable",
        "refused_ids",
    )

    def __init__(
        self,
        answer_limit_bytes: int,
        on_lost: Callable[["UpstreamConnection"], None],
        accepts_close_delimited: bool = False,
        account: byte_account.ByteAccount | None = None,
    ):
        self._account = account or byte_account.make_unlimited()
        self._answer_limit_bytes = answer_limit_bytes
        self._on_lost = on_lost
        self._accepts_close_delimited = accepts_close_delimited
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Received] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._is_close_delimited = False
        self.is_reusable = True
        self.refused_ids: set[str] = set()
        self.idle_since_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether nothing more can be written."""
        return self._parser is None or self._transport.is_closing()

    def exchange(
        self,
        payload: bytes,
        is_head: bool,
        future: "asyncio.Future[Received]",
        match_answer: MatchAnswer | None = None,
        request_id: str = "",
    ) -> None:
        """Write one request; ``future`` gets its answer or `Lost`.

        Parameters
        ----------
        payload : bytes
            Head and body.
        is_head : bool
            Whether the answer has no body regardless of its headers.
        future : Future
        match_answer : callable, optional
            Returns which request an answer with these headers belongs to. An answer to
            another request is dropped, and the connection is not reused; an unclear
            one ends the exchange with `Lost`.
        request_id : str, optional
            Not one of ``refused_ids``.
        """
        self._future = future
        self._request_id = request_id
        self._match_answer = match_answer
        self._is_head = is_head
        self._has_final_status = False
        self._head_bytes = 0
        self._header_count = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._transport.write(payload)

    def abort(self) -> None:
        """Close immediately and drop the answer that is still arriving."""
        self.is_reusable = False
        self._future = None
        self._drop_received()
        if self._transport is not None:
            self._transport.abort()

    def cut(self, detail: str) -> None:
        """Complete the request with `Lost`, as too many bytes are held."""
        if self._future is not None:
            self._set_lost(detail)
        self.abort()

    def _drop_received(self) -> None:
        byte_account.release_all(self._account, self)
        self._headers = []
        self._body = bytearray()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Complete the request in progress with `Lost`."""
        self.is_reusable = False
        if self._future is not None:
            is_reset = isinstance(error, ConnectionError) and not self._received_bytes
            self._set_lost(f"connection closed: {error!r}", is_reset)
        self._drop_received()
        self._parser = None
        self._on_lost(self)

    def eof_received(self) -> None:
        """Complete a close-delimited answer."""
        if self._future is not None and self._is_close_delimited:
            self.is_reusable = False
            self._deliver_answer()

    def data_received(self, data: bytes) -> None:
        """Parse data from the upstream; abort on data without a request."""
        if self._future is None:
            self.abort()
            return
        is_start = self._received_bytes == 0
        self._received_bytes += len(data)
        try:
            if is_start and data.lstrip(b"\r\n")[:1] not in _FIRST_BYTES:
                raise httptools.HttpParserError("another protocol")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._future is not None:
                self._set_lost(f"malformed answer: {error!r}")
            self.abort()
            return
        if self._future is None:
            return
        overhead_bytes = self._received_bytes - self._body_bytes
        # The parser keeps an unfinished header without reporting its size.
        if overhead_bytes > self._body_bytes + MAX_HEAD_BYTES:
            self._set_lost(f"{overhead_bytes} bytes besides the answer's body")
            self.abort()
            return
        headers_bytes = self._header_count * byte_account.HEADER_BYTES
        byte_account.set_held(self._account, self, self._received_bytes + headers_bytes)

    def on_message_begin(self) -> None:
        """Start an answer; a second one to a request ends the connection's reuse."""
        if self._future is None:
            self.is_reusable = False
        self._is_close_delimited = False
        self._headers = []
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, within the size limit."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"expected at most {MAX_HEAD_BYTES} bytes of headers")
        self._header_count += 1
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status; complete the answer if it has no body."""
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if not http_status.is_expected(status) or version not in _VERSIONS:
            raise ValueError(f"found status {status} of HTTP/{version}")
        self._has_final_status = status >= 200
        self._is_close_delimited = (
            self._accepts_close_delimited
            and self._has_final_status
            and status not in (204, 304)
            and not any(name in _FRAMING_HEADERS for name, _ in self._headers)
        )
        if self._is_head and self._has_final_status:
            self.is_reusable = False
            self._deliver_answer()

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, within the size limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._answer_limit_bytes:
            raise ValueError(f"expected at most {self._answer_limit_bytes} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        """Complete the answer unless it is an interim (1xx) one."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._deliver_answer()

    def _deliver_answer(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() > 0:
            # The upstream would parse the unsent rest of the request as the next one.
            self.is_reusable = False
        if self._future is not None and not self._is_own_answer():
            return
        future, self._future = self._future, None
        if future is None or future.done():
            self.is_reusable = False
            return
        status = self._parser.get_status_code()
        if self._request_id and not 200 <= status < 300:
            self.refused_ids.add(self._request_id)
            if len(self.refused_ids) >= MAX_REFUSED_IDS:
                self.is_reusable = False
        answer = WholeAnswer(status, self._headers, bytes(self._body))
        self._drop_received()
        if len(answer.body) >= LARGE_BODY_BYTES:
            loop = future.get_loop()
            byte_account.hold_for_turns(self._account, len(answer.body), loop)
        future.set_result(answer)

    def _is_own_answer(self) -> bool:
        """Return whether the parsed answer is the request's; otherwise drop it."""
        if self._match_answer is None:
            return True
        match = self._match_answer(self._headers)
        if match is AnswerMatch.OWN:
            return True
        self.is_reusable = False
        if match is AnswerMatch.UNCLEAR:
            self._set_lost("the answer does not name the request")
            self._transport.abort()
        self._has_final_status = False
        return False

    def _set_lost(self, detail: str, is_reset: bool = False) -> None:
        future, self._future = self._future, None
        if future.done():
            return
        reason = Reason.TRUNCATED if self._has_final_status else Reason.UPSTREAM_LOST
        future.set_result(Lost(reason, detail, is_reset))
