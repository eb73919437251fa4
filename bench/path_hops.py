"""Measures the processor time per request of each hop of the request path.

Run with ``python -m bench.path_hops [HOP...]``. Some hops are measured with several
libraries. The callers, the peer and the upstream run as helper processes, so that the
processor time is that of the hop alone.
"""

import asyncio
import json
import os
import platform
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
import httpcore
import httpx
import uvicorn
import uvloop
from litestar import Litestar, Request, Response, post

from bench import path_load
from fuchsiamoor.core import messages
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import caller_app, http_limits, upstream_client
from fuchsiamoor.peers import codec, links
from fuchsiamoor.peers.codec import Envelope, Role
from fuchsiamoor.testing import asgi_server, messages_data

DURATION_S = 2.0
CODEC_ROUNDS = 20_000
PATH = "/booking/book?x=1"


class Row(NamedTuple):
    """One line of the table; figures that do not apply are 0."""

    hop: str
    variant: str
    in_flight: int
    processor_us: float
    per_second: float
    p50_us: int
    p99_us: int


def print_rows(rows: list[Row]) -> None:
    """Print the table and a description of the machine."""
    print(
        f"{os.cpu_count()} cores, Python {platform.python_version()}, "
        f"load {os.getloadavg()[0]:.1f}"
    )
    print(f"{'hop':<9}{'variant':<28}{'in flight':>9}{'us/req':>8}", end="")
    print(f"{'req/s':>9}{'p50 us':>8}{'p99 us':>8}")
    for row in rows:
        print(
            f"{row.hop:<9}{row.variant:<28}{row.in_flight:>9}"
            f"{row.processor_us:>8.1f}{row.per_second:>9.0f}"
            f"{row.p50_us:>8}{row.p99_us:>8}"
        )


