"""A TCP relay for one link that can be cut, frozen or delayed.

In a process: `start_relay`, then `set_mode`. As a program it takes ``POST /control
{"mode": "pass" | "cut" | "freeze", "delay_ms": N}`` on a port of its own.
"""

import argparse
import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from aiohttp import web

from fuchsiamoor.core import addresses
from standins import programs

CHUNK_BYTES = 1 << 16
MODES = ("pass", "cut", "freeze")


@dataclass(slots=True)
class Relay:
    """A relay's state; ``port`` stays the same over cuts."""

    target: addresses.Address
    port: int = 0
    delay_ms: int = 0
    passing: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    links: set[asyncio.Task] = field(default_factory=set)


async def _read(reader: asyncio.StreamReader, queue: asyncio.Queue, relay: Relay):
    while True:
        data = await reader.read(CHUNK_BYTES)
        await queue.put((programs.monotonic_ms() + relay.delay_ms, data))
        if not data:
            return


async def _write(queue: asyncio.Queue, writer: asyncio.StreamWriter, relay: Relay):
    while True:
        due_ms, data = await queue.get()
        await asyncio.sleep(max(0, due_ms - programs.monotonic_ms()) / 1000)
        await relay.passing.wait()
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


async def _carry(
    relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Carry one connection both ways until both have ended or one has broken."""
    writers = [writer]
    try:
        target_reader, target_writer = await asyncio.open_connection(*relay.target)
        writers.append(target_writer)
        there: asyncio.Queue = asyncio.Queue(16)
        back: asyncio.Queue = asyncio.Queue(16)
        async with asyncio.TaskGroup() as group:
            group.create_task(_read(reader, there, relay))
            group.create_task(_write(there, target_writer, relay))
            group.create_task(_read(target_reader, back, relay))
            group.create_task(_write(back, writer, relay))
        for ended in writers:
            ended.close()
    except* (OSError, asyncio.CancelledError):
        for broken in writers:
            _reset(broken)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection so that the other end sees a reset."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        opened = writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _listen(relay: Relay) -> None:
    async def accept(reader, writer):
        link = asyncio.create_task(_carry(relay, reader, writer))
        relay.links.add(link)
        link.add_done_callback(relay.links.discard)

    relay.server = await asyncio.start_server(accept, "127.0.0.1", relay.port)
    relay.port = relay.server.sockets[0].getsockname()[1]


async def start_relay(target: addresses.Address, port: int = 0) -> Relay:
    """Listen on 127.0.0.1 and pass connections on to a target."""
    relay = Relay(target, port)
    relay.passing.set()
    await _listen(relay)
    return relay


async def stop_relay(relay: Relay) -> None:
    """Refuse new connections and break the open ones."""
    if relay.server is not None:
        relay.server.close()
        relay.server = None
    links = list(relay.links)
    for link in links:
        link.cancel()
    await asyncio.gather(*links, return_exceptions=True)


async def set_mode(relay: Relay, mode: str, delay_ms: int = 0) -> None:
    """Pass bytes on after a delay, cut (drop and refuse) or freeze (hold all bytes)."""
    relay.delay_ms = delay_ms
    match mode:
        case "cut":
            await stop_relay(relay)
        case "freeze":
            relay.passing.clear()
        case "pass":
            relay.passing.set()
    if mode != "cut" and relay.server is None:
        await _listen(relay)


async def run_relay(options: argparse.Namespace) -> None:
    """Relay until a signal."""
    relay = await start_relay(addresses.parse_address(options.target), options.port)

    async def control(request: web.Request) -> web.Response:
        body = await request.json()
        if body["mode"] not in MODES:
            raise web.HTTPBadRequest(text=f"mode {body['mode']!r}, expected {MODES}")
        await set_mode(relay, body["mode"], body.get("delay_ms", 0))
        return web.json_response({"port": relay.port})

    app = web.Application()
    app.router.add_post("/control", control)
    await programs.serve(app, options.control_port, relay_port=relay.port)
    await stop_relay(relay)


def main() -> None:
    """Run the relay until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True, help="HOST:PORT")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    asyncio.run(run_relay(parser.parse_args()))


if __name__ == "__main__":
    main()
