"""The operators' catalog: routes, services and limits of one published version."""

import random
from collections.abc import Iterable
from typing import NamedTuple

KEY_COUNT = 65_536


class ServiceShare(NamedTuple):
    """A service and its share of a route's requests, relative to the others."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of one host and path prefix go.

    Parameters
    ----------
    name : str
    host : str
        In lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    shares : tuple of ServiceShare
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_ms : int
        Longest time that a caller is kept waiting.
    target_latency_ms : int
        Time within which an answer is in time.
    rank : int
        0 is served first.
    attempts_max : int
        Upstreams to which one request may be sent.
    home_regions : frozenset of str
        Regions that may see a request; empty for all.
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


class ServiceTerms(NamedTuple):
    """What operators say of one service.

    Parameters
    ----------
    name : str
    health_path : str
    connections_max : int
        Connections that one upstream accepts from all callers together.
    cold_start_ms : int
        Time for which an upstream is cold after its start.
    cold_per_s : float
        Requests a second that a cold upstream bears.
    is_keyed : bool
        Whether its upstreams hold key ranges.
    """

    name: str
    health_path: str
    connections_max: int
    cold_start_ms: int
    cold_per_s: float
    is_keyed: bool


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send, and how slowly."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalog(NamedTuple):
    """One published version, whole.

    Parameters
    ----------
    version : int
        0 before the first.
    routes : dict of str to tuple of Route
        By host, the longest prefix first.
    services : dict of str to ServiceTerms
    limits : CallerLimits
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceTerms]
    limits: CallerLimits


def make_empty_catalog() -> Catalog:
    """Return version 0, under which nothing is served."""
    return Catalog(0, {}, {}, CallerLimits())


def make_catalog(
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceTerms],
    limits: CallerLimits,
) -> Catalog:
    """Return a catalog whose routes are ordered for `find_route`."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
        for host, found in by_host.items()
    }
    return Catalog(
        version, ordered, {service.name: service for service in services}, limits
    )


def find_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Return the route of the longest prefix that begins a path, None without one.

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
    """Draw one of a route's services by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def allows_region(home_regions: frozenset[str], region: str) -> bool:
    """Return whether a request with these home regions may be seen in a region."""
    return not home_regions or region in home_regions
