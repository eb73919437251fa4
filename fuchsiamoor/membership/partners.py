"""Gossip partners: the few members with whom a daemon exchanges state.

Each daemon has a small fixed set of partners, so that the number of its links does not
grow with the fleet, and now and then takes any member, so that no group stays apart.
"""

import heapq
import random
from collections.abc import Iterable

import xxhash

PARTNER_COUNT = 4
ANY_MEMBER_RATIO = 0.1


def list_partners(own_id: str, member_ids: Iterable[str]) -> list[str]:
    """Return the fixed partners of a member, the same for the same members.

    Parameters
    ----------
    own_id : str
    member_ids : iterable of str
        All members; the own one is left out.

    Examples
    --------
    >>> len(list_partners("a", ["a", "b", "c", "d", "e", "f", "g"]))
    4
    """
    others = [member_id for member_id in member_ids if member_id != own_id]
    return heapq.nlargest(
        PARTNER_COUNT,
        others,
        key=lambda member_id: xxhash.xxh3_64_intdigest(
            f"{own_id}\0{member_id}".encode()
        ),
    )


def choose_partner(
    own_id: str, member_ids: list[str], rng: random.Random
) -> str | None:
    """Return whom to exchange state with next, None if there is nobody.

    Parameters
    ----------
    own_id : str
    member_ids : list of str
    rng : random.Random
    """
    if rng.random() < ANY_MEMBER_RATIO:
        candidates = [member_id for member_id in member_ids if member_id != own_id]
    else:
        candidates = list_partners(own_id, member_ids)
    return rng.choice(candidates) if candidates else None
