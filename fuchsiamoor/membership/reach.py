"""Reach: which members answer calls, as against only sending some.

A link may be broken in one direction. A member that goes on renewing its leases but
cannot be called serves nobody, so its coordinator calls it now and then.
"""

from dataclasses import dataclass, field

ASK_EVERY_MS = 500
PATIENCE_MS = 1_000


@dataclass(slots=True)
class Reach:
    """Calls made to members.

    Parameters
    ----------
    asked_ms : dict of str to int
        Time of the newest call to each member.
    answered_ms : dict of str to int
        Time of the newest call that was answered, or of the first that was made.
    """

    asked_ms: dict[str, int] = field(default_factory=dict)
    answered_ms: dict[str, int] = field(default_factory=dict)


def make_reach() -> Reach:
    """Return the reach of one that has called nobody."""
    return Reach()


def note_due(reach: Reach, member_id: str, now_ms: int) -> bool:
    """Return whether a member is to be called now, and count that as done."""
    asked_ms = reach.asked_ms.get(member_id)
    if asked_ms is not None and now_ms - asked_ms < ASK_EVERY_MS:
        return False
    reach.asked_ms[member_id] = now_ms
    reach.answered_ms.setdefault(member_id, now_ms)
    return True


def note_answer(reach: Reach, member_id: str, now_ms: int) -> None:
    """Count an answered call."""
    reach.answered_ms[member_id] = now_ms


def is_reached(reach: Reach, member_id: str, now_ms: int) -> bool:
    """Return whether a member answers calls; one never called is taken to.

    Examples
    --------
    >>> reach = make_reach()
    >>> note_due(reach, "a#1", 0), note_due(reach, "a#1", 400)
    (True, False)
    >>> is_reached(reach, "a#1", PATIENCE_MS), is_reached(reach, "a#1", 1_001)
    (True, False)
    """
    answered_ms = reach.answered_ms.get(member_id, now_ms)
    return now_ms - answered_ms <= PATIENCE_MS


def forget_others(reach: Reach, member_ids: set[str]) -> None:
    """Drop members that are no more."""
    for table in (reach.asked_ms, reach.answered_ms):
        for member_id in table.keys() - member_ids:
            del table[member_id]
