"""Coordinator election: claims the coordinator role of domains that seem to lack one.

Members are ranked by a hash that differs for each domain, and each waits in proportion
to its rank. One member therefore tries first, and the roles spread over the daemons.
While another member holds the role, attempts back off exponentially.
"""

import asyncio
import random
from typing import NamedTuple

import xxhash

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import coordinator_role
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.store import port

CHECK_INTERVAL_MS = 50
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 10_000
CANDIDACY_PAUSE_MS = 10_000
RANK_DELAY_MS = 150
MAX_RANK_DELAY_MS = 5_000


class ElectionAttempts(NamedTuple):
    """Attempts to become the coordinator of one domain.

    Parameters
    ----------
    attempts : int
        Number of attempts made so far.
    next_attempt_ms : int
        Monotonic time of the next attempt.
    """

    attempts: int
    next_attempt_ms: int


async def run_elections(node: nodes.Node) -> None:
    """Claim the coordinator role of this daemon's domains that seem to lack one."""
    attempts_by_domain: dict[str, ElectionAttempts] = {}
    while True:
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        now_ms = node.now_ms()
        for domain, holder in list(node.holders.items()):
            if not _needs_coordinator(node, domain, holder):
                attempts_by_domain.pop(domain, None)
                continue
            if domain not in attempts_by_domain:
                next_attempt_ms = now_ms + _compute_rank_delay_ms(node, domain)
                attempts_by_domain[domain] = ElectionAttempts(0, next_attempt_ms)
            attempts, next_attempt_ms = attempts_by_domain[domain]
            if now_ms >= next_attempt_ms:
                attempts_by_domain[domain] = ElectionAttempts(
                    attempts + 1, now_ms + compute_retry_ms(attempts, node.rng)
                )
                nodes.spawn(node, _attempt_election(node, domain), "candidacy")


def compute_retry_ms(attempts: int, rng: random.Random) -> int:
    """Return the jittered delay before the next attempt, which doubles each time.

    Examples
    --------
    >>> compute_retry_ms(0, random.Random(1)) <= FIRST_RETRY_MS
    True
    """
    max_delay_ms = min(FIRST_RETRY_MS * 2**attempts, MAX_RETRY_MS)
    return int(max_delay_ms * rng.uniform(0.5, 1.0))


def _needs_coordinator(node, domain: str, holder: holders.LeaseHolder) -> bool:
    if domain in node.coordinator_roles or node.superseded or node.leaving:
        return False
    if node.member.registered_version == 0 or _is_data_centre_out(node):
        return False
    paused_ms = node.candidacy_paused_ms.get(domain)
    if paused_ms is not None and node.now_ms() - paused_ms < CANDIDACY_PAUSE_MS:
        return False
    renewed_ms = holder.renewed_sent_ms
    return (
        renewed_ms is None
        or node.now_ms() - renewed_ms > 2 * node.settings.timing.renew_every_ms
    )


def _is_data_centre_out(node: nodes.Node) -> bool:
    return (
        node.settings.data_centre in node.cluster_state.configuration.data_centres_out
    )


def _compute_rank_delay_ms(node: nodes.Node, domain: str) -> int:
    own_score = _compute_score(domain, node.member.instance)
    rank = sum(
        1
        for member in node.cluster_state.directory.by_instance.values()
        if member.service == node.member.service
        and _compute_score(domain, member.instance) > own_score
    )
    return min(rank * RANK_DELAY_MS, MAX_RANK_DELAY_MS)


def _compute_score(domain: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{domain}\0{instance}".encode())


async def _attempt_election(node: nodes.Node, domain: str) -> None:
    timing = node.settings.timing
    try:
        coordinator_entry = await node.store.get(
            coordinator_role.coordinator_key(domain)
        )
        if coordinator_entry is not None:
            node.coordinator_hints[domain] = coordinator_entry.value.decode()
            return
        sent_ms = node.now_ms()
        lease_id = await node.store.grant_lease(timing.store_lease_ms)
        claimed = await _claim_role(node, domain, lease_id)
        if not claimed:
            await node.store.revoke_lease(lease_id)
            return
        table_entry = await node.store.get(coordinator_role.table_key(domain))
    except errors.StoreError:
        node.metrics.count("coordinator.acquire_failed")
        return
    await coordinator_role.run_coordinator(node, domain, lease_id, table_entry, sent_ms)


async def _claim_role(node: nodes.Node, domain: str, lease_id: str) -> bool:
    result = await node.store.swap(
        coordinator_role.coordinator_key(domain),
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
