"""What the stand-in programs share: serving, clocks and files of JSON lines."""

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

BODY_BYTES = 4 << 20
REPOSITORY_ROOT = Path(__file__).parent.parent


def monotonic_ms() -> float:
    """Return CLOCK_MONOTONIC, which all processes of a machine share."""
    return time.monotonic_ns() / 1e6


def unix_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time_ns() / 1e6


def append_line(file: Any, record: dict) -> None:
    """Append one JSON line and hand it to the operating system at once."""
    file.write(json.dumps(record) + "\n")
    file.flush()


def read_lines(path: Path) -> list[dict]:
    """Read a file of JSON lines, leaving out a last line that is incomplete."""
    whole, _, _ = path.read_text().rpartition("\n")
    return [json.loads(line) for line in whole.splitlines()]


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def start_program(
    module: str, *arguments: str, output: Any = subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a module of this checkout as a process of its own.

    Parameters
    ----------
    module : str
    *arguments : str
    output : file or int
        Takes its standard output and error; by default the output is read here.
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
        0 lets the operating system choose.
    before_stop : callable, optional
        Awaited after the signal, while requests are still answered.
    **more_ports : int
        Printed beside the port.
    """
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=1024)
    await site.start()
    print(json.dumps({"port": runner.addresses[0][1], **more_ports}), flush=True)
    await stopped.wait()
    if before_stop is not None:
        await before_stop()
    await runner.cleanup()
