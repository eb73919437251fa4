"""Entering: answers a caller's request, by an instance of its route or a refusal."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import carrying, choosing, repeating, state
from fuchsiamoor.agent.attempts import Attempts, Deadlines
from fuchsiamoor.agent.http_server import HttpAnswer, HttpRequest
from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.traffic import catalog, requests

# Bounds of what a refused caller is told to wait.
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 3_000
# Time after which a key without an owner is likely to have one again.
OWNERLESS_RETRY_MS = 800


async def handle(agent: state.Agent, received: HttpRequest) -> HttpAnswer:
    """Answer one request of a caller."""
    arrived_ms = agent.now_ms()
    try:
        request = agent.dialect.read_request(*received)
    except ValueError as error:
        agent.metrics.count("callers.malformed")
        logger.bind(error=str(error)).debug("malformed request")
        return HttpAnswer(400)
    route_name = ""
    if state.has_been_stopping_for(agent, state.STOP_NOTICE_MS):
        verdict = NotRun(Reason.SHUTTING_DOWN, "the daemon stops")
        answer = _refuse(agent, request, verdict, RETRY_AFTER_MIN_MS, arrived_ms)
    elif agent.cache.catalog.version == 0:
        answer = _refuse(agent, request, NotRun(Reason.STARTING), 500, arrived_ms)
    else:
        path = request.target.partition("?")[0]
        route = catalog.find_route(agent.cache.catalog, request.host, path)
        if route is None:
            answer = HttpAnswer(
                404, (agent.dialect.write_request_id(request.request_id),)
            )
        else:
            route_name = route.name
            answer = await _serve_to_the_end(agent, request, route, arrived_ms)
    elapsed_ms = agent.now_ms() - arrived_ms
    agent.metrics.record_answer(route_name, answer.status, elapsed_ms)
    return answer


async def _serve_to_the_end(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
) -> HttpAnswer:
    """Serve a request, or end it truthfully when the daemon stops before."""
    attempts = Attempts()
    task = asyncio.ensure_future(_serve(agent, request, route, arrived_ms, attempts))
    agent.caller_tasks.add(task)
    try:
        return await task
    except asyncio.CancelledError:
        if not (task.cancelled() and agent.is_aborting):
            agent.events.tell(
                "request cancelled", request=request.request_id, route=route.name
            )
            raise
    finally:
        agent.caller_tasks.discard(task)
    if attempts.is_sent_on or attempts.may_have_run is not None:
        return HttpAnswer(504, (agent.dialect.write_request_id(request.request_id),))
    verdict = NotRun(Reason.SHUTTING_DOWN, "the daemon stops")
    return _refuse(agent, request, verdict, RETRY_AFTER_MIN_MS, arrived_ms)


def end_all(agent: state.Agent) -> None:
    """End all requests of callers, as the daemon is about to stop."""
    agent.is_aborting = True
    for task in tuple(agent.caller_tasks):
        task.cancel()


async def _serve(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
    attempts: Attempts,
) -> HttpAnswer:
    """Try instances until one has answered or no more can be tried."""
    service = catalog.choose_service(route, agent.rng)
    deadlines = choosing.find_deadlines(agent, request, route, arrived_ms)
    repeating.earn(agent, service)
    while True:
        remaining_ms = deadlines.answer_by_ms - agent.now_ms()
        if remaining_ms < choosing.REMAINING_MIN_MS:
            break
        target = choosing.find_target(
            agent, request, route, service, attempts, deadlines
        )
        if target is None:
            if await choosing.wait_for_owner(
                agent, request, service, attempts, remaining_ms
            ):
                continue
            break
        attempts.target = target.instance
        attempts.is_sent_on = True
        ended = await carrying.send(agent, request, route, service, target, deadlines)
        attempts.is_sent_on = False
        arrivals, attempts.last = attempts.arrivals, ended
        attempts.arrivals += ended.has_arrived
        if not repeating.goes_on(agent, route, service, target, attempts, ended):
            break
        if attempts.arrivals > arrivals:
            _tell_repeat(agent, request, route, service, attempts, ended)
        if not await choosing.pause(agent, request, service, attempts, ended):
            break
    answer = _finish(agent, request, service, attempts, deadlines)
    _tell_ending(agent, request, route, service, attempts, answer.status, arrived_ms)
    return answer


def _tell_ending(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    status: int,
    arrived_ms: int,
) -> None:
    """Write the line that tells what came of a request, and why."""
    last = attempts.last
    verdict = last.verdict if last is not None else None
    table = agent.cache.tables.get(service)
    fields = {}
    if status >= 400:
        ending = "no-target" if last is None else "ran"
        fields["reason"] = str(getattr(verdict, "reason", ending))
        fields["detail"] = getattr(verdict, "detail", "")
    agent.events.tell(
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


def _tell_repeat(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    ended: CarriedAnswer,
) -> None:
    agent.events.tell(
        "request sent again",
        request=request.request_id,
        route=route.name,
        service=service,
        key=request.key,
        target=attempts.target,
        reason=str(getattr(ended.verdict, "reason", "ran")),
        arrivals=attempts.arrivals,
        tokens=round(repeating.find_budget(agent, service).tokens, 1),
    )


def _finish(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    deadlines: Deadlines,
) -> HttpAnswer:
    """Return the answer that ends a request."""
    own_header = agent.dialect.write_request_id(request.request_id)
    last = attempts.last
    if last is not None and isinstance(last.verdict, Ran):
        return HttpAnswer(last.status, last.headers, last.body)
    if attempts.may_have_run is not None:
        last_ms = deadlines.answer_by_ms - choosing.REMAINING_MIN_MS
        is_late = agent.now_ms() >= last_ms
        return HttpAnswer(504 if is_late else 502, (own_header,))
    verdict = NotRun(Reason.NO_OWNER, "nobody takes it at present")
    if last is not None and isinstance(last.verdict, NotRun):
        verdict = last.verdict
    ownerless_ms = choosing.find_ownerless_ms(agent, service, request.key)
    retry_after_ms = attempts.retry_after_ms or max(OWNERLESS_RETRY_MS, ownerless_ms)
    return _refuse(agent, request, verdict, retry_after_ms, deadlines.arrived_ms)


def _refuse(
    agent: state.Agent,
    request: requests.CallerRequest,
    verdict: NotRun,
    retry_after_ms: int,
    arrived_ms: int,
) -> HttpAnswer:
    """Return a refusal, which says that the request has not run, and when to return."""
    agent.metrics.count(f"refused.{verdict.reason}")
    headers = [agent.dialect.write_request_id(request.request_id)]
    left_ms = arrived_ms + request.wait_ms - agent.now_ms()
    # Callers that come back together would be refused together.
    spread_ms = retry_after_ms * (0.8 + 0.6 * agent.rng.random())
    after_ms = min(max(spread_ms, RETRY_AFTER_MIN_MS), left_ms / 3, RETRY_AFTER_MAX_MS)
    if after_ms >= 1:
        headers.append((b"Retry-After", b"%.3f" % (after_ms / 1000)))
    return HttpAnswer(503, tuple(headers))
