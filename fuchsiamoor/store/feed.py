"""A feed of the store's changes that one daemon keeps for others.

A few daemons of each region watch the store. They keep the changes of the last moments,
so that all others can follow the store without a call of their own.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiamoor.core import errors
from fuchsiamoor.store import port

# Answers of watches that are kept; a follower that is further behind asks the store.
BATCHES_MAX = 128


@dataclass(slots=True)
class Feed:
    """Changes in the order of their versions.

    Parameters
    ----------
    first_version : int
        Changes after this version are kept.
    last_version : int
        Version up to which the store was heard.
    is_open : bool
        Whether this daemon watches the store.
    batches : deque of Changes
    waiting : set of Future
    """

    first_version: int = 0
    last_version: int = 0
    is_open: bool = False
    batches: deque[port.Changes] = field(default_factory=deque)
    waiting: set[asyncio.Future] = field(default_factory=set)


def start(feed: Feed, version: int) -> None:
    """Keep changes from a version on, which drops what does not join it."""
    if feed.is_open and feed.last_version == version:
        return
    feed.batches.clear()
    feed.first_version = feed.last_version = version
    feed.is_open = True


def stop(feed: Feed) -> None:
    """Keep nothing more; those who wait are told at once."""
    feed.is_open = False
    _wake(feed)


def append(feed: Feed, changes: port.Changes) -> None:
    """Take in what a watch from the last version on has told.

    Examples
    --------
    >>> feed = Feed()
    >>> start(feed, 3)
    >>> append(feed, port.Changes(5, (port.Change("a", None),)))
    >>> list_after(feed, 3).version
    5
    """
    feed.last_version = changes.version
    if not changes.changes:
        return
    feed.batches.append(changes)
    if len(feed.batches) > BATCHES_MAX:
        feed.first_version = feed.batches.popleft().version
    _wake(feed)


def list_after(feed: Feed, version: int) -> port.Changes:
    """Return the kept changes after a version.

    Raises
    ------
    StoreUnavailableError
        If the feed is not kept, or does not reach back to that version.
    """
    if not feed.is_open or version < feed.first_version:
        raise errors.StoreUnavailableError(f"no feed after version {version}")
    found = [batch for batch in feed.batches if batch.version > version]
    return port.Changes(max(version, feed.last_version), tuple(_join(found)))


def _join(batches: Iterable[port.Changes]) -> Iterable[port.Change]:
    for batch in batches:
        yield from batch.changes


async def read(feed: Feed, version: int, wait_ms: int) -> port.Changes:
    """Return the changes after a version, waiting for one for some time.

    Raises
    ------
    StoreUnavailableError
        If the feed is not kept, or does not reach back to that version.
    """
    found = list_after(feed, version)
    if found.changes:
        return found
    waiter = asyncio.get_running_loop().create_future()
    feed.waiting.add(waiter)
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await waiter
    except TimeoutError:
        pass
    finally:
        feed.waiting.discard(waiter)
    return list_after(feed, version)


def _wake(feed: Feed) -> None:
    for waiter in feed.waiting:
        if not waiter.done():
            waiter.set_result(None)
