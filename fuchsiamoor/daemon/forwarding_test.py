import asyncio
import random

import pytest

from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import entry_unkeyed, forwarding
from fuchsiamoor.routing import retry
from fuchsiamoor.testing import messages_data, requests_data


class AnsweringLinks:
    def __init__(self, answer):
        self.answer = answer

    async def call(self, member, message, timeout_ms):
        return Answered(self.answer, "", 0)


def send(answer):
    """Return the verdict of a request that another daemon answers so."""
    target = requests_data.make_member("b")
    entry = forwarding.Entry(
        get_configuration=requests_data.make_configuration,
        get_table=lambda domain: None,
        get_member=lambda member_id: target,
        list_members=lambda service: [target],
        own_member=requests_data.make_member,
        links=AnsweringLinks(answer),
        serve_local=None,
        metrics=messages_data.CountingMetrics(),
        now_ms=lambda: 0,
        rng=random.Random(1),
    )
    request = requests_data.make_request()
    permit = retry.Permit(request.request_id, 1, False)
    sent = forwarding.send(entry, target, request, permit, entry_unkeyed.UNKEYED_ROUTE)
    return asyncio.run(sent).answer.verdict


# A status of 0 from another daemon went to the caller as it was.
@pytest.mark.parametrize("status", [0, 99, 100, 101, 600, 999, -1])
def test_a_status_that_is_none_is_no_answer_of_a_daemon(status):
    answer = requests_data.make_answer()._replace(status=status)
    assert isinstance(send(answer), MayHaveRun)


def test_the_answers_of_a_daemon_are_passed_on():
    assert send(requests_data.make_answer()) == Ran()
    refusal = requests_data.make_answer()._replace(
        verdict=NotRun(Reason.SHED), status=0
    )
    assert isinstance(send(refusal), NotRun)
