"""Executing: runs a request at the upstream beside this daemon, or says why not.

Nothing but this module sends requests to the upstream, so that draining, evacuation,
home regions, coldness and ownership are decided here, in the same step of the loop in
which the request is handed over.
"""

import asyncio

from fuchsiamoor.agent import state, upstream_lifecycle
from fuchsiamoor.core.carried import NO_KEY, CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.daemon.upstream_connection import Lost, WholeAnswer
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting
from fuchsiamoor.traffic import catalog, upstreams
from fuchsiamoor.traffic import gate as gates

# Time kept for the way back to the entry daemon.
RETURN_MARGIN_MS = 5


def read_load(agent: state.Agent) -> Load:
    """Return the load of the upstream beside this daemon."""
    gate = agent.upstream.admission_queue
    if gate is None:
        return Load(0, 0, 1, 100, 0, False)
    wait_ms = int(gates.estimate_wait_ms(gate, 1, agent.now_ms()))
    return Load(
        gate.running,
        gate.waiting,
        gate.slots,
        gate.work_percent,
        wait_ms,
        state.is_open(agent),
    )


async def execute(agent: state.Agent, request: CarriedRequest) -> CarriedAnswer:
    """Run a request here.

    Returns
    -------
    CarriedAnswer
        With `NotRun` only if the upstream has certainly not run it.

    Raises
    ------
    asyncio.CancelledError
        When nobody waits for the answer any more; the run is broken off.
    """
    now_ms = agent.now_ms()
    ends_by_ms = now_ms + request.remaining_ms
    if request.remaining_ms <= RETURN_MARGIN_MS:
        refused = NotRun(Reason.DEADLINE_PASSED, "on its way here")
        return _refuse_request(agent, request, refused)
    refused = _check(agent, request)
    if refused is not None:
        return _refuse_request(agent, request, refused)
    upstream = agent.upstream
    owner, gate = upstream.owner, upstream.admission_queue
    if state.is_keyed(agent, request.service):
        # Until it has run here, its runs elsewhere tell how long it takes.
        elsewhere_ms = agent.selection_stats.run_ms.get(
            request.route, gates.FIRST_RUN_MS
        )
        work_ms = gate.run_ms.get(request.route, elsewhere_ms)
        demands.note_request(upstream.demand, request.key, work_ms, now_ms)
    in_time_by_ms = now_ms + request.in_time_ms
    waited = await _pass_gate(agent, request, ends_by_ms, in_time_by_ms)
    if waited is not None:
        return _refuse_request(agent, request, waited.verdict, waited.retry_after_ms)
    waited_ms = agent.now_ms() - now_ms
    try:
        refused = _check(agent, request)
        if refused is None and upstream.owner != owner:
            refused = NotRun(Reason.NO_UPSTREAM, "another incarnation has started")
        if refused is not None:
            return _refuse_request(agent, request, refused)
        ended = await _send(agent, request, ends_by_ms)
        if isinstance(ended.verdict, Ran):
            _tell_run(agent, request, ended, waited_ms)
        return ended
    finally:
        gates.release(gate)
        admit_next(agent, gate)


def _refuse_request(
    agent: state.Agent,
    request: CarriedRequest,
    verdict: NotRun,
    retry_after_ms: int = 0,
) -> CarriedAnswer:
    """Refuse a request that the upstream was not sent, and tell why."""
    gate, now_ms = agent.upstream.admission_queue, agent.now_ms()
    table = agent.cache.tables.get(request.service)
    agent.events.tell(
        "run refused",
        request=request.request_id,
        route=request.route,
        reason=str(verdict.reason),
        detail=verdict.detail,
        running=gate.running if gate else 0,
        waiting=gate.waiting if gate else 0,
        work_percent=gate.work_percent if gate else 0,
        cold_for_ms=max(0, gate.cold_until_ms - now_ms) if gate else 0,
        retry_after_ms=retry_after_ms,
        evidence_ms=agent.registration.valid_until_ms - now_ms,
        table_version=table.version if table else 0,
    )
    return _refuse(agent, verdict, retry_after_ms)


