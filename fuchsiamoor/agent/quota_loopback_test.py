"""Two daemons on loopback that hold one quota together."""

import asyncio
from collections import Counter

from fuchsiamoor.agent import quota_credits
from fuchsiamoor.testing import loopback_daemons, organisations_data
from fuchsiamoor.traffic.organisations import Quota

QUOTA = Quota(3.0, 3.0)
KEY = organisations_data.KEY.decode()
INSTANCES = ("10.0.0.1", "10.0.0.2")
# More than the quota allows at once.
REQUESTS = 16


def _read_catalog(value):
    organisation = organisations_data.make_organisation(quota=QUOTA)
    return organisations_data.make_catalog(organisation, is_idempotent=False)


async def _ask_all(agents, secret):
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    statuses = [
        await loopback_daemons.ask_agent(agents[i % 2], f"{secret}{i}", secret=secret)
        for i in range(REQUESTS)
    ]
    served = [statuses[i::2].count(200) for i in range(2)]
    return Counter(statuses), served, loop.time() - began_s


def test_two_daemons_hold_one_quota_together():
    async def play():
        store, upstream = (
            loopback_daemons.make_store(),
            loopback_daemons.TimedUpstream(),
        )
        async with loopback_daemons.serve_upstream(upstream) as address:
            started = [
                await loopback_daemons.start_daemon(
                    loopback_daemons.make_settings(instance, address),
                    store,
                    _read_catalog,
                )
                for instance in INSTANCES
            ]
            agents = [agent for agent, _ in started]
            try:
                fill_s = QUOTA.burst / QUOTA.rate_per_s
                await asyncio.sleep(quota_credits.JOIN_MS / 1000 + fill_s + 0.5)
                return await _ask_all(agents, KEY), await _ask_all(agents, "nobody's")
            finally:
                for _, run in started:
                    await loopback_daemons.end_daemon(run)

    (known, served, passed_s), (unknown, _, _) = asyncio.run(play())
    assert set(known) == {200, 429}
    assert QUOTA.burst <= known[200] <= QUOTA.burst + QUOTA.rate_per_s * passed_s + 1
    # One of them is the allocator, and the other one asks it.
    assert min(served) >= 1
    assert unknown == {401: REQUESTS}
