"""Runs requests on the upstream beside this daemon, after admission control.

Only this module sends requests to the upstream, so that drain, evacuation, home
regions, cold start and ownership are checked here, in the same event loop step in which
the request is written.
"""

import asyncio

from fuchsiamoor.agent import nested_calls, state, upstream_lifecycle
from fuchsiamoor.core.carried import NO_KEY, CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import upstream_connection, upstream_pool
from fuchsiamoor.daemon.upstream_connection import Lost, Received, WholeAnswer
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting
from fuchsiamoor.routing import hedging
from fuchsiamoor.traffic import admission, catalog, reset_limits, upstreams

# Time reserved for the answer's way back to the entry daemon.
RETURN_MARGIN_MS = 5
# A queued request is refused this long before there is too little time to run it, so
# that the refusal arrives before the entry daemon must answer that it may have run: a
# round trip between regions, and as much for a busy daemon.
REFUSAL_MARGIN_MS = 50


def read_load(agent: state.Agent) -> Load:
    """Return the load of the upstream beside this daemon."""
    queue = agent.upstream.admission_queue
    if queue is None:
        return Load(0, 0, 1, 100, 0, False)
    wait_ms = int(admission.estimate_wait_ms(queue, 1, agent.now_ms()))
    return Load(
        queue.running,
        queue.waiting,
        queue.usable_slots,
        queue.work_percent,
        wait_ms,
        state.is_open(agent),
    )


async def execute(agent: state.Agent, request: CarriedRequest) -> CarriedAnswer:
    """Run a request on the local upstream.

    Returns
    -------
    CarriedAnswer
        With `NotRun` only if the upstream has certainly not run the request.

    Raises
    ------
    asyncio.CancelledError
        If the request is cancelled; its run is aborted.
    """
    now_ms = agent.now_ms()
    ends_by_ms = now_ms + request.remaining_ms
    if request.remaining_ms <= RETURN_MARGIN_MS:
        refusal = NotRun(Reason.DEADLINE_PASSED, "on its way here")
        return refuse(agent, request, refusal)
    refusal = _check_admission(agent, request)
    if refusal is None and request.is_copy:
        refusal = check_room_for_copy(agent, request.rank)
    if refusal is not None:
        return refuse(agent, request, refusal)
    upstream = agent.upstream
    owner, queue = upstream.owner, upstream.admission_queue
    if state.is_keyed(agent, request.service):
        # Until the route has run here, assume its run time on other instances.
        elsewhere_ms = agent.selection_stats.run_ms.get(
            request.route, admission.DEFAULT_RUN_MS
        )
        work_ms = queue.run_ms.get(request.route, elsewhere_ms)
        demands.record_request(upstream.demand, request.key, work_ms, now_ms)
    in_time_by_ms = now_ms + request.in_time_ms
    acquired = await _acquire_slot(agent, request, ends_by_ms, in_time_by_ms)
    if isinstance(acquired, admission.Refused):
        return refuse(agent, request, acquired.verdict, acquired.retry_after_ms)
    waited_ms = agent.now_ms() - now_ms
    try:
        refusal = _check_still_admitted(agent, request, owner)
        if refusal is not None:
            return refuse(agent, request, refusal)
        outcome = await _send(agent, request, owner, ends_by_ms, acquired)
        if isinstance(outcome.verdict, Ran):
            _log_run(agent, request, outcome, waited_ms)
        return outcome
    finally:
        admission.release_slot(queue)
        admit_next(agent, queue)


def refuse_unless_admissible(
    agent: state.Agent, request: CarriedRequest, delay_ms: int
) -> CarriedAnswer | None:
    """Refuse a request that would be refused if it arrived after a delay."""
    refusal = _check_admission(agent, request)
    if refusal is not None:
        return refuse(agent, request, refusal)
    now_ms = agent.now_ms()
    asked = admission.AdmissionRequest(
        request.request_id,
        request.route,
        request.rank,
        now_ms + request.remaining_ms - delay_ms,
        now_ms + request.in_time_ms - delay_ms,
    )
    match admission.foresee(agent.upstream.admission_queue, asked, now_ms):
        case admission.Refused(verdict, retry_after_ms):
            return refuse(agent, request, verdict, retry_after_ms + delay_ms)
    return None


