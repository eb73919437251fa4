"""Limits on what a connection to a surface may hold before its request is whole.

`BoundedHttpProtocol` goes into the ``http`` setting of uvicorn, which itself bounds
neither the size of a request's head nor the time that it takes to arrive.
"""

import asyncio

from uvicorn.protocols.http import httptools_impl

MAX_HEAD_BYTES = 48 * 1024
HEAD_TIMEOUT_S = 5.0


class BoundedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """Closes connections whose request head is too large or too slow."""

    _head_timer: asyncio.TimerHandle | None = None
    _head_bytes = 0
    _is_in_head = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read data; refuse a head that is too large."""
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._head_timer is None:
                self._start_head_timer()
        super().data_received(data)
        if self._is_in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse("Request head too large.")

    def on_headers_complete(self) -> None:
        """End the head and start the request."""
        self._is_in_head = False
        self._stop_head_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Make ready for the next head."""
        self._is_in_head = True
        self._head_bytes = 0
        super().on_message_complete()

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
