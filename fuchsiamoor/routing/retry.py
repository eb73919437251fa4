"""Retries: when a request may be sent again.

A request leaves a daemon only under a `Permit`. The first one is free; a further one
needs a `NotRun` of the attempt before as its proof, or a request that is idempotent.
"""

from enum import Enum, auto
from typing import NamedTuple

from fuchsiamoor.core import errors, verdicts
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import Reason


class RepeatForbiddenError(errors.FuchsiamoorError):
    """A request that may have run was about to be sent again."""


class Permit(NamedTuple):
    """Leave to send a request once."""

    request_id: str
    attempt: int
    idempotent: bool


def permit_first(request: Request) -> Permit:
    """Return the permit of a request that was not sent yet."""
    return Permit(request.request_id, 1, request.idempotent)


def permit_after_not_run(permit: Permit, proof: verdicts.NotRun) -> Permit:
    """Return the permit for sending once more what has not run.

    Raises
    ------
    RepeatForbiddenError
        If ``proof`` is not a `NotRun`.

    Examples
    --------
    >>> permit = Permit("r1", 1, idempotent=False)
    >>> permit_after_not_run(permit, verdicts.NotRun(Reason.SHED)).attempt
    2
    """
    if not isinstance(proof, verdicts.NotRun):
        raise RepeatForbiddenError(f"{permit.request_id}: {proof!r} is no proof")
    return permit._replace(attempt=permit.attempt + 1)


def permit_repeat(permit: Permit) -> Permit:
    """Return the permit for sending an idempotent request once more.

    Raises
    ------
    RepeatForbiddenError
        If the request is not idempotent.
    """
    if not permit.idempotent:
        raise RepeatForbiddenError(f"{permit.request_id}: not idempotent")
    return permit._replace(attempt=permit.attempt + 1)


class Step(Enum):
    """What to do after the ending of an attempt."""

    FINISH = auto()
    FIND_OWNER = auto()
    TRY_ELSEWHERE = auto()


UNSETTLED_OWNER_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.FENCED,
        Reason.NOT_OWNER,
        Reason.NO_OWNER,
        Reason.NO_UPSTREAM,
        Reason.SHUTTING_DOWN,
        Reason.STARTING,
    }
)
MEMBER_REASONS = UNSETTLED_OWNER_REASONS | {Reason.OVER_LIMIT, Reason.SHED}


def step_for_owner(permit: Permit, verdict: verdicts.Verdict) -> Step:
    """Decide what follows when the owner of a key has answered.

    Examples
    --------
    >>> permit = Permit("r1", 1, idempotent=False)
    >>> step_for_owner(permit, verdicts.NotRun(Reason.NOT_OWNER)).name
    'FIND_OWNER'
    >>> step_for_owner(permit, verdicts.MayHaveRun(Reason.LINK_LOST)).name
    'FINISH'
    """
    match verdict:
        case verdicts.NotRun(reason) if reason in UNSETTLED_OWNER_REASONS:
            return Step.FIND_OWNER
        case verdicts.MayHaveRun(reason) if _may_repeat(permit, reason):
            return Step.FIND_OWNER
        case _:
            return Step.FINISH


def step_for_any(permit: Permit, verdict: verdicts.Verdict) -> Step:
    """Decide what follows when one of many possible upstreams has answered."""
    match verdict:
        case verdicts.NotRun(reason) if reason in MEMBER_REASONS:
            return Step.TRY_ELSEWHERE
        case verdicts.MayHaveRun(reason) if _may_repeat(permit, reason):
            return Step.TRY_ELSEWHERE
        case _:
            return Step.FINISH


def permit_next(permit: Permit, verdict: verdicts.Verdict) -> Permit:
    """Return the permit that an ending gives.

    Raises
    ------
    RepeatForbiddenError
        If the ending gives none.
    """
    match verdict:
        case verdicts.NotRun():
            return permit_after_not_run(permit, verdict)
        case verdicts.MayHaveRun():
            return permit_repeat(permit)
        case verdicts.Ran():
            raise RepeatForbiddenError(f"{permit.request_id}: it has run")


def _may_repeat(permit: Permit, reason: Reason) -> bool:
    return permit.idempotent and reason not in (
        Reason.CANCELLED,
        Reason.DEADLINE_PASSED,
    )
