"""Records on the wire: `NamedTuple` data to and from plain CBOR arrays.

The fields' type hints say how each is written, so that a new field needs no code here.
Understood are ``str``, ``bytes``, ``int``, ``bool``, string enumerations, records,
unions of records, tuples and dicts of these. Readers check every type and raise
`ValueError`; the codec turns that into its own error.
"""

import functools
import types
import typing
from collections.abc import Callable
from enum import Enum

MAX_ITEMS = 65_536
MAX_INT = 2**64 - 1
MIN_INT = -(2**63)

Reader = Callable[[object], object]

_PLAIN_TYPES = (str, bytes, bool)


class UnreadableRecordError(ValueError):
    """A decoded value does not have the shape of the record."""


@functools.cache
def make_reader(hint: object) -> Reader:
    """Return a function that checks a decoded value and gives it the hinted type.

    Parameters
    ----------
    hint : type
        A record or the type of one of its fields.

    Returns
    -------
    callable
        Raises `UnreadableRecordError` for any value of another shape.
    """
    if hint in _PLAIN_TYPES:
        return functools.partial(_read_plain, hint)
    if hint is int:
        return _read_int
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return functools.partial(_read_union, tuple(map(make_reader, arguments)))
    if origin is tuple and arguments[-1] is Ellipsis:
        return functools.partial(_read_sequence, make_reader(arguments[0]))
    if origin is tuple:
        return functools.partial(_read_fixed, tuple(map(make_reader, arguments)))
    if origin is dict:
        return functools.partial(_read_dict, *map(make_reader, arguments))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return functools.partial(_read_enum, hint)
    return functools.partial(_read_record, hint, _make_field_readers(hint))


@functools.cache
def make_writer(hint: object) -> Callable | None:
    """Return a function that makes a value plain, None where it already is.

    Parameters
    ----------
    hint : type
        A record or the type of one of its fields.
    """
    if hint in (*_PLAIN_TYPES, int):
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
    return functools.partial(_write_record, converted) if converted else None


def _field_hints(record_type: type) -> list[object]:
    hints = typing.get_type_hints(record_type)
    return [hints[name] for name in record_type._fields]


def _make_field_readers(record_type: type) -> tuple[tuple, tuple]:
    """Return the decoded types of a record's fields and the readers still needed."""
    decoded_types = []
    readers = []
    for i, hint in enumerate(_field_hints(record_type)):
        decoded_types.append(_decoded_type(hint))
        if hint not in _PLAIN_TYPES:
            readers.append((i, make_reader(hint)))
    return tuple(decoded_types), tuple(readers)


def _decoded_type(hint: object) -> type:
    if hint in (*_PLAIN_TYPES, int):
        return hint
    if typing.get_origin(hint) is dict:
        return dict
    if isinstance(hint, type) and issubclass(hint, Enum):
        return str
    return list


def _read_plain(expected: type, value: object) -> object:
    if type(value) is not expected:
        raise UnreadableRecordError(
            f"found {type(value).__name__}, expected {expected.__name__}"
        )
    return value


def _read_int(value: object) -> int:
    if type(value) is not int or not MIN_INT <= value <= MAX_INT:
        raise UnreadableRecordError(f"found {value!r:.40}, expected a 64-bit integer")
    return value


def _read_enum(enum_type: type[Enum], value: object) -> Enum:
    try:
        return enum_type(value)
    except ValueError:
        raise UnreadableRecordError(
            f"found {value!r:.40}, expected one of {enum_type.__name__}"
        ) from None


def _read_list(value: object) -> list:
    if type(value) is not list or len(value) > MAX_ITEMS:
        raise UnreadableRecordError(f"expected a list of at most {MAX_ITEMS} items")
    return value


def _read_sequence(read_item: Reader, value: object) -> tuple:
    return tuple([read_item(item) for item in _read_list(value)])


def _read_fixed(readers: tuple[Reader, ...], value: object) -> tuple:
    if len(_read_list(value)) != len(readers):
        raise UnreadableRecordError(f"expected a list of {len(readers)} items")
    return tuple([read(item) for read, item in zip(readers, value, strict=True)])


def _read_dict(read_key: Reader, read_value: Reader, value: object) -> dict:
    if type(value) is not dict or len(value) > MAX_ITEMS:
        raise UnreadableRecordError(f"expected a map of at most {MAX_ITEMS} items")
    return {read_key(key): read_value(item) for key, item in value.items()}


def _read_union(readers: tuple[Reader, ...], value: object) -> object:
    number, *fields = _read_list(value) or [None]
    if type(number) is not int or not 0 <= number < len(readers):
        raise UnreadableRecordError(f"found {number!r:.40}, expected a record's number")
    return readers[number](fields)


def _read_record(record_type: type, fields: tuple[tuple, tuple], value: object):
    decoded_types, readers = fields
    if tuple(map(type, _read_list(value))) != decoded_types:
        raise UnreadableRecordError(
            f"fields of {record_type.__name__}: found "
            f"{[type(item).__name__ for item in value[:20]]}, "
            f"expected {[item.__name__ for item in decoded_types]}"
        )
    for i, read in readers:
        value[i] = read(value[i])
    return record_type._make(value)


def _write_enum(value: Enum) -> str:
    return value.value


def _write_sequence(write_item: Callable, value: tuple) -> list:
    return [write_item(item) for item in value]


def _write_union(members: tuple[type, ...], value: tuple) -> list:
    record_type = type(value)
    write = make_writer(record_type)
    plain = value if write is None else write(value)
    return [members.index(record_type), *plain]


def _write_record(writers: tuple, value: tuple) -> list:
    plain = list(value)
    for i, write in writers:
        plain[i] = write(plain[i])
    return plain
