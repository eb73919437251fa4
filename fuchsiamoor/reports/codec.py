"""JSON of the reports: typed data to bytes and back."""

import functools
import json
from dataclasses import fields, is_dataclass
from typing import TypeVar

import pydantic

from fuchsiamoor.core import errors, faults
from fuchsiamoor.documents import validation

T = TypeVar("T")


def to_plain(value: object) -> object:
    """Return typed data as dictionaries, lists and scalars."""
    if is_dataclass(value):
        return {
            item.name: to_plain(getattr(value, item.name)) for item in fields(value)
        }
    if hasattr(value, "_asdict"):
        return {name: to_plain(part) for name, part in value._asdict().items()}
    match value:
        case dict():
            return {str(name): to_plain(part) for name, part in value.items()}
        case list() | tuple():
            return [to_plain(part) for part in value]
        case set() | frozenset():
            return sorted(to_plain(part) for part in value)
    return value


def encode(value: object) -> bytes:
    """Return typed data as JSON."""
    return json.dumps(to_plain(value), ensure_ascii=False).encode()


def decode(kind: type[T], text: bytes) -> T:
    """Return typed data from its JSON.

    Raises
    ------
    InvalidDocumentError
        If the JSON does not describe a ``kind``.
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
