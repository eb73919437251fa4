"""A stand-in for the platform's store, by its page; one address for each machine."""

import asyncio
import base64
import json
import time
import urllib.parse
from dataclasses import dataclass, field

import http1

CALL_S = 0.004
PAGE_ITEMS = 500


@dataclass
class Lease:
    """A lease and the keys that go with it."""

    ttl_s: float
    ends_s: float
    keys: set[str] = field(default_factory=set)


class Store:
    """Items, leases and history; single machines and connections may be cut off."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease = 76_000
        self.changed = asyncio.Event()
        # Called with the machine, path and query of each call.
        self.before = None
        # Machines without a path to the store, and what wakes their calls.
        self.cut: set[str] = set()
        # Connections on which each machine's latest watch came, and silent ones.
        self.watched_on: dict[str, object] = {}
        self.silent: set[object] = set()
        self.healed = asyncio.Event()

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write one item, as the operator does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease_id)
        self._wake()

    def _put(self, key: str, value: str, lease_id: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        for lease in self.leases.values():
            lease.keys.discard(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease_id": lease_id,
        }
        self.items[key] = item
        self.history.append(item)

    def delete(self, keys) -> None:
        """Delete items in one revision."""
        present = [key for key in keys if key in self.items]
        if not present:
            return
        self.revision += 1
        self._delete(present)
        self._wake()

    def _delete(self, keys) -> None:
        for key in keys:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append(event)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End leases whose time has run out, for ever."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if lease.ends_s <= now_s:
                    del self.leases[lease_id]
                    self.delete(sorted(lease.keys))

    async def listen(self, host: str, machine: str) -> tuple[str, int]:
        """Accept the calls of one machine."""

        async def serve(reader, writer):
            connection = object()
            try:
                while True:
                    first, headers = await http1.read_head(reader)
                    body = await http1.read_body(reader, headers)
                    method, target, _ = first.split(" ")
                    if target.startswith("/api/kv-watch"):
                        self.watched_on[machine] = connection
                    answer = await self._answer(machine, method, target, body)
                    if connection in self.silent:
                        await asyncio.sleep(30)
                        break
                    writer.write(answer)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except asyncio.CancelledError:
                # The stand-in ends.
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, host, 0)
        return server.sockets[0].getsockname()[:2]

    async def _answer(self, machine, method, target, body) -> bytes:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        document = json.loads(body) if body else {}
        await self._wait_for_path(machine)
        if self.before is not None:
            await self.before(machine, url.path, query)
        await asyncio.sleep(CALL_S)
        status, found = await self._call(method, url.path, query, document)
        await self._wait_for_path(machine)
        headers = {"Content-Type": "application/json"}
        return http1.make_answer(status, json.dumps(found).encode(), headers)

    def cut_off(self, machine: str) -> None:
        """Cut a machine off in silence: its bytes and its answers are held up."""
        self.cut.add(machine)

    def silence_watch(self, machine: str) -> None:
        """Let the connection of a machine's watch go silent; all others work."""
        self.silent.add(self.watched_on[machine])

    def heal(self, machine: str) -> None:
        """Let through what is held up."""
        self.cut.discard(machine)
        self.healed.set()
        self.healed = asyncio.Event()

    async def _wait_for_path(self, machine: str) -> None:
        while machine in self.cut:
            await self.healed.wait()

    async def _call(self, method, path, query, document) -> tuple[int, dict]:
        match method, path:
            case "GET", "/api/kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, item | self._at())
            case "GET", "/api/kv-range":
                return 200, self._list(query)
            case "GET", "/api/kv-watch":
                return await self._watch(query)
            case "POST", "/api/kv-txn":
                return self._transact(document)
            case "POST", "/api/kv-lease":
                return 200, self._grant_lease(document)
        lease_id = int(path.rpartition("/")[2])
        lease = self.leases.get(lease_id)
        if lease is None:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            lease.ends_s = time.monotonic() + lease.ttl_s
            return 200, {"ttl_time": f"{int(lease.ttl_s * 1000)}ms"}
        del self.leases[lease_id]
        self.delete(sorted(lease.keys))
        return 200, {}

    def _at(self) -> dict:
        return {"at": self.revision}

    def _list(self, query) -> dict:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "has_more": len(keys) > PAGE_ITEMS} | self._at()

    async def _watch(self, query) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        ends_s = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events} | self._at()
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, document) -> tuple[int, dict]:
        expected = document.get("expected", [])
        puts, deletes = document.get("puts", []), document.get("deletes", [])
        now = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, now, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in now if item]}
        for put in puts:
            if put["lease_id"] and put["lease_id"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put["lease_id"])
        self._delete(deletes)
        self._wake()
        return 200, {"revision": self.revision}

    def _grant_lease(self, document) -> dict:
        self.last_lease += 1
        ttl_ms = int(document["ttl_time"].removesuffix("ms"))
        ttl_s = ttl_ms / 1000
        self.leases[self.last_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return {"lease_id": self.last_lease, "ttl_time": f"{ttl_ms}ms"}
