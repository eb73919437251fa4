import asyncio

import pytest

from fuchsiamoor.core import errors
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port
from fuchsiamoor.testing import virtual_time


def make_batch(version, key="a"):
    return port.Changes(version, (port.Change(key, port.Entry(key, b"", version)),))


def make_feed(*versions):
    feed = feeds.Feed()
    feeds.start(feed, 10)
    for version in versions:
        feeds.append(feed, make_batch(version, f"k{version}"))
    return feed


def list_keys(changes):
    return [change.key for change in changes.changes]


def test_a_follower_is_told_all_that_came_after_what_it_knows():
    feed = make_feed(11, 13, 15)
    assert list_keys(feeds.list_after(feed, 11)) == ["k13", "k15"]
    assert feeds.list_after(feed, 11).version == 15


def test_a_follower_that_knows_more_is_not_set_back():
    assert feeds.list_after(make_feed(11), 20) == port.Changes(20, ())


def test_one_that_is_further_behind_than_the_feed_has_to_ask_the_store():
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(make_feed(11), 9)
    long = make_feed(*range(11, 12 + feeds.BATCHES_MAX))
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(long, 10)
    assert len(feeds.list_after(long, 11).changes) == feeds.BATCHES_MAX


def test_a_feed_that_was_interrupted_starts_anew():
    feed = make_feed(11)
    feeds.stop(feed)
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(feed, 11)
    feeds.start(feed, 14)
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(feed, 11)


def test_a_watch_that_goes_on_where_the_last_ended_keeps_the_feed():
    feed = make_feed(11)
    feeds.start(feed, 11)
    assert list_keys(feeds.list_after(feed, 10)) == ["k11"]


def test_those_who_wait_are_woken_by_a_change_and_by_the_end():
    async def play():
        feed = make_feed()
        first = asyncio.ensure_future(feeds.read(feed, 10, 5_000))
        await asyncio.sleep(1)
        feeds.append(feed, make_batch(12))
        told = await first
        second = asyncio.ensure_future(feeds.read(feed, 12, 5_000))
        await asyncio.sleep(1)
        feeds.stop(feed)
        with pytest.raises(errors.StoreUnavailableError):
            await second
        return told.version

    assert virtual_time.run(play()) == 12
