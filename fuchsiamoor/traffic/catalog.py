"""Catalog of routes, services and caller limits that operators publish."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from fuchsiamoor.traffic.organisations import Organisations

KEY_COUNT = 65_536


class ServiceShare(NamedTuple):
    """A service and its relative weight in the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Routing rule for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
    host : str
        In lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    shares : tuple of ServiceShare
    is_idempotent : bool
        Whether a request may be run more than once.
    timeout_ms : int
        Longest time that a caller waits for the answer.
    target_latency_ms : int
        Target latency: an answer after this time counts as late.
    rank : int
        Priority class; 0 is served first.
    attempts_max : int
        Largest number of upstreams to which one request may be sent.
    home_regions : frozenset of str
        Regions in which a request may be processed; empty for all regions.
    is_public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    rank: int
    attempts_max: int
    home_regions: frozenset[str]
    is_public: bool = False


class ServiceSettings(NamedTuple):
    """Settings of one service.

    Parameters
    ----------
    name : str
    health_path : str
    connections_max : int
        Largest number of connections that one upstream accepts in total.
    cold_start_ms : int
        Duration of the cold start of an upstream.
    cold_per_s : float
        Requests per second that a cold upstream can handle.
    is_keyed : bool
        Whether its keys are divided into ranges that upstreams own.
    """

    name: str
    health_path: str
    connections_max: int
    cold_start_ms: int
    cold_per_s: float
    is_keyed: bool


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's request and on the time to receive it."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalog(NamedTuple):
    """One published version of the catalog.

    Parameters
    ----------
    version : int
        0 if none has been published yet.
    routes : dict of str to tuple of Route
        By host, longest prefix first.
    services : dict of str to ServiceSettings
    limits : CallerLimits
    organisations : Organisations or None
        None if callers need no keys.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceSettings]
    limits: CallerLimits
    organisations: Organisations | None = None


def make_empty_catalog() -> Catalog:
    """Return version 0, which has no routes."""
    return Catalog(0, {}, {}, CallerLimits())


def make_catalog(
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceSettings],
    limits: CallerLimits,
    organisations: Organisations | None = None,
) -> Catalog:
    """Return a catalog whose routes are in the order that `find_route` needs."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(routes_of_host, key=lambda route: -len(route.path_prefix)))
        for host, routes_of_host in by_host.items()
    }
    return Catalog(
        version,
        ordered,
        {service.name: service for service in services},
        limits,
        organisations,
    )


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix, None if none matches.

    Parameters
    ----------
    catalog : Catalog
    host : str
        As the caller sent it, with or without a port.
    path : str

    Examples
    --------
    >>> route = Route("r", "a.example", "/x/", (), True, 1, 1, 0, 1, frozenset())
    >>> catalog = make_catalog(1, [route], [], CallerLimits())
    >>> find_route(catalog, "A.example:80", "/x/1").name
    'r'
    >>> find_route(catalog, "a.example", "/y/1") is None
    True
    """
    name = host.partition(":")[0].lower()
    for route in catalog.routes.get(name, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def allows_region(home_regions: frozenset[str], region: str) -> bool:
    """Return whether a request with these home regions may be processed in a region."""
    return not home_regions or region in home_regions
