"""Candidacy: takes the role of coordinator where a domain seems to have none.

Members wait in an order that differs for each domain, so that one of them is first and
the roles spread over the daemons, and back off while the role is held.
"""

import asyncio
import random
from typing import NamedTuple

import xxhash

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import coordinating
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.store import port

CANDIDATE_CHECK_MS = 50
FIRST_RETRY_MS = 100
LARGEST_RETRY_MS = 10_000
RESIGNED_REST_MS = 10_000
RANK_DELAY_MS = 150
LARGEST_RANK_DELAY_MS = 5_000


class Candidacy(NamedTuple):
    """Waiting to take over a domain.

    Parameters
    ----------
    tries : int
        Made so far.
    due_ms : int
        Monotonic time of the next.
    """

    tries: int
    due_ms: int


async def run_candidacies(node: nodes.Node) -> None:
    """Take over the domains of this daemon that seem to have no coordinator."""
    candidacies: dict[str, Candidacy] = {}
    while True:
        await asyncio.sleep(CANDIDATE_CHECK_MS / 1000)
        now_ms = node.now_ms()
        for domain, holder in list(node.holders.items()):
            if not _needs_coordinator(node, domain, holder):
                candidacies.pop(domain, None)
                continue
            if domain not in candidacies:
                due_ms = now_ms + _rank_delay_ms(node, domain)
                candidacies[domain] = Candidacy(0, due_ms)
            tries, due_ms = candidacies[domain]
            if now_ms >= due_ms:
                candidacies[domain] = Candidacy(
                    tries + 1, now_ms + compute_retry_ms(tries, node.rng)
                )
                nodes.spawn(node, _try_coordinating(node, domain), "candidacy")


def compute_retry_ms(tries: int, rng: random.Random) -> int:
    """Return the time until the next try to coordinate, doubling with each.

    Examples
    --------
    >>> compute_retry_ms(0, random.Random(1)) <= FIRST_RETRY_MS
    True
    """
    longest_ms = min(FIRST_RETRY_MS * 2**tries, LARGEST_RETRY_MS)
    return int(longest_ms * rng.uniform(0.5, 1.0))


def _needs_coordinator(node, domain: str, holder: holders.LeaseHolder) -> bool:
    if domain in node.coordinating or node.superseded or node.leaving:
        return False
    if node.member.registered_version == 0 or _is_out(node):
        return False
    resigned_ms = node.resigned_ms.get(domain)
    if resigned_ms is not None and node.now_ms() - resigned_ms < RESIGNED_REST_MS:
        return False
    renewed_ms = holder.renewed_sent_ms
    return (
        renewed_ms is None
        or node.now_ms() - renewed_ms > 2 * node.settings.timing.renew_every_ms
    )


def _is_out(node: nodes.Node) -> bool:
    return node.settings.data_centre in node.knowledge.configuration.data_centres_out


def _rank_delay_ms(node: nodes.Node, domain: str) -> int:
    own_score = _score(domain, node.member.instance)
    rank = sum(
        1
        for member in node.knowledge.directory.by_instance.values()
        if member.service == node.member.service
        and _score(domain, member.instance) > own_score
    )
    return min(rank * RANK_DELAY_MS, LARGEST_RANK_DELAY_MS)


def _score(domain: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{domain}\0{instance}".encode())


async def _try_coordinating(node: nodes.Node, domain: str) -> None:
    timing = node.settings.timing
    try:
        holder = await node.store.get(coordinating.coordinator_key(domain))
        if holder is not None:
            node.coordinator_hints[domain] = holder.value.decode()
            return
        sent_ms = node.now_ms()
        lease_id = await node.store.grant_lease(timing.store_lease_ms)
        taken = await _take_role(node, domain, lease_id)
        if not taken:
            await node.store.revoke_lease(lease_id)
            return
        entry = await node.store.get(coordinating.table_key(domain))
    except errors.StoreError:
        node.metrics.count("coordinator.acquire_failed")
        return
    await coordinating.coordinate(node, domain, lease_id, entry, sent_ms)


async def _take_role(node: nodes.Node, domain: str, lease_id: str) -> bool:
    result = await node.store.swap(
        coordinating.coordinator_key(domain),
        port.ABSENT,
        node.member.member_id.encode(),
        lease_id,
    )
    match result:
        case port.Swapped():
            return True
        case port.Conflict(current) if current is not None:
            node.coordinator_hints[domain] = current.value.decode()
    return False
