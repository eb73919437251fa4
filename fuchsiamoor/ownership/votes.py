"""Voters of a domain: their selection and the quorums that decisions need.

Every data centre has the same number of votes, however many voters it has. Leases by
vouches need more than half of the votes and acknowledgements at least half, so that
the two quorums always have a voter in common.
"""

from collections.abc import Callable, Iterable

from fuchsiamoor.core import members, tables

VOTERS_PER_DATA_CENTRE = 3
VOTES_PER_DATA_CENTRE = 6


def choose_voters(
    candidates: Iterable[members.Member], current: tuple[tables.Voter, ...] = ()
) -> tuple[tables.Voter, ...]:
    """Choose voters evenly over data centres, preferring the current voters.

    Examples
    --------
    >>> choose_voters([])
    ()
    """
    present = {voter.member_id for voter in current}
    by_data_centre: dict[str, list[members.Member]] = {}
    for member in candidates:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    chosen = []
    for data_centre in sorted(by_data_centre):
        ranked = sorted(
            by_data_centre[data_centre],
            key=lambda member: (member.member_id not in present, member.member_id),
        )[:VOTERS_PER_DATA_CENTRE]
        votes = VOTES_PER_DATA_CENTRE // len(ranked)
        chosen += [tables.Voter(member.member_id, votes) for member in ranked]
    return tuple(sorted(chosen))


def is_more_than_half(
    voters: tuple[tables.Voter, ...], agrees: Callable[[str], bool]
) -> bool:
    """Return whether the agreeing voters have more than half of the votes.

    Examples
    --------
    >>> pair = (tables.Voter("a", 6), tables.Voter("b", 6))
    >>> is_more_than_half(pair, lambda name: name == "a")
    False
    """
    given = sum(voter.votes for voter in voters if agrees(voter.member_id))
    return 2 * given > sum(voter.votes for voter in voters)


def is_at_least_half(
    voters: tuple[tables.Voter, ...], agrees: Callable[[str], bool]
) -> bool:
    """Return whether the agreeing voters have at least half of the votes.

    True for an empty set, as without voters no lease by vouches exists.

    Examples
    --------
    >>> pair = (tables.Voter("a", 6), tables.Voter("b", 6))
    >>> is_at_least_half(pair, lambda name: name == "a")
    True
    """
    given = sum(voter.votes for voter in voters if agrees(voter.member_id))
    return 2 * given >= sum(voter.votes for voter in voters)


def is_acknowledged(table: tables.ShardTable, agrees: Callable[[str], bool]) -> bool:
    """Return whether at least half of the votes agree.

    While the voters change, both the new and the previous set have to agree.
    """
    return is_at_least_half(table.voters, agrees) and is_at_least_half(
        table.previous_voters, agrees
    )


def find_majority_ms(
    voters: tuple[tables.Voter, ...], sent_ms: dict[str, int]
) -> int | None:
    """Return the latest time up to which more than half of the votes were vouched.

    Parameters
    ----------
    voters : tuple of Voter
    sent_ms : dict of str to int
        For each voter that vouched, the sending time of the request, in milliseconds.

    Examples
    --------
    >>> pair = (tables.Voter("a", 6), tables.Voter("b", 6))
    >>> find_majority_ms(pair, {"a": 10, "b": 7})
    7
    >>> find_majority_ms(pair, {"a": 10}) is None
    True
    """
    total = sum(voter.votes for voter in voters)
    asked = sorted(
        ((sent_ms[v.member_id], v.votes) for v in voters if v.member_id in sent_ms),
        reverse=True,
    )
    given = 0
    for at_ms, votes in asked:
        given += votes
        if 2 * given > total:
            return at_ms
    return None


def find_vouched_ms(table: tables.ShardTable, sent_ms: dict[str, int]) -> int | None:
    """Return the start of the lease by vouches, in milliseconds, None without one.

    While the voters change, a majority of the new and of the previous set is needed.
    """
    supported_ms = find_majority_ms(table.voters, sent_ms)
    if supported_ms is None or not table.previous_voters:
        return supported_ms
    previous_ms = find_majority_ms(table.previous_voters, sent_ms)
    if previous_ms is None:
        return None
    return min(supported_ms, previous_ms)


def list_voter_ids(table: tables.ShardTable) -> list[str]:
    """Return the member ids of both voter sets, sorted and without duplicates."""
    return sorted({voter.member_id for voter in table.voters + table.previous_voters})
