"""Peak memory of a daemon whose upstream sends answers without end.

The daemon is a process of its own on loopback sockets. Its upstream answers some
requests without end and the others at once. Memory and answers are those of one run.

    python -m bench.endless_answers [--shape body] [--answers 100] [--seconds 15]
"""

import asyncio
import multiprocessing
import resource
import time
from typing import Annotated

import typer
import uvloop
from loguru import logger

from fuchsiamoor.agent import caller_requests, lifecycle, upstream_lifecycle
from fuchsiamoor.agent.http_server import HttpRequest
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.testing import caller_requests_data, traffic_data

HOST = "127.0.0.1"
MEMORY_BYTES = 300_000_000
CONNECTIONS = 126
# The callers' deadline; a request that may have run is not repeated after it.
WAIT_MS = 2_500
SOUND_EVERY_S = 0.02
# An endless body grows by 8 MB a second.
PIECE_EVERY_S = 0.016
OK = b"HTTP/1.1 200 OK\r\n"
SHAPES = {
    "body": (OK + b"Content-Length: 99000000\r\n\r\n", b"z" * 131_072),
    "header": (OK + b"x: ", b"y" * 4_096),
    "headers": (OK, b"ab: cd\r\n" * 512),
    "small chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"6\r\nzzzzzz\r\n" * 4_096,
    ),
}


async def _answer(reader, writer, shape: str) -> None:
    start, unit = SHAPES[shape]
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"/read/endless" not in head.split(b"\r\n")[0]:
                writer.write(OK + b"Content-Length: 2\r\n\r\nok")
                continue
            writer.write(start)
            while not writer.is_closing():
                writer.write(unit)
                await writer.drain()
                await asyncio.sleep(PIECE_EVERY_S)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def _serve(ports, shape: str) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _answer(reader, writer, shape), HOST, 0
    )
    ports.send(server.sockets[0].getsockname()[1])
    await server.serve_forever()


def _run_upstream(ports, shape: str) -> None:
    uvloop.run(_serve(ports, shape))


async def _drive(port: int, answers: int, seconds: float) -> dict:
    settings = traffic_data.make_settings(service=traffic_data.PLAIN_SERVICE)
    settings = settings._replace(
        upstream_address=Address(HOST, port), memory_bytes=MEMORY_BYTES
    )
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
    agent.cache.catalog = traffic_data.make_catalog()
    agent.cache.is_loaded = True
    agent.cache.directory.registered[settings.instance] = (
        caller_requests_data.make_registration(
            settings.instance, traffic_data.PLAIN_SERVICE
        )._replace(run=agent.run)
    )
    heartbeat = traffic_data.make_heartbeat(
        service=traffic_data.PLAIN_SERVICE, slots=CONNECTIONS
    )
    upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    agent.upstream.pool.connections = CONNECTIONS

    def send(number: int, target: str) -> asyncio.Future:
        headers = (
            (b"host", b"shop.example"),
            (b"x-request", b"%s%d" % (target.encode(), number)),
            (b"x-wait", b"%d" % WAIT_MS),
        )
        request = HttpRequest("GET", target, headers, b"")
        return asyncio.ensure_future(get_status(request))

    async def get_status(request: HttpRequest) -> int:
        return (await caller_requests.handle(agent, request)).status

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began_s = time.monotonic()
    endless, sound, number = [], [], 0
    while (elapsed_s := time.monotonic() - began_s) < seconds:
        while len(endless) < answers * elapsed_s / seconds:
            endless.append(send(number, "/read/endless"))
        sound.append(send(number, "/read/1"))
        number += 1
        await asyncio.sleep(SOUND_EVERY_S)
    served = await asyncio.gather(*sound)
    await asyncio.gather(*endless)
    return {
        "before_mb": before_kb // 1_000,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1_000,
        "endless": len(endless),
        "sound": len(served),
        "served": served.count(200),
    }


def _run_daemon(results, port: int, answers: int, seconds: float) -> None:
    logger.remove()
    results.send(uvloop.run(_drive(port, answers, seconds)))


def measure(shape: str, answers: int, seconds: float) -> dict:
    """Return the memory of a daemon during a run, and how many answers it gave."""
    context = multiprocessing.get_context("spawn")
    ports, upstream_end = context.Pipe()
    upstream = context.Process(target=_run_upstream, args=(upstream_end, shape))
    upstream.start()
    results, daemon_end = context.Pipe()
    daemon = context.Process(
        target=_run_daemon, args=(daemon_end, ports.recv(), answers, seconds)
    )
    daemon.start()
    try:
        return results.recv()
    finally:
        daemon.join()
        upstream.terminate()
        upstream.join()


def main(
    shape: Annotated[str, typer.Option(help="What is sent without end.")] = "",
    answers: Annotated[int, typer.Option(help="Endless answers.")] = 100,
    seconds: Annotated[float, typer.Option(help="Time over which they begin.")] = 15.0,
) -> None:
    """Measure the peak memory for one shape, or for all."""
    print("shape | MB before | MB at the peak | endless | sound | of them served")
    print("---|---|---|---|---|---")
    for name in [shape] if shape else SHAPES:
        found = measure(name, answers, seconds)
        print(" | ".join((name, *map(str, found.values()))), flush=True)


if __name__ == "__main__":
    typer.run(main)
