"""Entering: finds the route of a caller's request and an instance that answers it."""

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

from loguru import logger

from fuchsiamoor.agent import executing, registrations, state
from fuchsiamoor.agent.http_server import HttpAnswer, HttpRequest
from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.carried import NO_KEY, CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.routing import budget
from fuchsiamoor.traffic import catalog, requests, spread

# Time kept for the answer's way to the caller.
ANSWER_MARGIN_MS = 15
# Time kept for an ending's way back from another daemon, near and in another region.
RETURN_MS = 20
REGION_RETURN_MS = 40
# Shorter than this, a request cannot be served any more.
REMAINING_MIN_MS = 15
# Instances without a key that are tried before the request is refused.
TRIES_MAX = 3
# Longest time for which a request waits for its key to get an owner. A key that is
# handed over gets its next owner with that one's next heartbeat.
OWNERLESS_WAIT_MS = 900
OWNERLESS_LOOK_MS = 40
# Shares of a request's time that may pass before its key has an owner.
OWNERLESS_WAIT_SHARE = 0.4
CALL_WAIT_SHARE = 0.8
# Share of the time left after which an answer still serves the caller.
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 3_000
OWNERLESS_RETRY_MS = 800
# Repeats are kept below what the deployment allows, as daemons share by estimate.
BUDGET_SHARE = 0.6
ENTRY_CALL_SUFFIX_RANK = -1
NO_LOAD = Load(0, 0, 1, 100, 0, True)
INTERNAL_ERRORS = (500, 502, 503)


class Deadlines(NamedTuple):
    """Until when a request is worth anything.

    Parameters
    ----------
    arrived_ms : int
    answer_by_ms : int
        The caller has an answer by then, whatever it is.
    in_time_by_ms : int
        An answer is in time up to then.
    """

    arrived_ms: int
    answer_by_ms: int
    in_time_by_ms: int


@dataclass(slots=True)
class Attempts:
    """What has been tried for one request.

    Parameters
    ----------
    arrivals : int
        Upstreams that were sent it.
    tried : set of str
        Instances.
    may_have_run : MayHaveRun or None
    last : CarriedAnswer or None
    retry_after_ms : int
        Shortest time after which an instance expects room.
    ownerless_ms : int
        Time spent without anybody to send it to.
    target : str
        Instance that was sent it last.
    is_sent_on : bool
        Whether an instance has it now.
    """

    arrivals: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: MayHaveRun | None = None
    last: CarriedAnswer | None = None
    refusals: int = 0
    retry_after_ms: int = 0
    ownerless_ms: int = 0
    target: str = ""
    is_sent_on: bool = False


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
    if state.has_stopped_for(agent, state.STOP_NOTICE_MS):
        verdict = NotRun(Reason.SHUTTING_DOWN, "the daemon stops")
        answer = _refuse(agent, request, verdict, RETRY_AFTER_MIN_MS, arrived_ms)
    elif agent.known.catalog.version == 0:
        answer = _refuse(agent, request, NotRun(Reason.STARTING), 500, arrived_ms)
    else:
        path = request.target.partition("?")[0]
        route = catalog.find_route(agent.known.catalog, request.host, path)
        if route is None:
            answer = HttpAnswer(
                404, (agent.dialect.write_request_id(request.request_id),)
            )
        else:
            route_name = route.name
            answer = await _serve_to_the_end(agent, request, route, arrived_ms)
    elapsed_ms = agent.now_ms() - arrived_ms
    agent.metrics.answered(route_name, answer.status, elapsed_ms)
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
    agent.serving.add(task)
    try:
        return await task
    except asyncio.CancelledError:
        if not (task.cancelled() and agent.is_ending):
            agent.events.tell(
                "request cancelled", request=request.request_id, route=route.name
            )
            raise
    finally:
        agent.serving.discard(task)
    if attempts.is_sent_on or attempts.may_have_run is not None:
        return HttpAnswer(504, (agent.dialect.write_request_id(request.request_id),))
    verdict = NotRun(Reason.SHUTTING_DOWN, "the daemon stops")
    return _refuse(agent, request, verdict, RETRY_AFTER_MIN_MS, arrived_ms)


