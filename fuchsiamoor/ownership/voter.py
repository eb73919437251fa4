"""Voter: decides whether to vouch for another member's ownership."""

from fuchsiamoor.core import messages, tables
from fuchsiamoor.ownership import votes


def answer_vouch(
    table: tables.ShardTable | None, own_member_id: str, vouch: messages.Vouch
) -> messages.Vouched | messages.VouchRefused:
    """Vouch for a member unless a known revision took a shard from it.

    The voter also refuses a member that knows older voters than it does.

    Parameters
    ----------
    table : ShardTable or None
        Newest table known to the voter.
    own_member_id : str
    vouch : Vouch

    Returns
    -------
    Vouched | VouchRefused
        ``Vouched`` carries the requester's revision, ``VouchRefused`` the voter's.
    """
    if table is None or table.domain != vouch.domain:
        return messages.VouchRefused(vouch.domain, 0)
    if own_member_id not in votes.list_voter_ids(table):
        return messages.VouchRefused(vouch.domain, table.revision)
    if table.lost.get(vouch.member_id, 0) > vouch.revision:
        return messages.VouchRefused(vouch.domain, table.revision)
    if table.voters_revision > vouch.voters_revision:
        return messages.VouchRefused(vouch.domain, table.revision)
    return messages.Vouched(vouch.domain, vouch.revision)


def acknowledge_table(table: tables.ShardTable) -> messages.TableAcked:
    """Return the answer to a `TablePush`.

    ``table`` is the newest table that the receiver has adopted, which may be newer
    than the one pushed.
    """
    return messages.TableAcked(table.domain, table.revision)
