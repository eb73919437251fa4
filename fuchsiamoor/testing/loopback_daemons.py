"""Daemons that listen on loopback beside an upstream, and a peer that sends to one."""

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from fuchsiamoor.agent import lifecycle, state, upstream_lifecycle
from fuchsiamoor.core import addresses, agent_settings, errors, members
from fuchsiamoor.core.verdicts import Verdict
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.testing import (
    loopback_server,
    messages_data,
    traffic_data,
    transactional_store,
)
from fuchsiamoor.traffic import catalog

ANY_PORT = addresses.Address("127.0.0.1", 0)
SERVICE = traffic_data.PLAIN_SERVICE
DEADLINE_MS = 3_000
# Below the ports from which systems choose those of outgoing connections.
PORTS = (20_000, 32_000)
# A daemon that has stopped closes what is left within this time.
END_TIMEOUT_S = 1.0
_given_addresses: set[addresses.Address] = set()


@dataclass(slots=True)
class TimedUpstream:
    """Answers ``/read/ID?run_ms=N`` after N ms, and other targets at once.

    Parameters
    ----------
    body : bytes
        Body of each answer.
    begun : Counter
        Runs that began, by target.
    """

    body: bytes = b"ok"
    begun: Counter[str] = field(default_factory=Counter)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                _, _, run_ms = target.partition("?run_ms=")
                if run_ms:
                    self.begun[target] += 1
                    await asyncio.sleep(int(run_ms) / 1000)
                length = b"Content-Length: %d\r\n\r\n" % len(self.body)
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + self.body)
                await writer.drain()


@dataclass(slots=True)
class LoopbackDaemon:
    """A running daemon, its upstream, and a peer with a link to it.

    Parameters
    ----------
    run : Task
        Ends when the daemon has stopped.
    member : Member
        The daemon as its peer knows it.
    """

    agent: state.Agent
    upstream: TimedUpstream
    run: asyncio.Task
    member: members.Member
    peer: peer_links.Links


def make_store() -> transactional_store.StoreState:
    """Return a store with a catalog."""
    store = transactional_store.make_store_state(random.Random(1))
    transactional_store.put_now(
        store, traffic_data.CATALOG_KEY, traffic_data.encode_version(1)
    )
    return store


def _read_catalog(value: bytes) -> catalog.Catalog:
    """Return a catalog in which no request may run twice."""
    route = traffic_data.make_route(is_idempotent=False)
    return traffic_data.make_catalog(int(value), route)


@contextlib.asynccontextmanager
async def serve_upstream(
    upstream: TimedUpstream,
) -> AsyncIterator[addresses.Address]:
    """Serve an upstream until the block ends."""
    async with loopback_server.serve(upstream.serve) as address:
        yield address


def make_settings(
    instance: str, upstream_address: addresses.Address, grace_ms: int = 6_000
) -> agent_settings.AgentSettings:
    """Return the settings of a daemon, with free ports of its own."""
    return traffic_data.make_settings(instance, service=SERVICE)._replace(
        upstream_address=upstream_address,
        caller_address=_find_free_address(),
        control_address=ANY_PORT,
        ready_address=ANY_PORT,
        peer_address=_find_free_address(),
        bounds=agent_settings.Bounds(grace_ms=grace_ms),
    )


async def start_daemon(
    settings: agent_settings.AgentSettings,
    store: transactional_store.StoreState,
    read_catalog: Callable[[bytes], catalog.Catalog] = _read_catalog,
) -> tuple[state.Agent, asyncio.Task]:
    """Start a daemon and wait until its upstream is registered.

    Returns
    -------
    Agent, Task
        The task ends when the daemon has stopped.

    Raises
    ------
    OSError
        If it cannot listen at its addresses.
    """
    dialect = traffic_data.make_dialect()._replace(read_catalog=read_catalog)
    client = transactional_store.StoreClient(store)
    agent = lifecycle.make_agent(settings, dialect, client)
    run = asyncio.create_task(lifecycle.run(agent))
    heartbeat = traffic_data.make_heartbeat(service=SERVICE)
    while (
        agent.registration.confirmed is None or not agent.registration.confirmed.owner
    ):
        await asyncio.sleep(0.02)
        if run.done():
            run.result()
        if agent.cache.is_loaded:
            upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    return agent, run


