"""A daemon that listens on loopback beside an upstream, and a peer that sends to it."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from fuchsiamoor.agent import lifecycle, state, upstream_lifecycle
from fuchsiamoor.core import addresses, agent_settings, errors, members
from fuchsiamoor.core.verdicts import Verdict
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.testing import messages_data, traffic_data, transactional_store

ANY_PORT = addresses.Address("127.0.0.1", 0)
SERVICE = traffic_data.PLAIN_SERVICE
DEADLINE_MS = 3_000


@dataclass(slots=True)
class TimedUpstream:
    """Answers ``/read/ID?run_ms=N`` after N ms, and other targets at once.

    Parameters
    ----------
    body : bytes
        Body of each answer.
    begun, ended : set of str
        Targets whose runs began, and those whose answers were written whole.
    """

    body: bytes = b"ok"
    begun: set[str] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)

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
                    self.begun.add(target)
                    await asyncio.sleep(int(run_ms) / 1000)
                    self.ended.add(target)
                length = b"Content-Length: %d\r\n\r\n" % len(self.body)
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + self.body)
                await writer.drain()
        writer.close()


@dataclass(slots=True)
class StoppingDaemon:
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


@contextlib.asynccontextmanager
async def start(
    instance: str = "10.0.0.1", body: bytes = b"ok", grace_ms: int = 6_000
) -> AsyncIterator[StoppingDaemon]:
    """Run a daemon until the block ends; its upstream may be sent requests."""
    store = transactional_store.make_store_state(random.Random(1))
    transactional_store.put_now(
        store, traffic_data.CATALOG_KEY, traffic_data.encode_version(1)
    )
    upstream = TimedUpstream(body)
    server = await asyncio.start_server(upstream.serve, *ANY_PORT)
    settings = traffic_data.make_settings(instance, service=SERVICE)._replace(
        upstream_address=addresses.Address(*server.sockets[0].getsockname()[:2]),
        caller_address=_find_free_address(),
        control_address=ANY_PORT,
        ready_address=ANY_PORT,
        peer_address=_find_free_address(),
        bounds=agent_settings.Bounds(grace_ms=grace_ms),
    )
    agent = lifecycle.make_agent(
        settings, traffic_data.make_dialect(), transactional_store.StoreClient(store)
    )
    peer = peer_links.make_links(
        "peer#1", lifecycle.PEER_KEYS, _handle_nothing, messages_data.CountingMetrics()
    )
    run = asyncio.create_task(lifecycle.run(agent))
    heartbeat = traffic_data.make_heartbeat(service=SERVICE)
    while (
        agent.registration.confirmed is None or not agent.registration.confirmed.owner
    ):
        await asyncio.sleep(0.02)
        if agent.cache.is_loaded:
            upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    member = messages_data.make_member(f"{instance}#{agent.run}", settings.peer_address)
    try:
        yield StoppingDaemon(agent, upstream, run, member, peer)
    finally:
        await peer.close(0)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        server.close()


def _find_free_address() -> addresses.Address:
    with socket.socket() as found:
        found.bind(ANY_PORT)
        return addresses.Address(*found.getsockname())


async def _handle_nothing(sender, message):
    raise ValueError(f"{type(message).__name__}: not expected here")


async def forward(daemon: StoppingDaemon, request_id: str, run_ms: int) -> Verdict:
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


async def ask(daemon: StoppingDaemon, request_id: str, parent_id: str = "") -> int:
    """Send a caller's request on a new connection and return the status.

    With ``parent_id``, it is a call by a run of the upstream.

    Raises
    ------
    OSError
        If the daemon takes no connection.
    """
    address = daemon.agent.settings.caller_address
    reader, writer = await asyncio.open_connection(*address)
    head = (
        f"GET /read/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request: {request_id}\r\nX-Parent: {parent_id}\r\n\r\n"
    )
    writer.write(head.encode())
    status = (await reader.readline()).split()[1]
    writer.close()
    return int(status)


async def forward_until_stopped(
    daemon: StoppingDaemon, run_ms: int, every_ms: int
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
