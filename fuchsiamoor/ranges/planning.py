"""Plans the next range table from the current one and the state of the owners.

A plan reassigns only keys of owners that certainly hold none any more. All other owners
are asked to release keys first, by naming the next owner in the row. Plans move as few
keys as possible.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables

# Smallest part into which a range is split, in keys.
SPLIT_KEYS_MIN = 256
# A candidate gets keys from others if it owns less than this share of its fair share by
# slots. Above it, keys move by load only, see `fuchsiamoor.ranges.rebalancing`.
UNDERLOADED_SHARE = 0.2
# Largest number of moves started in one plan to balance the number of keys.
BALANCING_MOVES_MAX = 2


class Candidate(NamedTuple):
    """An incarnation to which keys may be assigned.

    Parameters
    ----------
    owner : str
    weight : float
        Number of keys that it should own, relative to the others.
    is_cold : bool
        Whether it gets keys only if no warm candidate exists.
    """

    owner: str
    weight: float
    is_cold: bool


class OwnerStates(NamedTuple):
    """State of the owners of a service, as the planner needs it.

    Parameters
    ----------
    candidates : tuple of Candidate
        Owners to which keys may be assigned.
    registered : frozenset of str
        Live owners, which can be asked to release keys, candidates included.
    ended : frozenset of str
        Owners that certainly hold no keys any more.
    """

    candidates: tuple[Candidate, ...]
    registered: frozenset[str]
    ended: frozenset[str]


def plan_next_table(
    table: tables.RangeTable,
    owners: OwnerStates,
    rates: Mapping[int, float] | None = None,
) -> tables.RangeTable | None:
    """Return the next table, None if the current one needs no change.

    Parameters
    ----------
    table : RangeTable
    owners : OwnerStates
    rates : mapping of int to float, optional
        Measured requests per second by the first key of a row.
    """
    if not owners.candidates:
        return None
    version = table.version + 1
    rows = _cancel_invalid_moves(table.rows, owners)
    rows = _assign_unowned(rows, owners, version)
    rows = _move_from_unusable(rows, owners)
    rows = _balance(rows, owners, rates or {})
    merged = tables.merge_rows(rows)
    if merged == table.rows:
        return None
    return tables.RangeTable(table.service, version, merged)


def _cancel_invalid_moves(
    rows: Sequence[tables.Row], owners: OwnerStates
) -> list[tables.Row]:
    usable = {candidate.owner for candidate in owners.candidates}
    return [
        row._replace(moving_to="")
        if row.moving_to and row.moving_to not in usable
        else row
        for row in rows
    ]


def _assign_unowned(
    rows: Sequence[tables.Row], owners: OwnerStates, version: int
) -> list[tables.Row]:
    """Assign rows without a live owner to the candidates that lack most keys."""
    is_unowned = [
        row.owner == tables.NO_OWNER or row.owner in owners.ended for row in rows
    ]
    if not any(is_unowned):
        return list(rows)
    unowned_keys = sum(
        tables.count_keys(row)
        for row, unowned in zip(rows, is_unowned, strict=True)
        if unowned
    )
    shares = _compute_shares(rows, owners, unowned_keys)
    assigned = []
    for row, unowned in zip(rows, is_unowned, strict=True):
        if not unowned:
            assigned.append(row)
            continue
        for part, owner in _split_by_shares(row, shares):
            given = tables.Row(part.first, part.last, owner, version)
            assigned.append(given)
    return assigned


def _compute_shares(
    rows: Sequence[tables.Row], owners: OwnerStates, unowned_keys: int
) -> dict[str, int]:
    """Return how many of the unowned keys each candidate gets, by weight."""
    candidates = _prefer_warm(owners.candidates)
    owned = _count_owned(rows, owners)
    weights = sum(candidate.weight for candidate in candidates)
    total = unowned_keys + sum(
        owned.get(candidate.owner, 0) for candidate in candidates
    )
    missing = {
        candidate.owner: max(
            0.0, total * candidate.weight / weights - owned.get(candidate.owner, 0)
        )
        for candidate in candidates
    }
    all_missing = sum(missing.values())
    if all_missing <= 0:
        missing = {candidate.owner: candidate.weight for candidate in candidates}
        all_missing = sum(missing.values())
    shares, left = {}, unowned_keys
    for owner, keys in missing.items():
        shares[owner] = min(left, round(unowned_keys * keys / all_missing))
        left -= shares[owner]
    last = max(shares, key=lambda owner: shares[owner])
    shares[last] += left
    return shares


def _prefer_warm(candidates: Collection[Candidate]) -> list[Candidate]:
    warm = [candidate for candidate in candidates if not candidate.is_cold]
    return warm or list(candidates)


def _count_owned(rows: Sequence[tables.Row], owners: OwnerStates) -> dict[str, int]:
    owned: dict[str, int] = {}
    for row in rows:
        owner = row.moving_to or row.owner
        if owner not in owners.ended:
            owned[owner] = owned.get(owner, 0) + tables.count_keys(row)
    return owned


def _split_by_shares(
    row: tables.Row, shares: dict[str, int]
) -> list[tuple[tables.Row, str]]:
    """Split a row among candidates and subtract the parts from their shares."""
    parts, first = [], row.first
    while first <= row.last:
        owner = max(shares, key=lambda name: shares[name])
        left = row.last - first + 1
        size = min(left, max(shares[owner], SPLIT_KEYS_MIN))
        if left - size < SPLIT_KEYS_MIN:
            size = left
        parts.append((row._replace(first=first, last=first + size - 1), owner))
        shares[owner] -= size
        first += size
    return parts


def _move_from_unusable(
    rows: Sequence[tables.Row], owners: OwnerStates
) -> list[tables.Row]:
    """Name the next owner of rows whose owner is live but no longer a candidate."""
    usable = {candidate.owner for candidate in owners.candidates}
    leaving = [
        row.owner in owners.registered and row.owner not in usable and not row.moving_to
        for row in rows
    ]
    if not any(leaving):
        return list(rows)
    keys = sum(
        tables.count_keys(row)
        for row, leaves in zip(rows, leaving, strict=True)
        if leaves
    )
    shares = _compute_shares(
        [row for row, leaves in zip(rows, leaving, strict=True) if not leaves],
        owners,
        keys,
    )
    asked = []
    for row, leaves in zip(rows, leaving, strict=True):
        if not leaves:
            asked.append(row)
            continue
        for part, owner in _split_by_shares(row, shares):
            asked.append(part._replace(moving_to=owner))
    return asked


def _balance(
    rows: Sequence[tables.Row], owners: OwnerStates, rates: Mapping[int, float]
) -> list[tables.Row]:
    """Move keys from the candidate with the most to one far below its fair share."""
    rows = list(rows)
    if any(row.moving_to for row in rows) or any(
        row.owner == tables.NO_OWNER for row in rows
    ):
        return rows
    candidates = _prefer_warm(owners.candidates)
    owned = _count_owned(rows, owners)
    weights = sum(candidate.weight for candidate in candidates)
    total = sum(owned.get(candidate.owner, 0) for candidate in candidates)
    if total == 0:
        return rows
    fair_share = {
        candidate.owner: total * candidate.weight / weights for candidate in candidates
    }
    for _ in range(BALANCING_MOVES_MAX):
        underloaded = min(
            fair_share, key=lambda owner: owned.get(owner, 0) / fair_share[owner]
        )
        overloaded = max(
            fair_share, key=lambda owner: owned.get(owner, 0) / fair_share[owner]
        )
        if owned.get(underloaded, 0) >= UNDERLOADED_SHARE * fair_share[underloaded]:
            break
        excess = owned.get(overloaded, 0) - fair_share[overloaded]
        size = int(min(excess, fair_share[underloaded] - owned.get(underloaded, 0)))
        if size < SPLIT_KEYS_MIN:
            break
        moved = _move_keys(rows, overloaded, underloaded, size)
        owned[overloaded] -= moved
        owned[underloaded] = owned.get(underloaded, 0) + moved
    return rows


def _move_keys(rows: list[tables.Row], source: str, target: str, size: int) -> int:
    """Mark keys of one owner as moving, last rows first; return how many."""
    moved = 0
    for index in range(len(rows) - 1, -1, -1):
        row = rows[index]
        if row.owner != source or row.moving_to or moved >= size:
            continue
        keys = tables.count_keys(row)
        taken = min(keys, size - moved)
        parts = tables.split_row(row, [keys - taken, taken])
        parts[-1] = parts[-1]._replace(moving_to=target)
        rows[index : index + 1] = parts
        moved += taken
    return moved
