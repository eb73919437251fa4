"""Probes that detect members whose links work in one direction only.

A member that renews its leases but cannot be called serves no request. The coordinator
therefore probes members by calls of its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Shortest time between two probes of a member.
PROBE_INTERVAL_MS = 500
# The same for a silent member.
SILENT_PROBE_INTERVAL_MS = 100
# A member from which nothing was received for this time counts as silent.
SILENT_AFTER_MS = 350
# Time for the first message of a member to arrive at a new coordinator.
FIRST_CONTACT_GRACE_MS = 1_150
# A member that answers no probe for this time counts as unreachable.
UNREACHABLE_AFTER_MS = 1_000


@dataclass(slots=True)
class ProbeHistory:
    """Times of the probes sent to members and of their answers.

    Parameters
    ----------
    probed_ms : dict of str to int
        Time of the latest probe of each member.
    answered_ms : dict of str to int
        Time of each member's latest answer, or of its first probe if none was answered.
    """

    probed_ms: dict[str, int] = field(default_factory=dict)
    answered_ms: dict[str, int] = field(default_factory=dict)


def make_history() -> ProbeHistory:
    """Return an empty history."""
    return ProbeHistory()


def record_due_probe(
    history: ProbeHistory,
    member_id: str,
    now_ms: int,
    every_ms: int = PROBE_INTERVAL_MS,
) -> bool:
    """Return whether a probe of a member is due; if so, record it as sent now."""
    probed_ms = history.probed_ms.get(member_id)
    if probed_ms is not None and now_ms - probed_ms < every_ms:
        return False
    history.probed_ms[member_id] = now_ms
    history.answered_ms.setdefault(member_id, now_ms)
    return True


def record_answer(history: ProbeHistory, member_id: str, now_ms: int) -> None:
    """Record that a member answered a probe."""
    history.answered_ms[member_id] = now_ms


def is_reachable(history: ProbeHistory, member_id: str, now_ms: int) -> bool:
    """Return whether a member answers probes; true for a member not probed yet.

    Examples
    --------
    >>> history = make_history()
    >>> record_due_probe(history, "a#1", 0), record_due_probe(history, "a#1", 400)
    (True, False)
    >>> is_reachable(history, "a#1", UNREACHABLE_AFTER_MS)
    True
    >>> is_reachable(history, "a#1", 1_001)
    False
    """
    answered_ms = history.answered_ms.get(member_id, now_ms)
    return now_ms - answered_ms <= UNREACHABLE_AFTER_MS


def list_silent(heard_ms: Mapping[str, int], own_id: str, now_ms: int) -> list[str]:
    """Return the other members from which nothing was received for `SILENT_AFTER_MS`.

    Parameters
    ----------
    heard_ms : mapping of str to int
        Time of the latest message received from each member, or, if there
        is none, the end of the time in which its first one may arrive.
    own_id : str
    now_ms : int
    """
    return [
        member_id
        for member_id, at_ms in heard_ms.items()
        if member_id != own_id and now_ms - at_ms > SILENT_AFTER_MS
    ]


def has_lost_inbound(
    history: ProbeHistory, heard_ms: Mapping[str, int], own_id: str, now_ms: int
) -> bool:
    """Return whether all other members are silent although one answers probes.

    Then the other members have not failed: messages to this daemon get lost, while
    answers on its own links still arrive.

    Examples
    --------
    >>> history = make_history()
    >>> record_answer(history, "b#1", 990)
    >>> has_lost_inbound(history, {"a#1": 1_000, "b#1": 100}, "a#1", 1_000)
    True
    >>> has_lost_inbound(history, {"a#1": 1_000, "b#1": 900}, "a#1", 1_000)
    False
    """
    others = heard_ms.keys() - {own_id}
    silent = list_silent(heard_ms, own_id, now_ms)
    if not others or len(silent) < len(others):
        return False
    return any(
        now_ms - history.answered_ms.get(member_id, 0) <= SILENT_AFTER_MS
        and history.answered_ms.get(member_id, 0) > heard_ms[member_id]
        for member_id in silent
    )
