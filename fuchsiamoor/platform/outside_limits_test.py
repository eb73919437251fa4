"""Clients outside the limits, against a daemon process with a small machine.

Each test brings one such crowd, and checks what does not depend on the machine's speed:
the process lives, its memory and descriptors stay within those of its machine, ordinary
requests are answered while the crowd is there and afterwards, and no client keeps a
connection for which it does nothing.
"""

import asyncio
import contextlib
import multiprocessing
import socket
from typing import NamedTuple

import pytest

from fuchsiamoor.platform import process_data

LIMITS = process_data.Limits(
    memory_bytes=100_000_000,
    descriptors=256,
    header_bytes=16_384,
    body_bytes=8_000_000,
    header_timeout_ms=1_000,
    idle_timeout_ms=1_500,
)
# More than the machine has descriptors.
CROWD = 300
# A client that sends without end gives up after this time, and others wait as long.
CROWD_S = 12
# When an ordinary request is sent beside the crowd, and how often again.
BESIDE_S = 0.5
RETRY_S = 0.3
# Until the ordinary request that is sent once, after the crowd.
CALM_S = 1.0
# Descriptors of an idle daemon vary by a few connections to the store and the upstream.
SPARE_DESCRIPTORS = 16
# The clients stay longer than the daemon is given to close their connections.
SPARE_S = 2
# So that little of what is sent to a client stays in its machine's buffers.
CLIENT_BUFFER_BYTES = 4_096

GET = process_data.make_head("/read/1", "crowd")
GET_LONG = process_data.make_head("/size/200000", "crowd")
CLOSE_LONG = process_data.make_head("/size/4000000", "crowd", "Connection: close")
CHUNKED = process_data.make_head(
    "/read/1", "crowd", "Transfer-Encoding: chunked", method="POST"
)
ANNOUNCED = process_data.make_head(
    "/read/1", "crowd", "Content-Length: 1000000", method="POST"
)


class Crowd(NamedTuple):
    """What each client sends, and whether it reads.

    Parameters
    ----------
    start : bytes
        Sent once.
    unit : bytes
        Sent again and again afterwards.
    pause_s : float
        Between two units.
    reads : bool
    """

    start: bytes
    unit: bytes = b""
    pause_s: float = 0.0
    reads: bool = False


# Clients for which the daemon closes the connection in the end.
ENDED = {
    "nothing": Crowd(b""),
    "heads over the limit": Crowd(GET[:-2] + b"X: " + b"y" * 65_536 + b"\r\n\r\n"),
    "header without end": Crowd(GET[:-2] + b"X: ", b"y" * 1_000),
    "headers without end": Crowd(GET[:-2], b"ab: cd\r\n" * 100),
    "head byte by byte": Crowd(GET[:-2] + b"X: ", b"y", 0.05),
    "empty lines": Crowd(b"", b"\r\n" * 500, 0.02),
    "empty lines byte by byte": Crowd(b"", b"\r\n", 0.05),
    "empty lines behind a request": Crowd(GET, b"\r\n" * 500, 0.02, True),
    "head behind a request": Crowd(GET + GET[:20], reads=True),
    "body that never comes": Crowd(ANNOUNCED),
    "long answers unread": Crowd(GET_LONG * 16),
    "last answer unread": Crowd(CLOSE_LONG),
    "refusal behind an unread answer": Crowd(GET_LONG * 4 + b"nonsense\r\n\r\n"),
}
# Clients that go on as long as they like.
ENDLESS = {
    "pipelined requests": Crowd(b"", GET * 500),
    "pipelined malformed requests": Crowd(b"", b"GET / HTTP/1.1\r\n\r\n" * 5_000),
    "small chunks": Crowd(CHUNKED, b"6\r\nzzzzzz\r\n" * 1_000),
}


