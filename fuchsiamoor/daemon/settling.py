"""Settling: what the end of a run at the upstream changes at the daemon beside it."""

import asyncio
from typing import NamedTuple

from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon.serving_state import Serving
from fuchsiamoor.routing import capacity, in_flight_runs
from fuchsiamoor.routing.capacity import Capacity
from fuchsiamoor.routing.in_flight_runs import RunKey


class Handed(NamedTuple):
    """A request at the upstream.

    Parameters
    ----------
    request_id : str
    run_key : RunKey
    held : Capacity
        Whose slot it takes.
    run_number : int
    handed_ms : int
    slot_until_ms : int
        Time after which it has ended if the upstream started it at once.
    ends_by_ms : int
        Time after which it can neither run nor commit in any case.
    """

    request_id: str
    run_key: RunKey
    held: Capacity
    run_number: int
    handed_ms: int
    slot_until_ms: int
    ends_by_ms: int


def release_slot(serving: Serving, held: Capacity) -> None:
    """Give one slot back and wake those who wait."""
    capacity.release_slot(held)
    for ticket in capacity.grant_slots(held, serving.now_ms()):
        ticket.set_result(None)


def settle(
    serving: Serving, handed: Handed, verdict: NotRun | MayHaveRun | Ran
) -> None:
    """Count a run as ended and learn from it."""
    now_ms = serving.now_ms()
    held = handed.held
    match verdict:
        case Ran():
            last = in_flight_runs.record_end(serving.runs, handed.run_key)
            latency_ms = now_ms - handed.handed_ms
            capacity.record_answer(held, handed.run_number, latency_ms, now_ms)
            release_slot(serving, held)
        case NotRun(reason):
            last = in_flight_runs.record_end(serving.runs, handed.run_key)
            capacity.record_unanswered_end(held, handed.run_number)
            if reason in (Reason.SHED, Reason.CONNECT_FAILED):
                _restart_ramp(serving, handed)
            release_slot(serving, held)
        case MayHaveRun(reason):
            last = in_flight_runs.record_uncertain_end(
                serving.runs, handed.run_key, handed.ends_by_ms, now_ms
            )
            capacity.record_unanswered_end(held, handed.run_number)
            if reason is Reason.UPSTREAM_LOST:
                _restart_ramp(serving, handed)
            giving_up = asyncio.create_task(_give_up(serving, handed))
            serving.pending_cancellations.add(giving_up)
            giving_up.add_done_callback(serving.pending_cancellations.discard)
    if last:
        _wake_drains(serving)


def _restart_ramp(serving: Serving, handed: Handed) -> None:
    if capacity.handle_cold_upstream(handed.held, handed.handed_ms, serving.now_ms()):
        serving.metrics.count("serving.ramp_restarted")


async def _give_up(serving: Serving, handed: Handed) -> None:
    """Cancel a run of unknown ending, and give its slot back once it has ended."""
    confirmed = await serving.cancel_run(handed.request_id)
    hold_ms = handed.slot_until_ms - serving.now_ms()
    if not confirmed and hold_ms > 0:
        await asyncio.sleep(hold_ms / 1000)
    release_slot(serving, handed.held)


def _wake_drains(serving: Serving) -> None:
    waiters, serving.drain_waiters = serving.drain_waiters, []
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)
