"""Writes the next range table of a service, which assigns keys to owners.

Every daemon of a service may write; a compare-and-swap on the table's version in the
store lets one of them win. To save store transactions, they act in a fixed order: the
longer a change has been due, the more daemons try to write it.
"""

import asyncio
from dataclasses import dataclass

from loguru import logger

from fuchsiamoor.agent import (
    registrations,
    state,
    store_eras,
    store_sync,
    succession,
    upstream_lifecycle,
)
from fuchsiamoor.core import errors
from fuchsiamoor.ranges import granting, planning, recovery
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.traffic import upstreams

# Changes that arrive within this time lead to one plan.
TICK_MS = 50
# Interval of checks while this daemon may not write: it may as soon as its registration
# is renewed after an outage.
CLOSED_CHECK_MS = 200
# The first table is written once the set of owners has not changed for this time, or
# after the longest time.
SETTLE_MS = 1_000
MAX_SETTLE_MS = 5_000
# Delay of each daemon after the one before it in the order.
TURN_MS = 700
# Owners are registered again, with their claims, within two seconds of the return of
# the store. Claims are awaited for longer while grants of the earlier era last.
ADOPT_AFTER_MS = 2_000
ADOPT_AFTER_MAX_MS = 3_000
# Pause after a write: for a moment, other daemons may see other members than this one.
PAUSE_MS = 200
# Owners that one write may declare lost: each takes two of the 32 entries that a store
# transaction may have.
LOST_MAX = 12
# Interval of checks without a change, in case none was announced.
RECHECK_MS = 10_000


@dataclass(slots=True)
class _DueCheck:
    """When a table was found due, and when to look again.

    Parameters
    ----------
    revision : int
        Revision of the cache at the last look; negative before the first one.
    again_ms : int
        Time of the next look if the cache does not change.
    due_since_ms : int or None
        For the first table, the time since which the candidates have not changed; for a
        later one, the time since which a change has been due.
    settling_since_ms : int or None
        Time at which the first candidate was seen.
    candidates : frozenset of str
        Candidates for the first table at the last look.
    """

    revision: int = -1
    again_ms: int = 0
    due_since_ms: int | None = None
    settling_since_ms: int | None = None
    candidates: frozenset[str] = frozenset()


async def maintain_table(agent: state.Agent) -> None:
    """Write the table of this daemon's service whenever it is due, until the stop."""
    check = _DueCheck()
    while not agent.stopped.is_set():
        await asyncio.sleep(TICK_MS / 1000)
        if not state.is_keyed(agent, agent.settings.service):
            check = _DueCheck()
            await state.wait_for_change(agent, RECHECK_MS)
            continue
        if not may_write(agent):
            check = _DueCheck()
            await state.wait_for_change(agent, CLOSED_CHECK_MS)
            continue
        # A plan costs time in proportion to the owners, so it is made again only after
        # a change, or at a time at which the passing of time alone makes one due.
        left_ms = check.again_ms - agent.now_ms()
        if check.revision == agent.cache.revision and left_ms > 0:
            await state.wait_for_change(agent, left_ms)
            continue
        check.revision = agent.cache.revision
        await _write_if_due(agent, check)


async def _write_if_due(agent: state.Agent, check: _DueCheck) -> None:
    """Write the next table if one is due and it is this daemon's turn."""
    now_ms, service = agent.now_ms(), agent.settings.service
    table = _find_newest_table(agent, service)
    owner_states = assess_owners(agent, table, now_ms)
    is_first = tables.is_first(table)
    if is_first and not _is_settled(check, owner_states, now_ms):
        return
    if _must_wait_for_earlier_eras(agent, table):
        check.due_since_ms, check.again_ms = None, _find_next_step_ms(agent)
        return
    if tables.era_of(table.version) != agent.eras.era:
        planned = _plan_adoption(agent, table, owner_states)
    else:
        planned = planning.plan_next_table(table, owner_states)
    is_unreadable = service in agent.cache.unreadable_tables
    if planned is None and is_unreadable and not is_first:
        planned = table._replace(version=table.version + 1)
    if planned is None:
        check.due_since_ms = None
        check.again_ms = _find_next_expiry_ms(agent, table, now_ms)
        return
    if check.due_since_ms is None:
        check.due_since_ms = now_ms
    turn_ms = check.due_since_ms + _compute_turn(agent, owner_states) * TURN_MS
    if now_ms < turn_ms:
        check.again_ms = turn_ms
        return
    await _write_plan(agent, table, planned, owner_states)
    check.due_since_ms, check.again_ms = None, 0
    await asyncio.sleep(PAUSE_MS / 1000)


def _find_newest_table(agent: state.Agent, service: str) -> tables.RangeTable:
    """Return the newest known table, the empty one if there is none."""
    cache = agent.cache
    return (
        cache.tables.get(service)
        or cache.copied_tables.get(service)
        or tables.make_empty_table(service, agent.eras.era)
    )