def _tell_run(
    agent: state.Agent, request: CarriedRequest, ended: CarriedAnswer, waited_ms: int
) -> None:
    gate, now_ms = agent.upstream.admission_queue, agent.now_ms()
    grant = None
    if agent.upstream.granting is not None and request.key != NO_KEY:
        grant = granting.find_grant(agent.upstream.granting, request.key, now_ms)
    agent.events.tell(
        "run ended",
        request=request.request_id,
        route=request.route,
        waited_ms=waited_ms,
        run_ms=ended.run_ms,
        status=ended.status,
        running=gate.running,
        waiting=gate.waiting,
        work_percent=gate.work_percent,
        cold_for_ms=max(0, gate.cold_until_ms - now_ms),
        fence=grant.fence if grant else 0,
    )


def _check(agent: state.Agent, request: CarriedRequest) -> NotRun | None:
    """Return why the upstream may not be sent a request now, None if it may."""
    upstream, settings = agent.upstream, agent.settings
    if not upstream_lifecycle.may_send(agent) or state.has_been_stopping_for(
        agent, state.STOP_SENDING_MS
    ):
        return NotRun(Reason.SHUTTING_DOWN, "the upstream takes nothing more")
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


async def _pass_gate(
    agent: state.Agent,
    request: CarriedRequest,
    ends_by_ms: int,
    in_time_by_ms: int,
) -> gates.Refuse | None:
    """Wait for a slot; None once it is taken."""
    upstream, gate = agent.upstream, agent.upstream.admission_queue
    upstream.last_ticket += 1
    entrant = gates.Entrant(
        upstream.last_ticket, request.route, request.rank, ends_by_ms, in_time_by_ms
    )
    match gates.ask(gate, entrant, agent.now_ms()):
        case gates.Enter():
            return None
        case gates.Refuse() as refused:
            return refused
    waiter = asyncio.get_running_loop().create_future()
    upstream.waiters[entrant.ticket] = waiter
    _plan_room(agent, gate)
    try:
        needed_ms = gates.RUN_SHARE * gates.estimate_run_ms(gate, request.route)
        patience_ms = ends_by_ms - needed_ms - agent.now_ms()
        async with asyncio.timeout(max(patience_ms, 1) / 1000):
            return await waiter
    except TimeoutError:
        gates.leave_queue(gate, entrant.ticket)
        return gates.Refuse(NotRun(Reason.DEADLINE_PASSED, "while it waited"), 0)
    except asyncio.CancelledError:
        if not waiter.done() or waiter.cancelled():
            gates.leave_queue(gate, entrant.ticket)
        elif waiter.result() is None:
            gates.release(gate)
            admit_next(agent, gate)
        raise
    finally:
        upstream.waiters.pop(entrant.ticket, None)


def admit_next(agent: state.Agent, gate: gates.Gate) -> None:
    """Let those in that wait, as far as there is room."""
    admitted, expired = gates.admit_next(gate, agent.now_ms())
    for entrant in admitted:
        waiter = agent.upstream.waiters.get(entrant.ticket)
        if waiter is None or waiter.done():
            gates.release(gate)
        else:
            waiter.set_result(None)
    for entrant in expired:
        waiter = agent.upstream.waiters.get(entrant.ticket)
        if waiter is not None and not waiter.done():
            verdict = NotRun(Reason.OVER_LIMIT, "it would end after its deadline")
            waiter.set_result(gates.Refuse(verdict, 0))
    _plan_room(agent, gate)


