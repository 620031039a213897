"""Runs all tests, or those named, and ends with "N passed, M failed".

A test listed in KNOWN-RED.txt may fail; it is printed and does not fail the run.
"""

import os
import pathlib
import sys
import unittest

# Set before any test imports grpc, whose own log lines would fill the output.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_ids(path: pathlib.Path = KNOWN_RED) -> set[str]:
    """Reads the test ids from lines that start with ``test:``."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def main(names: list[str]) -> int:
    """Runs the tests and returns the exit code."""
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(KNOWN_RED.parent / "test"), top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    # The id of a subtest starts with the id of its test.
    failed = {
        case.id().split(" ")[0] for case, _ in [*result.failures, *result.errors]
    } | {case.id() for case in result.unexpectedSuccesses}
    known = failed & known_red_ids()
    for test_id in sorted(known):
        print(f"known red: {test_id}")
    unexpected = len(failed - known)
    passed = result.testsRun - len(failed)
    print(f"{max(passed, 0)} passed, {unexpected} failed")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
