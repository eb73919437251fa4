"""Hand-over: takes one request through ownership and admission to the upstream."""

import asyncio
from asyncio import Future
from typing import NamedTuple

from fuchsiamoor.core import tables
from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.requests import Answer
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import settling
from fuchsiamoor.daemon.serving_state import Run, Serving
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.routing import (
    admission,
    capacity,
    error_answers,
    in_flight_runs,
    parked_requests,
    request_rates,
)
from fuchsiamoor.routing.capacity import Capacity
from fuchsiamoor.routing.in_flight_runs import RunKey

WAIT_RECHECK_MS = 50


class Grant(NamedTuple):
    """Leave to hand a request over, good for the present step of the loop.

    Parameters
    ----------
    shard : int
        `in_flight_runs.NO_SHARD` for a request without a key.
    epoch : int
    lease_until_ms : int
        Monotonic; the request's deadline where there is no lease.
    """

    shard: int
    epoch: int
    lease_until_ms: int


class Withheld(NamedTuple):
    """The shard may not be served now, but perhaps soon."""


async def run(serving: Serving, run: Run) -> Answered:
    """Take a request to its ending.

    Raises
    ------
    asyncio.CancelledError
        ``run.handed_over`` tells whether the upstream may have seen it.
    """
    while True:
        grant = _check_grant(serving, run)
        match grant:
            case Answered():
                return grant
            case Withheld():
                refused = await _wait_for_change(serving, run)
                if refused is not None:
                    return _refuse(run, refused)
                continue
        held = await _take_slot(serving, run)
        if isinstance(held, NotRun):
            return _refuse(run, held)
        grant = _check_grant(serving, run)
        if isinstance(grant, Grant) and _is_bearable(serving, held):
            return Answered(await _hand_over(serving, run, grant, held), "", 0)
        settling.release_slot(serving, held)


def _check_grant(serving: Serving, run: Run) -> Grant | Withheld | Answered:
    now_ms = serving.now_ms()
    request = run.request
    if request.deadline_ms <= now_ms:
        return _refuse(run, NotRun(Reason.DEADLINE_PASSED, "before it was handed over"))
    if not run.domain:
        return Grant(in_flight_runs.NO_SHARD, 0, request.deadline_ms)
    table = serving.get_table(run.domain)
    if table is None:
        return Withheld()
    shard = tables.find_shard(table, run.key_hash)
    permission = serving.check_serve(run.domain, shard)
    match permission:
        case MayServe(epoch, lease_until_ms) if lease_until_ms > now_ms:
            return Grant(shard, epoch, lease_until_ms)
        case NotOwner(owner):
            refused = error_answers.make_error_answer(
                request.request_id, NotRun(Reason.NOT_OWNER, "owned elsewhere")
            )
            return Answered(refused, owner, table.revision)
        case MayServe() | Wait():
            return Withheld()


async def _wait_for_change(serving: Serving, run: Run) -> NotRun | None:
    """Park a request until ownership may have changed."""
    request = run.request
    limits = serving.get_configuration().services[request.service].limits
    ticket = asyncio.get_running_loop().create_future()
    size_bytes = len(request.body)
    if not parked_requests.park(
        serving.parking, run.domain, ticket, size_bytes, limits.parked_requests
    ):
        serving.metrics.count("serving.parking_full")
        return NotRun(Reason.OVER_LIMIT, "too many requests wait for the shard")
    wait_ms = min(WAIT_RECHECK_MS, request.deadline_ms - serving.now_ms())
    serving.metrics.count("serving.parked")
    try:
        await asyncio.wait((ticket,), timeout=max(wait_ms, 1) / 1000)
    finally:
        parked_requests.remove(serving.parking, run.domain, ticket)
    return None


def _is_bearable(serving: Serving, held: Capacity) -> bool:
    """Return whether a slot taken earlier may still be used."""
    if serving.capacity is not held:
        return False
    return capacity.may_use_slot(held, serving.now_ms())


