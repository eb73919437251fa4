"""Limit on the bytes of request bodies that a daemon holds at a time.

Examples
--------
>>> budget = make_body_budget(memory_bytes=80)
>>> hold(budget, 8), hold(budget, 3)
(True, False)
>>> release(budget, 8)
>>> hold(budget, 3)
True
"""

from dataclasses import dataclass

# Share of the machine's memory. A body is held up to four times over: as received, in
# a message, in that message's frame, and in a connection's buffer.
MEMORY_SHARE = 1 / 8


@dataclass(slots=True)
class BodyBudget:
    """Bytes of bodies that may be held, and those that are held now."""

    limit_bytes: int
    held_bytes: int = 0


def make_body_budget(memory_bytes: int) -> BodyBudget:
    """Return the budget of a machine with this much memory."""
    return BodyBudget(int(memory_bytes * MEMORY_SHARE))


def has_room(budget: BodyBudget, size_bytes: int) -> bool:
    """Return whether this many bytes may be held in addition."""
    return budget.held_bytes + size_bytes <= budget.limit_bytes


def hold(budget: BodyBudget, size_bytes: int) -> bool:
    """Count bytes as held; return False, without effect, if there is no room."""
    if not has_room(budget, size_bytes):
        return False
    budget.held_bytes += size_bytes
    return True


def release(budget: BodyBudget, size_bytes: int) -> None:
    """Count bytes as no longer held."""
    budget.held_bytes -= size_bytes
