"""Who owns which keys: writing the next range table when one is due.

Every daemon of a service may write; the table's version in the store lets one win. To
save calls they take turns: the longer a need has stood, the more of them act on it.
"""

import asyncio

from loguru import logger

from fuchsiamoor.agent import registrations, state, store_sync, upstream_lifecycle
from fuchsiamoor.core import errors
from fuchsiamoor.ranges import granting, planning
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.traffic import upstreams

TICK_MS = 50
# The first table waits until nobody new has come for this time, or for the longest.
QUIET_MS = 1_000
LONGEST_QUIET_MS = 5_000
# Each daemon in turn gives the one before it this time to act.
TURN_MS = 700
# Pause after a write: others may see the same members otherwise for a moment.
PAUSE_MS = 200
# Time without evidence after which an absent owner certainly holds nothing: clocks may
# differ by a few percent.
LOST_AFTER_MS = int(granting.EVIDENCE_MS * 1.03) + 60
# Owners that one write may declare lost; each takes two of the 32 entries of a call.
LOST_MAX = 12


async def maintain_table(agent: state.Agent) -> None:
    """Look for a need to write the table of this daemon's service, until the stop."""
    since_ms: int | None = None
    first_seen_ms: int | None = None
    holders: frozenset[str] = frozenset()
    while not agent.stopped.is_set():
        await asyncio.sleep(TICK_MS / 1000)
        service = agent.settings.service
        if not state.is_keyed(agent, service) or not may_write(agent):
            since_ms = None
            continue
        now_ms = agent.now_ms()
        table = agent.cache.tables.get(service) or tables.make_empty_table(service)
        standing = assess_owners(agent, table, now_ms)
        if table.version == 0:
            found = frozenset(holder.owner for holder in standing.holders)
            if found != holders or not found:
                holders, since_ms = found, now_ms
                first_seen_ms = first_seen_ms or now_ms
            is_quiet = now_ms - since_ms >= QUIET_MS
            if not is_quiet and now_ms - (first_seen_ms or 0) < LONGEST_QUIET_MS:
                continue
        planned = planning.plan_next(table, standing)
        if planned is None:
            since_ms = None
            continue
        since_ms = since_ms if since_ms is not None else now_ms
        if now_ms - since_ms < _turn_of(agent, standing) * TURN_MS:
            continue
        await _write_plan(agent, table, planned, standing)
        since_ms = None
        await asyncio.sleep(PAUSE_MS / 1000)


def may_write(agent: state.Agent) -> bool:
    """Return whether this daemon has evidence to write a table now."""
    return (
        agent.registration.confirmed is not None
        and agent.now_ms() < agent.registration.valid_until_ms
        and not agent.table_lock.locked()
    )


def _turn_of(agent: state.Agent, standing: planning.Standing) -> int:
    """Return how many daemons of the service act before this one."""
    directory = agent.cache.directory
    instances = {tables.instance_of(owner) for owner in standing.present}
    order = sorted(
        instances, key=lambda name: (directory.run_versions.get(name, 0), name)
    )
    own = agent.settings.instance
    return order.index(own) if own in order else len(order)


def assess_owners(
    agent: state.Agent, table: tables.RangeTable, now_ms: int
) -> planning.Standing:
    """Return who may hold keys of a table, who can let go, and who holds none."""
    known = agent.cache
    directory = known.directory
    listed = [
        found
        for found in directory.registered.values()
        if found.service == table.service and found.owner
    ]
    holders = tuple(
        planning.Holder(
            found.owner,
            float(max(found.slots, 1)),
            _is_cold(agent, found.owner, now_ms),
        )
        for found in sorted(listed)
        if found.is_open and found.data_centre not in known.evacuated
    )
    ended = set()
    for owner in tables.list_owners(table):
        absent_since_ms = known.absent_since_ms.get(owner)
        is_lost = (
            absent_since_ms is not None and now_ms - absent_since_ms > LOST_AFTER_MS
        )
        if is_lost or registrations.has_ended(directory, owner):
            ended.add(owner)
    return planning.Standing(
        holders,
        frozenset(found.owner for found in listed),
        frozenset(sorted(ended)[:LOST_MAX]),
    )


