"""Parked requests: requests that wait for their key to have an owner.

Bounded in number and in bytes.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

PARKED_BYTES_MAX = 16 * 1024 * 1024


@dataclass(slots=True)
class ParkedRequests:
    """Waiting requests by domain, each identified by a ticket that its user chooses.

    Parameters
    ----------
    tickets : dict of str to dict
        Body sizes by ticket, in order of arrival, for each domain.
    count : int
        Number of requests in all domains.
    size_bytes : int
        Bytes of their bodies.
    """

    tickets: dict[str, dict[Hashable, int]] = field(default_factory=dict)
    count: int = 0
    size_bytes: int = 0


def make_parked_requests() -> ParkedRequests:
    """Return an empty collection."""
    return ParkedRequests()


def park(
    parked: ParkedRequests, domain: str, ticket: Hashable, size_bytes: int, limit: int
) -> bool:
    """Add a request; False if that would exceed a limit.

    Parameters
    ----------
    parked : ParkedRequests
    domain : str
    ticket : Hashable
        Returned by `pop_domain`.
    size_bytes : int
        Size of the request's body.
    limit : int
        Largest number of requests that may wait.

    Examples
    --------
    >>> parked = make_parked_requests()
    >>> [park(parked, "stock@a", ticket, 10, limit=2) for ticket in "abc"]
    [True, True, False]
    >>> pop_domain(parked, "stock@a")
    ['a', 'b']
    >>> parked.count, parked.size_bytes
    (0, 0)
    """
    if parked.count >= limit:
        return False
    if parked.size_bytes + size_bytes > PARKED_BYTES_MAX:
        return False
    parked.tickets.setdefault(domain, {})[ticket] = size_bytes
    parked.count += 1
    parked.size_bytes += size_bytes
    return True


def remove(parked: ParkedRequests, domain: str, ticket: Hashable) -> None:
    """Remove one request; no effect if it is not parked any more."""
    waiting = parked.tickets.get(domain, {})
    size_bytes = waiting.pop(ticket, None)
    if size_bytes is None:
        return
    parked.count -= 1
    parked.size_bytes -= size_bytes
    if not waiting:
        del parked.tickets[domain]


def pop_domain(parked: ParkedRequests, domain: str) -> list[Hashable]:
    """Remove all requests of a domain and return their tickets in order of arrival."""
    waiting = parked.tickets.pop(domain, {})
    parked.count -= len(waiting)
    parked.size_bytes -= sum(waiting.values())
    return list(waiting)


def pop_all(parked: ParkedRequests) -> list[Hashable]:
    """Remove all requests and return their tickets."""
    return [
        ticket
        for domain in list(parked.tickets)
        for ticket in pop_domain(parked, domain)
    ]
