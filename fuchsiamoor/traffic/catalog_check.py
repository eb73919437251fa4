"""Checks a catalog before it is published, and compares it with the one in force.

A fault is something that no daemon can serve as it stands. A warning is an entry that
has no effect, or a limit that another one makes unreachable.
"""

import itertools
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from fuchsiamoor.traffic import catalog as catalogs
from fuchsiamoor.traffic import organisations

# Digits of a key's digest that tell it from others, and nothing of the key.
DIGEST_DIGITS = 8


class Severity(StrEnum):
    """How much a finding matters."""

    FAULT = "fault"
    WARNING = "warning"


class Finding(NamedTuple):
    """Something wrong with a catalog.

    Parameters
    ----------
    severity : Severity
    path : str
        Entry and field, such as ``routes.read.shares``.
    problem : str
    remedy : str
    """

    severity: Severity
    path: str
    problem: str
    remedy: str


class Difference(NamedTuple):
    """A field that differs from the catalog in force.

    Parameters
    ----------
    path : str
    before, after : str
        Empty for an entry that is added or removed.
    """

    path: str
    before: str
    after: str


def list_findings(catalog: catalogs.Catalog) -> list[Finding]:
    """Return what is wrong with a catalog, faults first."""
    found = [
        *_check_matching(catalog),
        *_check_services(catalog),
        *_check_times(catalog),
        *_check_limits(catalog.limits),
        *_check_organisations(catalog),
    ]
    return sorted(found, key=lambda finding: finding.severity is Severity.WARNING)


def list_differences(
    in_force: catalogs.Catalog, proposed: catalogs.Catalog
) -> list[Difference]:
    """Return the fields in which a proposed catalog differs, in order of their path.

    Examples
    --------
    >>> empty = catalogs.make_empty_catalog()
    >>> list_differences(empty, empty._replace(version=3))
    [Difference(path='version', before='0', after='3')]
    """
    before, after = dict(_list_fields(in_force)), dict(_list_fields(proposed))
    return [
        Difference(path, before.get(path, ""), after.get(path, ""))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    ]


def _list_routes(catalog: catalogs.Catalog) -> Iterator[catalogs.Route]:
    return itertools.chain.from_iterable(catalog.routes.values())


def _check_matching(catalog: catalogs.Catalog) -> Iterator[Finding]:
    """Find routes that no request can match."""
    names = set()
    for route in _list_routes(catalog):
        path = f"routes.{route.name}"
        if route.name in names:
            yield Finding(
                Severity.FAULT,
                path,
                "another route has this name",
                "give each route a name of its own",
            )
        names.add(route.name)
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield Finding(
                Severity.FAULT,
                f"{path}.path_prefix",
                f"{prefix!r} does not begin and end with a slash",
                "write it as '/path/'",
            )
        first = catalogs.find_route(catalog, route.host, prefix)
        if first is not None and first is not route and first.path_prefix == prefix:
            yield Finding(
                Severity.WARNING,
                path,
                f"never matches: route {first.name} has the same host and prefix",
                "remove one of them or change its prefix",
            )


def _check_services(catalog: catalogs.Catalog) -> Iterator[Finding]:
    """Find shares without a service, and services that get no requests."""
    used = set()
    for route in _list_routes(catalog):
        path = f"routes.{route.name}.shares"
        if not any(share.weight > 0 for share in route.shares):
            yield Finding(
                Severity.FAULT,
                path,
                "no service has a weight above 0",
                "give at least one service a weight",
            )
        for share in route.shares:
            used.add(share.service)
            if share.service not in catalog.services:
                yield Finding(
                    Severity.FAULT,
                    path,
                    f"there is no service {share.service}",
                    "add the service or name another one",
                )
            elif share.weight == 0 and len(route.shares) > 1:
                yield Finding(
                    Severity.WARNING,
                    path,
                    f"service {share.service} has weight 0 and gets no requests",
                    "remove it or give it a weight",
                )
    for name in catalog.services:
        if name not in used:
            yield Finding(
                Severity.WARNING,
                f"services.{name}",
                "no route goes to this service",
                "add a route or remove the service",
            )


