"""Response bodies of the operator API other than status and reports."""

from typing import NamedTuple

from fuchsiamoor.core.faults import Fault
from fuchsiamoor.documents.stored import PastApply


class ConfigurationBody(NamedTuple):
    """The configuration in force at a daemon.

    Parameters
    ----------
    revision : int
    apply_id : str
    document : dict
        Configuration document with all defaults filled in.
    """

    revision: int
    apply_id: str
    document: dict


class AppliedBody(NamedTuple):
    """Status 200: the configuration is in force at this revision."""

    revision: int


class ConflictBody(NamedTuple):
    """Status 409: the apply is based on an outdated revision.

    Parameters
    ----------
    revision : int
        Revision in force.
    apply_id : str
        Apply that put it in force.
    past_applies : tuple of PastApply
        Applies since the revision that the refused one was based on.
    """

    revision: int
    apply_id: str
    past_applies: tuple[PastApply, ...]


class FaultsBody(NamedTuple):
    """Status 422: faults found in the call."""

    faults: tuple[Fault, ...]


class ProblemBody(NamedTuple):
    """Any other error status, with a message."""

    problem: str
