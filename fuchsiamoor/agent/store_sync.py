"""Keeping in step with the store: this run's registration, and what others wrote."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import registrations, state, upstream_lifecycle, watch_relay
from fuchsiamoor.core import errors
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port

# Lease of a registration: the time after which a lost daemon is noticed.
LEASE_MS = 2_000
RENEW_EVERY_MS = 800
FIRST_BACK_OFF_MS = 100
LARGEST_BACK_OFF_MS = 800
# A registration that lapsed may be an outage of the store: the daemon is still called.
KEEP_DEPARTED_MS = 8_000


def make_registration(agent: state.Agent) -> registrations.Registration:
    """Return what this run tells of itself now."""
    settings, upstream = agent.settings, agent.upstream
    return registrations.Registration(
        instance=settings.instance,
        run=agent.run,
        peer_host=settings.peer_address.host,
        peer_port=settings.peer_address.port,
        region=settings.region,
        data_centre=settings.data_centre,
        service=upstream.service or settings.service,
        owner="" if upstream.is_down else upstream.owner,
        ended=upstream.ended_owner,
        slots=upstream.slots,
        is_open=state.is_open(agent),
        lease_id=agent.registration.lease_id,
    )


async def maintain_registration(agent: state.Agent) -> None:
    """Register, renew, and register again when something changed, until the stop."""
    standing, failures = agent.registration, 0
    while not agent.stopped.is_set():
        standing.update_due.clear()
        wait_ms = RENEW_EVERY_MS
        try:
            await _register_or_renew(agent)
            if failures:
                logger.bind(failures=failures).info("store regained")
            failures = 0
        except errors.StoreError as error:
            if not failures:
                logger.bind(error=str(error)).warning("store lost")
            agent.metrics.count("store.failed")
            wait_ms = _back_off_ms(agent, failures)
            failures += 1
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await standing.update_due.wait()
        except TimeoutError:
            continue


async def _register_or_renew(agent: state.Agent) -> None:
    standing = agent.registration
    if standing.lease_id:
        written = standing.confirmed
        if written is not None and written != make_registration(agent):
            await _register(agent)
            return
        sent_ms = agent.now_ms()
        if await agent.store.renew_lease(standing.lease_id):
            if written is not None:
                standing.valid_until_ms = sent_ms + granting.EVIDENCE_MS
                return
        else:
            logger.bind(lease=standing.lease_id).warning("registration lapsed")
            standing.lease_id = ""
            standing.confirmed = None
    await _register(agent)


async def _register(agent: state.Agent) -> None:
    """Write the registration and count the run, then read what it depends on."""
    standing, settings = agent.registration, agent.settings
    if not agent.cache.is_loaded:
        await _wait_for_listing(agent)
    if not standing.lease_id:
        ttl_ms = max(LEASE_MS, settings.lease_min_ms)
        standing.lease_id = await agent.store.grant_lease(ttl_ms)
    made = make_registration(agent)
    is_new = standing.confirmed is None
    runs_key = registrations.runs_key(settings.instance)
    counted = agent.cache.directory.run_versions.get(settings.instance, port.ABSENT)
    sent_ms = agent.now_ms()
    key = registrations.registration_key(settings.instance)
    value = registrations.encode_registration(made)
    try:
        result = await agent.store.transact(
            (port.Expectation(runs_key, counted),),
            (
                port.Put(key, value, standing.lease_id),
                port.Put(runs_key, agent.run.encode()),
            ),
        )
    except errors.StoreOutcomeUnknownError:
        result = await _find_outcome(agent, key, value, runs_key)
    match result:
        case port.NotExpected():
            await _reread(agent, runs_key)
            standing.lease_id, standing.confirmed = "", None
            standing.update_due.set()
            return
        case port.Committed(version):
            directory = agent.cache.directory
            directory.run_versions[settings.instance] = version
            registrations.apply_entry(directory, port.Entry(key, value, version))
    standing.confirmed = made
    if is_new:
        # What was granted by an earlier registration counts no more: read anew.
        if agent.cache.catalog.version == 0 or state.is_keyed(agent, made.service):
            await refresh_table(agent, made.service)
        standing.valid_until_ms = sent_ms + granting.EVIDENCE_MS
    logger.bind(owner=made.owner, is_open=made.is_open, version=version).info(
        "registered"
    )
    state.notify_change(agent)


async def _find_outcome(
    agent: state.Agent, key: str, value: bytes, runs_key: str
) -> port.TransactResult:
    """Read back whether a registration whose answer was lost took effect."""
    found = await agent.store.get(key)
    counted = await agent.store.get(runs_key)
    if found is None or counted is None or found.value != value:
        return port.NotExpected()
    return port.Committed(counted.version)


async def _reread(agent: state.Agent, runs_key: str) -> None:
    found = await agent.store.get(runs_key)
    versions = agent.cache.directory.run_versions
    if found is None:
        versions.pop(agent.settings.instance, None)
    else:
        versions[agent.settings.instance] = found.version


async def _wait_for_listing(agent: state.Agent) -> None:
    """Wait until the store was listed once.

    Raises
    ------
    StoreUnavailableError
        If that takes too long; the caller tries again.
    """
    for _ in range(10):
        if agent.cache.is_loaded:
            return
        await state.wait_for_change(agent, 200)
    raise errors.StoreUnavailableError("the store was not listed yet")


async def refresh_table(agent: state.Agent, service: str) -> None:
    """Read a service's range table, if its upstreams hold ranges."""
    found = await agent.store.get(registrations.table_key(service))
    if found is not None:
        apply_entry(agent, found)


