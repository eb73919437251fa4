"""One HTTP connection to the upstream: one request at a time, each written once."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from fuchsiamoor.core.verdicts import Reason

MAX_HEAD_BYTES = 64 * 1024

_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


class WholeAnswer(NamedTuple):
    """An answer of which every byte has arrived."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Lost(NamedTuple):
    """No whole answer will come; the request may have run."""

    reason: Reason
    detail: str


Received = WholeAnswer | Lost


class UpstreamConnection(asyncio.Protocol):
    """Reads answers for one connection.

    Parameters
    ----------
    answer_limit_bytes : int
        Largest body accepted.
    on_lost : callable
        Called with this connection once it is closed.
    accepts_close_delimited : bool
        Whether an answer without a length is whole once the upstream has ended the
        connection in order.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be written.
    idle_since_s : float
        Time of the event loop at which the last answer was whole.
    """

    __slots__ = (
        "_answer_limit_bytes",
        "_body",
        "_body_bytes",
        "_ends_with_connection",
        "_expects",
        "_future",
        "_has_begun",
        "_head_bytes",
        "_headers",
        "_is_head",
        "_on_lost",
        "_parser",
        "_takes_unframed",
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
        self._takes_unframed = accepts_close_delimited
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future[Received] | None = None
        self._ends_with_connection = False
        self.is_reusable = True
        self.idle_since_s = 0.0

    def exchange(
        self,
        payload: bytes,
        is_head: bool,
        future: "asyncio.Future[Received]",
        expects: Callable[[list[tuple[bytes, bytes]]], bool] | None = None,
    ) -> None:
        """Write one request; ``future`` gets its ending.

        Parameters
        ----------
        payload : bytes
            Head and body.
        is_head : bool
            Whether its answer has no body whatever its headers say.
        future : Future
        expects : callable, optional
            Whether an answer with these headers belongs to the request. Others are
            dropped, and the connection is not used again.
        """
        self._future = future
        self._expects = expects
        self._is_head = is_head
        self._has_begun = False
        self._head_bytes = 0
        self._transport.write(payload)

    def abort(self) -> None:
        """Close at once; an answer still under way is dropped."""
        self.is_reusable = False
        self._future = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection over from the event loop."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the request under way as lost."""
        self.is_reusable = False
        if self._future is not None:
            self._lose(f"connection closed: {error!r}")
        self._parser = None
        self._on_lost(self)

    def eof_received(self) -> None:
        """End an answer that has no length of its own."""
        if self._future is not None and self._ends_with_connection:
            self.is_reusable = False
            self._finish()

    def data_received(self, data: bytes) -> None:
        """Read what the upstream sent."""
        if self._future is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._future is not None:
                self._lose(f"malformed answer: {error!r}")
            self.abort()

    def on_message_begin(self) -> None:
        """Start an answer; a second one to the same request is not reusable."""
        if self._future is None:
            self.is_reusable = False
        self._ends_with_connection = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header, within the limit."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"expected at most {MAX_HEAD_BYTES} bytes of headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End the answer here if it has no body."""
        status = self._parser.get_status_code()
        self._has_begun = status >= 200
        self._ends_with_connection = (
            self._takes_unframed
            and self._has_begun
            and status not in (204, 304)
            and not any(name in _FRAMING for name, _ in self._headers)
        )
        if self._is_head and self._has_begun:
            self.is_reusable = False
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body, within the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._answer_limit_bytes:
            raise ValueError(f"expected at most {self._answer_limit_bytes} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """End the answer, unless it is an interim one."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._finish()

    def _finish(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() > 0:
            # The rest of the request would be read as the next one.
            self.is_reusable = False
        if self._future is not None and not self._is_expected():
            self.is_reusable = False
            self._has_begun = False
            return
        future, self._future = self._future, None
        if future is None or future.done():
            self.is_reusable = False
            return
        status = self._parser.get_status_code()
        future.set_result(WholeAnswer(status, self._headers, b"".join(self._body)))

    def _is_expected(self) -> bool:
        return self._expects is None or self._expects(self._headers)

    def _lose(self, detail: str) -> None:
        future, self._future = self._future, None
        if future.done():
            return
        reason = Reason.TRUNCATED if self._has_begun else Reason.UPSTREAM_LOST
        future.set_result(Lost(reason, detail))
