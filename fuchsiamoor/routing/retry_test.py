"""Permits, and what a budget allows."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import budget, retry

VERDICTS = st.one_of(
    st.builds(NotRun, st.sampled_from(Reason)),
    st.builds(MayHaveRun, st.sampled_from(Reason)),
    st.just(Ran()),
)
STEPS = (retry.step_for_owner, retry.step_for_any)


@given(VERDICTS, st.booleans(), st.sampled_from(STEPS))
def test_only_a_proof_lets_a_request_be_sent_again(verdict, idempotent, step_for):
    permit = retry.Permit("r1", 1, idempotent)
    goes_on = step_for(permit, verdict) is not retry.Step.FINISH
    if goes_on:
        assert retry.permit_next(permit, verdict).attempt == 2
        assert idempotent or isinstance(verdict, NotRun)
    if not idempotent and not isinstance(verdict, NotRun):
        with pytest.raises(retry.RepeatForbiddenError):
            retry.permit_next(permit, verdict)


@pytest.mark.parametrize("proof", [Ran(), MayHaveRun(Reason.LINK_LOST), None])
def test_other_things_than_not_run_are_no_proof(proof):
    with pytest.raises(retry.RepeatForbiddenError):
        retry.permit_after_not_run(retry.Permit("r1", 1, True), proof)


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 0.5))
def test_retries_stay_a_share_of_traffic(wants_retry, ratio):
    tokens = budget.make_budget()
    sent = retried = 0
    for wanted in wants_retry:
        if wanted:
            retried += budget.spend(tokens)
            continue
        sent += 1
        budget.earn(tokens, ratio)
    assert retried <= budget.RESERVE_TOKENS + ratio * sent