def refuse(
    agent: state.Agent,
    request: CarriedRequest,
    verdict: NotRun,
    retry_after_ms: int = 0,
) -> CarriedAnswer:
    """Log why a request is not sent to the upstream, and return its refusal."""
    queue, now_ms = agent.upstream.admission_queue, agent.now_ms()
    table = agent.cache.tables.get(request.service)
    overtaken_share = 0.0
    if queue is not None:
        overtaken_share = admission.compute_overtaking_share(
            queue, request.rank, request.in_time_ms <= 0, now_ms
        )
    agent.events.emit(
        "run refused",
        request=request.request_id,
        route=request.route,
        reason=str(verdict.reason),
        detail=verdict.detail,
        running=queue.running if queue else 0,
        waiting=queue.waiting if queue else 0,
        work_percent=queue.work_percent if queue else 0,
        cold_for_ms=max(0, queue.cold_until_ms - now_ms) if queue else 0,
        retry_after_ms=retry_after_ms,
        overtaken_percent=round(100 * overtaken_share),
        evidence_ms=agent.registration.valid_until_ms - now_ms,
        table_version=table.version if table else 0,
    )
    return _make_refusal(agent, verdict, retry_after_ms)


def _log_run(
    agent: state.Agent, request: CarriedRequest, outcome: CarriedAnswer, waited_ms: int
) -> None:
    queue, now_ms = agent.upstream.admission_queue, agent.now_ms()
    grant = None
    if agent.upstream.granting is not None and request.key != NO_KEY:
        grant = granting.find_grant(agent.upstream.granting, request.key, now_ms)
    agent.events.emit(
        "run ended",
        request=request.request_id,
        route=request.route,
        waited_ms=waited_ms,
        run_ms=outcome.run_ms,
        status=outcome.status,
        running=queue.running,
        waiting=queue.waiting,
        work_percent=queue.work_percent,
        cold_for_ms=max(0, queue.cold_until_ms - now_ms),
        fence=grant.fence if grant else 0,
    )


def _check_admission(agent: state.Agent, request: CarriedRequest) -> NotRun | None:
    """Return why a request may not be sent to the upstream now, None if it may."""
    upstream, settings = agent.upstream, agent.settings
    if (
        agent.has_ended_admission
        or not upstream_lifecycle.may_send(agent)
        or state.has_been_stopping_for(agent, state.STOP_SENDING_MS)
    ):
        return NotRun(Reason.SHUTTING_DOWN, "the upstream takes nothing more")
    if agent.stopping_since_ms is not None:
        run_ms = admission.estimate_run_ms(upstream.admission_queue, request.route)
        if agent.now_ms() + run_ms > state.find_end_ms(agent):
            return NotRun(Reason.SHUTTING_DOWN, "it would not end before the stop")
    if request.service != upstream.service:
        return NotRun(Reason.NO_UPSTREAM, "another service's upstream")
    homes = frozenset(request.home_regions)
    if not catalog.allows_region(homes, settings.region):
        return NotRun(Reason.OUTSIDE_HOME_REGIONS, "not a home region")
    if not state.is_keyed(agent, request.service):
        return None
    if request.key == NO_KEY:
        return NotRun(Reason.BAD_REQUEST, "a request without a key")
    if granting.find_grant(upstream.granting, request.key, agent.now_ms()) is None:
        return NotRun(Reason.NOT_OWNER, "the key is not held here")
    return None


def check_room_for_copy(agent: state.Agent, rank: int) -> NotRun | None:
    """Return why a copy may not run now, None if it takes a slot without a wait."""
    queue = agent.upstream.admission_queue
    has_room = hedging.has_room_for_copy(
        queue.running, queue.waiting, queue.usable_slots
    )
    if has_room and admission.estimate_wait_ms(queue, rank, agent.now_ms()) == 0:
        return None
    return NotRun(Reason.OVER_LIMIT, "no room for a copy")


def _check_still_admitted(
    agent: state.Agent, request: CarriedRequest, owner: str
) -> NotRun | None:
    """Check again, after a wait, a request that was admitted for an incarnation."""
    refusal = _check_admission(agent, request)
    if refusal is None and agent.upstream.owner != owner:
        return NotRun(Reason.NO_UPSTREAM, "another incarnation has started")
    return refusal


