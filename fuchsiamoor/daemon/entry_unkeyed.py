"""Routing of requests without a key: any upstream, with retries and hedging."""

import asyncio
from asyncio import Task
from dataclasses import dataclass, field

from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import forwarding
from fuchsiamoor.daemon.forwarding import CandidatesCacheKey, Entry
from fuchsiamoor.routing import (
    candidates,
    error_answers,
    hedging,
    load_balancing,
    retry,
    retry_budget,
    routes,
)

CANDIDATES_TTL_MS = 100
UNKEYED_ROUTE = routes.OwnerUnavailable("", Reason.NO_OWNER, 0)


@dataclass(slots=True)
class Attempts:
    """Attempts made for one request.

    Parameters
    ----------
    permit : Permit
        Permit of the latest attempt.
    tried : set of str
        Members that the request was sent to.
    outcome : NotRun or MayHaveRun
        Combined verdict of the attempts that have ended.
    """

    permit: retry.Permit
    tried: set[str] = field(default_factory=set)
    outcome: NotRun | MayHaveRun = NotRun(Reason.NO_UPSTREAM)


async def handle_unkeyed(entry: Entry, request: Request) -> Answer:
    """Return the answer to a request that any upstream of the service may serve."""
    service = entry.get_configuration().services[request.service]
    budget = entry.budgets.setdefault(request.service, retry_budget.make_budget())
    retry_budget.earn(budget, service.retry_ratio)
    attempts = Attempts(retry.permit_first(request))
    while True:
        if request.deadline_ms <= entry.now_ms():
            return _refuse(request, attempts, Reason.DEADLINE_PASSED)
        target = _choose_target(entry, request, attempts)
        if target is None:
            return _refuse(request, attempts, Reason.NO_UPSTREAM)
        if request.idempotent:
            answer = await _send_hedged(entry, target, request, attempts)
        else:
            attempts.tried.add(target.member_id)
            answered = await _send_and_record(entry, target, request, attempts.permit)
            answer = answered.answer
        attempts.outcome = forwarding.merge_outcomes(attempts.outcome, answer.verdict)
        step = retry.choose_unkeyed_step(attempts.permit, answer.verdict)
        if step is retry.Step.FINISH or not retry_budget.spend(budget):
            return forwarding.choose_final_answer(request, answer, attempts.outcome)
        entry.metrics.count("entry.retried")
        attempts.permit = retry.permit_next(attempts.permit, answer.verdict)


def _choose_target(entry: Entry, request: Request, attempts: Attempts) -> Member | None:
    return load_balancing.choose_member(
        entry.measurements,
        entry.own_member(),
        _find_candidates(entry, request),
        attempts.tried,
        entry.now_ms(),
        entry.rng,
    )


def _find_candidates(entry: Entry, request: Request) -> load_balancing.Candidates:
    """Return the candidates for a tenant, cached for `CANDIDATES_TTL_MS`."""
    now_ms = entry.now_ms()
    configuration = entry.get_configuration()
    cache_key = CandidatesCacheKey(
        configuration.revision, request.service, request.tenant
    )
    if now_ms >= entry.candidates_until_ms:
        entry.candidates.clear()
        entry.candidates_until_ms = now_ms + CANDIDATES_TTL_MS
    found = entry.candidates.get(cache_key)
    if found is None:
        members = entry.list_members(request.service)
        allowed = candidates.list_candidates(configuration, members, request)
        found = load_balancing.split_candidates(entry.own_member(), allowed)
        entry.candidates[cache_key] = found
    return found


def _refuse(request: Request, attempts: Attempts, reason: Reason) -> Answer:
    if isinstance(attempts.outcome, MayHaveRun) or attempts.tried:
        return error_answers.make_error_answer(request.request_id, attempts.outcome)
    return error_answers.make_error_answer(request.request_id, NotRun(reason))


