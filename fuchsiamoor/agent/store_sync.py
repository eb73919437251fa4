"""Synchronisation with the store: the daemon's registration and a local cache."""

import asyncio

from loguru import logger

from fuchsiamoor.agent import (
    leaves,
    quota_credits,
    registrations,
    state,
    store_eras,
    succession,
    upstream_lifecycle,
    watch_relay,
)
from fuchsiamoor.core import errors, messages
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import eras as store_era
from fuchsiamoor.store import port, relayed

# Lease of a registration: a lost daemon is noticed after this time.
LEASE_MS = 2_000
RENEW_EVERY_MS = 800
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 800
# The first heartbeat is awaited for one interval and this time.
HEARTBEAT_MARGIN_MS = 60
HEARTBEAT_POLL_MS = 20
CATALOG = "catalog"
# A few round trips between regions; a daemon that starts waits for it.
CATALOG_TIMEOUT_MS = 300


def make_registration(agent: state.Agent) -> registrations.Registration:
    """Return this daemon's registration as it should be in the store now."""
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
    """Keep this daemon registered until the stop: renew its lease and write changes."""
    registration, failures = agent.registration, 0
    while not agent.stopped.is_set():
        registration.update_due.clear()
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
            wait_ms = _compute_backoff_ms(agent, failures)
            failures += 1
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await registration.update_due.wait()
        except TimeoutError:
            continue


async def _register_or_renew(agent: state.Agent) -> None:
    registration = agent.registration
    await _wait_for_listing(agent)
    if registration.lease_id:
        confirmed = registration.confirmed
        if confirmed is not None and confirmed != make_registration(agent):
            await _register(agent)
            return
        sent_ms, era = agent.now_ms(), agent.eras.era
        is_renewed = await agent.store.renew_lease(registration.lease_id)
        if agent.eras.era != era:
            registration.update_due.set()
            return
        if is_renewed:
            if confirmed is not None:
                registration.valid_until_ms = sent_ms + granting.REGISTRATION_VALID_MS
                return
        else:
            logger.bind(lease=registration.lease_id).warning("registration lapsed")
            registration.lease_id = ""
            registration.confirmed = None
    await _register(agent)


async def _register(agent: state.Agent) -> None:
    """Write the registration and the run's record.

    An owner is confirmed, and may be granted keys, once the range table has been read
    after a write that names it, unless the registration has named it all along. Others
    may have taken its keys before that write, and none can after it.
    """
    registration, settings = agent.registration, agent.settings
    era, before = agent.eras.era, registration.confirmed
    if before is None:
        await _wait_for_heartbeat(agent)
    if not registration.lease_id:
        ttl_ms = max(LEASE_MS, settings.lease_min_ms)
        registration.lease_id = await agent.store.grant_lease(ttl_ms)
    desired = make_registration(agent)
    owner, owner_before = _find_live_owner(desired), _find_live_owner(before)
    if owner_before not in ("", owner):
        # Others may take its keys from now on, whatever the answer.
        registration.confirmed = None
    runs_key = registrations.runs_key(settings.instance)
    run_version = agent.cache.directory.run_versions.get(settings.instance, port.ABSENT)
    sent_ms = agent.now_ms()
    key = registrations.registration_key(settings.instance)
    value = registrations.encode_registration(desired)
    run_value = registrations.encode_run_record(
        _make_run_record(agent, desired, run_version)
    )
    claim = store_eras.make_claim(agent)
    claim_key = registrations.claim_key(settings.instance)
    claims = () if claim is None else (registrations.encode_claim(claim),)
    try:
        result = await agent.store.transact(
            (port.Precondition(runs_key, run_version),),
            (
                port.Put(key, value, registration.lease_id),
                *(port.Put(claim_key, claim_value) for claim_value in claims),
                # Last, as its version is taken from the answer.
                port.Put(runs_key, run_value),
            ),
        )
    except errors.StoreOutcomeUnknownError:
        result = await _resolve_outcome(agent, key, value, runs_key)
    if agent.eras.era != era:
        registration.update_due.set()
        return
    match result:
        case port.PreconditionFailed():
            await _reload_run_record(agent, runs_key)
            registration.lease_id, registration.confirmed = "", None
            registration.update_due.set()
            return
        case port.Committed(version):
            written = [(key, value), (runs_key, run_value)]
            written += [(claim_key, claim_value) for claim_value in claims]
            for written_key, written_value in written:
                entry = port.Entry(written_key, written_value, version)
                _apply_directory_entry(agent.cache, entry)
    has_same_lease = before is not None and before.lease_id == desired.lease_id
    is_continued = has_same_lease and owner in ("", owner_before)
    if owner and not is_continued:
        if agent.cache.catalog.version == 0 or state.is_keyed(agent, desired.service):
            await refresh_table(agent, desired.service)
        if agent.eras.era != era:
            registration.update_due.set()
            return
    registration.confirmed = desired
    if not is_continued:
        registration.valid_until_ms = sent_ms + granting.REGISTRATION_VALID_MS
    logger.bind(owner=desired.owner, is_open=desired.is_open, version=version).info(
        "registered"
    )
    state.notify_change(agent)


