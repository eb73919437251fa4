"""Where shards go: pure plans over owners, targets and holds.

A plan moves as little as it can. Home regions and data centres in service bound every
plan; holds come next, then evenness.
"""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import tables
from fuchsiamoor.ownership import overrides

_SLACK_RATIO = 0.05
_ROUNDING = 1e-6


class Target(NamedTuple):
    """A member that may be given shards.

    Parameters
    ----------
    member_id : str
    instance : str
    region : str
    data_centre : str
    weight : float
        Share of the load that it should have, relative to the other targets.
    """

    member_id: str
    instance: str
    region: str
    data_centre: str
    weight: float


class Move(NamedTuple):
    """One shard from one member to another; `NO_OWNER` for none."""

    shard: int
    source: str
    target: str


class Layout(NamedTuple):
    """What the plans look at.

    Parameters
    ----------
    owners : sequence of str
        Member for each shard.
    targets : tuple of Target
    holds : DomainHolds
    isolated_keys : dict of int to int
        Key hash of each isolated shard.
    shard_weights : mapping of int to float
        Load of the shards that differ from 1.
    """

    owners: Sequence[str]
    targets: tuple[Target, ...]
    holds: overrides.DomainHolds
    isolated_keys: dict[int, int]
    shard_weights: Mapping[int, float] = {}


def make_layout(
    table: tables.ShardTable,
    targets: Iterable[Target],
    holds: overrides.DomainHolds,
    shard_weights: Mapping[int, float] | None = None,
) -> Layout:
    """Gather what the plans look at."""
    return Layout(
        table.owners,
        tuple(sorted(targets)),
        holds,
        {shard: key_hash for key_hash, shard in table.isolated.items()},
        shard_weights or {},
    )


def list_allowed(layout: Layout, shard: int) -> list[Target]:
    """Return the targets that a shard may go to, holds kept as far as they can be."""
    return overrides.filter_places(_list_holds(layout, shard), layout.targets)


def place_shards(layout: Layout, shards: Iterable[int]) -> list[Move]:
    """Give each of the shards a target, evenly by weight; `NO_OWNER` without any.

    Parameters
    ----------
    layout : Layout
    shards : iterable of int
        To be moved; their present owners' load does not count.

    Returns
    -------
    list of Move
    """
    moving = sorted(set(shards))
    loads = _measure_loads(layout, frozenset(moving))
    heaps: dict[tuple, list] = {}
    moves = []
    for shard in moving:
        held = _list_holds(layout, shard)
        heap = heaps.get(held)
        if heap is None:
            allowed = overrides.filter_places(held, layout.targets)
            heap = heaps[held] = [_rank(loads, target) for target in allowed]
            heapq.heapify(heap)
        target_id = _take_least(heap, loads, _weigh(layout, shard))
        moves.append(Move(shard, layout.owners[shard], target_id))
    return moves


def plan_losses(
    layout: Layout, lost: Iterable[str], successors: Mapping[str, str] | None = None
) -> list[Move]:
    """Move the shards of lost members, and no others.

    Parameters
    ----------
    layout : Layout
        Whose targets leave the lost members out.
    lost : iterable of str
    successors : mapping of str to str
        For a lost member, the newer run of its instance, which is preferred.

    Returns
    -------
    list of Move
    """
    gone = frozenset(lost)
    taken = [shard for shard, owner in enumerate(layout.owners) if owner in gone]
    kept, others = [], []
    for shard in taken:
        heir = (successors or {}).get(layout.owners[shard], tables.NO_OWNER)
        if any(target.member_id == heir for target in list_allowed(layout, shard)):
            kept.append(Move(shard, layout.owners[shard], heir))
        else:
            others.append(shard)
    if not kept:
        return place_shards(layout, others)
    return kept + place_shards(apply_moves(layout, kept), others)


def plan_data_centres_out(layout: Layout, present: Iterable[str]) -> list[Move]:
    """Move shards away from present members that are no targets.

    These are members in a data centre taken out, leaving ones, and ones whose upstream
    is not ready.

    Parameters
    ----------
    layout : Layout
    present : iterable of str
        Members that can be asked to release.

    Returns
    -------
    list of Move
    """
    usable = {target.member_id for target in layout.targets}
    sources = frozenset(present) - usable
    return place_shards(
        layout,
        [shard for shard, owner in enumerate(layout.owners) if owner in sources],
    )


