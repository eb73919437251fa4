"""A voter's side: whether to vouch for another member's ownership."""

from fuchsiamoor.core import messages, tables
from fuchsiamoor.ownership import votes


def answer_vouch(
    table: tables.ShardTable | None, own_member_id: str, vouch: messages.Vouch
) -> messages.Vouched | messages.VouchRefused:
    """Decide whether this voter knows of no revision that takes from the asker.

    Parameters
    ----------
    table : ShardTable or None
        Newest table known to the voter.
    own_member_id : str
    vouch : Vouch

    Returns
    -------
    Vouched | VouchRefused
        ``Vouched`` carries the asker's revision, ``VouchRefused`` the voter's.
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
    """Return the answer to a `TablePush`, after the receiver has adopted ``table``.

    ``table`` is the newest table known, which may be newer than the one pushed.
    """
    return messages.TableAcked(table.domain, table.revision)
