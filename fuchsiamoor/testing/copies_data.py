"""Test data for copies of slow requests: daemons with instances of chosen speed."""

import asyncio

from fuchsiamoor.agent import caller_requests, retrying, state
from fuchsiamoor.core import messages
from fuchsiamoor.testing import caller_requests_data, traffic_data
from fuchsiamoor.testing.caller_requests_data import RAN

USUAL_MS = 100
SLOW_MS = 900


class UnevenInstances:
    """A script of peers that answer after `USUAL_MS`, some of them after `SLOW_MS`.

    Parameters
    ----------
    slow : set of str
        Instances that are slow; may be changed at any time.
    """

    def __init__(self):
        self.slow: set[str] = set()
        self.cancelled: list[str] = []

    async def __call__(self, instance, message):
        """Answer one carried request, or a question for credit."""
        if isinstance(message, messages.AskQuota):
            return messages.QuotaGiven(0)
        try:
            slow = instance in self.slow
            await asyncio.sleep((SLOW_MS if slow else USUAL_MS) / 1000)
        except asyncio.CancelledError:
            self.cancelled.append(instance)
            raise
        return RAN


def make_agent(script, copies_share=0.2, instances=4, **changes) -> state.Agent:
    """Return a daemon that may send copies, with saved retries.

    Parameters
    ----------
    script : callable
    copies_share : float
    instances : int
        Instances of the service.
    **changes
        Changes of the route.
    """
    names = [f"10.0.0.{n}" for n in range(2, 2 + instances)]
    made = traffic_data.make_catalog(1, traffic_data.make_route(**changes))
    agent = caller_requests_data.make_agent(script, *names, catalog=made)
    agent.settings = agent.settings._replace(
        copies_share=copies_share,
        bounds=agent.settings.bounds._replace(retry_spare=100.0),
    )
    budget = retrying.find_budget(agent, traffic_data.PLAIN_SERVICE)
    budget.tokens = budget.tokens_max
    return agent


async def measure(
    agent: state.Agent, count: int, gap_ms: int = 20, secret: bytes = b""
) -> list[float]:
    """Handle requests at a steady rate; return their latencies in ms, in order.

    With ``secret``, they carry this key of an organisation.
    """

    async def handle() -> float:
        began_ms = agent.now_ms()
        answer = await caller_requests.handle(
            agent, caller_requests_data.make_request(secret=secret)
        )
        assert answer.status == 200, answer
        return agent.now_ms() - began_ms

    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(handle()))
        await asyncio.sleep(gap_ms / 1000)
    return list(await asyncio.gather(*tasks))


async def start_warm(count: int, **changes) -> tuple[state.Agent, UnevenInstances]:
    """Return a daemon that has measured its instances in ``count`` requests.

    ``changes`` are those of `make_agent`.
    """
    instances = UnevenInstances()
    agent = make_agent(instances, **changes)
    await measure(agent, count)
    return agent, instances
