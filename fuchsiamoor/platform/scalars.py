"""Scalars of the platform's messages: durations, versions and addresses as text."""

import re

from fuchsiamoor.core import addresses

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"r([0-9]+)")


def read_duration_ms(text: object) -> int:
    """Read a duration such as ``1500ms`` or ``2.5s``, in milliseconds.

    Raises
    ------
    ValueError

    Examples
    --------
    >>> read_duration_ms("2.5s"), read_duration_ms("870ms")
    (2500, 870)
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"duration: found {text!r:.40}, expected NUMBER then ms or s")
    number = float(found[1])
    return round(number * 1000) if found[2] == "s" else round(number)


def read_version(text: object) -> int:
    """Read a version of the operators' configuration.

    Examples
    --------
    >>> read_version("r12")
    12
    """
    found = _VERSION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"version: found {text!r:.40}, expected r and a number")
    return int(found[1])


def read_address(text: object) -> addresses.Address:
    """Read ``HOST:PORT``, raising `ValueError` if it is something else."""
    if not isinstance(text, str):
        raise ValueError(f"address: found {text!r:.40}, expected HOST:PORT")
    return addresses.parse_address(text)


def read_int(value: object, name: str) -> int:
    """Return a whole number that is not negative, raising `ValueError` otherwise."""
    if type(value) is not int or value < 0:
        raise ValueError(f"{name}: found {value!r:.40}, expected a whole number")
    return value


def read_text(value: object, name: str) -> str:
    """Return a text that is not empty, raising `ValueError` otherwise."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: found {value!r:.40}, expected a text")
    return value