def _check_times(catalog: catalogs.Catalog) -> Iterator[Finding]:
    """Find times and attempts of routes that contradict each other."""
    for route in _list_routes(catalog):
        path = f"routes.{route.name}"
        if route.timeout_ms <= 0 or route.target_latency_ms <= 0:
            yield Finding(
                Severity.FAULT,
                path,
                f"a timeout of {route.timeout_ms} ms and a target latency of "
                f"{route.target_latency_ms} ms leave no time to answer",
                "set both above 0",
            )
        elif route.target_latency_ms > route.timeout_ms:
            yield Finding(
                Severity.WARNING,
                f"{path}.target_latency_ms",
                f"{route.target_latency_ms} ms is over the timeout of "
                f"{route.timeout_ms} ms, so that no answer is ever late",
                "lower the target latency or raise the timeout",
            )
        if route.attempts_max > 1 and not route.is_idempotent:
            yield Finding(
                Severity.WARNING,
                f"{path}.attempts_max",
                f"{route.attempts_max} attempts, but requests that may not be "
                "repeated run once",
                "set it to 1 or allow repeats",
            )
    for service in catalog.services.values():
        if service.cold_start_ms > 0 and service.cold_per_s == 0:
            yield Finding(
                Severity.WARNING,
                f"services.{service.name}.cold_per_s",
                f"a cold start of {service.cold_start_ms} ms without a rate has no "
                "effect",
                "set the rate or remove the cold start",
            )
        if service.connections_max < 1:
            yield Finding(
                Severity.FAULT,
                f"services.{service.name}.connections_max",
                f"{service.connections_max} connections can serve no request",
                "set it to 1 or more",
            )


def _check_limits(limits: catalogs.CallerLimits) -> Iterator[Finding]:
    for name, value in limits._asdict().items():
        if value <= 0:
            yield Finding(
                Severity.FAULT,
                f"limits.{name}",
                f"{value} admits no request",
                "set it above 0",
            )
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield Finding(
            Severity.WARNING,
            "limits.header_timeout_ms",
            f"{limits.header_timeout_ms} ms is over the idle timeout of "
            f"{limits.idle_timeout_ms} ms, which ends a connection first",
            "lower it or raise the idle timeout",
        )


def _check_organisations(catalog: catalogs.Catalog) -> Iterator[Finding]:
    """Find organisations that cannot send requests, on all routes or on one."""
    if catalog.organisations is None:
        return
    routes = [route for route in _list_routes(catalog) if not route.is_public]
    for organisation in catalog.organisations.by_name.values():
        path = f"organisations.{organisation.name}"
        if not organisation.key_digests:
            yield Finding(
                Severity.WARNING,
                f"{path}.key_digests",
                "without a key nobody can send requests for it",
                "give it a key or remove it",
            )
        for route in routes:
            homes = (organisation.home_regions, route.home_regions)
            if all(homes) and not homes[0] & homes[1]:
                yield Finding(
                    Severity.WARNING,
                    f"{path}.home_regions",
                    f"route {route.name} has no home region in common, so that all "
                    "its requests there are refused",
                    "give both a common region",
                )


def _list_fields(catalog: catalogs.Catalog) -> Iterator[tuple[str, str]]:
    yield "version", str(catalog.version)
    entries = [(f"routes.{route.name}", route) for route in _list_routes(catalog)]
    entries += [(f"services.{name}", found) for name, found in catalog.services.items()]
    if catalog.organisations is not None:
        known = catalog.organisations.by_name
        entries += [(f"organisations.{name}", found) for name, found in known.items()]
    for path, entry in (*entries, ("limits", catalog.limits)):
        for name, value in entry._asdict().items():
            if name != "name":
                yield f"{path}.{name}", _format(value)


def _format(value: object) -> str:
    match value:
        case frozenset():
            return ", ".join(sorted(map(_format, value)))
        case bytes():
            return value.hex()[:DIGEST_DIGITS]
        case organisations.Quota(rate_per_s, burst):
            return f"{rate_per_s:g} a second, burst {burst:g}"
        case tuple():
            return ", ".join(f"{share.service} {share.weight:g}" for share in value)
        case _:
            return str(value)
