"""Token bucket of an allocator: its part of an organisation's quota."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.traffic.organisations import Quota

# Latest time that an asker is told to come back. Later ones would leave credit unused
# once demand falls.
RETRY_MAX_MS = 500
# Credit returns within this time: the usual wait of a caller whose request isn't run.
RETURN_MAX_MS = 2_000


class Given(NamedTuple):
    """One credit was taken.

    Parameters
    ----------
    stamp_ms : int
        Time of the allocator; names the credit if it is given back.
    """

    stamp_ms: int


class Exhausted(NamedTuple):
    """There is no credit.

    Parameters
    ----------
    retry_after_ms : int
        Time until there is one for the asker.
    """

    retry_after_ms: int


@dataclass(slots=True)
class Allocation:
    """A token bucket of which unused credit can be given back.

    Parameters
    ----------
    part : Quota
        This allocator's part of the quota.
    updated_ms : int
        Time of ``level``.
    started_ms : int
        When it began, empty.
    peaks : deque of list
        Time and level of the last refills, the oldest first.
    promised_ms : int
        Latest time at which an asker was told to come back.
    level : float
        Credits in it.
    """

    part: Quota
    updated_ms: int
    started_ms: int
    peaks: deque[list] = field(default_factory=deque)
    promised_ms: int = 0
    level: float = 0.0


def make_allocation(part: Quota, now_ms: int) -> Allocation:
    """Return an empty bucket."""
    return Allocation(part, now_ms, now_ms)


def divide(quota: Quota, regions: int, spare: float = 0.0) -> tuple[Quota, int]:
    """Return the part of a quota that each allocator gets, and their number.

    ``spare`` is added to the burst: the requests of a small quota come less evenly than
    parts of its own burst allow.

    Examples
    --------
    >>> divide(Quota(90.0, 30.0), 3)
    (Quota(rate_per_s=30.0, burst=10.0), 3)
    >>> divide(Quota(1.0, 0.0), 3)
    (Quota(rate_per_s=1.0, burst=1.0), 1)
    >>> divide(Quota(3.0, 2.0), 3, spare=10.0)
    (Quota(rate_per_s=1.0, burst=4.0), 3)
    """
    total_burst = quota.burst + spare
    parts = max(1, min(regions, int(total_burst)))
    burst = max(1.0, total_burst / parts)
    return Quota(quota.rate_per_s / parts, burst), parts


def set_part(allocation: Allocation, part: Quota, now_ms: int) -> None:
    """Change the part; credit above the new burst is lost."""
    if part == allocation.part:
        return
    _refill(allocation, now_ms)
    allocation.part = part
    allocation.level = min(allocation.level, part.burst)


def take(allocation: Allocation, now_ms: int) -> Given | Exhausted:
    """Take one credit."""
    _refill(allocation, now_ms)
    if allocation.level >= 1:
        allocation.level -= 1
        return Given(now_ms)
    interval_ms = 1000 / allocation.part.rate_per_s
    due_ms = now_ms + math.ceil((1 - allocation.level) * interval_ms)
    promised_ms = max(due_ms, allocation.promised_ms + math.ceil(interval_ms))
    promised_ms = min(promised_ms, max(due_ms, now_ms + RETRY_MAX_MS))
    allocation.promised_ms = promised_ms
    return Exhausted(promised_ms - now_ms)


def give_back(allocation: Allocation, stamps_ms: Iterable[int], now_ms: int) -> None:
    """Take back credits of requests that have not run.

    A credit counts as far as the bucket would have had room for it ever since it was
    taken, so that no more can be taken than if it had stayed there.
    """
    _refill(allocation, now_ms)
    for stamp_ms in stamps_ms:
        oldest_ms = max(allocation.started_ms, now_ms - RETURN_MAX_MS)
        if not oldest_ms <= stamp_ms <= now_ms:
            continue
        since = [item for item in allocation.peaks if item[0] > stamp_ms]
        peak = max((level for _, level in since), default=allocation.level)
        room = allocation.part.burst - max(peak, allocation.level)
        added = min(1.0, max(0.0, room))
        allocation.level += added
        for item in since:
            item[1] += added


def _refill(allocation: Allocation, now_ms: int) -> None:
    passed_ms = max(0, now_ms - allocation.updated_ms)
    allocation.updated_ms += passed_ms
    gained = allocation.part.rate_per_s * passed_ms / 1000
    allocation.level = min(allocation.level + gained, allocation.part.burst)
    peaks = allocation.peaks
    if peaks and not passed_ms:
        return
    peaks.append([allocation.updated_ms, allocation.level])
    while peaks[0][0] < allocation.updated_ms - RETURN_MAX_MS:
        peaks.popleft()