def _is_cold(agent: state.Agent, owner: str, now_ms: int) -> bool:
    """Return whether an owner was seen for the first time a cold start ago or less."""
    seen_ms = agent.cache.seen_since_ms.setdefault(owner, now_ms)
    terms = state.find_service_settings(agent, agent.settings.service)
    return now_ms - seen_ms < (terms.cold_start_ms if terms else 0)


async def _write_plan(
    agent: state.Agent,
    table: tables.RangeTable,
    planned: tables.RangeTable,
    standing: planning.Standing,
) -> None:
    taken = tables.list_owners(table) - tables.list_owners(planned)
    expected = [
        expectation
        for owner in sorted(taken & standing.ended)
        for expectation in _expect_ended(agent, owner)
    ]
    async with agent.table_lock:
        is_written = await write_table(agent, table, planned, expected)
    logger.bind(
        service=planned.service,
        version=planned.version,
        lost=sorted(taken),
        written=is_written,
    ).info("range table planned")


def _expect_ended(agent: state.Agent, owner: str) -> list[port.Expectation]:
    """Return what has to be unchanged in the store for an owner to have ended."""
    directory = agent.cache.directory
    instance = tables.instance_of(owner)
    return [
        port.Expectation(
            registrations.registration_key(instance),
            directory.versions.get(instance, port.ABSENT),
        ),
        port.Expectation(
            registrations.runs_key(instance),
            directory.run_versions.get(instance, port.ABSENT),
        ),
    ]


async def write_table(
    agent: state.Agent,
    table: tables.RangeTable,
    planned: tables.RangeTable,
    expected: list[port.Expectation],
) -> bool:
    """Swap a table in for the one that it was planned on; the lock is held.

    Returns
    -------
    bool
        Whether the store holds the planned table; otherwise the newest was read.
    """
    known = agent.cache.tables.get(planned.service)
    if known is not None and known.version != table.version:
        agent.metrics.count("ranges.write_conflict")
        return False
    key = registrations.table_key(planned.service)
    at = agent.cache.table_versions.get(planned.service, port.ABSENT)
    value = tables.encode_table(planned)
    if table.version == 0:
        at = port.ABSENT
    try:
        result = await agent.store.transact(
            (port.Expectation(key, at), *expected), (port.Put(key, value),)
        )
    except errors.StoreUnavailableError:
        agent.metrics.count("ranges.write_refused")
        return False
    except errors.StoreOutcomeUnknownError:
        result = port.NotExpected()
    match result:
        case port.Committed(version):
            agent.metrics.count("ranges.written")
            store_sync.apply_entry(agent, port.Entry(key, value, version))
            state.notify_change(agent)
            return True
        case port.NotExpected():
            agent.metrics.count("ranges.write_conflict")
    try:
        await store_sync.refresh_table(agent, planned.service)
    except errors.StoreError as error:
        logger.bind(error=str(error)).warning("range table not read back")
    return agent.cache.tables.get(planned.service) == planned


def answer_heartbeat(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Take a report in, and hand over in the background what was let go of."""
    grants = upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    if upstream_lifecycle.has_moving_rows(agent):
        state.spawn(agent, write_releases(agent, heartbeat), "releases")
    return grants


async def write_releases(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> None:
    """Hand over the rows that the upstream let go of, as this heartbeat shows."""
    service = agent.settings.service
    async with agent.table_lock:
        for _ in range(3):
            table = agent.cache.tables.get(service)
            made = agent.upstream.granting
            if table is None or made is None or agent.registration.confirmed is None:
                return
            planned = granting.plan_releases(made, table, heartbeat)
            if planned is None:
                return
            instance = agent.settings.instance
            runs = port.Expectation(
                registrations.runs_key(instance),
                agent.cache.directory.run_versions.get(instance, port.ABSENT),
            )
            if await write_table(agent, table, planned, [runs]):
                granting.forget_tokens(made, planned)
                logger.bind(version=planned.version).info("ranges released")
                return
