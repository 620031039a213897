"""Errors at the edge: one line that says what to do, and an exit code."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    # ``diff`` found differences, or a watched move was taken back.
    DIFFERENT = 1
    # Wrong flag, argument, file or value.
    USAGE = 2
    # Nothing was changed; the same command can be repeated.
    NOT_RUN = 3
    # Another operator changed the same setting.
    CONFLICT = 4
    # The change may or may not be in force.
    UNKNOWN = 5
    UNAUTHORIZED = 6
    # Anything else.
    FAILED = 7


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 differences found, or the watched move was taken back; "
    "2 wrong flag, argument or value; 3 not run, repeat later; 4 conflict, read "
    "again; 5 outcome unknown, check with get; 6 wrong token; 7 failed."
)


class UserError(Exception):
    """A fault that ends the command.

    :param code: exit code.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.USAGE) -> None:
        # One line, whatever the cause wrote.
        super().__init__(" ".join(message.split()))
        self.code = code
