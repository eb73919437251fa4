"""Proofs that an owner of keys holds none any more, and who may follow it.

Keys are taken from an owner on one of three proofs only:

- its instance is registered and names it as ended: its address refuses connections or
  answers for another upstream, or it was silent for longer than its holds;
- its instance is registered with an incarnation that started later, as only one process
  can listen at an address;
- it has had no registration for longer than any hold granted under one.

An incarnation that started earlier proves nothing: its heartbeat was late.

The third proof is about a time in which nothing was written, so it must not depend on
when, or in how many pieces, this daemon hears of changes: a registration may be written
and lapse between two of them. Each registration is written together with the record of
its run, which has no lease, and names the version of the record before. An absence is
known up to one such version. A later record extends it only if it follows that version
directly and its registration names another owner, or none; any other ends it.
"""

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.traffic import upstreams

# An owner that has had no registration for this time certainly holds no keys: its holds
# have expired, even if clocks differ by a few percent.
LOST_AFTER_MS = int(granting.REGISTRATION_VALID_MS * 1.03) + 60


def is_later(owner: str, other: str) -> bool:
    """Return whether an incarnation started later than another one of its instance.

    Examples
    --------
    >>> is_later("10.0.0.1/i-2@7", "10.0.0.1/i-1@5")
    True
    """
    return _started_before(tables.incarnation_of(other), tables.incarnation_of(owner))


def has_ended(cache: state.StoreCache, owner: str, now_ms: int) -> bool:
    """Return whether an owner certainly holds no keys any more."""
    found = cache.directory.registered.get(tables.instance_of(owner))
    if found is not None:
        if found.owner == owner:
            return False
        if found.ended == owner:
            return True
        if found.owner and is_later(found.owner, owner):
            return True
    lost_ms = find_lost_ms(cache, owner)
    return lost_ms is not None and now_ms > lost_ms


def find_lost_ms(cache: state.StoreCache, owner: str) -> int | None:
    """Return when an absent owner's holds have expired, None if it is not absent."""
    absence = _find_absence(cache, owner)
    return None if absence is None else absence.since_ms + LOST_AFTER_MS


def list_preconditions(cache: state.StoreCache, owner: str) -> list[port.Precondition]:
    """Return what must be unchanged in the store for an owner to have ended still."""
    directory, instance = cache.directory, tables.instance_of(owner)
    return [
        port.Precondition(
            registrations.registration_key(instance),
            directory.versions.get(instance, port.ABSENT),
        ),
        port.Precondition(
            registrations.runs_key(instance), _find_run_version(cache, instance)
        ),
    ]


def note_absences(cache: state.StoreCache, now_ms: int) -> None:
    """Note which owners that a table names have no registration, and since when.

    An owner that no table names any more is forgotten: if it comes back and gets keys,
    its earlier absence does not count.
    """
    registered = {found.owner for found in cache.directory.registered.values()}
    named = set().union(*map(tables.list_owners, cache.tables.values()))
    cache.absences = {
        owner: _find_absence(cache, owner)
        or state.Absence(now_ms, _find_run_version(cache, tables.instance_of(owner)))
        for owner in named - registered
    }


def note_run_record(cache: state.StoreCache, instance: str) -> None:
    """Extend the absences of an instance's owners over its latest run record.

    Must be called for each record, as an absence ends where one was left out.
    """
    record = cache.directory.run_records.get(instance)
    if record is None:
        return
    for owner, absence in tuple(cache.absences.items()):
        if (
            tables.instance_of(owner) == instance
            and record.live_owner != owner
            and record.previous_version == absence.run_version
        ):
            version = _find_run_version(cache, instance)
            cache.absences[owner] = absence._replace(run_version=version)


def note_deletion(cache: state.StoreCache, key: str) -> None:
    """Forget absences that the deletion of a registration contradicts.

    Must be called before the deletion is applied. One that this daemon has not seen, or
    could not read, may have named any of the instance's owners until now.
    """
    if not key.startswith(registrations.REGISTRATION_PREFIX):
        return
    instance = key.removeprefix(registrations.REGISTRATION_PREFIX)
    if instance in cache.directory.registered:
        return
    cache.absences = {
        owner: absence
        for owner, absence in cache.absences.items()
        if tables.instance_of(owner) != instance
    }


def _find_absence(cache: state.StoreCache, owner: str) -> state.Absence | None:
    """Return an owner's absence unless the instance has registered since."""
    absence = cache.absences.get(owner)
    if absence is None:
        return None
    run_version = _find_run_version(cache, tables.instance_of(owner))
    return absence if absence.run_version == run_version else None


def _find_run_version(cache: state.StoreCache, instance: str) -> int:
    return cache.directory.run_versions.get(instance, port.ABSENT)


def find_newest(cache: state.StoreCache, instance: str) -> upstreams.Incarnation | None:
    """Return the latest incarnation that the store names at an instance."""
    owners = {
        owner
        for table in cache.tables.values()
        for owner in tables.list_owners(table)
        if tables.instance_of(owner) == instance
    }
    registered = cache.directory.registered.get(instance)
    if registered is not None and registered.owner:
        owners.add(registered.owner)
    found = map(tables.incarnation_of, owners)
    return max(found, key=lambda one: one.started_unix_ms, default=None)


def find_last_known(
    cache: state.StoreCache, instance: str
) -> upstreams.Incarnation | None:
    """Return the latest incarnation at an instance of which any daemon has written.

    Unlike `find_newest`, it finds one without a registration and without keys too. That
    is no proof against others: the record has no lease, and clocks may be set back
    between two incarnations.
    """
    newest = find_newest(cache, instance)
    record = cache.directory.run_records.get(instance)
    if record is None or not record.owner:
        return newest
    recorded = tables.incarnation_of(record.owner)
    if newest is None or _started_before(newest, recorded):
        return recorded
    return newest


def is_outdated(agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat) -> bool:
    """Return whether a heartbeat is older than what is known of the local upstream.

    A daemon that has just started knows what the store names, as the first heartbeat
    that it gets may be a late one of an earlier incarnation.
    """
    upstream = agent.upstream
    if upstream.incarnation is not None:
        return upstreams.is_stale(heartbeat, upstream.incarnation, upstream.sequence)
    newest = find_newest(agent.cache, agent.settings.instance)
    return newest is not None and _started_before(heartbeat.incarnation, newest)


def forget_superseded(agent: state.Agent) -> None:
    """Forget the local upstream if the listed store names a later incarnation."""
    upstream = agent.upstream
    newest = find_newest(agent.cache, agent.settings.instance)
    if upstream.incarnation is None or newest is None:
        return
    if _started_before(upstream.incarnation, newest):
        agent.metrics.count("heartbeat.stale")
        upstream_pool.close(upstream.pool)
        agent.upstream = state.UpstreamState()


def _started_before(one: upstreams.Incarnation, other: upstreams.Incarnation) -> bool:
    return one.started_unix_ms < other.started_unix_ms
