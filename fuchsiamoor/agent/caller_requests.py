"""Handles callers' requests: route, target instance, retries and the final answer."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import (
    access_control,
    copies,
    nested_calls,
    quota_credits,
    retrying,
    state,
    target_selection,
)
from fuchsiamoor.agent.attempts import Attempts, Deadlines, may_have_run
from fuchsiamoor.agent.http_server import HttpAnswer, HttpRequest
from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.traffic import catalog, organisations, requests

# Bounds of the Retry-After that a refused caller gets.
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 3_000
# Time after which a key without an owner is likely to have one again.
OWNERLESS_RETRY_MS = 800


async def handle(agent: state.Agent, received: HttpRequest) -> HttpAnswer:
    """Handle one request of a caller and return its answer."""
    arrived_ms = agent.now_ms()
    try:
        request = agent.dialect.read_request(*received)
    except ValueError as error:
        agent.metrics.count("callers.malformed")
        logger.bind(error=str(error)).debug("malformed request")
        return HttpAnswer(400)
    route_name = ""
    if _is_closed_to(agent, request):
        answer = _make_stop_refusal(agent, request, arrived_ms)
    elif agent.cache.catalog.version == 0:
        answer = _make_refusal(agent, request, NotRun(Reason.STARTING), 500, arrived_ms)
    else:
        path = request.target.partition("?")[0]
        route = catalog.find_route(agent.cache.catalog, request.host, path)
        if route is None:
            answer = HttpAnswer(
                404, (agent.dialect.write_request_id(request.request_id),)
            )
        else:
            route_name = route.name
            answer = await _check_and_serve(agent, request, route, arrived_ms)
    elapsed_ms = agent.now_ms() - arrived_ms
    agent.metrics.record_answer(route_name, answer.status, elapsed_ms)
    return answer


def _is_closed_to(agent: state.Agent, request: requests.CallerRequest) -> bool:
    """Return whether a stopping daemon refuses a request.

    Callers have noticed the stop. A run that the daemon lets finish needs its calls.
    """
    if agent.has_ended_admission:
        return True
    if not state.has_been_stopping_for(agent, state.STOP_NOTICE_MS):
        return False
    return request.parent_id not in agent.runs


async def _check_and_serve(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
) -> HttpAnswer:
    """Serve a request if its caller may use the route."""
    match access_control.check_access(agent, request, route):
        case access_control.UnknownKey():
            agent.metrics.count("callers.unknown_key")
            own_header = agent.dialect.write_request_id(request.request_id)
            return HttpAnswer(401, (own_header,))
        case access_control.Refused(verdict, retry_after_ms):
            return _make_refusal(agent, request, verdict, retry_after_ms, arrived_ms)
        case access_control.Granted(request, route, organisation):
            if organisation is None:
                return await _serve_until_stop(
                    agent, request, route, "", arrived_ms, Attempts()
                )
            return await _serve_within_quota(
                agent, request, route, organisation, arrived_ms
            )


async def _serve_within_quota(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    organisation: organisations.Organisation,
    arrived_ms: int,
) -> HttpAnswer:
    """Serve a request of an organisation if its quota allows it."""
    credit = await quota_credits.acquire(agent, organisation)
    if isinstance(credit, quota_credits.Denied):
        agent.metrics.record_quota_refusal(organisation.name)
        agent.events.emit(
            "quota exceeded",
            request=request.request_id,
            route=route.name,
            organisation=organisation.name,
            retry_after_ms=credit.retry_after_ms,
        )
        verdict = NotRun(Reason.OVER_LIMIT, "over the organisation's quota")
        refusal = _make_refusal(
            agent, request, verdict, credit.retry_after_ms, arrived_ms
        )
        return refusal._replace(status=429)
    attempts = Attempts()
    try:
        return await _serve_until_stop(
            agent, request, route, organisation.name, arrived_ms, attempts
        )
    finally:
        if not may_have_run(attempts):
            quota_credits.release(agent, organisation, credit)


async def _serve_until_stop(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    organisation: str,
    arrived_ms: int,
    attempts: Attempts,
) -> HttpAnswer:
    """Serve a request; if the daemon stops first, answer whether it may have run."""
    task = asyncio.ensure_future(
        _serve(agent, request, route, organisation, arrived_ms, attempts)
    )
    agent.caller_tasks.add(task)
    try:
        return await task
    except asyncio.CancelledError:
        if not (task.cancelled() and agent.is_aborting):
            agent.events.emit(
                "request cancelled", request=request.request_id, route=route.name
            )
            raise
    finally:
        agent.caller_tasks.discard(task)
    if attempts.is_in_flight or attempts.may_have_run is not None:
        return HttpAnswer(504, (agent.dialect.write_request_id(request.request_id),))
    return _make_stop_refusal(agent, request, arrived_ms)


def cancel_all(agent: state.Agent) -> None:
    """Cancel all requests of callers before the daemon stops; each gets an answer."""
    agent.is_aborting = True
    for task in tuple(agent.caller_tasks):
        task.cancel()


async def _serve(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    organisation: str,
    arrived_ms: int,
    attempts: Attempts,
) -> HttpAnswer:
    """Try instances until one has answered or no further attempt is allowed."""
    service = catalog.choose_service(route, agent.rng)
    deadlines = target_selection.compute_deadlines(agent, request, route, arrived_ms)
    if nested_calls.is_made_by_repeat(agent.runs, request.parent_id):
        retrying.charge_budget(agent, service)
    else:
        retrying.credit_budget(agent, service)
    while True:
        if not target_selection.can_end_in_time(agent, route, deadlines):
            break
        target = await target_selection.find_target(
            agent, request, route, service, attempts, deadlines
        )
        if target is None:
            remaining_ms = deadlines.answer_by_ms - agent.now_ms()
            if await target_selection.wait_for_owner(
                agent, request, service, attempts, remaining_ms
            ):
                continue
            break
        attempts.target = target.instance
        attempts.is_in_flight = True
        target, outcome = await copies.forward(
            agent, request, route, service, target, attempts, deadlines, organisation
        )
        attempts.target = target.instance
        attempts.is_in_flight = False
        arrivals, attempts.last_outcome = attempts.arrivals, outcome
        attempts.arrivals += outcome.has_arrived
        if not retrying.decide_retry(agent, route, service, target, attempts, outcome):
            break
        if attempts.arrivals > arrivals:
            _log_retry(agent, request, route, service, attempts, outcome)
        if not await target_selection.wait_before_retry(
            agent, request, service, attempts, outcome
        ):
            break
    answer = _make_final_answer(agent, request, service, attempts, deadlines)
    if answer.status >= 400:
        nested_calls.record_failed_call(agent.runs, request.parent_id)
    _log_outcome(agent, request, route, service, attempts, answer.status, arrived_ms)
    return answer


def _log_outcome(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    status: int,
    arrived_ms: int,
) -> None:
    """Log whether a request was served and, if not, the reason."""
    last = attempts.last_outcome
    verdict = last.verdict if last is not None else None
    table = agent.cache.tables.get(service)
    fields = {}
    if status >= 400:
        default_reason = "no-target" if last is None else "ran"
        fields["reason"] = str(getattr(verdict, "reason", default_reason))
        fields["detail"] = getattr(verdict, "detail", "")
    agent.events.emit(
        "request not served" if status >= 400 else "request served",
        request=request.request_id,
        route=route.name,
        service=service,
        key=request.key,
        status=status,
        **fields,
        target=attempts.target,
        arrivals=attempts.arrivals,
        refusals=attempts.refusals,
        ownerless_ms=attempts.ownerless_ms,
        elapsed_ms=agent.now_ms() - arrived_ms,
        catalog_version=agent.cache.catalog.version,
        table_version=table.version if table else 0,
    )


def _log_retry(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    outcome: CarriedAnswer,
) -> None:
    agent.events.emit(
        "request sent again",
        request=request.request_id,
        route=route.name,
        service=service,
        key=request.key,
        target=attempts.target,
        reason=str(getattr(outcome.verdict, "reason", "ran")),
        arrivals=attempts.arrivals,
        tokens=round(retrying.find_budget(agent, service).tokens, 1),
    )


def _make_final_answer(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    deadlines: Deadlines,
) -> HttpAnswer:
    """Return the answer to a request after its last attempt."""
    own_header = agent.dialect.write_request_id(request.request_id)
    last = attempts.last_outcome
    if last is not None and isinstance(last.verdict, Ran):
        return HttpAnswer(last.status, last.headers, last.body)
    if attempts.may_have_run is not None:
        last_ms = deadlines.answer_by_ms - target_selection.REMAINING_MIN_MS
        is_late = agent.now_ms() >= last_ms
        return HttpAnswer(504 if is_late else 502, (own_header,))
    verdict = NotRun(Reason.NO_OWNER, "nobody takes it at present")
    if last is not None and isinstance(last.verdict, NotRun):
        verdict = last.verdict
    if last is None and agent.stopping_since_ms is not None:
        return _make_stop_refusal(agent, request, deadlines.arrived_ms)
    ownerless_ms = target_selection.compute_ownerless_ms(agent, service, request.key)
    retry_after_ms = attempts.retry_after_ms or max(OWNERLESS_RETRY_MS, ownerless_ms)
    return _make_refusal(agent, request, verdict, retry_after_ms, deadlines.arrived_ms)


def _make_stop_refusal(
    agent: state.Agent, request: requests.CallerRequest, arrived_ms: int
) -> HttpAnswer:
    """Refuse a request because this daemon stops; another one may serve it at once."""
    verdict = NotRun(Reason.SHUTTING_DOWN, "the daemon stops")
    return _make_refusal(agent, request, verdict, RETRY_AFTER_MIN_MS, arrived_ms)


def _make_refusal(
    agent: state.Agent,
    request: requests.CallerRequest,
    verdict: NotRun,
    retry_after_ms: int,
    arrived_ms: int,
) -> HttpAnswer:
    """Return a 503 for a request that has not run, with Retry-After if time is left."""
    agent.metrics.count(f"refused.{verdict.reason}")
    headers = [agent.dialect.write_request_id(request.request_id)]
    left_ms = arrived_ms + request.wait_ms - agent.now_ms()
    # Jitter: callers that retry at the same moment would be refused together again.
    jittered_ms = retry_after_ms * (0.8 + 0.6 * agent.rng.random())
    after_ms = min(
        max(jittered_ms, RETRY_AFTER_MIN_MS), left_ms / 3, RETRY_AFTER_MAX_MS
    )
    if after_ms >= 1:
        headers.append((b"Retry-After", b"%.3f" % (after_ms / 1000)))
    return HttpAnswer(503, tuple(headers))
