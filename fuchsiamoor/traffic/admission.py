"""Admission control of one upstream: runs, queues or refuses each request.

An upstream that gets more requests than it has slots hangs, so requests are queued in
its daemon only. The queue is ordered by rank. Within a rank, requests that can still be
answered in time come first, in order of arrival; requests that will be late get the
remaining capacity. Serving all in order of arrival would make every answer late under
overload, without the upstream answering more of them.

Requests that arrive later and come first lengthen the wait of those behind them, so the
expected wait counts the work that they have lately taken. Without it, a request behind
a steady stream of lower ranks would wait in vain until its deadline.

A request that is unlikely to end before its caller stops waiting is refused at once.
"""

import heapq
import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.traffic import reset_limits

# Weight of a new measurement in the moving average of a route's run time.
RUN_MS_WEIGHT = 0.1
# Run time assumed for a route without measurements, in milliseconds.
DEFAULT_RUN_MS = 200.0
# A request is queued, and stays queued, only while this share of its expected run time
# fits before its deadline.
NEEDED_RUN_SHARE = 0.8
# Added to the expected wait in the retry-after time, in milliseconds.
RETRY_MARGIN_MS = 50
# A request that will be late is queued only if its expected wait is at most this share
# of the time left: estimates are wrong by about as much.
LATE_WAIT_SHARE = 0.4
# Time over which the work of requests that come first is averaged, in milliseconds:
# several runs.
OVERTAKING_WINDOW_MS = 1_000.0
# Largest share of the slots that they are taken to fill: more would make the expected
# wait grow without a bound.
OVERTAKING_SHARE_MAX = 0.9
# Window in which the requests started at a cold upstream are counted, in milliseconds:
# one second and a margin for network jitter.
COLD_WINDOW_MS = 1_080
# Share of the slots reserved for nested requests, which other upstreams send: while an
# upstream waits for the answer, the request that it runs holds one of its slots.
NESTED_SLOT_SHARE = 0.1
# Time for which the slots stay reserved after a nested request, in milliseconds.
NESTED_RESERVE_MS = 1_000
# Largest number of queued requests, whatever their deadlines.
WAITING_MAX = 400


class AdmissionRequest(NamedTuple):
    """A request that asks for admission.

    Parameters
    ----------
    ticket : Hashable
        Identifies the request in the queue.
    route : str
    rank : int
        Lower ranks are served first; below 0 for nested requests.
    deadline_ms : int
        Monotonic time at which its caller stops waiting.
    in_time_by_ms : int
        Monotonic time after which its answer counts as late.
    """

    ticket: Hashable
    route: str
    rank: int
    deadline_ms: int
    in_time_by_ms: int


class Admitted(NamedTuple):
    """The request has taken a slot."""


class Queued(NamedTuple):
    """The request is queued for a slot.

    Parameters
    ----------
    is_late : bool
        Whether its answer is expected to be late.
    """

    is_late: bool


class Refused(NamedTuple):
    """The request is refused: it has not run here and will not.

    Parameters
    ----------
    verdict : NotRun
    retry_after_ms : int
        Time after which a slot is likely to be free.
    """

    verdict: NotRun
    retry_after_ms: int


class AcceptedWork(NamedTuple):
    """Work of accepted requests of one place in the order.

    Parameters
    ----------
    work_ms : float
        Sum of their expected run times, decayed by age.
    at_ms : int
        Time of the latest one.
    """

    work_ms: float
    at_ms: int


