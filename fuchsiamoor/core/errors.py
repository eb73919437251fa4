"""The exception tree. Every exception that this project raises descends from one."""

from fuchsiamoor.core import faults


class FuchsiamoorError(Exception):
    """Base of all errors of this project."""


class InvalidDocumentError(FuchsiamoorError):
    """A settings or configuration file has faults.

    Parameters
    ----------
    found : list of Fault
        Every fault of the file.
    """

    def __init__(self, found: list[faults.Fault]):
        super().__init__("\n".join(faults.format_fault(fault) for fault in found))
        self.faults = found


class StoreError(FuchsiamoorError):
    """Base of the store's failures."""


class StoreUnavailableError(StoreError):
    """The call failed and has certainly had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The call's answer was lost; it may have taken effect."""


class StoreHistoryLostError(StoreError):
    """The store no longer remembers where a watch starts from: list again."""


class PeerError(FuchsiamoorError):
    """Base of the failures of a link to another daemon."""


class PeerUnreachableError(PeerError):
    """Nothing of the message has left this process."""


class PeerLinkLostError(PeerError):
    """The link broke after the message may have left."""


class PeerTimeoutError(PeerError):
    """No answer came within the time allowed."""


class FrameError(PeerError):
    """A frame could not be decoded."""


class AccessDeniedError(FuchsiamoorError):
    """A peer or operator did not prove the shared key."""
