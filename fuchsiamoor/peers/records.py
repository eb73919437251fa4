"""Serialisation of `NamedTuple` records to and from plain CBOR arrays.

Readers and writers are derived from the fields' type hints, so that a new field needs
no code here. The last fields of a record that its class counts as ``ADDED_FIELDS`` are
not sent while they equal their defaults, so that daemons of the version before
understand it, and may be missing from what such a daemon sends. Supported types are
``str``, ``bytes``, ``int``, ``bool``, string enumerations, records, unions of records,
and tuples and dicts of these. Readers check every type and raise
`UnreadableRecordError`, which the codec converts to `FrameError`.
"""

import functools
import types
import typing
from collections.abc import Callable, Sequence
from enum import Enum

MAX_COLLECTION_ITEMS = 65_536

Reader = Callable[[object], object]

_PLAIN_TYPES = (str, bytes, bool, int)
_new_tuple = tuple.__new__


class UnreadableRecordError(ValueError):
    """A decoded value does not match the fields of the record."""


@functools.cache
def make_reader(hint: object) -> Reader:
    """Return a function that checks a decoded value and converts it to the hinted type.

    Integers need no range check: without tags, CBOR has no integer above 64 bits.

    Parameters
    ----------
    hint : type
        A record or the type of one of its fields.

    Returns
    -------
    callable
        Raises `UnreadableRecordError` for a value that does not match the hint.
    """
    if hint in _PLAIN_TYPES:
        return _make_plain_reader(hint)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return _make_union_reader(arguments)
    if origin is tuple and arguments[-1] is Ellipsis:
        return _make_sequence_reader(arguments[0])
    if origin is tuple:
        return _make_fields_reader(tuple, arguments)
    if origin is dict:
        return _make_dict_reader(*arguments)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _make_enum_reader(hint)
    return _make_fields_reader(hint, _field_hints(hint), _list_added(hint))


@functools.cache
def make_writer(hint: object) -> Callable | None:
    """Return a function that converts a value to CBOR types, None if none is needed.

    Parameters
    ----------
    hint : type
        A record or the type of one of its fields.
    """
    if hint in _PLAIN_TYPES:
        return None
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return functools.partial(_write_union, arguments)
    if origin is tuple:
        items = make_writer(arguments[0])
        return None if items is None else functools.partial(_write_sequence, items)
    if origin is dict:
        return None
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _write_enum
    writers = [make_writer(field) for field in _field_hints(hint)]
    converted = tuple((i, writer) for i, writer in enumerate(writers) if writer)
    added = _list_added(hint)
    if not converted and not added:
        return None
    return functools.partial(_write_record, converted, added)


def _field_hints(record_type: type) -> list[object]:
    hints = typing.get_type_hints(record_type)
    return [hints[name] for name in record_type._fields]


def _list_added(record_type: type) -> tuple:
    """Return the defaults of the fields that the version before does not know."""
    count = getattr(record_type, "ADDED_FIELDS", 0)
    names = record_type._fields[-count:] if count else ()
    return tuple(record_type._field_defaults[name] for name in names)


def _decoded_type(hint: object) -> type:
    """Return the type to which the CBOR library decodes a field's value."""
    if hint in _PLAIN_TYPES:
        return hint
    if typing.get_origin(hint) is dict:
        return dict
    if isinstance(hint, type) and issubclass(hint, Enum):
        return str
    return list


def _make_plain_reader(expected: type) -> Reader:
    def read(value: object) -> object:
        if type(value) is not expected:
            raise UnreadableRecordError(
                f"found {type(value).__name__}, expected {expected.__name__}"
            )
        return value

    return read


def _make_enum_reader(enum_type: type[Enum]) -> Reader:
    members = {member.value: member for member in enum_type}

    def read(value: object) -> Enum:
        if type(value) is not str or value not in members:
            raise UnreadableRecordError(
                f"found {value!r:.40}, expected one of {enum_type.__name__}"
            )
        return members[value]

    return read


def _make_fields_reader(
    record_type: type, hints: Sequence[object], added: tuple = ()
) -> Reader:
    """Return a reader for a record or a tuple of fixed length.

    ``added`` are the defaults of the last fields, which may be missing.
    """
    expected = tuple(map(_decoded_type, hints))
    readers = tuple(
        (i, make_reader(hint))
        for i, hint in enumerate(hints)
        if hint not in _PLAIN_TYPES
    )

    def read(value: object) -> tuple:
        if added and type(value) is list:
            missing = len(expected) - len(value)
            if 0 < missing <= len(added):
                value.extend(added[-missing:])
        if type(value) is not list or tuple(map(type, value)) != expected:
            raise UnreadableRecordError(_describe_fields(record_type, expected, value))
        for i, read_field in readers:
            value[i] = read_field(value[i])
        return _new_tuple(record_type, value)

    return read


def _describe_fields(record_type: type, expected: tuple, value: object) -> str:
    names = [item.__name__ for item in expected]
    if type(value) is not list:
        return f"{record_type.__name__}: found no list, expected {names}"
    found = [type(item).__name__ for item in value[:20]]
    return f"fields of {record_type.__name__}: found {found}, expected {names}"


def _make_sequence_reader(item_hint: object) -> Reader:
    read_item = make_reader(item_hint)

    def read(value: object) -> tuple:
        if type(value) is not list or len(value) > MAX_COLLECTION_ITEMS:
            raise UnreadableRecordError(
                f"expected a list of at most {MAX_COLLECTION_ITEMS} items"
            )
        return tuple([read_item(item) for item in value])

    return read


def _make_dict_reader(key_hint: object, value_hint: object) -> Reader:
    read_key = make_reader(key_hint)
    read_value = make_reader(value_hint)

    def read(value: object) -> dict:
        if type(value) is not dict or len(value) > MAX_COLLECTION_ITEMS:
            raise UnreadableRecordError(
                f"expected a map of at most {MAX_COLLECTION_ITEMS} items"
            )
        return {read_key(key): read_value(item) for key, item in value.items()}

    return read


def _make_union_reader(hints: Sequence[object]) -> Reader:
    readers = tuple(map(make_reader, hints))

    def read(value: object) -> object:
        number = value[0] if type(value) is list and value else None
        if type(number) is not int or not 0 <= number < len(readers):
            raise UnreadableRecordError(
                f"found {number!r:.40}, expected a record's number"
            )
        return readers[number](value[1:])

    return read


def _write_enum(value: Enum) -> str:
    return value.value


def _write_sequence(write_item: Callable, value: tuple) -> list:
    return [write_item(item) for item in value]


def _write_union(members: tuple[type, ...], value: tuple) -> list:
    record_type = type(value)
    write = make_writer(record_type)
    plain = value if write is None else write(value)
    return [members.index(record_type), *plain]


def _write_record(writers: tuple, added: tuple, value: tuple) -> list:
    plain = list(value)
    for i, write in writers:
        plain[i] = write(plain[i])
    for default in reversed(added):
        if plain[-1] != default:
            break
        plain.pop()
    return plain
