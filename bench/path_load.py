"""Helper processes of the request path's benches: callers, an upstream and a peer.

`bench.path_hops` starts each as a process of its own, so that the processor time that
it measures is that of the hop alone.
"""

import asyncio
import contextlib
import json
import re
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


class LoadResult(NamedTuple):
    """Rate and latencies of the answers that the callers received.

    Parameters
    ----------
    per_second : float
    p50_us, p99_us : int
    failed : int
        Answers with a status other than 200.
    """

    per_second: float
    p50_us: int
    p99_us: int
    failed: int


def make_request(path: str, address: Address) -> bytes:
    """Return the bytes of a caller's request, with a ``%d`` in its key."""
    body = b"x" * BODY_BYTES
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address.host}\r\nAccept: */*\r\n"
        f"Content-Type: application/json\r\nFuchsiamoor-Key: chair-%d\r\n"
        f"Fuchsiamoor-Tenant: dala\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Caller(asyncio.Protocol):
    """Sends the next request as soon as the answer to the last one is complete."""

    def __init__(self, request_template: bytes, number: int, shared: dict):
        self.request_template = request_template
        self.number = number
        self.shared = shared
        self.buffer = b""

    def connection_made(self, transport):
        """Send the first request."""
        self.transport = transport
        self._send()

    def _send(self):
        self.number += 97
        self.sent_s = time.perf_counter()
        self.transport.write(self.request_template % (self.number % 10_000))

    def data_received(self, data):
        """Record the answer once it is complete and send the next request."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) < length:
            return
        self.buffer = b""
        self.shared["latencies"].append(time.perf_counter() - self.sent_s)
        if not head.startswith(b"HTTP/1.1 200"):
            self.shared["failed"] += 1
        if time.perf_counter() < self.shared["end_s"]:
            self._send()
        else:
            self.transport.close()

    def connection_lost(self, error):
        """Resolve the ``done`` future once the last caller has ended."""
        self.shared["left"] -= 1
        if not self.shared["left"]:
            self.shared["done"].set_result(None)


async def send_load(
    addresses: list[Address], path: str, callers: int, duration_s: float
) -> LoadResult:
    """Send requests on ``callers`` connections, one at a time on each."""
    loop = asyncio.get_running_loop()
    start_s = time.perf_counter()
    shared = {"latencies": [], "failed": 0, "left": callers}
    shared |= {"end_s": start_s + duration_s, "done": loop.create_future()}
    for number in range(callers):
        address = addresses[number % len(addresses)]
        request_template = make_request(path, address)
        await loop.create_connection(
            lambda number=number, request_template=request_template: Caller(
                request_template, number, shared
            ),
            *address,
        )
    await shared["done"]
    latencies = sorted(shared["latencies"])
    elapsed_s = time.perf_counter() - start_s
    return LoadResult(
        len(latencies) / elapsed_s,
        int(latencies[len(latencies) // 2] * 1e6),
        int(latencies[int(len(latencies) * 0.99)] * 1e6),
        shared["failed"],
    )


_REQUEST_ID = re.compile(rb"Fuchsiamoor-Request-Id: *(\S+)", re.IGNORECASE)


class Upstream(asyncio.Protocol):
    """Answers each request as soon as it is complete."""

    answer = (
        b"HTTP/1.1 200 OK\r\nFuchsiamoor-Request-Id: %b\r\n"
        b"Content-Length: 200\r\n\r\n" + b"y" * BODY_BYTES
    )

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.buffer = b""

    def data_received(self, data):
        """Answer once a request is complete."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if separator and (len(body) >= BODY_BYTES or head.startswith(b"GET")):
            self.buffer = b""
            found = _REQUEST_ID.search(head)
            self.transport.write(self.answer % (found[1] if found else b""))


async def _serve_upstream(arguments: list[str]) -> None:
    """Serve; announce it as well, given ``ADDRESS ANNOUNCE_ADDRESS INSTANCE``."""
    loop = asyncio.get_running_loop()
    address = parse_address(arguments[0]) if arguments else ANY_PORT
    server = await loop.create_server(Upstream, *address)
    announcing = asyncio.create_task(_announce(*arguments[1:])) if arguments else None
    _print_json(list(server.sockets[0].getsockname()[:2]))
    await _wait_for_stdin_end()
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
    _print_json(list(await peer_links.serve(links, ANY_PORT)))
    await _wait_for_stdin_end()


async def _run_callers(arguments: list[str]) -> None:
    addresses, path, callers, duration_s = arguments
    targets = [parse_address(text) for text in addresses.split(",")]
    _print_json(await send_load(targets, path, int(callers), float(duration_s)))


def _print_json(value: object) -> None:
    print(json.dumps(value), flush=True)


async def _wait_for_stdin_end() -> None:
    """Wait until standard input is closed, then print the processor time used."""
    start_s = time.process_time()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    _print_json(time.process_time() - start_s)


def main() -> None:
    """Run the helper process of the role given on the command line."""
    role, *arguments = sys.argv[1:]
    roles = {"upstream": _serve_upstream, "peer": _serve_peer, "callers": _run_callers}
    uvloop.run(roles[role](arguments))


if __name__ == "__main__":
    main()
