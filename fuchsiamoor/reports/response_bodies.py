"""Bodies of the operator surface that are not reports themselves."""

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
        With every default written out.
    """

    revision: int
    apply_id: str
    document: dict


class AppliedBody(NamedTuple):
    """Status 200: in force as this revision."""

    revision: int


class ConflictBody(NamedTuple):
    """Status 409: another apply came first."""

    revision: int
    apply_id: str
    past_applies: tuple[PastApply, ...]


class FaultsBody(NamedTuple):
    """Status 422: what is wrong with the call."""

    faults: tuple[Fault, ...]


class ProblemBody(NamedTuple):
    """Any other refusal, in words."""

    problem: str
