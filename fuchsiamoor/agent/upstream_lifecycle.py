"""Lifecycle of the local upstream: heartbeats, cold start, health checks and exit."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import leaves, state, store_eras, succession
from fuchsiamoor.core import addresses
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.daemon.upstream_connection import Received, WholeAnswer
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import admission, upstreams

MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_CONNECTIONS = 64
# Connections that the pool leaves free for the upstream's own needs.
RESERVED_CONNECTIONS = 4
PROBE_TIMEOUT_MS = 400
# A health check is due after this many heartbeat intervals without a sign of life.
OVERDUE_INTERVALS = 2.5
HEALTH_CHECK_EVERY_MS = 200
# Longest time until a drain that has begun is noticed.
HEALTH_WAIT_MAX_MS = 600
# Pause between health checks of an upstream that is about to exit.
EXIT_CHECK_EVERY_MS = 40
# As `OVERDUE_INTERVALS`, for a draining upstream.
DRAINING_OVERDUE_INTERVALS = 1.2
# Requests stop this long before the end of the drain.
DRAIN_MARGIN_MS = 250


def handle_heartbeat(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Handle a heartbeat and return the key ranges that the upstream may hold.

    A heartbeat of an earlier incarnation, or one that arrives out of order, renews no
    grant.
    """
    upstream = agent.upstream
    if succession.is_outdated(agent, heartbeat):
        agent.metrics.count("heartbeat.stale")
        return None
    now_ms = agent.now_ms()
    is_new = heartbeat.incarnation != upstream.incarnation
    if is_new:
        _start_incarnation(agent, heartbeat)
        resume_drain(agent)
    upstream.sequence = heartbeat.sequence
    upstream.last_seen_ms = upstream.last_heartbeat_ms = now_ms
    if upstream.is_down:
        # It must be registered again before it is granted any keys.
        upstream.is_down = False
        upstream.ended_owner = ""
        agent.registration.update_due.set()
    admission.update_cold_until(
        upstream.admission_queue, now_ms + heartbeat.cold_for_ms
    )
    if heartbeat.is_draining:
        leaves.announce(agent, upstream.owner)
        start_drain(agent, is_over=is_new)
    elif upstream.slots != heartbeat.slots:
        upstream.slots = upstream.admission_queue.slots = max(heartbeat.slots, 1)
        agent.registration.update_due.set()
    return grant_keys(agent, heartbeat, now_ms)


def grant_keys(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat, received_ms: int
) -> granting.Grants | None:
    """Return what an upstream may hold, None to renew nothing.

    The hold is counted from the sending of the heartbeat, so from no later than its
    arrival at ``received_ms``, even if it is answered later.
    """
    if not state.is_keyed(agent, heartbeat.service) or not _is_registered(agent):
        return None
    table = agent.cache.tables.get(heartbeat.service)
    return granting.answer_heartbeat(
        agent.upstream.granting,
        table,
        heartbeat,
        store_eras.find_grants_until_ms(agent, table),
        agent.settings.bounds.hold_max_ms,
        received_ms,
    )


