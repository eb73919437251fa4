"""Parking: requests that wait for their key's owner, bounded in number and bytes."""

from collections.abc import Hashable
from dataclasses import dataclass, field

PARKED_BYTES_MAX = 16 * 1024 * 1024


@dataclass(slots=True)
class Parking:
    """Waiting requests by domain, each under a ticket of the caller's choice."""

    tickets: dict[str, dict[Hashable, int]] = field(default_factory=dict)
    count: int = 0
    size_bytes: int = 0


def make_parking() -> Parking:
    """Return a parking that holds nothing."""
    return Parking()


def park(
    parking: Parking, domain: str, ticket: Hashable, size_bytes: int, limit: int
) -> bool:
    """Take one more request in, unless that passes a limit.

    Parameters
    ----------
    parking : Parking
    domain : str
    ticket : Hashable
        Handed back by `wake`.
    size_bytes : int
        Of the request's body.
    limit : int
        Most requests that may wait.

    Examples
    --------
    >>> parking = make_parking()
    >>> [park(parking, "stock@a", ticket, 10, limit=2) for ticket in "abc"]
    [True, True, False]
    >>> wake(parking, "stock@a")
    ['a', 'b']
    >>> parking.count, parking.size_bytes
    (0, 0)
    """
    if parking.count >= limit:
        return False
    if parking.size_bytes + size_bytes > PARKED_BYTES_MAX:
        return False
    parking.tickets.setdefault(domain, {})[ticket] = size_bytes
    parking.count += 1
    parking.size_bytes += size_bytes
    return True


def leave(parking: Parking, domain: str, ticket: Hashable) -> None:
    """Let one request go; no effect if it has left already."""
    waiting = parking.tickets.get(domain, {})
    size_bytes = waiting.pop(ticket, None)
    if size_bytes is None:
        return
    parking.count -= 1
    parking.size_bytes -= size_bytes
    if not waiting:
        del parking.tickets[domain]


def wake(parking: Parking, domain: str) -> list[Hashable]:
    """Let all requests of a domain go, in the order in which they came."""
    waiting = parking.tickets.pop(domain, {})
    parking.count -= len(waiting)
    parking.size_bytes -= sum(waiting.values())
    return list(waiting)


def wake_all(parking: Parking) -> list[Hashable]:
    """Let all requests go."""
    return [
        ticket for domain in list(parking.tickets) for ticket in wake(parking, domain)
    ]
