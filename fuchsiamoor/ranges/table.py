"""The range table of a service: which incarnation owns which keys.

A table is a single value in the store that is replaced by compare-and-swap. Its rows
cover all keys in order. A fence is the version of the table that assigned the row to
its owner, so fences only increase.
"""

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import cbor2

from fuchsiamoor.traffic import catalog, upstreams

NO_OWNER = ""
_FORMAT_VERSION = 1
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


def make_empty_table(service: str) -> RangeTable:
    """Return version 0, in which no key has an owner."""
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
    return cbor2.dumps([_FORMAT_VERSION, table.service, table.version, owners, rows])


def decode_table(encoded: bytes) -> RangeTable:
    """Decode a table that `encode_table` encoded.

    Raises
    ------
    ValueError
        If it is malformed or its rows do not cover all keys in order.
    """
    try:
        format_version, service, version, owners, rows = cbor2.loads(encoded)
        if format_version != _FORMAT_VERSION:
            raise ValueError(
                f"range table: found format {format_version!r:.20}, expected 1"
            )
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
