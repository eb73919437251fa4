import asyncio

import pytest

from fuchsiamoor.agent import (
    caller_requests,
    lifecycle,
    retrying,
    target_selection,
)
from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.testing import traffic_data, virtual_time
from fuchsiamoor.testing.caller_requests_data import (
    FULL,
    LOST,
    OPEN,
    RAN,
    always,
    make_agent,
    make_outcome,
    make_request,
)


def _play(agent_factory, request=None):
    async def play():
        agent = agent_factory()
        answer = await caller_requests.handle(agent, request or make_request())
        return agent, answer, virtual_time.now_ms()

    return virtual_time.run(play())


def test_an_instance_of_the_service_answers_the_request():
    agent, answer, _ = _play(lambda: make_agent(always(RAN), "10.0.0.2"))
    assert (answer.status, answer.body) == (200, b"x")
    assert agent.links.calls[0][1].caller_service == "callers"


def test_without_a_catalog_requests_get_503_instead_of_404():
    def agent_factory():
        agent = make_agent(always(RAN))
        agent.cache.catalog = agent.cache.catalog._replace(version=0)
        return agent

    _, answer, _ = _play(agent_factory)
    assert answer.status == 503
    assert dict(answer.headers)[b"Retry-After"]


def test_an_unknown_route_gets_404():
    _, answer, _ = _play(lambda: make_agent(always(RAN)), make_request("/elsewhere/1"))
    assert answer.status == 404


def test_a_refusal_by_a_full_instance_is_retried_at_another():
    async def script(instance, message):
        return FULL if instance == "10.0.0.2" else RAN

    agent, answer, _ = _play(lambda: make_agent(script, "10.0.0.2", "10.0.0.3"))
    assert answer.status == 200
    assert agent.retry_budgets[traffic_data.PLAIN_SERVICE].tokens < 1


def test_when_all_instances_are_full_the_caller_gets_503_at_once_with_retry_after():
    instances = [f"10.0.0.{n}" for n in range(2, 9)]
    agent, answer, elapsed_ms = _play(lambda: make_agent(always(FULL), *instances))
    assert answer.status == 503
    assert 0.05 <= float(dict(answer.headers)[b"Retry-After"]) <= 0.34
    assert len(agent.links.calls) == target_selection.REFUSALS_MAX
    assert elapsed_ms < 50


def test_a_request_that_may_have_run_is_not_retried_unless_idempotent():
    route = traffic_data.make_route(is_idempotent=False)

    def agent_factory():
        made = traffic_data.make_catalog(1, route)
        return make_agent(always(LOST), "10.0.0.2", "10.0.0.3", catalog=made)

    agent, answer, _ = _play(agent_factory)
    assert (answer.status, len(agent.links.calls)) == (502, 1)


# A status of 0 from another daemon went to the caller as it was.
@pytest.mark.parametrize(
    "answered",
    [
        *(make_outcome(Ran(), status) for status in (0, 99, 100, 101, 600, 999, -1)),
        messages.Done(),
        messages.TransferGranted(),
    ],
)
@pytest.mark.parametrize("is_idempotent", [False, True])
def test_what_is_no_answer_may_have_run(answered, is_idempotent):
    async def script(instance, message):
        return answered if instance == "10.0.0.2" else RAN

    route = traffic_data.make_route(is_idempotent=is_idempotent)

    def agent_factory():
        made = traffic_data.make_catalog(1, route)
        return make_agent(script, "10.0.0.2", catalog=made)

    agent, answer, elapsed_ms = _play(agent_factory)
    sent = [call for call in agent.links.calls if call[0] == "10.0.0.2"]
    assert (answer.status, len(sent)) == (502, 1)
    assert elapsed_ms < 100


def test_without_retry_budget_there_is_no_retry():
    def agent_factory():
        agent = make_agent(always(LOST), "10.0.0.2", "10.0.0.3")
        retrying.find_budget(agent, traffic_data.PLAIN_SERVICE).tokens = 0.0
        return agent

    agent, answer, _ = _play(agent_factory)
    assert (answer.status, len(agent.links.calls)) == (502, 1)


