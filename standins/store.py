"""An in-memory stand-in for the platform's key-value store.

Implements the store's protocol of docs/DESIGN.md. A swap under an expired lease is
answered as a conflict. ``POST /control`` simulates outages, ``GET /control/calls``
returns the number of calls of each kind.
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
EXPIRE_LEASES_EVERY_MS = 20
MAX_VALUE_BYTES = 1 << 20
WRITE_CALLS = ("swap", "delete")


@dataclass(slots=True)
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl_ms: int
    expires_ms: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class State:
    """The store's entries, leases, change history, injected fault and call counts."""

    history_length: int = 10_000
    version: int = 0
    entries: dict[str, dict] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    history: deque = field(default_factory=deque)
    compacted_version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    mode: str = "up"
    delay_ms: int = 0
    answers_to_lose: int = 0
    call_counts: Counter = field(default_factory=Counter)
    count_started_ms: float = field(default_factory=programs.monotonic_ms)


def _wake_watchers(state: State) -> None:
    state.changed.set()
    state.changed = asyncio.Event()


def _append_history(state: State, key: str, entry: dict | None) -> None:
    state.history.append((state.version, key, entry))
    if len(state.history) > state.history_length:
        state.compacted_version = state.history.popleft()[0]
    _wake_watchers(state)


def _write_entry(state: State, key: str, value: str | None) -> int:
    """Write a key, or delete it if ``value`` is None; return the new version."""
    state.version += 1
    entry = None
    if value is None:
        del state.entries[key]
    else:
        entry = {"key": key, "value": value, "version": state.version}
        state.entries[key] = entry
    for lease in state.leases.values():
        lease.keys.discard(key)
    _append_history(state, key, entry)
    return state.version


def end_lease(state: State, lease_id: str) -> None:
    """End a lease and delete its keys."""
    lease = state.leases.pop(lease_id, None)
    if lease is None:
        return
    for key in sorted(lease.keys):
        _write_entry(state, key, None)


def expire_leases(state: State, now_ms: float) -> None:
    """End the leases whose time has expired and delete their keys."""
    expired = [
        name for name, lease in state.leases.items() if lease.expires_ms <= now_ms
    ]
    for lease_id in expired:
        end_lease(state, lease_id)


def _find_conflict(state: State, call: dict) -> dict | None:
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
    if len(base64.b64decode(call["value"], validate=True)) > MAX_VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(call["value"]))
    conflict = _find_conflict(state, call)
    if conflict is not None:
        return conflict
    version = _write_entry(state, call["key"], call["value"])
    lease_id = call.get("lease_id")
    if lease_id:
        state.leases[lease_id].keys.add(call["key"])
    return {"swapped": True, "version": version}


async def _delete(state: State, call: dict) -> dict:
    conflict = _find_conflict(state, call)
    if conflict is not None:
        return conflict
    if call["key"] not in state.entries:
        return {"swapped": True, "version": state.version}
    return {"swapped": True, "version": _write_entry(state, call["key"], None)}


async def _watch(state: State, call: dict) -> dict:
    deadline_ms = programs.monotonic_ms() + call["wait_ms"]
    while state.mode != "down":
        if call["after_version"] < state.compacted_version:
            raise web.HTTPGone
        found = [
            {"key": key, "entry": entry}
            for version, key, entry in state.history
            if version > call["after_version"] and key.startswith(call["prefix"])
        ]
        remaining_ms = deadline_ms - programs.monotonic_ms()
        if found or remaining_ms <= 0:
            return {"version": state.version, "changes": found}
        try:
            await asyncio.wait_for(state.changed.wait(), remaining_ms / 1000)
        except TimeoutError:
            continue
    return {}


async def _grant(state: State, call: dict) -> dict:
    lease_id = secrets.token_hex(8)
    expires_ms = programs.monotonic_ms() + call["ttl_ms"]
    state.leases[lease_id] = Lease(call["ttl_ms"], expires_ms)
    return {"lease_id": lease_id}


async def _renew(state: State, call: dict) -> dict:
    lease = state.leases.get(call["lease_id"])
    if lease is None:
        return {"alive": False}
    lease.expires_ms = programs.monotonic_ms() + lease.ttl_ms
    return {"alive": True}


async def _revoke(state: State, call: dict) -> dict:
    end_lease(state, call["lease_id"])
    return {}


CALL_HANDLERS = {
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
    """Return the HTTP application that serves a store's state."""

    async def handle_call(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind not in CALL_HANDLERS:
            raise web.HTTPNotFound
        state.call_counts[kind] += 1
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
        expire_leases(state, programs.monotonic_ms())
        answer = await CALL_HANDLERS[kind](state, body)
        if state.mode == "down":
            return programs.drop_connection(request)
        if state.mode == "lose-answers" and kind in WRITE_CALLS:
            state.answers_to_lose -= 1
            if state.answers_to_lose <= 0:
                state.mode = "up"
            return programs.drop_connection(request)
        return web.json_response(answer)

    async def handle_control(request: web.Request) -> web.Response:
        body = await request.json()
        if body["mode"] not in MODES:
            raise web.HTTPBadRequest(text=f"mode {body['mode']!r}, expected {MODES}")
        state.mode = body["mode"]
        state.delay_ms = body.get("delay_ms", 0)
        state.answers_to_lose = body.get("count", 1)
        _wake_watchers(state)
        return web.json_response({"mode": state.mode})

    async def report_call_counts(request: web.Request) -> web.Response:
        elapsed_ms = programs.monotonic_ms() - state.count_started_ms
        return web.json_response({"elapsed_ms": elapsed_ms, "calls": state.call_counts})

    async def expire_leases_periodically(app: web.Application):
        async def run():
            while True:
                await asyncio.sleep(EXPIRE_LEASES_EVERY_MS / 1000)
                expire_leases(state, programs.monotonic_ms())

        task = asyncio.create_task(run())
        yield
        task.cancel()

    app = web.Application(client_max_size=programs.MAX_BODY_BYTES)
    app.cleanup_ctx.append(expire_leases_periodically)
    app.router.add_post("/v1/{kind:.+}", handle_call)
    app.router.add_post("/control", handle_control)
    app.router.add_get("/control/calls", report_call_counts)
    return app


def main() -> None:
    """Run the store until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--history", type=int, default=10_000)
    options = parser.parse_args()
    state = State(history_length=options.history)
    asyncio.run(programs.serve(make_app(state), options.port))


if __name__ == "__main__":
    main()
