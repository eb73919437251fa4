"""Calls that a service makes of another one which sheds most of its requests.

Repeating the runs that failed for their calls would send more calls to the service that
cannot take them, and use up the repeats that the calls themselves need.
"""

import pytest

from fuchsiamoor.agent import caller_requests, nested_calls, retrying
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.routing import retry_budget
from fuchsiamoor.testing import traffic_data, virtual_time
from fuchsiamoor.testing.caller_requests_data import (
    RAN,
    always,
    make_agent,
    make_outcome,
    make_request,
)

# Enough to earn budget for some retries.
REQUESTS = 40
SHED = make_outcome(NotRun(Reason.SHED, "refused by the upstream"))


def ask_all(agent, **changes):
    async def play():
        return [
            await caller_requests.handle(agent, make_request(**changes))
            for _ in range(REQUESTS)
        ]

    return virtual_time.run(play())


@pytest.mark.parametrize(("has_failed_call", "is_repeated"), [(False, 1), (True, 0)])
def test_a_run_that_failed_for_its_calls_is_left_to_its_caller(
    has_failed_call, is_repeated
):
    failed = make_outcome(Ran(), 500)._replace(has_failed_call=has_failed_call)
    agent = make_agent(always(failed), "10.0.0.2", "10.0.0.3")
    answers = ask_all(agent)
    assert {answer.status for answer in answers} == {500}
    assert (len(agent.links.calls) > REQUESTS) == is_repeated


def start_run(agent, is_repeat):
    request = traffic_data.make_carried_request("a1.b", is_repeat=is_repeat)
    return nested_calls.start_run(agent.runs, request)


@pytest.mark.parametrize("outcome", [SHED, make_outcome(Ran(), 500), RAN])
def test_a_run_knows_whether_a_call_of_it_failed(outcome):
    agent = make_agent(always(outcome), "10.0.0.2")
    run = start_run(agent, is_repeat=False)
    ask_all(agent, parent_id="a1.b")
    assert run.has_failed_call == (outcome is not RAN)


def test_calls_of_a_repeated_run_are_charged_as_repeats():
    budgets = []
    for is_repeat in (False, True):
        agent = make_agent(always(RAN), "10.0.0.2")
        start_run(agent, is_repeat)
        ask_all(agent, parent_id="a1.b")
        budgets.append(retrying.find_budget(agent, traffic_data.PLAIN_SERVICE).tokens)
    first, repeated = budgets
    assert first >= 1.0
    assert repeated == -retry_budget.DEBT_MAX_TOKENS


def test_the_repeats_of_a_request_are_marked():
    agent = make_agent(always(SHED), "10.0.0.2", "10.0.0.3")
    ask_all(agent)
    marks = [message.is_repeat for _, message in agent.links.calls]
    assert marks.count(False) == REQUESTS
    assert marks.count(True) > 0


def test_a_later_run_of_the_same_request_is_not_forgotten_with_the_first():
    runs = {}
    request = traffic_data.make_carried_request("a1")
    first = nested_calls.start_run(runs, request)
    second = nested_calls.start_run(runs, request._replace(is_repeat=True))
    nested_calls.end_run(runs, request, first)
    nested_calls.record_failed_call(runs, "a1")
    assert second.has_failed_call and not first.has_failed_call
    nested_calls.end_run(runs, request, second)
    assert runs == {}
