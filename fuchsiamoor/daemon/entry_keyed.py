"""Routing of requests with a key: to the owner, parked while no owner is known."""

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

OWNER_HINTS_MAX = 4
PARK_INITIAL_MS = 10
PARK_MAX_MS = 100
# Requests that waited for a move reach the new owner together, so its queue may be
# full for this time.
AFTER_MOVE_MS = 1_000


@dataclass(slots=True)
class Attempts:
    """Attempts made for one request.

    Parameters
    ----------
    permit : Permit
        Permit of the next attempt.
    outcome : NotRun or MayHaveRun
        Combined verdict of the attempts that have ended.
    owner_hint : str
        Owner named by the last refusal, empty if it named none.
    hints_followed : int
        Owner hints followed since the request was last parked.
    park_count : int
        Number of times that the request was parked.
    first_retry_ms : int or None
        Time at which it was first parked or sent again.
    """

    permit: retry.Permit
    outcome: NotRun | MayHaveRun = NotRun(Reason.NO_OWNER)
    owner_hint: str = ""
    hints_followed: int = 0
    park_count: int = 0
    first_retry_ms: int | None = None


async def handle_keyed(entry: Entry, request: Request) -> Answer:
    """Return the answer to a request that only the owner of its key may serve."""
    service = entry.get_configuration().services[request.service]
    budget = entry.budgets.setdefault(request.service, retry_budget.make_budget())
    retry_budget.earn(budget, service.retry_ratio)
    attempts = Attempts(retry.permit_first(request))
    while request.deadline_ms > entry.now_ms():
        route = _find_route(entry, request)
        target = _find_target(entry, route, attempts.owner_hint)
        if target is None:
            if not await _park(entry, route.domain, request, attempts):
                return _refuse(request, attempts.outcome, Reason.OVER_LIMIT)
            continue
        answered = await forwarding.send(entry, target, request, attempts.permit, route)
        verdict = answered.answer.verdict
        attempts.outcome = forwarding.merge_outcomes(attempts.outcome, verdict)
        if not _may_send_again(entry, request, attempts, route, verdict):
            return forwarding.choose_final_answer(
                request, answered.answer, attempts.outcome
            )
        entry.metrics.count("entry.resent")
        _record_first_retry(attempts, entry.now_ms())
        attempts.permit = retry.permit_next(attempts.permit, verdict)
        if _follow_hint(attempts, answered.owner_hint, target):
            continue
        if _find_route(entry, request) != route:
            continue
        if not await _park(entry, route.domain, request, attempts):
            return _refuse(request, attempts.outcome, Reason.OVER_LIMIT)
    return _refuse(request, attempts.outcome, Reason.DEADLINE_PASSED)


def _may_send_again(
    entry: Entry,
    request: Request,
    attempts: Attempts,
    route: routes.Route,
    verdict: Verdict,
) -> bool:
    """Return whether to look up the owner again and resend.

    A retry of a request that may have run is charged to the retry budget. A full
    queue is retried only shortly after a move, or after the request was first delayed.
    """
    match verdict:
        case NotRun(Reason.OVER_LIMIT):
            return _is_full_queue_retryable(entry, attempts, route)
    if retry.choose_keyed_step(attempts.permit, verdict) is retry.Step.FINISH:
        return False
    return isinstance(verdict, NotRun) or retry_budget.spend(
        entry.budgets[request.service]
    )


def _is_full_queue_retryable(
    entry: Entry, attempts: Attempts, route: routes.Route
) -> bool:
    """Return whether a move may explain a full queue, so that a retry may succeed.

    True within `AFTER_MOVE_MS` of the first retry or, if there was none yet, of a move
    of the shard.
    """
    now_ms = entry.now_ms()
    if attempts.first_retry_ms is not None:
        return now_ms < attempts.first_retry_ms + AFTER_MOVE_MS
    match route:
        case routes.Owned(domain, shard):
            change_window, table = (
                entry.change_windows.get(domain),
                entry.get_table(domain),
            )
            return routes.has_moved_recently(
                change_window, table, shard, now_ms, AFTER_MOVE_MS
            )
        case routes.OwnerUnavailable():
            return False


def _record_first_retry(attempts: Attempts, now_ms: int) -> None:
    if attempts.first_retry_ms is None:
        attempts.first_retry_ms = now_ms


def _follow_hint(attempts: Attempts, hint: str, target: Member) -> bool:
    attempts.hints_followed += 1
    followed = attempts.hints_followed <= OWNER_HINTS_MAX and hint not in (
        "",
        target.member_id,
    )
    attempts.owner_hint = hint if followed else ""
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
    """Park a request until its owner may have changed; False if parking is full.

    The wait doubles each time, up to `PARK_MAX_MS`.
    """
    now_ms = entry.now_ms()
    service = entry.get_configuration().services.get(request.service)
    limit = service.limits.parked_requests if service else 0
    recheck_ms = min(PARK_INITIAL_MS << min(attempts.park_count, 8), PARK_MAX_MS)
    wait_ms = min(recheck_ms, request.deadline_ms - now_ms)
    _record_first_retry(attempts, now_ms)
    attempts.park_count += 1
    attempts.hints_followed = 0
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


def _refuse(request: Request, outcome: NotRun | MayHaveRun, reason: Reason) -> Answer:
    if isinstance(outcome, MayHaveRun):
        return error_answers.make_error_answer(request.request_id, outcome)
    verdict = NotRun(reason, f"last refusal: {outcome.reason} {outcome.detail}".strip())
    return error_answers.make_error_answer(request.request_id, verdict)
