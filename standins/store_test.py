import asyncio
import base64
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from standins import store


@asynccontextmanager
async def open_store(**options):
    state = store.State(**options)
    async with TestClient(TestServer(store.make_app(state))) as client:

        async def call(path, **body):
            async with client.post(path, json=body) as response:
                assert response.status == 200, response.status
                return await response.json()

        yield client, call


def encode(text):
    return base64.b64encode(text.encode()).decode()


async def swap(call, key, expected_version, text="x", **fields):
    return await call(
        "/v1/swap",
        key=key,
        expected_version=expected_version,
        value=encode(text),
        **fields,
    )


def run(scenario, **options):
    async def main():
        async with open_store(**options) as (client, call):
            await scenario(client, call)

    asyncio.run(main())


def test_swap_and_delete_compare_versions():
    async def scenario(client, call):
        assert await swap(call, "a", 0, "one") == {"swapped": True, "version": 1}
        refused = await swap(call, "a", 0, "two")
        entry = {"key": "a", "value": encode("one"), "version": 1}
        assert refused == {"swapped": False, "current": entry}
        assert await swap(call, "a", 1, "two") == {"swapped": True, "version": 2}
        assert not (await call("/v1/delete", key="a", expected_version=1))["swapped"]
        assert (await call("/v1/delete", key="a", expected_version=2))["swapped"]
        assert await call("/v1/get", key="a") == {"entry": None}

    run(scenario)


def test_list_returns_the_keys_of_a_prefix_in_order():
    async def scenario(client, call):
        for key in ("b/2", "a/1", "b/1"):
            await swap(call, key, 0)
        listing = await call("/v1/list", prefix="b/")
        assert listing["version"] == 3
        assert [entry["key"] for entry in listing["entries"]] == ["b/1", "b/2"]

    run(scenario)


def test_watch_waits_for_a_change_under_its_prefix():
    async def scenario(client, call):
        waiting = asyncio.create_task(
            call("/v1/watch", prefix="a/", after_version=0, wait_ms=30_000)
        )
        await asyncio.sleep(0)
        await swap(call, "b/1", 0)
        await swap(call, "a/1", 0)
        changes = await waiting
        assert changes["version"] == 2
        assert [change["key"] for change in changes["changes"]] == ["a/1"]
        empty = await call("/v1/watch", prefix="c/", after_version=2, wait_ms=1)
        assert empty == {"version": 2, "changes": []}

    run(scenario)


def test_watch_from_a_version_before_the_history_answers_410():
    async def scenario(client, call):
        for number in range(4):
            await swap(call, f"a/{number}", 0)
        body = {"prefix": "a/", "after_version": 1, "wait_ms": 1}
        async with client.post("/v1/watch", json=body) as response:
            assert response.status == 410
        changes = await call("/v1/watch", prefix="a/", after_version=2, wait_ms=1)
        assert len(changes["changes"]) == 2

    run(scenario, history_length=2)


def test_expired_lease_deletes_its_keys_and_accepts_no_new_keys():
    async def scenario(client, call):
        lease_id = (await call("/v1/lease/grant", ttl_ms=40))["lease_id"]
        await swap(call, "a", 0, lease_id=lease_id)
        changes = await call("/v1/watch", prefix="a", after_version=1, wait_ms=30_000)
        assert changes["changes"] == [{"key": "a", "entry": None}]
        assert not (await call("/v1/lease/renew", lease_id=lease_id))["alive"]
        assert not (await swap(call, "a", 0, lease_id=lease_id))["swapped"]

    run(scenario)


def test_revoked_lease_deletes_only_keys_still_attached_to_it():
    async def scenario(client, call):
        lease_id = (await call("/v1/lease/grant", ttl_ms=60_000))["lease_id"]
        await swap(call, "a", 0, lease_id=lease_id)
        await swap(call, "b", 0, lease_id=lease_id)
        await swap(call, "b", 2)
        assert (await call("/v1/lease/renew", lease_id=lease_id))["alive"]
        await call("/v1/lease/revoke", lease_id=lease_id)
        listing = await call("/v1/list", prefix="")
        assert [entry["key"] for entry in listing["entries"]] == ["b"]

    run(scenario)


def test_write_takes_effect_when_its_answer_is_lost():
    async def scenario(client, call):
        await call("/control", mode="lose-answers", count=1)
        with pytest.raises(aiohttp.ClientError):
            await swap(call, "a", 0)
        assert (await call("/v1/get", key="a"))["entry"]["version"] == 1
        assert (await swap(call, "a", 1))["swapped"]

    run(scenario)


def test_calls_have_no_effect_while_the_store_is_down_or_unavailable():
    async def scenario(client, call):
        waiting = asyncio.create_task(
            call("/v1/watch", prefix="a", after_version=0, wait_ms=30_000)
        )
        await asyncio.sleep(0.05)
        await call("/control", mode="down")
        with pytest.raises(aiohttp.ClientError):
            await waiting
        with pytest.raises(aiohttp.ClientError):
            await swap(call, "a", 0)
        await call("/control", mode="unavailable")
        body = {"key": "a", "expected_version": 0, "value": ""}
        async with client.post("/v1/swap", json=body) as response:
            assert response.status == 503
        await call("/control", mode="up")
        assert await call("/v1/get", key="a") == {"entry": None}
        async with client.get("/control/calls") as response:
            calls = (await response.json())["calls"]
        assert calls == {"watch": 1, "swap": 2, "get": 1}

    run(scenario)
