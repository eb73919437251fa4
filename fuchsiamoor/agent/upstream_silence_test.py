"""What becomes of runs whose upstream shows no other sign of life."""

import asyncio

from fuchsiamoor.core.verdicts import Ran, Reason
from fuchsiamoor.daemon.upstream_connection import Lost
from fuchsiamoor.testing import loopback_daemons


async def _reset(agent):
    return Lost(Reason.UPSTREAM_LOST, "connection closed")


# The answer of an upstream whose heartbeats came late, and that was too full for health
# checks, was dropped: its connections were closed while it worked.
def test_a_run_may_end_although_its_upstream_counts_as_down():
    async def play():
        async with loopback_daemons.start() as daemon:
            daemon.agent.ask_health = _reset
            verdict = await loopback_daemons.forward(daemon, "a", 2_700)
            upstream = daemon.agent.upstream
            return upstream.is_down, verdict, upstream.pool.open_connections

    assert asyncio.run(play()) == (True, Ran(), set())