async def _take_slot(serving: Serving, run: Run) -> Capacity | NotRun:
    """Take a slot of the upstream, waiting in the queue if there is room."""
    held = serving.capacity
    if held is None:
        return NotRun(Reason.STARTING, "the upstream has not announced itself")
    request = run.request
    limits = serving.get_configuration().services[request.service].limits
    ticket = asyncio.get_running_loop().create_future()
    decided = capacity.request_slot(
        held, ticket, request, limits.queued_requests, serving.now_ms()
    )
    match decided:
        case admission.Admitted():
            return held
        case admission.Refused(verdict):
            serving.metrics.count("serving.refused")
            return verdict
    serving.metrics.count("serving.queued")
    refused = await _wait_in_queue(serving, run, held, ticket)
    return held if refused is None else refused


async def _wait_in_queue(
    serving: Serving, run: Run, held: Capacity, ticket: Future[NotRun | None]
) -> NotRun | None:
    wait_ms = max(run.request.deadline_ms - serving.now_ms(), 1)
    try:
        await asyncio.wait((ticket,), timeout=wait_ms / 1000)
    except asyncio.CancelledError:
        if not capacity.leave_queue(held, ticket) and ticket.result() is None:
            settling.release_slot(serving, held)
        raise
    if ticket.done():
        return ticket.result()
    capacity.leave_queue(held, ticket)
    return NotRun(Reason.DEADLINE_PASSED, "while it waited for a slot")


async def _hand_over(
    serving: Serving, run: Run, grant: Grant, held: Capacity
) -> Answer:
    """Give a request to the upstream, in the step of the loop that made the grant."""
    request = run.request
    handed = _note_hand_over(serving, run, grant, held)
    to_unix_ms = _read_offset_ms(serving)
    lease_until_unix_ms = grant.lease_until_ms + to_unix_ms if run.domain else 0
    verdict = MayHaveRun(Reason.CANCELLED, "cancelled while it ran")
    try:
        answer = await serving.upstream.run(
            request,
            grant.shard,
            grant.epoch,
            lease_until_unix_ms,
            request.deadline_ms + to_unix_ms,
            run.domain,
        )
        if answer.request_id != request.request_id:
            verdict = MayHaveRun(Reason.TRUNCATED, "answer to another request")
            return error_answers.make_error_answer(request.request_id, verdict)
        verdict = answer.verdict
        return answer
    finally:
        settling.settle(serving, handed, verdict)


def _read_offset_ms(serving: Serving) -> int:
    """Return Unix time less monotonic time, never too much.

    Unix time is read first, so that a pause between the two makes the result smaller
    and what is computed from it earlier.
    """
    unix_ms = serving.unix_ms()
    return unix_ms - serving.now_ms()


def _note_hand_over(
    serving: Serving, run: Run, grant: Grant, held: Capacity
) -> settling.Handed:
    now_ms = serving.now_ms()
    service = serving.get_configuration().services[run.request.service]
    start_by_ms = min(run.request.deadline_ms, grant.lease_until_ms)
    ends_by_ms = start_by_ms + service.longest_run_ms
    if run.domain and serving.own_member().checks_grants:
        ends_by_ms = min(ends_by_ms, grant.lease_until_ms)
    _note_heat(serving, run, grant.shard)
    run_key = RunKey(run.domain, run.key_hash if run.domain else in_flight_runs.NO_KEY)
    in_flight_runs.record_start(serving.runs, run_key)
    run.handed_over = True
    number = capacity.record_start(held, now_ms)
    slot_until_ms = now_ms + service.longest_run_ms
    return settling.Handed(
        run.request.request_id,
        run_key,
        held,
        number,
        now_ms,
        slot_until_ms,
        ends_by_ms,
    )


def _note_heat(serving: Serving, run: Run, shard: int) -> None:
    if not run.domain:
        return
    of_domain = serving.heat.get(run.domain)
    if of_domain is None:
        of_domain = serving.heat[run.domain] = request_rates.make_rate_counter(
            serving.now_ms()
        )
    request_rates.record_request(of_domain, shard, run.key_hash)


def _refuse(run: Run, verdict: NotRun) -> Answered:
    return Answered(
        error_answers.make_error_answer(run.request.request_id, verdict), "", 0
    )
