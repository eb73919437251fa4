import asyncio

import pytest

from fuchsiamoor.agent import executing, lifecycle, upstream_lifecycle
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.testing import traffic_data

SLOTS = 2


class ScriptedUpstream:
    """An HTTP server that answers each path as it says; it counts what it was sent."""

    def __init__(self):
        self.seen = []
        self.cut = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split()[1]
                self.seen.append(target)
                await self._answer(target, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut += 1
        finally:
            writer.close()

    async def _answer(self, target, reader, writer):
        match target:
            case "/read/slow":
                if await reader.read(1) == b"":
                    raise ConnectionError
            case "/read/lost":
                raise ConnectionError
            case "/read/full":
                writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n")
                writer.write(b"Content-Length: 0\r\n\r\n")
            case "/read/unframed":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
                await writer.drain()
                raise ConnectionError
            case _:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def _start(upstream):
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    settings = traffic_data.make_settings(service=traffic_data.PLAIN_SERVICE)
    settings = settings._replace(upstream_address=address)
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
    agent.cache.catalog = traffic_data.make_catalog()
    heartbeat = traffic_data.make_heartbeat(
        service=traffic_data.PLAIN_SERVICE, slots=SLOTS
    )
    upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    return server, agent


def _play(scene):
    async def play():
        upstream = ScriptedUpstream()
        server, agent = await _start(upstream)
        try:
            return await scene(upstream, agent)
        finally:
            server.close()

    return asyncio.run(asyncio.wait_for(play(), 10))


def _execute(agent, target="/read/1", **changes):
    request = traffic_data.make_carried(target=target, **changes)
    return executing.execute(agent, request)


@pytest.mark.parametrize(
    ("target", "verdict", "has_arrived"),
    [
        ("/read/1", Ran, True),
        ("/read/unframed", Ran, True),
        ("/read/full", NotRun, True),
        ("/read/lost", MayHaveRun, True),
    ],
)
def test_every_ending_says_truly_whether_it_ran(target, verdict, has_arrived):
    async def scene(upstream, agent):
        return await _execute(agent, target)

    ended = _play(scene)
    assert isinstance(ended.verdict, verdict)
    assert ended.has_arrived is has_arrived


def test_no_more_than_the_slots_are_handed_over():
    async def scene(upstream, agent):
        slow = [asyncio.ensure_future(_execute(agent, "/read/slow")) for _ in range(5)]
        await asyncio.sleep(0.1)
        seen = len(upstream.seen)
        for task in slow:
            task.cancel()
        await asyncio.sleep(0.1)
        return seen, upstream.cut, agent.upstream.admission_queue

    seen, cut, gate = _play(scene)
    assert seen == SLOTS
    assert cut == SLOTS
    assert (gate.running, gate.waiting) == (0, 0)


def test_a_request_that_was_held_up_beyond_its_time_is_not_run():
    async def scene(upstream, agent):
        ended = await _execute(agent, remaining_ms=3)
        return ended.verdict, upstream.seen

    verdict, seen = _play(scene)
    assert verdict.reason is Reason.DEADLINE_PASSED
    assert seen == []


def test_a_leaving_upstream_gets_nothing_after_its_drain():
    async def scene(upstream, agent):
        upstream_lifecycle.start_drain(agent)
        before = await _execute(agent)
        agent.upstream.draining_since_ms -= agent.settings.bounds.drain_ms
        after = await _execute(agent)
        return before.verdict, after.verdict, len(upstream.seen)

    before, after, seen = _play(scene)
    assert isinstance(before, Ran)
    assert after.reason is Reason.SHUTTING_DOWN
    assert seen == 1


def test_a_data_centre_taken_out_gets_nothing():
    async def scene(upstream, agent):
        agent.cache.evacuated.add(agent.settings.data_centre)
        return await _execute(agent)

    assert _play(scene).verdict.reason is Reason.SHUTTING_DOWN


def test_a_request_for_other_home_regions_is_refused():
    async def scene(upstream, agent):
        return await _execute(agent, home_regions=("south",))

    assert _play(scene).verdict.reason is Reason.OUTSIDE_HOME_REGIONS


def test_a_stopping_daemon_gives_its_upstream_nothing_it_could_not_end():
    async def scene(upstream, agent):
        lifecycle.request_stop(agent)
        agent.stopping_since_ms -= 3_000
        return await _execute(agent)

    assert _play(scene).verdict.reason is Reason.SHUTTING_DOWN


def test_a_refused_connection_ends_the_upstream_and_tells_who_may_take_over():
    async def play():
        server, agent = await _start(ScriptedUpstream())
        server.close()
        await server.wait_closed()
        ended = await _execute(agent)
        await asyncio.sleep(0.1)
        return ended, agent

    ended, agent = asyncio.run(play())
    assert ended.verdict.reason is Reason.CONNECT_FAILED
    assert not ended.has_arrived
    assert agent.upstream.ended_owner == agent.upstream.owner != ""


def test_an_upstream_that_holds_no_keys_has_no_demand_on_them():
    async def scene(upstream, agent):
        ended = await _execute(agent, key=5)
        return ended.verdict, list(agent.upstream.demand.samples)

    verdict, samples = _play(scene)
    assert isinstance(verdict, Ran)
    assert samples == []
