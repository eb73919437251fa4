"""Verdicts: whether a request may have run at an upstream.

Every result of a request has exactly one verdict. Code that sends a request again
requires a `NotRun` as proof, so that no other request is repeated by mistake.
"""

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Why a request was refused or its outcome is unknown."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    DEADLINE_PASSED = "deadline-passed"
    FENCED = "fenced"
    LINK_LOST = "link-lost"
    NO_OWNER = "no-owner"
    NO_UPSTREAM = "no-upstream"
    NOT_OWNER = "not-owner"
    OUTSIDE_HOME_REGIONS = "outside-home-regions"
    OVER_LIMIT = "over-limit"
    SHED = "shed"
    SHUTTING_DOWN = "shutting-down"
    STARTING = "starting"
    TRUNCATED = "truncated"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TENANT = "unknown-tenant"
    UPSTREAM_LOST = "upstream-lost"


class NotRun(NamedTuple):
    """The request has not run and will not run by this attempt.

    Parameters
    ----------
    reason : Reason
    detail : str
        One sentence for the caller.
    """

    reason: Reason
    detail: str = ""


class MayHaveRun(NamedTuple):
    """The request was sent to the upstream and its outcome is unknown.

    Parameters
    ----------
    reason : Reason
    detail : str
    """

    reason: Reason
    detail: str = ""


class Ran(NamedTuple):
    """The upstream ran the request and its complete answer is available."""


Verdict = NotRun | MayHaveRun | Ran


def format_verdict(verdict: Verdict) -> str:
    """Return the value of the ``Fuchsiamoor-Verdict`` header.

    Examples
    --------
    >>> format_verdict(NotRun(Reason.SHED))
    'not-run'
    >>> format_verdict(Ran())
    'ran'
    """
    match verdict:
        case NotRun():
            return "not-run"
        case MayHaveRun():
            return "may-have-run"
        case Ran():
            return "ran"