def _find_live_owner(registration: registrations.Registration | None) -> str:
    """Return the owner that a registration names as live, empty if there is none."""
    if registration is None or registration.owner == registration.ended:
        return ""
    return registration.owner


def _make_run_record(
    agent: state.Agent, desired: registrations.Registration, previous_version: int
) -> registrations.RunRecord:
    """Return the record of this run, which names the upstream that is known here."""
    known = agent.cache.directory.run_records.get(agent.settings.instance)
    owner = agent.upstream.owner or (known.owner if known is not None else "")
    return registrations.RunRecord(agent.run, owner, desired.owner, previous_version)


async def _resolve_outcome(
    agent: state.Agent, key: str, value: bytes, runs_key: str
) -> port.TransactResult:
    """Read back whether a registration took effect whose outcome is unknown."""
    found = await agent.store.get(key)
    run_entry = await agent.store.get(runs_key)
    if found is None or run_entry is None or found.value != value:
        return port.PreconditionFailed()
    return port.Committed(run_entry.version)


async def _reload_run_record(agent: state.Agent, runs_key: str) -> None:
    found = await agent.store.get(runs_key)
    if found is None:
        agent.cache.directory.run_versions.pop(agent.settings.instance, None)
    else:
        apply_entry(agent, found)


async def _wait_for_listing(agent: state.Agent) -> None:
    """Wait until the store has been listed in its present era.

    Raises
    ------
    StoreUnavailableError
        If that takes too long; the caller tries again.
    """
    for _ in range(10):
        if store_eras.is_listed(agent):
            return
        await state.wait_for_change(agent, 200)
    raise errors.StoreUnavailableError("the store has not been listed yet")


async def _wait_for_heartbeat(agent: state.Agent) -> None:
    """Wait for the upstream's first heartbeat, which the registration names.

    Without an upstream, the registration is written after one interval; it would be
    written twice otherwise.
    """
    until_ms = agent.started_ms + agent.settings.heartbeat_ms + HEARTBEAT_MARGIN_MS
    while agent.upstream.incarnation is None and agent.now_ms() < until_ms:
        await asyncio.sleep(HEARTBEAT_POLL_MS / 1000)


async def refresh_table(agent: state.Agent, service: str) -> None:
    """Read a service's range table from the store, if there is one."""
    found = await agent.store.get(registrations.table_key(service))
    if found is not None:
        apply_entry(agent, found)


def _compute_backoff_ms(agent: state.Agent, failures: int) -> int:
    limit_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(failures, 5))
    return int(limit_ms * (0.5 + agent.rng.random() / 2))


async def follow_store(agent: state.Agent) -> None:
    """Keep the cache up to date: list the store, then watch it, until the stop."""
    version, failures = None, 0
    while not agent.stopped.is_set():
        try:
            if agent.eras.era != agent.eras.listed_era:
                delay_ms = store_eras.compute_relist_delay_ms(agent)
                await asyncio.sleep(delay_ms / 1000)
                version = None
            if version is None:
                version = await _load_listing(agent)
            else:
                version = await _watch_once(agent, version)
            failures = 0
        except errors.StoreHistoryLostError:
            logger.bind(version=version).warning("store history lost, listing again")
            version = None
        except errors.StoreError as error:
            agent.metrics.count("store.watch_failed")
            logger.bind(error=str(error)).debug("store watch failed")
            await asyncio.sleep(_compute_backoff_ms(agent, failures) / 1000)
            failures += 1


