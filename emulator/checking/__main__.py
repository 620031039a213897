"""Checks the histories of a finished run: ``python -m emulator.checking DIRECTORY``."""

import sys
from pathlib import Path

from emulator.checking.checker import check_directory
from emulator.checking.history import HistoryError


def main(arguments: list[str]) -> int:
    """Prints the violations; returns 0 without any, 1 with some, 2 on bad input."""
    if len(arguments) != 1:
        print("usage: python -m emulator.checking DIRECTORY", file=sys.stderr)
        return 2
    try:
        violations = check_directory(Path(arguments[0]))
    except (HistoryError, OSError) as error:
        print(f"checking: {error}", file=sys.stderr)
        return 2
    for violation in violations:
        print(violation)
    print(f"{len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
