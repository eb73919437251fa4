"""An upstream with scripted verdicts, for tests of a daemon's serving side."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import Ran, Verdict
from fuchsiamoor.routing import error_answers
from fuchsiamoor.testing import virtual_time


@dataclass(slots=True)
class ScriptedUpstream:
    """Runs requests for ``run_ms`` each; scripted verdicts end theirs at once.

    Parameters
    ----------
    run_ms : int
    verdicts : list of Verdict
        Verdicts of the next requests, which do not run.
    started, cancelled : list of str
        Ids of the requests that started and of those whose run was cancelled.
    cancel_requests : list of str
        Ids of the requests for which `cancel` was called.
    over_capacity : list of str
        Ids of the requests that exceeded the concurrency limit of a cold upstream.
    leases_until_ms : list of int
        End of the lease of each request, in Unix time.
    """

    run_ms: int = 10
    verdicts: list[Verdict] = field(default_factory=list)
    started: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    cancel_requests: list[str] = field(default_factory=list)
    over_capacity: list[str] = field(default_factory=list)
    leases_until_ms: list[int] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    running: set[str] = field(default_factory=set)
    initial_requests: int = 1_000
    slots: int = 1_000
    ramp_ms: int = 1
    cold_since_ms: int = 0

    def set_capacity(self, initial_requests: int, slots: int, ramp_ms: int) -> None:
        """Set the concurrency limits, which rise linearly after a cold start."""
        self.initial_requests, self.slots, self.ramp_ms = (
            initial_requests,
            slots,
            ramp_ms,
        )

    def lose_warm_state(self) -> None:
        """Restart the ramp; running requests continue."""
        self.cold_since_ms = virtual_time.now_ms()

    def restart(self) -> None:
        """Restart the ramp and drop the running requests."""
        self.lose_warm_state()
        self.running.clear()

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    async def cancel(self, request_id: str) -> bool:
        """Record a request to cancel a run, and confirm that it has ended."""
        self.cancel_requests.append(request_id)
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
        """Run a request, or end it with the next scripted verdict."""
        request_id = request.request_id
        self.leases_until_ms.append(lease_until_unix_ms)
        if self.verdicts:
            self.started.append(request_id)
            return error_answers.make_error_answer(request_id, self.verdicts.pop(0))
        self.started.append(request_id)
        self.running.add(request_id)
        self._record_excess(request_id)
        try:
            await asyncio.sleep(self.run_ms / 1_000)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running.discard(request_id)
        body = f"{request_id} {request.path}".encode()
        return Answer(request_id, Ran(), 200, (), body, "a")

    def _record_excess(self, request_id: str) -> None:
        warm_ms = min(virtual_time.now_ms() - self.cold_since_ms, self.ramp_ms)
        ratio = warm_ms / self.ramp_ms
        if (
            len(self.running)
            > self.initial_requests + (self.slots - self.initial_requests) * ratio
        ):
            self.over_capacity.append(request_id)
