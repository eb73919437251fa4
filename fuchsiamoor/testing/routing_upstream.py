"""A fake upstream for tests of the serving side alone."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import Ran, Verdict
from fuchsiamoor.routing import error_answers
from fuchsiamoor.testing import virtual_time


@dataclass(slots=True)
class ScriptedUpstream:
    """Runs every request for ``run_ms``, but for those that ``verdicts`` end at once.

    Parameters
    ----------
    run_ms : int
    verdicts : list of Verdict
        Endings of the next requests.
    started, cancelled : list of str
        Request ids.
    ordered : list of str
        Request ids that an order to cancel came for.
    overfilled : list of str
        Requests that came when more ran already than a cold upstream bears.
    leases_until_ms : list of int
        Ends of the leases, in Unix time, that the requests came under.
    """

    run_ms: int = 10
    verdicts: list[Verdict] = field(default_factory=list)
    started: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    ordered: list[str] = field(default_factory=list)
    overfilled: list[str] = field(default_factory=list)
    leases_until_ms: list[int] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    running: set[str] = field(default_factory=set)
    initial: int = 1_000
    slots: int = 1_000
    ramp_ms: int = 1
    cold_since_ms: int = 0

    def bears(self, initial: int, slots: int, ramp_ms: int) -> None:
        """Set what the upstream bears after a cold start."""
        self.initial, self.slots, self.ramp_ms = initial, slots, ramp_ms

    def turn_cold(self) -> None:
        """Lose the warm state; what runs goes on."""
        self.cold_since_ms = virtual_time.now_ms()

    def restart(self) -> None:
        """Lose the warm state and all that runs."""
        self.turn_cold()
        self.running.clear()

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    async def cancel(self, request_id: str) -> bool:
        """Take an order to cancel a run, which ends it at once."""
        self.ordered.append(request_id)
        return True

    async def run(
        self,
        request: Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
        domain: str = "",
    ) -> Answer:
        """Run a request as told."""
        request_id = request.request_id
        self.leases_until_ms.append(lease_until_unix_ms)
        if self.verdicts:
            self.started.append(request_id)
            return error_answers.make_error_answer(request_id, self.verdicts.pop(0))
        self.started.append(request_id)
        self.running.add(request_id)
        self._check_fill(request_id)
        try:
            await asyncio.sleep(self.run_ms / 1_000)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running.discard(request_id)
        body = f"{request_id} {request.path}".encode()
        return Answer(request_id, Ran(), 200, (), body, "a")

    def _check_fill(self, request_id: str) -> None:
        warm_ms = min(virtual_time.now_ms() - self.cold_since_ms, self.ramp_ms)
        share = warm_ms / self.ramp_ms
        if len(self.running) > self.initial + (self.slots - self.initial) * share:
            self.overfilled.append(request_id)
