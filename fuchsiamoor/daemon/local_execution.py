"""Execution of one request at the local upstream: ownership, admission, run."""

import asyncio
from asyncio import Future
from typing import NamedTuple

from fuchsiamoor.core import tables
from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.requests import Answer
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import run_completion
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

PARK_RECHECK_MS = 50


class RunPermission(NamedTuple):
    """Permission to run a request, valid only in the current event loop step.

    Parameters
    ----------
    shard : int
        `in_flight_runs.NO_SHARD` for a request without a key.
    epoch : int
    lease_until_ms : int
        Monotonic time; the request's deadline if it has no key.
    """

    shard: int
    epoch: int
    lease_until_ms: int


class NotYetPermitted(NamedTuple):
    """The shard must not be served here now, but perhaps soon."""


async def run(serving: Serving, run: Run) -> Answered:
    """Run a request and return its answer.

    Raises
    ------
    asyncio.CancelledError
        ``run.sent_to_upstream`` tells whether the upstream may have received it.
    """
    while True:
        permission = _check_permission(serving, run)
        match permission:
            case Answered():
                return permission
            case NotYetPermitted():
                refused = await _wait_for_change(serving, run)
                if refused is not None:
                    return _refuse(run, refused)
                continue
        upstream_capacity = await _take_slot(serving, run)
        if isinstance(upstream_capacity, NotRun):
            return _refuse(run, upstream_capacity)
        permission = _check_permission(serving, run)
        if isinstance(permission, RunPermission) and _may_use_slot(
            serving, upstream_capacity
        ):
            return Answered(
                await _send_to_upstream(serving, run, permission, upstream_capacity),
                "",
                0,
            )
        run_completion.release_slot(serving, upstream_capacity)


def _check_permission(
    serving: Serving, run: Run
) -> RunPermission | NotYetPermitted | Answered:
    now_ms = serving.now_ms()
    request = run.request
    if request.deadline_ms <= now_ms:
        return _refuse(run, NotRun(Reason.DEADLINE_PASSED, "before it was handed over"))
    if not run.domain:
        return RunPermission(in_flight_runs.NO_SHARD, 0, request.deadline_ms)
    table = serving.get_table(run.domain)
    if table is None:
        return NotYetPermitted()
    shard = tables.find_shard(table, run.key_hash)
    serve_check = serving.check_serve(run.domain, shard)
    match serve_check:
        case MayServe(epoch, lease_until_ms) if lease_until_ms > now_ms:
            return RunPermission(shard, epoch, lease_until_ms)
        case NotOwner(owner):
            refused = error_answers.make_error_answer(
                request.request_id, NotRun(Reason.NOT_OWNER, "owned elsewhere")
            )
            return Answered(refused, owner, table.revision)
        case MayServe() | Wait():
            return NotYetPermitted()


async def _wait_for_change(serving: Serving, run: Run) -> NotRun | None:
    """Park a request until ownership may have changed.

    Returns a refusal if parking is full.
    """
    request = run.request
    limits = serving.get_configuration().services[request.service].limits
    ticket = asyncio.get_running_loop().create_future()
    size_bytes = len(request.body)
    if not parked_requests.park(
        serving.parking, run.domain, ticket, size_bytes, limits.parked_requests
    ):
        serving.metrics.count("serving.parking_full")
        return NotRun(Reason.OVER_LIMIT, "too many requests wait for the shard")
    wait_ms = min(PARK_RECHECK_MS, request.deadline_ms - serving.now_ms())
    serving.metrics.count("serving.parked")
    try:
        await asyncio.wait((ticket,), timeout=max(wait_ms, 1) / 1000)
    finally:
        parked_requests.remove(serving.parking, run.domain, ticket)
    return None


def _may_use_slot(serving: Serving, upstream_capacity: Capacity) -> bool:
    """Return whether a slot that was taken earlier may still be used."""
    if serving.capacity is not upstream_capacity:
        return False
    return capacity.may_use_slot(upstream_capacity, serving.now_ms())


