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
from fuchsiamoor.traffic import admission, upstreams

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


def take_heartbeat(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Take a report in and return what the upstream may hold.

    A report of an earlier life, or one that was overtaken, renews nothing.
    """
    beside = agent.beside
    if upstreams.is_stale(heartbeat, beside.incarnation, beside.sequence):
        agent.metrics.count("heartbeat.stale")
        return None
    now_ms = agent.now_ms()
    if heartbeat.incarnation != beside.incarnation:
        _start_incarnation(agent, heartbeat)
    beside.sequence = heartbeat.sequence
    beside.heard_ms = beside.reported_ms = now_ms
    if beside.is_gone:
        # It was taken for dead: it registers again before it is granted anything.
        beside.is_gone = False
        beside.ended = ""
        agent.standing.due.set()
    admission.update_cold_until(beside.gate, now_ms + heartbeat.cold_for_ms)
    if heartbeat.is_draining:
        start_leaving(agent)
    elif beside.slots != heartbeat.slots:
        beside.slots = beside.gate.slots = max(heartbeat.slots, 1)
        agent.standing.due.set()
    table = agent.known.tables.get(heartbeat.service)
    if not state.is_keyed(agent, heartbeat.service) or not _is_registered(agent):
        return None
    return granting.answer_heartbeat(
        beside.granting,
        table,
        heartbeat,
        agent.standing.evidence_until_ms,
        agent.settings.bounds.hold_max_ms,
        now_ms,
    )


def has_moving_rows(agent: state.Agent) -> bool:
    """Return whether the upstream beside is to let go of keys."""
    return any(row.moving_to for row in list_own_rows(agent))


def list_own_rows(agent: state.Agent) -> list[tables.Row]:
    """Return the rows that the table gives to the upstream beside this daemon."""
    table = agent.known.tables.get(agent.beside.service)
    return [] if table is None else tables.list_rows(table, agent.beside.owner)


def _is_registered(agent: state.Agent) -> bool:
    """Return whether the store knows this incarnation as an owner that lives."""
    written, owner = agent.standing.written, agent.beside.owner
    return written is not None and written.owner == owner and written.ended != owner


def _start_incarnation(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> None:
    """Start anew with another life of the upstream."""
    beside, settings = agent.beside, agent.settings
    end_incarnation(agent, "another incarnation reports")
    beside.incarnation = heartbeat.incarnation
    beside.sequence = 0
    beside.owner = tables.make_owner(settings.instance, heartbeat.incarnation)
    beside.service = heartbeat.service
    beside.slots = max(heartbeat.slots, 1)
    beside.leaving_ms = None
    beside.is_gone = False
    beside.granting = granting.make_grant_state(beside.owner)
    beside.demand = demands.Demand()
    terms = state.find_terms(agent, heartbeat.service)
    connections = terms.connections_max if terms else CONNECTIONS_DEFAULT
    beside.pool = upstream_pool.Pool(
        settings.upstream_address,
        max(1, connections - CONNECTIONS_SPARE),
        MAX_ANSWER_BYTES,
        takes_unframed=True,
    )
    beside.gate = admission.make_admission_queue(
        beside.slots, compute_cold_rate(agent), 0
    )
    agent.standing.due.set()
    logger.bind(
        owner=beside.owner,
        slots=beside.slots,
        cold_for_ms=heartbeat.cold_for_ms,
    ).info("upstream started")


def compute_cold_rate(agent: state.Agent) -> float:
    """Return the requests a second that a cold upstream here is given."""
    service = agent.beside.service or agent.settings.service
    terms = state.find_terms(agent, service)
    if terms is None or terms.cold_per_s <= 0:
        return 0.0
    return terms.cold_per_s * agent.settings.bounds.cold_ratio


def refresh_terms(agent: state.Agent) -> None:
    """Take in what operators say now of the service beside."""
    if agent.beside.gate is not None:
        agent.beside.gate.cold_per_s = compute_cold_rate(agent)


def end_incarnation(agent: state.Agent, cause: str) -> None:
    """Refuse all that waits for an upstream that is no more, and say so to others."""
    beside = agent.beside
    if beside.incarnation is None or beside.ended == beside.owner:
        return
    beside.ended = beside.owner
    if beside.gate is not None:
        refuse_waiting(agent, NotRun(Reason.NO_UPSTREAM, cause))
    if beside.granting is not None:
        beside.granting.current_grants = ()
        beside.granting.current_until_ms = 0
    if beside.pool is not None:
        upstream_pool.close(beside.pool)
    logger.bind(owner=beside.owner, cause=cause).warning("upstream ended")
    agent.metrics.count("upstream.ended")


def refuse_waiting(agent: state.Agent, verdict: NotRun) -> None:
    """Refuse every request that waits at the gate."""
    for entrant in admission.clear_queue(agent.beside.gate):
        waiter = agent.beside.waiters.pop(entrant.ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(admission.Refused(verdict, 0))


def start_leaving(agent: state.Agent) -> None:
    """Take in that the upstream leaves; from now on the drain counts."""
    beside = agent.beside
    if beside.leaving_ms is not None:
        return
    beside.leaving_ms = agent.now_ms()
    agent.standing.due.set()
    logger.bind(owner=beside.owner).info("upstream leaves")


def take_farewell(agent: state.Agent, upstream_id: str) -> None:
    """Take in that an upstream leaves.

    One that has announced its leaving before exits now; its keys are free as soon as
    nobody listens at its address.
    """
    beside = agent.beside
    incarnation = beside.incarnation
    if incarnation is None or incarnation.upstream_id != upstream_id:
        return
    if beside.leaving_ms is None:
        start_leaving(agent)
        return
    if not beside.is_gone:
        logger.bind(owner=beside.owner).info("upstream is about to exit")
        state.spawn(agent, watch_exit(agent), "exit")


async def watch_exit(agent: state.Agent) -> None:
    """Look at an upstream that is about to exit until it has."""
    owner, began_ms = agent.beside.owner, agent.now_ms()
    while agent.beside.owner == owner and not agent.beside.is_gone:
        if agent.now_ms() - began_ms > granting.HOLD_MS:
            return
        await probe(agent)
        await asyncio.sleep(EXIT_LOOK_EVERY_MS / 1000)


def may_send(agent: state.Agent) -> bool:
    """Return whether the upstream may still be sent requests."""
    beside = agent.beside
    if beside.incarnation is None or beside.is_gone or beside.gate is None:
        return False
    if agent.settings.data_centre in agent.known.evacuated:
        return False
    if beside.leaving_ms is None:
        return True
    drained_ms = agent.settings.bounds.drain_ms - DRAIN_MARGIN_MS
    return agent.now_ms() < beside.leaving_ms + drained_ms


async def look(agent: state.Agent) -> None:
    """Ask an upstream for its health that has been silent for long, or was refused."""
    beside = agent.beside
    interval_ms = agent.settings.heartbeat_ms
    while not agent.stopped.is_set():
        await asyncio.sleep(LOOK_EVERY_MS / 1000)
        if beside.incarnation is None or beside.is_gone:
            continue
        is_leaving = beside.leaving_ms is not None
        intervals = OVERDUE_WHEN_LEAVING if is_leaving else OVERDUE_HEARTBEATS
        if agent.now_ms() - beside.heard_ms > intervals * interval_ms:
            await probe(agent)


async def probe(agent: state.Agent) -> None:
    """Find out whether the upstream's process is there, and how cold it is."""
    owner = agent.beside.owner
    agent.metrics.count("upstream.probed")
    received = await agent.ask_health(agent)
    if agent.beside.owner != owner:
        return
    match received:
        case NotRun(Reason.CONNECT_FAILED, detail) if "refused" in detail.lower():
            note_gone(agent)
        case WholeAnswer():
            _take_health(agent, received)
        case _:
            _note_silence(agent)


async def ask_health(agent: state.Agent) -> Received | NotRun:
    """Ask the upstream for its health, over a connection of its own.

    A new connection tells whether anybody listens; one that was kept may be answered
    by nobody without a sign.
    """
    beside = agent.beside
    terms = state.find_terms(agent, beside.service)
    host = addresses.format_address(beside.pool.address)
    path = terms.health_path if terms else "/"
    payload = agent.dialect.write_health_check(path, host)
    return await upstream_pool.exchange_anew(beside.pool, payload, PROBE_TIMEOUT_MS)


def note_gone(agent: state.Agent) -> None:
    """Take in that nobody listens at the upstream's address."""
    beside = agent.beside
    if beside.is_gone:
        return
    beside.is_gone = True
    end_incarnation(agent, "nobody listens at its address")
    agent.standing.due.set()


def _take_health(agent: state.Agent, whole: WholeAnswer) -> None:
    beside, now_ms = agent.beside, agent.now_ms()
    health = agent.dialect.read_health(whole)
    known_id = beside.incarnation.upstream_id
    if health.upstream_id and health.upstream_id != known_id:
        note_gone(agent)
        return
    beside.heard_ms = now_ms
    admission.update_cold_until(beside.gate, now_ms + health.cold_for_ms)
    if health.load is not None:
        beside.gate.work_percent = health.load.work_percent


def _note_silence(agent: state.Agent) -> None:
    """Once every hold granted here has run out, a silent upstream holds nothing."""
    beside = agent.beside
    until_ms = beside.granting.last_hold_until_ms
    slack_ms = granting.HOLD_MS * granting.CLOCK_DRIFT_RATIO + granting.MARGIN_MS
    silent_ms = agent.now_ms() - beside.heard_ms
    if agent.now_ms() > until_ms + slack_ms and silent_ms > 2_000:
        beside.is_gone = True
        end_incarnation(agent, "silent for longer than its hold")
        agent.standing.due.set()
