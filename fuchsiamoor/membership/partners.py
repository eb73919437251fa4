"""Selection of gossip partners, the members with which a daemon exchanges state.

Each daemon has a small fixed set of partners, so that the number of its links does not
grow with the number of members. Some exchanges go to a random member instead, so that
no group of mutual partners is isolated from the others.
"""

import heapq
import random
from collections.abc import Iterable

import xxhash

PARTNER_COUNT = 4
# Share of exchanges that go to a random member.
RANDOM_MEMBER_RATIO = 0.1


def list_partners(own_id: str, member_ids: Iterable[str]) -> list[str]:
    """Return the fixed partners of a member, chosen by rendezvous hashing.

    The loss of a member therefore replaces no other partner.

    Parameters
    ----------
    own_id : str
    member_ids : iterable of str
        All members; ``own_id`` may be among them and is ignored.

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
    """Return the partner of the next exchange, None if there is no other member.

    Parameters
    ----------
    own_id : str
    member_ids : list of str
    rng : random.Random
    """
    if rng.random() < RANDOM_MEMBER_RATIO:
        candidates = [member_id for member_id in member_ids if member_id != own_id]
    else:
        candidates = list_partners(own_id, member_ids)
    return rng.choice(candidates) if candidates else None
