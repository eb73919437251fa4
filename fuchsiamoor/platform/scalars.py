"""Parses single fields of the platform's messages: durations, versions, addresses."""

import math
import re

from fuchsiamoor.core import addresses

# What decoding a malformed document may raise besides `ValueError`: a field that is
# missing, of another type or out of range, or lists nested too deeply.
MALFORMED = (
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

# Largest integer that every JSON reader keeps exactly.
INT_MAX = 2**53 - 1

_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)")
_VERSION = re.compile(r"r([0-9]{1,18})")


def read_duration_ms(text: object) -> int:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into milliseconds.

    Raises
    ------
    ValueError
        If it is no number followed by ``ms`` or ``s``.

    Examples
    --------
    >>> read_duration_ms("2.5s"), read_duration_ms("870ms")
    (2500, 870)
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(
            f"duration: found {text!r:.40}, expected a number, then ms or s"
        )
    number = float(match[1])
    return round(number * 1000) if match[2] == "s" else round(number)


def read_version(text: object) -> int:
    """Parse a configuration version such as ``r12`` into its number.

    Raises
    ------
    ValueError
        If it is not ``r`` followed by a number.

    Examples
    --------
    >>> read_version("r12")
    12
    """
    match = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"version: found {text!r:.40}, expected r, then a number")
    return int(match[1])


def read_address(text: object) -> addresses.Address:
    """Parse ``HOST:PORT``; raises `ValueError` for any other form."""
    if not isinstance(text, str):
        raise ValueError(f"address: found {text!r:.40}, expected HOST:PORT")
    return addresses.parse_address(text)


def read_int(value: object, name: str) -> int:
    """Return an integer from 0 to `INT_MAX`; raises `ValueError` otherwise."""
    if type(value) is not int or not 0 <= value <= INT_MAX:
        raise ValueError(
            f"{name}: found {value!r:.40}, expected an integer from 0 to {INT_MAX}"
        )
    return value


def read_float(value: object, name: str) -> float:
    """Return a finite number of 0 or more; raises `ValueError` otherwise."""
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"{name}: found {value!r:.40}, expected a number from 0")
    return float(value)


def read_bool(value: object, name: str) -> bool:
    """Return a truth value; raises `ValueError` for any other value."""
    if type(value) is not bool:
        raise ValueError(f"{name}: found {value!r:.40}, expected true or false")
    return value


def read_text(value: object, name: str) -> str:
    """Return a non-empty string; raises `ValueError` for any other value."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: found {value!r:.40}, expected a non-empty string")
    return value


def read_list(value: object, name: str) -> list:
    """Return a list; raises `ValueError` for any other value."""
    if not isinstance(value, list):
        raise ValueError(f"{name}: found {value!r:.40}, expected a list")
    return value
