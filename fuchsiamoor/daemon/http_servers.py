"""HTTP servers under uvicorn, stopped by the daemon and not by signals of their own."""

import asyncio
import contextlib

import uvicorn

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import http_limits

GRACEFUL_STOP_S = 30
KEEP_ALIVE_S = 75


class _QuietServer(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def make_server(app, address: Address, connections: int | None = None):
    """Return a server of an ASGI app.

    Parameters
    ----------
    app : ASGI application
    address : Address
    connections : int, optional
        Largest number of connections and requests at once.
    """
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        http=http_limits.BoundedHttpProtocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        limit_concurrency=connections,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=GRACEFUL_STOP_S,
        server_header=False,
        proxy_headers=False,
        backlog=2048,
    )
    return _QuietServer(config)


async def run_server(server, stop: asyncio.Event) -> None:
    """Serve until told to stop, then finish what runs."""
    serving = asyncio.ensure_future(server.serve())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    stopping.cancel()
    await serving
