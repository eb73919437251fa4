"""Capacity: what the local upstream is given, and who waits for a slot."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from fuchsiamoor.core.requests import Request
from fuchsiamoor.routing import admission, limits, ramp
from fuchsiamoor.routing.limits import AdaptiveLimit
from fuchsiamoor.routing.ramp import Ramp


@dataclass(slots=True)
class Capacity:
    """State of one upstream, as its daemon counts it.

    Parameters
    ----------
    ramp : Ramp
    limit : AdaptiveLimit
    in_flight : int
        Slots taken, those of runs with an unknown ending included.
    waiting : OrderedDict
        Deadlines by ticket, first come first.
    """

    ramp: Ramp
    limit: AdaptiveLimit
    in_flight: int = 0
    waiting: OrderedDict[Hashable, int] = field(default_factory=OrderedDict)


def make_capacity(started: Ramp, connections: int) -> Capacity:
    """Return the capacity of an upstream at the start of its ramp."""
    return Capacity(started, limits.make_limit(started.slots, connections))


def compute_requests(capacity: Capacity, now_ms: int) -> int:
    """Return how many requests the upstream may run at a time."""
    ramped = ramp.compute_requests(capacity.ramp, now_ms)
    return max(1, min(ramped, int(capacity.limit.requests)))


def ask(
    capacity: Capacity,
    ticket: Hashable,
    request: Request,
    queued_requests: int,
    now_ms: int,
) -> admission.Admission:
    """Ask for a slot; `Admitted` takes it, `Queued` puts the ticket into the queue."""
    limit = admission.Limit(
        compute_requests(capacity, now_ms), queued_requests, capacity.limit.latency_ms
    )
    decided = admission.admit(
        limit, capacity.in_flight, len(capacity.waiting), now_ms, request
    )
    match decided:
        case admission.Admitted():
            capacity.in_flight += 1
        case admission.Queued():
            capacity.waiting[ticket] = request.deadline_ms
        case admission.Refused():
            pass
    return decided


def release(capacity: Capacity) -> None:
    """Give one slot back."""
    capacity.in_flight -= 1


def leave_queue(capacity: Capacity, ticket: Hashable) -> bool:
    """Take a ticket out of the queue; False if it was not there."""
    return capacity.waiting.pop(ticket, None) is not None


def grant(capacity: Capacity, now_ms: int) -> list[Hashable]:
    """Give free slots to the first in the queue and return their tickets."""
    granted = []
    requests = compute_requests(capacity, now_ms)
    while capacity.waiting and capacity.in_flight < requests:
        ticket, _ = capacity.waiting.popitem(last=False)
        capacity.in_flight += 1
        granted.append(ticket)
    return granted


def note_run(capacity: Capacity, latency_ms: float) -> None:
    """Take in the time of one whole answer."""
    limits.note_latency(capacity.limit, latency_ms)


def note_cold(capacity: Capacity, handed_ms: int, now_ms: int) -> bool:
    """Start the ramp again, unless the run was handed over before its last start."""
    if handed_ms < capacity.ramp.started_ms:
        return False
    capacity.ramp = ramp.restart(capacity.ramp, now_ms)
    return True
