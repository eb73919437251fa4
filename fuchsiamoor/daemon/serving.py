"""Serving: runs forwarded requests at the upstream beside this daemon.

The owner's daemon decides: it computes domain and shard anew, and checks home regions,
ownership and room at the upstream. The lease is checked again in the same step of the
loop in which the request is handed over.
"""

import asyncio
from asyncio import Future, Task
from collections.abc import Callable, Iterable

import xxhash

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import hand_over
from fuchsiamoor.daemon.serving_state import (
    IdempotencyName,
    Metrics,
    Run,
    Serving,
    Upstream,
)
from fuchsiamoor.ownership.holder import MayServe, NotOwner, Wait
from fuchsiamoor.routing import (
    capacity,
    parking,
    ramp,
    recent,
    refusals,
    residency,
    routes,
    runs,
)
from fuchsiamoor.routing.runs import ShardId

HOPS_MAX = 8


def make_serving(
    *,
    get_configuration: Callable[[], Configuration],
    get_table: Callable[[str], ShardTable | None],
    own_member: Callable[[], Member],
    check_serve: Callable[[str, int], MayServe | Wait | NotOwner],
    upstream: Upstream,
    metrics: Metrics,
    now_ms: Callable[[], int],
    unix_ms: Callable[[], int],
) -> Serving:
    """Return the serving side of a daemon, with no upstream announced yet.

    Parameters
    ----------
    get_configuration : callable
        The configuration in force.
    get_table : callable
        The newest table known of a domain, None if there is none.
    own_member : callable
    check_serve : callable
        Whether this member may serve a shard of a domain now.
    upstream : Upstream
    metrics : Metrics
    now_ms : callable
        Monotonic time, in milliseconds.
    unix_ms : callable
        Unix time, in milliseconds, as the upstream reads it.
    """
    return Serving(
        get_configuration,
        get_table,
        own_member,
        check_serve,
        upstream,
        metrics,
        now_ms,
        unix_ms,
    )


def upstream_announced(
    serving: Serving, incarnation: str, slots: int, connections: int
) -> bool:
    """Take in an announcement; True if the upstream is a new incarnation.

    A new incarnation starts its ramp.
    """
    if serving.capacity is not None and incarnation == serving.incarnation:
        return False
    service = serving.get_configuration().services.get(serving.own_member().service)
    if service is None:
        return False
    upstream_gone(serving)
    started = ramp.make_ramp(service.cold_start, slots, serving.now_ms())
    serving.capacity = capacity.make_capacity(started, connections)
    serving.incarnation = incarnation
    serving.metrics.count("serving.ramp_started")
    return True


def upstream_gone(serving: Serving) -> None:
    """Take in that there is no upstream; those who wait for a slot are refused."""
    if serving.capacity is None:
        return
    waiting, serving.capacity = list(serving.capacity.waiting), None
    for ticket in waiting:
        ticket.set_result(NotRun(Reason.STARTING, "the upstream is gone"))


def state_changed(serving: Serving) -> None:
    """Check parked requests again: a lease, table or configuration has changed."""
    for ticket in parking.wake_all(serving.parking):
        if not ticket.done():
            ticket.set_result(None)


def leave(serving: Serving) -> None:
    """Take no more requests without a key; those with one end with their shards."""
    serving.leaving = True


async def serve(serving: Serving, forward: Forward) -> Answered:
    """Serve a forwarded request.

    Raises
    ------
    asyncio.CancelledError
        When the task that waits for the answer is cancelled; the run is cancelled if
        nobody else waits for it.
    """
    now_ms = serving.now_ms()
    deadline_ms = now_ms + forward.request.deadline_ms
    request = forward.request._replace(deadline_ms=deadline_ms)
    refused = _check_forward(serving, forward, request)
    if refused is not None:
        return _refuse_for_good(serving, forward, refused)
    name = _make_name(request)
    fingerprint = _compute_fingerprint(request)
    known = _find_ending(serving, forward, request, name, fingerprint, now_ms)
    if known is not None:
        serving.metrics.count("serving.repeated")
        return known
    run = _find_run(serving, request, name)
    if run is None:
        run = _start_run(serving, request, forward.attempt, name, fingerprint)
    elif run.fingerprint != fingerprint:
        return _refuse(request, _OTHER_REQUEST)
    return await _wait_for_ending(serving, run, request.request_id)


