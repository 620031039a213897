"""Runs all tests, or those named, and ends with "N passed, M failed".

Without names each module runs in a process of its own, several at once. A test listed
in KNOWN-RED.txt may fail; it is printed and does not fail the run.
"""

import os
import pathlib
import re
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

# Set before any test imports grpc, whose own log lines would fill the output.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Modules that run at once. They start processes of their own, so that more than half
# of the cores would make their time limits depend on each other.
PARALLEL = max(1, (os.cpu_count() or 2) // 2)
# Modules that measure time or load of whole deployments run alone.
ALONE = re.compile(r"test_(proofs.*|large_fleet|capacity|graceful_shutdown)$")
# A module that takes longer is ended and counts as failed, in seconds.
MODULE_TIMEOUT_S = 900.0
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


def known_red_ids(path: pathlib.Path = KNOWN_RED) -> set[str]:
    """Reads the test ids from lines that start with ``test:``."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def run_here(names: list[str]) -> int:
    """Runs the named tests in this process and returns the exit code."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
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


def run_module(name: str) -> tuple[int, int]:
    """Runs one module in a process and prints its output.

    :returns: the numbers of passed and failed tests.
    """
    started = time.monotonic()
    command = [sys.executable, "-m", "test", f"test.{name}"]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=MODULE_TIMEOUT_S,
        )
        output, code = done.stdout, done.returncode
    except subprocess.TimeoutExpired as error:
        output, code = str(error), 1
    closing = CLOSING_LINE.findall(output)
    passed, failed = (int(n) for n in closing[-1]) if closing else (0, 1)
    if code and not failed:
        failed = 1
    seconds = time.monotonic() - started
    text = output if code else _known_red_lines(output)
    print(
        f"{name}: {passed} passed, {failed} failed in {seconds:.0f} s\n{text}", end=""
    )
    sys.stdout.flush()
    return passed, failed


def _known_red_lines(output: str) -> str:
    lines = [line for line in output.splitlines() if line.startswith("known red: ")]
    return "".join(line + "\n" for line in lines)


def run_all() -> int:
    """Runs all modules and returns the exit code."""
    modules = sorted(path.stem for path in (ROOT / "test").glob("test_*.py"))
    alone = [name for name in modules if ALONE.match(name)]
    with ThreadPoolExecutor(PARALLEL) as pool:
        together = [name for name in modules if name not in alone]
        results = list(pool.map(run_module, together))
    results += [run_module(name) for name in alone]
    passed = sum(result[0] for result in results)
    failed = sum(result[1] for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    names = sys.argv[1:]
    sys.exit(run_here(names) if names else run_all())
