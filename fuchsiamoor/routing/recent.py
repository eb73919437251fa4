"""Recent: requests known by name, so that a repeat is answered and not run again.

Bounded in number, bytes and time. A name is a request id or an idempotency key.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.requests import Answer


class Remembered(NamedTuple):
    """An ending.

    Parameters
    ----------
    answer : Answer
    attempt : int
        Of the sending that ended so.
    fingerprint : int
        Hash of what was asked.
    ended_ms : int
    """

    answer: Answer
    attempt: int
    fingerprint: int
    ended_ms: int


@dataclass(slots=True)
class Memory:
    """Endings by name, oldest first."""

    count_max: int
    size_bytes_max: int
    keep_ms: int
    endings: OrderedDict[Hashable, Remembered] = field(default_factory=OrderedDict)
    size_bytes: int = 0


def make_memory(count_max: int, size_bytes_max: int, keep_ms: int) -> Memory:
    """Return a memory of nothing."""
    return Memory(count_max, size_bytes_max, keep_ms)


def remember(memory: Memory, name: Hashable, ending: Remembered) -> None:
    """Keep an ending in place of an earlier one, and drop what is over the limits.

    Examples
    --------
    >>> from fuchsiamoor.testing import requests_data
    >>> memory = make_memory(count_max=1, size_bytes_max=100, keep_ms=1_000)
    >>> remember(memory, "a", Remembered(requests_data.make_answer("a"), 1, 0, 0))
    >>> remember(memory, "b", Remembered(requests_data.make_answer("b"), 1, 0, 0))
    >>> list(memory.endings)
    ['b']
    """
    _drop(memory, name)
    memory.endings[name] = ending
    memory.size_bytes += _size_bytes(ending)
    _drop_expired(memory, ending.ended_ms)
    while memory.endings and (
        len(memory.endings) > memory.count_max
        or memory.size_bytes > memory.size_bytes_max
    ):
        _drop(memory, next(iter(memory.endings)))


def recall(memory: Memory, name: Hashable, now_ms: int) -> Remembered | None:
    """Return the ending kept under a name, None if there is none."""
    ending = memory.endings.get(name)
    if ending is None or ending.ended_ms + memory.keep_ms <= now_ms:
        return None
    return ending


def _drop(memory: Memory, name: Hashable) -> None:
    ending = memory.endings.pop(name, None)
    if ending is not None:
        memory.size_bytes -= _size_bytes(ending)


def _drop_expired(memory: Memory, now_ms: int) -> None:
    while memory.endings:
        name, ending = next(iter(memory.endings.items()))
        if ending.ended_ms + memory.keep_ms > now_ms:
            return
        _drop(memory, name)


def _size_bytes(ending: Remembered) -> int:
    headers = ending.answer.headers
    return len(ending.answer.body) + sum(len(n) + len(v) for n, v in headers)
