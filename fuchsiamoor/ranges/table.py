"""The range table of a service: which incarnation owns which keys.

A table is a single value in the store that is replaced by compare-and-swap. Its rows
cover all keys in order. A fence is the version of the table that assigned the row to
its owner, so fences only increase. A version holds the store's era in its upper bits,
so that they also increase if the store loses writes.
"""

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from fuchsiamoor.core import errors
from fuchsiamoor.peers import codec
from fuchsiamoor.traffic import catalog, upstreams

NO_OWNER = ""
_FORMAT_VERSION = 1
# Versions are fences, which upstreams read as JSON numbers.
_VERSION_MAX = 2**53 - 1
# Bits of a version below the store's era; a table that is written every second fills
# them in 136 years.
_COUNT_BITS = 32
_STARTED = re.compile(r"[0-9]{1,19}")


class Row(NamedTuple):
    """A range of consecutive keys with one owner.

    Parameters
    ----------
    first, last : int
        Both ends included.
    owner : str
        Owner's name, see `make_owner`; `NO_OWNER` for none.
    fence : int
    handover : str
        Token of the previous owner, empty if there is none.
    moving_to : str
        Next owner, for which the current one is to release the row; empty if the row
        stays.
    """

    first: int
    last: int
    owner: str
    fence: int
    handover: str = ""
    moving_to: str = ""


class RangeTable(NamedTuple):
    """The range table of one service.

    Parameters
    ----------
    service : str
    version : int
        Increases with every write.
    rows : tuple of Row
        In order, without gaps.
    """

    service: str
    version: int
    rows: tuple[Row, ...]


class _StoredRow(NamedTuple):
    """A row as it is stored, with numbers in place of owners."""

    last: int
    owner: int
    fence: int
    handover: str
    moving_to: int


class _StoredTable(NamedTuple):
    """A table as it is stored."""

    format_version: int
    service: str
    version: int
    owners: tuple[str, ...]
    rows: tuple[_StoredRow, ...]


def make_owner(instance: str, incarnation: upstreams.Incarnation) -> str:
    """Return the owner name of an upstream incarnation at an instance.

    Examples
    --------
    >>> make_owner("10.0.0.1", upstreams.Incarnation("i-1", 5))
    '10.0.0.1/i-1@5'
    """
    return f"{instance}/{upstreams.format_incarnation(incarnation)}"


def instance_of(owner: str) -> str:
    """Return the instance in the name of an owner.

    Examples
    --------
    >>> instance_of("10.0.0.1/i-1@5")
    '10.0.0.1'
    """
    return owner.partition("/")[0]


def incarnation_of(owner: str) -> upstreams.Incarnation:
    """Return the incarnation in the name of an owner.

    Raises
    ------
    ValueError
        If `make_owner` makes no such name.

    Examples
    --------
    >>> incarnation_of("10.0.0.1/i-1@5")
    Incarnation(upstream_id='i-1', started_unix_ms=5)
    """
    instance, separator, name = owner.partition("/")
    upstream_id, _, started = name.rpartition("@")
    if not (instance and separator and upstream_id and _STARTED.fullmatch(started)):
        raise ValueError(f"owner: found {owner!r:.80}, expected INSTANCE/ID@TIME")
    return upstreams.Incarnation(upstream_id, int(started))


def make_version(era: int, count: int) -> int:
    """Return the version of a table that is the given one of its era.

    Examples
    --------
    >>> make_version(0, 7), make_version(1, 0) > make_version(0, 7)
    (7, True)
    """
    return era << _COUNT_BITS | count


def era_of(version: int) -> int:
    """Return the era of the store in which a version was planned."""
    return version >> _COUNT_BITS


def is_first(table: RangeTable) -> bool:
    """Return whether no table has been written yet in the era."""
    return table.version == make_version(era_of(table.version), 0)


def make_empty_table(service: str, era: int = 0) -> RangeTable:
    """Return the version before the first of an era, in which no key has an owner."""
    row = Row(0, catalog.KEY_COUNT - 1, NO_OWNER, 0)
    return RangeTable(service, make_version(era, 0), (row,))


