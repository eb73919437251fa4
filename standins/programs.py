"""Shared helpers of the stand-in programs: HTTP server, clocks, JSON lines files."""

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

MAX_BODY_BYTES = 4 << 20
REPOSITORY_ROOT = Path(__file__).parent.parent


def monotonic_ms() -> float:
    """Return CLOCK_MONOTONIC, which is comparable between processes of one machine."""
    return time.monotonic_ns() / 1e6


def unix_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time_ns() / 1e6


def append_json_line(file: Any, record: dict) -> None:
    """Append one JSON line and flush it, so that it survives a kill of this process."""
    file.write(json.dumps(record) + "\n")
    file.flush()


def read_json_lines(path: Path) -> list[dict]:
    """Read a JSON lines file; an incomplete last line is left out."""
    complete_lines, _, _ = path.read_text().rpartition("\n")
    return [json.loads(line) for line in complete_lines.splitlines()]


def drop_connection(request: web.Request) -> web.Response:
    """Close a request's connection without sending an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def start_program(
    module: str, *arguments: str, output: Any = subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a module of this repository in its own process.

    Parameters
    ----------
    module : str
    *arguments : str
    output : file or int
        Receives standard output and standard error. By default, standard output is
        a pipe to this process and standard error is inherited.
    """
    errors = None if output == subprocess.PIPE else subprocess.STDOUT
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module, *arguments),
        cwd=REPOSITORY_ROOT,
        stdout=output,
        stderr=errors,
        stdin=subprocess.DEVNULL,
    )


async def serve(
    app: web.Application,
    port: int,
    before_stop: Callable[[], Awaitable[None]] | None = None,
    **more_ports: int,
) -> None:
    """Serve on 127.0.0.1 until SIGTERM or SIGINT; print the port as a JSON line.

    Parameters
    ----------
    app : web.Application
    port : int
        0 lets the operating system choose a free port.
    before_stop : callable, optional
        Awaited after the signal, before the server stops answering requests.
    **more_ports : int
        Other ports to print in the same JSON object.
    """
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=1024)
    await site.start()
    print(json.dumps({"port": runner.addresses[0][1], **more_ports}), flush=True)
    await stopped.wait()
    if before_stop is not None:
        await before_stop()
    await runner.cleanup()