def is_from_local_upstream(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> bool:
    """Return whether a heartbeat names the upstream that this daemon runs beside."""
    settings = agent.settings
    return (
        heartbeat.service == settings.service
        and heartbeat.address == settings.upstream_address
        and heartbeat.data_centre == settings.data_centre
    )


def lacks_ranges(agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat) -> bool:
    """Return whether a heartbeat certainly lacks ranges that its sender would name."""
    is_keyed = state.is_keyed(agent, heartbeat.service)
    return is_keyed and not heartbeat.reports_ranges


def forget_without_ranges(agent: state.Agent) -> None:
    """Forget the local upstream if the catalog shows that it should name its ranges.

    Its first heartbeat may have come before this daemon knew any catalog.
    """
    upstream = agent.upstream
    if upstream.incarnation is None or upstream.reports_ranges:
        return
    if not state.is_keyed(agent, upstream.service):
        return
    end_incarnation(agent, "its heartbeat names no ranges")
    agent.upstream = state.UpstreamState()


def has_moving_rows(agent: state.Agent) -> bool:
    """Return whether any keys of the local upstream are to move to another owner."""
    return any(row.moving_to for row in list_own_rows(agent))


def list_own_rows(agent: state.Agent) -> list[tables.Row]:
    """Return the rows of the range table that the local upstream owns."""
    table = agent.cache.tables.get(agent.upstream.service)
    return [] if table is None else tables.list_rows(table, agent.upstream.owner)


def is_validly_registered(agent: state.Agent) -> bool:
    """Return whether the present incarnation may be granted keys now."""
    return _is_registered(agent) and agent.now_ms() < agent.registration.valid_until_ms


def _is_registered(agent: state.Agent) -> bool:
    """Return whether this incarnation is registered as a live owner."""
    confirmed, owner = agent.registration.confirmed, agent.upstream.owner
    return (
        confirmed is not None and confirmed.owner == owner and confirmed.ended != owner
    )


def _start_incarnation(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> None:
    """Reset the upstream's state for a new incarnation."""
    upstream, settings = agent.upstream, agent.settings
    end_incarnation(agent, "another incarnation reports")
    upstream.incarnation = heartbeat.incarnation
    upstream.sequence = 0
    upstream.owner = tables.make_owner(settings.instance, heartbeat.incarnation)
    upstream.service = heartbeat.service
    upstream.reports_ranges = heartbeat.reports_ranges
    upstream.slots = max(heartbeat.slots, 1)
    upstream.draining_since_ms = None
    upstream.is_down = False
    upstream.granting = granting.make_grant_state(upstream.owner)
    upstream.demand = demands.Demand()
    service_settings = state.find_service_settings(agent, heartbeat.service)
    connections = (
        service_settings.connections_max if service_settings else DEFAULT_CONNECTIONS
    )
    upstream.pool = upstream_pool.Pool(
        settings.upstream_address,
        max(1, connections - RESERVED_CONNECTIONS),
        min(MAX_ANSWER_BYTES, agent.accounts.answers.limit_bytes),
        accepts_close_delimited=True,
        account=agent.accounts.answers,
    )
    upstream.admission_queue = admission.make_admission_queue(
        upstream.slots, compute_cold_rate(agent), 0
    )
    agent.registration.update_due.set()
    logger.bind(
        owner=upstream.owner,
        slots=upstream.slots,
        cold_for_ms=heartbeat.cold_for_ms,
    ).info("upstream started")


def compute_cold_rate(agent: state.Agent) -> float:
    """Return the request rate allowed to a cold upstream here, in requests a second."""
    service = agent.upstream.service or agent.settings.service
    service_settings = state.find_service_settings(agent, service)
    if service_settings is None or service_settings.cold_per_s <= 0:
        return 0.0
    return service_settings.cold_per_s * agent.settings.bounds.cold_ratio


def update_cold_rate(agent: state.Agent) -> None:
    """Apply the catalog's cold rate to the admission queue."""
    if agent.upstream.admission_queue is not None:
        agent.upstream.admission_queue.cold_per_s = compute_cold_rate(agent)


def end_incarnation(agent: state.Agent, cause: str) -> None:
    """Mark an incarnation as ended: refuse its queued requests and drop its grants.

    Requests that it runs keep their connections until they have ended.
    """
    upstream = agent.upstream
    if upstream.incarnation is None or upstream.ended_owner == upstream.owner:
        return
    upstream.ended_owner = upstream.owner
    if upstream.admission_queue is not None:
        refuse_waiting(agent, NotRun(Reason.NO_UPSTREAM, cause))
    if upstream.granting is not None:
        upstream.granting.current_grants = ()
        upstream.granting.current_until_ms = 0
        upstream.granting.was_ended = True
    if upstream.pool is not None:
        # What has been sent may still be answered; a process that ends resets it.
        upstream_pool.close_after_answers(upstream.pool)
    logger.bind(owner=upstream.owner, cause=cause).warning("upstream ended")
    agent.metrics.count("upstream.ended")


def refuse_waiting(agent: state.Agent, verdict: NotRun) -> None:
    """Refuse every queued request."""
    for queued in admission.clear_queue(agent.upstream.admission_queue):
        waiter = agent.upstream.waiters.pop(queued.ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(admission.Refused(verdict, 0))


def start_drain(agent: state.Agent, is_over: bool = False) -> None:
    """Start the upstream's drain, unless it has started.

    Parameters
    ----------
    agent : Agent
    is_over : bool, optional
        Whether its time has passed already: an upstream that was leaving when this
        daemon started may have announced that to an earlier run, long ago.
    """
    upstream = agent.upstream
    if upstream.draining_since_ms is not None:
        return
    upstream.draining_since_ms = agent.now_ms()
    if is_over:
        upstream.draining_since_ms -= agent.settings.bounds.drain_ms
    agent.registration.update_due.set()
    logger.bind(owner=upstream.owner).info("upstream leaves")


def resume_drain(agent: state.Agent) -> None:
    """End the drain of an upstream whose leave an earlier run has recorded."""
    owner = agent.upstream.owner
    if owner and leaves.has_left(agent, owner):
        start_drain(agent, is_over=True)


def find_leaving(
    agent: state.Agent, upstream_id: str, started_unix_ms: int | None
) -> upstreams.Incarnation | None:
    """Return the incarnation that deregisters, None if it cannot be told.

    Before its first heartbeat to this process, it is known from the store only.

    Parameters
    ----------
    agent : Agent
    upstream_id : str
    started_unix_ms : int or None
        Its start, None if the call does not name it.
    """
    known = agent.upstream.incarnation
    if started_unix_ms is not None:
        found = upstreams.Incarnation(upstream_id, started_unix_ms)
        is_running = known is not None and not agent.upstream.is_down
        if is_running and started_unix_ms > known.started_unix_ms:
            return None
        return found
    known = known or succession.find_last_known(agent.cache, agent.settings.instance)
    if known is None or known.upstream_id != upstream_id:
        return None
    return known


def handle_deregistration(
    agent: state.Agent, incarnation: upstreams.Incarnation
) -> None:
    """Handle an upstream's deregistration.

    The first one starts the drain. An upstream that is draining already is about to
    exit: its keys are free as soon as its address refuses connections.
    """
    upstream = agent.upstream
    if upstream.incarnation != incarnation:
        return
    if upstream.draining_since_ms is None:
        start_drain(agent)
        return
    if not upstream.is_down:
        logger.bind(owner=upstream.owner).info("upstream is about to exit")
        state.spawn(agent, wait_for_exit(agent), "exit")


async def wait_for_exit(agent: state.Agent) -> None:
    """Probe an upstream that is about to exit until it has."""
    owner, began_ms = agent.upstream.owner, agent.now_ms()
    while agent.upstream.owner == owner and not agent.upstream.is_down:
        if agent.now_ms() - began_ms > granting.HOLD_MS:
            return
        await probe(agent)
        await asyncio.sleep(EXIT_CHECK_EVERY_MS / 1000)


def may_send(agent: state.Agent) -> bool:
    """Return whether requests may still be sent to the upstream."""
    upstream = agent.upstream
    if (
        not agent.cache.is_loaded
        or upstream.incarnation is None
        or upstream.is_down
        or upstream.admission_queue is None
    ):
        return False
    if agent.settings.data_centre in agent.cache.evacuated:
        return False
    if upstream.draining_since_ms is None:
        return True
    drained_ms = agent.settings.bounds.drain_ms - DRAIN_MARGIN_MS
    return agent.now_ms() < upstream.draining_since_ms + drained_ms


async def monitor_health(agent: state.Agent) -> None:
    """Probe the upstream whenever its heartbeats are overdue, until the stop."""
    wait_ms = HEALTH_WAIT_MAX_MS
    while not agent.stopped.is_set():
        await asyncio.sleep(wait_ms / 1000)
        wait_ms = HEALTH_WAIT_MAX_MS
        if agent.upstream.incarnation is None or agent.upstream.is_down:
            continue
        left_ms = _find_overdue_ms(agent) - agent.now_ms()
        if left_ms < 0:
            await probe(agent)
        wait_ms = min(max(left_ms, HEALTH_CHECK_EVERY_MS), HEALTH_WAIT_MAX_MS)


def _find_overdue_ms(agent: state.Agent) -> int:
    """Return when the next sign of life of the upstream is overdue."""
    upstream = agent.upstream
    is_draining = upstream.draining_since_ms is not None
    intervals = DRAINING_OVERDUE_INTERVALS if is_draining else OVERDUE_INTERVALS
    return upstream.last_seen_ms + int(intervals * agent.settings.heartbeat_ms)


async def probe(agent: state.Agent) -> None:
    """Check whether the upstream's process is running, and how cold it is."""
    owner = agent.upstream.owner
    agent.metrics.count("upstream.probed")
    result = await agent.ask_health(agent)
    if agent.upstream.owner != owner:
        return
    match result:
        case NotRun(Reason.CONNECT_FAILED, detail) if "refused" in detail.lower():
            mark_down(agent)
        case WholeAnswer():
            _handle_health(agent, result)
        case _:
            _check_silence(agent)


async def ask_health(agent: state.Agent) -> Received | NotRun:
    """Send a health check to the upstream over a new connection.

    A new connection is refused if no process listens. On an idle one, the loss of the
    process can go unnoticed.
    """
    upstream = agent.upstream
    service_settings = state.find_service_settings(agent, upstream.service)
    host = addresses.format_address(upstream.pool.address)
    path = service_settings.health_path if service_settings else "/"
    payload = agent.dialect.write_health_check(path, host)
    return await upstream_pool.exchange_on_new_connection(
        upstream.pool, payload, PROBE_TIMEOUT_MS
    )


def mark_down(agent: state.Agent) -> None:
    """Mark the upstream as down: no process listens at its address."""
    upstream = agent.upstream
    if upstream.is_down:
        return
    upstream.is_down = True
    end_incarnation(agent, "nobody listens at its address")
    agent.registration.update_due.set()


def _handle_health(agent: state.Agent, answer: WholeAnswer) -> None:
    upstream, now_ms = agent.upstream, agent.now_ms()
    health = agent.dialect.read_health(answer)
    expected_id = upstream.incarnation.upstream_id
    if health.upstream_id and health.upstream_id != expected_id:
        mark_down(agent)
        return
    upstream.last_seen_ms = now_ms
    admission.update_cold_until(upstream.admission_queue, now_ms + health.cold_for_ms)
    if health.load is not None:
        upstream.admission_queue.work_percent = health.load.work_percent


def _check_silence(agent: state.Agent) -> None:
    """Mark a silent upstream as down once every hold granted to it has expired."""
    upstream = agent.upstream
    until_ms = upstream.granting.last_hold_until_ms
    slack_ms = granting.HOLD_MS * granting.CLOCK_DRIFT_RATIO + granting.MARGIN_MS
    silent_ms = agent.now_ms() - upstream.last_seen_ms
    if agent.now_ms() > until_ms + slack_ms and silent_ms > 2_000:
        upstream.is_down = True
        end_incarnation(agent, "silent for longer than its hold")
        agent.registration.update_due.set()
