"""Forwarding: state of the entry side, and one attempt at one member."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from fuchsiamoor.core import errors, http_status, messages
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered, Forward, Message
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import error_answers, retry, routes
from fuchsiamoor.routing.hedging import LatencyWindow
from fuchsiamoor.routing.load_balancing import (
    Candidates,
    Measurements,
    make_measurements,
)
from fuchsiamoor.routing.parked_requests import ParkedRequests, make_parked_requests
from fuchsiamoor.routing.retry_budget import Budget


class Links(Protocol):
    """Connections to the other daemons."""

    async def call(self, member: Member, message: Message, timeout_ms: int) -> Message:
        """Send a message and wait for its reply; raises `PeerError`."""

    def tell(self, member: Member, message: Message) -> None:
        """Send a one-way message if the link is up."""


class Metrics(Protocol):
    """Counters."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""


class CandidatesCacheKey(NamedTuple):
    """Values that determine the candidates for a request."""

    configuration_revision: int
    service: str
    tenant: str


@dataclass(slots=True)
class Entry:
    """State of one daemon's entry side; made by `entry.make_entry`."""

    get_configuration: Callable[[], Configuration]
    get_table: Callable[[str], ShardTable | None]
    get_member: Callable[[str], Member | None]
    list_members: Callable[[str], list[Member]]
    own_member: Callable[[], Member]
    links: Links
    serve_local: Callable[[Forward], Awaitable[Answered]]
    metrics: Metrics
    now_ms: Callable[[], int]
    rng: random.Random
    parking: ParkedRequests = field(default_factory=make_parked_requests)
    measurements: Measurements = field(default_factory=make_measurements)
    budgets: dict[str, Budget] = field(default_factory=dict)
    latencies: dict[str, LatencyWindow] = field(default_factory=dict)
    change_windows: dict[str, routes.ChangeWindow] = field(default_factory=dict)
    candidates: dict[CandidatesCacheKey, Candidates] = field(default_factory=dict)
    candidates_until_ms: int = 0


async def send(
    entry: Entry,
    target: Member,
    request: Request,
    permit: retry.Permit,
    route: routes.Route,
) -> Answered:
    """Send a request to one member, once per permit.

    Returns
    -------
    Answered
        The answer to this request; failures of the link become error answers.
    """
    forward = _make_forward(entry, request, permit, route)
    if target.member_id == entry.own_member().member_id:
        return await entry.serve_local(forward)
    home_regions = entry.get_configuration().tenants.get(request.tenant, frozenset())
    if target.region not in home_regions:
        return _refuse(request, NotRun(Reason.OUTSIDE_HOME_REGIONS))
    try:
        answered = await entry.links.call(target, forward, forward.request.deadline_ms)
    except asyncio.CancelledError:
        entry.links.tell(target, messages.Cancel(request.request_id))
        raise
    except errors.PeerUnreachableError:
        return _refuse(request, NotRun(Reason.CONNECT_FAILED, "peer unreachable"))
    except errors.PeerTimeoutError:
        entry.links.tell(target, messages.Cancel(request.request_id))
        return _refuse(request, MayHaveRun(Reason.DEADLINE_PASSED, "no answer in time"))
    except errors.PeerError:
        return _refuse(request, MayHaveRun(Reason.LINK_LOST, "link to the owner lost"))
    if (
        not isinstance(answered, Answered)
        or answered.answer.request_id != request.request_id
        or not _has_status(answered.answer)
    ):
        return _refuse(request, MayHaveRun(Reason.LINK_LOST, "answer not understood"))
    return answered


def _has_status(answer: Answer) -> bool:
    is_ran = isinstance(answer.verdict, Ran)
    return not is_ran or http_status.is_final(answer.status)


def _make_forward(
    entry: Entry, request: Request, permit: retry.Permit, route: routes.Route
) -> Forward:
    remaining_ms = max(request.deadline_ms - entry.now_ms(), 1)
    return Forward(
        request=request._replace(deadline_ms=remaining_ms),
        domain=route.domain,
        table_revision=route.revision,
        attempt=permit.attempt,
        hops=1,
        configuration_revision=entry.get_configuration().revision,
    )


def _refuse(request: Request, verdict: NotRun | MayHaveRun) -> Answered:
    return Answered(error_answers.make_error_answer(request.request_id, verdict), "", 0)


def merge_outcomes(
    earlier: NotRun | MayHaveRun, verdict: NotRun | MayHaveRun
) -> NotRun | MayHaveRun:
    """Combine earlier attempts with the latest verdict; `MayHaveRun` persists."""
    return earlier if isinstance(earlier, MayHaveRun) else verdict


def choose_final_answer(
    request: Request, answer: Answer, outcome: NotRun | MayHaveRun
) -> Answer:
    """Return the last answer, unless it did not run but an earlier attempt may have."""
    if isinstance(answer.verdict, NotRun) and isinstance(outcome, MayHaveRun):
        return error_answers.make_error_answer(request.request_id, outcome)
    return answer
