"""Rings of daemons, by which all of them find the allocators of an organisation.

A daemon has one point on the ring, the hash of its instance. An organisation belongs to
the first daemon at or after its own hash, so that a daemon that joins or leaves changes
the allocators of its neighbour's organisations only.
"""

import bisect
import hashlib
from collections.abc import Iterable
from typing import NamedTuple


class Ring(NamedTuple):
    """Daemons in the order of their points."""

    points: tuple[int, ...]
    instances: tuple[str, ...]


class Rings(NamedTuple):
    """The ring of all daemons, and that of each region.

    Parameters
    ----------
    whole : Ring
    by_region : dict of str to Ring
    """

    whole: Ring
    by_region: dict[str, Ring]


def make_rings(regions: dict[str, str]) -> Rings:
    """Return the rings of daemons, given the region of each instance."""
    by_region: dict[str, list[str]] = {}
    for instance, region in regions.items():
        by_region.setdefault(region, []).append(instance)
    return Rings(
        _make_ring(regions),
        {region: _make_ring(found) for region, found in by_region.items()},
    )


def find_allocators(rings: Rings, organisation: str, parts_max: int) -> dict[str, str]:
    """Return an organisation's allocators by region.

    Parameters
    ----------
    rings : Rings
    organisation : str
    parts_max : int
        Largest number of allocators, 1 or more; a small burst is not divided further.
    """
    regions = list(rings.by_region)
    if len(regions) > parts_max:
        regions.sort(key=lambda region: _hash(f"{organisation} {region}"))
    point = _hash(organisation)
    found = {}
    for region in regions[:parts_max]:
        ring = rings.by_region[region]
        first = bisect.bisect_left(ring.points, point) % len(ring.points)
        found[region] = ring.instances[first]
    return found


def find_position(rings: Rings, organisation: str, instance: str) -> int | None:
    """Return how many daemons precede an instance, counted from an organisation.

    None if the instance is not on the ring.

    Examples
    --------
    >>> rings = make_rings({"a": "north", "b": "north", "c": "south"})
    >>> sorted(find_position(rings, "lab", name) for name in "abc")
    [0, 1, 2]
    """
    points, point = rings.whole.points, _hash(instance)
    own = bisect.bisect_left(points, point)
    if own == len(points) or points[own] != point:
        return None
    return (own - bisect.bisect_left(points, _hash(organisation))) % len(points)


def _make_ring(instances: Iterable[str]) -> Ring:
    ordered = sorted((_hash(instance), instance) for instance in instances)
    return Ring(
        tuple(point for point, _ in ordered),
        tuple(instance for _, instance in ordered),
    )


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")
