import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.platform import store as stores
from fuchsiamoor.store import port
from fuchsiamoor.testing.scripted_server import make_answer, serve_script

CALLS = {
    "get": lambda store: store.get("a"),
    "list": lambda store: store.list_prefix("a"),
    "watch": lambda store: store.watch("a", 1, 10),
    "transact": lambda store: store.transact((), (port.Put("a", b""),)),
    "grant": lambda store: store.grant_lease(1_000),
}
MALFORMED = [
    b"[" * 100_000,
    b"[]",
    b"7",
    b'{"items": [7], "has_more": false, "at": 1}',
    b'{"at": 1, "events": [[]]}',
    b'{"at": 1, "events": ["x"]}',
    b'{"at": Infinity, "events": []}',
    b'{"revision": "x"}',
    b'{"revision": Infinity}',
    b'{"lease_id": Infinity}',
    b'{"key": "a", "value": "?", "revision": null}',
    b"\xff",
]


def ask(body, name):
    """Return what a call raises, or None, after an answer with this body."""

    async def play():
        async with serve_script([make_answer(200, body)]) as server:
            store = stores.make_store(Address(server.host, server.port), 2_000)
            try:
                await CALLS[name](store)
            except errors.StoreError as error:
                return error
            finally:
                store.close()
        return None

    return asyncio.run(play())


@pytest.mark.parametrize("body", MALFORMED)
@pytest.mark.parametrize("name", CALLS)
def test_a_malformed_answer_is_a_store_error(name, body):
    assert isinstance(ask(body, name), errors.StoreError)


GOOD = {"key": "b", "value": "aGk=", "revision": 5}
BAD_VALUES = ["?", "aGk", None, 5, [], "é"]


def ask_listing(*pages):
    """Return the keys of a listing whose pages have these items."""

    async def play():
        bodies = [
            json.dumps({"items": items, "has_more": has_more, "at": 9}).encode()
            for items, has_more in pages
        ]
        answers = [make_answer(200, body) for body in bodies]
        async with serve_script(answers) as server:
            store = stores.make_store(Address(server.host, server.port), 2_000)
            listing = await store.list_prefix("")
            store.close()
        return [entry.key for entry in listing.entries]

    return asyncio.run(play())


# One value that cannot be decoded made the whole listing fail, each time.
@pytest.mark.parametrize("value", BAD_VALUES)
def test_a_value_that_cannot_be_decoded_hides_no_other_item(value):
    bad = {"key": "a", "value": value, "revision": 4}
    assert ask_listing(([bad, GOOD], False)) == ["b"]
    assert ask_listing(([GOOD, bad], True), ([GOOD], False)) == ["b", "b"]
    assert ask_listing(([bad], True), ([GOOD], False)) == ["b"]


@pytest.mark.parametrize("value", BAD_VALUES)
def test_a_value_that_cannot_be_decoded_hides_no_other_change(value):
    bad = {"key": "a", "value": value, "revision": 4}
    gone = {"key": "c", "revision": 6, "deleted": True}

    async def play():
        body = json.dumps({"events": [bad, GOOD, gone], "at": 9}).encode()
        async with serve_script([make_answer(200, body)]) as server:
            store = stores.make_store(Address(server.host, server.port), 2_000)
            changes = await store.watch("", 1, 10)
            store.close()
        return [change.key for change in changes.changes], changes.version

    assert asyncio.run(play()) == (["b", "c"], 9)


json_values = st.recursive(
    st.none() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["items", "at", "events", "key", "value", "revision"]),
            inner,
        )
    ),
    max_leaves=8,
)


@given(json_values, st.sampled_from(sorted(CALLS)))
def test_no_answer_raises_anything_but_store_errors(document, name):
    ask(json.dumps(document).encode(), name)