async def end_daemon(run: asyncio.Task) -> None:
    """End a daemon that may be running, without a stop."""
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)


@contextlib.asynccontextmanager
async def start(
    body: bytes = b"ok", grace_ms: int = 6_000
) -> AsyncIterator[LoopbackDaemon]:
    """Run a daemon until the block ends; its upstream may be sent requests."""
    upstream = TimedUpstream(body)
    async with serve_upstream(upstream) as upstream_address:
        settings = make_settings("10.0.0.1", upstream_address, grace_ms)
        agent, run = await start_daemon(settings, make_store())
        peer = peer_links.make_links(
            "peer#1",
            lifecycle.PEER_KEYS,
            _handle_nothing,
            messages_data.CountingMetrics(),
        )
        member = messages_data.make_member(
            f"{settings.instance}#{agent.run}", settings.peer_address
        )
        try:
            yield LoopbackDaemon(agent, upstream, run, member, peer)
        finally:
            await peer.close(0)
            if agent.stopped.is_set():
                await asyncio.wait({run}, timeout=END_TIMEOUT_S)
            await end_daemon(run)


def _find_free_address() -> addresses.Address:
    """Return an address that stays free until it is used, even after a restart."""
    while True:
        address = addresses.Address("127.0.0.1", random.randrange(*PORTS))
        if address in _given_addresses:
            continue
        _given_addresses.add(address)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind(address)
            return address


async def _handle_nothing(sender, message):
    raise ValueError(f"{type(message).__name__}: not expected here")


async def forward(daemon: LoopbackDaemon, request_id: str, run_ms: int) -> Verdict:
    """Forward a request from the peer and return its verdict.

    Raises
    ------
    PeerError
        If the daemon gave no answer. Only `PeerUnreachableError` means that the
        request has not run.
    """
    carried = traffic_data.make_carried_request(
        request_id,
        target=f"/read/{request_id}?run_ms={run_ms}",
        remaining_ms=DEADLINE_MS,
        is_idempotent=False,
        sent_ms=daemon.agent.now_ms(),
    )
    answer = await daemon.peer.call(daemon.member, carried, DEADLINE_MS)
    return answer.verdict


async def ask(daemon: LoopbackDaemon, request_id: str, parent_id: str = "") -> int:
    """Send a caller's request on a new connection and return the status.

    With ``parent_id``, it is a call by a run of the upstream.

    Raises
    ------
    OSError
        If the daemon takes no connection.
    """
    return await ask_agent(daemon.agent, request_id, parent_id)


async def ask_agent(
    agent: state.Agent, request_id: str, parent_id: str = "", secret: str = ""
) -> int:
    """Send a request to a daemon as `ask` does, with ``secret`` as the caller's key.

    Raises
    ------
    OSError
        If the daemon takes no connection.
    """
    address = agent.settings.caller_address
    head = (
        f"GET /read/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request: {request_id}\r\nX-Parent: {parent_id}\r\n"
        + (f"X-Secret: {secret}\r\n" if secret else "")
        + "\r\n"
    )
    async with loopback_server.connect(address) as (reader, writer):
        writer.write(head.encode())
        return int((await reader.readline()).split()[1])


async def forward_until_stopped(
    daemon: LoopbackDaemon, run_ms: int, every_ms: int
) -> dict[str, Verdict | errors.PeerError]:
    """Forward requests at regular times until the daemon has stopped.

    Returns
    -------
    dict of str to (Verdict or PeerError)
        By target.
    """
    sent: dict[str, asyncio.Task] = {}
    while not daemon.run.done():
        request_id = f"r{len(sent)}"
        target = f"/read/{request_id}?run_ms={run_ms}"
        sent[target] = asyncio.create_task(forward(daemon, request_id, run_ms))
        await asyncio.sleep(every_ms / 1000)
    found = await asyncio.gather(*sent.values(), return_exceptions=True)
    return dict(zip(sent, found, strict=True))
