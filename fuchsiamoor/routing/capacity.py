"""Capacity of the local upstream: its concurrency limit, slots and request queue."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from fuchsiamoor.core.requests import Request
from fuchsiamoor.routing import admission, cold_detection, concurrency_limit, ramp
from fuchsiamoor.routing.cold_detection import ColdDetector
from fuchsiamoor.routing.concurrency_limit import ConcurrencyLimit
from fuchsiamoor.routing.ramp import Ramp


@dataclass(slots=True)
class Capacity:
    """Slots and queue of one upstream, as counted by the daemon beside it.

    Parameters
    ----------
    ramp : Ramp
    limit : ConcurrencyLimit
    cold_detector : ColdDetector
    in_flight : int
        Slots taken, including those of runs whose outcome is unknown.
    waiting : OrderedDict
        Deadlines of the queued requests by ticket, in order of arrival.
    """

    ramp: Ramp
    limit: ConcurrencyLimit
    cold_detector: ColdDetector
    in_flight: int = 0
    waiting: OrderedDict[Hashable, int] = field(default_factory=OrderedDict)


def make_capacity(started: Ramp, connections: int) -> Capacity:
    """Return the capacity of an upstream at the start of its ramp."""
    limit = concurrency_limit.make_limit(started.slots, connections)
    return Capacity(started, limit, cold_detection.make_cold_detector())


def compute_concurrency_limit(capacity: Capacity, now_ms: int) -> int:
    """Return how many requests the upstream may run at a time."""
    ramped = ramp.compute_concurrency_limit(capacity.ramp, now_ms)
    return max(1, min(ramped, capacity.limit.requests))


def request_slot(
    capacity: Capacity,
    ticket: Hashable,
    request: Request,
    queued_requests: int,
    now_ms: int,
) -> admission.Admission:
    """Request a slot; `Admitted` takes it, `Queued` puts the ticket into the queue."""
    _restart_ramp_if_cold(capacity, now_ms)
    limits = admission.AdmissionLimits(
        compute_concurrency_limit(capacity, now_ms),
        queued_requests,
        capacity.limit.latency_ms,
    )
    decided = admission.admit(
        limits, capacity.in_flight, len(capacity.waiting), now_ms, request
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
    """Return whether a granted slot may still be used.

    False if the limit has since fallen below the number of slots in use, for example
    because the ramp was restarted.
    """
    _restart_ramp_if_cold(capacity, now_ms)
    return capacity.in_flight <= compute_concurrency_limit(capacity, now_ms)


def release_slot(capacity: Capacity) -> None:
    """Free one slot."""
    capacity.in_flight -= 1


def leave_queue(capacity: Capacity, ticket: Hashable) -> bool:
    """Remove a ticket from the queue; False if it was not there."""
    return capacity.waiting.pop(ticket, None) is not None


def clear_queue(capacity: Capacity) -> list[Hashable]:
    """Empty the queue and return its tickets."""
    tickets = list(capacity.waiting)
    capacity.waiting.clear()
    return tickets


def grant_slots(capacity: Capacity, now_ms: int) -> list[Hashable]:
    """Give free slots to the requests queued longest and return their tickets."""
    if not capacity.waiting:
        return []
    _restart_ramp_if_cold(capacity, now_ms)
    granted = []
    requests = compute_concurrency_limit(capacity, now_ms)
    while capacity.waiting and capacity.in_flight < requests:
        ticket, _ = capacity.waiting.popitem(last=False)
        capacity.in_flight += 1
        granted.append(ticket)
    return granted


def record_start(capacity: Capacity, now_ms: int) -> int:
    """Record that a request is sent to the upstream, and return its run number."""
    return cold_detection.record_start(capacity.cold_detector, now_ms)


def record_answer(capacity: Capacity, run: int, latency_ms: float, now_ms: int) -> None:
    """Record the latency of a run that ended with a complete answer."""
    cold_detection.record_answer(capacity.cold_detector, run, now_ms)
    concurrency_limit.record_latency(capacity.limit, latency_ms)


def record_unanswered_end(capacity: Capacity, run: int) -> None:
    """Record that a run ended without an answer."""
    cold_detection.record_end(capacity.cold_detector, run)


def handle_cold_upstream(capacity: Capacity, sent_ms: int, now_ms: int) -> bool:
    """Restart the ramp after a run showed that the upstream is cold.

    Parameters
    ----------
    capacity : Capacity
    sent_ms : int
        When the run was sent to the upstream.
    now_ms : int

    Returns
    -------
    bool
        False if the run was sent before the last restart of the ramp, which is then not
        restarted again.
    """
    if sent_ms < capacity.ramp.started_ms:
        return False
    _restart_ramp(capacity, now_ms)
    return True


def _restart_ramp_if_cold(capacity: Capacity, now_ms: int) -> None:
    if cold_detection.is_cold(capacity.cold_detector, now_ms):
        _restart_ramp(capacity, now_ms)


def _restart_ramp(capacity: Capacity, now_ms: int) -> None:
    capacity.ramp = ramp.restart(capacity.ramp, now_ms)
    cold_detection.clear_runs(capacity.cold_detector)
