"""Exit statuses of the tool, and the errors that lead to them."""

from enum import IntEnum

from fuchsiamoor.core import errors


class ExitStatus(IntEnum):
    """What the tool's exit status says."""

    OK = 0
    NOT_YET = 1
    WRONG_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4


class ToolError(errors.FuchsiamoorError):
    """Ends the tool with a message.

    Parameters
    ----------
    status : ExitStatus
    message : str
    """

    def __init__(self, status: ExitStatus, message: str):
        super().__init__(message)
        self.status = status
