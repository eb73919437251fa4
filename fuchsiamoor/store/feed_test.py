import asyncio

import pytest

from fuchsiamoor.core import errors
from fuchsiamoor.store import eras, port
from fuchsiamoor.store import feed as feeds
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


def test_follower_gets_all_changes_after_its_version():
    feed = make_feed(11, 13, 15)
    assert list_keys(feeds.list_after(feed, 11)) == ["k13", "k15"]
    assert feeds.list_after(feed, 11).version == 15


def test_version_of_a_follower_ahead_of_the_feed_does_not_go_back():
    assert feeds.list_after(make_feed(11), 20) == port.Changes(20, ())


def test_version_older_than_the_feed_is_unavailable():
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(make_feed(11), 9)
    long = make_feed(*range(11, 12 + feeds.BATCHES_MAX))
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(long, 10)
    assert len(feeds.list_after(long, 11).changes) == feeds.BATCHES_MAX


def test_interrupted_feed_drops_earlier_changes():
    feed = make_feed(11)
    feeds.stop(feed)
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(feed, 11)
    feeds.start(feed, 14)
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(feed, 11)


def test_watch_from_the_last_version_keeps_earlier_changes():
    feed = make_feed(11)
    feeds.start(feed, 11)
    assert list_keys(feeds.list_after(feed, 10)) == ["k11"]


def test_waiting_readers_are_woken_by_a_change_and_by_the_stop():
    async def scenario():
        feed = make_feed()
        first = asyncio.ensure_future(feeds.read(feed, 10, 5_000))
        await asyncio.sleep(1)
        feeds.append(feed, make_batch(12))
        changes = await first
        second = asyncio.ensure_future(feeds.read(feed, 12, 5_000))
        await asyncio.sleep(1)
        feeds.stop(feed)
        with pytest.raises(errors.StoreUnavailableError):
            await second
        return changes.version

    assert virtual_time.run(scenario()) == 12


def test_a_follower_of_an_earlier_era_learns_of_the_new_one_without_waiting():
    feed, version = feeds.Feed(), eras.make_version(2, 4)
    feeds.start(feed, version)
    started_ms = virtual_time.run(_read_at_once(feed, eras.make_version(1, 90)))
    assert started_ms == (port.Changes(version, ()), 0)


async def _read_at_once(feed, version):
    changes = await feeds.read(feed, version, 500)
    return changes, virtual_time.now_ms()


def test_a_follower_that_is_ahead_by_an_era_asks_elsewhere():
    feed = make_feed(11)
    with pytest.raises(errors.StoreUnavailableError):
        feeds.list_after(feed, eras.make_version(1, 2))


# Changes of the new era do not follow on those of the earlier one.
def test_a_feed_stops_at_a_change_of_era_until_the_store_is_listed_again():
    feed = make_feed(11)
    feeds.append(feed, make_batch(eras.make_version(1, 2)))
    assert not feed.is_open
    feeds.start(feed, eras.make_version(1, 2))
    assert list_keys(feeds.list_after(feed, eras.make_version(1, 2))) == []
