"""Exception classes; those of this project derive from `FuchsiamoorError`."""

from fuchsiamoor.core import faults


class FuchsiamoorError(Exception):
    """Base class of this project's exceptions."""


class InvalidDocumentError(FuchsiamoorError):
    """A settings or configuration file is invalid.

    Parameters
    ----------
    found : list of Fault
        All faults found in the file.
    """

    def __init__(self, found: list[faults.Fault]):
        super().__init__("\n".join(faults.format_fault(fault) for fault in found))
        self.faults = found


class StoreError(FuchsiamoorError):
    """Base class of store failures."""


class StoreUnavailableError(StoreError):
    """The call failed and had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The answer to the call was lost; the call may have taken effect."""


class StoreHistoryLostError(StoreError):
    """The store has discarded the version from which a watch starts: list again."""


class PeerError(FuchsiamoorError):
    """Base class of failures of a link to another daemon."""


class PeerUnreachableError(PeerError):
    """The peer was unreachable or refused the call; the message is never handled."""


class PeerLinkLostError(PeerError):
    """The link was lost, and the message may have been sent."""


class PeerTimeoutError(PeerError):
    """The peer did not answer within the timeout."""


class FrameError(PeerError):
    """A frame could not be decoded."""


class AccessDeniedError(FuchsiamoorError):
    """A peer or operator failed authentication by the shared key."""
