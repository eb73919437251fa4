"""Serves an ASGI app under uvicorn on a local port, and sends raw bytes to it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import uvicorn

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import http_limits


@contextlib.asynccontextmanager
async def serve_app(app: Callable) -> AsyncIterator[Address]:
    """Serve an ASGI app on a free port of 127.0.0.1 until the block ends."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=0,
        http=http_limits.BoundedHttpProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
    )
    server = uvicorn.Server(config)
    server.capture_signals = contextlib.nullcontext
    server_task = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.001)
    try:
        yield Address(*server.servers[0].sockets[0].getsockname()[:2])
    finally:
        server.should_exit = server.force_exit = True
        await server_task


async def send_raw(address: Address, payload: bytes) -> bytes:
    """Send bytes and return all that is received until the server closes."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(payload)
    try:
        return await reader.read()
    finally:
        writer.close()


def make_configuration(**changes: object) -> configurations.Configuration:
    """Return a configuration with one service, with its fields replaced."""
    service = configurations.Service(
        name="booking",
        key_required=True,
        shard_count=64,
        idempotent_methods=frozenset({"GET", "HEAD"}),
        longest_run_ms=1000,
        default_deadline_ms=5000,
        retry_ratio=0.1,
        cold_start=configurations.ColdStart(1, 1000),
        limits=configurations.Limits(1000, 10, 10),
        objective=configurations.Objective(0.99, 100, 0.99, 30),
    )
    return configurations.make_empty_configuration()._replace(
        revision=1,
        services={"booking": service._replace(**changes)},
        tenants={"dala": frozenset({"almaty"}), "default": frozenset({"almaty"})},
    )
