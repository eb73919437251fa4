"""Carrying: sends a request to the daemon beside an instance, or runs it here."""

import asyncio

from fuchsiamoor.agent import executing, registrations, state
from fuchsiamoor.agent.attempts import Deadlines
from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.carried import CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.traffic import catalog, requests, spread

# Time kept for an ending's way back from another daemon, near and in another region.
RETURN_MS = 20
REGION_RETURN_MS = 40
# What an upstream asks for goes before all else: work that has begun waits for it.
CALL_RANK = -1
# Stands for a load that nobody told.
NO_LOAD = Load(0, 0, 1, 100, 0, True)
_FAILURES = (500, 502, 503)


async def send(
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
        rank=CALL_RANK if request.is_call else route.rank,
        is_idempotent=route.is_idempotent,
        home_regions=tuple(sorted(route.home_regions)),
        remaining_ms=deadlines.answer_by_ms - now_ms,
        in_time_ms=deadlines.in_time_by_ms - now_ms,
        catalog_version=agent.cache.catalog.version,
        sent_ms=now_ms,
    )
    spread.note_sent(agent.selection_stats, target.instance)
    try:
        if target.instance == agent.settings.instance:
            ended = await executing.execute(agent, carried)
        else:
            ended = await _carry(agent, target, carried)
    finally:
        spread.note_ended(agent.selection_stats, target.instance)
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
    views, now_ms = agent.selection_stats, agent.now_ms()
    if ended.load is not NO_LOAD:
        spread.note_load(views, target.instance, ended.load, now_ms)
    if ended.catalog_version > agent.cache.catalog.version:
        agent.catalog_refresh_due.set()
    match ended.verdict:
        case Ran() if ended.status < 300:
            spread.note_run(
                views, target.instance, route.name, ended.run_ms, len(ended.body)
            )
        case Ran() if ended.status in _FAILURES:
            spread.note_failed(views, target.instance, now_ms)
        case MayHaveRun():
            spread.note_failed(views, target.instance, now_ms)
        case NotRun(Reason.CONNECT_FAILED):
            spread.note_refused(views, target.instance, now_ms)
        case NotRun() if not state.is_keyed(agent, target.service):
            spread.note_refused(views, target.instance, now_ms)