def _plan_room(agent: state.Agent, gate: gates.Gate) -> None:
    """Look again once a cold upstream bears the next request."""
    upstream = agent.upstream
    if upstream.admission_timer is not None:
        upstream.admission_timer.cancel()
        upstream.admission_timer = None
    at_ms = gates.next_room_ms(gate, agent.now_ms())
    if at_ms is not None and gate is upstream.admission_queue:
        delay_s = max(at_ms - agent.now_ms(), 1) / 1000
        loop = asyncio.get_running_loop()
        upstream.admission_timer = loop.call_later(delay_s, admit_next, agent, gate)


async def _send(
    agent: state.Agent, request: CarriedRequest, ends_by_ms: int
) -> CarriedAnswer:
    """Hand the request over; it has a slot."""
    upstream = agent.upstream
    pool, gate = upstream.pool, upstream.admission_queue
    began_ms = agent.now_ms()
    remaining_ms = ends_by_ms - began_ms - RETURN_MARGIN_MS
    try:
        payload = agent.dialect.write_request(
            request, upstream.incarnation.upstream_id, remaining_ms
        )
    except ValueError as error:
        return _refuse(agent, NotRun(Reason.BAD_REQUEST, str(error)))
    received = await upstream_pool.exchange(
        pool,
        payload,
        request.method == "HEAD",
        remaining_ms,
        lambda headers: agent.dialect.is_answer_to(request.request_id, headers),
    )
    run_ms = agent.now_ms() - began_ms
    match received:
        case NotRun(Reason.CONNECT_FAILED):
            agent.metrics.count("upstream.not_connected")
            state.spawn(agent, upstream_lifecycle.probe(agent), "probe")
            return _refuse(agent, received)
        case NotRun():
            return _refuse(agent, received)
        case Lost(reason, detail):
            agent.metrics.count(f"upstream.lost.{reason}")
            agent.events.tell(
                "answer lost",
                request=request.request_id,
                route=request.route,
                reason=str(reason),
                detail=detail,
                run_ms=run_ms,
            )
            return _answer(agent, MayHaveRun(reason, detail), run_ms=run_ms)
        case WholeAnswer():
            return _take_answer(agent, gate, request, received, run_ms)


def _take_answer(
    agent: state.Agent,
    gate: gates.Gate,
    request: CarriedRequest,
    whole: WholeAnswer,
    run_ms: int,
) -> CarriedAnswer:
    answer = agent.dialect.read_answer(whole)
    agent.upstream.last_seen_ms = agent.now_ms()
    if answer.load is not None:
        _note_load(agent, gate, answer.load)
    if answer.is_other_upstream:
        agent.metrics.count("upstream.misdirected")
        state.spawn(agent, upstream_lifecycle.probe(agent), "probe")
        return _refuse(agent, NotRun(Reason.FENCED, "refused by the upstream"))
    if not answer.has_run:
        agent.metrics.count("upstream.shed")
        verdict = NotRun(Reason.SHED, "refused by the upstream")
        return _answer(agent, verdict, has_arrived=True, run_ms=run_ms)
    if answer.is_spoiled:
        agent.metrics.count("upstream.spoiled")
        verdict = MayHaveRun(Reason.TRUNCATED, "the answer is not the upstream's")
        return _answer(agent, verdict, run_ms=run_ms)
    if answer.status < 300:
        gates.note_run(gate, request.route, run_ms)
    return _answer(
        agent,
        Ran(),
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        run_ms=run_ms,
    )


def _note_load(
    agent: state.Agent, gate: gates.Gate, load: upstreams.ReportedLoad
) -> None:
    gate.work_percent = max(load.work_percent, 1)
    demands.note_speed(agent.upstream.demand, gate.work_percent)


def _refuse(
    agent: state.Agent, verdict: NotRun, retry_after_ms: int = 0
) -> CarriedAnswer:
    return _answer(
        agent, verdict, has_arrived=False, retry_after_ms=max(0, retry_after_ms)
    )


def _answer(
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
        retry_after_ms=retry_after_ms,
        load=read_load(agent),
        catalog_version=agent.cache.catalog.version,
    )
