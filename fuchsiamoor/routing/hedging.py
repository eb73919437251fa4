"""Hedging: when a slow request is also sent to a second upstream, within which limit.

A copy goes out after a delay that most requests do not reach. Each copy takes a token
of every budget that applies to it, so that copies add a bounded share to any load, and
none is sent where the service is short of room: a copy would delay another request's
first run there. `docs/design/hedging.md` says what was weighed.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from fuchsiamoor.routing import retry_budget

WINDOW_REQUESTS = 128
HEDGE_QUANTILE = 0.95
HEDGE_MIN_MS = 2
HEDGE_DEFAULT_MS = 50
REFRESH_REQUESTS = 16
# Copies are not sent to a service for this time after it refused a request: queues that
# were full last for some runs.
SHORT_OF_ROOM_MS = 1_000
# Share of the slots of an upstream that stays free of copies, for first sendings.
FREE_SLOT_SHARE = 0.25


@dataclass(slots=True)
class LatencyWindow:
    """The latest latencies of one service or route, as measured by this daemon.

    Parameters
    ----------
    latencies_ms : list of float
        Ring buffer of the last `WINDOW_REQUESTS` latencies.
    next_index : int
        Where the next latency is written.
    hedge_delay_ms : int
        Delay before a hedge, recomputed every `REFRESH_REQUESTS` requests.
    is_measured : bool
        Whether the delay comes from measurements.
    """

    latencies_ms: list[float] = field(default_factory=list)
    next_index: int = 0
    hedge_delay_ms: int = HEDGE_DEFAULT_MS
    is_measured: bool = False


class SkipReason(StrEnum):
    """Why no copy is sent."""

    SHORT_OF_ROOM = "short-of-room"
    NO_TARGET = "no-target"
    TOO_LATE = "too-late"
    OVER_LIMIT = "over-limit"


class Send(NamedTuple):
    """A copy is sent; its tokens have been taken."""


class Skip(NamedTuple):
    """No copy is sent."""

    reason: SkipReason


class Conditions(NamedTuple):
    """What a daemon knows when the delay of a request has passed.

    Parameters
    ----------
    has_target : bool
        Whether there is another upstream with free slots.
    is_short_of_room : bool
        Whether the service has refused requests lately.
    leaves_retries : bool
        Whether enough of the retry budget is left for requests that have failed.
    expected_ms : float
        Expected latency of the copy.
    left_ms : int
        Time left until the deadline.
    """

    has_target: bool
    is_short_of_room: bool
    leaves_retries: bool
    expected_ms: float
    left_ms: int


def make_latency_window() -> LatencyWindow:
    """Return an empty window."""
    return LatencyWindow()


def record_latency(window: LatencyWindow, latency_ms: float) -> None:
    """Record the latency of one complete answer."""
    if len(window.latencies_ms) < WINDOW_REQUESTS:
        window.latencies_ms.append(latency_ms)
    else:
        window.latencies_ms[window.next_index] = latency_ms
    window.next_index = (window.next_index + 1) % WINDOW_REQUESTS
    if window.next_index % REFRESH_REQUESTS == 0:
        window.hedge_delay_ms = _compute_hedge_delay_ms(window.latencies_ms)
        window.is_measured = True


def _compute_hedge_delay_ms(latencies_ms: list[float]) -> int:
    ordered = sorted(latencies_ms)
    index = min(int(len(ordered) * HEDGE_QUANTILE), len(ordered) - 1)
    return max(HEDGE_MIN_MS, int(ordered[index]) + 1)


def decide_copy(
    conditions: Conditions, budgets: Sequence[retry_budget.Budget]
) -> Send | Skip:
    """Decide whether a slow request is sent to a second upstream.

    Parameters
    ----------
    conditions : Conditions
    budgets : sequence of Budget
        A copy takes a token of each; if one has none, nothing is taken.

    Examples
    --------
    >>> budget = retry_budget.make_budget(tokens_max=1.0)
    >>> calm = Conditions(True, False, True, 100.0, 1_000)
    >>> decide_copy(calm, [budget])
    Send()
    >>> decide_copy(calm, [budget]).reason.name
    'OVER_LIMIT'
    """
    if conditions.is_short_of_room:
        return Skip(SkipReason.SHORT_OF_ROOM)
    if not conditions.has_target:
        return Skip(SkipReason.NO_TARGET)
    if conditions.expected_ms > conditions.left_ms:
        return Skip(SkipReason.TOO_LATE)
    is_spent = any(budget.tokens < 1.0 for budget in budgets)
    if is_spent or not conditions.leaves_retries:
        return Skip(SkipReason.OVER_LIMIT)
    for budget in budgets:
        retry_budget.spend(budget)
    return Send()


def has_room_for_copy(running: int, waiting: int, slots: int) -> bool:
    """Return whether an upstream may run a copy beside its other requests.

    Examples
    --------
    >>> has_room_for_copy(running=8, waiting=0, slots=12)
    True
    >>> has_room_for_copy(running=9, waiting=0, slots=12)
    False
    """
    return waiting == 0 and running < slots * (1 - FREE_SLOT_SHARE)
