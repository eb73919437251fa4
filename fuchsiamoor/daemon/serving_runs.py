"""Runs of the serving side: started once, joined and remembered by name.

A run is known by the request's id, and by its idempotency key where it has one. Copies
and repeats join it while it runs, and get its ending for a while after.
"""

import asyncio
from asyncio import Future, Task

import xxhash

from fuchsiamoor.core import keys
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import local_execution
from fuchsiamoor.daemon.serving_state import IdempotencyName, Run, Serving
from fuchsiamoor.routing import answer_cache, error_answers, routes

WAITERS_MAX = 32
OTHER_REQUEST = NotRun(
    Reason.BAD_REQUEST, "the idempotency key was used for another request"
)


def make_name(request: Request) -> IdempotencyName | None:
    """Return the name under which repeats of a request are known, None if none are."""
    if not request.idempotency_key or not request.key:
        return None
    return IdempotencyName(
        request.service, request.tenant, request.key, request.idempotency_key
    )


def compute_fingerprint(request: Request) -> int:
    """Return a hash of what is asked, to tell a repeat from another request."""
    asked = b"\0".join((request.method.encode(), request.path.encode(), request.body))
    return xxhash.xxh3_64_intdigest(asked)


def find_ending(
    serving: Serving,
    forward: Forward,
    request: Request,
    name: IdempotencyName | None,
    fingerprint: int,
    now_ms: int,
) -> Answered | None:
    """Return the ending of an earlier sending that settles this one."""
    ended = answer_cache.find(serving.ended, request.request_id, now_ms)
    if ended is not None and (
        forward.attempt <= ended.attempt or _settles(ended.answer.verdict, request)
    ):
        return Answered(ended.answer, "", 0)
    if name is None:
        return None
    stored = answer_cache.find(serving.ended_by_key, name, now_ms)
    if stored is None or not _settles(stored.answer.verdict, request):
        return None
    if stored.fingerprint != fingerprint:
        return refuse(request, OTHER_REQUEST)
    return Answered(stored.answer._replace(request_id=request.request_id), "", 0)


def _settles(verdict: NotRun | MayHaveRun | Ran, request: Request) -> bool:
    match verdict:
        case Ran():
            return True
        case MayHaveRun():
            return not request.idempotent
        case NotRun():
            return False


def find_run(
    serving: Serving, request: Request, name: IdempotencyName | None
) -> Run | None:
    """Return the run that a request is a copy or a repeat of."""
    run = serving.running.get(request.request_id)
    if run is None and name is not None:
        run = serving.running_by_key.get(name)
    return run


async def run_alone(serving: Serving, request: Request, attempt: int) -> Answered:
    """Run a request without an idempotency key in the task that waits for it."""
    run = _make_run(serving, request, attempt, 0)
    run.alone = True
    run.task = asyncio.current_task()
    answered = None
    try:
        answered = await local_execution.run(serving, run)
        return answered
    except asyncio.CancelledError:
        if not run.cancelled:
            raise
        run.task.uncancel()
        return refuse_cancelled(run, request.request_id)
    finally:
        ending = answered or refuse_cancelled(run, request.request_id)
        _end_run(serving, run, None, ending)


def start_run(
    serving: Serving,
    request: Request,
    attempt: int,
    name: IdempotencyName,
    fingerprint: int,
) -> Run:
    """Run a request in a task of its own, which repeats may join."""
    run = _make_run(serving, request, attempt, fingerprint)
    serving.running_by_key[name] = run
    run.task = asyncio.create_task(local_execution.run(serving, run))
    run.task.add_done_callback(
        lambda task: _end_run(serving, run, name, _take_ending(run, task))
    )
    return run


def _make_run(
    serving: Serving, request: Request, attempt: int, fingerprint: int
) -> Run:
    domain = routes.find_domain(serving.get_configuration(), request)
    key_hash = 0
    if domain:
        key_id = keys.KeyId(request.service, request.tenant, request.key)
        key_hash = keys.hash_key(key_id)
    run = Run(request, domain, key_hash, attempt, fingerprint)
    serving.running[request.request_id] = run
    return run


def _end_run(
    serving: Serving, run: Run, name: IdempotencyName | None, answered: Answered
) -> None:
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
        return refuse_cancelled(run, run.request.request_id)
    return task.result()


def _remember(
    serving: Serving, run: Run, name: IdempotencyName | None, answered: Answered
) -> None:
    verdict = answered.answer.verdict
    if run.request.idempotent and name is None and not isinstance(verdict, NotRun):
        return
    ending = answer_cache.CachedAnswer(
        answered.answer, run.attempt, run.fingerprint, serving.now_ms()
    )
    answer_cache.store(serving.ended, run.request.request_id, ending)
    if name is not None and not isinstance(verdict, NotRun):
        answer_cache.store(serving.ended_by_key, name, ending)


async def wait_for_ending(serving: Serving, run: Run, request_id: str) -> Answered:
    """Wait for a run to end, and cancel it if all who waited are gone."""
    if len(run.waiters) >= WAITERS_MAX:
        verdict = MayHaveRun(Reason.OVER_LIMIT, "too many wait for the same run")
        return Answered(error_answers.make_error_answer(request_id, verdict), "", 0)
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
    if not run.alone and not run.waiters and not run.task.done():
        run.task.cancel()


def cancel_run(run: Run, request_id: str) -> None:
    """End the waiting of a caller that has gone."""
    if run.alone and request_id == run.request.request_id:
        run.cancelled = True
        run.task.cancel()
    for waiter, waiting_id in run.waiters.items():
        if waiting_id == request_id and not waiter.done():
            waiter.set_result(refuse_cancelled(run, request_id))


def refuse_for_good(serving: Serving, forward: Forward, verdict: NotRun) -> Answered:
    """Refuse a sending, so that a late copy of it is refused as well."""
    answered = refuse(forward.request, verdict)
    ending = answer_cache.CachedAnswer(
        answered.answer, forward.attempt, 0, serving.now_ms()
    )
    answer_cache.store(serving.ended, forward.request.request_id, ending)
    return answered


def refuse(request: Request, verdict: NotRun) -> Answered:
    """Return a refusal of a request."""
    return Answered(error_answers.make_error_answer(request.request_id, verdict), "", 0)


def refuse_cancelled(run: Run, request_id: str) -> Answered:
    """Return what a cancelled request is told, by how far it had come."""
    verdict = NotRun(Reason.CANCELLED, "cancelled before it ran")
    if run.handed_over:
        verdict = MayHaveRun(Reason.CANCELLED, "cancelled while it ran")
    return Answered(error_answers.make_error_answer(request_id, verdict), "", 0)
