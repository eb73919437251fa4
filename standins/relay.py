"""A TCP proxy that injects network faults: cut, frozen or delayed connections.

Used in a process by `start_relay` and `set_mode`. As a program it accepts ``POST
/control {"mode": "pass" | "cut" | "freeze", "delay_ms": N}`` on a separate port.
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
    """A relay's state; ``port`` stays the same when the relay listens again."""

    target: addresses.Address
    port: int = 0
    delay_ms: int = 0
    forwarding: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    connections: set[asyncio.Task] = field(default_factory=set)


async def _read_chunks(
    reader: asyncio.StreamReader, queue: asyncio.Queue, relay: Relay
):
    while True:
        data = await reader.read(CHUNK_BYTES)
        await queue.put((programs.monotonic_ms() + relay.delay_ms, data))
        if not data:
            return


async def _write_chunks(
    queue: asyncio.Queue, writer: asyncio.StreamWriter, relay: Relay
):
    while True:
        due_ms, data = await queue.get()
        await asyncio.sleep(max(0, due_ms - programs.monotonic_ms()) / 1000)
        await relay.forwarding.wait()
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


async def _forward_connection(
    relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Forward one connection both ways until both ends close or one fails."""
    writers = [writer]
    try:
        target_reader, target_writer = await asyncio.open_connection(*relay.target)
        writers.append(target_writer)
        to_target: asyncio.Queue = asyncio.Queue(16)
        to_client: asyncio.Queue = asyncio.Queue(16)
        async with asyncio.TaskGroup() as group:
            group.create_task(_read_chunks(reader, to_target, relay))
            group.create_task(_write_chunks(to_target, target_writer, relay))
            group.create_task(_read_chunks(target_reader, to_client, relay))
            group.create_task(_write_chunks(to_client, writer, relay))
        for ended_writer in writers:
            ended_writer.close()
    except* (OSError, asyncio.CancelledError):
        for broken_writer in writers:
            _reset_connection(broken_writer)


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset instead of an orderly close."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        connected_socket = writer.get_extra_info("socket")
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _start_listening(relay: Relay) -> None:
    async def accept(reader, writer):
        connection = asyncio.create_task(_forward_connection(relay, reader, writer))
        relay.connections.add(connection)
        connection.add_done_callback(relay.connections.discard)

    relay.server = await asyncio.start_server(accept, "127.0.0.1", relay.port)
    relay.port = relay.server.sockets[0].getsockname()[1]


async def start_relay(target: addresses.Address, port: int = 0) -> Relay:
    """Listen on 127.0.0.1 and forward connections to a target."""
    relay = Relay(target, port)
    relay.forwarding.set()
    await _start_listening(relay)
    return relay


async def stop_relay(relay: Relay) -> None:
    """Refuse new connections and reset the open ones."""
    if relay.server is not None:
        relay.server.close()
        relay.server = None
    connections = list(relay.connections)
    for connection in connections:
        connection.cancel()
    await asyncio.gather(*connections, return_exceptions=True)


async def set_mode(relay: Relay, mode: str, delay_ms: int = 0) -> None:
    """Set the mode and the delay of each direction.

    ``pass`` forwards bytes, ``cut`` resets connections and refuses new ones, ``freeze``
    keeps connections open and holds back all bytes.
    """
    relay.delay_ms = delay_ms
    match mode:
        case "cut":
            await stop_relay(relay)
        case "freeze":
            relay.forwarding.clear()
        case "pass":
            relay.forwarding.set()
    if mode != "cut" and relay.server is None:
        await _start_listening(relay)


async def run_relay(options: argparse.Namespace) -> None:
    """Run the relay and its control endpoint until SIGTERM or SIGINT."""
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
    """Run the relay that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True, help="HOST:PORT")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    asyncio.run(run_relay(parser.parse_args()))


if __name__ == "__main__":
    main()
