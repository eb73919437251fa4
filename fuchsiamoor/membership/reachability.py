"""ProbeHistory: which members answer calls, as against only sending some.

A link may be broken in one direction. A member that goes on renewing its leases but
cannot be called serves nobody, so its coordinator calls it now and then.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

PROBE_INTERVAL_MS = 500
SILENT_PROBE_INTERVAL_MS = 100
SILENT_AFTER_MS = 350
FIRST_CONTACT_GRACE_MS = 1_150
UNREACHABLE_AFTER_MS = 1_000


@dataclass(slots=True)
class ProbeHistory:
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


def make_history() -> ProbeHistory:
    """Return the reach of one that has called nobody."""
    return ProbeHistory()


def record_due_probe(
    reach: ProbeHistory, member_id: str, now_ms: int, every_ms: int = PROBE_INTERVAL_MS
) -> bool:
    """Return whether a member is to be called now, and count that as done."""
    asked_ms = reach.asked_ms.get(member_id)
    if asked_ms is not None and now_ms - asked_ms < every_ms:
        return False
    reach.asked_ms[member_id] = now_ms
    reach.answered_ms.setdefault(member_id, now_ms)
    return True


def record_answer(reach: ProbeHistory, member_id: str, now_ms: int) -> None:
    """Count an answered call."""
    reach.answered_ms[member_id] = now_ms


def is_reachable(reach: ProbeHistory, member_id: str, now_ms: int) -> bool:
    """Return whether a member answers calls; one never called is taken to.

    Examples
    --------
    >>> reach = make_history()
    >>> record_due_probe(reach, "a#1", 0), record_due_probe(reach, "a#1", 400)
    (True, False)
    >>> is_reachable(reach, "a#1", UNREACHABLE_AFTER_MS)
    True
    >>> is_reachable(reach, "a#1", 1_001)
    False
    """
    answered_ms = reach.answered_ms.get(member_id, now_ms)
    return now_ms - answered_ms <= UNREACHABLE_AFTER_MS


def list_silent(heard_ms: Mapping[str, int], own_id: str, now_ms: int) -> list[str]:
    """Return the other members that were not heard of late.

    Parameters
    ----------
    heard_ms : mapping of str to int
        Time of each member's newest sign of life, or until which it need not give one.
    own_id : str
    now_ms : int
    """
    return [
        member_id
        for member_id, at_ms in heard_ms.items()
        if member_id != own_id and now_ms - at_ms > SILENT_AFTER_MS
    ]


def has_lost_inbound(
    reach: ProbeHistory, heard_ms: Mapping[str, int], own_id: str, now_ms: int
) -> bool:
    """Return whether nobody is heard although somebody answers calls.

    Then it is not the others that are lost: nothing sent to this one arrives.

    Examples
    --------
    >>> reach = make_history()
    >>> record_answer(reach, "b#1", 990)
    >>> has_lost_inbound(reach, {"a#1": 1_000, "b#1": 100}, "a#1", 1_000)
    True
    >>> has_lost_inbound(reach, {"a#1": 1_000, "b#1": 900}, "a#1", 1_000)
    False
    """
    others = heard_ms.keys() - {own_id}
    silent = list_silent(heard_ms, own_id, now_ms)
    if not others or len(silent) < len(others):
        return False
    return any(
        now_ms - reach.answered_ms.get(member_id, 0) <= SILENT_AFTER_MS
        and reach.answered_ms.get(member_id, 0) > heard_ms[member_id]
        for member_id in silent
    )
