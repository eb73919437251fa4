"""Pool of keep-alive connections to an upstream, limited in number and idle time."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon.upstream_connection import (
    Lost,
    MatchAnswer,
    Received,
    UpstreamConnection,
)

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 3.0


@dataclass(slots=True)
class Pool:
    """The connections to one upstream.

    Parameters
    ----------
    address : Address
    connections : int
        Largest number of open connections.
    answer_limit_bytes : int
    accepts_close_delimited : bool
        Whether an answer without a length may end when the connection closes.
    account : ByteAccount
        Counts the bytes of unfinished answers.
    open_count : int
        Connections that are open or being opened.
    idle : deque of UpstreamConnection
        Connections without a request, most recently used last.
    waiters : deque of Future
        Requests that wait for a connection, oldest first.
    """

    address: Address
    connections: int
    answer_limit_bytes: int
    accepts_close_delimited: bool = False
    account: byte_account.ByteAccount = field(
        default_factory=byte_account.make_unlimited
    )
    open_count: int = 0
    idle: deque[UpstreamConnection] = field(default_factory=deque)
    waiters: deque[asyncio.Future] = field(default_factory=deque)
    open_connections: set[UpstreamConnection] = field(default_factory=set)


async def acquire(
    pool: Pool, deadline_s: float, request_id: str = ""
) -> UpstreamConnection | NotRun:
    """Return an idle or new connection, waiting for one if necessary.

    Parameters
    ----------
    pool : Pool
    deadline_s : float
        Event loop time.
    request_id : str, optional
        The connection is one on which this request has not been refused before.
    """
    while True:
        connection = _take_idle(pool, request_id)
        if connection is not None:
            return connection
        if pool.open_count < pool.connections:
            return await _connect(pool, deadline_s)
        if pool.idle:
            # The request was refused on every idle connection; one makes room.
            replaced = pool.idle.popleft()
            _remove(pool, replaced)
            replaced.abort()
            continue
        if len(pool.waiters) >= pool.connections:
            return NotRun(Reason.OVER_LIMIT, "too many requests wait for a connection")
        if not await _wait_for_connection(pool, deadline_s):
            return NotRun(Reason.DEADLINE_PASSED, "no connection was free in time")


async def exchange(
    pool: Pool,
    payload: bytes,
    is_head: bool,
    timeout_ms: int,
    match_answer: MatchAnswer | None = None,
    connection: UpstreamConnection | None = None,
    request_id: str = "",
) -> Received | NotRun:
    """Write a request once and wait for its answer or loss.

    Parameters
    ----------
    pool : Pool
    payload : bytes
        Head and body.
    is_head : bool
        Whether the answer has no body regardless of its headers.
    timeout_ms : int
        Time limit, including the time to connect.
    match_answer : callable, optional
        Returns which request an answer with these headers belongs to.
    connection : UpstreamConnection, optional
        A connection that was acquired before; by default one from the pool.
    request_id : str, optional
        As in `acquire`.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_ms / 1000
    if timeout_ms <= 0:
        if connection is not None:
            release(pool, connection)
        return NotRun(Reason.DEADLINE_PASSED, "before it was written")
    if connection is None:
        connection = await acquire(pool, deadline_s, request_id)
    if isinstance(connection, NotRun):
        return connection
    if connection.is_closed:
        connection.abort()
        return NotRun(Reason.SHED, "the connection ended before it was written")
    future = loop.create_future()
    timer = loop.call_at(deadline_s, _expire, future)
    try:
        connection.exchange(payload, is_head, future, match_answer, request_id)
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
    """Write a request to a new connection, even beyond the pool's limit."""
    deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000
    connection = await _connect(pool, deadline_s)
    if isinstance(connection, NotRun):
        return connection
    remaining_ms = int((deadline_s - asyncio.get_running_loop().time()) * 1000)
    return await exchange(pool, payload, False, remaining_ms, connection=connection)


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(Lost(Reason.DEADLINE_PASSED, "no whole answer in time"))


def release(pool: Pool, connection: UpstreamConnection) -> None:
    """Return a connection to the pool after its request has ended."""
    if not connection.is_reusable:
        connection.abort()
        return
    connection.idle_since_s = asyncio.get_running_loop().time()
    pool.idle.append(connection)
    _wake_next_waiter(pool)


def close(pool: Pool) -> None:
    """Close all connections immediately."""
    for connection in tuple(pool.open_connections):
        connection.abort()


def close_after_answers(pool: Pool) -> None:
    """Close idle connections now, and each other one after its request has ended."""
    for connection in tuple(pool.open_connections):
        if connection in pool.idle:
            connection.abort()
        else:
            connection.is_reusable = False


def _take_idle(pool: Pool, request_id: str) -> UpstreamConnection | None:
    """Return the idle connection used last on which the request was not refused."""
    used_since_s = asyncio.get_running_loop().time() - MAX_IDLE_S
    passed_over, found = [], None
    while pool.idle and found is None:
        connection = pool.idle.pop()
        if not connection.is_reusable or connection.idle_since_s < used_since_s:
            connection.abort()
        elif request_id in connection.refused_ids:
            passed_over.append(connection)
        else:
            found = connection
    pool.idle.extend(reversed(passed_over))
    return found


async def _connect(pool: Pool, deadline_s: float) -> UpstreamConnection | NotRun:
    loop = asyncio.get_running_loop()
    pool.open_count += 1
    connection = None
    try:
        async with asyncio.timeout_at(min(deadline_s, loop.time() + CONNECT_TIMEOUT_S)):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    pool.answer_limit_bytes,
                    lambda lost: _remove(pool, lost),
                    pool.accepts_close_delimited,
                    pool.account,
                ),
                *pool.address,
            )
    except (OSError, TimeoutError) as error:
        return NotRun(Reason.CONNECT_FAILED, f"upstream not connected: {error!r}")
    finally:
        if connection is None:
            pool.open_count -= 1
            _wake_next_waiter(pool)
    pool.open_connections.add(connection)
    return connection


def _remove(pool: Pool, connection: UpstreamConnection) -> None:
    if connection not in pool.open_connections:
        return
    pool.open_connections.discard(connection)
    pool.open_count -= 1
    if connection in pool.idle:
        pool.idle.remove(connection)
    _wake_next_waiter(pool)


def _wake_next_waiter(pool: Pool) -> None:
    while pool.waiters:
        waiter = pool.waiters.popleft()
        if not waiter.done():
            waiter.set_result(None)
            return


async def _wait_for_connection(pool: Pool, deadline_s: float) -> bool:
    """Wait until a connection may be free; False if the deadline passes first."""
    waiter = asyncio.get_running_loop().create_future()
    pool.waiters.append(waiter)
    try:
        async with asyncio.timeout_at(deadline_s):
            await waiter
    except TimeoutError:
        _pass_on(pool, waiter)
        return False
    except asyncio.CancelledError:
        _pass_on(pool, waiter)
        raise
    finally:
        if not waiter.done():
            waiter.cancel()
    return True


def _pass_on(pool: Pool, waiter: asyncio.Future) -> None:
    """Wake the next waiter in place of one that was woken and will not use it."""
    if waiter.done() and not waiter.cancelled():
        _wake_next_waiter(pool)
