"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

from http1 import Server

ANSWER_S = 0.004


class Store:
    """Keys, leases and history; ``is_silent`` is an outage in which leases pause."""

    def __init__(self):
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.last_lease = 1, 1000
        self.changed = asyncio.Event()
        self.is_silent = False
        self.server = Server(self._handle)

    def put(self, key, value, lease_id=0):
        """Write a key at the present revision plus one."""
        self.revision += 1
        self._set(key, value, lease_id)
        self._wake()

    def delete(self, key):
        """Delete a key."""
        if key in self.items:
            self.revision += 1
            self._unset(key)
            self._wake()

    def _set(self, key, value, lease_id):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease_id": lease_id,
        }
        self.items[key] = item
        self.history.append((self.revision, dict(item)))

    def _unset(self, key):
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.history.append((self.revision, event))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        """End the leases whose time is over, until cancelled."""
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if self.is_silent:
                    lease["end_s"] += now_s - before_s
                elif lease["end_s"] <= now_s:
                    self._end_lease(lease_id)
            before_s = now_s

    def _end_lease(self, lease_id):
        del self.leases[lease_id]
        for key in [k for k, i in self.items.items() if i["lease_id"] == lease_id]:
            self.delete(key)

    async def _handle(self, request):
        if self.is_silent:
            return None
        answer = await self._answer(request)
        await asyncio.sleep(ANSWER_S)
        if self.is_silent or answer is None:
            return None
        status, document = answer
        content = json.dumps(document, separators=(",", ":")).encode()
        return status, {"Content-Type": "application/json"}, content

    async def _answer(self, request):
        query = request.query
        body = json.loads(request.body) if request.body else {}
        match request.method, request.path:
            case "GET", "/api/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"at": self.revision}
                return 200, item | {"at": self.revision}
            case "GET", "/api/kv-range":
                after = query.get("after", "")
                prefix = query.get("path_prefix", "")
                found = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                items = [self.items[k] for k in found[:500]]
                more = len(found) > 500
                return 200, {"items": items, "has_more": more, "at": self.revision}
            case "GET", "/api/kv-watch":
                return await self._watch(query)
            case "POST", "/api/kv-txn":
                return self._transact(body)
            case "POST", "/api/kv-lease":
                ttl = body["ttl_time"]
                ttl_s = (
                    float(ttl[:-2]) / 1000 if ttl.endswith("ms") else float(ttl[:-1])
                )
                self.last_lease += 1
                end_s = time.monotonic() + ttl_s
                self.leases[self.last_lease] = {"ttl_s": ttl_s, "end_s": end_s}
                return 200, {"lease_id": self.last_lease, "ttl_time": ttl}
        kind, _, name = request.path.rpartition("/")
        lease = self.leases.get(int(name)) if name.isdigit() else None
        if lease is None:
            return 404, {}
        if kind == "/api/kv-keep":
            lease["end_s"] = time.monotonic() + lease["ttl_s"]
            return 200, {"ttl_time": f"{round(lease['ttl_s'] * 1000)}ms"}
        self._end_lease(int(name))
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        ends_s = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                event
                for revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.is_silent:
                return None

    def _transact(self, body):
        expected = body.get("expected", [])
        now = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = now[row["key"]]
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in now.values() if item]}
        puts = body.get("puts", [])
        for row in puts:
            if row.get("lease_id") and row["lease_id"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in puts:
            self._set(
                row["key"], base64.b64decode(row["value"]), row.get("lease_id") or 0
            )
        for key in body.get("deletes", []):
            if key in self.items:
                self._unset(key)
        self._wake()
        return 200, {"revision": self.revision}
