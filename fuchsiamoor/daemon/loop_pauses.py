"""Measures pauses of the event loop, which explain leases that ended unrenewed."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

PROBE_INTERVAL_MS = 50
# Pauses are kept for longer than any lease of the ownership protocol.
KEEP_MS = 5_000
# Shorter pauses are usual on a machine that runs other work.
PAUSE_MIN_MS = 20


class Pause(NamedTuple):
    """A time in which the event loop ran no timers.

    Parameters
    ----------
    ended_ms : int
        Monotonic time at which the loop went on.
    duration_ms : int
    """

    ended_ms: int
    duration_ms: int


@dataclass(slots=True)
class PauseHistory:
    """Recent pauses of one event loop, the oldest first."""

    pauses: deque[Pause] = field(default_factory=deque)


def make_history() -> PauseHistory:
    """Return a history without pauses."""
    return PauseHistory()


def record_delay(history: PauseHistory, delay_ms: int, now_ms: int) -> None:
    """Record by how much a timer was late, and forget pauses of long ago."""
    if delay_ms >= PAUSE_MIN_MS:
        history.pauses.append(Pause(now_ms, delay_ms))
    while history.pauses and now_ms - history.pauses[0].ended_ms > KEEP_MS:
        history.pauses.popleft()


def find_longest(history: PauseHistory) -> Pause | None:
    """Return the longest pause of the last `KEEP_MS`, None if there was none."""
    return max(history.pauses, key=lambda pause: pause.duration_ms, default=None)


async def measure(history: PauseHistory, now_ms: Callable[[], int]) -> None:
    """Record how late a short timer fires, until cancelled."""
    while True:
        due_ms = now_ms() + PROBE_INTERVAL_MS
        await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
        record_delay(history, now_ms() - due_ms, now_ms())