@dataclass(slots=True)
class AdmissionQueue:
    """Slots and queue of one upstream incarnation.

    Parameters
    ----------
    slots : int
    cold_per_s : float
        Requests per second while the upstream is cold; 0 for no limit.
    cold_until_ms : int
        Monotonic end of the cold start.
    running : int
        Slots in use.
    heap : list
        Heap of (rank, is_late, arrival number, AdmissionRequest).
    queued_tickets : set
        Tickets of the queued requests. Removed requests stay in ``heap`` until they
        reach its head, but are missing here.
    run_ms : dict of str to float
        Moving average of the run time by route, at normal speed.
    work_percent : int
        Reported run time relative to the normal run time; 100 is normal.
    last_nested_ms : int or None
        When the latest nested request arrived.
    start_times_ms : deque of int
        When the requests of the last window took their slots, or were sent if that was
        later.
    enqueued_count : int
        Requests queued so far; numbers them in order of arrival.
    accepted : dict of (int, bool) to AcceptedWork
        Work of the requests accepted lately, by rank and whether they were late.
    reset_limit : ResetLimit
        What resets of its connections tell.
    """

    slots: int
    cold_per_s: float
    cold_until_ms: int = 0
    running: int = 0
    heap: list = field(default_factory=list)
    queued_tickets: set = field(default_factory=set)
    run_ms: dict[str, float] = field(default_factory=dict)
    work_percent: int = 100
    last_nested_ms: int | None = None
    start_times_ms: deque = field(default_factory=deque)
    enqueued_count: int = 0
    accepted: dict[tuple[int, bool], AcceptedWork] = field(default_factory=dict)
    reset_limit: reset_limits.ResetLimit = field(
        default_factory=reset_limits.ResetLimit
    )

    @property
    def usable_slots(self) -> int:
        """Slots of which the upstream has not shown that it cannot use them."""
        return reset_limits.compute_slots(self.reset_limit, self.slots)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self.queued_tickets)


def make_admission_queue(
    slots: int, cold_per_s: float, cold_until_ms: int
) -> AdmissionQueue:
    """Return an empty queue with all slots free."""
    return AdmissionQueue(max(slots, 1), cold_per_s, cold_until_ms)


def admit(
    queue: AdmissionQueue, request: AdmissionRequest, now_ms: int
) -> Admitted | Queued | Refused:
    """Give a request a slot, queue it or refuse it.

    Examples
    --------
    >>> queue = make_admission_queue(slots=1, cold_per_s=0.0, cold_until_ms=0)
    >>> admit(queue, AdmissionRequest("a", "r", 0, 1_000, 600), 0)
    Admitted()
    >>> admit(queue, AdmissionRequest("b", "r", 0, 1_000, 600), 0)
    Queued(is_late=False)
    >>> admit(queue, AdmissionRequest("c", "r", 0, 300, 300), 0).verdict.reason.name
    'OVER_LIMIT'
    """
    if request.rank < 0:
        queue.last_nested_ms = now_ms
    outcome = foresee(queue, request, now_ms)
    match outcome:
        case Admitted():
            _take_slot(queue, now_ms)
            is_late = now_ms >= request.in_time_by_ms
            _record_accepted(queue, request, is_late, now_ms)
        case Queued():
            _enqueue(queue, request, outcome.is_late)
            _record_accepted(queue, request, outcome.is_late, now_ms)
    return outcome


def foresee(
    queue: AdmissionQueue, request: AdmissionRequest, now_ms: int
) -> Admitted | Queued | Refused:
    """Return what `admit` would do with a request, without any effect."""
    if _has_precedence(queue, request.rank) and _can_start(queue, request.rank, now_ms):
        return Admitted()
    if queue.waiting >= WAITING_MAX:
        return Refused(NotRun(Reason.OVER_LIMIT, "the queue is full"), 0)
    needed_ms = NEEDED_RUN_SHARE * estimate_run_ms(queue, request.route)
    wait_ms = estimate_wait_ms(queue, request.rank, now_ms)
    if now_ms + wait_ms + needed_ms <= min(request.deadline_ms, request.in_time_by_ms):
        return Queued(is_late=False)
    if _can_wait_late(queue, request, now_ms):
        return Queued(is_late=True)
    wait_ms = estimate_wait_ms(queue, request.rank, now_ms, is_late=True)
    verdict = NotRun(Reason.OVER_LIMIT, "it would end too late")
    return Refused(verdict, int(wait_ms) + RETRY_MARGIN_MS)


def _can_wait_late(
    queue: AdmissionQueue, request: AdmissionRequest, now_ms: int
) -> bool:
    """Return whether a request that will be late is likely to end by its deadline."""
    needed_ms = NEEDED_RUN_SHARE * estimate_run_ms(queue, request.route)
    wait_ms = estimate_wait_ms(queue, request.rank, now_ms, is_late=True)
    return wait_ms <= LATE_WAIT_SHARE * (request.deadline_ms - now_ms - needed_ms)


