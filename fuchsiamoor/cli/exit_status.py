"""Exit statuses of the command-line tool and the error that carries one."""

from enum import IntEnum

from fuchsiamoor.core import errors


class ExitStatus(IntEnum):
    """Exit status of the tool; its help text gives the meanings."""

    OK = 0
    NOT_MET = 1
    WRONG_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4


class ToolError(errors.FuchsiamoorError):
    """Ends the tool with an exit status and a message.

    Parameters
    ----------
    status : ExitStatus
    message : str
    """

    def __init__(self, status: ExitStatus, message: str):
        super().__init__(message)
        self.status = status
