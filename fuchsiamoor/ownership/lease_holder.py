"""Lease holder: decides which shards a member may serve, and until when.

A member serves a shard while the newest table it knows names it as the owner and it
holds a lease. A lease is granted by the coordinator or by vouches with more than half
of the votes, and confirms that no later revision has taken a shard from the member. It
counts from the time at which the member sent the request.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import messages, settings, tables
from fuchsiamoor.ownership import voter, votes

NO_LEASE_MS = -1
_MISSED_RENEWALS_BEFORE_VOUCHES = 2


class LeaseRequest(NamedTuple):
    """A request for a lease, to be sent to a member.

    Its answer goes to `record_renewed`, `record_refused` or `record_vouched`.
    """

    member_id: str
    message: messages.Renew | messages.Vouch


class MayServe(NamedTuple):
    """The member owns the shard and may serve it.

    Parameters
    ----------
    epoch : int
        Fencing epoch of the assignment.
    lease_until_ms : int
        End of the lease on the member's own clock, in milliseconds.
    """

    epoch: int
    lease_until_ms: int


class Wait(NamedTuple):
    """The shard has no owner, or this member owns it but may not serve it now."""

    reason: str


class NotOwner(NamedTuple):
    """Another member owns the shard."""

    owner_member_id: str


class ReleaseBegun(NamedTuple):
    """The shards admit no new work; running work has to end before the release."""

    shards: tuple[int, ...]


class Release(NamedTuple):
    """A shard that is being released for a planned move.

    Parameters
    ----------
    term : int
        Term of the coordinator that requested the release.
    move_id : int
    epoch : int
        Epoch of the released assignment; later assignments are not affected.
    """

    term: int
    move_id: int
    epoch: int


@dataclass(slots=True)
class LeaseHolder:
    """Lease state of one member in one domain.

    Parameters
    ----------
    member_id : str
    domain : str
    timing : Timing
    table : ShardTable or None
        Newest table adopted.
    renewed_sent_ms : int or None
        Sending time of the latest `Renew` that was granted.
    vouched_sent_ms : dict of str to int
        For each voter, sending time of the latest `Vouch` that it granted.
    lease_until_ms : int
        End of the current lease, `NO_LEASE_MS` without one.
    refused : bool
        Whether the latest answer to a `Renew` was a refusal.
    owns_any : bool
        Whether the table names the member as the owner of any shard.
    renew_due_ms, vouch_due_ms : int
        Times of the next requests.
    releases : dict of int to Release
        Shards that are being released.
    last_move : tuple of int
        Term and id of the newest move; older ones are refused.
    retired : bool
        Whether a newer daemon process runs as this member's instance.
    """

    member_id: str
    domain: str
    timing: settings.Timing
    table: tables.ShardTable | None = None
    renewed_sent_ms: int | None = None
    vouched_sent_ms: dict[str, int] = field(default_factory=dict)
    lease_until_ms: int = NO_LEASE_MS
    refused: bool = False
    owns_any: bool = False
    renew_due_ms: int = 0
    vouch_due_ms: int = 0
    releases: dict[int, Release] = field(default_factory=dict)
    last_move: tuple[int, int] = (0, 0)
    retired: bool = False


def make_lease_holder(
    member_id: str, domain: str, timing: settings.Timing
) -> LeaseHolder:
    """Return a lease holder without a table, which owns nothing."""
    return LeaseHolder(member_id, domain, timing)


def adopt_table(holder: LeaseHolder, table: tables.ShardTable, now_ms: int) -> bool:
    """Adopt a table if it is newer than the known one.

    Parameters
    ----------
    holder : LeaseHolder
    table : ShardTable
        Table confirmed by the store.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    bool
        Whether the table was newer.
    """
    known = holder.table
    if table.domain != holder.domain or (known and not tables.is_newer(table, known)):
        return False
    holder.table = table
    holder.owns_any = holder.member_id in table.owners
    if known is None or _needs_renewal(holder, known, table):
        holder.renew_due_ms = now_ms
    holder.releases = {
        shard: release
        for shard, release in holder.releases.items()
        if _is_release_valid(table, shard, release)
    }
    _refresh_lease(holder)
    return True


def retire(holder: LeaseHolder, now_ms: int) -> None:
    """End the lease for good, as a newer daemon process runs as this instance."""
    holder.retired = True
    holder.lease_until_ms = min(holder.lease_until_ms, now_ms)


def record_renewed(
    holder: LeaseHolder, sender_id: str, renewed: messages.Renewed, sent_ms: int
) -> None:
    """Extend the lease by a coordinator's grant, from the time of its `Renew`.

    ``sent_ms`` is the sending time of the `Renew`, in milliseconds.
    """
    if renewed.domain != holder.domain:
        return
    if holder.renewed_sent_ms is None or sent_ms > holder.renewed_sent_ms:
        holder.refused = False
        holder.renewed_sent_ms = sent_ms
        _refresh_lease(holder)


def record_refused(holder: LeaseHolder, refused: messages.RenewRefused) -> None:
    """Mark the renewal as refused, so that the voters are asked at once."""
    if refused.domain == holder.domain:
        holder.refused = True


def record_vouched(
    holder: LeaseHolder, voter_id: str, vouched: messages.Vouched, sent_ms: int
) -> None:
    """Record a voter's vouch, which counts from the time of its `Vouch`.

    ``sent_ms`` is the sending time of the `Vouch`, in milliseconds.
    """
    if vouched.domain != holder.domain:
        return
    if sent_ms > holder.vouched_sent_ms.get(voter_id, NO_LEASE_MS):
        holder.vouched_sent_ms[voter_id] = sent_ms
        _refresh_lease(holder)


def list_due_requests(
    holder: LeaseHolder,
    now_ms: int,
    load: messages.MemberLoad,
    configuration_revision: int,
) -> list[LeaseRequest]:
    """Return the requests that are due, and schedule the next ones.

    Voters are asked only if the coordinator refused a renewal or granted none for two
    intervals. A retired member that is still a voter continues to report which
    revision it knows, and that it is leaving.

    Parameters
    ----------
    holder : LeaseHolder
    now_ms : int
        Monotonic time, in milliseconds; the sending time of the requests.
    load : MemberLoad
    configuration_revision : int

    Returns
    -------
    list of LeaseRequest
    """
    table = holder.table
    if table is None or not _takes_part(holder, table):
        return []
    requests = []
    if table.coordinator and now_ms >= holder.renew_due_ms:
        holder.renew_due_ms = now_ms + holder.timing.renew_every_ms
        if holder.retired:
            load = load._replace(upstream_ready=False, leaving=True)
        renew = messages.Renew(
            holder.domain,
            holder.member_id,
            table.revision,
            configuration_revision,
            load,
        )
        requests.append(LeaseRequest(table.coordinator, renew))
    if _needs_vouches(holder, now_ms):
        holder.vouch_due_ms = now_ms + holder.timing.renew_every_ms
        requests += _make_vouch_requests(holder, table, now_ms)
    return requests


def compute_next_request_ms(holder: LeaseHolder) -> int | None:
    """Return when the next request is due, None if none will be.

    Monotonic time, in milliseconds; a new table may make requests due earlier.
    """
    if holder.table is None or not _takes_part(holder, holder.table):
        return None
    if holder.retired or not holder.owns_any:
        return holder.renew_due_ms
    return min(
        holder.renew_due_ms, max(holder.vouch_due_ms, _compute_vouch_start_ms(holder))
    )


def lease_until_ms(holder: LeaseHolder) -> int:
    """Return the end of the lease on the member's own clock, in milliseconds.

    `NO_LEASE_MS` if there is none. The lease covers every shard that the table assigns
    to the member.
    """
    return holder.lease_until_ms


def check_serve(
    holder: LeaseHolder, shard: int, now_ms: int
) -> MayServe | Wait | NotOwner:
    """Decide whether the member may serve a shard now.

    Parameters
    ----------
    holder : LeaseHolder
    shard : int
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    MayServe | Wait | NotOwner
    """
    table = holder.table
    if table is None:
        return Wait("no table known")
    if shard >= len(table.owners) or table.owners[shard] == tables.NO_OWNER:
        return Wait("no owner")
    owner = table.owners[shard]
    if owner != holder.member_id:
        return NotOwner(owner)
    if shard in table.pending:
        return Wait("previous owner's lease may still hold")
    if shard in holder.releases:
        return Wait("being released")
    if now_ms >= holder.lease_until_ms:
        return Wait("no lease")
    return MayServe(table.epochs[shard], holder.lease_until_ms)


def begin_release(
    holder: LeaseHolder, prepare: messages.Prepare
) -> ReleaseBegun | messages.ReleaseRefused:
    """Stop admitting work for shards that a coordinator is about to move.

    Parameters
    ----------
    holder : LeaseHolder
    prepare : Prepare

    Returns
    -------
    ReleaseBegun | ReleaseRefused
    """
    table = holder.table
    refusal = messages.ReleaseRefused(prepare.domain, prepare.move_id)
    if table is None or prepare.domain != holder.domain or prepare.term != table.term:
        return refusal
    move = (prepare.term, prepare.move_id)
    if move < holder.last_move:
        return refusal
    if any(not _may_release(holder, table, shard, move) for shard in prepare.shards):
        return refusal
    holder.last_move = move
    for shard in prepare.shards:
        holder.releases[shard] = Release(*move, table.epochs[shard])
    return ReleaseBegun(prepare.shards)


def finish_release(
    holder: LeaseHolder, prepare: messages.Prepare
) -> messages.Released | messages.ReleaseRefused:
    """Return the answer to a `Prepare`, once all work for its shards has ended."""
    move = (prepare.term, prepare.move_id)
    releases = [holder.releases.get(shard) for shard in prepare.shards]
    if any(release is None or release[:2] != move for release in releases):
        return messages.ReleaseRefused(prepare.domain, prepare.move_id)
    return messages.Released(
        prepare.domain, prepare.term, prepare.move_id, prepare.shards
    )


def abort_release(holder: LeaseHolder, abort: messages.AbortMove) -> tuple[int, ...]:
    """Resume serving the shards of an aborted move; return them."""
    if abort.domain != holder.domain:
        return ()
    move = (abort.term, abort.move_id)
    shards = tuple(s for s, release in holder.releases.items() if release[:2] == move)
    for shard in shards:
        del holder.releases[shard]
    holder.last_move = max(holder.last_move, (abort.term, abort.move_id + 1))
    return shards


def _may_release(
    holder: LeaseHolder, table: tables.ShardTable, shard: int, move: tuple[int, int]
) -> bool:
    if shard >= len(table.owners) or table.owners[shard] != holder.member_id:
        return False
    release = holder.releases.get(shard)
    return shard not in table.pending and (release is None or release[:2] == move)


def _is_release_valid(table: tables.ShardTable, shard: int, release: Release) -> bool:
    if shard >= len(table.epochs):
        return False
    return table.term <= release.term and table.epochs[shard] == release.epoch


def _takes_part(holder: LeaseHolder, table: tables.ShardTable) -> bool:
    return not holder.retired or holder.member_id in votes.list_voter_ids(table)


def _needs_renewal(
    holder: LeaseHolder, known: tables.ShardTable, table: tables.ShardTable
) -> bool:
    if table.term > known.term:
        return True
    return table.lost.get(holder.member_id, 0) > known.revision


def _refresh_lease(holder: LeaseHolder) -> None:
    if holder.table is None or holder.retired:
        return
    holder.lease_until_ms = NO_LEASE_MS
    found = (
        holder.renewed_sent_ms,
        votes.find_vouched_ms(holder.table, holder.vouched_sent_ms),
    )
    sent_ms = max((at_ms for at_ms in found if at_ms is not None), default=None)
    if sent_ms is not None:
        holder.lease_until_ms = sent_ms + shorten_by_drift(
            holder.timing.lease_ms, holder.timing
        )


def shorten_by_drift(duration_ms: int, timing: settings.Timing) -> int:
    """Return a duration reduced by the allowance for clock drift, in milliseconds.

    Examples
    --------
    >>> shorten_by_drift(800, settings.Timing(drift_ratio=0.001))
    799
    """
    return int(duration_ms * (1 - timing.drift_ratio))


def _needs_vouches(holder: LeaseHolder, now_ms: int) -> bool:
    if holder.retired or not holder.owns_any or now_ms < holder.vouch_due_ms:
        return False
    return now_ms >= _compute_vouch_start_ms(holder)


def _compute_vouch_start_ms(holder: LeaseHolder) -> int:
    if holder.refused or holder.renewed_sent_ms is None:
        return NO_LEASE_MS
    wait_ms = _MISSED_RENEWALS_BEFORE_VOUCHES * holder.timing.renew_every_ms
    return holder.renewed_sent_ms + wait_ms


def _make_vouch_requests(
    holder: LeaseHolder, table: tables.ShardTable, now_ms: int
) -> list[LeaseRequest]:
    vouch = messages.Vouch(
        holder.domain, holder.member_id, table.revision, table.voters_revision
    )
    requests = []
    for voter_id in votes.list_voter_ids(table):
        if voter_id != holder.member_id:
            requests.append(LeaseRequest(voter_id, vouch))
            continue
        own = voter.answer_vouch(table, holder.member_id, vouch)
        if isinstance(own, messages.Vouched):
            record_vouched(holder, voter_id, own, now_ms)
    return requests