async def _send_and_record(
    entry: Entry, target: Member, request: Request, permit: retry.Permit
) -> Answered:
    sent_ms = entry.now_ms()
    answered = None
    load_balancing.record_sent(entry.measurements, target.member_id)
    try:
        answered = await forwarding.send(entry, target, request, permit, UNKEYED_ROUTE)
        return answered
    finally:
        load_balancing.record_ended(entry.measurements, target.member_id)
        _record_result(entry, target, request, answered, entry.now_ms() - sent_ms)


def _record_result(
    entry: Entry,
    target: Member,
    request: Request,
    answered: Answered | None,
    latency_ms: int,
) -> None:
    match answered.answer.verdict if answered else MayHaveRun(Reason.CANCELLED):
        case Ran():
            load_balancing.record_latency(
                entry.measurements, target.member_id, latency_ms, entry.now_ms()
            )
            latencies = entry.latencies.setdefault(
                request.service, hedging.make_latency_window()
            )
            hedging.record_latency(latencies, latency_ms)
        case MayHaveRun():
            stats = load_balancing.find_stats(entry.measurements, target.member_id)
            if latency_ms > stats.latency_ms:
                load_balancing.record_latency(
                    entry.measurements, target.member_id, latency_ms, entry.now_ms()
                )
        case NotRun(reason) if reason in retry.OWNER_UNAVAILABLE_REASONS:
            load_balancing.mark_unavailable(
                entry.measurements, target.member_id, entry.now_ms()
            )
        case NotRun():
            load_balancing.mark_full(
                entry.measurements, target.member_id, entry.now_ms()
            )


async def _send_hedged(
    entry: Entry, target: Member, request: Request, attempts: Attempts
) -> Answer:
    """Send to one member and, if it is slow, also to another; the first run wins."""
    running = {_start_attempt(entry, target, request, attempts)}
    hedge_ms = entry.latencies.setdefault(
        request.service, hedging.make_latency_window()
    ).hedge_delay_ms
    try:
        done, running = await asyncio.wait(running, timeout=hedge_ms / 1000)
        if not done:
            hedge_target = _choose_hedge_target(entry, request, attempts)
            if hedge_target is not None:
                entry.metrics.count("entry.hedged")
                attempts.permit = retry.permit_repeat(attempts.permit)
                running.add(_start_attempt(entry, hedge_target, request, attempts))
        return await _wait_for_first_run(request, done, running, attempts)
    finally:
        for task in running:
            task.cancel()


def _start_attempt(
    entry: Entry, target: Member, request: Request, attempts: Attempts
) -> Task[Answered]:
    attempts.tried.add(target.member_id)
    return asyncio.create_task(
        _send_and_record(entry, target, request, attempts.permit)
    )


def _choose_hedge_target(
    entry: Entry, request: Request, attempts: Attempts
) -> Member | None:
    hedge_target = _choose_target(entry, request, attempts)
    conditions = hedging.Conditions(
        has_target=hedge_target is not None,
        is_short_of_room=False,
        leaves_retries=True,
        # The upstream starts no run that would end too late.
        expected_ms=0.0,
        left_ms=request.deadline_ms - entry.now_ms(),
    )
    match hedging.decide_copy(conditions, [entry.budgets[request.service]]):
        case hedging.Send():
            return hedge_target
        case hedging.Skip():
            return None


async def _wait_for_first_run(
    request: Request,
    done: set[Task[Answered]],
    running: set[Task[Answered]],
    attempts: Attempts,
) -> Answer:
    """Return the first answer that ran, or the combined one if none ran."""
    answer = None
    while True:
        for task in done:
            answer = task.result().answer
            if isinstance(answer.verdict, Ran):
                return answer
            attempts.outcome = forwarding.merge_outcomes(
                attempts.outcome, answer.verdict
            )
        if not running:
            return forwarding.choose_final_answer(request, answer, attempts.outcome)
        done, left = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        running.intersection_update(left)
