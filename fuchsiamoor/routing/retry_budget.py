"""Retry budget: a token bucket that limits retries and hedges to a share of traffic.

Each first attempt adds ``ratio`` of a token and each retry or hedge takes one token.
Retries therefore multiply an overload by at most 1 + ``ratio``, apart from the reserve.
"""

from dataclasses import dataclass

RESERVE_TOKENS = 10.0
# Largest number of tokens owed for retries that could not be refused.
DEBT_MAX_TOKENS = 10.0


@dataclass(slots=True)
class Budget:
    """Tokens left for retries and hedges."""

    tokens: float
    tokens_max: float


def make_budget(tokens_max: float = RESERVE_TOKENS) -> Budget:
    """Return a full budget."""
    return Budget(tokens_max, tokens_max)


def earn(budget: Budget, ratio: float) -> None:
    """Add the share of a token that one first attempt earns."""
    budget.tokens = min(budget.tokens_max, budget.tokens + ratio)


def charge(budget: Budget) -> None:
    """Take one token for a retry that is sent in any case; the budget may owe it."""
    budget.tokens = max(budget.tokens - 1.0, -DEBT_MAX_TOKENS)


def spend(budget: Budget) -> bool:
    """Take one token for a retry or hedge; False if there is none.

    Examples
    --------
    >>> budget = make_budget(tokens_max=1.0)
    >>> spend(budget), spend(budget)
    (True, False)
    >>> for _ in range(4):
    ...     earn(budget, ratio=0.25)
    >>> spend(budget)
    True
    """
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