async def _load_listing(agent: state.Agent) -> int:
    listing = await agent.store.list_prefix(watch_relay.ALL_PREFIX)
    now_ms, eras = agent.now_ms(), agent.eras
    if store_era.era_of(listing.version) != eras.era:
        raise errors.StoreUnavailableError("listing of an earlier era")
    is_first, is_restored = not agent.cache.is_loaded, eras.listed_era != eras.era
    if is_restored:
        store_eras.forget_versions(agent)
    for entry in listing.entries:
        apply_entry(agent, entry)
    cache = agent.cache
    registrations.apply_listing(cache.directory, listing.entries, now_ms)
    keys = {entry.key for entry in listing.entries}
    evacuated = {
        centre
        for centre in map(agent.dialect.read_evacuated, keys)
        if centre is not None
    }
    if is_restored:
        evacuated = store_eras.keep_evacuated(agent, evacuated)
        store_eras.restore_leaves(agent)
    cache.evacuated = evacuated
    # The listing does not show registrations that were added and removed since the last
    # one, so absence is counted from now.
    cache.absences.clear()
    cache.is_loaded = True
    eras.listed_era = eras.era
    eras.changed.clear()
    agent.source_heard_ms = now_ms
    succession.forget_superseded(agent)
    if is_first:
        await _ask_peer_for_catalog(agent)
    update_derived_state(agent)
    return listing.version


