"""The upstream beside this daemon: its reports, its coldness and its end."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import state
from fuchsiamoor.core import addresses
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.daemon.upstream_connection import Received, WholeAnswer
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import gate as gates
from fuchsiamoor.traffic import upstreams

MAX_ANSWER_BYTES = 16 * 1024 * 1024
CONNECTIONS_DEFAULT = 64
# Connections left to the upstream's own needs.
CONNECTIONS_SPARE = 4
PROBE_TIMEOUT_MS = 400
# A heartbeat this many intervals late has the upstream looked at.
OVERDUE_HEARTBEATS = 2.5
LOOK_EVERY_MS = 200
# Pause between two looks at an upstream that is about to exit.
EXIT_LOOK_EVERY_MS = 40
# A leaving upstream is looked at once its heartbeat is this many intervals late.
OVERDUE_WHEN_LEAVING = 1.2
# Requests are no longer sent this long before the end of the drain.
DRAIN_MARGIN_MS = 250


def handle_heartbeat(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Take a report in and return what the upstream may hold.

    A report of an earlier life, or one that was overtaken, renews nothing.
    """
    upstream = agent.upstream
    if upstreams.is_stale(heartbeat, upstream.incarnation, upstream.sequence):
        agent.metrics.count("heartbeat.stale")
        return None
    now_ms = agent.now_ms()
    if heartbeat.incarnation != upstream.incarnation:
        _start_incarnation(agent, heartbeat)
    upstream.sequence = heartbeat.sequence
    upstream.last_seen_ms = upstream.last_heartbeat_ms = now_ms
    if upstream.is_down:
        # It was taken for dead: it registers again before it is granted anything.
        upstream.is_down = False
        upstream.ended_owner = ""
        agent.registration.update_due.set()
    gates.note_cold(upstream.admission_queue, now_ms + heartbeat.cold_for_ms)
    if heartbeat.is_draining:
        start_drain(agent)
    elif upstream.slots != heartbeat.slots:
        upstream.slots = upstream.admission_queue.slots = max(heartbeat.slots, 1)
        agent.registration.update_due.set()
    table = agent.cache.tables.get(heartbeat.service)
    if not state.is_keyed(agent, heartbeat.service) or not _is_registered(agent):
        return None
    return granting.answer_heartbeat(
        upstream.granting,
        table,
        heartbeat,
        agent.registration.valid_until_ms,
        agent.settings.bounds.hold_max_ms,
        now_ms,
    )


def has_moving_rows(agent: state.Agent) -> bool:
    """Return whether the upstream beside is to let go of keys."""
    return any(row.moving_to for row in list_own_rows(agent))


def list_own_rows(agent: state.Agent) -> list[tables.Row]:
    """Return the rows that the table gives to the upstream beside this daemon."""
    table = agent.cache.tables.get(agent.upstream.service)
    return [] if table is None else tables.list_rows(table, agent.upstream.owner)


def _is_registered(agent: state.Agent) -> bool:
    """Return whether the store knows this incarnation as an owner that lives."""
    written, owner = agent.registration.confirmed, agent.upstream.owner
    return written is not None and written.owner == owner and written.ended != owner


