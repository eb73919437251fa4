"""The operators' configuration, as plain data.

`fuchsiamoor.documents` reads and validates the documents; all decisions use the
validated `Configuration` of this module.
"""

from typing import NamedTuple

from fuchsiamoor.core import keys


class Objective(NamedTuple):
    """Service-level objective, for the report on its burn rate."""

    success_ratio: float
    latency_ms: int
    latency_ratio: float
    window_days: int


class ColdStart(NamedTuple):
    """Concurrency limit of an upstream after it starts.

    Parameters
    ----------
    initial_requests : int
        Concurrent requests allowed right after the start.
    ramp_ms : int
        Time over which the limit rises to all slots.
    """

    initial_requests: int
    ramp_ms: int


class Limits(NamedTuple):
    """Limits on the requests that one daemon holds for one service."""

    body_bytes: int
    queued_requests: int
    parked_requests: int


class Service(NamedTuple):
    """A service as the operators describe it.

    Parameters
    ----------
    name : str
    key_required : bool
        Whether every request must have a key. Otherwise any upstream may serve requests
        without one.
    shard_count : int
    idempotent_methods : frozenset of str
    longest_run_ms : int
        Longest time for which an upstream runs one request.
    default_deadline_ms : int
        Deadline of requests whose caller sets none.
    retry_ratio : float
        Retries and hedges allowed, as a share of traffic.
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
    """Route to one instance only."""

    instance: str


class HoldToDataCentre(NamedTuple):
    """Route to instances of one data centre only."""

    data_centre: str


class HoldToRegion(NamedTuple):
    """Route to instances of one region only."""

    region: str


Hold = HoldToInstance | HoldToDataCentre | HoldToRegion


class Override(NamedTuple):
    """A routing rule set by an operator, in force until an operator changes it.

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
    """One complete, accepted configuration.

    Parameters
    ----------
    revision : int
        Increases by one with every accepted change; 0 before the first.
    apply_id : str
        Chosen by the operators' tool, which recognises by it an apply whose answer was
        lost.
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
    """Return revision 0, which has no services."""
    return Configuration(0, "", {}, {}, frozenset(), {}, (), 0)


def find_domain(configuration: Configuration, service: str, tenant: str) -> str | None:
    """Return the ownership domain of a tenant's keys, None if either is unknown."""
    home_regions = configuration.tenants.get(tenant)
    if home_regions is None or service not in configuration.services:
        return None
    return keys.make_domain_id(service, home_regions)


def list_domains(configuration: Configuration) -> list[str]:
    """Return the ownership domains of a configuration, sorted by id."""
    home_sets = set(configuration.tenants.values())
    return sorted(
        keys.make_domain_id(service, regions)
        for service in configuration.services
        for regions in home_sets
    )