async def _watch_once(agent: state.Agent, version: int) -> int:
    watch_task = asyncio.ensure_future(watch_relay.watch(agent, version))
    refresh_asked = asyncio.ensure_future(agent.catalog_refresh_due.wait())
    era_changed = asyncio.ensure_future(agent.eras.changed.wait())
    try:
        await asyncio.wait(
            (watch_task, refresh_asked, era_changed),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if agent.eras.era != agent.eras.listed_era:
            return version
        if refresh_asked.done():
            agent.catalog_refresh_due.clear()
            await _refresh_catalog(agent)
        changes = await watch_task
        if agent.eras.era != agent.eras.listed_era:
            return version
        agent.source_heard_ms = agent.now_ms()
    finally:
        watch_task.cancel()
        refresh_asked.cancel()
        era_changed.cancel()
    for change in changes.changes:
        if change.entry is None:
            _apply_deletion(agent, change.key)
        else:
            apply_entry(agent, change.entry)
    if changes.changes or agent.eras.kept_evacuated:
        update_derived_state(agent)
        await asyncio.sleep(watch_relay.compute_pause_ms(agent) / 1000)
    return changes.version


async def _refresh_catalog(agent: state.Agent) -> None:
    """Read the catalog at once, because another daemon has a newer version."""
    known_version = agent.cache.catalog.version
    found = await agent.store.get(agent.dialect.catalog_key)
    if found is not None:
        apply_entry(agent, found)
        update_derived_state(agent)
    if agent.cache.catalog.version == known_version:
        await _ask_peer_for_catalog(agent)


async def _ask_peer_for_catalog(agent: state.Agent) -> None:
    """Learn a catalog that the store has lost, where it has come back from a copy."""
    if agent.eras.era == 0:
        return
    call = messages.StoreCall(CATALOG, b"")
    try:
        answer = await agent.store.call_peer(call, CATALOG_TIMEOUT_MS)
        found = relayed.read_answer("get", answer)
    except (errors.PeerError, errors.StoreError) as error:
        logger.bind(error=str(error)).debug("no catalog from another daemon")
        return
    if found is not None and found.key == agent.dialect.catalog_key:
        apply_entry(agent, found)
        update_derived_state(agent)


def handle_catalog_call(agent: state.Agent) -> messages.StoreAnswer:
    """Answer another daemon's call with the newest catalog that is known here."""
    entry = agent.cache.catalog_entry
    return relayed.write_answer(agent.eras.era, entry)


def apply_entry(agent: state.Agent, entry: port.Entry) -> None:
    """Apply a store entry to the cache; log and skip one that cannot be decoded."""
    cache, dialect = agent.cache, agent.dialect
    try:
        if entry.key == dialect.catalog_key:
            _apply_catalog(agent, entry)
        elif entry.key.startswith(registrations.TABLE_PREFIX):
            _apply_table(agent, entry)
        elif not _apply_directory_entry(cache, entry):
            centre = dialect.read_evacuated(entry.key)
            agent.eras.kept_evacuated.pop(centre, None)
            if centre is not None and centre not in cache.evacuated:
                cache.evacuated.add(centre)
                logger.bind(data_centre=centre).info("data centre out of service")
    except Exception as error:
        # Whatever one entry causes, the others hold and the watch goes on.
        agent.metrics.count("store.unreadable")
        logger.bind(key=entry.key, error=repr(error)[:200]).error(
            "store entry cannot be decoded"
        )
        _prepare_repair(agent, entry)


def _apply_directory_entry(cache: state.StoreCache, entry: port.Entry) -> bool:
    """Apply an entry to the directory; return False if its key is of another kind."""
    is_of_directory = registrations.apply_entry(cache.directory, entry)
    if entry.key.startswith(registrations.RUNS_PREFIX):
        instance = entry.key.removeprefix(registrations.RUNS_PREFIX)
        succession.note_run_record(cache, instance)
    return is_of_directory


def _prepare_repair(agent: state.Agent, entry: port.Entry) -> None:
    """Let an entry that cannot be decoded be written again from what is known."""
    instance, upstream = agent.settings.instance, agent.upstream
    if entry.key == registrations.registration_key(instance):
        agent.registration.confirmed = None
        agent.registration.update_due.set()
    is_leaving = upstream.draining_since_ms is not None
    if entry.key == registrations.leave_key(instance) and is_leaving:
        leaves.announce(agent, upstream.owner)
    if not entry.key.startswith(registrations.TABLE_PREFIX):
        return
    service, cache = entry.key.removeprefix(registrations.TABLE_PREFIX), agent.cache
    if entry.version > cache.table_versions.get(service, port.ABSENT):
        cache.table_versions[service] = entry.version
        cache.unreadable_tables.add(service)


def _apply_catalog(agent: state.Agent, entry: port.Entry) -> None:
    found = agent.dialect.read_catalog(entry.value)
    if found.version > agent.cache.catalog.version:
        agent.cache.catalog, agent.cache.catalog_entry = found, entry
        logger.bind(version=found.version).info("catalog in force")


def _apply_table(agent: state.Agent, entry: port.Entry) -> None:
    found = tables.decode_table(entry.value)
    if registrations.table_key(found.service) != entry.key:
        raise ValueError(f"range table: found service {found.service!r:.40}")
    cached = agent.cache.tables.get(found.service)
    if tables.era_of(found.version) < store_era.era_of(entry.version):
        _note_copied_table(agent, found, entry)
        return
    if cached is None or found.version > cached.version:
        agent.cache.tables[found.service] = found
        agent.cache.table_versions[found.service] = entry.version
        agent.cache.unreadable_tables.discard(found.service)
        agent.cache.copied_tables.pop(found.service, None)
        logger.bind(service=found.service, version=found.version).info(
            "range table in force"
        )


def _note_copied_table(
    agent: state.Agent, found: tables.RangeTable, entry: port.Entry
) -> None:
    """Note a table of an earlier era, which is to be replaced by the one in force."""
    cache, service = agent.cache, found.service
    if entry.version <= cache.table_versions.get(service, port.ABSENT):
        return
    cache.table_versions[service] = entry.version
    cached = cache.tables.get(service)
    if cached is None:
        cache.copied_tables[service] = found
    elif tables.era_of(cached.version) == agent.eras.era:
        cache.unreadable_tables.add(service)
    logger.bind(service=service, version=found.version).info("range table is a copy")


def _apply_deletion(agent: state.Agent, key: str) -> None:
    succession.note_deletion(agent.cache, key)
    registrations.apply_deletion(agent.cache.directory, key, agent.now_ms())
    centre = agent.dialect.read_evacuated(key)
    agent.eras.kept_evacuated.pop(centre, None)
    if centre is not None and centre in agent.cache.evacuated:
        agent.cache.evacuated.discard(centre)
        logger.bind(data_centre=centre).info("data centre back in service")


def update_derived_state(agent: state.Agent) -> None:
    """Update the state that depends on the cache, and wake its waiters."""
    now_ms = agent.now_ms()
    upstream_lifecycle.forget_without_ranges(agent)
    upstream_lifecycle.update_cold_rate(agent)
    upstream_lifecycle.resume_drain(agent)
    cache = agent.cache
    store_eras.drop_kept_evacuated(agent)
    registrations.drop_lapsed(cache.directory, registrations.KEEP_LAPSED_MS, now_ms)
    succession.note_absences(cache, now_ms)
    quota_credits.refresh(agent)
    confirmed = agent.registration.confirmed
    if confirmed is not None and confirmed != make_registration(agent):
        agent.registration.update_due.set()
    state.notify_change(agent)
