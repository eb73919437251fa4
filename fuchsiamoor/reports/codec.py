"""Encodes typed reports as JSON and decodes them again."""

import functools
import json
from dataclasses import is_dataclass
from typing import TypeVar

import pydantic

from fuchsiamoor.core import errors, faults
from fuchsiamoor.documents import validation

T = TypeVar("T")


def encode(value: object) -> bytes:
    """Encode typed data as JSON; data classes and named tuples become objects."""
    return _encode(value).encode()


def decode(kind: type[T], text: bytes) -> T:
    """Decode JSON into a value of a type.

    Raises
    ------
    InvalidDocumentError
        If the JSON is malformed or does not match ``kind``.
    """
    try:
        return _adapter(kind).validate_json(text)
    except pydantic.ValidationError as error:
        found = [
            faults.Fault(
                validation.format_path(item["loc"]),
                validation.show(item["input"]),
                item["msg"],
            )
            for item in error.errors(include_url=False)
        ]
        raise errors.InvalidDocumentError(found) from None


@functools.cache
def _adapter(kind: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(kind)


def _encode(value: object) -> str:
    if is_dataclass(value):
        return _adapter(type(value)).dump_json(value).decode()
    if hasattr(value, "_asdict"):
        return _encode(value._asdict())
    match value:
        case dict():
            parts = [
                f"{json.dumps(str(name))}: {_encode(part)}"
                for name, part in value.items()
            ]
            return "{" + ", ".join(parts) + "}"
        case list() | tuple():
            return "[" + ", ".join(_encode(part) for part in value) + "]"
        case set() | frozenset():
            return _encode(sorted(value))
    return json.dumps(value, ensure_ascii=False)
