"""Entry of requests with a key: to the owner, and parked while there is none."""

import asyncio

from fuchsiamoor.core.members import Member
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import sending
from fuchsiamoor.daemon.sending import Entry
from fuchsiamoor.routing import parking, refusals, retry, routes

HINTS_MAX = 4
PARK_FIRST_MS = 10
PARK_MAX_MS = 100


async def handle_keyed(entry: Entry, request: Request) -> Answer:
    """Answer a request that only the owner of its key may serve."""
    permit = retry.permit_first(request)
    ending = NotRun(Reason.NO_OWNER)
    hint = ""
    hints = 0
    parks = 0
    while request.deadline_ms > entry.now_ms():
        route = _find_route(entry, request)
        target = _find_target(entry, route, hint)
        if target is None:
            if not await _park(entry, route.domain, request, parks):
                return _refuse(request, ending, Reason.OVER_LIMIT)
            parks += 1
            continue
        answered = await sending.send(entry, target, request, permit, route)
        verdict = answered.answer.verdict
        ending = sending.merge_endings(ending, verdict)
        if retry.step_for_owner(permit, verdict) is retry.Step.FINISH:
            return sending.conclude(request, answered.answer, ending)
        permit = retry.permit_next(permit, verdict)
        entry.metrics.count("entry.resent")
        hints += 1
        hint = answered.owner_hint if hints <= HINTS_MAX else ""
        if hint not in ("", target.member_id):
            continue
        hint = ""
        if _find_route(entry, request) != route:
            continue
        if not await _park(entry, route.domain, request, parks):
            return _refuse(request, ending, Reason.OVER_LIMIT)
        parks += 1
        hints = 0
    return _refuse(request, ending, Reason.DEADLINE_PASSED)


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
        case routes.Unsettled():
            return None


async def _park(entry: Entry, domain: str, request: Request, parks: int) -> bool:
    """Wait until the owner may have changed; False if too many requests wait.

    ``parks`` is how often this request was parked before; each time is longer.
    """
    service = entry.get_configuration().services.get(request.service)
    limit = service.limits.parked_requests if service else 0
    recheck_ms = min(PARK_FIRST_MS << min(parks, 8), PARK_MAX_MS)
    wait_ms = min(recheck_ms, request.deadline_ms - entry.now_ms())
    ticket = asyncio.get_running_loop().create_future()
    if not parking.park(entry.parking, domain, ticket, len(request.body), limit):
        entry.metrics.count("entry.parking_full")
        return False
    entry.metrics.count("entry.parked")
    try:
        await asyncio.wait((ticket,), timeout=max(wait_ms, 1) / 1000)
    finally:
        parking.leave(entry.parking, domain, ticket)
    return True


def _refuse(request: Request, ending: NotRun | MayHaveRun, reason: Reason) -> Answer:
    if isinstance(ending, MayHaveRun):
        return refusals.make_refusal(request.request_id, ending)
    verdict = NotRun(reason, f"last refusal: {ending.reason} {ending.detail}".strip())
    return refusals.make_refusal(request.request_id, verdict)
