"""Connections to the upstream: kept, reused while fresh, never more than allowed."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon.upstream_connection import (
    Lost,
    Received,
    UpstreamConnection,
)

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 3.0


@dataclass(slots=True)
class Pool:
    """All connections to one upstream.

    Parameters
    ----------
    address : Address
    connections : int
        Largest number open at once.
    answer_limit_bytes : int
    accepts_close_delimited : bool
        Whether an answer without a length may end with its connection.
    open_count : int
        Open, or being opened.
    idle : deque of UpstreamConnection
        Without a request, the one used last at the end.
    waiters : deque of Future
        Requests that wait for a connection, oldest first.
    """

    address: Address
    connections: int
    answer_limit_bytes: int
    accepts_close_delimited: bool = False
    open_count: int = 0
    idle: deque[UpstreamConnection] = field(default_factory=deque)
    waiters: deque[asyncio.Future] = field(default_factory=deque)
    open_connections: set[UpstreamConnection] = field(default_factory=set)


async def acquire(pool: Pool, deadline_s: float) -> UpstreamConnection | NotRun:
    """Return a connection without a request on it.

    Parameters
    ----------
    pool : Pool
    deadline_s : float
        Time of the event loop.
    """
    while True:
        connection = _take_idle(pool)
        if connection is not None:
            return connection
        if pool.open_count < pool.connections:
            return await _connect(pool, deadline_s)
        if len(pool.waiters) >= pool.connections:
            return NotRun(Reason.OVER_LIMIT, "too many requests wait for a connection")
        if not await _wait_for_change(pool, deadline_s):
            return NotRun(Reason.DEADLINE_PASSED, "no connection was free in time")


async def exchange(
    pool: Pool,
    payload: bytes,
    is_head: bool,
    timeout_ms: int,
    expects: Callable[[list[tuple[bytes, bytes]]], bool] | None = None,
    connection: UpstreamConnection | None = None,
) -> Received | NotRun:
    """Write a request once and wait for its ending.

    Parameters
    ----------
    pool : Pool
    payload : bytes
        Head and body.
    is_head : bool
        Whether the answer has no body whatever its headers say.
    timeout_ms : int
        Longest time, connecting included.
    expects : callable, optional
        Whether an answer with these headers belongs to the request.
    connection : UpstreamConnection, optional
        Acquired before; otherwise one is taken from the pool.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_ms / 1000
    if timeout_ms <= 0:
        if connection is not None:
            release(pool, connection)
        return NotRun(Reason.DEADLINE_PASSED, "before it was written")
    if connection is None:
        connection = await acquire(pool, deadline_s)
    if isinstance(connection, NotRun):
        return connection
    future = loop.create_future()
    timer = loop.call_at(deadline_s, _expire, future)
    try:
        connection.exchange(payload, is_head, future, expects)
        received = await future
    except BaseException:
        connection.abort()
        raise
    finally:
        timer.cancel()
    if isinstance(received, Lost):
        connection.abort()
    else:
        release(pool, connection)
    return received


async def exchange_on_new_connection(
    pool: Pool, payload: bytes, timeout_ms: int
) -> Received | NotRun:
    """Write a request to a new connection, beyond the pool's limit if need be."""
    deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000
    connection = await _connect(pool, deadline_s)
    if isinstance(connection, NotRun):
        return connection
    left_ms = int((deadline_s - asyncio.get_running_loop().time()) * 1000)
    return await exchange(pool, payload, False, left_ms, connection=connection)


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(Lost(Reason.DEADLINE_PASSED, "no whole answer in time"))


def release(pool: Pool, connection: UpstreamConnection) -> None:
    """Take a connection back whose request has ended."""
    if not connection.is_reusable:
        connection.abort()
        return
    connection.idle_since_s = asyncio.get_running_loop().time()
    pool.idle.append(connection)
    _wake_one(pool)


def close(pool: Pool) -> None:
    """Close all connections at once."""
    for connection in tuple(pool.open_connections):
        connection.abort()


def _take_idle(pool: Pool) -> UpstreamConnection | None:
    oldest_s = asyncio.get_running_loop().time() - MAX_IDLE_S
    while pool.idle:
        connection = pool.idle.pop()
        if connection.is_reusable and connection.idle_since_s >= oldest_s:
            return connection
        connection.abort()
    return None


async def _connect(pool: Pool, deadline_s: float) -> UpstreamConnection | NotRun:
    loop = asyncio.get_running_loop()
    pool.open_count += 1
    connection = None
    try:
        async with asyncio.timeout_at(min(deadline_s, loop.time() + CONNECT_TIMEOUT_S)):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    pool.answer_limit_bytes,
                    lambda lost: _forget(pool, lost),
                    pool.accepts_close_delimited,
                ),
                *pool.address,
            )
    except (OSError, TimeoutError) as error:
        return NotRun(Reason.CONNECT_FAILED, f"upstream not connected: {error!r}")
    finally:
        if connection is None:
            pool.open_count -= 1
            _wake_one(pool)
    pool.open_connections.add(connection)
    return connection


def _forget(pool: Pool, connection: UpstreamConnection) -> None:
    if connection not in pool.open_connections:
        return
    pool.open_connections.discard(connection)
    pool.open_count -= 1
    if connection in pool.idle:
        pool.idle.remove(connection)
    _wake_one(pool)


def _wake_one(pool: Pool) -> None:
    while pool.waiters:
        waiter = pool.waiters.popleft()
        if not waiter.done():
            waiter.set_result(None)
            return


async def _wait_for_change(pool: Pool, deadline_s: float) -> bool:
    """Wait until a connection may be free; False if the time is over first."""
    waiter = asyncio.get_running_loop().create_future()
    pool.waiters.append(waiter)
    try:
        async with asyncio.timeout_at(deadline_s):
            await waiter
    except TimeoutError:
        return False
    except asyncio.CancelledError:
        if waiter.done() and not waiter.cancelled():
            _wake_one(pool)
        raise
    finally:
        if not waiter.done():
            waiter.cancel()
    return True