async def _acquire_slot(
    agent: state.Agent,
    request: CarriedRequest,
    ends_by_ms: int,
    in_time_by_ms: int,
) -> admission.Refused | int:
    """Take a slot, waiting if needed; return the refusal, or when it was taken."""
    upstream, queue = agent.upstream, agent.upstream.admission_queue
    now_ms = agent.now_ms()
    upstream.last_ticket += 1
    admission_request = admission.AdmissionRequest(
        upstream.last_ticket, request.route, request.rank, ends_by_ms, in_time_by_ms
    )
    match admission.admit(queue, admission_request, now_ms):
        case admission.Admitted():
            return now_ms
        case admission.Refused() as rejected:
            return rejected
    waiter = asyncio.get_running_loop().create_future()
    upstream.waiters[admission_request.ticket] = waiter
    _schedule_admission(agent, queue)
    try:
        needed_ms = admission.NEEDED_RUN_SHARE * admission.estimate_run_ms(
            queue, request.route
        )
        wait_max_ms = ends_by_ms - needed_ms - REFUSAL_MARGIN_MS - agent.now_ms()
        async with asyncio.timeout(max(wait_max_ms, 1) / 1000):
            return await waiter
    except TimeoutError:
        if waiter.done() and not waiter.cancelled():
            # Given in the same turn of the loop, before the time was over.
            return waiter.result()
        admission.remove_queued(queue, admission_request.ticket)
        return admission.Refused(NotRun(Reason.DEADLINE_PASSED, "while it waited"), 0)
    except asyncio.CancelledError:
        if not waiter.done() or waiter.cancelled():
            admission.remove_queued(queue, admission_request.ticket)
        elif not isinstance(waiter.result(), admission.Refused):
            admission.release_slot(queue)
            admit_next(agent, queue)
        raise
    finally:
        upstream.waiters.pop(admission_request.ticket, None)


def admit_next(agent: state.Agent, queue: admission.AdmissionQueue) -> None:
    """Give free slots to waiting requests and refuse those that have expired."""
    now_ms = agent.now_ms()
    admitted, expired = admission.admit_next(queue, now_ms)
    for admission_request in admitted:
        waiter = agent.upstream.waiters.get(admission_request.ticket)
        if waiter is None or waiter.done():
            admission.release_slot(queue)
        else:
            waiter.set_result(now_ms)
    for admission_request in expired:
        waiter = agent.upstream.waiters.get(admission_request.ticket)
        if waiter is not None and not waiter.done():
            verdict = NotRun(Reason.DEADLINE_PASSED, "it would end after its deadline")
            waiter.set_result(admission.Refused(verdict, 0))
    _schedule_admission(agent, queue)


def _schedule_admission(agent: state.Agent, queue: admission.AdmissionQueue) -> None:
    """Schedule the next admission for when a cold upstream may start a request."""
    upstream = agent.upstream
    if upstream.admission_timer is not None:
        upstream.admission_timer.cancel()
        upstream.admission_timer = None
    at_ms = admission.find_next_start_ms(queue, agent.now_ms())
    if at_ms is not None and queue is upstream.admission_queue:
        delay_s = max(at_ms - agent.now_ms(), 1) / 1000
        loop = asyncio.get_running_loop()
        upstream.admission_timer = loop.call_later(delay_s, admit_next, agent, queue)


async def _send(
    agent: state.Agent,
    request: CarriedRequest,
    owner: str,
    ends_by_ms: int,
    taken_ms: int,
) -> CarriedAnswer:
    """Send a request that took a slot at ``taken_ms`` to the upstream."""
    upstream = agent.upstream
    pool, queue = upstream.pool, upstream.admission_queue
    ends_by_s = asyncio.get_running_loop().time() + (ends_by_ms - agent.now_ms()) / 1000
    connection = await upstream_pool.acquire(pool, ends_by_s, request.request_id)
    if isinstance(connection, NotRun):
        return _handle_outcome(agent, queue, request, connection, 0)
    refusal = _check_still_admitted(agent, request, owner)
    if refusal is not None:
        upstream_pool.release(pool, connection)
        return refuse(agent, request, refusal)
    began_ms = agent.now_ms()
    remaining_ms = ends_by_ms - began_ms - RETURN_MARGIN_MS
    try:
        payload = agent.dialect.write_request(
            request, upstream.incarnation.upstream_id, remaining_ms
        )
    except ValueError as error:
        upstream_pool.release(pool, connection)
        return _make_refusal(agent, NotRun(Reason.BAD_REQUEST, str(error)))
    admission.record_sent(queue, taken_ms, began_ms)
    idle_ms = _compute_idle_ms(connection)
    running = queue.running
    run = nested_calls.start_run(agent.runs, request)
    try:
        received = await upstream_pool.exchange(
            pool,
            payload,
            request.method == "HEAD",
            remaining_ms,
            lambda headers: agent.dialect.match_answer(request.request_id, headers),
            connection,
            request.request_id,
        )
    finally:
        nested_calls.end_run(agent.runs, request, run)
    run_ms = agent.now_ms() - began_ms
    _record_reset(agent, queue, received, running, run_ms, idle_ms)
    outcome = _handle_outcome(agent, queue, request, received, run_ms)
    if isinstance(outcome.verdict, MayHaveRun):
        # After a corrupt answer, nothing that follows it can be trusted.
        connection.abort()
    return outcome._replace(has_failed_call=run.has_failed_call)


