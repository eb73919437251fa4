"""Plans: the next range table, from the present one and who may hold keys.

A plan takes keys only from owners that certainly hold none any more, and asks all
others to let go first by naming a successor in the row. It moves as little as it can.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables

# Smallest piece that a lost range is cut into, in keys.
PIECE_KEYS = 256
# A holder gets keys from others once it has less than this share of what is due to it
# by its slots. Above it, owners share by their load, see `fuchsiamoor.ranges.relief`.
LIGHT_SHARE = 0.2
# Rows that may be moving for balance at a time.
BALANCING_MAX = 2


class Holder(NamedTuple):
    """An incarnation that may hold keys.

    Parameters
    ----------
    owner : str
    weight : float
        Keys that it should have, relative to the others.
    is_cold : bool
        Whether it should not be given keys that others can hold.
    """

    owner: str
    weight: float
    is_cold: bool


class Standing(NamedTuple):
    """What the planner knows of the owners.

    Parameters
    ----------
    holders : tuple of Holder
        Those that may be given keys.
    present : frozenset of str
        Owners that live and can be asked to let go, holders included.
    ended : frozenset of str
        Owners that certainly hold nothing any more.
    """

    holders: tuple[Holder, ...]
    present: frozenset[str]
    ended: frozenset[str]


def plan_next(
    table: tables.RangeTable,
    standing: Standing,
    rates: Mapping[int, float] | None = None,
) -> tables.RangeTable | None:
    """Return the next table, None if the present one may stay.

    Parameters
    ----------
    table : RangeTable
    standing : Standing
    rates : mapping of int to float, optional
        Requests a second by the first key of a row, where they were measured.
    """
    if not standing.holders:
        return None
    version = table.version + 1
    rows = _drop_dead_moves(table.rows, standing)
    rows = _assign_free(rows, standing, version)
    rows = _ask_to_leave(rows, standing)
    rows = _balance(rows, standing, rates or {})
    merged = tables.merge_rows(rows)
    if merged == table.rows:
        return None
    return tables.RangeTable(table.service, version, merged)


def _drop_dead_moves(
    rows: Sequence[tables.Row], standing: Standing
) -> list[tables.Row]:
    usable = {holder.owner for holder in standing.holders}
    return [
        row._replace(moving_to="")
        if row.moving_to and row.moving_to not in usable
        else row
        for row in rows
    ]


def _assign_free(
    rows: Sequence[tables.Row], standing: Standing, version: int
) -> list[tables.Row]:
    """Give rows without a living owner to the holders that lack keys most."""
    is_free = [
        row.owner == tables.NO_OWNER or row.owner in standing.ended for row in rows
    ]
    if not any(is_free):
        return list(rows)
    free_keys = sum(
        tables.count_keys(row) for row, free in zip(rows, is_free, strict=True) if free
    )
    shares = _share_out(rows, standing, free_keys)
    assigned = []
    for row, free in zip(rows, is_free, strict=True):
        if not free:
            assigned.append(row)
            continue
        for piece, owner in _cut_by_shares(row, shares):
            given = tables.Row(piece.first, piece.last, owner, version)
            assigned.append(given)
    return assigned


def _share_out(
    rows: Sequence[tables.Row], standing: Standing, free_keys: int
) -> dict[str, int]:
    """Return how many of the free keys each holder gets, evenly by weight."""
    holders = _prefer_warm(standing.holders)
    owned = _count_owned(rows, standing)
    weights = sum(holder.weight for holder in holders)
    total = free_keys + sum(owned.get(holder.owner, 0) for holder in holders)
    wanted = {
        holder.owner: max(
            0.0, total * holder.weight / weights - owned.get(holder.owner, 0)
        )
        for holder in holders
    }
    all_wanted = sum(wanted.values())
    if all_wanted <= 0:
        wanted = {holder.owner: holder.weight for holder in holders}
        all_wanted = sum(wanted.values())
    shares, left = {}, free_keys
    for owner, keys in wanted.items():
        shares[owner] = min(left, round(free_keys * keys / all_wanted))
        left -= shares[owner]
    last = max(shares, key=lambda owner: shares[owner])
    shares[last] += left
    return shares


def _prefer_warm(holders: Collection[Holder]) -> list[Holder]:
    warm = [holder for holder in holders if not holder.is_cold]
    return warm or list(holders)


def _count_owned(rows: Sequence[tables.Row], standing: Standing) -> dict[str, int]:
    owned: dict[str, int] = {}
    for row in rows:
        owner = row.moving_to or row.owner
        if owner not in standing.ended:
            owned[owner] = owned.get(owner, 0) + tables.count_keys(row)
    return owned


def _cut_by_shares(
    row: tables.Row, shares: dict[str, int]
) -> list[tuple[tables.Row, str]]:
    """Cut a row among holders and count it off their shares."""
    pieces, first = [], row.first
    while first <= row.last:
        owner = max(shares, key=lambda name: shares[name])
        left = row.last - first + 1
        size = min(left, max(shares[owner], PIECE_KEYS))
        if left - size < PIECE_KEYS:
            size = left
        pieces.append((row._replace(first=first, last=first + size - 1), owner))
        shares[owner] -= size
        first += size
    return pieces


def _ask_to_leave(rows: Sequence[tables.Row], standing: Standing) -> list[tables.Row]:
    """Name successors for the rows of owners that live but may hold no more keys."""
    usable = {holder.owner for holder in standing.holders}
    leaving = [
        row.owner in standing.present and row.owner not in usable and not row.moving_to
        for row in rows
    ]
    if not any(leaving):
        return list(rows)
    keys = sum(
        tables.count_keys(row) for row, goes in zip(rows, leaving, strict=True) if goes
    )
    shares = _share_out(
        [row for row, goes in zip(rows, leaving, strict=True) if not goes],
        standing,
        keys,
    )
    asked = []
    for row, goes in zip(rows, leaving, strict=True):
        if not goes:
            asked.append(row)
            continue
        for piece, owner in _cut_by_shares(row, shares):
            asked.append(piece._replace(moving_to=owner))
    return asked


def _balance(
    rows: Sequence[tables.Row], standing: Standing, rates: Mapping[int, float]
) -> list[tables.Row]:
    """Ask the holder with the most to give some to one that has far too little."""
    rows = list(rows)
    if any(row.moving_to for row in rows) or any(
        row.owner == tables.NO_OWNER for row in rows
    ):
        return rows
    holders = _prefer_warm(standing.holders)
    owned = _count_owned(rows, standing)
    weights = sum(holder.weight for holder in holders)
    total = sum(owned.get(holder.owner, 0) for holder in holders)
    if total == 0:
        return rows
    due = {holder.owner: total * holder.weight / weights for holder in holders}
    for _ in range(BALANCING_MAX):
        light = min(due, key=lambda owner: owned.get(owner, 0) / due[owner])
        heavy = max(due, key=lambda owner: owned.get(owner, 0) / due[owner])
        if owned.get(light, 0) >= LIGHT_SHARE * due[light]:
            break
        excess = owned.get(heavy, 0) - due[heavy]
        size = int(min(excess, due[light] - owned.get(light, 0)))
        if size < PIECE_KEYS:
            break
        moved = _move_keys(rows, heavy, light, size)
        owned[heavy] -= moved
        owned[light] = owned.get(light, 0) + moved
    return rows


def _move_keys(rows: list[tables.Row], source: str, target: str, size: int) -> int:
    """Mark keys of one owner as moving, from the end of its rows; return how many."""
    moved = 0
    for index in range(len(rows) - 1, -1, -1):
        row = rows[index]
        if row.owner != source or row.moving_to or moved >= size:
            continue
        keys = tables.count_keys(row)
        taken = min(keys, size - moved)
        pieces = tables.split_row(row, [keys - taken, taken])
        pieces[-1] = pieces[-1]._replace(moving_to=target)
        rows[index : index + 1] = pieces
        moved += taken
    return moved
