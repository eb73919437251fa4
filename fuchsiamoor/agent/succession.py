"""Proofs that an owner of keys holds none any more, and who may follow it.

Keys are taken from an owner on one of three proofs only:

- its instance is registered and names it as ended: its address refuses connections or
  answers for another upstream, or it was silent for longer than its holds;
- its instance is registered with an incarnation that started later, as only one process
  can listen at an address;
- it has had no registration for longer than any hold granted under one.

An incarnation that started earlier proves nothing: its heartbeat was late.
"""

from fuchsiamoor.agent import state
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
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
    absent_since_ms = cache.absent_since_ms.get(owner)
    return absent_since_ms is not None and now_ms - absent_since_ms > LOST_AFTER_MS


def note_absences(cache: state.StoreCache, now_ms: int) -> None:
    """Note which owners that a table names have no registration, and since when.

    An owner that no table names any more is forgotten: if it comes back and gets keys,
    its earlier absence does not count.
    """
    registered = {found.owner for found in cache.directory.registered.values()}
    named = set().union(*map(tables.list_owners, cache.tables.values()))
    known_ms = cache.absent_since_ms
    cache.absent_since_ms = {
        owner: known_ms.get(owner, now_ms) for owner in named - registered
    }


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
    recorded_owner = cache.directory.run_owners.get(instance)
    if recorded_owner is None:
        return newest
    recorded = tables.incarnation_of(recorded_owner)
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
