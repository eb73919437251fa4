"""Processor time of one request on the way through the daemons of `agent/`.

Daemons of one service run in one process on loopback sockets, each beside an upstream
that answers at once. A caller sends requests to the first daemon; most of them are
forwarded to another one. The time of caller and upstreams is in the figures too.

    python -m bench.agent_path [--daemons 6] [--requests 4000] [--profile 40]
"""

import asyncio
import cProfile
import itertools
import pstats
import resource
import sys
import time
from typing import Annotated

import typer
import uvloop
from loguru import logger

from fuchsiamoor.agent import (
    caller_requests,
    connection_limits,
    http_server,
    lifecycle,
    registrations,
    state,
    upstream_lifecycle,
)
from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.testing import caller_requests_data, traffic_data

HOST = "127.0.0.1"
LOOPBACK = Address(HOST, 0)
CONCURRENCY = 8
SLOTS = 64
MEMORY_BYTES = 200_000_000
DESCRIPTORS = 4_100
ANSWER_BODY = b"x" * 4_000
WARM_UP_REQUESTS = 400


async def _serve_upstream(request: http_server.HttpRequest) -> http_server.HttpAnswer:
    request_id = dict(request.headers).get(b"x-request", b"")
    return http_server.HttpAnswer(200, ((b"X-Request", request_id),), ANSWER_BODY)


async def _start_daemon(number: int) -> tuple[state.Agent, Address]:
    """Start a daemon and its upstream; return it with its callers' address."""

    def get_limits():
        return traffic_data.make_catalog().limits

    accounts = byte_account.make_accounts(MEMORY_BYTES)
    limits = connection_limits.make_limits(MEMORY_BYTES, DESCRIPTORS)
    upstream = http_server.HttpServer(_serve_upstream, get_limits, accounts, limits)
    settings = traffic_data.make_settings(
        f"10.0.0.{number + 1}", service=traffic_data.PLAIN_SERVICE
    )._replace(upstream_address=await upstream.listen(LOOPBACK))
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
    agent.cache.catalog = traffic_data.make_catalog()
    agent.cache.is_loaded = True
    heartbeat = traffic_data.make_heartbeat(
        service=traffic_data.PLAIN_SERVICE, slots=SLOTS
    )
    upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    callers = http_server.HttpServer(
        lambda request: caller_requests.handle(agent, request),
        get_limits,
        accounts,
        limits,
    )
    return agent, await callers.listen(LOOPBACK)


async def _start_daemons(count: int) -> list[tuple[state.Agent, Address]]:
    started = [await _start_daemon(number) for number in range(count)]
    for agent, _ in started:
        peer_address = await peer_links.serve(agent.links, LOOPBACK)
        registration = caller_requests_data.make_registration(
            agent.settings.instance, traffic_data.PLAIN_SERVICE
        )._replace(
            run=agent.run, peer_host=peer_address.host, peer_port=peer_address.port
        )
        for other, _ in started:
            directory: registrations.Directory = other.cache.directory
            directory.registered[registration.instance] = registration
            directory.revision += 1
    return started


async def _send_requests(address: Address, numbers: "itertools.count[int]", last: int):
    """Send requests one after another on one connection until a number is reached."""
    reader, writer = await asyncio.open_connection(*address)
    while (number := next(numbers)) < last:
        writer.write(
            b"GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request: r%d\r\n"
            b"X-Wait: 5000\r\nAccept: */*\r\n\r\n" % (number, number)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"request {number}: {head!r:.100}")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
    writer.close()


async def _send_all(address: Address, count: int) -> None:
    numbers = itertools.count()
    await asyncio.gather(
        *(_send_requests(address, numbers, count) for _ in range(CONCURRENCY))
    )


async def _measure(daemons: int, requests: int, profile_lines: int) -> None:
    started = await _start_daemons(daemons)
    _, address = started[0]
    await _send_all(address, WARM_UP_REQUESTS)
    profile = cProfile.Profile()
    if profile_lines:
        profile.enable()
    began_s, began = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
    await _send_all(address, requests)
    elapsed_s = time.perf_counter() - began_s
    ended = resource.getrusage(resource.RUSAGE_SELF)
    profile.disable()
    user_us = (ended.ru_utime - began.ru_utime) / requests * 1e6
    system_us = (ended.ru_stime - began.ru_stime) / requests * 1e6
    print("daemons | requests/s | us user | us system | us a request")
    print("---|---|---|---|---")
    print(
        f"{daemons} | {requests / elapsed_s:.0f} | {user_us:.0f} | {system_us:.0f} | "
        f"{user_us + system_us:.0f}"
    )
    if profile_lines:
        pstats.Stats(profile).sort_stats("tottime").print_stats(profile_lines)
        pstats.Stats(profile).sort_stats("cumulative").print_stats(profile_lines)
    for agent, _ in started:
        await agent.links.close(100)


def main(
    daemons: Annotated[int, typer.Option(help="Daemons of the service.")] = 6,
    requests: Annotated[int, typer.Option(help="Requests that are measured.")] = 4_000,
    profile: Annotated[int, typer.Option(help="Lines of a profile; 0: none.")] = 0,
) -> None:
    """Measure the processor time of a request."""
    logger.remove()
    logger.add(lambda message: None, level="INFO", format="{message}")
    uvloop.run(_measure(daemons, requests, profile))
    sys.stdout.flush()


if __name__ == "__main__":
    typer.run(main)
