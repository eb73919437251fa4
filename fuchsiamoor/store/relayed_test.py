import asyncio
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import port, relayed
from fuchsiamoor.testing import transactional_store, virtual_time


def _make(call_peer=None):
    state = transactional_store.make_store_state(random.Random(0))
    own_client = transactional_store.StoreClient(state)
    peer_client = transactional_store.StoreClient(state)

    peer_store = relayed.RelayedStore(peer_client, None, virtual_time.now_ms)

    async def call_peer_store(call, timeout_ms):
        return await relayed.handle_call(peer_store, call)

    store = relayed.RelayedStore(
        own_client, call_peer or call_peer_store, virtual_time.now_ms
    )
    return state, own_client, peer_client, store


def test_every_call_can_be_relayed():
    async def scenario():
        state, own_client, _, store = _make()
        own_client.cut_until_ms = 60_000
        lease_id = await store.grant_lease(2_000)
        put = port.Put("a/b", b"v", lease_id)
        committed = await store.transact((port.Precondition("a/b", 0),), (put,))
        assert isinstance(committed, port.Committed)
        assert await store.transact((port.Precondition("a/b", 0),), (put,)) == (
            port.PreconditionFailed()
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
        return store.relayed_calls

    assert virtual_time.run(scenario()) == 11


def test_direct_calls_are_counted_by_kind_and_refused_ones_besides():
    async def scenario():
        _, own_client, _, store = _make()
        counts = Counter()
        store.count = lambda name: counts.update([name])
        await store.get("a")
        own_client.cut_until_ms = 60_000
        await store.get("a")
        await store.get("a")
        return counts

    assert virtual_time.run(scenario()) == {"store.call.get": 2, "store.refused.get": 1}


def test_direct_calls_resume_once_the_store_is_reachable():
    async def scenario():
        _, own_client, peer_client, store = _make()
        own_client.cut_until_ms = 500
        await store.get("a")
        await asyncio.sleep(1.5)
        peer_client.is_closed = True
        await store.get("a")

    virtual_time.run(scenario())


def test_peers_get_few_calls_while_no_daemon_reaches_the_store():
    peer_call_times_ms = []

    async def call_peer_store(call, timeout_ms):
        peer_call_times_ms.append(virtual_time.now_ms())
        raise errors.PeerUnreachableError("no peer")

    async def scenario():
        _, own_client, _, store = _make(call_peer_store)
        own_client.cut_until_ms = 60_000
        for _ in range(50):
            with pytest.raises(errors.StoreUnavailableError):
                await store.get("a")
            await asyncio.sleep(0.1)

    virtual_time.run(scenario())
    assert len(peer_call_times_ms) <= 8


def test_outcome_is_unknown_after_the_link_to_the_peer_is_lost():
    async def call_peer_store(call, timeout_ms):
        raise errors.PeerLinkLostError("lost")

    async def scenario():
        _, own_client, _, store = _make(call_peer_store)
        own_client.cut_until_ms = 60_000
        with pytest.raises(errors.StoreOutcomeUnknownError):
            await store.transact((), (port.Put("a", b""),))

    virtual_time.run(scenario())


def test_unknown_call_name_is_refused():
    with pytest.raises(ValueError, match="store call"):
        virtual_time.run(relayed.handle_call(None, messages.StoreCall("close", b"")))


@given(
    st.sampled_from(["done", "dated", "forgotten", "refused", "unknown", "other"]),
    st.sampled_from(["get", "list_prefix", "watch", "transact", "grant_lease"]),
    st.binary(max_size=40) | st.just(b"\x81" * 5_000),
)
def test_a_malformed_answer_of_a_peer_raises_only_store_errors(outcome, name, content):
    try:
        relayed.read_answer(name, messages.StoreAnswer(outcome, content))
    except errors.StoreError:
        pass


# A peer that answers for a daemon also tells it of the era.
def test_relayed_answers_name_the_era():
    async def scenario():
        state, own_client, _, store = _make()
        learned = []
        store.on_era = learned.append
        lease_id = await store.grant_lease(2_000)
        transactional_store.restore(state, transactional_store.take_copy(state))
        own_client.cut_until_ms = 60_000
        return await store.renew_lease(lease_id), learned

    assert virtual_time.run(scenario()) == (False, [1])


def test_a_relayed_answer_of_an_earlier_era_shows_nothing():
    async def scenario():
        _, own_client, _, store = _make()
        own_client.cut_until_ms = 60_000
        store.learn_era(1)
        await store.get("a")

    with pytest.raises(errors.StoreOutcomeUnknownError):
        virtual_time.run(scenario())
