"""How many connections and requests of callers a daemon holds at a time."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

# Pipelined requests of one connection that are handled at a time.
PIPELINED_MAX = 16
# Callers' share of the descriptors; the rest is for files, other daemons, the upstream,
# the store, and connections that are accepted before others are closed.
DESCRIPTORS_SHARE = 1 / 4
# Share of the memory for connections, with one request each.
CONNECTIONS_SHARE = 1 / 16
CONNECTION_BYTES = 16_000
# Share of the memory for requests that are handled beside these.
HANDLED_SHARE = 1 / 16
# What the tasks and messages of one request that waits for an upstream take.
HANDLED_BYTES = 10_000
# For an address that one upstream or one prober calls.
SERVICE_CONNECTIONS_MAX = 64
# Connections that wait to be accepted are accepted at once: so few of them that those
# accepted before are read before they are the oldest.
BACKLOG_SHARE = 1 / 4

Connection = TypeVar("Connection")


class ConnectionLimits(NamedTuple):
    """Limits of one server.

    Parameters
    ----------
    connections : int
        Open connections.
    handled : int
        Requests that are handled; at this number, each connection has one more at most.
    """

    connections: int
    handled: int


def make_limits(memory_bytes: int, descriptors: int) -> ConnectionLimits:
    """Return the limits of the server for callers.

    Examples
    --------
    >>> make_limits(300_000_000, 4_100)
    ConnectionLimits(connections=1025, handled=1875)
    """
    by_memory = int(memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    by_descriptors = int(descriptors * DESCRIPTORS_SHARE)
    return ConnectionLimits(
        max(1, min(by_memory, by_descriptors)),
        max(1, int(memory_bytes * HANDLED_SHARE / HANDLED_BYTES)),
    )


def make_service_limits() -> ConnectionLimits:
    """Return the limits of a server that only programs of the machine call."""
    return ConnectionLimits(SERVICE_CONNECTIONS_MAX, SERVICE_CONNECTIONS_MAX)


def compute_backlog(limits: ConnectionLimits) -> int:
    """Return how many connections may wait to be accepted."""
    return max(1, int(limits.connections * BACKLOG_SHARE))


def compute_pipelined_max(limits: ConnectionLimits, handled: int) -> int:
    """Return how many requests of one connection may be handled now.

    Examples
    --------
    >>> limits = ConnectionLimits(connections=10, handled=100)
    >>> compute_pipelined_max(limits, 99), compute_pipelined_max(limits, 100)
    (16, 1)
    """
    return PIPELINED_MAX if handled < limits.handled else 1


def choose_closed(
    connections: Iterable[Connection], is_busy: Callable[[Connection], bool]
) -> Connection | None:
    """Return the connection to close for a new one, None if all have a request.

    Parameters
    ----------
    connections : iterable of Connection
        That which got an answer the longest time ago first.
    is_busy : callable
        Whether a request of a connection is handled.

    Examples
    --------
    >>> choose_closed(["a", "b", "c"], {"a": True, "b": False, "c": False}.get)
    'b'
    """
    return next((one for one in connections if not is_busy(one)), None)
