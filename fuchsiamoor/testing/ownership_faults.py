"""Faults injected into a simulated ownership domain, and random fault schedules.

A slot is the position of a daemon in the simulation; a restarted daemon keeps it.
"""

import random
from typing import NamedTuple

DATA_CENTRES = ("almaty-1", "almaty-2", "astana-1", "astana-2") * 2


class Kill(NamedTuple):
    """The daemons on some slots crash; new ones start there later."""

    slots: frozenset[int]
    restart_after_ms: int


class DuplicateInstance(NamedTuple):
    """A second daemon with the instance name of ``slot`` starts on ``runs_on``."""

    slot: int
    runs_on: int


class Pause(NamedTuple):
    """The daemons on some slots are suspended while their clocks run on."""

    slots: frozenset[int]
    duration_ms: int


class Cut(NamedTuple):
    """A network partition between ``slots`` and ``others``, in both directions.

    An empty ``others`` means all slots outside ``slots``. With ``store``, the
    daemons on ``slots`` cannot reach the store either.
    """

    slots: frozenset[int]
    store: bool
    duration_ms: int
    others: frozenset[int] = frozenset()


class StoreDown(NamedTuple):
    """Every call to the store fails without effect."""

    duration_ms: int


class StoreAnswersLost(NamedTuple):
    """Calls to the store take effect late, and most of the answers are lost."""

    duration_ms: int


class UnreliableLinks(NamedTuple):
    """Messages between daemons are lost, delayed and duplicated."""

    duration_ms: int


class SlowLinks(NamedTuple):
    """Messages to a slot are delayed."""

    slot: int
    delay_ms: int
    duration_ms: int


class Leave(NamedTuple):
    """The member on a slot reports that it is leaving, and later that it is not."""

    slot: int
    duration_ms: int


class TakeOut(NamedTuple):
    """Operators take a data centre out of service and bring it back."""

    data_centre: str
    duration_ms: int


class Hold(NamedTuple):
    """An override holds all keys to one instance until it is removed."""

    slot: int
    duration_ms: int


class HotKey(NamedTuple):
    """One key has a high request rate for a time."""

    key_hash: int
    duration_ms: int


Fault = (
    Kill
    | DuplicateInstance
    | Pause
    | Cut
    | StoreDown
    | StoreAnswersLost
    | UnreliableLinks
    | SlowLinks
    | Leave
    | TakeOut
    | Hold
    | HotKey
)
Schedule = list[tuple[int, Fault]]


def draw_schedule(source: random.Random, size: int, until_ms: int) -> Schedule:
    """Return a schedule of one to six random faults, ordered by time."""
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
                DuplicateInstance(slot, source.randrange(size)),
                Cut(slots, source.random() < 0.5, duration_ms),
                Cut(slots, False, duration_ms, frozenset({source.randrange(size)})),
                StoreDown(duration_ms),
                StoreAnswersLost(duration_ms),
                UnreliableLinks(duration_ms),
                SlowLinks(slot, source.choice((200, 1_000, 2_000)), duration_ms),
                Leave(slot, duration_ms),
                TakeOut(source.choice(DATA_CENTRES), duration_ms),
                Hold(slot, duration_ms),
                HotKey(source.randrange(1 << 64), duration_ms),
            )
        )
        schedule.append((at_ms, fault))
    return sorted(schedule, key=lambda pair: pair[0])
