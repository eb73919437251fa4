import asyncio

import pytest

from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.store import port
from fuchsiamoor.testing import fake_store


def run(scenario):
    store = fake_store.make_fake_store()
    asyncio.run(scenario(store))


def test_swap_requires_the_expected_version():
    async def scenario(store):
        assert await store.swap("a", port.ABSENT, b"1") == port.Swapped(1)
        entry = port.Entry("a", b"1", 1)
        assert await store.swap("a", port.ABSENT, b"2") == port.Conflict(entry)
        assert await store.swap("a", 1, b"2") == port.Swapped(2)
        assert await store.delete("a", 1) == port.Conflict(port.Entry("a", b"2", 2))
        assert await store.delete("a", 2) == port.Swapped(3)
        assert await store.get("a") is None

    run(scenario)


def test_write_takes_effect_if_only_its_answer_is_lost():
    async def scenario(store):
        store.is_down = True
        with pytest.raises(StoreUnavailableError):
            await store.swap("a", 0, b"1")
        store.is_down = False
        store.lost_answers = 1
        with pytest.raises(StoreOutcomeUnknownError):
            await store.swap("a", 0, b"1")
        assert (await store.get("a")).value == b"1"

    run(scenario)


def test_expired_lease_deletes_its_keys():
    async def scenario(store):
        lease_id = await store.grant_lease(100)
        await store.swap("a", 0, b"1", lease_id)
        await fake_store.advance(store.clock, 99)
        assert await store.renew_lease(lease_id)
        await fake_store.advance(store.clock, 99)
        assert await store.get("a") is not None
        await fake_store.advance(store.clock, 1)
        assert await store.get("a") is None
        assert not await store.renew_lease(lease_id)
        assert await store.swap("a", 0, b"1", lease_id) == port.Conflict(None)

    run(scenario)


def test_watch_reports_changes_and_expired_keys_under_its_prefix():
    async def scenario(store):
        lease_id = await store.grant_lease(10)
        await store.swap("p/a", 0, b"1", lease_id)
        await store.swap("q", 0, b"1")
        watch = asyncio.create_task(store.watch("p/", 2, 1000))
        await fake_store.advance(store.clock, 11)
        assert await watch == port.Changes(3, (port.Change("p/a", None),))
        empty = asyncio.create_task(store.watch("p/", 3, 5))
        await fake_store.advance(store.clock, 5)
        assert await empty == port.Changes(3, ())
        store.history_from = 2
        with pytest.raises(StoreHistoryLostError):
            await store.watch("p/", 1, 0)

    run(scenario)


def test_write_takes_effect_after_the_call_delay():
    async def scenario(store):
        store.delay_ms, store.answer_delay_ms = 10, 20
        write = asyncio.create_task(store.swap("a", 0, b"1"))
        await fake_store.advance(store.clock, 9)
        assert store.entries == {}
        await fake_store.advance(store.clock, 1)
        assert "a" in store.entries and not write.done()
        await fake_store.advance(store.clock, 20)
        assert await write == port.Swapped(1)

    run(scenario)