def _must_wait_for_earlier_eras(agent: state.Agent, table: tables.RangeTable) -> bool:
    """Return whether keys that a table assigns next may still be held elsewhere."""
    if store_eras.have_earlier_grants_expired(agent):
        return False
    if not store_eras.is_listed(agent):
        return True
    if tables.is_first(table):
        return bool(store_eras.list_claims(agent))
    if tables.era_of(table.version) == agent.eras.era:
        return recovery.has_unowned_rows(table)
    # A copy that the store brought back does not show who had the keys last.
    if table.service not in agent.cache.tables:
        return True
    claims = store_eras.list_claims(agent)
    if recovery.are_all_claimed(table, claims):
        return False
    return agent.now_ms() < _find_adoption_ms(agent)


def _find_next_step_ms(agent: state.Agent) -> int:
    """Return when the store's present era next allows more without any change."""
    adopt_ms = _find_adoption_ms(agent)
    if agent.now_ms() < adopt_ms:
        return adopt_ms
    return agent.eras.since_ms + succession.LOST_AFTER_MS + 1


def _find_adoption_ms(agent: state.Agent) -> int:
    """Return when a table is adopted that not all owners have claimed."""
    since_ms, grants_until_ms = agent.eras.since_ms, agent.eras.grants_until_ms
    latest_ms = since_ms + ADOPT_AFTER_MAX_MS
    return min(latest_ms, max(since_ms + ADOPT_AFTER_MS, grants_until_ms - TURN_MS))


def _plan_adoption(
    agent: state.Agent, table: tables.RangeTable, owner_states: planning.OwnerStates
) -> tables.RangeTable:
    """Return the first table of the store's present era."""
    era, claims = agent.eras.era, store_eras.list_claims(agent)
    if not store_eras.have_earlier_grants_expired(agent):
        return recovery.plan_adoption(table, era, claims)
    # An owner without a registration may be back: it is replaced as usual.
    live_owners = tables.list_owners(table) - owner_states.ended
    adopted = recovery.plan_adoption(table, era, claims, live_owners)
    base = adopted._replace(version=tables.make_version(era, 0))
    return planning.plan_next_table(base, owner_states) or adopted


def _is_settled(
    check: _DueCheck, owner_states: planning.OwnerStates, now_ms: int
) -> bool:
    """Return whether the first table may be written."""
    found = frozenset(candidate.owner for candidate in owner_states.candidates)
    if found != check.candidates or not found or check.due_since_ms is None:
        check.candidates, check.due_since_ms = found, now_ms
        check.settling_since_ms = check.settling_since_ms or now_ms
    settled_ms = min(
        check.due_since_ms + SETTLE_MS, (check.settling_since_ms or 0) + MAX_SETTLE_MS
    )
    check.again_ms = settled_ms
    return now_ms >= settled_ms


def _find_next_expiry_ms(
    agent: state.Agent, table: tables.RangeTable, now_ms: int
) -> int:
    """Return when an owner next counts as lost or warm without any change."""
    cache = agent.cache
    cold_start_ms = _find_cold_start_ms(agent)
    expiries_ms = [
        lost_ms + 1
        for owner in tables.list_owners(table)
        if (lost_ms := succession.find_lost_ms(cache, owner)) is not None
    ]
    expiries_ms += [
        seen_ms + cold_start_ms
        for owner, seen_ms in cache.first_seen_ms.items()
        if seen_ms + cold_start_ms > now_ms
    ]
    return min(expiries_ms, default=now_ms + RECHECK_MS)


def may_write(agent: state.Agent) -> bool:
    """Return whether this daemon is registered and not already writing a table."""
    return (
        agent.registration.confirmed is not None
        and agent.now_ms() < agent.registration.valid_until_ms
        and not agent.table_lock.locked()
    )


def _compute_turn(agent: state.Agent, owner_states: planning.OwnerStates) -> int:
    """Return how many daemons of the service write before this one."""
    directory = agent.cache.directory
    instances = {tables.instance_of(owner) for owner in owner_states.registered}
    order = sorted(
        instances, key=lambda name: (directory.run_versions.get(name, 0), name)
    )
    own = agent.settings.instance
    return order.index(own) if own in order else len(order)