def _back_off_ms(agent: state.Agent, failures: int) -> int:
    largest_ms = min(LARGEST_BACK_OFF_MS, FIRST_BACK_OFF_MS << min(failures, 5))
    return int(largest_ms * (0.5 + agent.rng.random() / 2))


async def follow_store(agent: state.Agent) -> None:
    """List the store, then watch it, until the stop."""
    version, failures = None, 0
    while not agent.stopped.is_set():
        try:
            if version is None:
                version = await _list(agent)
            else:
                version = await _watch(agent, version)
            failures = 0
        except errors.StoreHistoryLostError:
            logger.bind(version=version).warning("store history lost, listing again")
            version = None
        except errors.StoreError as error:
            agent.metrics.count("store.watch_failed")
            logger.bind(error=str(error)).debug("watch failed")
            await asyncio.sleep(_back_off_ms(agent, failures) / 1000)
            failures += 1


async def _list(agent: state.Agent) -> int:
    listing = await agent.store.list_prefix(watch_relay.ALL_PREFIX)
    now_ms = agent.now_ms()
    for entry in listing.entries:
        apply_entry(agent, entry)
    known = agent.cache
    registrations.apply_listing(known.directory, listing.entries, now_ms)
    keys = {entry.key for entry in listing.entries}
    known.evacuated = {
        centre
        for centre in map(agent.dialect.read_evacuated, keys)
        if centre is not None
    }
    # Something may have come and gone unseen: who is absent is counted anew.
    known.absent_since_ms.clear()
    known.is_loaded = True
    _settle(agent)
    return listing.version


async def _watch(agent: state.Agent, version: int) -> int:
    watching = asyncio.ensure_future(watch_relay.watch(agent, version))
    asked = asyncio.ensure_future(agent.catalog_refresh_due.wait())
    try:
        await asyncio.wait((watching, asked), return_when=asyncio.FIRST_COMPLETED)
        if asked.done():
            agent.catalog_refresh_due.clear()
            await _refresh_catalog(agent)
        changes = await watching
    finally:
        watching.cancel()
        asked.cancel()
    for change in changes.changes:
        if change.entry is None:
            _adopt_deletion(agent, change.key)
        else:
            apply_entry(agent, change.entry)
    if changes.changes:
        _settle(agent)
        await asyncio.sleep(watch_relay.compute_pause_ms(agent) / 1000)
    return changes.version


async def _refresh_catalog(agent: state.Agent) -> None:
    """Read the catalog at once: another daemon knows a newer version."""
    found = await agent.store.get(agent.dialect.catalog_key)
    if found is not None:
        apply_entry(agent, found)
        _settle(agent)


def apply_entry(agent: state.Agent, entry: port.Entry) -> None:
    """Take in one key of the store; what cannot be read is logged and left out."""
    known, dialect = agent.cache, agent.dialect
    try:
        if entry.key == dialect.catalog_key:
            _adopt_catalog(agent, entry)
        elif entry.key.startswith(registrations.TABLE_PREFIX):
            _adopt_table(agent, entry)
        elif not registrations.apply_entry(known.directory, entry):
            centre = dialect.read_evacuated(entry.key)
            if centre is not None and centre not in known.evacuated:
                known.evacuated.add(centre)
                logger.bind(data_centre=centre).info("data centre out of service")
    except (ValueError, errors.FrameError) as error:
        agent.metrics.count("store.unreadable")
        logger.bind(key=entry.key, error=str(error)).error("entry cannot be read")


def _adopt_catalog(agent: state.Agent, entry: port.Entry) -> None:
    found = agent.dialect.read_catalog(entry.value)
    if found.version > agent.cache.catalog.version:
        agent.cache.catalog = found
        logger.bind(version=found.version).info("catalog in force")


def _adopt_table(agent: state.Agent, entry: port.Entry) -> None:
    found = tables.decode_table(entry.value)
    known = agent.cache.tables.get(found.service)
    if known is None or found.version > known.version:
        agent.cache.tables[found.service] = found
        agent.cache.table_versions[found.service] = entry.version
        logger.bind(service=found.service, version=found.version).info(
            "range table in force"
        )


def _adopt_deletion(agent: state.Agent, key: str) -> None:
    registrations.apply_deletion(agent.cache.directory, key, agent.now_ms())
    centre = agent.dialect.read_evacuated(key)
    if centre is not None and centre in agent.cache.evacuated:
        agent.cache.evacuated.discard(centre)
        logger.bind(data_centre=centre).info("data centre back in service")


def _settle(agent: state.Agent) -> None:
    """Draw the conclusions of what has been taken in."""
    now_ms = agent.now_ms()
    upstream_lifecycle.update_cold_rate(agent)
    known = agent.cache
    registrations.drop_lapsed(known.directory, KEEP_DEPARTED_MS, now_ms)
    registered = {found.owner for found in known.directory.registered.values()}
    for table in known.tables.values():
        for owner in tables.list_owners(table):
            if owner in registered:
                known.absent_since_ms.pop(owner, None)
            else:
                known.absent_since_ms.setdefault(owner, now_ms)
    written = agent.registration.confirmed
    if written is not None and written != make_registration(agent):
        agent.registration.update_due.set()
    state.notify_change(agent)