async def _take_slot(serving: Serving, run: Run) -> Capacity | NotRun:
    """Take a slot of the upstream, after waiting in its queue if necessary."""
    upstream_capacity = serving.capacity
    if upstream_capacity is None:
        return NotRun(Reason.STARTING, "the upstream has not announced itself")
    request = run.request
    limits = serving.get_configuration().services[request.service].limits
    ticket = asyncio.get_running_loop().create_future()
    decided = capacity.request_slot(
        upstream_capacity, ticket, request, limits.queued_requests, serving.now_ms()
    )
    match decided:
        case admission.Admitted():
            return upstream_capacity
        case admission.Refused(verdict):
            serving.metrics.count("serving.refused")
            return verdict
    serving.metrics.count("serving.queued")
    refused = await _wait_in_queue(serving, run, upstream_capacity, ticket)
    return upstream_capacity if refused is None else refused


async def _wait_in_queue(
    serving: Serving,
    run: Run,
    upstream_capacity: Capacity,
    ticket: Future[NotRun | None],
) -> NotRun | None:
    wait_ms = max(run.request.deadline_ms - serving.now_ms(), 1)
    try:
        await asyncio.wait((ticket,), timeout=wait_ms / 1000)
    except asyncio.CancelledError:
        if (
            not capacity.leave_queue(upstream_capacity, ticket)
            and ticket.result() is None
        ):
            run_completion.release_slot(serving, upstream_capacity)
        raise
    if ticket.done():
        return ticket.result()
    capacity.leave_queue(upstream_capacity, ticket)
    return NotRun(Reason.DEADLINE_PASSED, "while it waited for a slot")


async def _send_to_upstream(
    serving: Serving, run: Run, permission: RunPermission, upstream_capacity: Capacity
) -> Answer:
    """Send a request to the upstream in the event loop step that permitted it."""
    request = run.request
    started_run = _record_start(serving, run, permission, upstream_capacity)
    unix_offset_ms = _compute_unix_offset_ms(serving)
    lease_until_unix_ms = (
        permission.lease_until_ms + unix_offset_ms if run.domain else 0
    )
    verdict = MayHaveRun(Reason.CANCELLED, "cancelled while it ran")
    try:
        answer = await serving.upstream.run(
            request,
            permission.shard,
            permission.epoch,
            lease_until_unix_ms,
            request.deadline_ms + unix_offset_ms,
            run.domain,
        )
        if answer.request_id != request.request_id:
            verdict = MayHaveRun(Reason.TRUNCATED, "answer to another request")
            return error_answers.make_error_answer(request.request_id, verdict)
        verdict = answer.verdict
        return answer
    finally:
        run_completion.complete_run(serving, started_run, verdict)


def _compute_unix_offset_ms(serving: Serving) -> int:
    """Return Unix time minus monotonic time, never too large.

    Unix time is read first: a pause between the two reads then makes the offset
    smaller, and leases and deadlines computed from it end too early, never too late.
    """
    unix_ms = serving.unix_ms()
    return unix_ms - serving.now_ms()


def _record_start(
    serving: Serving, run: Run, permission: RunPermission, upstream_capacity: Capacity
) -> run_completion.SentRun:
    now_ms = serving.now_ms()
    service = serving.get_configuration().services[run.request.service]
    start_by_ms = min(run.request.deadline_ms, permission.lease_until_ms)
    # The upstream may start the run until `start_by_ms` and then run it for
    # `longest_run_ms`. If it checks grants, the run can't commit after the lease.
    ends_by_ms = start_by_ms + service.longest_run_ms
    if run.domain and serving.own_member().checks_grants:
        ends_by_ms = min(ends_by_ms, permission.lease_until_ms)
    _record_request_rate(serving, run, permission.shard)
    run_key = RunKey(run.domain, run.key_hash if run.domain else in_flight_runs.NO_KEY)
    in_flight_runs.record_start(serving.runs, run_key)
    run.sent_to_upstream = True
    number = capacity.record_start(upstream_capacity, now_ms)
    slot_until_ms = now_ms + service.longest_run_ms
    return run_completion.SentRun(
        run.request.request_id,
        run_key,
        upstream_capacity,
        number,
        now_ms,
        slot_until_ms,
        ends_by_ms,
    )


def _record_request_rate(serving: Serving, run: Run, shard: int) -> None:
    if not run.domain:
        return
    counter = serving.rate_counters.get(run.domain)
    if counter is None:
        counter = serving.rate_counters[run.domain] = request_rates.make_rate_counter(
            serving.now_ms()
        )
    request_rates.record_request(counter, shard, run.key_hash)


def _refuse(run: Run, verdict: NotRun) -> Answered:
    return Answered(
        error_answers.make_error_answer(run.request.request_id, verdict), "", 0
    )
