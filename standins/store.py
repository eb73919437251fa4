"""A stand-in for the platform's key-value store, in memory.

Speaks the store's protocol of docs/DESIGN.md. A swap under a lease that has lapsed is
answered like any other conflict. ``POST /control`` brings about outages, ``GET
/control/calls`` counts the calls of each kind.
"""

import argparse
import asyncio
import base64
import secrets
from collections import Counter, deque
from dataclasses import dataclass, field

from aiohttp import web

from standins import programs

MODES = ("up", "down", "unavailable", "slow", "lose-answers")
SWEEP_EVERY_MS = 20
VALUE_BYTES = 1 << 20
WRITES = ("swap", "delete")


@dataclass(slots=True)
class Lease:
    """A lease and the keys that go with it."""

    ttl_ms: int
    ends_ms: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class State:
    """Everything that the store holds."""

    history_length: int = 10_000
    version: int = 0
    entries: dict[str, dict] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    history: deque = field(default_factory=deque)
    forgotten_version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    mode: str = "up"
    delay_ms: int = 0
    count: int = 0
    calls: Counter = field(default_factory=Counter)
    counted_since_ms: float = field(default_factory=programs.monotonic_ms)


def _wake_watchers(state: State) -> None:
    state.changed.set()
    state.changed = asyncio.Event()


def _record(state: State, key: str, entry: dict | None) -> None:
    state.history.append((state.version, key, entry))
    if len(state.history) > state.history_length:
        state.forgotten_version = state.history.popleft()[0]
    _wake_watchers(state)


def _set(state: State, key: str, value: str | None) -> int:
    """Set or (None) delete a key; return the new version."""
    state.version += 1
    entry = None
    if value is None:
        del state.entries[key]
    else:
        entry = {"key": key, "value": value, "version": state.version}
        state.entries[key] = entry
    for lease in state.leases.values():
        lease.keys.discard(key)
    _record(state, key, entry)
    return state.version


def end_lease(state: State, lease_id: str) -> None:
    """End a lease and delete its keys."""
    lease = state.leases.pop(lease_id, None)
    if lease is None:
        return
    for key in sorted(lease.keys):
        _set(state, key, None)


def sweep(state: State, now_ms: float) -> None:
    """End the leases that have lapsed."""
    lapsed = [name for name, lease in state.leases.items() if lease.ends_ms <= now_ms]
    for lease_id in lapsed:
        end_lease(state, lease_id)


def _conflict(state: State, call: dict) -> dict | None:
    current = state.entries.get(call["key"])
    if call["expected_version"] != (current["version"] if current else 0):
        return {"swapped": False, "current": current}
    lease_id = call.get("lease_id")
    if lease_id and lease_id not in state.leases:
        return {"swapped": False, "current": current}
    return None


async def _get(state: State, call: dict) -> dict:
    return {"entry": state.entries.get(call["key"])}


async def _list(state: State, call: dict) -> dict:
    found = [
        state.entries[key]
        for key in sorted(state.entries)
        if key.startswith(call["prefix"])
    ]
    return {"version": state.version, "entries": found}


async def _swap(state: State, call: dict) -> dict:
    if len(base64.b64decode(call["value"], validate=True)) > VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(VALUE_BYTES, len(call["value"]))
    conflict = _conflict(state, call)
    if conflict is not None:
        return conflict
    version = _set(state, call["key"], call["value"])
    lease_id = call.get("lease_id")
    if lease_id:
        state.leases[lease_id].keys.add(call["key"])
    return {"swapped": True, "version": version}


async def _delete(state: State, call: dict) -> dict:
    conflict = _conflict(state, call)
    if conflict is not None:
        return conflict
    if call["key"] not in state.entries:
        return {"swapped": True, "version": state.version}
    return {"swapped": True, "version": _set(state, call["key"], None)}


async def _watch(state: State, call: dict) -> dict:
    ends_ms = programs.monotonic_ms() + call["wait_ms"]
    while state.mode != "down":
        if call["after_version"] < state.forgotten_version:
            raise web.HTTPGone
        found = [
            {"key": key, "entry": entry}
            for version, key, entry in state.history
            if version > call["after_version"] and key.startswith(call["prefix"])
        ]
        remaining_ms = ends_ms - programs.monotonic_ms()
        if found or remaining_ms <= 0:
            return {"version": state.version, "changes": found}
        try:
            await asyncio.wait_for(state.changed.wait(), remaining_ms / 1000)
        except TimeoutError:
            continue
    return {}


async def _grant(state: State, call: dict) -> dict:
    lease_id = secrets.token_hex(8)
    ends_ms = programs.monotonic_ms() + call["ttl_ms"]
    state.leases[lease_id] = Lease(call["ttl_ms"], ends_ms)
    return {"lease_id": lease_id}


async def _renew(state: State, call: dict) -> dict:
    lease = state.leases.get(call["lease_id"])
    if lease is None:
        return {"alive": False}
    lease.ends_ms = programs.monotonic_ms() + lease.ttl_ms
    return {"alive": True}


async def _revoke(state: State, call: dict) -> dict:
    end_lease(state, call["lease_id"])
    return {}


CALLS = {
    "get": _get,
    "list": _list,
    "swap": _swap,
    "delete": _delete,
    "watch": _watch,
    "lease/grant": _grant,
    "lease/renew": _renew,
    "lease/revoke": _revoke,
}


def make_app(state: State) -> web.Application:
    """Return the store's HTTP surface over a state."""

    async def call(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind not in CALLS:
            raise web.HTTPNotFound
        state.calls[kind] += 1
        if state.mode == "slow":
            await asyncio.sleep(state.delay_ms / 1000)
        if state.mode == "down":
            return programs.drop_connection(request)
        if state.mode == "unavailable":
            raise web.HTTPServiceUnavailable
        try:
            body = await request.json()
        except ConnectionError:
            return programs.drop_connection(request)
        sweep(state, programs.monotonic_ms())
        answer = await CALLS[kind](state, body)
        if state.mode == "down":
            return programs.drop_connection(request)
        if state.mode == "lose-answers" and kind in WRITES:
            state.count -= 1
            if state.count <= 0:
                state.mode = "up"
            return programs.drop_connection(request)
        return web.json_response(answer)

    async def control(request: web.Request) -> web.Response:
        body = await request.json()
        if body["mode"] not in MODES:
            raise web.HTTPBadRequest(text=f"mode {body['mode']!r}, expected {MODES}")
        state.mode = body["mode"]
        state.delay_ms = body.get("delay_ms", 0)
        state.count = body.get("count", 1)
        _wake_watchers(state)
        return web.json_response({"mode": state.mode})

    async def count_calls(request: web.Request) -> web.Response:
        elapsed_ms = programs.monotonic_ms() - state.counted_since_ms
        return web.json_response({"elapsed_ms": elapsed_ms, "calls": state.calls})

    async def sweep_steadily(app: web.Application):
        async def run():
            while True:
                await asyncio.sleep(SWEEP_EVERY_MS / 1000)
                sweep(state, programs.monotonic_ms())

        task = asyncio.create_task(run())
        yield
        task.cancel()

    app = web.Application(client_max_size=programs.BODY_BYTES)
    app.cleanup_ctx.append(sweep_steadily)
    app.router.add_post("/v1/{kind:.+}", call)
    app.router.add_post("/control", control)
    app.router.add_get("/control/calls", count_calls)
    return app


def main() -> None:
    """Run the store until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--history", type=int, default=10_000)
    options = parser.parse_args()
    state = State(history_length=options.history)
    asyncio.run(programs.serve(make_app(state), options.port))


if __name__ == "__main__":
    main()
