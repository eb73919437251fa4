"""The range table of a service: which incarnation holds which keys.

A table is one value in the store, replaced whole by compare-and-swap. Its rows cover
all keys in order. A fence is the version of the table that gave the row to its owner,
so that fences rise for ever.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import cbor2

from fuchsiamoor.traffic import catalog, upstreams

NO_OWNER = ""
_FORMAT = 1


class Row(NamedTuple):
    """A run of keys with one owner.

    Parameters
    ----------
    first, last : int
        Both ends included.
    owner : str
        Owner's name, see `make_owner`; `NO_OWNER` for none.
    fence : int
    handover : str
        Token of the holder before, empty if there is none.
    moving_to : str
        Owner for whose sake the present one is to let go; empty if the row stays.
    """

    first: int
    last: int
    owner: str
    fence: int
    handover: str = ""
    moving_to: str = ""


class RangeTable(NamedTuple):
    """The rows of one service.

    Parameters
    ----------
    service : str
    version : int
        Rises with every write.
    rows : tuple of Row
        In order, without gaps.
    """

    service: str
    version: int
    rows: tuple[Row, ...]


def make_owner(instance: str, incarnation: upstreams.Incarnation) -> str:
    """Name an upstream incarnation at an instance as an owner of keys.

    Examples
    --------
    >>> make_owner("10.0.0.1", upstreams.Incarnation("i-1", 5))
    '10.0.0.1/i-1@5'
    """
    return f"{instance}/{upstreams.format_incarnation(incarnation)}"


def instance_of(owner: str) -> str:
    """Return the instance at which an owner was started.

    Examples
    --------
    >>> instance_of("10.0.0.1/i-1@5")
    '10.0.0.1'
    """
    return owner.partition("/")[0]


def make_empty_table(service: str) -> RangeTable:
    """Return version 0, in which nobody owns anything."""
    row = Row(0, catalog.KEY_COUNT - 1, NO_OWNER, 0)
    return RangeTable(service, 0, (row,))


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
    """Return the rows of one owner, in order, those that are to move included."""
    return [row for row in table.rows if row.owner == owner]


def split_row(row: Row, sizes: Sequence[int]) -> list[Row]:
    """Cut a row into pieces of given sizes, which add up to its keys."""
    pieces, first = [], row.first
    for size in sizes:
        if size > 0:
            pieces.append(row._replace(first=first, last=first + size - 1))
            first += size
    return pieces


def merge_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Join neighbours that differ in nothing but their keys.

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
    """Return a table in CBOR, each owner named once."""
    owners = sorted({name for row in table.rows for name in (row.owner, row.moving_to)})
    numbers = {owner: number for number, owner in enumerate(owners)}
    rows = [
        [
            row.last,
            numbers[row.owner],
            row.fence,
            row.handover,
            numbers[row.moving_to],
        ]
        for row in table.rows
    ]
    return cbor2.dumps([_FORMAT, table.service, table.version, owners, rows])


def decode_table(encoded: bytes) -> RangeTable:
    """Read what `encode_table` wrote.

    Raises
    ------
    ValueError
        If it is malformed or does not cover all keys in order.
    """
    try:
        written, service, version, owners, rows = cbor2.loads(encoded)
        if written != _FORMAT:
            raise ValueError(f"range table: found format {written!r:.20}, expected 1")
        found, first = [], 0
        for last, owner, fence, handover, moving_to in rows:
            found.append(
                Row(first, last, owners[owner], fence, handover, owners[moving_to])
            )
            if last < first:
                raise ValueError(f"range table: row ends at {last}, begins at {first}")
            first = last + 1
    except (TypeError, LookupError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"range table: malformed: {error!r}") from error
    if first != catalog.KEY_COUNT:
        raise ValueError(f"range table: covers {first} keys, expected all")
    return RangeTable(service, version, tuple(found))