def _enqueue(queue: AdmissionQueue, request: AdmissionRequest, is_late: bool) -> None:
    queue.enqueued_count += 1
    queue.queued_tickets.add(request.ticket)
    item = (request.rank, is_late, queue.enqueued_count, request)
    heapq.heappush(queue.heap, item)


def _record_accepted(
    queue: AdmissionQueue, request: AdmissionRequest, is_late: bool, now_ms: int
) -> None:
    place = (request.rank, is_late)
    work_ms = _read_accepted_ms(queue, place, now_ms)
    work_ms += estimate_run_ms(queue, request.route)
    queue.accepted[place] = AcceptedWork(work_ms, now_ms)


def _read_accepted_ms(
    queue: AdmissionQueue, place: tuple[int, bool], now_ms: int
) -> float:
    """Return the work accepted lately at a place in the order, in milliseconds."""
    known = queue.accepted.get(place)
    if known is None:
        return 0.0
    return known.work_ms * math.exp((known.at_ms - now_ms) / OVERTAKING_WINDOW_MS)


def compute_overtaking_share(
    queue: AdmissionQueue, rank: int, is_late: bool, now_ms: int
) -> float:
    """Return the share of the slots that requests which come first have lately filled.

    Bounded by `OVERTAKING_SHARE_MAX`.
    """
    work_ms = sum(
        _read_accepted_ms(queue, place, now_ms)
        for place in queue.accepted
        if place < (rank, is_late)
    )
    share = work_ms / (OVERTAKING_WINDOW_MS * queue.usable_slots)
    return min(share, OVERTAKING_SHARE_MAX)


def remove_queued(queue: AdmissionQueue, ticket: Hashable) -> None:
    """Remove a request from the queue if it is still queued."""
    queue.queued_tickets.discard(ticket)


def record_sent(queue: AdmissionQueue, taken_ms: int, now_ms: int) -> None:
    """Record that a request which took its slot at ``taken_ms`` is sent now.

    A cold upstream counts arrivals: one that was held up comes beside later ones.
    """
    if now_ms == taken_ms:
        return
    if taken_ms in queue.start_times_ms:
        queue.start_times_ms.remove(taken_ms)
    queue.start_times_ms.append(now_ms)


def release_slot(queue: AdmissionQueue) -> None:
    """Release one slot."""
    queue.running -= 1


def admit_next(
    queue: AdmissionQueue, now_ms: int
) -> tuple[list[AdmissionRequest], list[AdmissionRequest]]:
    """Give free slots to queued requests.

    Returns
    -------
    admitted : list of AdmissionRequest
        Requests that have taken a slot.
    expired : list of AdmissionRequest
        Requests removed because they are not likely to end before their deadline.
    """
    admitted, expired = [], []
    while _drop_removed(queue) and _can_start(queue, queue.heap[0][0], now_ms):
        _, is_late, _, request = heapq.heappop(queue.heap)
        queue.queued_tickets.discard(request.ticket)
        needed_ms = NEEDED_RUN_SHARE * estimate_run_ms(queue, request.route)
        if now_ms + needed_ms > request.deadline_ms:
            expired.append(request)
            continue
        if not is_late and now_ms + needed_ms > request.in_time_by_ms and queue.waiting:
            if _can_wait_late(queue, request, now_ms):
                _enqueue(queue, request, True)
            else:
                expired.append(request)
            continue
        _take_slot(queue, now_ms)
        admitted.append(request)
    return admitted, expired


def clear_queue(queue: AdmissionQueue) -> list[AdmissionRequest]:
    """Empty the queue and return the requests that were queued."""
    waited = [
        item[3] for item in sorted(queue.heap) if item[3].ticket in queue.queued_tickets
    ]
    queue.heap.clear()
    queue.queued_tickets.clear()
    return waited


def update_cold_until(queue: AdmissionQueue, cold_until_ms: int) -> None:
    """Set the end of the cold start; a time in the past ends it now."""
    queue.cold_until_ms = cold_until_ms


