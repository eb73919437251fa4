"""Calls that a run makes while the daemon beside it stops."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import fleet as fleets  # noqa: E402

PARENTS = 16
# Calls that a run makes at a time.
CALLS = 2
# How long the parents run, and how long their callers wait.
PARENT_S = 6.5
DEADLINE_MS = 10_000
# Work of a call: as `route-stock` of dala-loans.
CALL_MEAN_MS, CALL_SPREAD, CALL_MAX_MS = 55.0, 0.5, 330.0
GRACE_S = 6.0


class Fleet(fleets.Fleet):
    """The deployment with routes that wait as long as the callers do."""

    def make_configuration(self, version="r7"):
        """Return the configuration in the store."""
        found = super().make_configuration(version)
        return found.replace(b'"3s", "600ms"', b'"12s", "2s"')


class Backend(fleets.Backend):
    """A backend whose parents' runs make one call after the other."""

    def __init__(self, fleet, machine):
        super().__init__(fleet, machine)
        self.calls = []

    async def respond(self, method, target, headers, body):
        """Run a parent, or a call of one."""
        request_id = headers.get("fuchsiamoor-request-id", "")
        if target.startswith("/stock/parent"):
            self.run_s = PARENT_S
            calling = [
                asyncio.create_task(self._make_calls(f"{request_id}.{chain}x"))
                for chain in range(CALLS)
            ]
            try:
                return await super().respond(method, target, headers, body)
            finally:
                for task in calling:
                    task.cancel()
        self.run_s = self._draw_work_s() if target.startswith("/status/call") else 0.02
        began = fleets.now()
        try:
            return await super().respond(method, target, headers, body)
        finally:
            self.record.add("run ends", request_id, f"{fleets.now() - began:.3f} s")

    def _draw_work_s(self):
        work_ms = random.lognormvariate(0, CALL_SPREAD) * CALL_MEAN_MS
        return min(work_ms, CALL_MAX_MS) / 1000

    async def _make_calls(self, prefix):
        number = 0
        while True:
            number += 1
            call_id, sent = f"{prefix}{number}", fleets.now()
            answer = await self.fleet.ask(
                self.machine, f"/status/call{number}", call_id, deadline_ms=3_000
            )
            self.calls.append((call_id, sent, fleets.now(), answer))
            if answer[0] != 200:
                self.record.add("call", call_id, "is answered", answer[0], answer[1])
                await asyncio.sleep(0.05)


async def play(fleet, has_trouble):
    """Return the broken rule, "" if it held."""
    machine = next(m for m in fleet.machines if m["service"] == fleets.KEYED)
    backend = fleet.backends[machine["ip"]]
    first_key, last_key, _ = backend.holds[0]
    parents = [
        asyncio.create_task(
            fleet.ask(
                machine,
                f"/stock/parent{number}",
                f"parent{number:08x}",
                key=random.randint(first_key, last_key),
                deadline_ms=DEADLINE_MS,
            )
        )
        for number in range(PARENTS)
    ]
    await asyncio.sleep(0.5)
    stopped = fleets.now()
    if has_trouble:
        fleet.signal(machine, signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if has_trouble and fleet.daemons[machine["ip"]].returncode is None:
        fleet.signal(machine, signal.SIGKILL)
    await asyncio.gather(*parents)
    ran = {run[0] for run in fleet.runs}
    lost = []
    for call_id, sent, ended, (status, headers, _) in backend.calls:
        is_own = "fuchsiamoor-server-stamp" not in headers
        is_late = ended - sent > 2.9
        if sent - stopped > 3 and call_id in ran and is_own and not is_late:
            fleet.record.add(
                "broken off:",
                call_id,
                f"sent {sent - stopped:.3f} s after the SIGTERM,",
                f"ended {ended - stopped:.3f} s after it, status {status}",
            )
            lost.append(call_id)
    if lost:
        return f"LOST: {len(lost)} calls that a backend ran were broken off by a stop"
    return ""


if __name__ == "__main__":
    fleets.Fleet, fleets.Backend = Fleet, Backend
    fleets.main(FOLDER, play, (fleets.PLAIN, fleets.PLAIN, fleets.PLAIN, fleets.KEYED))