def end_all(agent: state.Agent) -> None:
    """End all requests of callers, as the daemon is about to stop."""
    agent.is_ending = True
    for task in tuple(agent.serving):
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
    deadlines = _find_deadlines(agent, request, route, arrived_ms)
    _earn(agent, service)
    while True:
        remaining_ms = deadlines.answer_by_ms - agent.now_ms()
        if remaining_ms < REMAINING_MIN_MS:
            break
        target = _find_target(agent, request, route, service, attempts, deadlines)
        if target is None:
            if await _wait_for_owner(agent, request, service, attempts, remaining_ms):
                continue
            break
        attempts.target = target.instance
        attempts.is_sent_on = True
        ended = await _try(agent, request, route, service, target, deadlines)
        attempts.is_sent_on = False
        arrivals, attempts.last = attempts.arrivals, ended
        attempts.arrivals += ended.has_arrived
        if not _goes_on(agent, route, service, target, attempts, ended):
            break
        if attempts.arrivals > arrivals:
            _tell_repeat(agent, request, route, service, attempts, ended)
        if not await _pause(agent, request, service, attempts, ended):
            break
    answer = _finish(agent, request, route, attempts, deadlines)
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
    table = agent.known.tables.get(service)
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
        catalog_version=agent.known.catalog.version,
        table_version=table.version if table else 0,
    )


def _find_deadlines(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
) -> Deadlines:
    """Return until when a request is worth anything.

    A caller that comes back waits for a shorter time than at first, by what has passed
    since, which no longer counts as in time. What an upstream asks for is in time up to
    its deadline, as the work that waits for it is lost otherwise.
    """
    answer_by_ms = arrived_ms + min(request.wait_ms, route.timeout_ms)
    if request.is_call:
        in_time_by_ms = answer_by_ms
    else:
        first_ms = max(agent.longest_waits.get(route.name, 0), request.wait_ms)
        agent.longest_waits[route.name] = first_ms
        passed_ms = first_ms - request.wait_ms
        in_time_by_ms = arrived_ms + route.target_latency_ms - passed_ms
    return Deadlines(
        arrived_ms,
        answer_by_ms - ANSWER_MARGIN_MS,
        in_time_by_ms - ANSWER_MARGIN_MS,
    )


def _find_target(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    deadlines: Deadlines,
) -> registrations.Registration | None:
    """Return the instance that is to be sent a request, None if there is none now."""
    directory = agent.known.directory
    if state.is_keyed(agent, service):
        return _find_owner(agent, request, route, service)
    found = {
        registration.instance: registration
        for registration in registrations.list_service(directory, service)
        if registration.data_centre not in agent.known.evacuated
        and catalog.allows_region(route.home_regions, registration.region)
    }
    if attempts.refusals >= TRIES_MAX:
        return None
    place = spread.choose(
        agent.views,
        state.own_place(agent),
        [state.make_place(registration) for registration in found.values()],
        attempts.tried,
        route.name,
        deadlines.in_time_by_ms - agent.now_ms(),
        agent.now_ms(),
    )
    return found[place.name] if place is not None else None


def _find_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
) -> registrations.Registration | None:
    table = agent.known.tables.get(service)
    if table is None or request.key == NO_KEY:
        return None
    row = tables.find_row(table, request.key)
    if row.owner == tables.NO_OWNER:
        return None
    found = registrations.find_registration(
        agent.known.directory, tables.instance_of(row.owner)
    )
    if found is None or found.owner != row.owner:
        return None
    if found.data_centre in agent.known.evacuated:
        return None
    if not catalog.allows_region(route.home_regions, found.region):
        return None
    view = spread.find_view(agent.views, found.instance)
    return None if agent.now_ms() < view.avoid_until_ms else found


