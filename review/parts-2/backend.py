"""A stand-in for a backend, by the page: slots, a short queue, keys that it holds."""

import asyncio
import json
import time
from dataclasses import dataclass

import http1

HEARTBEAT_S = 0.87
ANSWER_S = 1.0
AGAIN_S = 0.1
ANSWER_BYTES_MAX = 4096


@dataclass
class Held:
    """A range of keys that the backend holds."""

    first: int
    last: int
    fence: int
    working: int = 0


class Backend:
    """One backend; `world.record` gets a line for all that it does.

    Its clock is right. It keeps its keys until `hold_until_s`, and a range on which it
    works until that work has ended.
    """

    def __init__(self, world, machine, service, backend_id, capacity, sharded):
        self.world, self.machine, self.service = world, machine, service
        self.id, self.capacity, self.sharded = backend_id, capacity, sharded
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.held: list[Held] = []
        self.released: list[list] = []
        self.highest: list[tuple[int, int, int]] = []
        self.hold_until_s = 0.0
        self.running = 0
        self.queue_max = 4
        self.slots = asyncio.Semaphore(capacity)
        self.waiting = 0
        self.state = "ready"
        self.cold_left_ms = 0
        self.server = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.tasks: list[asyncio.Task] = []
        self.is_up = False

    async def start(self) -> None:
        """Listen, and send heartbeats to the daemon on the same machine."""
        self.server = await asyncio.start_server(self._serve, *self.machine.app)
        self.is_up = True
        self.tasks = [asyncio.create_task(self._beat())]
        self.tasks.append(asyncio.create_task(self._expire()))
        self.world.record("backend starts", backend=self.id, born=self.born)

    def end(self) -> None:
        """End as a crashed process does: all connections are closed."""
        self.is_up = False
        self.world.record("backend ends", backend=self.id)
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()
        self._set_held([])

    # Keys.

    def _set_held(self, rows: list[Held]) -> None:
        self.held = rows
        self.world.note_held(self)

    def _find(self, key: int) -> Held | None:
        return next((r for r in self.held if r.first <= key <= r.last), None)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self.held and time.monotonic() >= self.hold_until_s:
                kept = [row for row in self.held if row.working]
                if len(kept) != len(self.held):
                    self.world.record("hold ends", backend=self.id)
                    self._set_held(kept)

    def beat_in(self, delay_s: float) -> None:
        """Send the next heartbeat after a delay, and the others after that one."""
        self.tasks[0].cancel()
        self.tasks[0] = asyncio.create_task(self._beat(delay_s))

    async def _beat(self, delay_s: float = 0.0) -> None:
        await asyncio.sleep(delay_s)
        while True:
            again = False
            if self.world.may_beat(self):
                again = await self.beat_once()
            await asyncio.sleep(AGAIN_S if again else HEARTBEAT_S)

    def make_heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.machine.app[0]}:{self.machine.app[1]}",
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "cold_left": f"{self.cold_left_ms}ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.sharded:
            document["holds"] = [[r.first, r.last, r.fence] for r in self.held]
            document["released"] = list(self.released)
        return document

    async def beat_once(self) -> bool:
        """Send a heartbeat; return whether another one is due at once."""
        sent_s, document = time.monotonic(), self.make_heartbeat()
        answer = await http1.exchange(
            self.machine.control,
            "POST",
            f"/api/instances/{self.id}/heartbeat",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(document).encode(),
            ANSWER_S,
        )
        self.world.record(
            "beat",
            backend=self.id,
            sequence=document["sequence"],
            state=document["state"],
            status=answer.status,
        )
        if not 200 <= answer.status < 300 or len(answer.body) > ANSWER_BYTES_MAX:
            return False
        reported = document.get("released", [])
        self.released = [row for row in self.released if row not in reported]
        found = json.loads(answer.body or b"{}")
        if "holds" not in found or not self.is_up:
            return False
        return self._take(found, sent_s)

    def _take(self, found: dict, sent_s: float) -> bool:
        hold_s = float(found["hold_timeout"].removesuffix("ms")) / 1000
        rows, kept = [], []
        for first, last, fence, _ in found["holds"]:
            if any(f <= last and first <= t and n > fence for f, t, n in self.highest):
                self.world.record("row not accepted", backend=self.id, fence=fence)
                continue
            old = [r for r in self.held if r.first <= last and first <= r.last]
            working = sum(r.working for r in old if r.fence == fence)
            same = next((r for r in old if (r.first, r.last) == (first, last)), None)
            if same is not None and same.fence == fence:
                rows.append(same)
            else:
                rows.append(Held(first, last, fence, 0))
                kept += [r for r in old if working and r.working]
            self.highest.append((first, last, fence))
        self.highest = self.highest[-400:]
        for row in self.held:
            if row in rows:
                continue
            if row.working:
                kept.append(row)
            elif not any(r.first <= row.first and row.last <= r.last for r in rows):
                token = f"{self.id[-4:]}{row.first:05d}{self.sequence:06d}"
                self.released.append([row.first, row.last, token])
        is_short = len(kept) > 0 or bool(self.released)
        self.hold_until_s = sent_s + hold_s
        self._set_held(rows + [row for row in kept if row not in rows])
        return is_short

    # Requests.

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while True:
                first, headers = await http1.read_head(reader)
                await http1.read_body(reader, headers)
                _, target, _ = first.split(" ")
                task = asyncio.create_task(self._run(target, headers))
                closed = asyncio.create_task(_wait_closed(reader))
                await asyncio.wait((task, closed), return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    break
                writer.write(task.result())
                await writer.drain()
                if closed.done() and reader.at_eof():
                    break
                closed.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _run(self, target, headers) -> bytes:
        """Run one request or reject it."""
        own = {
            "Fuchsiamoor-Instance-Id": self.id,
            "Fuchsiamoor-Server-Load": f"{self.running},{self.waiting},{self.capacity}",
        }
        if target == "/health":
            return http1.make_answer(200 if self.state == "ready" else 503, b"", own)
        request_id = headers.get("fuchsiamoor-request-id", "")
        own["Fuchsiamoor-Request-Id"] = request_id
        not_run = own | {"Fuchsiamoor-Not-Executed": "1"}
        if not request_id:
            return http1.make_answer(400, b"", not_run)
        key = int(headers.get("fuchsiamoor-shard-key", -1))
        arrived_s = time.monotonic()
        deadline_s = arrived_s + int(headers["fuchsiamoor-deadline-ms"]) / 1000
        if headers.get("fuchsiamoor-expect-instance", self.id) != self.id:
            return http1.make_answer(421, b"", not_run)
        if self.waiting >= self.queue_max and self.slots.locked():
            return http1.make_answer(503, b"", not_run)
        self.waiting += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline_s - time.monotonic()
            ):
                await self.slots.acquire()
        except TimeoutError:
            return http1.make_answer(503, b"", not_run)
        finally:
            self.waiting -= 1
        row = None
        try:
            if self.sharded:
                row = self._find(key)
                if row is None or time.monotonic() >= self.hold_until_s:
                    return http1.make_answer(421, b"", not_run)
                row.working += 1
            self.running += 1
            self.world.note_run(self, request_id, key, target)
            run_s = float(headers.get("test-run-ms", 20)) / 1000
            left_s = deadline_s - time.monotonic()
            stamp = own | {"Fuchsiamoor-Server-Stamp": f"{self.id}.{request_id}"}
            try:
                await asyncio.sleep(max(min(run_s, left_s), 0))
            finally:
                self.running -= 1
                self.world.note_run_end(request_id)
                if row is not None:
                    row.working -= 1
            if run_s > left_s:
                return http1.make_answer(504, b"", stamp)
            content = f"{self.id} ran {request_id}".encode()
            return http1.make_answer(200, content, stamp)
        finally:
            self.slots.release()


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the daemon has closed the connection; it sends no second request."""
    while not reader.at_eof():
        await asyncio.sleep(0.01)