def plan_overrides(layout: Layout) -> list[Move]:
    """Move shards whose owner is a target but does not keep their holds."""
    if not layout.holds.shards and not layout.holds.keys:
        return []
    by_id = {target.member_id: target for target in layout.targets}
    allowed_for: dict[tuple, set[str]] = {}
    misplaced = []
    for shard, owner in enumerate(layout.owners):
        held = _list_holds(layout, shard)
        if not held or owner not in by_id:
            continue
        if held not in allowed_for:
            places = overrides.filter_places(held, layout.targets)
            allowed_for[held] = {place.member_id for place in places}
        if owner not in allowed_for[held]:
            misplaced.append(shard)
    return place_shards(layout, misplaced)


def plan_balance(
    layout: Layout, limit: int, fixed: frozenset[int] = frozenset()
) -> list[Move]:
    """Even out loads by weight, with at most ``limit`` moves.

    Parameters
    ----------
    layout : Layout
    limit : int
    fixed : frozenset of int
        Shards that stay where they are.

    Returns
    -------
    list of Move
    """
    targets = overrides.filter_places(layout.holds.shards, layout.targets)
    if limit <= 0 or len(targets) < 2:
        return []
    loads = _measure_loads(layout, frozenset())
    shares = _compute_shares(targets, loads)
    movable = _list_movable(layout, fixed, {target.member_id for target in targets})
    moves = []
    while len(moves) < limit:
        move = _find_balancing_move(layout, targets, loads, shares, movable)
        if move is None:
            break
        weight = _weigh(layout, move.shard)
        loads[move.source] -= weight
        loads[move.target] += weight
        movable[move.source].remove(move.shard)
        moves.append(move)
    return moves


def apply_moves(layout: Layout, moves: Iterable[Move]) -> Layout:
    """Return the layout as it would be after moves."""
    owners = list(layout.owners)
    for move in moves:
        owners[move.shard] = move.target
    return layout._replace(owners=owners)


def measure_imbalance(layout: Layout) -> float:
    """Return the largest load of a target over its share; 1.0 is even."""
    loads = _measure_loads(layout, frozenset())
    shares = _compute_shares(layout.targets, loads)
    return max(
        (loads[target.member_id] / shares[target.member_id])
        for target in layout.targets
        if shares[target.member_id] > 0
    )


def _list_holds(layout: Layout, shard: int) -> tuple[configurations.Override, ...]:
    key_hash = layout.isolated_keys.get(shard)
    if key_hash is None:
        return layout.holds.shards
    return layout.holds.keys.get(key_hash, ()) + layout.holds.shards


def _weigh(layout: Layout, shard: int) -> float:
    return layout.shard_weights.get(shard, 1.0)


def _measure_loads(layout: Layout, without: frozenset[int]) -> dict[str, float]:
    loads = {target.member_id: 0.0 for target in layout.targets}
    for shard, owner in enumerate(layout.owners):
        if owner in loads and shard not in without:
            loads[owner] += _weigh(layout, shard)
    return loads


def _compute_shares(
    targets: Sequence[Target], loads: Mapping[str, float]
) -> dict[str, float]:
    total = sum(loads[target.member_id] for target in targets)
    weights = sum(target.weight for target in targets) or 1.0
    return {target.member_id: total * target.weight / weights for target in targets}


def _rank(loads: Mapping[str, float], target: Target) -> tuple:
    load = loads[target.member_id]
    return ((load + 1.0) / max(target.weight, _ROUNDING), load, target)


def _take_least(heap: list, loads: dict[str, float], weight: float) -> str:
    while heap:
        _, load, target = heap[0]
        if load != loads[target.member_id]:
            heapq.heapreplace(heap, _rank(loads, target))
            continue
        loads[target.member_id] += weight
        heapq.heapreplace(heap, _rank(loads, target))
        return target.member_id
    return tables.NO_OWNER


def _list_movable(
    layout: Layout, fixed: frozenset[int], sources: set[str]
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
    layout: Layout,
    targets: Sequence[Target],
    loads: Mapping[str, float],
    shares: Mapping[str, float],
    movable: Mapping[str, list[int]],
) -> Move | None:
    def excess(target: Target) -> float:
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
        if (weight := _weigh(layout, shard)) < gap - _ROUNDING
    ]
    if not fitting:
        return None
    best = min(fitting, key=lambda found: (abs(found[0] - gap / 2), found[1]))
    return Move(-best[1], source.member_id, receiver.member_id)


def _is_worth_moving(source, receiver, excess, shares) -> bool:
    if excess(source) > max(1.0, _SLACK_RATIO * shares[source.member_id]) - _ROUNDING:
        return True
    slack = max(1.0, _SLACK_RATIO * shares[receiver.member_id])
    return -excess(receiver) > slack - _ROUNDING