def find_row(table: RangeTable, key: int) -> Row:
    """Return the row that covers a key."""
    low, high = 0, len(table.rows) - 1
    while low < high:
        middle = (low + high) // 2
        if table.rows[middle].last < key:
            low = middle + 1
        else:
            high = middle
    return table.rows[low]


def count_keys(row: Row) -> int:
    """Return the number of keys of a row."""
    return row.last - row.first + 1


def list_owners(table: RangeTable) -> set[str]:
    """Return the names of all owners of a table."""
    return {row.owner for row in table.rows} - {NO_OWNER}


def list_rows(table: RangeTable, owner: str) -> list[Row]:
    """Return the rows of one owner in order, including those being moved."""
    return [row for row in table.rows if row.owner == owner]


def split_row(row: Row, sizes: Sequence[int]) -> list[Row]:
    """Split a row into parts of the given sizes, which add up to its keys."""
    parts, first = [], row.first
    for size in sizes:
        if size > 0:
            parts.append(row._replace(first=first, last=first + size - 1))
            first += size
    return parts


def merge_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Merge adjacent rows that differ only in their keys.

    Examples
    --------
    >>> merge_rows([Row(0, 1, "a", 1), Row(2, 3, "a", 1), Row(4, 5, "b", 1)])[0].last
    3
    """
    merged: list[Row] = []
    for row in rows:
        if merged and merged[-1][2:] == row[2:] and not row.handover:
            merged[-1] = merged[-1]._replace(last=row.last)
        else:
            merged.append(row)
    return tuple(merged)


def encode_table(table: RangeTable) -> bytes:
    """Return a table in CBOR; owners are numbered and each is named once."""
    owners = sorted({name for row in table.rows for name in (row.owner, row.moving_to)})
    numbers = {owner: number for number, owner in enumerate(owners)}
    rows = tuple(
        _StoredRow(
            row.last,
            numbers[row.owner],
            row.fence,
            row.handover,
            numbers[row.moving_to],
        )
        for row in table.rows
    )
    return codec.encode_record(
        _StoredTable(_FORMAT_VERSION, table.service, table.version, tuple(owners), rows)
    )


def decode_table(encoded: bytes) -> RangeTable:
    """Decode a table that `encode_table` encoded.

    Raises
    ------
    ValueError
        If it is malformed or its rows do not cover all keys in order.
    """
    try:
        stored = codec.decode_record(_StoredTable, encoded)
    except errors.FrameError as error:
        raise ValueError(f"range table: malformed: {error}") from error
    if stored.format_version != _FORMAT_VERSION:
        raise ValueError(
            f"range table: found format {stored.format_version}, expected 1"
        )
    if not stored.service or not 0 < stored.version <= _VERSION_MAX:
        raise ValueError(
            f"range table: found version {stored.version} of {stored.service!r:.40}"
        )
    for owner in stored.owners:
        if owner != NO_OWNER:
            incarnation_of(owner)
    rows, first = [], 0
    for row in stored.rows:
        rows.append(_decode_row(stored, row, first))
        first = row.last + 1
    if first != catalog.KEY_COUNT:
        raise ValueError(f"range table: covers {first} keys, expected all")
    return RangeTable(stored.service, stored.version, tuple(rows))


def _decode_row(stored: _StoredTable, row: _StoredRow, first: int) -> Row:
    if row.last < first:
        raise ValueError(f"range table: row ends at {row.last}, begins at {first}")
    if not 0 <= row.fence <= stored.version:
        raise ValueError(
            f"range table: found fence {row.fence}, expected up to version"
        )
    if min(row.owner, row.moving_to) < 0:
        raise ValueError("range table: found a negative number of an owner")
    try:
        owner, moving_to = stored.owners[row.owner], stored.owners[row.moving_to]
    except IndexError as error:
        raise ValueError("range table: found the number of no owner") from error
    return Row(first, row.last, owner, row.fence, row.handover, moving_to)
