"""How much each shard weighs when shards are spread, from the rates that members tell.

Every shard weighs 1; one that is among a member's busiest weighs more, by its part of a
member's mean rate. Rates are smoothed and weights are coarse, so that noise moves
nothing.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fuchsiamoor.core import messages
from fuchsiamoor.ownership import isolation

_SMOOTHING = 0.3
_STEPS_PER_DOUBLING = 2
_FORGOTTEN_BELOW = 0.5


@dataclass(slots=True)
class ShardLoads:
    """Smoothed rates of the busiest shards, in requests per second."""

    rates: dict[int, float] = field(default_factory=dict)


def update_rates(known: ShardLoads, loads: Iterable[messages.MemberLoad]) -> None:
    """Take in what the members told last."""
    seen = isolation.sum_rates(load.shard_rates for load in loads)
    rates = {}
    for shard in known.rates.keys() | seen.keys():
        before = known.rates.get(shard, 0.0)
        rate = before + _SMOOTHING * (seen.get(shard, 0) - before)
        if rate >= _FORGOTTEN_BELOW:
            rates[shard] = rate
    known.rates = rates


def compute_weights(
    known: ShardLoads, shard_count: int, member_count: int
) -> Mapping[int, float]:
    """Return the weights of the shards that weigh more than 1.

    Parameters
    ----------
    known : ShardLoads
    shard_count : int
        Number of hashed shards.
    member_count : int
        Members that share them.

    Returns
    -------
    mapping of int to float

    Examples
    --------
    >>> compute_weights(ShardLoads({3: 50.0, 4: 50.0}), 16, 2)
    {3: 9.0, 4: 9.0}
    """
    total = sum(known.rates.values())
    if not total or not member_count:
        return {}
    member_rate = total / member_count
    share = shard_count / member_count
    return {
        shard: 1.0 + _round_to_step(rate / member_rate * share)
        for shard, rate in sorted(known.rates.items())
    }


def _round_to_step(weight: float) -> float:
    if weight < 1.0:
        return 0.0
    steps = round(math.log2(weight) * _STEPS_PER_DOUBLING)
    return 2.0 ** (steps / _STEPS_PER_DOUBLING)
