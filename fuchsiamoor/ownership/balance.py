"""Load balancing: chooses shards to move when no other moves are required."""

from collections.abc import Mapping, Sequence

from fuchsiamoor.ownership import overrides, placement

# Deviations from a target's share up to this ratio, or up to one shard, are tolerated.
_SLACK_RATIO = 0.05
_EPSILON = 1e-6


def plan_balance(
    layout: placement.Layout, limit: int, fixed: frozenset[int] = frozenset()
) -> list[placement.Move]:
    """Balance the targets' loads by weight, with at most ``limit`` moves.

    Parameters
    ----------
    layout : Layout
    limit : int
    fixed : frozenset of int
        Shards that are not moved.

    Returns
    -------
    list of Move
    """
    targets = overrides.filter_places(layout.holds.shards, layout.targets)
    if limit <= 0 or len(targets) < 2:
        return []
    loads = placement.compute_loads(layout, frozenset())
    shares = _compute_shares(targets, loads)
    movable = _list_movable(layout, fixed, {target.member_id for target in targets})
    moves = []
    while len(moves) < limit:
        move = _find_balancing_move(layout, targets, loads, shares, movable)
        if move is None:
            break
        weight = placement.find_shard_weight(layout, move.shard)
        loads[move.source] -= weight
        loads[move.target] += weight
        movable[move.source].remove(move.shard)
        moves.append(move)
    return moves


def compute_imbalance(layout: placement.Layout) -> float:
    """Return the largest ratio of a target's load to its share; 1.0 is even."""
    loads = placement.compute_loads(layout, frozenset())
    shares = _compute_shares(layout.targets, loads)
    return max(
        (loads[target.member_id] / shares[target.member_id])
        for target in layout.targets
        if shares[target.member_id] > 0
    )


def _compute_shares(
    targets: Sequence[placement.Target], loads: Mapping[str, float]
) -> dict[str, float]:
    total = sum(loads[target.member_id] for target in targets)
    weights = sum(target.weight for target in targets) or 1.0
    return {target.member_id: total * target.weight / weights for target in targets}


def _list_movable(
    layout: placement.Layout, fixed: frozenset[int], sources: set[str]
) -> dict[str, list[int]]:
    movable: dict[str, list[int]] = {source: [] for source in sources}
    for shard, owner in enumerate(layout.owners):
        key_hash = layout.isolated_keys.get(shard)
        if (
            owner in movable
            and shard not in fixed
            and key_hash not in layout.holds.keys
        ):
            movable[owner].append(shard)
    return movable


def _find_balancing_move(
    layout: placement.Layout,
    targets: Sequence[placement.Target],
    loads: Mapping[str, float],
    shares: Mapping[str, float],
    movable: Mapping[str, list[int]],
) -> placement.Move | None:
    def excess(target: placement.Target) -> float:
        return loads[target.member_id] - shares[target.member_id]

    sources = [target for target in targets if movable[target.member_id]]
    if not sources:
        return None
    source = max(sources, key=excess)
    receiver = min(targets, key=excess)
    if not _is_worth_moving(source, receiver, excess, shares):
        return None
    gap = excess(source) - excess(receiver)
    fitting = [
        (weight, -shard)
        for shard in movable[source.member_id]
        if (weight := placement.find_shard_weight(layout, shard)) < gap - _EPSILON
    ]
    if not fitting:
        return None
    best = min(fitting, key=lambda found: (abs(found[0] - gap / 2), found[1]))
    return placement.Move(-best[1], source.member_id, receiver.member_id)


def _is_worth_moving(source, receiver, excess, shares) -> bool:
    if excess(source) > max(1.0, _SLACK_RATIO * shares[source.member_id]) - _EPSILON:
        return True
    slack = max(1.0, _SLACK_RATIO * shares[receiver.member_id])
    return -excess(receiver) > slack - _EPSILON