async def run_client(callers, crowd, ends_by_s):
    """Play one client until its connection ends or the time is over."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    reads = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout_at(ends_by_s):
            await loop.sock_connect(client, tuple(callers))
            if crowd.reads:
                reads = asyncio.create_task(read_all(client))
            await loop.sock_sendall(client, crowd.start)
            while crowd.unit:
                await loop.sock_sendall(client, crowd.unit)
                await asyncio.sleep(crowd.pause_s)
            await asyncio.sleep(ends_by_s - loop.time())
    if reads is not None:
        reads.cancel()
        await asyncio.gather(reads, return_exceptions=True)
    client.close()


async def read_all(client):
    with contextlib.suppress(OSError):
        while await asyncio.get_running_loop().sock_recv(client, 65_536):
            pass


async def run_clients(callers, crowd, has_begun):
    ends_by_s = asyncio.get_running_loop().time() + CROWD_S + SPARE_S
    clients = [
        asyncio.create_task(run_client(callers, crowd, ends_by_s)) for _ in range(CROWD)
    ]
    await asyncio.sleep(BESIDE_S)
    has_begun.set()
    await asyncio.gather(*clients)


def run_crowd(callers, crowd, has_begun):
    """Play the crowd, in a process of its own."""
    asyncio.run(run_clients(callers, crowd, has_begun))


@contextlib.asynccontextmanager
async def start_crowd(callers, crowd):
    """Run a process with the crowd until the block ends."""
    context = multiprocessing.get_context("spawn")
    has_begun = context.Event()
    process = context.Process(target=run_crowd, args=(callers, crowd, has_begun))
    process.start()
    try:
        while not has_begun.is_set():
            await asyncio.sleep(0.01)
        yield process
    finally:
        process.kill()
        process.join()


async def ask_beside(callers):
    """Ask as an ordinary client does: again if nothing was run or read, in its time."""
    ends_by_s = asyncio.get_running_loop().time() + process_data.DEADLINE_MS / 1000
    number, status = 0, 0
    while status in (0, 503) and asyncio.get_running_loop().time() < ends_by_s:
        number += 1
        status = await process_data.ask(callers, f"beside{number}")
        await asyncio.sleep(RETRY_S)
    return status


async def play(crowd, is_carried=False):
    """Return what was seen of the daemons beside one crowd."""
    loop = asyncio.get_running_loop()
    async with process_data.start(LIMITS, is_carried) as daemons:
        entry = daemons[0]
        idle = process_data.count_descriptors(entry.process) + SPARE_DESCRIPTORS
        most, are_ended = 0, False
        async with start_crowd(entry.callers, crowd) as clients:
            ends_by_s = loop.time() + CROWD_S
            beside = loop.create_task(ask_beside(entry.callers))
            while loop.time() < ends_by_s and not are_ended:
                if entry.process.returncode is None:
                    now = process_data.count_descriptors(entry.process)
                    most, are_ended = max(most, now), beside.done() and now <= idle
                await asyncio.sleep(0.02)
            beside_status = await beside
            while clients.is_alive() and not are_ended:
                await asyncio.sleep(0.1)
        await asyncio.sleep(CALM_S)
        after_status = await process_data.ask(entry.callers, "after")
        alive = [daemon.process.returncode is None for daemon in daemons]
        peaks = [
            process_data.read_peak_bytes(daemon.process)
            for daemon, is_alive in zip(daemons, alive, strict=True)
            if is_alive
        ]
    print(
        f"peak bytes {peaks}, descriptors {most}, ended {are_ended}, "
        f"statuses {beside_status} {after_status}"
    )
    return alive, peaks, most, are_ended, (beside_status, after_status)


def check(crowd, is_ended, is_carried=False):
    alive, peaks, most, are_ended, statuses = asyncio.run(
        asyncio.wait_for(play(crowd, is_carried), 120)
    )
    assert all(alive)
    assert max(peaks) <= LIMITS.memory_bytes
    assert most <= LIMITS.descriptors
    assert statuses == (200, 200)
    assert are_ended or not is_ended


@pytest.mark.parametrize("name", ENDED)
def test_clients_that_do_nothing_for_a_connection_lose_it(name):
    check(ENDED[name], True)


@pytest.mark.parametrize("name", ENDLESS)
def test_clients_that_send_without_end_take_a_bounded_share(name):
    check(ENDLESS[name], False)


# Answers are held by the daemon that callers connect to and by the one that sends them.
def test_unread_answers_of_another_daemon_keep_a_bounded_number_of_bytes():
    check(ENDED["long answers unread"], True, is_carried=True)
