"""Checks the histories of a finished run: ``python -m emulator.checking DIRECTORY``."""

import sys
from pathlib import Path

from emulator.checking.checker import check_directory
from emulator.checking.history import HistoryError


def main(arguments: list[str]) -> int:
    """Checks a directory and prints the violations.

    :returns: exit code: 0 without violations, 1 with some, 2 if the arguments are wrong
        or the histories cannot be read.
    """
    if len(arguments) != 1:
        print("usage: python -m emulator.checking DIRECTORY", file=sys.stderr)
        return 2
    try:
        violations = check_directory(Path(arguments[0]))
    except (HistoryError, OSError) as error:
        print(f"checking: cannot read the histories: {error}", file=sys.stderr)
        return 2
    for violation in violations:
        print(violation)
    print(f"{len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
