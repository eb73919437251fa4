"""A coordinator's role after a store outage, in virtual time."""

import asyncio
import contextlib

from fuchsiamoor.daemon import coordinator_election, coordinator_role, registration
from fuchsiamoor.ownership import lease_holder
from fuchsiamoor.testing import fake_store, node_data, ownership_data, virtual_time

DOMAIN = ownership_data.DOMAIN
TICK_MS = 10


async def advance_store(store):
    """Keep the store's clock at virtual time."""
    while True:
        await asyncio.sleep(TICK_MS / 1000)
        store.clock.now_ms = virtual_time.now_ms()


async def wait_until(is_reached, within_ms):
    """Return the time until a condition holds; fail after ``within_ms``."""
    started_ms = virtual_time.now_ms()
    async with asyncio.timeout(within_ms / 1000):
        while not is_reached():
            await asyncio.sleep(TICK_MS / 1000)
    return virtual_time.now_ms() - started_ms


@contextlib.asynccontextmanager
async def run_candidate():
    """Run the elections of one registered member of a domain."""
    store = fake_store.make_fake_store()
    node = node_data.make_node(store)
    node.now_ms = virtual_time.now_ms
    await registration.register(node)
    node.holders[DOMAIN] = lease_holder.make_lease_holder(
        node.member.member_id, DOMAIN, ownership_data.TIMING
    )
    running = [
        asyncio.create_task(advance_store(store)),
        asyncio.create_task(coordinator_election.run_elections(node)),
    ]
    try:
        await wait_until(lambda: DOMAIN in node.coordinator_roles, 2_000)
        yield node, store
    finally:
        for task in (*running, *node.tasks):
            task.cancel()


def test_a_coordinator_whose_store_lease_lapsed_takes_the_role_again():
    async def scenario():
        async with run_candidate() as (node, store):
            store.is_down = True
            await asyncio.sleep(2)
            store.is_down = False
            await wait_until(lambda: DOMAIN not in node.coordinator_roles, 1_000)
            await wait_until(lambda: DOMAIN in node.coordinator_roles, 2_000)

    virtual_time.run(scenario())


def test_a_coordinator_that_is_unfit_leaves_the_role_to_others_for_a_while():
    async def scenario():
        async with run_candidate() as (node, _):
            role = node.coordinator_roles[DOMAIN]
            await coordinator_role.give_up_role(
                node, role, "it reaches nobody", pauses_candidacy=True
            )
            await wait_until(lambda: DOMAIN not in node.coordinator_roles, 1_000)
            waited_ms = await wait_until(
                lambda: DOMAIN in node.coordinator_roles,
                2 * coordinator_election.CANDIDACY_PAUSE_MS,
            )
            assert waited_ms > coordinator_election.CANDIDACY_PAUSE_MS - 1_000

    virtual_time.run(scenario())