def test_after_an_unreachable_daemon_even_non_idempotent_requests_are_retried():
    async def script(instance, message):
        if instance == "10.0.0.2":
            raise errors.PeerUnreachableError("no route")
        return RAN

    route = traffic_data.make_route(is_idempotent=False)

    def agent_factory():
        made = traffic_data.make_catalog(1, route)
        return make_agent(script, "10.0.0.2", "10.0.0.3", catalog=made)

    _, answer, _ = _play(agent_factory)
    assert answer.status == 200


def test_a_crowded_instance_is_found_out_before_a_request_is_sent():
    def agent_factory():
        agent = make_agent(always(RAN), "10.0.0.2", "10.0.0.3")
        agent.links.loads["10.0.0.2"] = OPEN._replace(
            running=18, waiting=9, wait_ms=900
        )
        return agent

    for _ in range(5):
        agent, answer, _ = _play(agent_factory)
        assert answer.status == 200
        assert sorted(agent.links.asked) == ["10.0.0.2", "10.0.0.3"]
        assert [instance for instance, _ in agent.links.calls] == ["10.0.0.3"]


def test_an_instance_that_reported_its_load_lately_is_not_asked():
    async def play():
        agent = make_agent(always(RAN), "10.0.0.2", "10.0.0.3")
        for _ in range(20):
            await caller_requests.handle(agent, make_request())
        return agent.links.asked

    assert len(virtual_time.run(play())) <= 4


def test_an_instance_that_does_not_answer_is_passed_over():
    async def answer(instance, message):
        return RAN

    def agent_factory():
        agent = make_agent(answer, "10.0.0.2", "10.0.0.3")
        agent.links.silent.add("10.0.0.2")
        return agent

    agent, answer_, elapsed_ms = _play(agent_factory)
    assert answer_.status == 200 and elapsed_ms < 100
    assert [instance for instance, _ in agent.links.calls] == ["10.0.0.3"]


def _make_keyed_agent(script):
    agent = make_agent(script, "10.0.0.2", service=traffic_data.KEYED_SERVICE)
    row = tables.Row(0, 65_535, "10.0.0.2/i@1", 1)
    table = tables.RangeTable(traffic_data.KEYED_SERVICE, 1, (row,))
    agent.cache.tables[traffic_data.KEYED_SERVICE] = table
    return agent


KEYED = make_request("/keyed/1", key=7)


def test_an_owner_that_does_not_hold_the_key_yet_is_retried_after_a_wait():
    refused = make_outcome(NotRun(Reason.NOT_OWNER), has_arrived=False)
    agent, answer, elapsed_ms = _play(lambda: _make_keyed_agent(always(refused)), KEYED)
    assert answer.status == 503
    assert 1 < len(agent.links.calls) < 15
    assert 300 < elapsed_ms < 1_000


def test_an_overloaded_owner_is_neither_retried_nor_avoided():
    agent, answer, elapsed_ms = _play(lambda: _make_keyed_agent(always(FULL)), KEYED)
    assert (answer.status, len(agent.links.calls)) == (503, 1)
    assert elapsed_ms < 50
    assert agent.selection_stats.by_instance["10.0.0.2"].avoid_until_ms == 0


# Pattern: more requests than slots for seconds. One that had waited in vain until too
# little time was left for a run was sent to two more instances before its refusal.
def test_a_request_that_waited_in_vain_is_refused_at_once_with_retry_after():
    expired = make_outcome(
        NotRun(Reason.DEADLINE_PASSED, "while it waited"), has_arrived=False
    )
    agent, answer, elapsed_ms = _play(
        lambda: make_agent(always(expired), "10.0.0.2", "10.0.0.3", "10.0.0.4")
    )
    assert (answer.status, len(agent.links.calls)) == (503, 1)
    assert b"Retry-After" in dict(answer.headers)
    assert elapsed_ms < 50


# Pattern: calls that waited for the owner of their key were sent with their last 30 ms.
# They were refused on arrival, but the refusal came after the answer 504.
def test_a_request_without_time_for_the_way_is_refused_instead_of_sent():
    async def be_late(instance, message):
        raise errors.PeerTimeoutError(instance)

    agent, answer, elapsed_ms = _play(
        lambda: make_agent(be_late, "10.0.0.2"), make_request(wait_ms=50)
    )
    assert (answer.status, agent.links.calls) == (503, [])
    assert elapsed_ms < 10
    assert agent.selection_stats.by_instance["10.0.0.2"].avoid_until_ms == 0


