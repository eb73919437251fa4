"""The far ends of the request path's benches: callers, an upstream, a peer.

Each runs as a process of its own, started by `bench.path_hops`, so that the processor
time measured there is that of the hop alone.
"""

import asyncio
import contextlib
import json
import sys
import time
from typing import NamedTuple

import httpx
import uvloop

from fuchsiamoor.core import messages
from fuchsiamoor.core.addresses import Address, parse_address
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.testing import messages_data

BODY_BYTES = 200
SLOTS = 400
PEER_KEYS = ("bench-key-of-peers",)
ANY_PORT = Address("127.0.0.1", 0)


class Load(NamedTuple):
    """What the callers saw.

    Parameters
    ----------
    per_second : float
    p50_us, p99_us : int
    failed : int
        Answers of another status than 200.
    """

    per_second: float
    p50_us: int
    p99_us: int
    failed: int


def make_request(path: str, address: Address) -> bytes:
    """Return a caller's request."""
    body = b"x" * BODY_BYTES
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address.host}\r\nAccept: */*\r\n"
        f"Content-Type: application/json\r\nFuchsiamoor-Key: chair-%d\r\n"
        f"Fuchsiamoor-Tenant: dala\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Caller(asyncio.Protocol):
    """Sends a request again as soon as its answer is whole."""

    def __init__(self, template: bytes, number: int, state: dict):
        self.template = template
        self.number = number
        self.state = state
        self.buffer = b""

    def connection_made(self, transport):
        """Send the first request."""
        self.transport = transport
        self._send()

    def _send(self):
        self.number += 97
        self.sent_s = time.perf_counter()
        self.transport.write(self.template % (self.number % 10_000))

    def data_received(self, data):
        """Count an answer once it is whole."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = b""
        self.state["latencies"].append(time.perf_counter() - self.sent_s)
        if not head.startswith(b"HTTP/1.1 200"):
            self.state["failed"] += 1
        if time.perf_counter() < self.state["end_s"]:
            self._send()
        else:
            self.transport.close()

    def connection_lost(self, error):
        """Count this caller as done."""
        self.state["left"] -= 1
        if not self.state["left"]:
            self.state["done"].set_result(None)


async def call_steadily(
    addresses: list[Address], path: str, callers: int, duration_s: float
) -> Load:
    """Send from ``callers`` connections, each one request at a time."""
    loop = asyncio.get_running_loop()
    start_s = time.perf_counter()
    state = {"latencies": [], "failed": 0, "left": callers}
    state |= {"end_s": start_s + duration_s, "done": loop.create_future()}
    for i in range(callers):
        address = addresses[i % len(addresses)]
        template = make_request(path, address)
        await loop.create_connection(
            lambda i=i, template=template: Caller(template, i, state), *address
        )
    await state["done"]
    latencies = sorted(state["latencies"])
    took_s = time.perf_counter() - start_s
    return Load(
        len(latencies) / took_s,
        int(latencies[len(latencies) // 2] * 1e6),
        int(latencies[int(len(latencies) * 0.99)] * 1e6),
        state["failed"],
    )


class Upstream(asyncio.Protocol):
    """Answers each whole request at once."""

    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"y" * BODY_BYTES

    def connection_made(self, transport):
        """Keep the connection."""
        self.transport = transport
        self.buffer = b""

    def data_received(self, data):
        """Answer once a request is whole."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if separator and (len(body) >= BODY_BYTES or head.startswith(b"GET")):
            self.buffer = b""
            self.transport.write(self.answer)


async def _serve_upstream(arguments: list[str]) -> None:
    """Serve; with arguments ``ADDRESS ANNOUNCE_ADDRESS INSTANCE`` announce as well."""
    loop = asyncio.get_running_loop()
    address = parse_address(arguments[0]) if arguments else ANY_PORT
    server = await loop.create_server(Upstream, *address)
    announcing = asyncio.create_task(_announce(*arguments[1:])) if arguments else None
    _say(list(server.sockets[0].getsockname()[:2]))
    await _wait_for_end()
    if announcing is not None:
        announcing.cancel()


async def _announce(announce_address: str, instance: str) -> None:
    body = {
        "service": "booking",
        "instance": instance,
        "incarnation": instance,
        "slots": SLOTS,
        "connections": 2 * SLOTS,
        "checks_grants": True,
    }
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            with contextlib.suppress(httpx.HTTPError):
                await client.post(f"http://{announce_address}/v1/announce", json=body)
            await asyncio.sleep(1)


async def _serve_peer(_arguments: list[str]) -> None:
    answered = messages.Answered(
        messages_data.make_answer(body=b"y" * BODY_BYTES, headers=((b"server", b"x"),)),
        "",
        0,
    )

    async def handle(_sender, message):
        answer = answered.answer._replace(request_id=message.request.request_id)
        return answered._replace(answer=answer)

    metrics = messages_data.CountingMetrics()
    links = peer_links.make_links("b#1", PEER_KEYS, handle, metrics)
    _say(list(await peer_links.serve(links, ANY_PORT)))
    await _wait_for_end()


async def _call(arguments: list[str]) -> None:
    addresses, path, callers, duration_s = arguments
    targets = [parse_address(text) for text in addresses.split(",")]
    _say(await call_steadily(targets, path, int(callers), float(duration_s)))


def _say(found: object) -> None:
    print(json.dumps(found), flush=True)


async def _wait_for_end() -> None:
    """Wait for the end of the standard input, then tell the processor time used."""
    start_s = time.process_time()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    _say(time.process_time() - start_s)


def main() -> None:
    """Run one far end."""
    role, *arguments = sys.argv[1:]
    roles = {"upstream": _serve_upstream, "peer": _serve_peer, "callers": _call}
    uvloop.run(roles[role](arguments))


if __name__ == "__main__":
    main()
