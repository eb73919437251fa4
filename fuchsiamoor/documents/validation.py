"""Checks of operators' JSON: every fault of a file at once, as data.

The shapes are typed dictionaries; pydantic compares a value with its shape. This module
turns what pydantic finds into `Fault`, and reads JSON more strictly than the standard
library does: no duplicate fields, no NaN, no lone surrogates.
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
VALUE_DISPLAY_CHARACTERS = 60

_PATTERNS_EXPECTED = {
    NAME_PATTERN: (
        "a name of 1 to 63 letters, digits, '.', '_' or '-', "
        "beginning with a letter or a digit"
    ),
    METHOD_PATTERN: "an HTTP method in capitals",
}
_MESSAGE_PREFIXES = ("Input should be ", "Value error, ")


class _DuplicateFieldError(ValueError):
    """A JSON object names a field twice."""


def load_json(text: bytes, limit_bytes: int) -> object:
    """Read JSON text.

    Parameters
    ----------
    text : bytes
    limit_bytes : int
        Largest size accepted.

    Raises
    ------
    InvalidDocumentError
        If the text is too large or is no strict JSON in UTF-8.
    """
    if len(text) > limit_bytes:
        raise _not_json(f"{len(text)} bytes", f"at most {limit_bytes} bytes")
    try:
        value = json.loads(
            text.decode("utf-8"),
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
        json.dumps(value, ensure_ascii=False, allow_nan=False).encode("utf-8")
    except _DuplicateFieldError as error:
        raise _not_json(str(error), "each field of an object once") from None
    except UnicodeError:
        raise _not_json("text that is not UTF-8", "JSON in UTF-8") from None
    except RecursionError:
        raise _not_json("values nested too deeply", "fewer levels") from None
    except ValueError as error:
        raise _not_json(shorten(str(error)), "valid JSON") from None
    return value


def check_schema(
    adapter: pydantic.TypeAdapter, value: object, secret: frozenset[str] = frozenset()
) -> list[faults.Fault]:
    """Compare a value with its shape.

    Parameters
    ----------
    adapter : TypeAdapter
    value : object
        As read by `load_json`.
    secret : frozenset of str
        Top-level fields whose values are never shown.

    Returns
    -------
    list of Fault
    """
    try:
        adapter.validate_python(value, strict=True)
    except pydantic.ValidationError as error:
        fields = _known_fields(adapter)
        found = error.errors(include_url=False)
        return [_to_fault(item, fields, secret) for item in found]
    return []


def format_path(location: Sequence[str | int]) -> str:
    """Return a place in a document as an operator reads it.

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
    """Return a value as JSON, shortened for display.

    Examples
    --------
    >>> show({"a": [1, 2]})
    '{"a": [1, 2]}'
    """
    return shorten(json.dumps(value, ensure_ascii=False, default=str))


def shorten(text: str) -> str:
    """Cut a text to what fits on a line.

    Examples
    --------
    >>> len(shorten("x" * 100))
    60
    """
    if len(text) <= VALUE_DISPLAY_CHARACTERS:
        return text
    return text[: VALUE_DISPLAY_CHARACTERS - 3] + "..."


def _to_fault(
    item: dict, fields: frozenset[str], secret: frozenset[str]
) -> faults.Fault:
    location = item["loc"]
    path = format_path(location)
    if secret and (not location or location[0] in secret):
        shown = "a value kept secret"
    else:
        shown = show(item["input"])
    match item["type"]:
        case "missing":
            return faults.Fault(path, "nothing", "this field")
        case "extra_forbidden":
            return faults.Fault(path, shown, _expected_field(location[-1], fields))
        case "string_pattern_mismatch":
            expected = _PATTERNS_EXPECTED[item["ctx"]["pattern"]]
            return faults.Fault(path, shown, expected)
    return faults.Fault(path, shown, _expected_text(item["msg"]))


def _expected_field(name: str | int, fields: frozenset[str]) -> str:
    near = difflib.get_close_matches(str(name), sorted(fields - {name}), n=1)
    if not near:
        return "no field of this name"
    return f"no field of this name (perhaps {near[0]})"


def _expected_text(message: str) -> str:
    for prefix in _MESSAGE_PREFIXES:
        message = message.removeprefix(prefix)
    return message


@functools.lru_cache(maxsize=8)
def _known_fields(adapter: pydantic.TypeAdapter) -> frozenset[str]:
    schema = adapter.json_schema()
    shapes = [schema, *schema.get("$defs", {}).values()]
    return frozenset(name for shape in shapes for name in shape.get("properties", {}))


def _refuse_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value = dict(pairs)
    if len(value) == len(pairs):
        return value
    [(twice, _)] = Counter(name for name, _ in pairs).most_common(1)
    raise _DuplicateFieldError(f"{shorten(twice)!a} twice in one object")


def _refuse_constant(text: str) -> object:
    raise ValueError(f"{text} is no JSON number")


def _not_json(found: str, expected: str) -> errors.InvalidDocumentError:
    return errors.InvalidDocumentError([faults.Fault("document", found, expected)])