def _compute_idle_ms(connection: upstream_connection.UpstreamConnection) -> float:
    """Return how long a connection has been idle; 0 for a new one."""
    if not connection.idle_since_s:
        return 0.0
    return (asyncio.get_running_loop().time() - connection.idle_since_s) * 1000


def _record_reset(
    agent: state.Agent,
    queue: admission.AdmissionQueue,
    received: Received | NotRun,
    running: int,
    run_ms: float,
    idle_ms: float,
) -> None:
    """Learn from a reset, or from an answer, how much the upstream can take."""
    if not agent.settings.learns_from_resets:
        return
    match received:
        case WholeAnswer():
            reset_limits.record_answer(queue.reset_limit, queue.slots)
        case Lost(is_reset=True) | NotRun(Reason.SHED):
            if idle_ms >= reset_limits.FORGOTTEN_AFTER_MS:
                return
            running = min(running, queue.running)
            if reset_limits.record_reset(
                queue.reset_limit, running, queue.slots, run_ms, agent.now_ms()
            ):
                agent.metrics.count("upstream.full_resets")


def _handle_outcome(
    agent: state.Agent,
    queue: admission.AdmissionQueue,
    request: CarriedRequest,
    received: Received | NotRun,
    run_ms: int,
) -> CarriedAnswer:
    """Turn the result of an exchange with the upstream into a request's outcome."""
    match received:
        case NotRun(Reason.CONNECT_FAILED):
            agent.metrics.count("upstream.not_connected")
            state.spawn(agent, upstream_lifecycle.probe(agent), "probe")
            return _make_refusal(agent, received)
        case NotRun():
            return _make_refusal(agent, received)
        case Lost(reason, detail):
            agent.metrics.count(f"upstream.lost.{reason}")
            agent.events.emit(
                "answer lost",
                request=request.request_id,
                route=request.route,
                reason=str(reason),
                detail=detail,
                run_ms=run_ms,
            )
            return _make_answer(agent, MayHaveRun(reason, detail), run_ms=run_ms)
        case WholeAnswer():
            return _handle_answer(agent, queue, request, received, run_ms)


def _handle_answer(
    agent: state.Agent,
    queue: admission.AdmissionQueue,
    request: CarriedRequest,
    whole: WholeAnswer,
    run_ms: int,
) -> CarriedAnswer:
    """Turn the upstream's whole answer into the outcome of the request."""
    answer = agent.dialect.read_answer(whole)
    agent.upstream.last_seen_ms = agent.now_ms()
    if answer.load is not None:
        _record_load(agent, queue, answer.load)
    if answer.is_misdirected:
        agent.metrics.count("upstream.misdirected")
        state.spawn(agent, upstream_lifecycle.probe(agent), "probe")
        return _make_refusal(agent, NotRun(Reason.FENCED, "refused by the upstream"))
    if not answer.has_run:
        agent.metrics.count("upstream.shed")
        verdict = NotRun(Reason.SHED, "refused by the upstream")
        return _make_answer(agent, verdict, has_arrived=True, run_ms=run_ms)
    if answer.is_corrupt:
        agent.metrics.count("upstream.spoiled")
        verdict = MayHaveRun(Reason.TRUNCATED, "the answer is not the upstream's")
        return _make_answer(agent, verdict, run_ms=run_ms)
    if answer.status < 300:
        admission.record_run(queue, request.route, run_ms)
    return _make_answer(
        agent,
        Ran(),
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        run_ms=run_ms,
    )


def _record_load(
    agent: state.Agent, queue: admission.AdmissionQueue, load: upstreams.ReportedLoad
) -> None:
    queue.work_percent = max(load.work_percent, 1)
    demands.record_work_percent(agent.upstream.demand, queue.work_percent)


def _make_refusal(
    agent: state.Agent, verdict: NotRun, retry_after_ms: int = 0
) -> CarriedAnswer:
    return _make_answer(
        agent, verdict, has_arrived=False, retry_after_ms=max(0, retry_after_ms)
    )


def _make_answer(
    agent: state.Agent,
    verdict: NotRun | MayHaveRun | Ran,
    *,
    status: int = 0,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b"",
    has_arrived: bool = True,
    run_ms: int = 0,
    retry_after_ms: int = 0,
) -> CarriedAnswer:
    return CarriedAnswer(
        verdict=verdict,
        status=status,
        headers=headers,
        body=body,
        has_arrived=has_arrived,
        run_ms=run_ms,
        has_failed_call=False,
        retry_after_ms=retry_after_ms,
        load=read_load(agent),
        catalog_version=agent.cache.catalog.version,
    )
