"""Capacity: what the local upstream is given, and who waits for a slot."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from fuchsiamoor.core.requests import Request
from fuchsiamoor.routing import admission, coldness, limits, ramp
from fuchsiamoor.routing.coldness import Coldness
from fuchsiamoor.routing.limits import SlotLimit
from fuchsiamoor.routing.ramp import Ramp


@dataclass(slots=True)
class Capacity:
    """State of one upstream, as its daemon counts it.

    Parameters
    ----------
    ramp : Ramp
    limit : SlotLimit
    coldness : Coldness
    in_flight : int
        Slots taken, those of runs with an unknown ending included.
    waiting : OrderedDict
        Deadlines by ticket, first come first.
    """

    ramp: Ramp
    limit: SlotLimit
    coldness: Coldness
    in_flight: int = 0
    waiting: OrderedDict[Hashable, int] = field(default_factory=OrderedDict)


def make_capacity(started: Ramp, connections: int) -> Capacity:
    """Return the capacity of an upstream at the start of its ramp."""
    limit = limits.make_limit(started.slots, connections)
    return Capacity(started, limit, coldness.make_coldness())


def compute_requests(capacity: Capacity, now_ms: int) -> int:
    """Return how many requests the upstream may run at a time."""
    ramped = ramp.compute_requests(capacity.ramp, now_ms)
    return max(1, min(ramped, capacity.limit.requests))


def ask(
    capacity: Capacity,
    ticket: Hashable,
    request: Request,
    queued_requests: int,
    now_ms: int,
) -> admission.Admission:
    """Ask for a slot; `Admitted` takes it, `Queued` puts the ticket into the queue."""
    _check_coldness(capacity, now_ms)
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


def may_use_slot(capacity: Capacity, now_ms: int) -> bool:
    """Return whether a slot taken a moment ago may still be used."""
    _check_coldness(capacity, now_ms)
    return capacity.in_flight <= compute_requests(capacity, now_ms)


def release(capacity: Capacity) -> None:
    """Give one slot back."""
    capacity.in_flight -= 1


def leave_queue(capacity: Capacity, ticket: Hashable) -> bool:
    """Take a ticket out of the queue; False if it was not there."""
    return capacity.waiting.pop(ticket, None) is not None


def clear_queue(capacity: Capacity) -> list[Hashable]:
    """Empty the queue and return its tickets."""
    tickets = list(capacity.waiting)
    capacity.waiting.clear()
    return tickets


def grant(capacity: Capacity, now_ms: int) -> list[Hashable]:
    """Give free slots to the first in the queue and return their tickets."""
    if not capacity.waiting:
        return []
    _check_coldness(capacity, now_ms)
    granted = []
    requests = compute_requests(capacity, now_ms)
    while capacity.waiting and capacity.in_flight < requests:
        ticket, _ = capacity.waiting.popitem(last=False)
        capacity.in_flight += 1
        granted.append(ticket)
    return granted


def note_start(capacity: Capacity, now_ms: int) -> int:
    """Take in that a request is handed over, and return the number of its run."""
    return coldness.note_start(capacity.coldness, now_ms)


def note_answer(capacity: Capacity, run: int, latency_ms: float, now_ms: int) -> None:
    """Take in the time of one whole answer."""
    coldness.note_answer(capacity.coldness, run, now_ms)
    limits.note_latency(capacity.limit, latency_ms)


def note_other_ending(capacity: Capacity, run: int) -> None:
    """Take in that a run ended without an answer."""
    coldness.note_other_ending(capacity.coldness, run)


def note_cold(capacity: Capacity, handed_ms: int, now_ms: int) -> bool:
    """Start the ramp again, unless the run was handed over before its last start."""
    if handed_ms < capacity.ramp.started_ms:
        return False
    _restart(capacity, now_ms)
    return True


def _check_coldness(capacity: Capacity, now_ms: int) -> None:
    if coldness.is_cold(capacity.coldness, now_ms):
        _restart(capacity, now_ms)


def _restart(capacity: Capacity, now_ms: int) -> None:
    capacity.ramp = ramp.restart(capacity.ramp, now_ms)
    coldness.forget_runs(capacity.coldness)
