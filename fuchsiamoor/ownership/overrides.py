"""Overrides of the configuration, resolved to the shards of one domain.

An override of a service holds every shard of the domain, and so does one of a tenant
that is the only tenant of the domain. An override of a key holds the shard that is
isolated for the key.
"""

from collections.abc import Sequence
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys


class UnmetOverride(NamedTuple):
    """An override that cannot be met at present.

    Parameters
    ----------
    override : Override
    reason : str
        Explanation for an operator.
    """

    override: configurations.Override
    reason: str


class DomainHolds(NamedTuple):
    """The overrides of one domain.

    Parameters
    ----------
    shards : tuple of Override
        Apply to every shard; the most specific first, then the last in the
        configuration first.
    keys : dict of int to tuple of Override
        Overrides of each key hash.
    unmet : tuple of UnmetOverride
        Overrides that no placement of the shards can meet.
    """

    shards: tuple[configurations.Override, ...]
    keys: dict[int, tuple[configurations.Override, ...]]
    unmet: tuple[UnmetOverride, ...]


class Place(NamedTuple):
    """Location of a member."""

    instance: str
    region: str
    data_centre: str


def resolve_holds(
    configuration: configurations.Configuration, domain: str
) -> DomainHolds:
    """Return the overrides of a configuration that apply to a domain.

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
    """Return whether a place satisfies a hold."""
    match hold:
        case configurations.HoldToInstance(instance):
            return place.instance == instance
        case configurations.HoldToDataCentre(data_centre):
            return place.data_centre == data_centre
        case configurations.HoldToRegion(region):
            return place.region == region


def filter_places(held: Sequence[configurations.Override], places: Sequence) -> list:
    """Return the places that satisfy as many of the overrides as possible.

    Overrides are applied in order; one that no remaining place satisfies is skipped.

    Parameters
    ----------
    held : sequence of Override
    places : sequence
        `Place` or any type with its fields.

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
    """Return the instance, data centre or region of a hold, as text.

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
