"""Limits on what a connection to a surface may hold before its request is whole.

`BoundedHttpProtocol` goes into the ``http`` setting of uvicorn, which itself bounds
neither the size of a request's head nor the time that it takes to arrive. It also tells
an app of a caller that goes away, which spares a waiting task for each request.
"""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http import httptools_impl

MAX_HEAD_BYTES = 48 * 1024
HEAD_TIMEOUT_S = 5.0
# A connection that was just opened is kept for this time at a stop, as its request may
# be on its way: some round trips between regions.
FIRST_REQUEST_S = 0.3

ON_GONE_EXTENSION = "fuchsiamoor.on_gone"


class BoundedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """Closes connections whose request head is too large or too slow."""

    _head_timer: asyncio.TimerHandle | None = None
    _head_bytes = 0
    _is_in_head = True
    _on_gone: Callable[[], object] | None = None
    _is_stopping = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the app whose request is under way."""
        self._stop_head_timer()
        super().connection_lost(exc)
        if self._on_gone is not None:
            self._on_gone()

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
        self.scope["extensions"] = {ON_GONE_EXTENSION: self._set_on_gone}
        super().on_headers_complete()
        if self._is_stopping:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Make ready for the next head."""
        self._is_in_head = True
        self._head_bytes = 0
        super().on_message_complete()

    def shutdown(self) -> None:
        """Close the connection, a new one after its first request."""
        if self.cycle is not None:
            super().shutdown()
            return
        self._is_stopping = True
        self.loop.call_later(FIRST_REQUEST_S, self._close_unused)

    def _close_unused(self) -> None:
        if self.cycle is None:
            self.transport.close()

    def _set_on_gone(self, on_gone: Callable[[], object] | None) -> None:
        """Call ``on_gone`` if the caller goes away; None for no longer."""
        self._on_gone = on_gone
        if on_gone is not None and self.transport.is_closing():
            on_gone()

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
