"""Answer cache: answers to recent requests, so that a repeat does not run again.

Answers are cached by request id or by idempotency key. The cache is bounded in number,
bytes and time.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.requests import Answer


class CachedAnswer(NamedTuple):
    """The answer to an earlier request.

    Parameters
    ----------
    answer : Answer
    attempt : int
        Number of the attempt that it answers.
    fingerprint : int
        Hash of the request, by which a different request under the same name shows.
    ended_ms : int
    """

    answer: Answer
    attempt: int
    fingerprint: int
    ended_ms: int


@dataclass(slots=True)
class AnswerCache:
    """Answers by request id or idempotency key, oldest first.

    Parameters
    ----------
    count_max : int
    size_bytes_max : int
        Largest total size of bodies and headers.
    keep_ms : int
        Time for which an answer is kept.
    answers : OrderedDict
    size_bytes : int
        Total size of bodies and headers.
    """

    count_max: int
    size_bytes_max: int
    keep_ms: int
    answers: OrderedDict[Hashable, CachedAnswer] = field(default_factory=OrderedDict)
    size_bytes: int = 0


def make_answer_cache(count_max: int, size_bytes_max: int, keep_ms: int) -> AnswerCache:
    """Return an empty cache."""
    return AnswerCache(count_max, size_bytes_max, keep_ms)


def store(cache: AnswerCache, name: Hashable, cached: CachedAnswer) -> None:
    """Store an answer in place of an earlier one, and evict the oldest over the limits.

    Examples
    --------
    >>> from fuchsiamoor.testing import requests_data
    >>> cache = make_answer_cache(count_max=1, size_bytes_max=100, keep_ms=1_000)
    >>> store(cache, "a", CachedAnswer(requests_data.make_answer("a"), 1, 0, 0))
    >>> store(cache, "b", CachedAnswer(requests_data.make_answer("b"), 1, 0, 0))
    >>> list(cache.answers)
    ['b']
    """
    _evict(cache, name)
    cache.answers[name] = cached
    cache.size_bytes += _size_bytes(cached)
    _evict_expired(cache, cached.ended_ms)
    while cache.answers and (
        len(cache.answers) > cache.count_max or cache.size_bytes > cache.size_bytes_max
    ):
        _evict(cache, next(iter(cache.answers)))


def find(cache: AnswerCache, name: Hashable, now_ms: int) -> CachedAnswer | None:
    """Return the answer stored under a name, None if there is none or it expired."""
    cached = cache.answers.get(name)
    if cached is None or cached.ended_ms + cache.keep_ms <= now_ms:
        return None
    return cached


def _evict(cache: AnswerCache, name: Hashable) -> None:
    cached = cache.answers.pop(name, None)
    if cached is not None:
        cache.size_bytes -= _size_bytes(cached)


def _evict_expired(cache: AnswerCache, now_ms: int) -> None:
    while cache.answers:
        name, cached = next(iter(cache.answers.items()))
        if cached.ended_ms + cache.keep_ms > now_ms:
            return
        _evict(cache, name)


def _size_bytes(cached: CachedAnswer) -> int:
    headers = cached.answer.headers
    return len(cached.answer.body) + sum(len(n) + len(v) for n, v in headers)
