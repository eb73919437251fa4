"""Acknowledgements of revisions that revoked shards, and the wait for old leases.

Once voters with at least half of the votes have acknowledged a revision, a member that
lost a shard by it can get no new lease without knowing the revision. One lease later
its previous lease has expired.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from fuchsiamoor.core import settings, tables
from fuchsiamoor.ownership import votes


@dataclass(slots=True)
class Acknowledgements:
    """Acknowledged revisions of one domain.

    Parameters
    ----------
    known_revision : dict of str to int
        Newest revision that each member has acknowledged.
    acknowledged_ms : dict of int to int
        For each awaited revision, when enough votes had acknowledged it.
    """

    known_revision: dict[str, int] = field(default_factory=dict)
    acknowledged_ms: dict[int, int] = field(default_factory=dict)


def record_known_revision(
    acks: Acknowledgements, member_id: str, revision: int
) -> bool:
    """Record a revision that a member knows; return whether it is newer."""
    if acks.known_revision.get(member_id, 0) >= revision:
        return False
    acks.known_revision[member_id] = revision
    return True


def update_acknowledged(
    acks: Acknowledgements,
    table: tables.ShardTable,
    ended: Container[str],
    now_ms: int,
) -> None:
    """Record when enough votes have acknowledged each awaited revision.

    Parameters
    ----------
    acks : Acknowledgements
    table : ShardTable
        Last table that the store confirmed.
    ended : container of str
        Members that have ended and cannot vouch any more.
    now_ms : int
        Monotonic time, in milliseconds.
    """
    awaited = list_awaited_revisions(table)
    acks.acknowledged_ms = {
        revision: at_ms
        for revision, at_ms in acks.acknowledged_ms.items()
        if revision in awaited
    }
    for revision in awaited - acks.acknowledged_ms.keys():
        if votes.is_acknowledged(
            table,
            lambda voter_id, r=revision: _has_acknowledged(acks, ended, voter_id, r),
        ):
            acks.acknowledged_ms[revision] = now_ms


def list_awaited_revisions(table: tables.ShardTable) -> set[int]:
    """Return the revisions that await acknowledgements or the expiry of a lease."""
    awaited = {entry.revision for entry in table.pending.values()}
    if table.previous_voters:
        awaited.add(table.voters_revision)
    return awaited


def list_unacknowledged_voters(
    acks: Acknowledgements, table: tables.ShardTable
) -> list[str]:
    """Return the voters that have not acknowledged the newest awaited revision."""
    awaited = max(list_awaited_revisions(table), default=0)
    return [
        voter_id
        for voter_id in votes.list_voter_ids(table)
        if acks.known_revision.get(voter_id, 0) < awaited
    ]


def have_old_leases_expired(
    acks: Acknowledgements,
    revision: int,
    longest_run_ms: int,
    now_ms: int,
    timing: settings.Timing,
) -> bool:
    """Return whether the leases that a revision revoked have expired.

    From then on no previous owner can serve the shards that the revision reassigned.

    Parameters
    ----------
    acks : Acknowledgements
    revision : int
    longest_run_ms : int
        Time that work begun under a lease may outlast it, in milliseconds; 0 if the
        upstream checks grants.
    now_ms : int
        Monotonic time, in milliseconds.
    timing : Timing

    Returns
    -------
    bool
    """
    at_ms = acks.acknowledged_ms.get(revision)
    if at_ms is None:
        return False
    return now_ms - at_ms > compute_expiry_wait_ms(longest_run_ms, timing)


def compute_expiry_wait_ms(longest_run_ms: int, timing: settings.Timing) -> int:
    """Return the time after the acknowledgements until old leases have expired.

    In milliseconds; it covers work that outlasts its lease, and clock drift.
    """
    return int((timing.lease_ms + longest_run_ms) * (1 + timing.drift_ratio)) + 1


def _has_acknowledged(
    acks: Acknowledgements, ended: Container[str], voter_id: str, revision: int
) -> bool:
    return voter_id in ended or acks.known_revision.get(voter_id, 0) >= revision