def record_run(queue: AdmissionQueue, route: str, run_ms: float) -> None:
    """Record the run time of a completed request."""
    normal_ms = run_ms * 100 / max(queue.work_percent, 1)
    previous_ms = queue.run_ms.get(route)
    if previous_ms is None:
        queue.run_ms[route] = normal_ms
        return
    queue.run_ms[route] = previous_ms + RUN_MS_WEIGHT * (normal_ms - previous_ms)


def estimate_run_ms(queue: AdmissionQueue, route: str) -> float:
    """Return the expected run time at the current speed, in milliseconds."""
    # A slow phase is shorter than most runs, so only half of the slowdown is applied.
    speed = (100 + queue.work_percent) / 200
    return queue.run_ms.get(route, DEFAULT_RUN_MS) * speed


def estimate_wait_ms(
    queue: AdmissionQueue, rank: int, now_ms: int, is_late: bool = False
) -> float:
    """Return the expected wait of a request that arrives now, in milliseconds."""
    if _has_precedence(queue, rank) and _can_start(queue, rank, now_ms):
        return 0.0
    ahead = [
        item[3]
        for item in queue.heap
        if item[:2] <= (rank, is_late) and item[3].ticket in queue.queued_tickets
    ]
    work_ms = sum(estimate_run_ms(queue, request.route) for request in ahead)
    mean_ms = _mean_run_ms(queue)
    left_share = 1 - compute_overtaking_share(queue, rank, is_late, now_ms)
    wait_ms = (work_ms + mean_ms / 2) / (queue.usable_slots * left_share)
    if now_ms < queue.cold_until_ms and queue.cold_per_s > 0:
        wait_ms = max(wait_ms, (len(ahead) + 1) * 1000 / queue.cold_per_s)
    return wait_ms


def _mean_run_ms(queue: AdmissionQueue) -> float:
    if not queue.run_ms:
        return DEFAULT_RUN_MS
    return sum(queue.run_ms.values()) / len(queue.run_ms)


def find_next_start_ms(queue: AdmissionQueue, now_ms: int) -> int | None:
    """Return when the cold rate limit allows the next start.

    Monotonic time, in milliseconds; None if no request is waiting for the limit.
    """
    if (
        not queue.heap
        or queue.running >= queue.usable_slots
        or _is_within_cold_rate(queue, now_ms)
    ):
        return None
    return min(queue.start_times_ms[0] + COLD_WINDOW_MS, queue.cold_until_ms) + 1


def _has_precedence(queue: AdmissionQueue, rank: int) -> bool:
    """Return whether a request of a rank comes before all queued requests."""
    return not _drop_removed(queue) or rank < queue.heap[0][0]


def _drop_removed(queue: AdmissionQueue) -> bool:
    """Drop removed requests from the heap's head; return whether any is queued."""
    while queue.heap and queue.heap[0][3].ticket not in queue.queued_tickets:
        heapq.heappop(queue.heap)
    return bool(queue.heap)


def _can_start(queue: AdmissionQueue, rank: int, now_ms: int) -> bool:
    reserved = _count_reserved_slots(queue, now_ms) if rank >= 0 else 0
    return queue.running < queue.usable_slots - reserved and _is_within_cold_rate(
        queue, now_ms
    )


def _count_reserved_slots(queue: AdmissionQueue, now_ms: int) -> int:
    """Return the number of slots reserved for nested requests."""
    if (
        queue.last_nested_ms is None
        or now_ms - queue.last_nested_ms > NESTED_RESERVE_MS
    ):
        return 0
    slots = queue.usable_slots
    return min(math.ceil(NESTED_SLOT_SHARE * slots), slots - 1)


def _is_within_cold_rate(queue: AdmissionQueue, now_ms: int) -> bool:
    while queue.start_times_ms and queue.start_times_ms[0] <= now_ms - COLD_WINDOW_MS:
        queue.start_times_ms.popleft()
    if now_ms >= queue.cold_until_ms or queue.cold_per_s <= 0:
        return True
    return len(queue.start_times_ms) < max(1, int(queue.cold_per_s))


def _take_slot(queue: AdmissionQueue, now_ms: int) -> None:
    queue.running += 1
    queue.start_times_ms.append(now_ms)
