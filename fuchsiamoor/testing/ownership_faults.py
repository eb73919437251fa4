"""Faults that strike a domain in a test, and schedules of them."""

import random
from typing import NamedTuple

PLACES = ("almaty-1", "almaty-2", "astana-1", "astana-2") * 2


class Kill(NamedTuple):
    """The daemons on some slots end; others start there later."""

    slots: frozenset[int]
    restart_after_ms: int


class Claim(NamedTuple):
    """A second daemon, on another slot, takes a slot's instance for its own."""

    slot: int
    runs_on: int


class Pause(NamedTuple):
    """The daemons on some slots stand still, their clocks do not."""

    slots: frozenset[int]
    duration_ms: int


class Cut(NamedTuple):
    """Slots in ``slots`` do not reach ``others``; with ``store`` they lose it, too.

    Without ``others`` they reach nobody outside.
    """

    slots: frozenset[int]
    store: bool
    duration_ms: int
    others: frozenset[int] = frozenset()


class StoreDown(NamedTuple):
    """The store refuses every call."""

    duration_ms: int


class StoreMute(NamedTuple):
    """The store carries calls out, late, and its answers are lost."""

    duration_ms: int


class Lossy(NamedTuple):
    """Messages are lost, delayed and duplicated."""

    duration_ms: int


class Slow(NamedTuple):
    """Messages to a slot arrive late."""

    slot: int
    delay_ms: int
    duration_ms: int


class Leave(NamedTuple):
    """The member on a slot wants to hand everything over, then stays again."""

    slot: int
    duration_ms: int


class TakeOut(NamedTuple):
    """Operators take a data centre out and bring it back."""

    data_centre: str
    duration_ms: int


class Hold(NamedTuple):
    """An override holds everything to one instance, then is taken back."""

    slot: int
    duration_ms: int


class Heat(NamedTuple):
    """One key becomes hot, then cools."""

    key_hash: int
    duration_ms: int


Fault = (
    Kill
    | Claim
    | Pause
    | Cut
    | StoreDown
    | StoreMute
    | Lossy
    | Slow
    | Leave
    | TakeOut
    | Hold
    | Heat
)
Schedule = list[tuple[int, Fault]]


def draw_schedule(source: random.Random, size: int, until_ms: int) -> Schedule:
    """Draw a few faults from a random source."""
    schedule = []
    for _ in range(source.randint(1, 6)):
        at_ms = source.randint(0, until_ms)
        slot = source.randrange(size)
        duration_ms = source.choice((300, 700, 1_200, 2_500, 4_000))
        slots = frozenset(
            source.sample(range(size), source.choice((1, 1, 1, size // 2, size)))
        )
        fault = source.choice(
            (
                Kill(slots, source.choice((0, 300, 2_000, 5_000))),
                Kill(frozenset({slot}), source.choice((0, 300, 2_000, 5_000))),
                Pause(slots, duration_ms),
                Claim(slot, source.randrange(size)),
                Cut(slots, source.random() < 0.5, duration_ms),
                Cut(slots, False, duration_ms, frozenset({source.randrange(size)})),
                StoreDown(duration_ms),
                StoreMute(duration_ms),
                Lossy(duration_ms),
                Slow(slot, source.choice((200, 1_000, 2_000)), duration_ms),
                Leave(slot, duration_ms),
                TakeOut(source.choice(PLACES), duration_ms),
                Hold(slot, duration_ms),
                Heat(source.randrange(1 << 64), duration_ms),
            )
        )
        schedule.append((at_ms, fault))
    return sorted(schedule, key=lambda pair: pair[0])
