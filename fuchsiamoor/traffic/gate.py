"""The gate before one upstream: who runs now, who waits, and who is refused at once.

An upstream that is given more than its slots hangs, so that the daemon beside it is the
only place to queue. Its order is by rank; within a rank those who can be answered in
time go first, in the order of their arrival, and those who will be late use what is
left. Were all served in the order of their arrival, an overload would make everybody
late, and the upstream answer no more of them.

A request that would hardly end before its caller stops waiting is refused at once.
"""

import heapq
import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.verdicts import NotRun, Reason

# Weight of one run in the moving average of a route's run time.
RUN_WEIGHT = 0.1
# Run time assumed for a route that was not measured yet, in milliseconds.
FIRST_RUN_MS = 200.0
# A waiting request needs this share of its expected run time within its deadline.
RUN_SHARE = 0.8
# Added to the time after which there is likely to be room, in milliseconds.
RETRY_MARGIN_MS = 50
# A wait that is expected to be this share of the time left, or less, is worth it to one
# that will be late: estimates are wrong by about as much.
LATE_SHARE = 0.4
# Window over which a cold upstream's arrivals are counted, with a margin for jitter on
# the way to it.
COLD_WINDOW_MS = 1_080
# Share of the slots that is kept for what other upstreams ask for, while they do: their
# work waits meanwhile and holds slots of its own.
CALL_SHARE = 0.1
# The share is kept for this time after each such request.
CALL_KEPT_MS = 1_000
# Largest number of requests that wait, whatever their deadlines.
WAITING_MAX = 400


class Entrant(NamedTuple):
    """A request at the gate.

    Parameters
    ----------
    ticket : Hashable
        Names it in the queue.
    route : str
    rank : int
        Lower ranks go first.
    ends_by_ms : int
        Monotonic time at which its caller stops waiting.
    in_time_by_ms : int
        Monotonic time up to which its answer is in time.
    """

    ticket: Hashable
    route: str
    rank: int
    ends_by_ms: int
    in_time_by_ms: int


class Enter(NamedTuple):
    """The request takes a slot now."""


class Wait(NamedTuple):
    """The request waits for a slot."""


class Refuse(NamedTuple):
    """The request has not run here and will not.

    Parameters
    ----------
    verdict : NotRun
    retry_after_ms : int
        When there is likely to be room.
    """

    verdict: NotRun
    retry_after_ms: int


@dataclass(slots=True)
class Gate:
    """State of the gate of one upstream incarnation.

    Parameters
    ----------
    slots : int
    cold_per_s : float
        Requests a second while cold; 0 for no bound.
    cold_until_ms : int
    running : int
        Slots taken.
    queue : list
        Heap of (rank, is_late, number, Entrant).
    queued : set
        Tickets in the queue; those that left before their turn are missing here.
    run_ms : dict of str to float
        Moving average of run times by route, at usual speed.
    work_percent : int
        Reported speed; 100 is usual.
    called_ms : int or None
        When another upstream asked for something last.
    starts : deque of int
        Times of the starts within the last window.
    entered : int
        Requests that entered the queue, for its order.
    """

    slots: int
    cold_per_s: float
    cold_until_ms: int = 0
    running: int = 0
    queue: list = field(default_factory=list)
    queued: set = field(default_factory=set)
    run_ms: dict[str, float] = field(default_factory=dict)
    work_percent: int = 100
    called_ms: int | None = None
    starts: deque = field(default_factory=deque)
    entered: int = 0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self.queued)


def make_gate(slots: int, cold_per_s: float, cold_until_ms: int) -> Gate:
    """Return a gate that nobody has passed."""
    return Gate(max(slots, 1), cold_per_s, cold_until_ms)


def ask(gate: Gate, entrant: Entrant, now_ms: int) -> Enter | Wait | Refuse:
    """Decide whether a request enters, which takes a slot, waits or is refused.

    Examples
    --------
    >>> gate = make_gate(slots=1, cold_per_s=0.0, cold_until_ms=0)
    >>> ask(gate, Entrant("a", "r", 0, 1_000, 600), 0)
    Enter()
    >>> ask(gate, Entrant("b", "r", 0, 1_000, 600), 0)
    Wait()
    >>> ask(gate, Entrant("c", "r", 0, 300, 300), 0).verdict.reason.name
    'OVER_LIMIT'
    """
    if entrant.rank < 0:
        gate.called_ms = now_ms
    if _goes_first(gate, entrant.rank) and _has_room(gate, entrant.rank, now_ms):
        _take_slot(gate, now_ms)
        return Enter()
    if gate.waiting >= WAITING_MAX:
        return Refuse(NotRun(Reason.OVER_LIMIT, "the queue is full"), 0)
    needed_ms = RUN_SHARE * estimate_run_ms(gate, entrant.route)
    wait_ms = estimate_wait_ms(gate, entrant.rank, now_ms)
    if now_ms + wait_ms + needed_ms <= min(entrant.ends_by_ms, entrant.in_time_by_ms):
        _enqueue(gate, entrant, False)
        return Wait()
    wait_ms = estimate_wait_ms(gate, entrant.rank, now_ms, is_late=True)
    left_ms = entrant.ends_by_ms - now_ms - needed_ms
    if wait_ms <= LATE_SHARE * left_ms:
        _enqueue(gate, entrant, True)
        return Wait()
    verdict = NotRun(Reason.OVER_LIMIT, "it would end too late")
    return Refuse(verdict, int(wait_ms) + RETRY_MARGIN_MS)


