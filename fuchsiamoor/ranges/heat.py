"""Heat: which keys of an owner are asked for most, and what to give away of them.

Busy keys lie close together. An owner that cannot keep up gives half of such a stretch
to another, which moves a small piece of its keys and much of its load.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables

# Keys are counted in buckets of this size.
BUCKET_KEYS = 16
WINDOW_MS = 1_000
# A stretch is hot if it has this share of the owner's requests within so many buckets.
HOT_SHARE = 0.3
HOT_BUCKETS = 64
# Fewer requests in the counted time say nothing.
COUNT_MIN = 12


class Stretch(NamedTuple):
    """Keys that are asked for much, both ends included, and their share of requests."""

    first: int
    last: int
    share: float


@dataclass(slots=True)
class Heat:
    """Requests by bucket, in the present window and the one before it."""

    present: dict[int, int] = field(default_factory=dict)
    before: dict[int, int] = field(default_factory=dict)
    began_ms: int = 0


def note_request(heat: Heat, key: int, now_ms: int) -> None:
    """Count one request for a key."""
    if now_ms - heat.began_ms >= WINDOW_MS:
        is_next = now_ms - heat.began_ms < 2 * WINDOW_MS
        heat.before = heat.present if is_next else {}
        heat.present = {}
        heat.began_ms = now_ms
    bucket = key // BUCKET_KEYS
    heat.present[bucket] = heat.present.get(bucket, 0) + 1


def read_counts(heat: Heat) -> dict[int, int]:
    """Return the requests of the last one to two windows, by bucket."""
    counts = dict(heat.before)
    for bucket, count in heat.present.items():
        counts[bucket] = counts.get(bucket, 0) + count
    return counts


def find_hot_stretch(counts: Mapping[int, int]) -> Stretch | None:
    """Return half of the shortest hot stretch by its load, None if there is none.

    Examples
    --------
    >>> find_hot_stretch({0: 10, 100: 10, 101: 10, 900: 10})
    Stretch(first=1600, last=1615, share=0.25)
    """
    total = sum(counts.values())
    if total < COUNT_MIN:
        return None
    buckets = sorted(counts)
    wanted = HOT_SHARE * total
    best: tuple[int, int] | None = None
    start, load = 0, 0
    for end, bucket in enumerate(buckets):
        load += counts[bucket]
        while load - counts[buckets[start]] >= wanted:
            load -= counts[buckets[start]]
            start += 1
        is_hot = load >= wanted and bucket - buckets[start] < HOT_BUCKETS
        if is_hot and (
            best is None
            or bucket - buckets[start] < buckets[best[1]] - buckets[best[0]]
        ):
            best = (start, end)
    if best is None or best[0] == best[1]:
        return None
    return _take_half(counts, buckets[best[0] : best[1] + 1], total)


def _take_half(counts: Mapping[int, int], stretch: list[int], total: int) -> Stretch:
    half = sum(counts[bucket] for bucket in stretch) / 2
    taken = 0
    for bucket in stretch[:-1]:
        taken += counts[bucket]
        if taken >= half:
            break
    last = bucket * BUCKET_KEYS + BUCKET_KEYS - 1
    return Stretch(stretch[0] * BUCKET_KEYS, last, round(taken / total, 2))


def plan_split(
    table: tables.RangeTable, owner: str, stretch: Stretch, target: str
) -> tables.RangeTable | None:
    """Return the table in which a stretch of an owner moves to another.

    Parameters
    ----------
    table : RangeTable
    owner : str
    stretch : Stretch
        Only its part within the row of its first key moves.
    target : str

    Returns
    -------
    RangeTable or None
        None if the owner does not hold these keys, or lets go of some already.
    """
    if any(row.owner == owner and row.moving_to for row in table.rows):
        return None
    row = tables.find_row(table, stretch.first)
    if row.owner != owner:
        return None
    last = min(stretch.last, row.last)
    sizes = [stretch.first - row.first, last - stretch.first + 1, row.last - last]
    pieces = [
        piece._replace(moving_to=target) if piece.first == stretch.first else piece
        for piece in tables.split_row(row, sizes)
    ]
    at = table.rows.index(row)
    rows = (*table.rows[:at], *pieces, *table.rows[at + 1 :])
    return tables.RangeTable(table.service, table.version + 1, rows)
