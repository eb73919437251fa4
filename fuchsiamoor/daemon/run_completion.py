"""Completion of runs: updates capacity and in-flight runs when a request ends."""

import asyncio
from typing import NamedTuple

from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon.serving_state import Serving
from fuchsiamoor.routing import capacity, in_flight_runs
from fuchsiamoor.routing.capacity import Capacity
from fuchsiamoor.routing.in_flight_runs import RunKey


class SentRun(NamedTuple):
    """A request that was sent to the upstream.

    Parameters
    ----------
    request_id : str
    run_key : RunKey
    upstream_capacity : Capacity
        Capacity that the request takes a slot of.
    run_number : int
        Number of the run as assigned by `capacity.record_start`.
    sent_ms : int
    slot_until_ms : int
        Time by which it has ended if the upstream started it at once; until then it
        keeps its slot if its end is uncertain.
    ends_by_ms : int
        Time by which it can certainly neither run nor commit any more.
    """

    request_id: str
    run_key: RunKey
    upstream_capacity: Capacity
    run_number: int
    sent_ms: int
    slot_until_ms: int
    ends_by_ms: int


def release_slot(serving: Serving, upstream_capacity: Capacity) -> None:
    """Release one slot and admit queued requests to the free slots."""
    capacity.release_slot(upstream_capacity)
    for ticket in capacity.grant_slots(upstream_capacity, serving.now_ms()):
        ticket.set_result(None)


def complete_run(
    serving: Serving, run: SentRun, verdict: NotRun | MayHaveRun | Ran
) -> None:
    """Record the end of a run and update capacity from its outcome.

    After an uncertain end the request may still be running, so it is cancelled and its
    slot is released later.
    """
    now_ms = serving.now_ms()
    upstream_capacity = run.upstream_capacity
    match verdict:
        case Ran():
            is_last = in_flight_runs.record_end(serving.runs, run.run_key)
            latency_ms = now_ms - run.sent_ms
            capacity.record_answer(
                upstream_capacity, run.run_number, latency_ms, now_ms
            )
            release_slot(serving, upstream_capacity)
        case NotRun(reason):
            is_last = in_flight_runs.record_end(serving.runs, run.run_key)
            capacity.record_unanswered_end(upstream_capacity, run.run_number)
            if reason in (Reason.SHED, Reason.CONNECT_FAILED):
                _restart_ramp(serving, run)
            release_slot(serving, upstream_capacity)
        case MayHaveRun(reason):
            is_last = in_flight_runs.record_uncertain_end(
                serving.runs, run.run_key, run.ends_by_ms, now_ms
            )
            capacity.record_unanswered_end(upstream_capacity, run.run_number)
            if reason is Reason.UPSTREAM_LOST:
                _restart_ramp(serving, run)
            cancel_task = asyncio.create_task(_cancel_and_release(serving, run))
            serving.pending_cancellations.add(cancel_task)
            cancel_task.add_done_callback(serving.pending_cancellations.discard)
    if is_last:
        wake_drains(serving)


def _restart_ramp(serving: Serving, run: SentRun) -> None:
    if capacity.handle_cold_upstream(
        run.upstream_capacity, run.sent_ms, serving.now_ms()
    ):
        serving.metrics.count("serving.ramp_restarted")


async def _cancel_and_release(serving: Serving, run: SentRun) -> None:
    """Cancel a run whose end is uncertain, and release its slot once it has ended.

    If the upstream does not confirm the cancellation, the slot stays taken until
    `slot_until_ms`.
    """
    confirmed = await serving.cancel_run(run.request_id)
    slot_wait_ms = run.slot_until_ms - serving.now_ms()
    if not confirmed and slot_wait_ms > 0:
        await asyncio.sleep(slot_wait_ms / 1000)
    release_slot(serving, run.upstream_capacity)


def wake_drains(serving: Serving) -> None:
    """Let drains check again what they wait for."""
    waiters, serving.drain_waiters = serving.drain_waiters, []
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)
