"""Limits on the size and duration of HTTP request heads.

`BoundedHttpProtocol` is passed to uvicorn as ``http``, since uvicorn limits neither the
size of a request head nor the time it takes to arrive. It also calls back when a caller
disconnects, which saves a waiting task per request.
"""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http import httptools_impl

MAX_HEAD_BYTES = 48 * 1024
HEAD_TIMEOUT_S = 5.0
# Requests of one connection that wait behind the one in progress. One read may bring
# thousands; those beyond are not read, and the connection closes after the others.
WAITING_MAX = 16
# At a shutdown, a connection without a request stays open for this time, a few round
# trips between regions, because its first request may still be on its way.
FIRST_REQUEST_GRACE_S = 0.3

ON_DISCONNECT_EXTENSION = "fuchsiamoor.on_disconnect"


class BoundedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol that closes connections whose request head is too large or slow."""

    _head_timer: asyncio.TimerHandle | None = None
    _head_bytes = 0
    _is_in_head = True
    _on_disconnect: Callable[[], object] | None = None
    _is_stopping = False
    _is_discarding = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timeout of the first request head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the app whose request is in progress."""
        self._stop_head_timer()
        super().connection_lost(exc)
        if self._on_disconnect is not None:
            self._on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse received data; refuse a head that is too large."""
        if self._is_discarding:
            return
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._head_timer is None:
                self._start_head_timer()
        super().data_received(data)
        if self._is_in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse("Request head too large.")

    def on_headers_complete(self) -> None:
        """Stop the head timeout and start the request, unless too many wait."""
        self._is_in_head = False
        self._stop_head_timer()
        if len(self.pipeline) >= WAITING_MAX and not self._is_discarding:
            self._is_discarding = True
            newest, _ = self.pipeline[0]
            newest.keep_alive = False
        if self._is_discarding:
            return
        self.scope["extensions"] = {ON_DISCONNECT_EXTENSION: self._set_on_disconnect}
        super().on_headers_complete()
        if self._is_stopping:
            self.cycle.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header of a request that is read."""
        if not self._is_discarding:
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body of a request that is read."""
        if not self._is_discarding:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Reset the limits for the next request head."""
        if self._is_discarding:
            return
        self._is_in_head = True
        self._head_bytes = 0
        super().on_message_complete()

    def shutdown(self) -> None:
        """Close the connection; one without a request yet gets a grace period.

        A request whose head has begun is answered, unless its head is too slow.
        """
        self._is_stopping = True
        has_answered_all = self.cycle is None or self.cycle.response_complete
        if has_answered_all and self._has_partial_head():
            return
        if self.cycle is None:
            self.loop.call_later(FIRST_REQUEST_GRACE_S, self._close_unused)
            return
        super().shutdown()

    def _close_unused(self) -> None:
        if self.cycle is None and not self._has_partial_head():
            self.transport.close()

    def _has_partial_head(self) -> bool:
        return self._is_in_head and self._head_bytes > 0

    def _set_on_disconnect(self, on_disconnect: Callable[[], object] | None) -> None:
        """Set the callback for a disconnected caller; None removes it."""
        self._on_disconnect = on_disconnect
        if on_disconnect is not None and self.transport.is_closing():
            on_disconnect()

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_S, self._refuse, "Request head too slow."
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse(self, text: str) -> None:
        self._stop_head_timer()
        if not self.transport.is_closing():
            self.send_400_response(text)
