"""Whether the operators' overrides are met, judged by tables and registrations."""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, members, tables
from fuchsiamoor.core.configuration import Configuration, Override
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.ownership import overrides as holds
from fuchsiamoor.reports.status import OverrideStatus

FindMember = Callable[[str], Member | None]


class _DomainView(NamedTuple):
    """What matters of one domain.

    Parameters
    ----------
    table : ShardTable or None
    unmet : dict of Override to str
        Reasons why overrides cannot be met.
    shards_by_owner : Counter of str
        Shards of each owner, those of held keys left out.
    """

    table: ShardTable | None
    unmet: dict[Override, str]
    shards_by_owner: Counter[str]


class _View(NamedTuple):
    """What overrides are judged by; ``domains`` fills up as they are looked at."""

    configuration: Configuration
    known_tables: Mapping[str, ShardTable]
    find_member: FindMember
    domains: dict[str, _DomainView]


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


def evaluate_overrides(
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
    view = _View(configuration, known_tables, find_member, {})
    return tuple(_judge(view, override) for override in configuration.overrides)


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


def evaluate_override_for_key(
    configuration: Configuration,
    key_id: keys.KeyId,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> OverrideStatus | None:
    """Return the state of the override that concerns a key, None without one."""
    override = find_override(configuration, key_id)
    if override is None:
        return None
    return _judge(_View(configuration, known_tables, find_member, {}), override)


def _judge(view: _View, override: Override) -> OverrideStatus:
    reason = ""
    for tenant in _list_tenants(view.configuration, override):
        reason = _find_reason(view, override, tenant)
        if reason:
            break
    return OverrideStatus(describe_override(override), not reason, reason)


def _list_tenants(configuration: Configuration, override: Override) -> list[str]:
    """Return one tenant for each domain concerned, or each where a key is held."""
    if override.tenant:
        return [override.tenant]
    if override.key:
        return sorted(configuration.tenants)
    by_homes = {regions: name for name, regions in configuration.tenants.items()}
    return sorted(by_homes.values())


def _find_reason(view: _View, override: Override, tenant: str) -> str:
    service = override.service
    domain = configurations.find_domain(view.configuration, service, tenant)
    held = view.domains.get(domain)
    if held is None:
        held = view.domains[domain] = _look_at_domain(view, domain)
    reason = held.unmet.get(override)
    if reason is not None:
        return reason
    if held.table is None:
        return f"no table of {domain} is known yet"
    if override.key:
        key_hash = keys.hash_key(keys.KeyId(service, tenant, override.key))
        owner_id = held.table.owners[tables.find_shard(held.table, key_hash)]
        if _is_kept(view, override, owner_id):
            return ""
        return f"owned by {members.instance_of(owner_id) or 'nobody'}"
    away = sum(
        count
        for owner_id, count in held.shards_by_owner.items()
        if not _is_kept(view, override, owner_id)
    )
    if not away:
        return ""
    total = held.shards_by_owner.total()
    return f"{away} of {total} shards of {domain} are elsewhere"


def _look_at_domain(view: _View, domain: str) -> _DomainView:
    resolved = holds.resolve_holds(view.configuration, domain)
    unmet = {found.override: found.reason for found in resolved.unmet}
    table = view.known_tables.get(domain)
    if table is None:
        return _DomainView(None, unmet, Counter())
    shards_by_owner = Counter(table.owners)
    for key_hash in resolved.keys:
        if key_hash in table.isolated:
            shards_by_owner[table.owners[table.isolated[key_hash]]] -= 1
    return _DomainView(table, unmet, shards_by_owner)


def _is_kept(view: _View, override: Override, owner_id: str) -> bool:
    owner = view.find_member(owner_id)
    if owner is None:
        return False
    place = holds.Place(owner.instance, owner.region, owner.data_centre)
    return holds.satisfies(override.hold, place)
