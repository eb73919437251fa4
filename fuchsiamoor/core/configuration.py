"""The operators' configuration, as plain data.

Documents are read and checked in `fuchsiamoor.documents`; every decision
takes the checked `Configuration` of this module.
"""

from typing import NamedTuple

from fuchsiamoor.core import keys


class Objective(NamedTuple):
    """What a service promises, for the report on service-level burn."""

    success_ratio: float
    latency_ms: int
    latency_ratio: float
    window_days: int


class ColdStart(NamedTuple):
    """What an upstream bears after a start.

    Parameters
    ----------
    initial_requests : int
        Requests in flight at the very start.
    ramp_ms : int
        Time until all slots may be used.
    """

    initial_requests: int
    ramp_ms: int


class Limits(NamedTuple):
    """Bounds on what one daemon holds for one service."""

    body_bytes: int
    queued_requests: int
    parked_requests: int


class Service(NamedTuple):
    """A service as the operators describe it.

    Parameters
    ----------
    name : str
    key_required : bool
        Whether every request must carry a key. Otherwise requests without one go to
        any upstream.
    shard_count : int
    idempotent_methods : frozenset of str
    longest_run_ms : int
        Longest time that one run takes at an upstream.
    default_deadline_ms : int
        Deadline for callers that give none.
    retry_ratio : float
        Retries and hedges allowed for each request, as a share of traffic.
    cold_start : ColdStart
    limits : Limits
    objective : Objective
    """

    name: str
    key_required: bool
    shard_count: int
    idempotent_methods: frozenset[str]
    longest_run_ms: int
    default_deadline_ms: int
    retry_ratio: float
    cold_start: ColdStart
    limits: Limits
    objective: Objective


class HoldToInstance(NamedTuple):
    """Keep on one instance."""

    instance: str


class HoldToDataCentre(NamedTuple):
    """Keep within one data centre."""

    data_centre: str


class HoldToRegion(NamedTuple):
    """Keep within one region."""

    region: str


Hold = HoldToInstance | HoldToDataCentre | HoldToRegion


class Override(NamedTuple):
    """An operator's own routing choice, in force until an operator changes it.

    Parameters
    ----------
    service : str
    tenant : str
        Empty for all tenants.
    key : str
        Empty for all keys.
    hold : Hold
    """

    service: str
    tenant: str
    key: str
    hold: Hold


class Configuration(NamedTuple):
    """One accepted configuration, whole.

    Parameters
    ----------
    revision : int
        Rises by one with every accepted change; 0 before the first.
    apply_id : str
        Chosen by the tool, so that an apply whose answer was lost can be recognised.
    services : dict of str to Service
    regions : dict of str to frozenset of str
        Data centres of each region.
    data_centres_out : frozenset of str
        Data centres that operators have taken out of service.
    tenants : dict of str to frozenset of str
        Home regions of each tenant.
    overrides : tuple of Override
    moves_per_minute : int
        Largest number of shards that rebalancing may move in a minute, per domain.
    """

    revision: int
    apply_id: str
    services: dict[str, Service]
    regions: dict[str, frozenset[str]]
    data_centres_out: frozenset[str]
    tenants: dict[str, frozenset[str]]
    overrides: tuple[Override, ...]
    moves_per_minute: int


def make_empty_configuration() -> Configuration:
    """Return revision 0, under which nothing is served."""
    return Configuration(0, "", {}, {}, frozenset(), {}, (), 0)


def find_domain(configuration: Configuration, service: str, tenant: str) -> str | None:
    """Return the ownership domain of a tenant's keys, None if either is unknown."""
    home_regions = configuration.tenants.get(tenant)
    if home_regions is None or service not in configuration.services:
        return None
    return keys.make_domain_id(service, home_regions)


def list_domains(configuration: Configuration) -> list[str]:
    """Return the domains of a configuration, in order of their names."""
    home_sets = set(configuration.tenants.values())
    return sorted(
        keys.make_domain_id(service, regions)
        for service in configuration.services
        for regions in home_sets
    )
