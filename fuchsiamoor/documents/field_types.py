"""Kinds of fields that the typed models of documents share."""

from typing import Annotated, NotRequired

import pydantic

from fuchsiamoor.documents import validation


def make_field_info(text: str, default: object = None, **bounds) -> object:
    """Return what pydantic notes about a field: its meaning, default and bounds."""
    extra = {} if default is None else {"default": default}
    return pydantic.Field(description=text, json_schema_extra=extra, **bounds)


def required(kind: object, text: str, **bounds) -> object:
    """Return the annotation of a field that must be there."""
    return Annotated[kind, make_field_info(text, **bounds)]


def optional(kind: object, text: str, default: object = None, **bounds) -> object:
    """Return the annotation of a field that may be left out."""
    return NotRequired[Annotated[kind, make_field_info(text, default, **bounds)]]


def optional_count(text: str, default: int, least: int, most: int) -> object:
    """Return the annotation of a whole number that may be left out."""
    return optional(int, text, default, ge=least, le=most)


def make_schema_config(title: str, **extra: object) -> pydantic.ConfigDict:
    """Return the settings of a typed dictionary that refuses unknown fields."""
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
