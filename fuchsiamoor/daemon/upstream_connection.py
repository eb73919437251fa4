"""HTTP connection to an upstream: one request at a time, each written once."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from fuchsiamoor.core.verdicts import Reason

MAX_HEAD_BYTES = 64 * 1024

_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class WholeAnswer(NamedTuple):
    """An answer that has arrived completely."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Lost(NamedTuple):
    """No complete answer will arrive; the request may have run."""

    reason: Reason
    detail: str


Received = WholeAnswer | Lost


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

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be written.
    idle_since_s : float
        Event loop time at which the connection became idle.
    """

    __slots__ = (
        "_answer_limit_bytes",
        "_body",
        "_body_bytes",
        "_is_close_delimited",
        "_expects",
        "_future",
        "_has_final_status",
        "_head_bytes",
        "_headers",
        "_is_head",
        "_on_lost",
        "_parser",
        "_accepts_close_delimited",
        "_transport",
        "idle_since_s",
        "is_reusable",
    )

    def __init__(
        self,
        answer_limit_bytes: int,
        on_lost: Callable[["UpstreamConnection"], None],
        accepts_close_delimited: bool = False,
    ):
        self._answer_limit_bytes = answer_limit_bytes
        self._on_lost = on_lost
        self._accepts_close_delimited = accepts_close_delimited
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Received] | None = None
        self._is_close_delimited = False
        self.is_reusable = True
        self.idle_since_s = 0.0

    def exchange(
        self,
        payload: bytes,
        is_head: bool,
        future: "asyncio.Future[Received]",
        expects: Callable[[list[tuple[bytes, bytes]]], bool] | None = None,
    ) -> None:
        """Write one request; ``future`` gets its answer or `Lost`.

        Parameters
        ----------
        payload : bytes
            Head and body.
        is_head : bool
            Whether the answer has no body regardless of its headers.
        future : Future
        expects : callable, optional
            Returns whether an answer with these headers belongs to the request. Any
            other answer is dropped, and the connection is not reused.
        """
        self._future = future
        self._expects = expects
        self._is_head = is_head
        self._has_final_status = False
        self._head_bytes = 0
        self._transport.write(payload)

    def abort(self) -> None:
        """Close immediately and drop the answer that is still arriving."""
        self.is_reusable = False
        self._future = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Complete the request in progress with `Lost`."""
        self.is_reusable = False
        if self._future is not None:
            self._set_lost(f"connection closed: {error!r}")
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
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._future is not None:
                self._set_lost(f"malformed answer: {error!r}")
            self.abort()

    def on_message_begin(self) -> None:
        """Start an answer; a second one to a request ends the connection's reuse."""
        if self._future is None:
            self.is_reusable = False
        self._is_close_delimited = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, within the size limit."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"expected at most {MAX_HEAD_BYTES} bytes of headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Complete the answer if it has no body."""
        status = self._parser.get_status_code()
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
        self._body.append(data)

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
        if self._future is not None and not self._is_expected():
            self.is_reusable = False
            self._has_final_status = False
            return
        future, self._future = self._future, None
        if future is None or future.done():
            self.is_reusable = False
            return
        status = self._parser.get_status_code()
        future.set_result(WholeAnswer(status, self._headers, b"".join(self._body)))

    def _is_expected(self) -> bool:
        return self._expects is None or self._expects(self._headers)

    def _set_lost(self, detail: str) -> None:
        future, self._future = self._future, None
        if future.done():
            return
        reason = Reason.TRUNCATED if self._has_final_status else Reason.UPSTREAM_LOST
        future.set_result(Lost(reason, detail))