def cancel(serving: Serving, request_id: str) -> None:
    """Take in that the caller of a forwarded request has gone.

    `serve` then returns a refusal, which nobody waits for.
    """
    run = serving.running.get(request_id)
    if run is None:
        return
    for waiter, waiting_id in run.waiters.items():
        if waiting_id == request_id and not waiter.done():
            waiter.set_result(_refuse_cancelled(run, request_id))


async def drain_shards(serving: Serving, domain: str, shards: Iterable[int]) -> None:
    """Wait until nothing of some shards runs at the upstream.

    The holder has to refuse these shards before this is called.
    """
    for shard in shards:
        await _drain_shard(serving, ShardId(domain, shard))


async def drain(serving: Serving) -> None:
    """Wait until nothing runs at the upstream, with or without a key."""
    while serving.runs.counts or serving.runs.uncertain_until_ms:
        for shard_id in [*serving.runs.counts, *serving.runs.uncertain_until_ms]:
            await _drain_shard(serving, shard_id)


async def _drain_shard(serving: Serving, shard_id: ShardId) -> None:
    while True:
        if shard_id in serving.runs.counts:
            waiter = asyncio.get_running_loop().create_future()
            serving.drain_waiters.append(waiter)
            await waiter
            continue
        wait_ms = runs.compute_wait_ms(serving.runs, shard_id, serving.now_ms())
        if wait_ms == 0:
            return
        await asyncio.sleep(wait_ms / 1000)


_OTHER_REQUEST = NotRun(
    Reason.BAD_REQUEST, "the idempotency key was used for another request"
)


def _check_forward(
    serving: Serving, forward: Forward, request: Request
) -> NotRun | None:
    configuration = serving.get_configuration()
    refused = residency.check_request(
        configuration, request, serving.own_member().region
    )
    if refused is not None:
        return _soften(configuration, forward, refused)
    if forward.hops > HOPS_MAX:
        return NotRun(Reason.NO_OWNER, f"{forward.hops} hops")
    if request.service != serving.own_member().service:
        return NotRun(Reason.NO_UPSTREAM, "another service's upstream")
    if not request.key and serving.leaving:
        return NotRun(Reason.SHUTTING_DOWN, "the upstream is leaving")
    if not request.key and (
        serving.own_member().data_centre in configuration.data_centres_out
    ):
        return NotRun(Reason.SHUTTING_DOWN, "the data centre is out of service")
    return None


def _soften(configuration: Configuration, forward: Forward, refused: NotRun) -> NotRun:
    """Return a refusal that may be tried again where the sender knows more."""
    if forward.configuration_revision <= configuration.revision:
        return refused
    if refused.reason not in (Reason.UNKNOWN_SERVICE, Reason.UNKNOWN_TENANT):
        return refused
    return NotRun(Reason.STARTING, "configuration not received yet")


def _make_name(request: Request) -> IdempotencyName | None:
    if not request.idempotency_key or not request.key:
        return None
    return IdempotencyName(
        request.service, request.tenant, request.key, request.idempotency_key
    )


def _compute_fingerprint(request: Request) -> int:
    """Return a hash of what is asked, 0 where no repeat can be told from it."""
    if not request.idempotency_key:
        return 0
    asked = b"\0".join((request.method.encode(), request.path.encode(), request.body))
    return xxhash.xxh3_64_intdigest(asked)


def _find_ending(
    serving: Serving,
    forward: Forward,
    request: Request,
    name: IdempotencyName | None,
    fingerprint: int,
    now_ms: int,
) -> Answered | None:
    """Return the ending of an earlier sending that settles this one."""
    ended = recent.recall(serving.ended, request.request_id, now_ms)
    if ended is not None and (
        forward.attempt <= ended.attempt or _settles(ended.answer.verdict, request)
    ):
        return Answered(ended.answer, "", 0)
    if name is None:
        return None
    stored = recent.recall(serving.ended_by_key, name, now_ms)
    if stored is None or not _settles(stored.answer.verdict, request):
        return None
    if stored.fingerprint != fingerprint:
        return _refuse(request, _OTHER_REQUEST)
    return Answered(stored.answer._replace(request_id=request.request_id), "", 0)


