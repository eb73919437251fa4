"""Retries: when a request may be sent again.

Every attempt needs a `Permit`. The first is unconditional; each further one requires
that the previous attempt ended in `NotRun` or that the request is idempotent.
"""

from enum import Enum, auto
from typing import NamedTuple

from fuchsiamoor.core import errors, verdicts
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import Reason


class RepeatForbiddenError(errors.FuchsiamoorError):
    """A request that may have run must not be sent again."""


class Permit(NamedTuple):
    """Permission to send a request once.

    Parameters
    ----------
    request_id : str
    attempt : int
        1 for the first attempt.
    idempotent : bool
        Whether the request is idempotent.
    """

    request_id: str
    attempt: int
    idempotent: bool


def permit_first(request: Request) -> Permit:
    """Return the permit for the first attempt."""
    return Permit(request.request_id, 1, request.idempotent)


def permit_after_not_run(permit: Permit, proof: verdicts.NotRun) -> Permit:
    """Return the permit for the next attempt after one that has not run.

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
        raise RepeatForbiddenError(f"{permit.request_id}: {proof!r} is not NotRun")
    return permit._replace(attempt=permit.attempt + 1)


def permit_repeat(permit: Permit) -> Permit:
    """Return the permit for repeating an idempotent request.

    Raises
    ------
    RepeatForbiddenError
        If the request is not idempotent.
    """
    if not permit.idempotent:
        raise RepeatForbiddenError(f"{permit.request_id}: request is not idempotent")
    return permit._replace(attempt=permit.attempt + 1)


class Step(Enum):
    """What to do after an attempt has ended."""

    FINISH = auto()
    FIND_OWNER = auto()
    TRY_ELSEWHERE = auto()


OWNER_UNAVAILABLE_REASONS = frozenset(
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
TRY_ELSEWHERE_REASONS = OWNER_UNAVAILABLE_REASONS | {Reason.OVER_LIMIT, Reason.SHED}


def choose_keyed_step(permit: Permit, verdict: verdicts.Verdict) -> Step:
    """Decide what follows an attempt at the owner of the request's key.

    Examples
    --------
    >>> permit = Permit("r1", 1, idempotent=False)
    >>> choose_keyed_step(permit, verdicts.NotRun(Reason.NOT_OWNER)).name
    'FIND_OWNER'
    >>> choose_keyed_step(permit, verdicts.MayHaveRun(Reason.LINK_LOST)).name
    'FINISH'
    """
    match verdict:
        case verdicts.NotRun(reason) if reason in OWNER_UNAVAILABLE_REASONS:
            return Step.FIND_OWNER
        case verdicts.MayHaveRun(reason) if _may_repeat(permit, reason):
            return Step.FIND_OWNER
        case _:
            return Step.FINISH


def choose_unkeyed_step(permit: Permit, verdict: verdicts.Verdict) -> Step:
    """Decide what follows an attempt of a request without a key."""
    match verdict:
        case verdicts.NotRun(reason) if reason in TRY_ELSEWHERE_REASONS:
            return Step.TRY_ELSEWHERE
        case verdicts.MayHaveRun(reason) if _may_repeat(permit, reason):
            return Step.TRY_ELSEWHERE
        case _:
            return Step.FINISH


def permit_next(permit: Permit, verdict: verdicts.Verdict) -> Permit:
    """Return the permit for the next attempt after a verdict.

    Raises
    ------
    RepeatForbiddenError
        If the request must not be sent again.
    """
    match verdict:
        case verdicts.NotRun():
            return permit_after_not_run(permit, verdict)
        case verdicts.MayHaveRun():
            return permit_repeat(permit)
        case verdicts.Ran():
            raise RepeatForbiddenError(f"{permit.request_id}: request has run")


def _may_repeat(permit: Permit, reason: Reason) -> bool:
    return permit.idempotent and reason not in (
        Reason.CANCELLED,
        Reason.DEADLINE_PASSED,
    )
