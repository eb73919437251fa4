"""Whether the operators' overrides are met, judged by tables and registrations."""

from collections.abc import Callable, Mapping

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, tables
from fuchsiamoor.core.configuration import Configuration, Override
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.ownership import overrides as holds
from fuchsiamoor.reports.status import OverrideStatus

FindMember = Callable[[str], Member | None]


def describe_override(override: Override) -> str:
    """Return an override in words.

    Examples
    --------
    >>> hold = configurations.HoldToRegion("almaty")
    >>> describe_override(Override("stock", "clinics", "chair-7", hold))
    'stock, tenant clinics, key chair-7: region almaty'
    """
    subject = override.service
    if override.tenant:
        subject += f", tenant {override.tenant}"
    if override.key:
        subject += f", key {override.key}"
    return f"{subject}: {holds.describe_hold(override.hold)}"


def judge_overrides(
    configuration: Configuration,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> tuple[OverrideStatus, ...]:
    """Return the state of every override.

    Parameters
    ----------
    configuration : Configuration
    known_tables : mapping of str to ShardTable
        By domain.
    find_member : callable
        Returns a member by its id, None if it is unknown.
    """
    return tuple(
        _judge(configuration, override, known_tables, find_member)
        for override in configuration.overrides
    )


def find_override(configuration: Configuration, key_id: keys.KeyId) -> Override | None:
    """Return the override that concerns a key; the most specific one.

    A key goes before a tenant, and a tenant before a whole service.
    """
    concerned = [
        override
        for override in configuration.overrides
        if override.service == key_id.service
        and override.tenant in ("", key_id.tenant)
        and override.key in ("", key_id.key)
    ]
    return max(
        concerned,
        key=lambda override: (bool(override.key), bool(override.tenant)),
        default=None,
    )


def judge_for_key(
    configuration: Configuration,
    key_id: keys.KeyId,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> OverrideStatus | None:
    """Return the state of the override that concerns a key, None without one."""
    override = find_override(configuration, key_id)
    if override is None:
        return None
    return _judge(configuration, override, known_tables, find_member)


def _judge(
    configuration: Configuration,
    override: Override,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> OverrideStatus:
    reasons = [
        reason
        for tenant in _list_tenants(configuration, override)
        if (
            reason := _find_reason(
                configuration, override, tenant, known_tables, find_member
            )
        )
    ]
    reason = reasons[0] if reasons else ""
    return OverrideStatus(describe_override(override), not reasons, reason)


def _list_tenants(configuration: Configuration, override: Override) -> list[str]:
    """Return one tenant for each domain concerned, or each where a key is held."""
    if override.tenant:
        return [override.tenant]
    if override.key:
        return sorted(configuration.tenants)
    by_homes = {regions: name for name, regions in configuration.tenants.items()}
    return sorted(by_homes.values())


def _find_reason(
    configuration: Configuration,
    override: Override,
    tenant: str,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> str:
    domain = configurations.find_domain(configuration, override.service, tenant)
    resolved = holds.resolve_holds(configuration, domain)
    for unmet in resolved.unmet:
        if unmet.override == override:
            return unmet.reason
    table = known_tables.get(domain)
    if table is None:
        return f"no table of {domain} is known yet"
    if override.key:
        key_hash = keys.hash_key(keys.KeyId(override.service, tenant, override.key))
        shards = [tables.find_shard(table, key_hash)]
    else:
        held = {table.isolated.get(key_hash) for key_hash in resolved.keys}
        shards = [shard for shard in range(len(table.owners)) if shard not in held]
    away = [
        shard
        for shard in shards
        if not _is_kept(override, table.owners[shard], find_member)
    ]
    if not away:
        return ""
    if override.key:
        return f"owned by {table.owners[away[0]].rpartition('#')[0] or 'nobody'}"
    return f"{len(away)} of {len(shards)} shards of {domain} are elsewhere"


def _is_kept(override: Override, owner_id: str, find_member: FindMember) -> bool:
    owner = find_member(owner_id)
    if owner is None:
        return False
    place = holds.Place(owner.instance, owner.region, owner.data_centre)
    return holds.satisfies(override.hold, place)