async def _wait_for_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    remaining_ms: int,
) -> bool:
    """Wait a little for a key to get an owner; False if that is no use."""
    if not state.is_keyed(agent, service) or request.key == NO_KEY:
        return False
    # A call that fails loses its parent's work: it waits for as long as it may.
    share = CALL_WAIT_SHARE if request.is_call else OWNERLESS_WAIT_SHARE
    most_ms = min(OWNERLESS_WAIT_MS, int(request.wait_ms * share))
    left_ms = min(most_ms - attempts.ownerless_ms, remaining_ms - REMAINING_MIN_MS)
    if left_ms <= 0:
        return False
    began_ms = agent.now_ms()
    await state.wait_for_change(agent, min(left_ms, OWNERLESS_LOOK_MS))
    attempts.ownerless_ms += max(agent.now_ms() - began_ms, 1)
    return True


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
        tokens=round(_find_budget(agent, service).tokens, 1),
    )


async def _pause(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    ended: CarriedAnswer,
) -> bool:
    """Wait before the owner of a key is asked again; False if that is no use."""
    if not state.is_keyed(agent, service) or not isinstance(ended.verdict, NotRun):
        return True
    remaining_ms = request.wait_ms - attempts.ownerless_ms
    return await _wait_for_owner(agent, request, service, attempts, remaining_ms)


async def _try(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    deadlines: Deadlines,
) -> CarriedAnswer:
    """Send a request to the daemon beside an instance, or run it here."""
    now_ms = agent.now_ms()
    carried = CarriedRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        key=request.key,
        service=service,
        caller_service=agent.settings.service,
        route=route.name,
        rank=ENTRY_CALL_SUFFIX_RANK if request.is_call else route.rank,
        is_idempotent=route.is_idempotent,
        home_regions=tuple(sorted(route.home_regions)),
        remaining_ms=deadlines.answer_by_ms - now_ms,
        in_time_ms=deadlines.in_time_by_ms - now_ms,
        catalog_version=agent.known.catalog.version,
        sent_ms=now_ms,
    )
    spread.note_sent(agent.views, target.instance)
    try:
        if target.instance == agent.settings.instance:
            ended = await executing.execute(agent, carried)
        else:
            ended = await _carry(agent, target, carried)
    finally:
        spread.note_ended(agent.views, target.instance)
    _note_ended(agent, target, route, ended)
    return ended


async def _carry(
    agent: state.Agent, target: registrations.Registration, carried: CarriedRequest
) -> CarriedAnswer:
    """Send a request to another daemon and wait for its ending."""
    member = registrations.make_peer(target)
    timeout_ms = carried.remaining_ms
    is_far = target.region != agent.settings.region
    return_ms = REGION_RETURN_MS if is_far else RETURN_MS
    carried = carried._replace(remaining_ms=max(timeout_ms - return_ms, 1))
    try:
        return await agent.links.call(member, carried, timeout_ms)
    except errors.PeerUnreachableError as error:
        agent.metrics.count("peers.unreachable")
        return _lose(NotRun(Reason.CONNECT_FAILED, str(error)), False)
    except errors.PeerError as error:
        agent.metrics.count("peers.lost")
        agent.links.tell(member, messages.Cancel(carried.request_id))
        return _lose(MayHaveRun(Reason.LINK_LOST, str(error)), True)
    except asyncio.CancelledError:
        agent.links.tell(member, messages.Cancel(carried.request_id))
        raise


def _lose(verdict: NotRun | MayHaveRun, has_arrived: bool) -> CarriedAnswer:
    return CarriedAnswer(verdict, 0, (), b"", has_arrived, 0, 0, NO_LOAD, 0)


