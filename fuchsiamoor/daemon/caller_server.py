"""The server of the callers' surface: listener, connections and planned end."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon.caller_connection import CallerConnection, Handle, Surface

MAX_CONNECTIONS = 4096
BACKLOG = 2048
CHECK_EVERY_S = 0.1
GRACEFUL_STOP_S = 30.0
REFUSED_LINGER_S = 0.1


@dataclass(slots=True)
class CallerServer:
    """Serves callers; has the shape that `http_servers.run_server` takes.

    Parameters
    ----------
    surface : Surface
    address : Address
        With the port that was bound, once it listens.
    should_exit : bool
        Set to begin the planned end.
    """

    surface: Surface
    address: Address
    should_exit: bool = False
    listener: asyncio.Server | None = None
    connections: set[CallerConnection] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self._accept, *self.address, backlog=BACKLOG
        )
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = Address(host, port)

    async def serve(self) -> None:
        """Listen until told to exit, then answer every request and close."""
        await self.start()
        try:
            while not self.should_exit:
                await asyncio.sleep(CHECK_EVERY_S)
                now_s = time.monotonic()
                for connection in tuple(self.connections):
                    connection.check_time(now_s)
        finally:
            self.listener.close()
        await self._finish()

    async def _finish(self) -> None:
        end_s = time.monotonic() + GRACEFUL_STOP_S
        for connection in tuple(self.connections):
            connection.leave()
        while self.connections and time.monotonic() < end_s:
            await asyncio.sleep(CHECK_EVERY_S)
            for connection in tuple(self.connections):
                connection.check_time(time.monotonic())
        for connection in tuple(self.connections):
            connection.abort()

    def _accept(self) -> asyncio.Protocol:
        if len(self.connections) >= MAX_CONNECTIONS:
            self.surface.metrics.count("callers.connections_refused")
            return _Refused()
        return CallerConnection(self.surface, self.connections)


class _Refused(asyncio.Protocol):
    """A connection over the limit: told so and closed."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Refuse whatever would be asked."""
        transport.write(
            b"HTTP/1.1 503 Service Unavailable\r\nfuchsiamoor-verdict: not-run\r\n"
            b"fuchsiamoor-reason: over-limit\r\ncontent-length: 0\r\n"
            b"connection: close\r\n\r\n"
        )
        transport.write_eof()
        asyncio.get_running_loop().call_later(REFUSED_LINGER_S, transport.close)


def make_caller_server(
    get_configuration: Callable[[], configurations.Configuration],
    handle: Handle,
    is_ready: Callable[[], bool],
    metrics: object,
    address: Address,
    is_draining: Callable[[], bool] = lambda: False,
) -> CallerServer:
    """Return a server that does not listen yet.

    Parameters
    ----------
    get_configuration, handle, is_ready, metrics, is_draining
        As in `Surface`.
    address : Address
    """
    surface = Surface(get_configuration, handle, is_ready, metrics, is_draining)
    return CallerServer(surface, address)