def _settles(verdict: NotRun | MayHaveRun | Ran, request: Request) -> bool:
    match verdict:
        case Ran():
            return True
        case MayHaveRun():
            return not request.idempotent
        case NotRun():
            return False


def _find_run(
    serving: Serving, request: Request, name: IdempotencyName | None
) -> Run | None:
    run = serving.running.get(request.request_id)
    if run is None and name is not None:
        run = serving.running_by_key.get(name)
    return run


def _start_run(
    serving: Serving,
    request: Request,
    attempt: int,
    name: IdempotencyName | None,
    fingerprint: int,
) -> Run:
    domain = routes.find_domain(serving.get_configuration(), request)
    run = Run(request, domain, attempt, fingerprint)
    serving.running[request.request_id] = run
    if name is not None:
        serving.running_by_key[name] = run
    run.task = asyncio.create_task(hand_over.run(serving, run))
    run.task.add_done_callback(lambda task: _end_run(serving, run, name, task))
    return run


def _end_run(
    serving: Serving, run: Run, name: IdempotencyName | None, task: Task[Answered]
) -> None:
    answered = _take_ending(run, task)
    del serving.running[run.request.request_id]
    if name is not None:
        del serving.running_by_key[name]
    _remember(serving, run, name, answered)
    for waiter, request_id in run.waiters.items():
        if not waiter.done():
            answer = answered.answer._replace(request_id=request_id)
            waiter.set_result(answered._replace(answer=answer))


def _take_ending(run: Run, task: Task[Answered]) -> Answered:
    if task.cancelled() or task.exception() is not None:
        return _refuse_cancelled(run, run.request.request_id)
    return task.result()


def _remember(
    serving: Serving, run: Run, name: IdempotencyName | None, answered: Answered
) -> None:
    verdict = answered.answer.verdict
    if run.request.idempotent and name is None and not isinstance(verdict, NotRun):
        return
    ending = recent.Remembered(
        answered.answer, run.attempt, run.fingerprint, serving.now_ms()
    )
    recent.remember(serving.ended, run.request.request_id, ending)
    if name is not None and not isinstance(verdict, NotRun):
        recent.remember(serving.ended_by_key, name, ending)


async def _wait_for_ending(serving: Serving, run: Run, request_id: str) -> Answered:
    waiter = asyncio.get_running_loop().create_future()
    run.waiters[waiter] = request_id
    serving.running[request_id] = run
    try:
        return await waiter
    finally:
        _leave_run(serving, run, waiter)


def _leave_run(serving: Serving, run: Run, waiter: Future[Answered]) -> None:
    """Stop waiting for a run, and cancel it if nobody else waits."""
    request_id = run.waiters.pop(waiter)
    if request_id != run.request.request_id and request_id not in run.waiters.values():
        serving.running.pop(request_id, None)
    if not run.waiters and not run.task.done():
        run.task.cancel()


def _refuse_for_good(serving: Serving, forward: Forward, verdict: NotRun) -> Answered:
    """Refuse a sending, so that a late copy of it is refused as well."""
    answered = _refuse(forward.request, verdict)
    ending = recent.Remembered(answered.answer, forward.attempt, 0, serving.now_ms())
    recent.remember(serving.ended, forward.request.request_id, ending)
    return answered


def _refuse(request: Request, verdict: NotRun) -> Answered:
    return Answered(refusals.make_refusal(request.request_id, verdict), "", 0)


def _refuse_cancelled(run: Run, request_id: str) -> Answered:
    verdict = NotRun(Reason.CANCELLED, "cancelled before it ran")
    if run.handed_over:
        verdict = MayHaveRun(Reason.CANCELLED, "cancelled while it ran")
    return Answered(refusals.make_refusal(request_id, verdict), "", 0)
