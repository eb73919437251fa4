import asyncio
import random

import pytest

from fuchsiamoor.core import errors
from fuchsiamoor.store import port, relayed
from fuchsiamoor.testing import transactional_store, virtual_time


def _make(call_peer=None):
    state = transactional_store.make_store_state(random.Random(0))
    own = transactional_store.StoreClient(state)
    peer = transactional_store.StoreClient(state)

    async def ask_peer(call, timeout_ms):
        return await relayed.answer_call(peer, call)

    store = relayed.RelayedStore(own, call_peer or ask_peer, virtual_time.now_ms)
    return state, own, peer, store


def test_every_call_works_through_a_peer():
    async def play():
        state, own, _, store = _make()
        own.cut_until_ms = 60_000
        lease_id = await store.grant_lease(2_000)
        put = port.Put("a/b", b"v", lease_id)
        committed = await store.transact((port.Expectation("a/b", 0),), (put,))
        assert isinstance(committed, port.Committed)
        assert await store.transact((port.Expectation("a/b", 0),), (put,)) == (
            port.NotExpected()
        )
        assert (await store.get("a/b")).value == b"v"
        assert await store.get("nothing") is None
        listing = await store.list_prefix("a/")
        assert [entry.key for entry in listing.entries] == ["a/b"]
        assert await store.renew_lease(lease_id)
        await store.revoke_lease(lease_id)
        assert not await store.renew_lease(lease_id)
        changes = await store.watch("a/", committed.version - 1, 5_000)
        assert [change.entry is None for change in changes.changes] == [False, True]
        transactional_store.compact_history(state)
        with pytest.raises(errors.StoreHistoryLostError):
            await store.watch("a/", 0, 5_000)
        return store.relayed

    assert virtual_time.run(play()) == 11


def test_the_own_way_is_taken_again_once_it_is_open():
    async def play():
        _, own, peer, store = _make()
        own.cut_until_ms = 500
        await store.get("a")
        await asyncio.sleep(1.5)
        peer.is_closed = True
        await store.get("a")

    virtual_time.run(play())


def test_while_the_store_serves_nobody_peers_are_asked_seldom():
    asked = []

    async def ask_peer(call, timeout_ms):
        asked.append(virtual_time.now_ms())
        raise errors.PeerUnreachableError("nobody")

    async def play():
        _, own, _, store = _make(ask_peer)
        own.cut_until_ms = 60_000
        for _ in range(50):
            with pytest.raises(errors.StoreUnavailableError):
                await store.get("a")
            await asyncio.sleep(0.1)

    virtual_time.run(play())
    assert len(asked) <= 8


def test_a_peer_that_is_lost_leaves_the_outcome_unknown():
    async def ask_peer(call, timeout_ms):
        raise errors.PeerLinkLostError("lost")

    async def play():
        _, own, _, store = _make(ask_peer)
        own.cut_until_ms = 60_000
        with pytest.raises(errors.StoreOutcomeUnknownError):
            await store.transact((), (port.Put("a", b""),))

    virtual_time.run(play())


def test_a_call_of_another_name_is_refused():
    with pytest.raises(ValueError, match="store call"):
        virtual_time.run(
            relayed.answer_call(None, relayed.messages.StoreCall("close", b""))
        )