def _enqueue(gate: Gate, entrant: Entrant, is_late: bool) -> None:
    gate.entered += 1
    gate.queued.add(entrant.ticket)
    item = (entrant.rank, is_late, gate.entered, entrant)
    heapq.heappush(gate.queue, item)


def leave_queue(gate: Gate, ticket: Hashable) -> None:
    """Take a request out of the queue, if it still waits there."""
    gate.queued.discard(ticket)


def release(gate: Gate) -> None:
    """Give one slot back."""
    gate.running -= 1


def admit_next(gate: Gate, now_ms: int) -> tuple[list[Entrant], list[Entrant]]:
    """Give free slots to those that wait.

    Returns
    -------
    admitted : list of Entrant
        Each has taken a slot.
    expired : list of Entrant
        They cannot end in time any more and have left the queue.
    """
    admitted, expired = [], []
    while _drop_left(gate) and _has_room(gate, gate.queue[0][0], now_ms):
        _, is_late, _, entrant = heapq.heappop(gate.queue)
        gate.queued.discard(entrant.ticket)
        needed_ms = RUN_SHARE * estimate_run_ms(gate, entrant.route)
        if now_ms + needed_ms > entrant.ends_by_ms:
            expired.append(entrant)
            continue
        if not is_late and now_ms + needed_ms > entrant.in_time_by_ms and gate.waiting:
            _enqueue(gate, entrant, True)
            continue
        _take_slot(gate, now_ms)
        admitted.append(entrant)
    return admitted, expired


def clear(gate: Gate) -> list[Entrant]:
    """Empty the queue and return those that waited."""
    waited = [item[3] for item in sorted(gate.queue) if item[3].ticket in gate.queued]
    gate.queue.clear()
    gate.queued.clear()
    return waited


def note_cold(gate: Gate, cold_until_ms: int) -> None:
    """Take in until when the upstream is cold; a time that has passed ends it."""
    gate.cold_until_ms = cold_until_ms


def note_run(gate: Gate, route: str, run_ms: float) -> None:
    """Take in the time of one whole run."""
    usual_ms = run_ms * 100 / max(gate.work_percent, 1)
    known_ms = gate.run_ms.get(route)
    if known_ms is None:
        gate.run_ms[route] = usual_ms
        return
    gate.run_ms[route] = known_ms + RUN_WEIGHT * (usual_ms - known_ms)


def estimate_run_ms(gate: Gate, route: str) -> float:
    """Return the expected time of one run at the present speed, in milliseconds."""
    # A slow spell is shorter than most runs, so that it counts for half.
    speed = (100 + gate.work_percent) / 200
    return gate.run_ms.get(route, FIRST_RUN_MS) * speed


def estimate_wait_ms(
    gate: Gate, rank: int, now_ms: int, is_late: bool = False
) -> float:
    """Return the expected wait of a request that comes now, in milliseconds."""
    if _goes_first(gate, rank) and _has_room(gate, rank, now_ms):
        return 0.0
    ahead = [
        item[3]
        for item in gate.queue
        if item[:2] <= (rank, is_late) and item[3].ticket in gate.queued
    ]
    work_ms = sum(estimate_run_ms(gate, entrant.route) for entrant in ahead)
    mean_ms = _mean_run_ms(gate)
    wait_ms = (work_ms + mean_ms / 2) / gate.slots
    if now_ms < gate.cold_until_ms and gate.cold_per_s > 0:
        wait_ms = max(wait_ms, (len(ahead) + 1) * 1000 / gate.cold_per_s)
    return wait_ms


def _mean_run_ms(gate: Gate) -> float:
    if not gate.run_ms:
        return FIRST_RUN_MS
    return sum(gate.run_ms.values()) / len(gate.run_ms)


def next_room_ms(gate: Gate, now_ms: int) -> int | None:
    """Return when a cold upstream bears the next request, None if it bears one now.

    Monotonic time, in milliseconds.
    """
    if not gate.queue or gate.running >= gate.slots or _bears_start(gate, now_ms):
        return None
    return min(gate.starts[0] + COLD_WINDOW_MS, gate.cold_until_ms) + 1


def _goes_first(gate: Gate, rank: int) -> bool:
    """Return whether nobody who waits goes before a request of a rank."""
    return not _drop_left(gate) or rank < gate.queue[0][0]


def _drop_left(gate: Gate) -> bool:
    """Take those that left off the queue's head; return whether anybody waits."""
    while gate.queue and gate.queue[0][3].ticket not in gate.queued:
        heapq.heappop(gate.queue)
    return bool(gate.queue)


def _has_room(gate: Gate, rank: int, now_ms: int) -> bool:
    kept = _count_kept(gate, now_ms) if rank >= 0 else 0
    return gate.running < gate.slots - kept and _bears_start(gate, now_ms)


def _count_kept(gate: Gate, now_ms: int) -> int:
    """Return the slots that are kept for requests of other upstreams."""
    if gate.called_ms is None or now_ms - gate.called_ms > CALL_KEPT_MS:
        return 0
    return min(math.ceil(CALL_SHARE * gate.slots), gate.slots - 1)


def _bears_start(gate: Gate, now_ms: int) -> bool:
    while gate.starts and gate.starts[0] <= now_ms - COLD_WINDOW_MS:
        gate.starts.popleft()
    if now_ms >= gate.cold_until_ms or gate.cold_per_s <= 0:
        return True
    return len(gate.starts) < max(1, int(gate.cold_per_s))


def _take_slot(gate: Gate, now_ms: int) -> None:
    gate.running += 1
    gate.starts.append(now_ms)
