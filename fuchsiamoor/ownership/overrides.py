"""Founders' overrides as they bear on one domain: which shards are held to what.

A service's override, and a tenant's where the tenant has the domain to itself, hold
every shard. A key's override holds a shard that is isolated for the key.
"""

from collections.abc import Sequence
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys


class UnmetOverride(NamedTuple):
    """An override that is not kept at present.

    Parameters
    ----------
    override : Override
    reason : str
        One sentence for an operator.
    """

    override: configurations.Override
    reason: str


class DomainHolds(NamedTuple):
    """The overrides of one domain.

    Parameters
    ----------
    shards : tuple of Override
        Hold every shard; the most specific first, and of equals the last given first.
    keys : dict of int to tuple of Override
        For each held key hash, its own overrides.
    unmet : tuple of UnmetOverride
        Overrides that shards cannot express.
    """

    shards: tuple[configurations.Override, ...]
    keys: dict[int, tuple[configurations.Override, ...]]
    unmet: tuple[UnmetOverride, ...]


class Place(NamedTuple):
    """Where a member is."""

    instance: str
    region: str
    data_centre: str


def resolve_holds(
    configuration: configurations.Configuration, domain: str
) -> DomainHolds:
    """Return what the overrides of a configuration ask of a domain.

    Parameters
    ----------
    configuration : Configuration
    domain : str

    Returns
    -------
    DomainHolds
    """
    service, home_regions = keys.split_domain_id(domain)
    tenants = _list_tenants(configuration, home_regions)
    of_service, of_tenant, of_keys, unmet = [], [], {}, []
    for override in reversed(configuration.overrides):
        if override.service != service:
            continue
        matching = [name for name in tenants if override.tenant in ("", name)]
        if not matching:
            continue
        reason = _find_conflict(configuration, home_regions, override.hold)
        if reason:
            unmet.append(UnmetOverride(override, reason))
        elif override.key:
            for name in matching:
                key_hash = keys.hash_key(keys.KeyId(service, name, override.key))
                of_keys.setdefault(key_hash, []).append(override)
        elif override.tenant and len(tenants) > 1:
            unmet.append(UnmetOverride(override, _explain_shared(tenants, override)))
        elif override.tenant:
            of_tenant.append(override)
        else:
            of_service.append(override)
    held = {key_hash: tuple(found) for key_hash, found in of_keys.items()}
    return DomainHolds(tuple(of_tenant + of_service), held, tuple(unmet))


def satisfies(hold: configurations.Hold, place: Place) -> bool:
    """Return whether a place keeps a hold."""
    match hold:
        case configurations.HoldToInstance(instance):
            return place.instance == instance
        case configurations.HoldToDataCentre(data_centre):
            return place.data_centre == data_centre
        case configurations.HoldToRegion(region):
            return place.region == region


def filter_places(held: Sequence[configurations.Override], places: Sequence) -> list:
    """Return the places that keep the overrides, as many of them as can be kept.

    Overrides are tried in order; one that no remaining place keeps is passed over.

    Parameters
    ----------
    held : sequence of Override
    places : sequence
        Of `Place`, or anything with its fields.

    Returns
    -------
    list
    """
    remaining = list(places)
    for override in held:
        keeping = [place for place in remaining if satisfies(override.hold, place)]
        if keeping:
            remaining = keeping
    return remaining


def describe_hold(hold: configurations.Hold) -> str:
    """Return what a hold asks for.

    Examples
    --------
    >>> describe_hold(configurations.HoldToRegion("almaty"))
    'region almaty'
    """
    match hold:
        case configurations.HoldToInstance(instance):
            return f"instance {instance}"
        case configurations.HoldToDataCentre(data_centre):
            return f"data centre {data_centre}"
        case configurations.HoldToRegion(region):
            return f"region {region}"


def _list_tenants(
    configuration: configurations.Configuration, home_regions: frozenset[str]
) -> list[str]:
    return sorted(
        name
        for name, regions in configuration.tenants.items()
        if regions == home_regions
    )


def _find_conflict(
    configuration: configurations.Configuration,
    home_regions: frozenset[str],
    hold: configurations.Hold,
) -> str:
    match hold:
        case configurations.HoldToRegion(region) if region not in home_regions:
            return f"region {region} is outside the home regions"
        case configurations.HoldToDataCentre(data_centre):
            within = {
                name
                for region in home_regions
                for name in configuration.regions.get(region, ())
            }
            if data_centre not in within:
                return f"data centre {data_centre} is outside the home regions"
            if data_centre in configuration.data_centres_out:
                return f"data centre {data_centre} is out of service"
    return ""


def _explain_shared(tenants: list[str], override: configurations.Override) -> str:
    others = ", ".join(name for name in tenants if name != override.tenant)
    return f"shares its shards with {others}: hold the service, or single keys"
