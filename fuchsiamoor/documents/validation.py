"""Validation of operators' JSON files, which reports all faults of a file together.

Schemas are typed dictionaries, against which pydantic validates a value. This module
converts pydantic's errors to `Fault`, and parses JSON more strictly than the standard
library: no duplicate fields, no NaN, no lone surrogates.
"""

import difflib
import functools
import json
from collections import Counter
from collections.abc import Sequence

import pydantic

from fuchsiamoor.core import errors, faults

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
METHOD_PATTERN = r"^[A-Z]{1,32}$"
MAX_DISPLAY_CHARACTERS = 60

_PATTERN_DESCRIPTIONS = {
    NAME_PATTERN: (
        "a name of 1 to 63 letters, digits, '.', '_' or '-', "
        "beginning with a letter or a digit"
    ),
    METHOD_PATTERN: "an HTTP method in capitals",
}
_MESSAGE_PREFIXES = ("Input should be ", "Value error, ")


class _DuplicateFieldError(ValueError):
    """A JSON object contains the same field twice."""


def load_json(text: bytes, limit_bytes: int) -> object:
    """Parse strict JSON.

    Parameters
    ----------
    text : bytes
    limit_bytes : int
        Largest size accepted.

    Raises
    ------
    InvalidDocumentError
        If the text is too large or is not strict JSON in UTF-8.
    """
    if len(text) > limit_bytes:
        raise _make_document_fault(f"{len(text)} bytes", f"at most {limit_bytes} bytes")
    try:
        value = json.loads(
            text.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_fields,
            parse_constant=_reject_constant,
        )
        json.dumps(value, ensure_ascii=False, allow_nan=False).encode("utf-8")
    except _DuplicateFieldError as error:
        raise _make_document_fault(str(error), "each field of an object once") from None
    except UnicodeError:
        raise _make_document_fault("text that is not UTF-8", "JSON in UTF-8") from None
    except RecursionError:
        raise _make_document_fault("values nested too deeply", "fewer levels") from None
    except ValueError as error:
        raise _make_document_fault(shorten(str(error)), "valid JSON") from None
    return value


def check_schema(
    adapter: pydantic.TypeAdapter,
    value: object,
    secret_fields: frozenset[str] = frozenset(),
) -> list[faults.Fault]:
    """Validate a value against its schema.

    Parameters
    ----------
    adapter : TypeAdapter
    value : object
        As parsed by `load_json`.
    secret_fields : frozenset of str
        Top-level fields whose values must not appear in faults.

    Returns
    -------
    list of Fault
    """
    try:
        adapter.validate_python(value, strict=True)
    except pydantic.ValidationError as error:
        fields = _list_known_fields(adapter)
        found = error.errors(include_url=False)
        return [_make_fault(item, fields, secret_fields) for item in found]
    return []


def format_path(location: Sequence[str | int]) -> str:
    """Format the location of a value in a document for an operator.

    Examples
    --------
    >>> format_path(("tenants", "acme", "home_regions", 0))
    'tenants.acme.home_regions[0]'
    >>> format_path(())
    'document'
    """
    path = ""
    for part in location:
        match part:
            case int():
                path += f"[{part}]"
            case "[key]":
                path += " (its name)"
            case _:
                path += f".{part}" if path else part
    return path or "document"


def show(value: object) -> str:
    """Format a value as JSON, truncated for display.

    Examples
    --------
    >>> show({"a": [1, 2]})
    '{"a": [1, 2]}'
    """
    return shorten(json.dumps(value, ensure_ascii=False, default=str))


def shorten(text: str) -> str:
    """Truncate a text to `MAX_DISPLAY_CHARACTERS`.

    Examples
    --------
    >>> len(shorten("x" * 100))
    60
    """
    if len(text) <= MAX_DISPLAY_CHARACTERS:
        return text
    return text[: MAX_DISPLAY_CHARACTERS - 3] + "..."


def _make_fault(
    item: dict, fields: frozenset[str], secret_fields: frozenset[str]
) -> faults.Fault:
    location = item["loc"]
    path = format_path(location)
    if secret_fields and (not location or location[0] in secret_fields):
        shown = "a value kept secret"
    else:
        shown = show(item["input"])
    match item["type"]:
        case "missing":
            return faults.Fault(path, "nothing", "this field")
        case "extra_forbidden":
            return faults.Fault(
                path, shown, _describe_unknown_field(location[-1], fields)
            )
        case "string_pattern_mismatch":
            expected = _PATTERN_DESCRIPTIONS[item["ctx"]["pattern"]]
            return faults.Fault(path, shown, expected)
    return faults.Fault(path, shown, _strip_message_prefix(item["msg"]))


def _describe_unknown_field(name: str | int, fields: frozenset[str]) -> str:
    similar = difflib.get_close_matches(str(name), sorted(fields - {name}), n=1)
    if not similar:
        return "no field of this name"
    return f"no field of this name (perhaps {similar[0]})"


def _strip_message_prefix(message: str) -> str:
    for prefix in _MESSAGE_PREFIXES:
        message = message.removeprefix(prefix)
    return message


@functools.lru_cache(maxsize=8)
def _list_known_fields(adapter: pydantic.TypeAdapter) -> frozenset[str]:
    schema = adapter.json_schema()
    schemas = [schema, *schema.get("$defs", {}).values()]
    return frozenset(name for item in schemas for name in item.get("properties", {}))


def _reject_duplicate_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value = dict(pairs)
    if len(value) == len(pairs):
        return value
    [(duplicate, _)] = Counter(name for name, _ in pairs).most_common(1)
    raise _DuplicateFieldError(f"{shorten(duplicate)!a} twice in one object")


def _reject_constant(text: str) -> object:
    raise ValueError(f"{text} is no JSON number")


def _make_document_fault(found: str, expected: str) -> errors.InvalidDocumentError:
    return errors.InvalidDocumentError([faults.Fault("document", found, expected)])
