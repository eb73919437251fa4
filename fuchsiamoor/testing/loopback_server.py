"""Servers on 127.0.0.1 for tests, which leave no connection open when they end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from fuchsiamoor.core.addresses import Address

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def serve(
    handle: Handler, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[Address]:
    """Serve connections until the block ends, and then end all that are left.

    Parameters
    ----------
    handle : callable
        ``async handle(reader, writer)``; the connection is closed after it.
    host : str, optional
    port : int, optional
        By default any free one.
    """
    tasks: set[asyncio.Task] = set()
    writers: set[asyncio.StreamWriter] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.current_task())
        writers.add(writer)
        try:
            await handle(reader, writer)
        except asyncio.CancelledError:
            # Python 3.11 logs an error for each handler that ends as cancelled.
            pass
        finally:
            tasks.discard(asyncio.current_task())
            writer.close()

    server = await asyncio.start_server(run, host, port)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
        for task in tuple(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await end(*writers)


async def end(*writers: asyncio.StreamWriter) -> None:
    """End connections at once, whatever is still to be sent on them."""
    for writer in writers:
        writer.transport.abort()
    # A transport closes its socket in the next turn of the loop.
    await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def connect(
    address: Address, **options
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection that ends with the block.

    Parameters
    ----------
    address : Address
    **options
        As of `asyncio.open_connection`.
    """
    reader, writer = await asyncio.open_connection(*address, **options)
    try:
        yield reader, writer
    finally:
        await end(writer)
