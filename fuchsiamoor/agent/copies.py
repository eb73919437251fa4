"""Sends a slow request that may be repeated to a second instance as well.

The first instance that runs it gives the answer, and the other copy is cancelled. How
many copies are sent is decided in `routing/hedging.py`.
"""

import asyncio
from asyncio import Task
from typing import NamedTuple

from loguru import logger

from fuchsiamoor.agent import (
    forwarding,
    registrations,
    retrying,
    state,
    target_selection,
    transfers,
)
from fuchsiamoor.agent.attempts import Attempts, Deadlines
from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import hedging, retry_budget
from fuchsiamoor.traffic import catalog, instance_selection, requests

# Copies that may be saved up for each service, in the daemon's memory.
SAVED_COPIES_MAX = 2.0
# Share of the saved retries that copies leave to requests that have failed.
RETRIES_LEFT_SHARE = 0.5
_SHORT_OF_ROOM_REASONS = (Reason.OVER_LIMIT, Reason.SHED)


class Sent(NamedTuple):
    """The instance whose outcome counts, and the outcome."""

    target: registrations.Registration
    outcome: CarriedAnswer


class _Sending(NamedTuple):
    """What one attempt to serve a request consists of."""

    request: requests.CallerRequest
    route: catalog.Route
    service: str
    attempts: Attempts
    deadlines: Deadlines
    organisation: str


async def forward(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    attempts: Attempts,
    deadlines: Deadlines,
    organisation: str = "",
) -> Sent:
    """Forward a request and, if it is slow and may be repeated, one copy of it.

    Of two sendings, the one that does not give the outcome is recorded in ``attempts``;
    the caller records the outcome.
    """
    sending = _Sending(request, route, service, attempts, deadlines, organisation)
    if agent.settings.copies_share == 0 or not _may_copy(agent, sending):
        return Sent(target, await _forward(agent, sending, target))
    began_ms, is_first = agent.now_ms(), attempts.last_outcome is None
    window = agent.hedging.latencies.setdefault(
        route.name, hedging.make_latency_window()
    )
    running = {asyncio.ensure_future(_forward(agent, sending, target)): target}
    try:
        if window.is_measured:
            await asyncio.wait(running, timeout=window.hedge_delay_ms / 1000)
            if not any(task.done() for task in running):
                await _send_copy(agent, sending, running)
        sent, others = await _wait_for_run(running)
    finally:
        for task in running:
            task.cancel()
    if _is_success(sent.outcome):
        is_overtaken = target in running.values()
        _record_success(agent, sending, sent, target, is_overtaken, began_ms)
    # What is cancelled may have reached its upstream.
    attempts.arrivals += len(running)
    _record_others(attempts, others)
    if is_first:
        share = agent.settings.copies_share
        retry_budget.earn(_find_budget(agent, service), share)
    return sent


def _may_copy(agent: state.Agent, sending: _Sending) -> bool:
    return (
        sending.route.is_idempotent
        and len(sending.request.body) < transfers.LARGE_BODY_BYTES
        and not state.is_keyed(agent, sending.service)
        and agent.stopping_since_ms is None
        and not _has_quota(agent, sending.organisation)
        and sending.attempts.arrivals + 2 <= sending.route.attempts_max
    )


def _has_quota(agent: state.Agent, organisation: str) -> bool:
    """Return whether each run counts towards a limit of the organisation."""
    known = agent.cache.catalog.organisations
    return (
        known is not None
        and organisation in known.by_name
        and known.by_name[organisation].quota is not None
    )


async def _forward(
    agent: state.Agent,
    sending: _Sending,
    target: registrations.Registration,
    is_copy: bool = False,
) -> CarriedAnswer:
    outcome = await forwarding.forward(
        agent,
        sending.request,
        sending.route,
        sending.service,
        target,
        sending.deadlines,
        sending.attempts.arrivals + is_copy,
        sending.organisation,
        is_copy,
    )
    match outcome.verdict:
        case NotRun(reason) if reason in _SHORT_OF_ROOM_REASONS and not is_copy:
            agent.hedging.refused_ms[sending.service] = agent.now_ms()
    return outcome


async def _send_copy(
    agent: state.Agent,
    sending: _Sending,
    running: dict[Task[CarriedAnswer], registrations.Registration],
) -> None:
    """Start a copy of a slow request if the decision allows it."""
    (first,) = running.values()
    finding = asyncio.ensure_future(_find_target(agent, sending, first))
    try:
        await asyncio.wait((*running, finding), return_when=asyncio.FIRST_COMPLETED)
    finally:
        finding.cancel()
    if any(task.done() for task in running) or agent.stopping_since_ms is not None:
        return
    target = finding.result()
    budget = _find_budget(agent, sending.service)
    retries = retrying.find_budget(agent, sending.service)
    now_ms = agent.now_ms()
    refused_ms = agent.hedging.refused_ms.get(sending.service)
    conditions = hedging.Conditions(
        has_target=target is not None,
        is_short_of_room=refused_ms is not None
        and now_ms - refused_ms < hedging.SHORT_OF_ROOM_MS,
        leaves_retries=retries.tokens - 1 >= RETRIES_LEFT_SHARE * retries.tokens_max,
        expected_ms=agent.selection_stats.run_ms.get(sending.route.name, 0.0),
        left_ms=sending.deadlines.answer_by_ms - now_ms,
    )
    match hedging.decide_copy(conditions, (budget, retries)):
        case hedging.Skip(reason):
            agent.metrics.count(f"copies.skipped.{reason}")
        case hedging.Send():
            agent.metrics.count("copies.sent")
            copy = _forward_copy(agent, sending, target, (budget, retries))
            running[asyncio.ensure_future(copy)] = target


