"""Validation faults of a document, collected before an exception is raised."""

from typing import NamedTuple


class Fault(NamedTuple):
    """One invalid value in a document.

    Parameters
    ----------
    path : str
        Path within the document, such as ``tenants.acme.home_regions[0]``.
    value : str
        The invalid value, shortened for display.
    expected : str
        Description of the values allowed there.
    """

    path: str
    value: str
    expected: str


def format_fault(fault: Fault) -> str:
    """Return the fault as one line of text for an operator.

    Examples
    --------
    >>> format_fault(Fault("limits.body_bytes", "-1", "a whole number above 0"))
    'limits.body_bytes: found -1, expected a whole number above 0'
    """
    return f"{fault.path}: found {fault.value}, expected {fault.expected}"
