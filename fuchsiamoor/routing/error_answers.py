"""Error answers: what a daemon answers a caller in place of the upstream."""

from fuchsiamoor.core import verdicts
from fuchsiamoor.core.requests import Answer
from fuchsiamoor.core.verdicts import Reason

MAY_HAVE_RUN_STATUS = 502
NOT_RUN_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CANCELLED: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.OUTSIDE_HOME_REGIONS: 403,
    Reason.OVER_LIMIT: 429,
    Reason.SHED: 429,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_TENANT: 403,
}
UNAVAILABLE_STATUS = 503


def choose_status(verdict: verdicts.NotRun | verdicts.MayHaveRun) -> int:
    """Return the HTTP status for a verdict.

    Examples
    --------
    >>> choose_status(verdicts.NotRun(Reason.NO_OWNER))
    503
    >>> choose_status(verdicts.MayHaveRun(Reason.DEADLINE_PASSED))
    502
    """
    match verdict:
        case verdicts.MayHaveRun():
            return MAY_HAVE_RUN_STATUS
        case verdicts.NotRun(reason):
            return NOT_RUN_STATUSES.get(reason, UNAVAILABLE_STATUS)


def make_error_answer(
    request_id: str, verdict: verdicts.NotRun | verdicts.MayHaveRun
) -> Answer:
    """Return the answer that gives a caller a verdict without an upstream's answer."""
    return Answer(request_id, verdict, choose_status(verdict))