async def _forward_copy(
    agent: state.Agent,
    sending: _Sending,
    target: registrations.Registration,
    budgets: tuple[retry_budget.Budget, ...],
) -> CarriedAnswer:
    """Forward a copy; give its tokens back if it reached no upstream."""
    outcome = await _forward(agent, sending, target, is_copy=True)
    if not outcome.has_arrived:
        for budget in budgets:
            retry_budget.earn(budget, 1.0)
    return outcome


async def _find_target(
    agent: state.Agent, sending: _Sending, first: registrations.Registration
) -> registrations.Registration | None:
    """Return another instance of this region with room for a copy, None without one."""
    attempts = sending.attempts
    tried = Attempts(tried={*attempts.tried, first.instance})
    found = await target_selection.find_target(
        agent, sending.request, sending.route, sending.service, tried, sending.deadlines
    )
    if found is None or found.region != agent.settings.region:
        return None
    stats = instance_selection.find_instance_stats(
        agent.selection_stats, found.instance
    )
    load = stats.load
    if load is None or not load.is_open:
        return None
    running = max(load.running + stats.sent_since_report, stats.in_flight)
    has_room = hedging.has_room_for_copy(running, load.waiting, load.slots)
    return found if has_room else None


async def _wait_for_run(
    running: dict[Task[CarriedAnswer], registrations.Registration],
) -> tuple[Sent, list[Sent]]:
    """Return the first answer of a run or, without one, the outcome that says most.

    An outcome that may have run goes before one that has not: the request is not to be
    told as not run while any copy of it may have. The second part of the result is what
    else has ended.

    Raises
    ------
    Exception
        If a sending raised it and no other one gave an answer of a run: what it did is
        unknown, so that no other outcome says enough.
    """
    (first, *_), ended = running.values(), []
    raised: Task[CarriedAnswer] | None = None
    while running:
        done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        # In the order of sending, if both have ended.
        for task in [task for task in running if task in done]:
            target = running.pop(task)
            if task.cancelled() or task.exception() is not None:
                logger.bind(target=target.instance).warning("a sending failed")
                raised = task
                continue
            sent = Sent(target, task.result())
            if _is_success(sent.outcome):
                return sent, ended
            ended.append(sent)
    if raised is not None:
        raised.result()
    best = max(ended, key=lambda sent: (*_rank_failure(sent), sent.target is first))
    return best, [sent for sent in ended if sent is not best]


def _record_others(attempts: Attempts, others: list[Sent]) -> None:
    """Record sendings that have ended without giving the outcome."""
    for target, outcome in others:
        attempts.tried.add(target.instance)
        attempts.arrivals += outcome.has_arrived
        if isinstance(outcome.verdict, MayHaveRun):
            attempts.may_have_run = outcome.verdict


def _is_success(outcome: CarriedAnswer) -> bool:
    return isinstance(outcome.verdict, Ran) and outcome.status < 500


def _rank_failure(sent: Sent) -> tuple[int, bool]:
    has_arrived = sent.outcome.has_arrived
    match sent.outcome.verdict:
        case Ran():
            return 2, has_arrived
        case MayHaveRun():
            return 1, has_arrived
        case NotRun():
            return 0, has_arrived


def _record_success(
    agent: state.Agent,
    sending: _Sending,
    sent: Sent,
    first: registrations.Registration,
    is_overtaken: bool,
    began_ms: int,
) -> None:
    """Record how long the first sending has taken at least."""
    elapsed_ms = agent.now_ms() - began_ms
    if sent.target is not first:
        agent.metrics.count("copies.won")
    if is_overtaken and sent.target is not first:
        instance_selection.record_overtaken(
            agent.selection_stats,
            first.instance,
            sending.route.name,
            elapsed_ms,
            agent.now_ms(),
        )
    window = agent.hedging.latencies[sending.route.name]
    hedging.record_latency(window, elapsed_ms)


def _find_budget(agent: state.Agent, service: str) -> retry_budget.Budget:
    """Return the copies that this daemon may send to a service."""
    found = agent.hedging.budgets.get(service)
    if found is None:
        found = agent.hedging.budgets[service] = retry_budget.Budget(
            0.0, SAVED_COPIES_MAX
        )
    return found
