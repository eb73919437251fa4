"""Golden tests of whole requests through the entry and serving sides.

Run with ``UPDATE_GOLDEN=1`` to rewrite the files.
"""

import asyncio
import os
import pathlib

import pytest

from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import Ran, format_verdict
from fuchsiamoor.daemon import entry
from fuchsiamoor.testing import requests_data, routing_simulation, virtual_time
from fuchsiamoor.testing.routing_simulation import LinkFault, UpstreamFault, World

GOLDEN = pathlib.Path(__file__).parent / "entry_serving_golden"
A, B, C = (
    requests_data.make_member("a", "north-1", slots=1),
    requests_data.make_member("b", "north-2", slots=1),
    requests_data.make_member("c", "south-1", slots=1),
)
WEST = requests_data.make_member("d", "west-1")


async def send_request(world: World, member, request_id: str, **changes) -> None:
    """Send a request to a daemon and log its answer."""
    in_ms = changes.pop("in_ms", 1_000)
    deadline_ms = virtual_time.now_ms() + in_ms
    request = requests_data.make_request(request_id, deadline_ms=deadline_ms, **changes)
    routing_simulation.append_log(
        world, f"caller > {member.instance} {describe(request)}"
    )
    answer = await entry.handle(world.nodes[member.member_id].entry, request)
    verdict = format_verdict(answer.verdict)
    reason = "" if isinstance(answer.verdict, Ran) else f" {answer.verdict.reason}"
    routing_simulation.append_log(
        world,
        f"{member.instance} > caller {answer.request_id} {answer.status} "
        f"{verdict}{reason} {answer.body.decode()}".rstrip(),
    )


def describe(request: Request) -> str:
    kind = "idempotent" if request.idempotent else "once"
    return f"{request.request_id} key={request.key or '-'} {kind}"


async def forwards_to_the_owner(world: World) -> None:
    await send_request(world, B, "r1")


async def parks_during_a_planned_move(world: World) -> None:
    world.upstream_faults = [UpstreamFault.SLOW]
    first_request = asyncio.ensure_future(send_request(world, B, "r1"))
    await asyncio.sleep(0.02)
    move = asyncio.ensure_future(routing_simulation.move_planned(world, C.member_id))
    await asyncio.sleep(0.02)
    await send_request(world, B, "r2")
    await asyncio.gather(first_request, move)
    await send_request(world, B, "r3")


async def follows_the_owner_named_by_a_refusal(world: World) -> None:
    old_table = world.table
    world.nodes[B.member_id].entry.get_table = lambda domain: old_table
    await routing_simulation.move_planned(world, C.member_id)
    await send_request(world, B, "r1")


async def never_retries_a_non_idempotent_request_after_a_lost_link(
    world: World,
) -> None:
    world.link_faults = [LinkFault.LOST_BEFORE]
    await send_request(world, B, "r1")


async def retries_an_idempotent_request_after_a_lost_link(world: World) -> None:
    world.link_faults = [LinkFault.LOST_AFTER]
    await send_request(world, B, "r1", idempotent=True)


async def resends_after_an_unreachable_peer(world: World) -> None:
    world.link_faults = [LinkFault.UNREACHABLE]
    await send_request(world, B, "r1")


async def gives_no_crossed_answer(world: World) -> None:
    world.link_faults = [LinkFault.ANSWER_CROSSED]
    await send_request(world, B, "r1")


async def cancels_at_the_deadline(world: World) -> None:
    world.upstream_faults = [UpstreamFault.STUCK]
    await send_request(world, B, "r1", in_ms=100)


async def cancels_when_the_caller_disconnects(world: World) -> None:
    world.upstream_faults = [UpstreamFault.SLOW]
    request_task = asyncio.ensure_future(send_request(world, B, "r1"))
    await asyncio.sleep(0.02)
    request_task.cancel()
    await asyncio.wait([request_task])
    routing_simulation.append_log(world, "caller left")
    await asyncio.sleep(0.3)


async def refuses_outside_the_home_regions(world: World) -> None:
    await send_request(world, WEST, "r1")


async def hedges_a_slow_upstream(world: World) -> None:
    world.upstream_faults = [UpstreamFault.SLOW]
    await send_request(world, B, "r1", key="", idempotent=True)
    await asyncio.sleep(0.3)


async def never_hedges_a_non_idempotent_request(world: World) -> None:
    world.upstream_faults = [UpstreamFault.SLOW]
    await send_request(world, B, "r1", key="")


async def reports_may_have_run_after_a_later_refusal(world: World) -> None:
    world.link_faults = [LinkFault.LOST_BEFORE]
    world.upstream_faults = [UpstreamFault.SHED]
    await send_request(world, B, "r1", idempotent=True)


async def retries_elsewhere_when_an_upstream_sheds(world: World) -> None:
    world.upstream_faults = [UpstreamFault.SHED]
    await send_request(world, B, "r1", key="")


async def refuses_when_the_queue_is_full(world: World) -> None:
    calls = [send_request(world, A, f"r{index}", in_ms=200) for index in range(1, 8)]
    await asyncio.gather(*calls)


SCENARIOS = [
    forwards_to_the_owner,
    parks_during_a_planned_move,
    follows_the_owner_named_by_a_refusal,
    never_retries_a_non_idempotent_request_after_a_lost_link,
    retries_an_idempotent_request_after_a_lost_link,
    resends_after_an_unreachable_peer,
    gives_no_crossed_answer,
    cancels_at_the_deadline,
    cancels_when_the_caller_disconnects,
    refuses_outside_the_home_regions,
    hedges_a_slow_upstream,
    never_hedges_a_non_idempotent_request,
    reports_may_have_run_after_a_later_refusal,
    retries_elsewhere_when_an_upstream_sheds,
    refuses_when_the_queue_is_full,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_scenario_log_matches_the_golden_file(scenario):
    async def main():
        world = routing_simulation.make_world([A, B, C, WEST])
        routing_simulation.announce_upstreams(world)
        await scenario(world)
        return world

    log = "\n".join(virtual_time.run(main()).log) + "\n"
    path = GOLDEN / f"{scenario.__name__}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(log)
    assert log == path.read_text()
