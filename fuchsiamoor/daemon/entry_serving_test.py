"""The entry and serving sides together, under random schedules of failures."""

import asyncio
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.configuration import Limits
from fuchsiamoor.core.verdicts import NotRun, Ran
from fuchsiamoor.daemon import entry
from fuchsiamoor.routing import retry_budget
from fuchsiamoor.testing import requests_data, routing_simulation, virtual_time
from fuchsiamoor.testing.routing_simulation import LinkFault, UpstreamFault, World

MEMBERS = [
    requests_data.make_member("a", "north-1"),
    requests_data.make_member("b", "north-2"),
    requests_data.make_member("c", "south-1"),
    requests_data.make_member("d", "west-1"),
]
HOME_IDS = [member.member_id for member in MEMBERS[:3]]
WEST_ID = MEMBERS[3].member_id


class Call(NamedTuple):
    at_ms: int
    key: str
    idempotent: bool
    idempotency_key: str
    entry_index: int
    deadline_in_ms: int
    cancel_after_ms: int | None


class Move(NamedTuple):
    at_ms: int
    owner_index: int
    planned: bool


CALLS = st.builds(
    Call,
    at_ms=st.integers(0, 400),
    key=st.sampled_from(["", "chair-1", "chair-2"]),
    idempotent=st.booleans(),
    idempotency_key=st.sampled_from(["", "", "once"]),
    entry_index=st.integers(0, 3),
    deadline_in_ms=st.integers(1, 600),
    cancel_after_ms=st.none() | st.integers(0, 60),
)
MOVES = st.builds(
    Move,
    at_ms=st.integers(0, 500),
    owner_index=st.integers(0, 2),
    planned=st.booleans(),
)


MOVE_FUNCTIONS = {
    True: routing_simulation.move_planned,
    False: routing_simulation.move_unplanned,
}


async def run_schedule(world: World, calls: list[Call], moves: list[Move]) -> dict:
    routing_simulation.announce_upstreams(world)
    answers = {}

    async def send_call(index: int, call: Call) -> None:
        await asyncio.sleep(call.at_ms / 1000)
        node = list(world.nodes.values())[call.entry_index]
        request = requests_data.make_request(
            f"r{index}",
            key=call.key,
            idempotent=call.idempotent,
            idempotency_key=call.idempotency_key,
            path="/same" if call.idempotency_key else f"/{index}",
            deadline_ms=virtual_time.now_ms() + call.deadline_in_ms,
        )
        timeout_s = (
            None if call.cancel_after_ms is None else call.cancel_after_ms / 1000
        )
        try:
            handled = entry.handle(node.entry, request)
            answers[request.request_id] = await asyncio.wait_for(handled, timeout_s)
        except TimeoutError:
            answers[request.request_id] = None

    async def run_moves() -> None:
        for move in sorted(moves):
            await asyncio.sleep(max(move.at_ms - virtual_time.now_ms(), 0) / 1000)
            await MOVE_FUNCTIONS[move.planned](world, HOME_IDS[move.owner_index])

    await asyncio.gather(
        run_moves(), *(send_call(i, call) for i, call in enumerate(calls))
    )
    await asyncio.sleep(10)
    return answers


@given(
    st.lists(CALLS, max_size=8),
    st.lists(MOVES, max_size=3),
    st.lists(st.sampled_from(LinkFault), max_size=10),
    st.lists(st.sampled_from(UpstreamFault), max_size=8),
)
def test_answers_are_true_under_failures(calls, moves, link_faults, upstream_faults):
    world = routing_simulation.make_world(MEMBERS)
    world.link_faults = link_faults
    world.upstream_faults = upstream_faults
    answers = virtual_time.run(run_schedule(world, calls, moves))
    for index, call in enumerate(calls):
        request_id = f"r{index}"
        run_count = routing_simulation.count_runs(world, request_id)
        answer = answers[request_id]
        assert call.idempotent or run_count <= 1, world.log
        if answer is None:
            continue
        assert answer.request_id == request_id
        if isinstance(answer.verdict, NotRun):
            assert run_count == 0, world.log
        if isinstance(answer.verdict, Ran) and not call.idempotency_key:
            assert answer.body == f"{request_id} /{index}".encode()
    check_shards_run_exclusively(world)
    assert WEST_ID not in {member_id for member_id, _ in world.received}
    assert "d" not in {record.instance for record in world.runs}
    assert routing_simulation.list_leaks(world) == []


def check_shards_run_exclusively(world: World) -> None:
    """Check that no two instances run requests of one shard at the same time."""
    keyed = [record for record in world.runs if record.shard >= 0]
    for first in keyed:
        for second in keyed:
            if first.shard != second.shard or first.instance == second.instance:
                continue
            is_disjoint = (
                first.ended_ms <= second.started_ms
                or second.ended_ms <= first.started_ms
            )
            assert is_disjoint, (first, second, world.log)


def test_late_duplicate_of_a_refused_attempt_is_refused():
    world = routing_simulation.make_world(MEMBERS)
    world.link_faults = [LinkFault.TWICE_LATE]
    world.upstream_faults = [UpstreamFault.SHED]
    call = Call(0, "chair-1", True, "", 1, 200, None)
    answers = virtual_time.run(run_schedule(world, [call], []))
    assert isinstance(answers["r0"].verdict, NotRun)
    assert world.runs == []


def test_measurements_of_departed_members_are_dropped():
    world = routing_simulation.make_world(MEMBERS)

    async def main():
        routing_simulation.announce_upstreams(world)
        node = world.nodes[HOME_IDS[0]]
        for index in range(20):
            request = requests_data.make_request(f"r{index}", key="")
            await entry.handle(node.entry, request)
        assert len(node.entry.measurements.members) > 1
        for member_id in HOME_IDS[1:]:
            del world.nodes[member_id]
        entry.handle_state_change(node.entry)
        assert set(node.entry.measurements.members) == {HOME_IDS[0]}

    virtual_time.run(main())


def test_planned_move_loses_no_request():
    limits = Limits(body_bytes=100, queued_requests=2, parked_requests=100)
    configuration = requests_data.make_configuration(
        requests_data.make_service(limits=limits)
    )
    members = [member._replace(slots=2) for member in MEMBERS]
    world = routing_simulation.make_world(members, configuration)
    world.upstream_faults = [UpstreamFault.SLOW]
    calls = [Call(10 * i, "chair-1", False, "", i % 3, 1_000, None) for i in range(40)]
    answers = virtual_time.run(run_schedule(world, calls, [Move(5, 1, True)]))
    assert [answer.verdict for answer in answers.values()] == [Ran()] * 40
    assert {record.instance for record in world.runs} == {"a", "b"}


def test_retries_of_a_keyed_request_do_not_multiply_overload():
    world = routing_simulation.make_world(MEMBERS)
    world.link_faults = [LinkFault.LOST_AFTER] * 1_000
    calls = [Call(10 * i, "chair-1", True, "", 1, 500, None) for i in range(40)]
    virtual_time.run(run_schedule(world, calls, []))
    assert len(world.runs) <= 40 * 1.1 + retry_budget.RESERVE_TOKENS
