"""Faults: what is wrong in a document, as data, gathered before anything is raised."""

from typing import NamedTuple


class Fault(NamedTuple):
    """One thing wrong in a document.

    Parameters
    ----------
    path : str
        Place in the document, such as ``tenants.acme.home_regions[0]``.
    value : str
        The value found, shortened for display.
    expected : str
        What was expected there.
    """

    path: str
    value: str
    expected: str


def format_fault(fault: Fault) -> str:
    """Return one line for an operator.

    Examples
    --------
    >>> format_fault(Fault("limits.body_bytes", "-1", "a whole number above 0"))
    'limits.body_bytes: found -1, expected a whole number above 0'
    """
    return f"{fault.path}: found {fault.value}, expected {fault.expected}"