def assess_owners(
    agent: state.Agent, table: tables.RangeTable, now_ms: int
) -> planning.OwnerStates:
    """Return which owners may get keys, may release keys, and have ended."""
    cache = agent.cache
    directory = cache.directory
    registered = [
        found
        for found in directory.registered.values()
        if found.service == table.service and found.owner
    ]
    cold_start_ms = _find_cold_start_ms(agent)
    candidates = tuple(
        planning.Candidate(
            found.owner,
            float(max(found.slots, 1)),
            now_ms - cache.first_seen_ms.setdefault(found.owner, now_ms)
            < cold_start_ms,
        )
        for found in sorted(registered)
        if found.is_open and found.data_centre not in cache.evacuated
    )
    ended = {
        owner
        for owner in tables.list_owners(table)
        if succession.has_ended(cache, owner, now_ms)
    }
    return planning.OwnerStates(
        candidates,
        frozenset(found.owner for found in registered),
        frozenset(sorted(ended)[:LOST_MAX]),
    )


def _find_cold_start_ms(agent: state.Agent) -> int:
    """Return for how long an owner counts as cold after it was first seen."""
    service_settings = state.find_service_settings(agent, agent.settings.service)
    return service_settings.cold_start_ms if service_settings else 0


async def _write_plan(
    agent: state.Agent,
    table: tables.RangeTable,
    planned: tables.RangeTable,
    owner_states: planning.OwnerStates,
) -> None:
    removed = tables.list_owners(table) - tables.list_owners(planned)
    expected = [
        expectation
        for owner in sorted(removed & owner_states.ended)
        for expectation in succession.list_preconditions(agent.cache, owner)
    ]
    async with agent.table_lock:
        is_written = await write_table(agent, table, planned, expected)
    logger.bind(
        service=planned.service,
        version=planned.version,
        lost=sorted(removed),
        written=is_written,
    ).info("range table planned")


async def write_table(
    agent: state.Agent,
    table: tables.RangeTable,
    planned: tables.RangeTable,
    expected: list[port.Precondition],
) -> bool:
    """Replace a table by the one planned on it; the caller holds the lock.

    Returns
    -------
    bool
        Whether the store holds the planned table. If not, the newest one is read, where
        the store could be reached.
    """
    cached = agent.cache.tables.get(planned.service)
    if cached is not None and cached.version != table.version:
        agent.metrics.count("ranges.write_conflict")
        return False
    if tables.era_of(planned.version) != agent.eras.era:
        agent.metrics.count("ranges.write_refused")
        return False
    key = registrations.table_key(planned.service)
    expected_version = agent.cache.table_versions.get(planned.service, port.ABSENT)
    value = tables.encode_table(planned)
    if tables.is_first(table):
        expected_version = port.ABSENT
    # A write whose answer is lost may have taken effect.
    tried = agent.eras.tried_versions
    tried_before = tried.get(planned.service, 0)
    tried[planned.service] = max(tried_before, planned.version)
    try:
        result = await agent.store.transact(
            (port.Precondition(key, expected_version), *expected),
            (port.Put(key, value),),
        )
    except errors.StoreUnavailableError:
        tried[planned.service] = tried_before
        agent.metrics.count("ranges.write_refused")
        return False
    except errors.StoreOutcomeUnknownError:
        result, is_unknown = port.PreconditionFailed(), True
    else:
        is_unknown = False
    match result:
        case port.Committed(version):
            agent.metrics.count("ranges.written")
            if tables.era_of(table.version) != tables.era_of(planned.version):
                agent.metrics.count("ranges.adopted")
            store_sync.apply_entry(agent, port.Entry(key, value, version))
            succession.note_absences(agent.cache, agent.now_ms())
            state.notify_change(agent)
            return True
        case port.PreconditionFailed():
            agent.metrics.count("ranges.write_conflict")
            if not is_unknown:
                tried[planned.service] = tried_before
    try:
        await store_sync.refresh_table(agent, planned.service)
    except errors.StoreError as error:
        logger.bind(error=str(error)).warning("range table could not be read back")
    return agent.cache.tables.get(planned.service) == planned


def handle_heartbeat_and_releases(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Handle a heartbeat, and hand over released keys in the background."""
    grants = upstream_lifecycle.handle_heartbeat(agent, heartbeat)
    if upstream_lifecycle.has_moving_rows(agent):
        state.spawn(agent, write_releases(agent, heartbeat), "releases")
    return grants


async def write_releases(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> None:
    """Assign rows that a heartbeat reports as released to their next owners."""
    service = agent.settings.service
    async with agent.table_lock:
        for _ in range(3):
            table = agent.cache.tables.get(service)
            upstream_grants = agent.upstream.granting
            if (
                table is None
                or upstream_grants is None
                or agent.registration.confirmed is None
            ):
                return
            planned = granting.plan_releases(upstream_grants, table, heartbeat)
            if planned is None:
                return
            instance = agent.settings.instance
            runs = port.Precondition(
                registrations.runs_key(instance),
                agent.cache.directory.run_versions.get(instance, port.ABSENT),
            )
            if await write_table(agent, table, planned, [runs]):
                granting.drop_tokens(upstream_grants, planned)
                logger.bind(version=planned.version).info("ranges released")
                return
