"""Identity and hash of keys, and ids of ownership domains."""

from typing import NamedTuple

import xxhash


class KeyId(NamedTuple):
    """A key's full identity: the same text under two tenants is two different keys."""

    service: str
    tenant: str
    key: str


def make_domain_id(service: str, home_regions: frozenset[str]) -> str:
    """Return the id of the ownership domain of a service and a set of home regions.

    Examples
    --------
    >>> make_domain_id("stock", frozenset({"b", "a"}))
    'stock@a+b'
    """
    return f"{service}@{'+'.join(sorted(home_regions))}"


def split_domain_id(domain: str) -> tuple[str, frozenset[str]]:
    """Return the service and the home regions of a domain by its id.

    Examples
    --------
    >>> split_domain_id("stock@a")
    ('stock', frozenset({'a'}))
    """
    service, _, regions = domain.rpartition("@")
    return service, frozenset(regions.split("+"))


def hash_key(key_id: KeyId) -> int:
    """Return the 64-bit hash of a key."""
    return xxhash.xxh3_64_intdigest(f"{key_id.tenant}\0{key_id.key}".encode())
