"""Connections that count the bytes of frames that have not been read yet."""

from websockets.asyncio import client as websockets_client
from websockets.asyncio import server as websockets_server

from fuchsiamoor.core import byte_account

# Smaller frames arrive whole in one piece, and are read in the same turn of the loop.
COUNTED_FROM_BYTES = 4 * 1024


class _CountingMixin:
    """Counts received bytes from one frame that was read to the next."""

    def __init__(self, account: byte_account.ByteAccount, *arguments, **options):
        super().__init__(*arguments, **options)
        self._account = account
        self._unread_bytes = 0

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._unread_bytes += len(data)
        if self._unread_bytes >= COUNTED_FROM_BYTES:
            byte_account.set_held(self._account, self, self._unread_bytes)

    def end_frame(self) -> None:
        """Count the frame that was read last as no longer held."""
        was_counted = self._unread_bytes >= COUNTED_FROM_BYTES
        self._unread_bytes = len(self.protocol.reader.buffer)
        if self._unread_bytes >= COUNTED_FROM_BYTES:
            byte_account.set_held(self._account, self, self._unread_bytes)
        elif was_counted:
            byte_account.release_all(self._account, self)

    def connection_lost(self, error: Exception | None) -> None:
        byte_account.release_all(self._account, self)
        super().connection_lost(error)

    def cut(self, detail: str) -> None:
        """Abort the link, as too many bytes are held."""
        self.transport.abort()


class CountedServerConnection(_CountingMixin, websockets_server.ServerConnection):
    """A connection dialled by a peer."""


class CountedClientConnection(_CountingMixin, websockets_client.ClientConnection):
    """A connection to a peer."""
