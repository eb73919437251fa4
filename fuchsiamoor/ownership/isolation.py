"""Isolation of hot keys: which keys get a shard of their own, and which lose it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import messages, tables
from fuchsiamoor.ownership import placement

MAX_HOT_KEYS = 64
MAX_HELD_KEYS = 512
_HOT_RATIO = 0.2
# Below the hot rate, so that a key near it is not isolated and merged in turn.
_COOL_RATIO = 0.25
_COOL_AFTER_MS = 60_000


class IsolationPlan(NamedTuple):
    """Changes to the isolated keys.

    Parameters
    ----------
    isolate : tuple of int
        Key hashes that get a shard of their own.
    merge : tuple of int
        Key hashes that return to their hashed shard, as one member owns both shards.
    moves : tuple of Move
        Moves of cooled keys' shards to the owners of their hashed shards, which have
        to precede a merge.
    """

    isolate: tuple[int, ...]
    merge: tuple[int, ...]
    moves: tuple[placement.Move, ...]


@dataclass(slots=True)
class CoolingKeys:
    """Time since which each isolated key has had a low rate, in milliseconds."""

    cool_since_ms: dict[int, int] = field(default_factory=dict)


def sum_rates(loads: Iterable[Mapping[int, int]]) -> dict[int, int]:
    """Sum rates by key hash or shard.

    Examples
    --------
    >>> sum_rates([{7: 2}, {7: 1, 8: 5}])
    {7: 3, 8: 5}
    """
    total: dict[int, int] = {}
    for rates in loads:
        for name, rate in rates.items():
            total[name] = total.get(name, 0) + rate
    return total


def compute_hot_rate(loads: Mapping[str, messages.MemberLoad]) -> float:
    """Return the rate from which a key is hot: a fifth of the members' mean rate."""
    total = sum(sum(load.shard_rates.values()) for load in loads.values())
    return max(1.0, _HOT_RATIO * total / max(1, len(loads)))


def plan_isolation(
    table: tables.ShardTable,
    loads: Mapping[str, messages.MemberLoad],
    held: Iterable[int],
    cooling_keys: CoolingKeys,
    now_ms: int,
) -> IsolationPlan:
    """Decide which keys to isolate and which to merge back.

    Parameters
    ----------
    table : ShardTable
    loads : mapping of str to MemberLoad
        Latest report of each live member.
    held : iterable of int
        Key hashes with an override, which are isolated regardless of their rate.
    cooling_keys : CoolingKeys
        State kept between calls; updated.
    now_ms : int
        Monotonic time, in milliseconds.

    Returns
    -------
    IsolationPlan
    """
    held = frozenset(held)
    rates = sum_rates(load.hot_keys for load in loads.values())
    hot_rate = compute_hot_rate(loads)
    cooled = _find_cooled(table, rates, hot_rate, held, cooling_keys, now_ms)
    kept = {key for key in table.isolated if key not in held and key not in cooled}
    max_new = max(0, MAX_HOT_KEYS - len(kept))
    hot = [
        key_hash
        for key_hash, rate in sorted(rates.items(), key=lambda pair: (-pair[1], pair))
        if rate >= hot_rate and key_hash not in table.isolated and key_hash not in held
    ]
    missing = sorted(held - table.isolated.keys())[:MAX_HELD_KEYS]
    isolate = [
        key
        for key in missing + hot[:max_new]
        if _is_movable(table, _hashed_shard(table, key))
    ]
    merge = [key for key in cooled if _has_one_owner(table, key)]
    moves = [
        placement.Move(
            table.isolated[key],
            table.owners[table.isolated[key]],
            table.owners[_hashed_shard(table, key)],
        )
        for key in cooled
        if key not in merge
        and _is_movable(table, table.isolated[key])
        and _is_movable(table, _hashed_shard(table, key))
    ]
    return IsolationPlan(tuple(isolate), tuple(merge), tuple(moves))


def _hashed_shard(table: tables.ShardTable, key_hash: int) -> int:
    return key_hash % table.shard_count


def _is_movable(table: tables.ShardTable, shard: int) -> bool:
    return tables.shard_state(table, shard) == tables.ShardState.OWNED


def _has_one_owner(table: tables.ShardTable, key_hash: int) -> bool:
    shards = (table.isolated[key_hash], _hashed_shard(table, key_hash))
    if not all(_is_movable(table, shard) for shard in shards):
        return False
    return table.owners[shards[0]] == table.owners[shards[1]]


def _find_cooled(
    table: tables.ShardTable,
    rates: Mapping[int, int],
    hot_rate: float,
    held: frozenset[int],
    cooling_keys: CoolingKeys,
    now_ms: int,
) -> list[int]:
    cool = {
        key_hash
        for key_hash in table.isolated
        if key_hash not in held and rates.get(key_hash, 0) < _COOL_RATIO * hot_rate
    }
    cooling_keys.cool_since_ms = {
        key_hash: cooling_keys.cool_since_ms.get(key_hash, now_ms) for key_hash in cool
    }
    return sorted(
        key_hash
        for key_hash, since_ms in cooling_keys.cool_since_ms.items()
        if now_ms - since_ms >= _COOL_AFTER_MS
    )
