"""Buffer of the store's recent changes, kept by a watcher for its followers.

A few daemons of each region, the watchers, watch the store. The other daemons, the
followers, read the changes from a watcher's feed and need no call to the store.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiamoor.core import errors
from fuchsiamoor.store import eras, port

# Number of watch results kept; a follower that is further behind asks the store.
BATCHES_MAX = 128


@dataclass(slots=True)
class Feed:
    """Recent changes in the order of their versions.

    Parameters
    ----------
    first_version : int
        All changes after this version are in the buffer.
    last_version : int
        Version up to which the changes were received.
    is_open : bool
        Whether this daemon watches the store.
    batches : deque of Changes
        The results of the last watches that had changes.
    waiters : set of Future
        Completed when a change arrives or the feed stops.
    """

    first_version: int = 0
    last_version: int = 0
    is_open: bool = False
    batches: deque[port.Changes] = field(default_factory=deque)
    waiters: set[asyncio.Future] = field(default_factory=set)


def start(feed: Feed, version: int) -> None:
    """Start at a version; keep earlier changes only if they end at that version."""
    if feed.is_open and feed.last_version == version:
        return
    feed.batches.clear()
    feed.first_version = feed.last_version = version
    feed.is_open = True


def stop(feed: Feed) -> None:
    """Stop the feed and wake all waiters."""
    feed.is_open = False
    _wake(feed)


def append(feed: Feed, changes: port.Changes) -> None:
    """Append the result of a watch that started at the last version.

    Examples
    --------
    >>> feed = Feed()
    >>> start(feed, 3)
    >>> append(feed, port.Changes(5, (port.Change("a", None),)))
    >>> list_after(feed, 3).version
    5
    """
    if eras.era_of(changes.version) != eras.era_of(feed.last_version):
        stop(feed)
        return
    feed.last_version = changes.version
    if not changes.changes:
        return
    feed.batches.append(changes)
    if len(feed.batches) > BATCHES_MAX:
        feed.first_version = feed.batches.popleft().version
    _wake(feed)


def list_after(feed: Feed, version: int) -> port.Changes:
    """Return the buffered changes after a version.

    If that is of an earlier era, nothing is returned but a version of the new one.

    Raises
    ------
    StoreUnavailableError
        If the feed is stopped, or no longer has all changes since that version.
    """
    era, own_era = eras.era_of(version), eras.era_of(feed.last_version)
    if feed.is_open and era < own_era:
        return port.Changes(feed.last_version, ())
    if not feed.is_open or version < feed.first_version or era > own_era:
        raise errors.StoreUnavailableError(
            f"feed has no history since version {version}"
        )
    batches = [batch for batch in feed.batches if batch.version > version]
    return port.Changes(max(version, feed.last_version), tuple(_join(batches)))


def _join(batches: Iterable[port.Changes]) -> Iterable[port.Change]:
    for batch in batches:
        yield from batch.changes


async def read(feed: Feed, version: int, wait_ms: int) -> port.Changes:
    """Return the changes after a version; wait up to ``wait_ms`` if there is none.

    Raises
    ------
    StoreUnavailableError
        If the feed is stopped, or no longer has all changes since that version.
    """
    changes = list_after(feed, version)
    if changes.changes or eras.era_of(changes.version) != eras.era_of(version):
        return changes
    waiter = asyncio.get_running_loop().create_future()
    feed.waiters.add(waiter)
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await waiter
    except TimeoutError:
        pass
    finally:
        feed.waiters.discard(waiter)
    return list_after(feed, version)


def _wake(feed: Feed) -> None:
    for waiter in feed.waiters:
        if not waiter.done():
            waiter.set_result(None)
