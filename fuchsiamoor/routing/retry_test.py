"""Which attempts are permitted, and how many retries the budget allows."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import retry, retry_budget

VERDICTS = st.one_of(
    st.builds(NotRun, st.sampled_from(Reason)),
    st.builds(MayHaveRun, st.sampled_from(Reason)),
    st.just(Ran()),
)
STEPS = (retry.choose_keyed_step, retry.choose_unkeyed_step)


@given(VERDICTS, st.booleans(), st.sampled_from(STEPS))
def test_a_request_is_sent_again_only_if_not_run_or_idempotent(
    verdict, idempotent, choose_step
):
    permit = retry.Permit("r1", 1, idempotent)
    is_sent_again = choose_step(permit, verdict) is not retry.Step.FINISH
    if is_sent_again:
        assert retry.permit_next(permit, verdict).attempt == 2
        assert idempotent or isinstance(verdict, NotRun)
    if not idempotent and not isinstance(verdict, NotRun):
        with pytest.raises(retry.RepeatForbiddenError):
            retry.permit_next(permit, verdict)


@pytest.mark.parametrize("proof", [Ran(), MayHaveRun(Reason.LINK_LOST), None])
def test_only_not_run_proves_that_a_request_has_not_run(proof):
    with pytest.raises(retry.RepeatForbiddenError):
        retry.permit_after_not_run(retry.Permit("r1", 1, True), proof)


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 0.5))
def test_retries_stay_within_their_share_of_traffic(retry_flags, ratio):
    budget = retry_budget.make_budget()
    sent = retried = 0
    for is_retry in retry_flags:
        if is_retry:
            retried += retry_budget.spend(budget)
            continue
        sent += 1
        retry_budget.earn(budget, ratio)
    assert retried <= retry_budget.RESERVE_TOKENS + ratio * sent
