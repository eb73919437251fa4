"""HTTP servers run by uvicorn and stopped by the daemon instead of by signals."""

import asyncio
import contextlib

import uvicorn

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import http_limits

GRACEFUL_STOP_S = 30
KEEP_ALIVE_S = 75


class _ServerWithoutSignals(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def make_server(app, address: Address, connections: int | None = None):
    """Return a server for an ASGI app.

    Parameters
    ----------
    app : ASGI application
    address : Address
    connections : int, optional
        Largest number of simultaneous connections and requests.
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
    return _ServerWithoutSignals(config)


async def run_server(server, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress."""
    serving = asyncio.ensure_future(server.serve())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    stopping.cancel()
    await serving
