"""Weights of shards for placement, from the request rates that members report.

Every shard weighs 1; shards that members report as their busiest weigh more, by their
share of the reported rates. Rates are smoothed and weights have hysteresis, so that
noise causes no moves.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fuchsiamoor.core import messages
from fuchsiamoor.ownership import isolation

_SMOOTHING_FACTOR = 0.3
_HYSTERESIS_RATIO = 0.35
_RATE_WEIGHT_FACTOR = 3.0
_MIN_RATE_PER_S = 0.5


@dataclass(slots=True)
class ShardLoads:
    """Rates and weights of the busiest shards.

    Parameters
    ----------
    rates : dict of int to float
        Smoothed rates, in requests per second.
    weights : dict of int to float
        Result of the last `compute_weights`.
    """

    rates: dict[int, float] = field(default_factory=dict)
    weights: dict[int, float] = field(default_factory=dict)


def update_rates(known: ShardLoads, loads: Iterable[messages.MemberLoad]) -> None:
    """Update the smoothed rates from the latest reports of the members."""
    reported = isolation.sum_rates(load.shard_rates for load in loads)
    rates = {}
    for shard in known.rates.keys() | reported.keys():
        before = known.rates.get(shard, 0.0)
        rate = before + _SMOOTHING_FACTOR * (reported.get(shard, 0) - before)
        if rate >= _MIN_RATE_PER_S:
            rates[shard] = rate
    known.rates = rates


def compute_weights(known: ShardLoads, shard_count: int) -> Mapping[int, float]:
    """Return the weights of the shards that weigh more than 1, and store them.

    Parameters
    ----------
    known : ShardLoads
    shard_count : int
        Number of hashed shards.

    Returns
    -------
    mapping of int to float

    Examples
    --------
    >>> compute_weights(ShardLoads({3: 50.0, 4: 50.0}), 16)
    {3: 25.0, 4: 25.0}
    """
    total = sum(known.rates.values())
    if not total:
        return {}
    per_rate = _RATE_WEIGHT_FACTOR * shard_count / total
    known.weights = {
        shard: _apply_hysteresis(known.weights.get(shard), 1.0 + rate * per_rate)
        for shard, rate in sorted(known.rates.items())
    }
    return known.weights


def _apply_hysteresis(kept: float | None, weight: float) -> float:
    if kept is None or abs(weight - kept) > _HYSTERESIS_RATIO * kept:
        return weight
    return kept
