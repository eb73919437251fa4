"""Organisations whose callers prove by a key that they may send requests."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import NamedTuple

# Ranks of routes lie below this, so that an organisation's priority comes first.
RANKS_PER_PRIORITY = 1_000
# Digests are looked up by their first bytes and then compared in constant time.
_PREFIX_BYTES = 8


class Quota(NamedTuple):
    """Limit on the requests that all daemons together run for an organisation.

    Parameters
    ----------
    rate_per_s : float
    burst : float
        Requests that may run at once after a time without any.
    """

    rate_per_s: float
    burst: float


class Organisation(NamedTuple):
    """An organisation on whose behalf callers send requests.

    Parameters
    ----------
    name : str
    key_digests : frozenset of bytes
        Digests of its keys; the keys themselves are not kept.
    priority : int
        0 is served first; precedes the rank of the route.
    quota : Quota or None
        None for no limit.
    home_regions : frozenset of str
        Regions in which its requests may be processed; empty for all.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int = 0
    quota: Quota | None = None
    home_regions: frozenset[str] = frozenset()


class Organisations(NamedTuple):
    """All organisations of a catalog.

    Parameters
    ----------
    by_name : dict of str to Organisation
    by_prefix : dict of bytes to tuple
        Pairs of a digest and the name of its organisation, by the digest's first bytes.
    """

    by_name: dict[str, Organisation]
    by_prefix: dict[bytes, tuple[tuple[bytes, str], ...]]


def make_organisations(given: Iterable[Organisation]) -> Organisations:
    """Return an index of organisations by name and by key.

    Raises
    ------
    ValueError
        If a name or a key occurs twice. The message contains no key.
    """
    found = Organisations({}, {})
    for organisation in given:
        if organisation.name in found.by_name:
            raise ValueError(f"organisation {organisation.name!r:.80}: named twice")
        found.by_name[organisation.name] = organisation
        for digest in organisation.key_digests:
            others = found.by_prefix.get(digest[:_PREFIX_BYTES], ())
            if any(digest == other for other, _ in others):
                raise ValueError(
                    f"organisation {organisation.name!r:.80}: has another one's key"
                )
            found.by_prefix[digest[:_PREFIX_BYTES]] = (
                *others,
                (digest, organisation.name),
            )
    return found


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    return hashlib.sha256(key).digest()


def find_organisation(
    organisations: Organisations, key_digest: bytes
) -> Organisation | None:
    """Return the organisation that holds a key, None if none does.

    Examples
    --------
    >>> digest = digest_key(b"secret")
    >>> known = make_organisations([Organisation("lab", frozenset({digest}))])
    >>> find_organisation(known, digest).name
    'lab'
    >>> find_organisation(known, digest_key(b"other")) is None
    True
    """
    for digest, name in organisations.by_prefix.get(key_digest[:_PREFIX_BYTES], ()):
        if hmac.compare_digest(digest, key_digest):
            return organisations.by_name[name]
    return None


def compute_rank(organisation: Organisation, route_rank: int) -> int:
    """Return the rank of an organisation's request on a route.

    Examples
    --------
    >>> compute_rank(Organisation("lab", frozenset(), priority=2), 1)
    2001
    """
    return organisation.priority * RANKS_PER_PRIORITY + min(
        route_rank, RANKS_PER_PRIORITY - 1
    )
