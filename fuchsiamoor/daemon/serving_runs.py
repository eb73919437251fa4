"""Deduplicated runs of the serving side.

A run is identified by its request id and, if the request has one, by its idempotency
key. Duplicates and retries join the run while it is in flight; afterwards they get its
cached answer for a limited time.
"""

import asyncio
from asyncio import Future, Task

import xxhash

from fuchsiamoor.core import keys
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import local_execution, run_completion
from fuchsiamoor.daemon.serving_state import IdempotencyId, Run, Serving
from fuchsiamoor.routing import answer_cache, error_answers, routes

WAITERS_MAX = 32
IDEMPOTENCY_KEY_REUSED = NotRun(
    Reason.BAD_REQUEST, "the idempotency key was used for another request"
)


def make_idempotency_id(request: Request) -> IdempotencyId | None:
    """Return the id shared by all retries of a request, None without such an id."""
    if not request.idempotency_key or not request.key:
        return None
    return IdempotencyId(
        request.service, request.tenant, request.key, request.idempotency_key
    )


def compute_fingerprint(request: Request) -> int:
    """Return a hash of the request's content, to tell a retry from another request."""
    hashed = b"\0".join((request.method.encode(), request.path.encode(), request.body))
    return xxhash.xxh3_64_intdigest(hashed)


def find_cached_answer(
    serving: Serving,
    forward: Forward,
    request: Request,
    idempotency_id: IdempotencyId | None,
    fingerprint: int,
    now_ms: int,
) -> Answered | None:
    """Return the cached answer of an earlier attempt that also answers this one."""
    cached = answer_cache.find(serving.answers, request.request_id, now_ms)
    if cached is not None and (
        forward.attempt <= cached.attempt or _is_final(cached.answer.verdict, request)
    ):
        return Answered(cached.answer, "", 0)
    if idempotency_id is None:
        return None
    cached_retry = answer_cache.find(
        serving.answers_by_idempotency_id, idempotency_id, now_ms
    )
    if cached_retry is None or not _is_final(cached_retry.answer.verdict, request):
        return None
    if cached_retry.fingerprint != fingerprint:
        return refuse(request, IDEMPOTENCY_KEY_REUSED)
    return Answered(cached_retry.answer._replace(request_id=request.request_id), "", 0)


def _is_final(verdict: NotRun | MayHaveRun | Ran, request: Request) -> bool:
    match verdict:
        case Ran():
            return True
        case MayHaveRun():
            return not request.idempotent
        case NotRun():
            return False


def find_run(
    serving: Serving, request: Request, idempotency_id: IdempotencyId | None
) -> Run | None:
    """Return the in-flight run of which a request is a duplicate or a retry."""
    run = serving.running.get(request.request_id)
    if run is None and idempotency_id is not None:
        run = serving.running_by_key.get(idempotency_id)
    return run


async def run_in_caller_task(
    serving: Serving, request: Request, attempt: int
) -> Answered:
    """Run a request without an idempotency key in its caller's task."""
    run = _make_run(serving, request, attempt, 0)
    run.in_caller_task = True
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
        final_answer = answered or refuse_cancelled(run, request.request_id)
        _end_run(serving, run, None, final_answer)


def start_run(
    serving: Serving,
    request: Request,
    attempt: int,
    idempotency_id: IdempotencyId,
    fingerprint: int,
) -> Run:
    """Start a request in its own task, so that retries can wait for it too."""
    run = _make_run(serving, request, attempt, fingerprint)
    serving.running_by_key[idempotency_id] = run
    run.task = asyncio.create_task(local_execution.run(serving, run))
    run.task.add_done_callback(
        lambda task: _end_run(serving, run, idempotency_id, _get_task_result(run, task))
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
    serving: Serving, run: Run, idempotency_id: IdempotencyId | None, answered: Answered
) -> None:
    _remove_running(serving, run.request.request_id)
    if idempotency_id is not None:
        del serving.running_by_key[idempotency_id]
    _cache_answer(serving, run, idempotency_id, answered)
    for waiter, request_id in run.waiters.items():
        if not waiter.done():
            answer = answered.answer._replace(request_id=request_id)
            waiter.set_result(answered._replace(answer=answer))


def _remove_running(serving: Serving, request_id: str) -> None:
    serving.running.pop(request_id, None)
    if not serving.running:
        run_completion.wake_drains(serving)


def _get_task_result(run: Run, task: Task[Answered]) -> Answered:
    if task.cancelled() or task.exception() is not None:
        return refuse_cancelled(run, run.request.request_id)
    return task.result()


def _cache_answer(
    serving: Serving, run: Run, idempotency_id: IdempotencyId | None, answered: Answered
) -> None:
    verdict = answered.answer.verdict
    if (
        run.request.idempotent
        and idempotency_id is None
        and not isinstance(verdict, NotRun)
    ):
        return
    cached = answer_cache.CachedAnswer(
        answered.answer, run.attempt, run.fingerprint, serving.now_ms()
    )
    answer_cache.store(serving.answers, run.request.request_id, cached)
    if idempotency_id is not None and not isinstance(verdict, NotRun):
        answer_cache.store(serving.answers_by_idempotency_id, idempotency_id, cached)


async def wait_for_answer(serving: Serving, run: Run, request_id: str) -> Answered:
    """Wait for a run to end; cancel it if nothing waits for it any longer."""
    if len(run.waiters) >= WAITERS_MAX:
        verdict = MayHaveRun(Reason.OVER_LIMIT, "too many wait for the same run")
        return Answered(error_answers.make_error_answer(request_id, verdict), "", 0)
    waiter = asyncio.get_running_loop().create_future()
    run.waiters[waiter] = request_id
    serving.running[request_id] = run
    try:
        return await waiter
    finally:
        _remove_waiter(serving, run, waiter)


def _remove_waiter(serving: Serving, run: Run, waiter: Future[Answered]) -> None:
    """Remove a waiter from a run, and cancel the run if it was the last one."""
    request_id = run.waiters.pop(waiter)
    if request_id != run.request.request_id and request_id not in run.waiters.values():
        _remove_running(serving, request_id)
    if not run.in_caller_task and not run.waiters and not run.task.done():
        run.task.cancel()


def cancel_request(run: Run, request_id: str) -> None:
    """Answer a request whose caller has disconnected as cancelled."""
    if run.in_caller_task and request_id == run.request.request_id:
        run.cancelled = True
        run.task.cancel()
    for waiter, waiting_id in run.waiters.items():
        if waiting_id == request_id and not waiter.done():
            waiter.set_result(refuse_cancelled(run, request_id))


def refuse_and_cache(serving: Serving, forward: Forward, verdict: NotRun) -> Answered:
    """Refuse an attempt and cache the refusal, so that late duplicates are refused."""
    answered = refuse(forward.request, verdict)
    cached = answer_cache.CachedAnswer(
        answered.answer, forward.attempt, 0, serving.now_ms()
    )
    answer_cache.store(serving.answers, forward.request.request_id, cached)
    return answered


def refuse(request: Request, verdict: NotRun) -> Answered:
    """Return the error answer for a refused request."""
    return Answered(error_answers.make_error_answer(request.request_id, verdict), "", 0)


def refuse_cancelled(run: Run, request_id: str) -> Answered:
    """Return the answer to a cancelled request: may-have-run once it was sent."""
    verdict = NotRun(Reason.CANCELLED, "cancelled before it ran")
    if run.sent_to_upstream:
        verdict = MayHaveRun(Reason.CANCELLED, "cancelled while it ran")
    return Answered(error_answers.make_error_answer(request_id, verdict), "", 0)
