"""Placement of shards: pure functions that plan moves from owners, targets and holds.

Plans move as few shards as possible. Home regions and data centres in service are hard
constraints; holds have the next priority, then an even load.
"""

import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import tables
from fuchsiamoor.ownership import overrides

_MIN_WEIGHT = 1e-6


class Target(NamedTuple):
    """A member to which shards may be assigned.

    Parameters
    ----------
    member_id : str
    instance : str
    region : str
    data_centre : str
    weight : float
        Share of the load that it should get, relative to the other targets.
    """

    member_id: str
    instance: str
    region: str
    data_centre: str
    weight: float


class Move(NamedTuple):
    """Move of one shard; ``source`` or ``target`` is `NO_OWNER` for no member."""

    shard: int
    source: str
    target: str


class Layout(NamedTuple):
    """Input of the plans.

    Parameters
    ----------
    owners : sequence of str
        Owner of each shard.
    targets : tuple of Target
    holds : DomainHolds
    isolated_keys : dict of int to int
        Key hash of each isolated shard.
    shard_weights : mapping of int to float
        Weights of the shards whose weight is not 1.
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
    """Return the input of the plans for a table."""
    return Layout(
        table.owners,
        tuple(sorted(targets)),
        holds,
        {shard: key_hash for key_hash, shard in table.isolated.items()},
        shard_weights or {},
    )


def list_allowed(layout: Layout, shard: int) -> list[Target]:
    """Return the targets allowed for a shard, with as many holds kept as possible."""
    return overrides.filter_places(_list_holds(layout, shard), layout.targets)


def place_shards(layout: Layout, shards: Iterable[int]) -> list[Move]:
    """Assign a target to each of the shards, evenly by weight.

    The target is `NO_OWNER` if there is none.

    Parameters
    ----------
    layout : Layout
    shards : iterable of int
        To be moved; they do not count as load of their current owners.

    Returns
    -------
    list of Move
    """
    moving = sorted(set(shards))
    loads = compute_loads(layout, frozenset(moving))
    heaps: dict[tuple, list] = {}
    moves = []
    for shard in moving:
        held = _list_holds(layout, shard)
        heap = heaps.get(held)
        if heap is None:
            allowed = overrides.filter_places(held, layout.targets)
            heap = heaps[held] = [_rank(loads, target) for target in allowed]
            heapq.heapify(heap)
        target_id = _assign_to_least_loaded(
            heap, loads, find_shard_weight(layout, shard)
        )
        moves.append(Move(shard, layout.owners[shard], target_id))
    return moves


def plan_losses(
    layout: Layout, lost: Iterable[str], successors: Mapping[str, str] | None = None
) -> list[Move]:
    """Plan moves for the shards of lost members only.

    Parameters
    ----------
    layout : Layout
        Without the lost members among its targets.
    lost : iterable of str
    successors : mapping of str to str
        For each lost member, the newer daemon process of its instance, which is
        preferred.

    Returns
    -------
    list of Move
    """
    lost_ids = frozenset(lost)
    taken = [shard for shard, owner in enumerate(layout.owners) if owner in lost_ids]
    kept, others = [], []
    for shard in taken:
        successor = (successors or {}).get(layout.owners[shard], tables.NO_OWNER)
        if any(target.member_id == successor for target in list_allowed(layout, shard)):
            kept.append(Move(shard, layout.owners[shard], successor))
        else:
            others.append(shard)
    if not kept:
        return place_shards(layout, others)
    return kept + place_shards(apply_moves(layout, kept), others)


def plan_evacuations(layout: Layout, present: Iterable[str]) -> list[Move]:
    """Plan moves away from live members that are not targets.

    These are members in a data centre out of service, members that are leaving, and
    members whose upstream is not ready.

    Parameters
    ----------
    layout : Layout
    present : iterable of str
        Live members, which can be asked to release shards.

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
    """Plan moves for shards whose owner is a target but violates their holds."""
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


def apply_moves(layout: Layout, moves: Iterable[Move]) -> Layout:
    """Return the layout with the moves applied."""
    owners = list(layout.owners)
    for move in moves:
        owners[move.shard] = move.target
    return layout._replace(owners=owners)


def _list_holds(layout: Layout, shard: int) -> tuple[configurations.Override, ...]:
    key_hash = layout.isolated_keys.get(shard)
    if key_hash is None:
        return layout.holds.shards
    return layout.holds.keys.get(key_hash, ()) + layout.holds.shards


def find_shard_weight(layout: Layout, shard: int) -> float:
    """Return the weight of a shard."""
    return layout.shard_weights.get(shard, 1.0)


def compute_loads(layout: Layout, without: frozenset[int]) -> dict[str, float]:
    """Return the load of each target, not counting the shards in ``without``."""
    loads = {target.member_id: 0.0 for target in layout.targets}
    for shard, owner in enumerate(layout.owners):
        if owner in loads and shard not in without:
            loads[owner] += find_shard_weight(layout, shard)
    return loads


def _rank(loads: Mapping[str, float], target: Target) -> tuple:
    load = loads[target.member_id]
    return ((load + 1.0) / max(target.weight, _MIN_WEIGHT), load, target)


def _assign_to_least_loaded(heap: list, loads: dict[str, float], weight: float) -> str:
    while heap:
        _, load, target = heap[0]
        if load != loads[target.member_id]:
            heapq.heapreplace(heap, _rank(loads, target))
            continue
        loads[target.member_id] += weight
        heapq.heapreplace(heap, _rank(loads, target))
        return target.member_id
    return tables.NO_OWNER
