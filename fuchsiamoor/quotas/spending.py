"""What a daemon may run of an organisation's requests: its own share, and credits."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.traffic.organisations import Quota

# Credits that a daemon returns to one allocator with one question.
RETURNED_MAX = 32


class Tolerance(NamedTuple):
    """By how much all daemons together may exceed a quota in any window.

    Parameters
    ----------
    window_ms : int
    ratio : float
        Share of the quota.
    spare : float
        Requests in addition.
    """

    window_ms: int
    ratio: float
    spare: float


class Credit(NamedTuple):
    """The right to run one request.

    Parameters
    ----------
    source : str
        Allocator, with its process; empty for the daemon's own share.
    stamp_ms : int
        Time of the allocator at which it was given.
    taken_ms : int
        Time of this daemon at which it was asked for.
    """

    source: str
    stamp_ms: int
    taken_ms: int


@dataclass(slots=True)
class Spending:
    """State of one organisation at one daemon.

    Parameters
    ----------
    own_uses_ms : deque of int
        When requests of the daemon's own share ran, of the last window.
    kept : list of Credit
        Credits of requests that have not run.
    closed_until_ms : dict of str to int
        Time until which each allocator is not asked, by instance.
    """

    own_uses_ms: deque[int] = field(default_factory=deque)
    kept: list[Credit] = field(default_factory=list)
    closed_until_ms: dict[str, int] = field(default_factory=dict)


def count_own_share(
    quota: Quota, tolerance: Tolerance, position: int | None, daemons: int
) -> int:
    """Return how many requests a daemon may run in a window without asking.

    All daemons together get a quarter of the tolerance, in the order of the ring.

    Examples
    --------
    >>> tolerance = Tolerance(5_000, 0.1, 20)
    >>> [count_own_share(Quota(92, 92), tolerance, i, 60) for i in (0, 15, 16)]
    [1, 1, 0]
    >>> count_own_share(Quota(92, 92), Tolerance(5_000, 0.0, 0), 0, 60)
    0
    """
    if position is None:
        return 0
    expected = quota.rate_per_s * tolerance.window_ms / 1000
    total = math.floor((expected * tolerance.ratio + tolerance.spare) / 4)
    return total // daemons + (position < total % daemons)


def compute_spare_burst(tolerance: Tolerance) -> float:
    """Return what is added to the burst of all allocators: half of the spare requests.

    With the own shares and the kept credits, all stays within the tolerance.
    """
    return tolerance.spare / 2


def compute_keep_ms(tolerance: Tolerance) -> int:
    """Return for how long a credit may serve another request than it was given for.

    What so moves into a window is at most what the rate gives in this time: half of the
    tolerated ratio.
    """
    return int(tolerance.window_ms * tolerance.ratio / 2)


def take_kept(spending: Spending, tolerance: Tolerance, now_ms: int) -> Credit | None:
    """Take the latest kept credit if it is still good here."""
    if not spending.kept:
        return None
    if spending.kept[-1].taken_ms < now_ms - compute_keep_ms(tolerance):
        return None
    return spending.kept.pop()


def take_own(
    spending: Spending, share: int, tolerance: Tolerance, now_ms: int
) -> Credit | None:
    """Take a credit of the daemon's own share of this many requests in a window."""
    uses_ms = spending.own_uses_ms
    while uses_ms and uses_ms[0] < now_ms - tolerance.window_ms:
        uses_ms.popleft()
    if len(uses_ms) >= share:
        return None
    uses_ms.append(now_ms)
    return Credit("", 0, now_ms)


def give_back(spending: Spending, credit: Credit) -> None:
    """Keep the credit of a request that has not run."""
    if credit.source:
        spending.kept.append(credit)
    elif credit.taken_ms in spending.own_uses_ms:
        spending.own_uses_ms.remove(credit.taken_ms)


def take_returns(spending: Spending, source: str) -> tuple[int, ...]:
    """Remove kept credits of an allocator that are to be returned; give their stamps.

    Those of an allocator that is never asked again are dropped one by one.
    """
    returned = [credit for credit in spending.kept if credit.source == source]
    returned = returned[:RETURNED_MAX]
    others = [credit for credit in spending.kept if credit.source != source]
    spending.kept = others[-RETURNED_MAX:]
    return tuple(credit.stamp_ms for credit in returned)


def close(spending: Spending, allocator: str, until_ms: int) -> None:
    """Do not ask an allocator until then."""
    spending.closed_until_ms[allocator] = until_ms


def list_open(spending: Spending, allocators: Iterable[str], now_ms: int) -> list[str]:
    """Return the allocators that may be asked, in the given order."""
    closed = spending.closed_until_ms
    return [found for found in allocators if closed.get(found, 0) <= now_ms]


def find_reopening_ms(
    spending: Spending, allocators: Iterable[str], now_ms: int
) -> int:
    """Return the time until the first allocator may be asked again."""
    times = [spending.closed_until_ms.get(found, 0) for found in allocators]
    return max(1, min(times, default=now_ms) - now_ms)
