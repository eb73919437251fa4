"""Entry of requests with a key: to the owner, and parked while there is none."""

import asyncio
from dataclasses import dataclass

from fuchsiamoor.core.members import Member
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason, Verdict
from fuchsiamoor.daemon import forwarding
from fuchsiamoor.daemon.forwarding import Entry
from fuchsiamoor.routing import (
    error_answers,
    parked_requests,
    retry,
    retry_budget,
    routes,
)

HINTS_MAX = 4
PARK_FIRST_MS = 10
PARK_MAX_MS = 100
CROWD_MS = 1_000


@dataclass(slots=True)
class Attempts:
    """What was tried of one request.

    Parameters
    ----------
    permit : Permit
        For the next sending.
    ending : NotRun or MayHaveRun
        What is known from the attempts that have ended.
    hint : str
        Member named as the owner by the last refusal, empty if none was.
    hints : int
        Hints followed since the request was last parked.
    parks : int
        How often it was parked.
    unsettled_ms : int or None
        When it was first parked or sent again.
    """

    permit: retry.Permit
    ending: NotRun | MayHaveRun = NotRun(Reason.NO_OWNER)
    hint: str = ""
    hints: int = 0
    parks: int = 0
    unsettled_ms: int | None = None


async def handle_keyed(entry: Entry, request: Request) -> Answer:
    """Answer a request that only the owner of its key may serve."""
    service = entry.get_configuration().services[request.service]
    spendable = entry.budgets.setdefault(request.service, retry_budget.make_budget())
    retry_budget.earn(spendable, service.retry_ratio)
    attempts = Attempts(retry.permit_first(request))
    while request.deadline_ms > entry.now_ms():
        route = _find_route(entry, request)
        target = _find_target(entry, route, attempts.hint)
        if target is None:
            if not await _park(entry, route.domain, request, attempts):
                return _refuse(request, attempts.ending, Reason.OVER_LIMIT)
            continue
        answered = await forwarding.send(entry, target, request, attempts.permit, route)
        verdict = answered.answer.verdict
        attempts.ending = forwarding.merge_endings(attempts.ending, verdict)
        if not _may_send_again(entry, request, attempts, route, verdict):
            return forwarding.conclude(request, answered.answer, attempts.ending)
        entry.metrics.count("entry.resent")
        _note_unsettled(attempts, entry.now_ms())
        attempts.permit = retry.permit_next(attempts.permit, verdict)
        if _follow_hint(attempts, answered.owner_hint, target):
            continue
        if _find_route(entry, request) != route:
            continue
        if not await _park(entry, route.domain, request, attempts):
            return _refuse(request, attempts.ending, Reason.OVER_LIMIT)
    return _refuse(request, attempts.ending, Reason.DEADLINE_PASSED)


def _may_send_again(
    entry: Entry,
    request: Request,
    attempts: Attempts,
    route: routes.Route,
    verdict: Verdict,
) -> bool:
    """Decide whether to look for the owner again.

    A repeat of what may have run comes out of the budget. Requests that waited for a
    move reach the new owner together, so that its queue may be full for a moment.
    """
    match verdict:
        case NotRun(Reason.OVER_LIMIT):
            return _was_unsettled_lately(entry, attempts, route)
    if retry.choose_keyed_step(attempts.permit, verdict) is retry.Step.FINISH:
        return False
    return isinstance(verdict, NotRun) or retry_budget.spend(
        entry.budgets[request.service]
    )


def _was_unsettled_lately(
    entry: Entry, attempts: Attempts, route: routes.Route
) -> bool:
    now_ms = entry.now_ms()
    if attempts.unsettled_ms is not None:
        return now_ms < attempts.unsettled_ms + CROWD_MS
    match route:
        case routes.Owned(domain, shard):
            recent, table = entry.changes.get(domain), entry.get_table(domain)
            return routes.has_moved_recently(recent, table, shard, now_ms, CROWD_MS)
        case routes.OwnerUnavailable():
            return False


def _note_unsettled(attempts: Attempts, now_ms: int) -> None:
    if attempts.unsettled_ms is None:
        attempts.unsettled_ms = now_ms


def _follow_hint(attempts: Attempts, hint: str, target: Member) -> bool:
    attempts.hints += 1
    followed = attempts.hints <= HINTS_MAX and hint not in ("", target.member_id)
    attempts.hint = hint if followed else ""
    return followed


def _find_route(entry: Entry, request: Request) -> routes.Route:
    domain = routes.find_domain(entry.get_configuration(), request)
    return routes.find_route(domain, entry.get_table(domain), request)


def _find_target(entry: Entry, route: routes.Route, hint: str) -> Member | None:
    hinted = entry.get_member(hint) if hint else None
    if hinted is not None:
        return hinted
    match route:
        case routes.Owned(owner=owner):
            return entry.get_member(owner)
        case routes.OwnerUnavailable():
            return None


async def _park(
    entry: Entry, domain: str, request: Request, attempts: Attempts
) -> bool:
    """Wait until the owner may have changed; False if too many requests wait.

    Each time the wait is longer.
    """
    now_ms = entry.now_ms()
    service = entry.get_configuration().services.get(request.service)
    limit = service.limits.parked_requests if service else 0
    recheck_ms = min(PARK_FIRST_MS << min(attempts.parks, 8), PARK_MAX_MS)
    wait_ms = min(recheck_ms, request.deadline_ms - now_ms)
    _note_unsettled(attempts, now_ms)
    attempts.parks += 1
    attempts.hints = 0
    ticket = asyncio.get_running_loop().create_future()
    if not parked_requests.park(
        entry.parking, domain, ticket, len(request.body), limit
    ):
        entry.metrics.count("entry.parking_full")
        return False
    entry.metrics.count("entry.parked")
    try:
        await asyncio.wait((ticket,), timeout=max(wait_ms, 1) / 1000)
    finally:
        parked_requests.remove(entry.parking, domain, ticket)
    return True


def _refuse(request: Request, ending: NotRun | MayHaveRun, reason: Reason) -> Answer:
    if isinstance(ending, MayHaveRun):
        return error_answers.make_error_answer(request.request_id, ending)
    verdict = NotRun(reason, f"last refusal: {ending.reason} {ending.detail}".strip())
    return error_answers.make_error_answer(request.request_id, verdict)