def _start_incarnation(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> None:
    """Start anew with another life of the upstream."""
    upstream, settings = agent.upstream, agent.settings
    end_incarnation(agent, "another incarnation reports")
    upstream.incarnation = heartbeat.incarnation
    upstream.sequence = 0
    upstream.owner = tables.make_owner(settings.instance, heartbeat.incarnation)
    upstream.service = heartbeat.service
    upstream.slots = max(heartbeat.slots, 1)
    upstream.draining_since_ms = None
    upstream.is_down = False
    upstream.granting = granting.make_granting(upstream.owner)
    upstream.demand = demands.Demand()
    terms = state.find_service_settings(agent, heartbeat.service)
    connections = terms.connections_max if terms else CONNECTIONS_DEFAULT
    upstream.pool = upstream_pool.Pool(
        settings.upstream_address,
        max(1, connections - CONNECTIONS_SPARE),
        MAX_ANSWER_BYTES,
        takes_unframed=True,
    )
    upstream.admission_queue = gates.make_gate(
        upstream.slots, compute_cold_rate(agent), 0
    )
    agent.registration.update_due.set()
    logger.bind(
        owner=upstream.owner,
        slots=upstream.slots,
        cold_for_ms=heartbeat.cold_for_ms,
    ).info("upstream started")


def compute_cold_rate(agent: state.Agent) -> float:
    """Return the requests a second that a cold upstream here is given."""
    service = agent.upstream.service or agent.settings.service
    terms = state.find_service_settings(agent, service)
    if terms is None or terms.cold_per_s <= 0:
        return 0.0
    return terms.cold_per_s * agent.settings.bounds.cold_ratio


def update_cold_rate(agent: state.Agent) -> None:
    """Take in what operators say now of the service beside."""
    if agent.upstream.admission_queue is not None:
        agent.upstream.admission_queue.cold_per_s = compute_cold_rate(agent)


def end_incarnation(agent: state.Agent, cause: str) -> None:
    """Refuse all that waits for an upstream that is no more, and say so to others."""
    upstream = agent.upstream
    if upstream.incarnation is None or upstream.ended_owner == upstream.owner:
        return
    upstream.ended_owner = upstream.owner
    if upstream.admission_queue is not None:
        refuse_waiting(agent, NotRun(Reason.NO_UPSTREAM, cause))
    if upstream.granting is not None:
        upstream.granting.served = ()
        upstream.granting.served_until_ms = 0
    if upstream.pool is not None:
        upstream_pool.close(upstream.pool)
    logger.bind(owner=upstream.owner, cause=cause).warning("upstream ended")
    agent.metrics.count("upstream.ended")


def refuse_waiting(agent: state.Agent, verdict: NotRun) -> None:
    """Refuse every request that waits at the gate."""
    for entrant in gates.clear(agent.upstream.admission_queue):
        waiter = agent.upstream.waiters.pop(entrant.ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(gates.Refuse(verdict, 0))


def start_drain(agent: state.Agent) -> None:
    """Take in that the upstream leaves; from now on the drain counts."""
    upstream = agent.upstream
    if upstream.draining_since_ms is not None:
        return
    upstream.draining_since_ms = agent.now_ms()
    agent.registration.update_due.set()
    logger.bind(owner=upstream.owner).info("upstream leaves")


def handle_deregistration(agent: state.Agent, upstream_id: str) -> None:
    """Take in that an upstream leaves.

    One that has announced its leaving before exits now; its keys are free as soon as
    nobody listens at its address.
    """
    upstream = agent.upstream
    incarnation = upstream.incarnation
    if incarnation is None or incarnation.upstream_id != upstream_id:
        return
    if upstream.draining_since_ms is None:
        start_drain(agent)
        return
    if not upstream.is_down:
        logger.bind(owner=upstream.owner).info("upstream is about to exit")
        state.spawn(agent, wait_for_exit(agent), "exit")


async def wait_for_exit(agent: state.Agent) -> None:
    """Look at an upstream that is about to exit until it has."""
    owner, began_ms = agent.upstream.owner, agent.now_ms()
    while agent.upstream.owner == owner and not agent.upstream.is_down:
        if agent.now_ms() - began_ms > granting.HOLD_MS:
            return
        await probe(agent)
        await asyncio.sleep(EXIT_LOOK_EVERY_MS / 1000)


def may_send(agent: state.Agent) -> bool:
    """Return whether the upstream may still be sent requests."""
    upstream = agent.upstream
    if (
        upstream.incarnation is None
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
    """Ask an upstream for its health that has been silent for long, or was refused."""
    upstream = agent.upstream
    interval_ms = agent.settings.heartbeat_ms
    while not agent.stopped.is_set():
        await asyncio.sleep(LOOK_EVERY_MS / 1000)
        if upstream.incarnation is None or upstream.is_down:
            continue
        is_leaving = upstream.draining_since_ms is not None
        intervals = OVERDUE_WHEN_LEAVING if is_leaving else OVERDUE_HEARTBEATS
        if agent.now_ms() - upstream.last_seen_ms > intervals * interval_ms:
            await probe(agent)


async def probe(agent: state.Agent) -> None:
    """Find out whether the upstream's process is there, and how cold it is."""
    owner = agent.upstream.owner
    agent.metrics.count("upstream.probed")
    received = await agent.ask_health(agent)
    if agent.upstream.owner != owner:
        return
    match received:
        case NotRun(Reason.CONNECT_FAILED, detail) if "refused" in detail.lower():
            mark_down(agent)
        case WholeAnswer():
            _take_health(agent, received)
        case _:
            _note_silence(agent)


async def ask_health(agent: state.Agent) -> Received | NotRun:
    """Ask the upstream for its health, over a connection of its own.

    A new connection tells whether anybody listens; one that was kept may be answered
    by nobody without a sign.
    """
    upstream = agent.upstream
    terms = state.find_service_settings(agent, upstream.service)
    host = addresses.format_address(upstream.pool.address)
    path = terms.health_path if terms else "/"
    payload = agent.dialect.write_health_check(path, host)
    return await upstream_pool.exchange_anew(upstream.pool, payload, PROBE_TIMEOUT_MS)


def mark_down(agent: state.Agent) -> None:
    """Take in that nobody listens at the upstream's address."""
    upstream = agent.upstream
    if upstream.is_down:
        return
    upstream.is_down = True
    end_incarnation(agent, "nobody listens at its address")
    agent.registration.update_due.set()


def _take_health(agent: state.Agent, whole: WholeAnswer) -> None:
    upstream, now_ms = agent.upstream, agent.now_ms()
    health = agent.dialect.read_health(whole)
    known_id = upstream.incarnation.upstream_id
    if health.upstream_id and health.upstream_id != known_id:
        mark_down(agent)
        return
    upstream.last_seen_ms = now_ms
    gates.note_cold(upstream.admission_queue, now_ms + health.cold_for_ms)
    if health.load is not None:
        upstream.admission_queue.work_percent = health.load.work_percent


def _note_silence(agent: state.Agent) -> None:
    """Once every hold granted here has run out, a silent upstream holds nothing."""
    upstream = agent.upstream
    until_ms = upstream.granting.granted_until_ms
    slack_ms = granting.HOLD_MS * granting.CLOCK_SLOWNESS + granting.MARGIN_MS
    silent_ms = agent.now_ms() - upstream.last_seen_ms
    if agent.now_ms() > until_ms + slack_ms and silent_ms > 2_000:
        upstream.is_down = True
        end_incarnation(agent, "silent for longer than its hold")
        agent.registration.update_due.set()
