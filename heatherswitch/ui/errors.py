"""Exit codes and the error that the command line reports in one line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of a command or daemon."""

    OK = 0
    # ``diff`` found differences, or the watched move was rolled back.
    DIFFERENT = 1
    # Invalid flag, argument, file or value.
    USAGE = 2
    # Nothing was changed; the command can be repeated as it is.
    NOT_RUN = 3
    # The setting was changed concurrently, for example by another operator.
    CONFLICT = 4
    # The change may or may not have been written.
    OUTCOME_UNKNOWN = 5
    # The operator token is missing or invalid.
    UNAUTHORIZED = 6
    # Any other error.
    FAILED = 7


EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 differences found, or the watched move was rolled back; "
    "2 invalid flag, argument or value; 3 not run, repeat later; 4 conflict, read "
    "again; 5 outcome unknown, check with get; 6 invalid token; 7 failed."
)


class UserError(Exception):
    """An error that ends the command and is shown to the user.

    :param message: error text; line breaks are replaced by spaces.
    :param code: exit status of the command.
    """

    def __init__(self, message: str, code: ExitCode = ExitCode.USAGE) -> None:
        # The text of an underlying error may span several lines.
        super().__init__(" ".join(message.split()))
        self.code = code
