"""Stand-in of an application backend, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import secrets
import time

import http1

BEAT_S = 0.87
# A larger answer acknowledges nothing.
ANSWER_BYTES_MAX = 4096


def read_duration_s(text):
    """Return the seconds of a time such as 870ms or 2.5s."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Backend:
    """One life of a backend.

    ``beat_gate``, if set, is asked before each heartbeat is sent and may hold it back:
    ``await beat_gate(backend, target, body)`` returns True if it took the beat over.
    """

    def __init__(self, record, service, zone, app, control, is_sharded, work_s=0.1):
        self.record, self.service, self.zone = record, service, zone
        self.app, self.control = app, control
        self.is_sharded, self.work_s = is_sharded, work_s
        self.id = f"i-{secrets.token_hex(5)}"
        self.born = int(time.time() * 1000)
        self.sequence, self.slots = 0, 18
        self.holds, self.until_s = [], 0.0
        self.released, self.seen_fence = [], {}
        self.working = {}
        self.is_up, self.beat_gate = False, None
        self.next_beat_s = 0.0
        self.runs = []
        self.on_run = None
        self.server = http1.Server(self._handle, self._sends_again)
        self.extra_share, self.extras, self.answers = 0.0, 0, 0
        self.shed_share, self.rng, self.rejected = 0.0, random.Random(1), set()
        self.task = None

    def __str__(self):
        return f"{self.id}@{self.app[0]}"

    async def start(self, first_beat_s=0.0):
        """Listen and send heartbeats; the first one after ``first_beat_s``."""
        await self.server.listen(*self.app)
        self.is_up = True
        self.record(f"backend {self} starts, born {self.born}")
        self.task = asyncio.create_task(self._beat_forever(first_beat_s))

    def end(self, why):
        """End at once; what runs is lost."""
        if self.is_up:
            self.record(f"backend {self} ends ({why}), {len(self.working)} at work")
            self.is_up = False
            self.holds = []
            self.server.abort()
            self.task.cancel()

    # Keys

    def list_held(self):
        """Return the [from, to, fence] rows held or still worked on."""
        rows = [] if time.monotonic() >= self.until_s else list(self.holds)
        busy = [tuple(row) for row, _ in self.working.values() if row is not None]
        return rows + [row for row in dict.fromkeys(busy) if row not in rows]

    def holds_key(self, key):
        """Return the row under which a key is held now, None without one."""
        if time.monotonic() >= self.until_s:
            return None
        return next((row for row in self.holds if row[0] <= key <= row[1]), None)

    def _take(self, rows, until_s):
        """Accept what an answer grants; return whether anything was let go."""
        given = []
        for first, last, fence, _ in rows:
            given.append((first, last, fence))
        before = [] if time.monotonic() >= self.until_s else self.holds
        kept = {key for row in given for key in range(row[0], row[1] + 1, 64)}
        let_go = [
            row
            for row in before
            if any(key not in kept for key in range(row[0], row[1] + 1, 64))
        ]
        for row in let_go:
            self.released.append([row[0], row[1], secrets.token_hex(8)])
        if given != self.holds:
            self.record(
                f"backend {self} holds {sum(r[1] - r[0] + 1 for r in given)} keys in "
                f"{len(given)} rows, fences {sorted({r[2] for r in given})}"
            )
        self.holds, self.until_s = given, until_s
        return bool(let_go)

    # Heartbeats

    def make_beat(self):
        """Return target and body of the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": "ready",
            "cold_left": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.is_sharded:
            body["holds"] = [list(row) for row in self.list_held()]
            body["released"] = self.released
        return f"/api/instances/{self.id}/heartbeat", json.dumps(body).encode()

    async def _beat_forever(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            again = await self._beat()
            self.next_beat_s = time.monotonic() + (0.08 if again else BEAT_S)
            await asyncio.sleep(max(0, self.next_beat_s - time.monotonic()))

    async def _beat(self):
        target, body = self.make_beat()
        reported, sent_s = len(self.released), time.monotonic()
        if self.beat_gate is not None and await self.beat_gate(self, target, body):
            return False
        headers = {"Content-Type": "application/json"}
        try:
            status, _, content = await http1.call(
                *self.control, "POST", target, headers, body
            )
        except (OSError, TimeoutError, EOFError):
            return False
        if not 200 <= status < 300 or len(content) > ANSWER_BYTES_MAX:
            self.record(
                f"heartbeat of {self} isn't acknowledged: status {status}, "
                f"{len(content)} bytes"
            )
            return False
        self.released = self.released[reported:]
        document = json.loads(content or b"{}")
        if "holds" not in document:
            return False
        hold_s = read_duration_s(document["hold_timeout"])
        return self._take(document["holds"], sent_s + hold_s)

    async def deregister(self):
        """Send the deregistration; return whether it was acknowledged."""
        target = f"/api/instances/{self.id}/deregister"
        body = json.dumps({"born": self.born}).encode()
        headers = {"Content-Type": "application/json"}
        try:
            status, _, _ = await http1.call(
                *self.control, "POST", target, headers, body
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return 200 <= status < 300

    # Requests

    def set_extra_share(self, share):
        """Send this share of the answers twice from now on."""
        self.extra_share, self.extras, self.answers = share, 0, 0

    def _sends_again(self, request, status):
        """Return whether a second copy of an answer follows, late.

        Only rejections of requests that come for the first time are chosen, up to a
        share of all answers since that share was set.
        """
        if request.path == "/health":
            return False
        self.answers += 1
        request_id = request.headers.get("fuchsiamoor-request-id", "")
        is_first = request_id not in self.rejected
        if status == 503:
            self.rejected.add(request_id)
        if status != 503 or not is_first:
            return False
        if self.extras + 1 > self.extra_share * self.answers:
            return False
        self.extras += 1
        self.record(f"{self} will send its {status} to {request_id} twice")
        return True

    async def _handle(self, request):
        if request.path == "/health":
            return 200, {"Fuchsiamoor-Instance-Id": self.id, **self._load()}, b""
        headers = request.headers
        request_id = headers.get("fuchsiamoor-request-id", "")
        echo = {"Fuchsiamoor-Request-Id": request_id}
        expected = headers.get("fuchsiamoor-expect-instance")
        not_run = {"Fuchsiamoor-Not-Executed": "1", "Fuchsiamoor-Instance-Id": self.id}
        if expected is not None and expected != self.id:
            return 421, echo | not_run, b""
        row = None
        if self.is_sharded:
            row = self.holds_key(int(headers.get("fuchsiamoor-shard-key", -1)))
            if row is None:
                self.record(
                    f"rejected {request_id} by {self}, connection "
                    f"{request.connection}: 421, not its key"
                )
                return 421, echo | not_run, b""
        is_shed = self.rng.random() < self.shed_share
        if is_shed or len(self.working) >= self.slots:
            self.record(
                f"rejected {request_id} by {self}, connection "
                f"{request.connection}: 503, not run"
            )
            return 503, echo | not_run, b""
        self.runs.append((time.monotonic(), request_id))
        self.record(f"run {request_id} by {self}, connection {request.connection}")
        if self.on_run is not None:
            self.on_run(self, request, request_id)
        token = object()
        self.working[token] = (row, request_id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            del self.working[token]
        stamp = {"Fuchsiamoor-Server-Stamp": f"stamp-{request_id}"}
        return 200, echo | stamp | self._load(), request_id.encode() * 8

    def _load(self):
        return {"Fuchsiamoor-Server-Load": f"{len(self.working)},0,{self.slots}"}
