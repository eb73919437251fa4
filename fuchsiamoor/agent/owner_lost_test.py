"""Keys whose owner is lost or leaves: who waits for them, and for how long.

Callers of a key that certainly gets no owner in time are refused at once, as every wait
takes a slot of the work that asked; and a leaving upstream's keys are free as soon as
its process is gone.
"""

import asyncio

from fuchsiamoor.agent import choosing, entering, table_writer, upstream_lifecycle
from fuchsiamoor.core.verdicts import Ran
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.testing import range_world, traffic_data, virtual_time
from fuchsiamoor.testing.entering_data import (
    OPEN,
    RAN,
    always,
    make_agent,
    make_ending,
    make_request,
)

KEYED = traffic_data.KEYED_SERVICE
LOST = "10.0.0.2/i@1"
# Enough to earn some repeats.
REQUESTS = 40


def _make_lost_agent(script, absent_for_ms):
    """Return a daemon that knows the owner of all keys as lost for some time."""
    agent = make_agent(script, service=KEYED)
    row = tables.Row(0, 65_535, LOST, 1)
    agent.cache.tables[KEYED] = tables.RangeTable(KEYED, 1, (row,))
    agent.cache.absent_since_ms[LOST] = virtual_time.now_ms() - absent_for_ms
    return agent


def _ask(absent_for_ms):
    async def play():
        agent = _make_lost_agent(always(RAN), absent_for_ms)
        answer = await entering.handle(agent, make_request("/keyed/1", key=5))
        return answer, virtual_time.now_ms()

    return virtual_time.run(play())


def test_a_key_that_gets_no_owner_in_time_is_refused_at_once():
    answer, elapsed_ms = _ask(absent_for_ms=1_000)
    assert answer.status == 503
    assert elapsed_ms < choosing.OWNERLESS_LOOK_MS
    assert float(dict(answer.headers)[b"Retry-After"]) > 0.3


def test_a_key_that_is_about_to_get_an_owner_is_waited_for():
    answer, elapsed_ms = _ask(absent_for_ms=table_writer.LOST_AFTER_MS - 100)
    assert answer.status == 503
    assert elapsed_ms >= 300


def test_failed_work_is_not_repeated_where_others_wait():
    failed = make_ending(Ran(), 500)
    crowded = failed._replace(load=OPEN._replace(running=18, waiting=3))

    async def play(ending):
        agent = make_agent(always(ending), "10.0.0.2", "10.0.0.3")
        for _ in range(REQUESTS):
            await entering.handle(agent, make_request())
        return len(agent.links.calls)

    assert virtual_time.run(play(failed)) > REQUESTS
    assert virtual_time.run(play(crowded)) == REQUESTS


async def _leave(world):
    """Have an upstream announce its leaving, say farewell and exit, all at once."""
    for machine in world.machines:
        range_world.start_daemon(world, machine)
        range_world.start_upstream(world, machine)
    await asyncio.sleep(5)
    machine = world.machines[0]
    machine.upstream.is_draining = True
    while machine.agent.upstream.draining_since_ms is None:
        await asyncio.sleep(0.01)
    upstream_lifecycle.handle_deregistration(
        machine.agent, machine.upstream.incarnation.upstream_id
    )
    range_world.kill_upstream(machine)


def test_keys_of_an_upstream_that_exits_are_held_again_after_one_heartbeat():
    async def play():
        world = range_world.make_world(seed=2)
        await _leave(world)
        # The next owner's heartbeat comes within 1.1 intervals, the table before it.
        await asyncio.sleep(1.1 * range_world.HEARTBEAT_MS / 1000 + 0.3)
        held = range_world.holds_all(world)
        await range_world.close(world)
        return held, world.faults

    assert virtual_time.run(play()) == (True, [])


def test_rows_are_granted_in_pieces_that_are_let_go_one_by_one():
    made = granting.make_granting(LOST)
    stays = tables.RangeTable(KEYED, 1, (tables.Row(0, 9_999, LOST, 1),))
    heartbeat = traffic_data.make_heartbeat()
    grants = granting.answer_heartbeat(made, stays, heartbeat, 9_000, 10_000, 0)
    sizes = [grant.last - grant.first + 1 for grant in grants.rows]
    assert sum(sizes) == 10_000
    assert max(sizes) <= granting.PIECE_KEYS
    assert granting.find_grant(made, 5_000, 0).first <= 5_000
    assert granting.find_grant(made, 10_000, 0) is None


def test_an_owner_of_all_keys_gets_no_more_pieces_than_an_answer_holds():
    made = granting.make_granting(LOST)
    table = tables.RangeTable(KEYED, 1, (tables.Row(0, 65_535, LOST, 1),))
    heartbeat = traffic_data.make_heartbeat()
    grants = granting.answer_heartbeat(made, table, heartbeat, 9_000, 10_000, 0)
    assert len(grants.rows) <= granting.PIECES_MAX
