"""Runs all tests, or the named ones. The last line reads "N passed, M failed".

Without names, each test module runs in a subprocess, several of them in parallel. A
test listed in KNOWN-RED.txt may fail: its id is printed, and it does not fail the run.
The ids of the others that failed are printed too, and the whole output of each module is
kept under ``report/tests``, since a failure may not come again.
"""

import os
import pathlib
import re
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

# gRPC reads this on import. Without it, its log lines fill the test output.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
# A folder for each run, named by its time, with the output of each module.
OUTPUT_FOLDER = ROOT / "report" / "tests"
# Number of modules that run in parallel. Their tests start further processes, and on
# more than half of the cores they would slow each other down past their time limits.
MAX_PARALLEL_MODULES = max(1, (os.cpu_count() or 2) // 2)
# Modules that measure the timing or load of whole deployments run one at a time.
SERIAL_MODULES = re.compile(
    r"test_(proofs.*|large_fleet|capacity|graceful_shutdown|fairness|peer_floods|endless_memory|client_crowds|router_crowds|restore_processes)$"
)
# Seconds after which a module is killed and counted as failed.
MODULE_TIMEOUT_S = 900.0
SUMMARY_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


def known_failure_ids(path: pathlib.Path = KNOWN_RED_FILE) -> set[str]:
    """Returns the ids of the tests that may fail, from the lines ``test: ID``.

    A missing file lists none.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def run_named_tests(names: list[str]) -> int:
    """Runs the named tests in this process.

    :returns: the exit code: 1 if a test fails that is not a known failure, or if no
        test ran.
    """
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    # The id of a subtest is the id of its test, a space and the parameters.
    failed = {
        case.id().split(" ")[0] for case, _ in [*result.failures, *result.errors]
    } | {case.id() for case in result.unexpectedSuccesses}
    known_failures = failed & known_failure_ids()
    for test_id in sorted(known_failures):
        print(f"known red: {test_id}")
    for test_id in sorted(failed - known_failures):
        print(f"failed: {test_id}")
    unexpected = len(failed - known_failures)
    passed = result.testsRun - len(failed)
    print(f"{max(passed, 0)} passed, {unexpected} failed")
    return 1 if unexpected or not result.testsRun else 0


def run_module(name: str, folder: pathlib.Path) -> tuple[int, int, list[str]]:
    """Runs one module in a subprocess and prints a summary of it.

    The whole output follows if the module fails, otherwise only its known failures.

    :param folder: where the output is written to.
    :returns: the numbers of passed and failed tests, and the lines that name the latter.
    """
    started_at = time.monotonic()
    command = [sys.executable, "-m", "test", f"test.{name}"]
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=MODULE_TIMEOUT_S,
        )
        output, exit_code = completed.stdout, completed.returncode
    except subprocess.TimeoutExpired as error:
        output, exit_code = str(error), 1
    summaries = SUMMARY_LINE.findall(output)
    passed, failed = (int(count) for count in summaries[-1]) if summaries else (0, 1)
    if exit_code and not failed:
        failed = 1
    (folder / f"{name}.log").write_text(output)
    failures = [line for line in output.splitlines() if line.startswith("failed: ")]
    if failed and not failures:
        failures = [f"failed: {name} ended without a result"]
    seconds = time.monotonic() - started_at
    text = output if exit_code else _known_failure_lines(output)
    print(
        f"{name}: {passed} passed, {failed} failed in {seconds:.0f} s\n{text}", end=""
    )
    sys.stdout.flush()
    return passed, failed, failures


def _known_failure_lines(output: str) -> str:
    lines = [line for line in output.splitlines() if line.startswith("known red: ")]
    return "".join(line + "\n" for line in lines)


def run_all() -> int:
    """Runs all modules; returns the exit code, 1 if a test failed or none passed."""
    folder = OUTPUT_FOLDER / time.strftime("%Y%m%dT%H%M%S")
    folder.mkdir(parents=True, exist_ok=True)
    modules = sorted(path.stem for path in (ROOT / "test").glob("test_*.py"))
    serial_modules = [name for name in modules if SERIAL_MODULES.match(name)]
    with ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        parallel_modules = [name for name in modules if name not in serial_modules]
        results = list(pool.map(lambda n: run_module(n, folder), parallel_modules))
    results += [run_module(name, folder) for name in serial_modules]
    passed = sum(result[0] for result in results)
    failed = sum(result[1] for result in results)
    for _, _, failures in results:
        for line in failures:
            print(line)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    names = sys.argv[1:]
    sys.exit(run_named_tests(names) if names else run_all())