def start_helper(role: str, *arguments: object) -> subprocess.Popen:
    """Start a helper process in a role; it stops when its standard input is closed."""
    return subprocess.Popen(
        [sys.executable, "-m", "bench.path_load", role, *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def read_line(helper: subprocess.Popen) -> object:
    """Return the next line of a helper's output, decoded from JSON."""
    return json.loads(helper.stdout.readline())


def stop_helper(helper: subprocess.Popen) -> float:
    """Stop a helper and return the processor time that it used, in seconds."""
    helper.stdin.close()
    used_s = read_line(helper)
    helper.wait()
    return used_s


async def measure_entry(variant: str, app: Callable, connections: int) -> Row:
    """Measure a caller endpoint whose handler answers immediately."""
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
    serving = asyncio.create_task(server._serve())
    while not server.started:
        await asyncio.sleep(0.01)
    host, port = server.servers[0].sockets[0].getsockname()[:2]
    load, used_s = await measure_callers(f"{host}:{port}", connections)
    server.should_exit = True
    await serving
    requests = load.per_second * DURATION_S
    return Row("entry", variant, connections, used_s / requests * 1e6, *load[:3])


async def measure_callers(
    addresses: str, connections: int
) -> tuple[path_load.LoadResult, float]:
    """Return the callers' results and this process's processor time in seconds."""
    start_s = time.process_time()
    helper = start_helper("callers", addresses, PATH, connections, DURATION_S)
    line = await asyncio.to_thread(helper.stdout.readline)
    helper.wait()
    return path_load.LoadResult(*json.loads(line)), time.process_time() - start_s


async def measure_calls(
    hop: str, variant: str, in_flight: int, call: Callable[[int], Awaitable]
) -> Row:
    """Measure calls by this process, ``in_flight`` of them at a time."""
    latencies = []
    end_s = time.perf_counter() + DURATION_S

    async def call_repeatedly(number: int) -> None:
        while time.perf_counter() < end_s:
            start_s = time.perf_counter()
            await call(number)
            latencies.append(time.perf_counter() - start_s)

    await call(0)
    start_s, used_s = time.perf_counter(), time.process_time()
    await asyncio.gather(*map(call_repeatedly, range(in_flight)))
    elapsed_s, used_s = time.perf_counter() - start_s, time.process_time() - used_s
    latencies.sort()
    return Row(
        hop,
        variant,
        in_flight,
        used_s / len(latencies) * 1e6,
        len(latencies) / elapsed_s,
        int(latencies[len(latencies) // 2] * 1e6),
        int(latencies[int(len(latencies) * 0.99)] * 1e6),
    )


async def bench_entry() -> list[Row]:
    """Compare the caller endpoint with one built on Litestar."""

    async def handle(request):
        return messages_data.make_answer(request.request_id, body=b"y" * 200)

    raw_asgi = caller_app.make_caller_app(
        asgi_server.make_configuration,
        handle,
        lambda: True,
        messages_data.CountingMetrics(),
    )

    @post("/{path:path}", status_code=200)
    async def route(request: Request, path: str) -> Response:
        body = await request.body()
        answer = await handle(messages_data.make_request(path=path, body=body))
        return Response(answer.body, headers={"fuchsiamoor-verdict": "ran"})

    litestar = Litestar([route], openapi_config=None, logging_config=None)
    return [
        await measure_entry(variant, app, connections)
        for connections in (1, 16, 64)
        for variant, app in (("litestar", litestar), ("raw ASGI", raw_asgi))
    ]


async def bench_codec() -> list[Row]:
    """Measure encoding and decoding a forwarded request and its answer."""
    answered = messages.Answered(messages_data.make_answer(body=b"y" * 200), "", 0)
    forward = messages.Forward(
        messages_data.make_request(body=b"x" * 200), "d", 3, 1, 1, 7
    )
    rows = []
    for variant, message in (("Forward", forward), ("Answered", answered)):
        envelope = Envelope(1, Role.CALL, message)
        encoded = codec.encode_envelope(envelope)
        for batch in (1, 32):
            frame = codec.join_frame([encoded] * batch)
            start_s = time.process_time()
            for _ in range(CODEC_ROUNDS):
                codec.encode_envelope(envelope)
            for _ in range(CODEC_ROUNDS // batch):
                codec.decode_frame(frame)
            used_us = (time.process_time() - start_s) / CODEC_ROUNDS * 1e6
            rows.append(Row("codec", variant, batch, used_us, 0, 0, 0))
    return rows


async def bench_link() -> list[Row]:
    """Measure calls over one peer link, on the calling and on the answering side."""
    rows = []
    for in_flight in (1, 16, 64, 256):
        helper = start_helper("peer")
        member = messages_data.make_member("b#1", Address(*read_line(helper)))
        own_links = links.make_links(
            "a#1", path_load.PEER_KEYS, None, messages_data.CountingMetrics()
        )
        forward = messages.Forward(
            messages_data.make_request(body=b"x" * 200), "d", 3, 1, 1, 7
        )

        async def call(_number, own_links=own_links, member=member, forward=forward):
            await own_links.call(member, forward, 5000)

        row = await measure_calls("link", "calling side", in_flight, call)
        await own_links.close(0)
        answering_s = stop_helper(helper)
        requests = row.per_second * DURATION_S
        rows.append(row)
        rows.append(
            Row(
                "link",
                "answering side",
                in_flight,
                answering_s / requests * 1e6,
                0,
                0,
                0,
            )
        )
    return rows


async def bench_upstream() -> list[Row]:
    """Compare HTTP clients for the connection to the upstream."""
    rows = []
    helper = start_helper("upstream")
    address = Address(*read_line(helper))
    request = messages_data.make_request(body=b"x" * 200)
    url = f"http://{address.host}:{address.port}{request.path}"
    headers = {
        "Fuchsiamoor-Request-Id": request.request_id,
        "Fuchsiamoor-Key": request.key,
        "Fuchsiamoor-Shard": "3",
        "Content-Type": "application/json",
    }
    client = upstream_client.make_upstream_client(address, 130, 1_000_000)

    async def call_upstream_client(_number):
        deadline_ms = time.time_ns() // 1_000_000 + 5000
        answer = await client.run(request, 3, 42, deadline_ms, deadline_ms)
        assert answer.status == 200, answer

    async with (
        httpx.AsyncClient(trust_env=False) as httpx_client,
        aiohttp.ClientSession() as aiohttp_session,
        httpcore.AsyncConnectionPool(max_connections=130) as httpcore_pool,
    ):

        async def call_httpx(_number):
            answer = await httpx_client.post(url, content=request.body, headers=headers)
            assert answer.status_code == 200

        async def call_aiohttp(_number):
            async with aiohttp_session.post(
                url, data=request.body, headers=headers
            ) as answer:
                await answer.read()

        async def call_httpcore(_number):
            await httpcore_pool.request(
                "POST", url, content=request.body, headers=headers
            )

        variants = (
            ("httpx", call_httpx),
            ("httpcore", call_httpcore),
            ("aiohttp", call_aiohttp),
            ("httptools connection", call_upstream_client),
        )
        for in_flight in (1, 20):
            for variant, call in variants:
                rows.append(await measure_calls("upstream", variant, in_flight, call))
    client.close()
    stop_helper(helper)
    return rows


BENCHES = {
    "entry": bench_entry,
    "codec": bench_codec,
    "link": bench_link,
    "upstream": bench_upstream,
}


def main() -> None:
    """Run the benches named on the command line, or all."""
    rows = []
    for name in sys.argv[1:] or BENCHES:
        rows += uvloop.run(BENCHES[name]())
    print_rows(rows)


if __name__ == "__main__":
    main()
