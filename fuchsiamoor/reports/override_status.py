"""Evaluates whether shard owners satisfy the operators' overrides.

The evaluation uses the shard tables and the members that this daemon knows.
"""

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
    """State of one domain that overrides are evaluated against.

    Parameters
    ----------
    table : ShardTable or None
        None if no table of the domain is known.
    unmet : dict of Override to str
        Overrides that cannot be met, with the reason.
    shards_by_owner : Counter of str
        Number of shards of each owner, without the shards of keys held by their own
        override.
    """

    table: ShardTable | None
    unmet: dict[Override, str]
    shards_by_owner: Counter[str]


class _EvaluationContext(NamedTuple):
    """Inputs of an evaluation; ``domains`` caches the domains evaluated so far."""

    configuration: Configuration
    known_tables: Mapping[str, ShardTable]
    find_member: FindMember
    domains: dict[str, _DomainView]


def describe_override(override: Override) -> str:
    """Return a description of an override.

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
        Tables keyed by domain.
    find_member : callable
        Returns the member with an id; None if it is unknown.
    """
    context = _EvaluationContext(configuration, known_tables, find_member, {})
    return tuple(_evaluate(context, override) for override in configuration.overrides)


def find_override(configuration: Configuration, key_id: keys.KeyId) -> Override | None:
    """Return the most specific override that applies to a key.

    An override of a key takes precedence over one of a tenant, and one of a tenant over
    one of a service.
    """
    matching = [
        override
        for override in configuration.overrides
        if override.service == key_id.service
        and override.tenant in ("", key_id.tenant)
        and override.key in ("", key_id.key)
    ]
    return max(
        matching,
        key=lambda override: (bool(override.key), bool(override.tenant)),
        default=None,
    )


def evaluate_override_for_key(
    configuration: Configuration,
    key_id: keys.KeyId,
    known_tables: Mapping[str, ShardTable],
    find_member: FindMember,
) -> OverrideStatus | None:
    """Return the state of the override that applies to a key; None if there is none."""
    override = find_override(configuration, key_id)
    if override is None:
        return None
    return _evaluate(
        _EvaluationContext(configuration, known_tables, find_member, {}), override
    )


def _evaluate(context: _EvaluationContext, override: Override) -> OverrideStatus:
    reason = ""
    for tenant in _list_tenants(context.configuration, override):
        reason = _find_unmet_reason(context, override, tenant)
        if reason:
            break
    return OverrideStatus(describe_override(override), not reason, reason)


def _list_tenants(configuration: Configuration, override: Override) -> list[str]:
    """Return tenants that cover every domain or key that an override applies to.

    Tenants with equal home regions share a domain, so one of them is enough.
    A key with an override belongs to each tenant separately.
    """
    if override.tenant:
        return [override.tenant]
    if override.key:
        return sorted(configuration.tenants)
    by_home_regions = {regions: name for name, regions in configuration.tenants.items()}
    return sorted(by_home_regions.values())


def _find_unmet_reason(
    context: _EvaluationContext, override: Override, tenant: str
) -> str:
    service = override.service
    domain = configurations.find_domain(context.configuration, service, tenant)
    domain_view = context.domains.get(domain)
    if domain_view is None:
        domain_view = context.domains[domain] = _make_domain_view(context, domain)
    reason = domain_view.unmet.get(override)
    if reason is not None:
        return reason
    if domain_view.table is None:
        return f"no table of {domain} is known yet"
    if override.key:
        key_hash = keys.hash_key(keys.KeyId(service, tenant, override.key))
        owner_id = domain_view.table.owners[
            tables.find_shard(domain_view.table, key_hash)
        ]
        if _is_satisfied_by(context, override, owner_id):
            return ""
        return f"owned by {members.instance_of(owner_id) or 'nobody'}"
    misplaced = sum(
        count
        for owner_id, count in domain_view.shards_by_owner.items()
        if not _is_satisfied_by(context, override, owner_id)
    )
    if not misplaced:
        return ""
    total = domain_view.shards_by_owner.total()
    return f"{misplaced} of {total} shards of {domain} are elsewhere"


def _make_domain_view(context: _EvaluationContext, domain: str) -> _DomainView:
    resolved = holds.resolve_holds(context.configuration, domain)
    unmet = {found.override: found.reason for found in resolved.unmet}
    table = context.known_tables.get(domain)
    if table is None:
        return _DomainView(None, unmet, Counter())
    shards_by_owner = Counter(table.owners)
    for key_hash in resolved.keys:
        if key_hash in table.isolated:
            shards_by_owner[table.owners[table.isolated[key_hash]]] -= 1
    return _DomainView(table, unmet, shards_by_owner)


def _is_satisfied_by(
    context: _EvaluationContext, override: Override, owner_id: str
) -> bool:
    owner = context.find_member(owner_id)
    if owner is None:
        return False
    place = holds.Place(owner.instance, owner.region, owner.data_centre)
    return holds.satisfies(override.hold, place)
