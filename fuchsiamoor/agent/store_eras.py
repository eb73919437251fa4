"""Eras of the store, at one daemon: what an earlier era still allows, and its claims.

Once the store has come back from a copy, its latest writes are gone. The range table of
the earlier era is still granted from until the registration that was confirmed in that
era runs out, while the next one is prepared; see `docs/design/store-eras.md`.
"""

from loguru import logger

from fuchsiamoor.agent import leaves, registrations, state, succession, watch_relay
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port

# Daemons that follow a watcher list the store again, and then register, spread over
# this time for each registered daemon: two writes each stay below 400 writes a second.
RELIST_SPREAD_MS = 6
# All are to be registered again within two seconds, of which one passes until all have
# learned of the era by a renewal.
RELIST_SPREAD_MAX_MS = 1_000
# Evacuations of the earlier era hold for this time: operators write again what they
# had written, by hand.
KEEP_EVACUATED_MS = 30_000


def begin(agent: state.Agent, era: int) -> None:
    """Begin an era of the store, as soon as anything has named it."""
    eras, registration, now_ms = agent.eras, agent.registration, agent.now_ms()
    table = agent.cache.tables.get(agent.settings.service)
    # Where the table is of a still earlier era, the end of its grants stands already.
    if table is not None and tables.era_of(table.version) == eras.era:
        is_confirmed = _is_confirmed_owner(agent)
        eras.granted_owner = agent.upstream.owner if is_confirmed else ""
        eras.grants_until_ms = registration.valid_until_ms if is_confirmed else 0
    logger.bind(era=era, before=eras.era).info("store era begins")
    agent.metrics.count("store.era")
    eras.era, eras.since_ms = era, now_ms
    # The first listing of the era lacks the registrations that show it.
    eras.was_watcher = _is_watcher(agent)
    registration.lease_id = ""
    registration.update_due.set()
    eras.changed.set()
    state.notify_change(agent)


def _is_confirmed_owner(agent: state.Agent) -> bool:
    """Return whether the store confirmed the upstream as an owner, and keeps it so."""
    confirmed, upstream = agent.registration.confirmed, agent.upstream
    return (
        confirmed is not None
        and upstream.owner != ""
        and confirmed.owner == upstream.owner
        and agent.now_ms() < agent.registration.valid_until_ms
    )


def find_grants_until_ms(agent: state.Agent, table: tables.RangeTable | None) -> int:
    """Return until when keys may be granted by a table."""
    valid_until_ms = agent.registration.valid_until_ms
    if table is None or tables.era_of(table.version) == agent.eras.era:
        return valid_until_ms
    if agent.eras.granted_owner != agent.upstream.owner:
        return 0
    return min(valid_until_ms, agent.eras.grants_until_ms)


def make_claim(agent: state.Agent) -> registrations.Claim | None:
    """Return this daemon's claim to the rows of its upstream, None if it has none."""
    eras, upstream, service = agent.eras, agent.upstream, agent.settings.service
    table = agent.cache.tables.get(service)
    if table is None or tables.era_of(table.version) == eras.era:
        return None
    if upstream.owner == "" or eras.granted_owner != upstream.owner:
        return None
    if agent.now_ms() >= eras.grants_until_ms or upstream.granting.was_ended:
        return None
    version = max(table.version, eras.tried_versions.get(service, 0))
    return registrations.Claim(eras.era, upstream.owner, version)


def list_claims(agent: state.Agent) -> dict[str, int]:
    """Return the claims of the present era: the table's version by owner."""
    return {
        claim.owner: claim.version
        for claim in agent.cache.directory.claims.values()
        if claim.era == agent.eras.era
    }


def have_earlier_grants_expired(agent: state.Agent) -> bool:
    """Return whether all that earlier eras granted has certainly run out."""
    elapsed_ms = agent.now_ms() - agent.eras.since_ms
    return agent.eras.era == 0 or elapsed_ms > succession.LOST_AFTER_MS


def is_listed(agent: state.Agent) -> bool:
    """Return whether the store has been listed in its present era."""
    return agent.cache.is_loaded and agent.eras.listed_era == agent.eras.era


def compute_relist_delay_ms(agent: state.Agent) -> int:
    """Return the delay of the first listing in a new era, in milliseconds."""
    if not agent.cache.is_loaded or agent.eras.was_watcher:
        return 0
    registered = agent.cache.directory.registered
    spread_ms = min(RELIST_SPREAD_MAX_MS, RELIST_SPREAD_MS * len(registered))
    return int(agent.rng.random() * spread_ms)


def forget_versions(agent: state.Agent) -> None:
    """Forget versions of earlier eras, before the first listing of this one is read."""
    cache, directory = agent.cache, agent.cache.directory
    for versions in (
        directory.versions,
        directory.run_versions,
        directory.leave_versions,
        cache.table_versions,
    ):
        versions.clear()
    cache.unreadable_tables.clear()
    cache.copied_tables.clear()


def keep_evacuated(agent: state.Agent, listed: set[str]) -> set[str]:
    """Return the data centres out of service after the first listing of an era."""
    until_ms = agent.now_ms() + KEEP_EVACUATED_MS
    for centre in agent.cache.evacuated - listed:
        agent.eras.kept_evacuated.setdefault(centre, until_ms)
    return listed | set(agent.eras.kept_evacuated)


def drop_kept_evacuated(agent: state.Agent) -> None:
    """Put data centres back into service whose evacuation was not written again."""
    kept = agent.eras.kept_evacuated
    now_ms = agent.now_ms()
    for centre in [one for one, until_ms in kept.items() if now_ms >= until_ms]:
        del kept[centre]
        agent.cache.evacuated.discard(centre)
        logger.bind(data_centre=centre).info("data centre back in service")


def restore_leaves(agent: state.Agent) -> None:
    """Announce leaves again that the copy lacks.

    Each daemon does so for its own upstream, and watchers for all that they know, whose
    daemons may be gone.
    """
    upstream, directory = agent.upstream, agent.cache.directory
    for instance, owner in tuple(directory.left_owners.items()):
        is_lost = directory.leave_versions.get(instance, port.ABSENT) == port.ABSENT
        if is_lost and (agent.eras.was_watcher or instance == agent.settings.instance):
            del directory.left_owners[instance]
            leaves.announce(agent, owner)
    if upstream.draining_since_ms is not None and upstream.owner:
        leaves.announce(agent, upstream.owner)


def _is_watcher(agent: state.Agent) -> bool:
    watchers = watch_relay.find_watchers(agent, agent.settings.region)
    return agent.settings.instance in {one.instance for one in watchers}
