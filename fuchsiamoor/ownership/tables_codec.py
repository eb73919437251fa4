"""Encoding of shard tables: a CBOR array with owners as indices into a member list.

Owners and epochs are packed into arrays of the smallest sufficient integer width, so
that a table of 4096 shards takes tens of kilobytes.
"""

import struct

import cbor2

from fuchsiamoor.core import errors, tables

_FORMAT = 1
_WIDTHS = (("B", 1 << 8), ("H", 1 << 16), ("I", 1 << 32), ("Q", 1 << 64))


def encode_table(table: tables.ShardTable) -> bytes:
    """Return the stored form of a table."""
    names = _list_members(table)
    index = {name: position for position, name in enumerate(names)}
    base = min(table.epochs, default=0)
    return cbor2.dumps(
        [
            _FORMAT,
            table.domain,
            table.term,
            table.revision,
            table.shard_count,
            names,
            index[table.coordinator],
            _pack([index[owner] for owner in table.owners]),
            base,
            _pack([epoch - base for epoch in table.epochs]),
            [
                [shard, index[entry.previous_owner], entry.revision]
                for shard, entry in sorted(table.pending.items())
            ],
            [[index[name], revision] for name, revision in sorted(table.lost.items())],
            [[index[voter.member_id], voter.votes] for voter in table.voters],
            [[index[voter.member_id], voter.votes] for voter in table.previous_voters],
            table.voters_revision,
            sorted(table.isolated.items()),
        ]
    )


def decode_table(data: bytes) -> tables.ShardTable:
    """Decode the stored form of a table.

    Raises
    ------
    FrameError
        If the bytes are not a table of a known format.
    """
    try:
        return _decode(cbor2.loads(data))
    except (
        cbor2.CBORError,
        struct.error,
        ValueError,
        TypeError,
        LookupError,
        RecursionError,
    ) as error:
        raise errors.FrameError(f"not a shard table: {error}") from error


def _decode(fields: list) -> tables.ShardTable:
    if fields[0] != _FORMAT:
        raise ValueError(f"table format {fields[0]!r}, expected {_FORMAT}")
    names = fields[5]
    base = fields[8]
    _check_types(str, fields[1], *names)
    _check_types(int, *fields[2:5], fields[6], base, fields[14])
    for numbers in (*fields[10], *fields[11], *fields[12], *fields[13], *fields[15]):
        _check_types(int, *numbers)
    return tables.ShardTable(
        domain=fields[1],
        term=fields[2],
        coordinator=names[fields[6]],
        revision=fields[3],
        shard_count=fields[4],
        owners=tuple(names[position] for position in _unpack(fields[7])),
        epochs=tuple(base + offset for offset in _unpack(fields[9])),
        pending={
            shard: tables.PendingShard(names[position], revision)
            for shard, position, revision in fields[10]
        },
        lost={names[position]: revision for position, revision in fields[11]},
        voters=_decode_voters(names, fields[12]),
        previous_voters=_decode_voters(names, fields[13]),
        voters_revision=fields[14],
        isolated=dict(fields[15]),
    )


def _check_types(expected: type, *values: object) -> None:
    for value in values:
        if type(value) is not expected:
            raise TypeError(f"found {value!r:.40}, expected {expected.__name__}")


def _decode_voters(names: list[str], pairs: list) -> tuple[tables.Voter, ...]:
    return tuple(tables.Voter(names[position], votes) for position, votes in pairs)


def _list_members(table: tables.ShardTable) -> list[str]:
    names = {tables.NO_OWNER, table.coordinator, *table.owners, *table.lost}
    names.update(entry.previous_owner for entry in table.pending.values())
    names.update(voter.member_id for voter in table.voters + table.previous_voters)
    return sorted(names)


def _pack(values: list[int]) -> list:
    code = _choose_code(max(values, default=0))
    return [code, struct.pack(f"<{len(values)}{code}", *values)]


def _unpack(packed: list) -> tuple[int, ...]:
    code, data = packed
    size = struct.calcsize(f"<{code}")
    return struct.unpack(f"<{len(data) // size}{code}", data)


def _choose_code(largest: int) -> str:
    for code, bound in _WIDTHS:
        if largest < bound:
            return code
    raise ValueError(f"value {largest} does not fit 64 bits")