def _note_ended(
    agent: state.Agent,
    target: registrations.Registration,
    route: catalog.Route,
    ended: CarriedAnswer,
) -> None:
    """Take in what an ending tells of the instance."""
    views, now_ms = agent.views, agent.now_ms()
    if ended.load is not NO_LOAD:
        spread.note_load(views, target.instance, ended.load, now_ms)
    if ended.catalog_version > agent.known.catalog.version:
        agent.refresh_due.set()
    match ended.verdict:
        case Ran() if ended.status < 300:
            spread.note_run(
                views, target.instance, route.name, ended.run_ms, len(ended.body)
            )
        case Ran() if ended.status in INTERNAL_ERRORS:
            spread.note_failed(views, target.instance, now_ms)
        case MayHaveRun():
            spread.note_failed(views, target.instance, now_ms)
        case NotRun(Reason.CONNECT_FAILED):
            spread.note_refused(views, target.instance, now_ms)
        case NotRun() if not state.is_keyed(agent, target.service):
            spread.note_refused(views, target.instance, now_ms)


def _goes_on(
    agent: state.Agent,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    attempts: Attempts,
    ended: CarriedAnswer,
) -> bool:
    """Decide whether a request is sent again after an ending."""
    if not state.is_keyed(agent, service):
        attempts.tried.add(target.instance)
    match ended.verdict:
        case Ran():
            failed = ended.status == 500 and route.is_idempotent
            return failed and _may_repeat(agent, route, service, attempts)
        case MayHaveRun():
            attempts.may_have_run = ended.verdict
            return route.is_idempotent and _may_repeat(agent, route, service, attempts)
        case NotRun(Reason.BAD_REQUEST):
            return False
        case NotRun(reason):
            attempts.refusals += 1
            if ended.retry_after_ms:
                known_ms = attempts.retry_after_ms or ended.retry_after_ms
                attempts.retry_after_ms = min(known_ms, ended.retry_after_ms)
            if ended.has_arrived:
                return _may_repeat(agent, route, service, attempts)
            if state.is_keyed(agent, service):
                # The owner has no room: nobody else may run it.
                return reason in (
                    Reason.NOT_OWNER,
                    Reason.FENCED,
                    Reason.NO_UPSTREAM,
                    Reason.SHUTTING_DOWN,
                    Reason.CONNECT_FAILED,
                )
            return True


def _may_repeat(
    agent: state.Agent, route: catalog.Route, service: str, attempts: Attempts
) -> bool:
    """Take one more sending from the budget; False if there is none left."""
    if attempts.arrivals >= route.attempts_max:
        return False
    if not budget.spend(_find_budget(agent, service)):
        agent.metrics.count("budget.empty")
        return False
    return True


def _find_budget(agent: state.Agent, service: str) -> budget.Budget:
    found = agent.budgets.get(service)
    if found is None:
        found = agent.budgets[service] = budget.make_budget(0.0)
    daemons = max(len(agent.known.directory.listed), 1)
    found.tokens_max = max(
        1.0, BUDGET_SHARE * agent.settings.bounds.retry_spare / daemons
    )
    return found


def _earn(agent: state.Agent, service: str) -> None:
    ratio = BUDGET_SHARE * agent.settings.bounds.retry_ratio
    budget.earn(_find_budget(agent, service), ratio)


def _finish(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    attempts: Attempts,
    deadlines: Deadlines,
) -> HttpAnswer:
    """Return the answer that ends a request."""
    own_header = agent.dialect.write_request_id(request.request_id)
    last = attempts.last
    if last is not None and isinstance(last.verdict, Ran):
        return HttpAnswer(last.status, last.headers, last.body)
    if attempts.may_have_run is not None:
        is_late = agent.now_ms() >= deadlines.answer_by_ms - REMAINING_MIN_MS
        return HttpAnswer(504 if is_late else 502, (own_header,))
    verdict = NotRun(Reason.NO_OWNER, "nobody takes it at present")
    if last is not None and isinstance(last.verdict, NotRun):
        verdict = last.verdict
    retry_after_ms = attempts.retry_after_ms or OWNERLESS_RETRY_MS
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
