"""Acknowledgements and the wait after them, for revisions that took shards away.

From the moment at which at least half of the votes know a revision, no member that it
took from gathers new evidence. One lease later its old evidence has run out.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from fuchsiamoor.core import settings, tables
from fuchsiamoor.ownership import votes


@dataclass(slots=True)
class Acknowledgements:
    """What is known of acknowledgements.

    Parameters
    ----------
    known_revision : dict of str to int
        Newest revision that each member is known to have adopted.
    acknowledged_ms : dict of int to int
        For each revision waited for, when enough votes knew it.
    """

    known_revision: dict[str, int] = field(default_factory=dict)
    acknowledged_ms: dict[int, int] = field(default_factory=dict)


def record_known_revision(
    acks: Acknowledgements, member_id: str, revision: int
) -> bool:
    """Note that a member knows a revision; return whether that is news."""
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
    """Start the wait of each revision that enough votes have come to know.

    Parameters
    ----------
    acks : Acknowledgements
    table : ShardTable
        As the store confirmed it.
    ended : container of str
        Members that vouch no more, as their runs are over.
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
    """Return the revisions of a table that wait for acknowledgements or a lease."""
    awaited = {entry.revision for entry in table.pending.values()}
    if table.previous_voters:
        awaited.add(table.voters_revision)
    return awaited


def list_unacknowledged_voters(
    acks: Acknowledgements, table: tables.ShardTable
) -> list[str]:
    """Return the voters that do not know the newest awaited revision."""
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
    """Return whether nothing that a revision took away can be served any more.

    Parameters
    ----------
    acks : Acknowledgements
    revision : int
    longest_run_ms : int
        Time that work begun under a lease may outlast it, in milliseconds; 0 where the
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
    """Return the time to wait after the acknowledgements, in milliseconds."""
    return int((timing.lease_ms + longest_run_ms) * (1 + timing.drift_ratio)) + 1


def _has_acknowledged(
    acks: Acknowledgements, ended: Container[str], voter_id: str, revision: int
) -> bool:
    return voter_id in ended or acks.known_revision.get(voter_id, 0) >= revision