def test_a_disconnected_caller_cancels_its_forwarded_request():
    async def never(instance, message):
        await asyncio.sleep(60)

    async def play():
        agent = make_agent(never, "10.0.0.2")
        task = asyncio.ensure_future(caller_requests.handle(agent, make_request()))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        return agent.links.sent

    assert virtual_time.run(play()) == [messages.Cancel("a1")]


def test_requests_cancelled_at_a_stop_say_whether_they_may_have_run():
    async def never(instance, message):
        await asyncio.sleep(60)

    async def play(agent, request):
        task = asyncio.ensure_future(caller_requests.handle(agent, request))
        await asyncio.sleep(0.1)
        caller_requests.cancel_all(agent)
        return await task

    in_flight = virtual_time.run(play(make_agent(never, "10.0.0.2"), make_request()))
    assert in_flight.status == 504
    waiting = _make_keyed_agent(never)
    waiting.cache.tables.clear()
    assert virtual_time.run(play(waiting, KEYED)).status == 503


def test_a_retry_by_the_caller_has_less_time_for_an_answer_in_time():
    agent, _, _ = _play(lambda: make_agent(always(RAN), "10.0.0.2"))

    async def play():
        await caller_requests.handle(agent, make_request(wait_ms=700))

    virtual_time.run(play())
    first, second = (message for _, message in agent.links.calls)
    # Both arrived at time 0, the first one was sent after a question for the load.
    in_time_by_ms = [call.sent_ms + call.in_time_ms for call in (first, second)]
    assert in_time_by_ms[0] - in_time_by_ms[1] == 300


def test_a_stopping_daemon_serves_until_the_stop_notice_and_then_refuses():
    async def play():
        agent = make_agent(always(RAN), "10.0.0.2")
        lifecycle.request_stop(agent)
        first = await caller_requests.handle(agent, make_request())
        await asyncio.sleep(2.2)
        return first, await caller_requests.handle(agent, make_request())

    first, late = virtual_time.run(play())
    assert (first.status, late.status) == (200, 503)
    assert dict(late.headers)[b"Retry-After"]


def _ask_while_stopping(stopping_for_ms, run_ms, wait_ms):
    """Send a request to a daemon that stops; return its answer and what was sent."""

    async def play():
        agent = make_agent(always(RAN), "10.0.0.2")
        agent.selection_stats.run_ms["read"] = run_ms
        lifecycle.request_stop(agent)
        agent.stopping_since_ms -= stopping_for_ms
        answer = await caller_requests.handle(agent, make_request(wait_ms=wait_ms))
        sent_ms = [message.remaining_ms for _, message in agent.links.calls]
        return answer.status, sent_ms

    return virtual_time.run(play())


# Requests that came late in the grace were passed on and cut off at its end, among them
# some that may not be repeated.
def test_a_stopping_daemon_refuses_what_cannot_end_before_its_stop():
    assert _ask_while_stopping(2_000, run_ms=4_000, wait_ms=9_000) == (503, [])


def test_a_stopping_daemon_passes_on_what_ends_before_its_stop():
    status, sent_ms = _ask_while_stopping(2_000, run_ms=400, wait_ms=1_800)
    assert status == 200
    assert len(sent_ms) == 1


# With less time handed on, runs that might have ended were broken off before the end.
def test_a_request_that_a_stopping_daemon_passes_on_keeps_its_deadline():
    catalog = traffic_data.make_catalog(1, traffic_data.make_route(timeout_ms=9_000))

    async def play():
        agent = make_agent(always(RAN), "10.0.0.2", catalog=catalog)
        lifecycle.request_stop(agent)
        agent.stopping_since_ms -= 2_000
        await caller_requests.handle(agent, make_request(wait_ms=9_000))
        ((_, message),) = agent.links.calls
        return message.remaining_ms

    assert virtual_time.run(play()) > 8_500
