"""Field types and annotations shared by the typed models of documents."""

from typing import Annotated, NotRequired

import pydantic

from fuchsiamoor.documents import validation


def make_field_info(text: str, default: object = None, **bounds) -> object:
    """Return pydantic metadata of a field: its description, default and bounds."""
    extra = {} if default is None else {"default": default}
    return pydantic.Field(description=text, json_schema_extra=extra, **bounds)


def required(field_type: object, text: str, **bounds) -> object:
    """Return the annotation of a required field."""
    return Annotated[field_type, make_field_info(text, **bounds)]


def optional(field_type: object, text: str, default: object = None, **bounds) -> object:
    """Return the annotation of an optional field."""
    return NotRequired[Annotated[field_type, make_field_info(text, default, **bounds)]]


def optional_count(text: str, default: int, minimum: int, maximum: int) -> object:
    """Return the annotation of an optional integer field."""
    return optional(int, text, default, ge=minimum, le=maximum)


def make_schema_config(title: str, **extra: object) -> pydantic.ConfigDict:
    """Return the pydantic configuration of a schema that rejects unknown fields."""
    return pydantic.ConfigDict(extra="forbid", title=title, json_schema_extra=extra)


def _check_unique(names: list[str]) -> list[str]:
    if len(set(names)) < len(names):
        raise ValueError("each name once")
    return names


Name = Annotated[str, pydantic.Field(pattern=validation.NAME_PATTERN)]
Names = Annotated[list[Name], pydantic.AfterValidator(_check_unique)]
NonEmptyNames = Annotated[Names, pydantic.Field(min_length=1)]
Method = Annotated[str, pydantic.Field(pattern=validation.METHOD_PATTERN)]
Methods = Annotated[list[Method], pydantic.AfterValidator(_check_unique)]
