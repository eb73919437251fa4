"""Entry of requests without a key: to any upstream, with retries and hedges."""

import asyncio
from asyncio import Task
from dataclasses import dataclass, field

from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import forwarding
from fuchsiamoor.daemon.forwarding import CandidatesName, Entry
from fuchsiamoor.routing import (
    candidates,
    error_answers,
    hedging,
    load_balancing,
    retry,
    retry_budget,
    routes,
)

CANDIDATES_KEEP_MS = 100
NO_ROUTE = routes.OwnerUnavailable("", Reason.NO_OWNER, 0)


@dataclass(slots=True)
class Attempts:
    """What was tried of one request.

    Parameters
    ----------
    permit : Permit
        Of the latest sending.
    tried : set of str
        Members sent to.
    ending : NotRun or MayHaveRun
        What is known from the attempts that have ended.
    """

    permit: retry.Permit
    tried: set[str] = field(default_factory=set)
    ending: NotRun | MayHaveRun = NotRun(Reason.NO_UPSTREAM)


async def handle_any(entry: Entry, request: Request) -> Answer:
    """Answer a request that any upstream of the service may take."""
    service = entry.get_configuration().services[request.service]
    spendable = entry.budgets.setdefault(request.service, retry_budget.make_budget())
    retry_budget.earn(spendable, service.retry_ratio)
    attempts = Attempts(retry.permit_first(request))
    while True:
        if request.deadline_ms <= entry.now_ms():
            return _refuse(request, attempts, Reason.DEADLINE_PASSED)
        target = _choose(entry, request, attempts)
        if target is None:
            return _refuse(request, attempts, Reason.NO_UPSTREAM)
        if request.idempotent:
            answer = await _send_hedged(entry, target, request, attempts)
        else:
            attempts.tried.add(target.member_id)
            answered = await _send_measured(entry, target, request, attempts.permit)
            answer = answered.answer
        attempts.ending = forwarding.merge_endings(attempts.ending, answer.verdict)
        step = retry.choose_unkeyed_step(attempts.permit, answer.verdict)
        if step is retry.Step.FINISH or not retry_budget.spend(spendable):
            return forwarding.conclude(request, answer, attempts.ending)
        entry.metrics.count("entry.retried")
        attempts.permit = retry.permit_next(attempts.permit, answer.verdict)


def _choose(entry: Entry, request: Request, attempts: Attempts) -> Member | None:
    return load_balancing.choose_member(
        entry.measurements,
        entry.own_member(),
        _find_candidates(entry, request),
        attempts.tried,
        entry.now_ms(),
        entry.rng,
    )


def _find_candidates(entry: Entry, request: Request) -> load_balancing.Candidates:
    """Return the candidates of a tenant, found anew every `CANDIDATES_KEEP_MS`."""
    now_ms = entry.now_ms()
    configuration = entry.get_configuration()
    name = CandidatesName(configuration.revision, request.service, request.tenant)
    if now_ms >= entry.candidates_until_ms:
        entry.candidates.clear()
        entry.candidates_until_ms = now_ms + CANDIDATES_KEEP_MS
    found = entry.candidates.get(name)
    if found is None:
        members = entry.list_members(request.service)
        allowed = candidates.list_candidates(configuration, members, request)
        found = load_balancing.split_candidates(entry.own_member(), allowed)
        entry.candidates[name] = found
    return found


def _refuse(request: Request, attempts: Attempts, reason: Reason) -> Answer:
    if isinstance(attempts.ending, MayHaveRun) or attempts.tried:
        return error_answers.make_error_answer(request.request_id, attempts.ending)
    return error_answers.make_error_answer(request.request_id, NotRun(reason))


async def _send_measured(
    entry: Entry, target: Member, request: Request, permit: retry.Permit
) -> Answered:
    sent_ms = entry.now_ms()
    answered = None
    load_balancing.record_sent(entry.measurements, target.member_id)
    try:
        answered = await forwarding.send(entry, target, request, permit, NO_ROUTE)
        return answered
    finally:
        load_balancing.record_ended(entry.measurements, target.member_id)
        _measure(entry, target, request, answered, entry.now_ms() - sent_ms)


def _measure(
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
            measured = load_balancing.find_stats(entry.measurements, target.member_id)
            if latency_ms > measured.latency_ms:
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
    """Send to one member and, when it is slow, to a second; first whole answer wins."""
    running = {_start(entry, target, request, attempts)}
    hedge_ms = entry.latencies.setdefault(
        request.service, hedging.make_latency_window()
    ).hedge_delay_ms
    try:
        done, running = await asyncio.wait(running, timeout=hedge_ms / 1000)
        if not done:
            second = _choose_hedge(entry, request, attempts)
            if second is not None:
                entry.metrics.count("entry.hedged")
                attempts.permit = retry.permit_repeat(attempts.permit)
                running.add(_start(entry, second, request, attempts))
        return await _first_whole(request, done, running, attempts)
    finally:
        for task in running:
            task.cancel()


def _start(
    entry: Entry, target: Member, request: Request, attempts: Attempts
) -> Task[Answered]:
    attempts.tried.add(target.member_id)
    return asyncio.create_task(_send_measured(entry, target, request, attempts.permit))


def _choose_hedge(entry: Entry, request: Request, attempts: Attempts) -> Member | None:
    second = _choose(entry, request, attempts)
    if second is None or not retry_budget.spend(entry.budgets[request.service]):
        return None
    return second


async def _first_whole(
    request: Request,
    done: set[Task[Answered]],
    running: set[Task[Answered]],
    attempts: Attempts,
) -> Answer:
    """Return the first answer that ran, or the ending once all have ended."""
    answer = None
    while True:
        for task in done:
            answer = task.result().answer
            if isinstance(answer.verdict, Ran):
                return answer
            attempts.ending = forwarding.merge_endings(attempts.ending, answer.verdict)
        if not running:
            return forwarding.conclude(request, answer, attempts.ending)
        done, left = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        running.intersection_update(left)
