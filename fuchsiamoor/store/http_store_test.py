import asyncio
import base64
import json

import pytest

from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.store import http_store, port
from fuchsiamoor.testing.scripted_server import make_answer, serve_script

WRITES = [
    lambda store: store.swap("a", 0, b"1"),
    lambda store: store.delete("a", 1),
    lambda store: store.grant_lease(100),
    lambda store: store.renew_lease("l"),
    lambda store: store.revoke_lease("l"),
]
READS = [
    lambda store: store.get("a"),
    lambda store: store.list_prefix("a"),
    lambda store: store.watch("a", 1, 10),
]


def json_answer(body, status=200):
    return make_answer(status, json.dumps(body).encode())


def run(script, scenario, timeout_ms=2000):
    """Run a scenario against a server that answers each request by the next step."""

    async def body():
        async with serve_script(script) as server:
            store = http_store.make_http_store(f"http://{server.netloc}", timeout_ms)
            try:
                return await scenario(store), server
            finally:
                await store.aclose()

    return asyncio.run(body())


ENTRY = {"key": "a", "value": base64.b64encode(b"\0x").decode(), "version": 7}
READ_ENTRY = port.Entry("a", b"\0x", 7)


@pytest.mark.parametrize(
    "call, answer, expected",
    [
        (READS[0], {"entry": ENTRY}, READ_ENTRY),
        (READS[0], {"entry": None}, None),
        (READS[1], {"version": 9, "entries": [ENTRY]}, port.Listing(9, (READ_ENTRY,))),
        (WRITES[0], {"swapped": True, "version": 8}, port.Swapped(8)),
        (WRITES[0], {"swapped": False, "current": ENTRY}, port.Conflict(READ_ENTRY)),
        (WRITES[1], {"swapped": False, "current": None}, port.Conflict(None)),
        (
            READS[2],
            {"version": 9, "changes": [{"key": "b", "entry": None}]},
            port.Changes(9, (port.Change("b", None),)),
        ),
        (WRITES[2], {"lease_id": "l-1"}, "l-1"),
        (WRITES[3], {"alive": False}, False),
        (WRITES[4], {}, None),
    ],
)
def test_answers_are_parsed(call, answer, expected):
    found, _ = run([json_answer(answer)], call)
    assert found == expected


def test_swap_sends_the_body_of_the_protocol():
    _, server = run([json_answer({"swapped": True, "version": 1})], WRITES[0])
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /v1/swap HTTP/1.1")
    assert json.loads(body) == {
        "key": "a",
        "expected_version": 0,
        "value": "MQ==",
        "lease_id": "",
    }


@pytest.mark.parametrize("call", WRITES)
@pytest.mark.parametrize(
    "step",
    [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{", json_answer({}, 500)]
    + [make_answer(200, b"not json"), json_answer([])],
    ids=["closed", "truncated", "500", "garbage", "shape"],
)
def test_write_without_a_complete_answer_has_an_unknown_outcome(call, step):
    async def scenario(store):
        with pytest.raises(StoreOutcomeUnknownError):
            await call(store)

    _, server = run([step, json_answer({})], scenario)
    assert len(server.requests) == 1


@pytest.mark.parametrize("call", READS)
@pytest.mark.parametrize("step", [b"", make_answer(200, b"x"), json_answer({}, 500)])
def test_failed_read_is_unavailable(call, step):
    async def scenario(store):
        with pytest.raises(StoreUnavailableError):
            await call(store)

    run([step], scenario)


@pytest.mark.parametrize("call", WRITES + READS)
def test_status_503_and_refused_connection_are_unavailable(call):
    async def scenario(store):
        with pytest.raises(StoreUnavailableError):
            await call(store)

    run([json_answer({}, 503)], scenario)

    async def body():
        async with serve_script([]) as server:
            netloc = server.netloc
        store = http_store.make_http_store(f"http://{netloc}", 1000)
        await scenario(store)
        await store.aclose()

    asyncio.run(body())


def test_no_answer_in_time_is_unknown_for_writes_and_unavailable_for_reads():
    async def scenario(store):
        with pytest.raises(StoreOutcomeUnknownError):
            await WRITES[0](store)
        with pytest.raises(StoreUnavailableError):
            await READS[0](store)

    run([None, None], scenario, timeout_ms=50)


def test_watch_from_a_discarded_version_raises_history_lost():
    async def scenario(store):
        with pytest.raises(StoreHistoryLostError):
            await READS[2](store)

    run([json_answer({}, 410)], scenario)


def test_write_on_a_stale_connection_is_not_retried():
    async def scenario(store):
        assert await READS[0](store) is None
        with pytest.raises(StoreOutcomeUnknownError):
            await WRITES[0](store)

    _, server = run([json_answer({"entry": None}), b"", json_answer({})], scenario)
    assert len(server.requests) == 2
