"""Entries of the store that another writer made, at a daemon of our own deployments."""

import asyncio

import cbor2
import pytest

from fuchsiamoor.daemon import registration, state_sync, store_watch
from fuchsiamoor.documents import stored
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.peers import codec
from fuchsiamoor.store import port
from fuchsiamoor.testing import fake_store, ownership_data
from fuchsiamoor.testing.members_data import make_member
from fuchsiamoor.testing.node_data import make_node

NESTED = b"\x81" * 100_000 + b"\x00"
TABLE = cbor2.loads(tables_codec.encode_table(ownership_data.make_table(("",))))
MEMBER = codec.encode_member(make_member("a-2"))


def replace(fields, index, value):
    """Return a list with one item replaced, in CBOR."""
    return cbor2.dumps([*fields[:index], value, *fields[index + 1 :]])


ODD_ENTRIES = [
    *(("members/a-3", value) for value in (b"", b"?", NESTED, MEMBER)),
    *(
        ("members/a-3", replace(cbor2.loads(MEMBER), index, {}))
        for index in range(len(cbor2.loads(MEMBER)))
    ),
    *(
        ("domains/odd/table", replace(TABLE, index, [[]]))
        for index in (1, 2, 3, 4, 5, 6, 8, 10, 11, 12, 14, 15)
    ),
    ("domains/odd/table", NESTED),
    *((stored.CONFIGURATION_KEY, value) for value in (b"[]", b"{}", b"[" * 100_000)),
]


# One entry with fields of other types ended each reading of the store, so that a
# daemon neither got a configuration nor learned of others.
@pytest.mark.parametrize(("key", "value"), ODD_ENTRIES)
def test_an_odd_entry_does_not_keep_a_daemon_from_reading_the_store(key, value):
    store = fake_store.FakeStore(fake_store.VirtualClock())

    async def play():
        await store.swap(key, port.ABSENT, value)
        await store.swap("members/a-2", port.ABSENT, MEMBER)
        node = make_node(store)
        await state_sync.read_store(node)
        return node

    node = asyncio.run(play())
    assert set(node.cluster_state.directory.by_instance) == {"a-2"}
    assert node.cluster_state.tables == {}


def test_an_odd_registration_changes_nothing_of_its_instance():
    store = fake_store.FakeStore(fake_store.VirtualClock())

    async def play():
        node = make_node(store)
        swapped = await store.swap("members/a-2", port.ABSENT, MEMBER)
        await state_sync.read_store(node)
        known = dict(node.cluster_state.directory.by_instance)
        await store.swap("members/a-2", swapped.version, b"?")
        await state_sync.read_store(node)
        entry = await store.get("members/a-2")
        change = port.Change(entry.key, entry)
        store_watch._apply_registration(node, change, entry.version)
        return known == node.cluster_state.directory.by_instance and known

    assert set(asyncio.run(play())) == {"a-2"}


def test_a_daemon_replaces_an_odd_entry_in_place_of_its_registration():
    store = fake_store.FakeStore(fake_store.VirtualClock())

    async def play():
        await store.swap("members/a-1", port.ABSENT, NESTED)
        node = make_node(store)
        await registration.register(node)
        entry = await store.get("members/a-1")
        return codec.decode_member(entry.value).member_id == node.member.member_id

    assert asyncio.run(play())
