"""Compares the sequential test of version moves with two baselines.

``python -m emulator.bench_versions --out DIR`` starts a small deployment for each
fault and each test of the new version, moves the engines to that version under load
and prints the results. The baseline ``fixed`` raises the share over time without
monitoring, and ``threshold`` uses fixed error thresholds. Runs are concurrent.
"""

import argparse
import asyncio
import csv
import sys
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

from emulator.audit import read_events
from emulator.caller import Caller
from emulator.deployments import LEAFLINE
from emulator.launch import Backend, LaunchConfig, Launcher
from emulator.load import LoadGenerator, LoadReport, class_deadlines, workload_for
from emulator.processes import LaunchError
from emulator.standin import cancel_on_sigterm
from emulator.version_audit import (
    Histories,
    MoveResult,
    bad_requests,
    first_block_time,
    first_growth_time,
    seconds_to_zero,
    unproven_peak,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http_client import HttpClient
from heatherswitch.util.logs import configure_logs

VERSION = "v2"
# Largest share of an unproven version in the default settings.
UNPROVEN_SHARE = 0.05
# Delay that the slow version adds, in seconds. Requests that take longer are bad.
SLOW_S = 1.0
# Fault rules of the new version, by name; F13 is the kind of fault of a bad version.
# At rate 0.5, only half of the matching requests fail, so that some responses are good.
# ``slow`` delays every request, ``class`` fails every request of one class, and ``good``
# is a version without faults.
FAULTS: dict[str, list[dict[str, Any]]] = {
    "good": [],
    "fails": [{"kind": "error", "rate": 0.5}],
    "slow": [{"kind": "delay", "seconds": SLOW_S}],
    "late": [{"kind": "error", "rate": 0.5, "after_s": 20}],
    "load": [{"kind": "error", "rate": 0.5, "min_running": 2}],
    "class": [{"kind": "error", "request_class": "bidder"}],
}
TESTS = ("sequential", "threshold", "fixed")
POLL_S = 0.1
# Attempts to start the deployment of a run. A start can fail because a concurrent
# deployment took a port that this one had picked.
MAX_START_ATTEMPTS = 3
# Seconds of load before the move and after its decision.
LOAD_BEFORE_MOVE_S = 4.0
LOAD_AFTER_DECISION_S = 2.0
COLUMNS = (
    "fault",
    "test",
    "state",
    "seconds",
    "in_time",
    "requests",
    "bad",
    "not_answered",
    "peak_share",
    "peak_running",
    "to_zero_s",
    "reason",
)


@dataclass(frozen=True, slots=True)
class BenchConfig:
    """Parameters of the benchmark.

    :param out: directory for the CSV file, logs and histories.
    :param deadline_s: deadline of each move, in seconds.
    :param chats_per_s: requests per second, since each chat has one turn.
    :param engines: number of engines of each version.
    :param parallel: maximum number of deployments that run at once.
    """

    out: Path = Path(".run/versions")
    faults: tuple[str, ...] = tuple(FAULTS)
    tests: tuple[str, ...] = TESTS
    deadline_s: float = 60.0
    chats_per_s: float = 40.0
    engines: int = 2
    parallel: int = 6
    seed: int = 1


@dataclass(slots=True)
class MoveTrace:
    """State of a move according to the operator API.

    :param started_at: when the move was ordered, in seconds since the epoch.
    :param record: last response of the operator API about the move.
    """

    started_at: float = 0.0
    record: dict[str, Any] = field(default_factory=dict)


class VersionRun:
    """Moves one deployment to a version with one fault, judged by one test."""

    __slots__ = ("_clock", "_config", "_fault", "_launch", "_test")

    def __init__(self, config: BenchConfig, fault: str, test: str) -> None:
        self._config = config
        self._fault = fault
        self._test = test
        self._clock = Clock()
        engines = replace(LEAFLINE.engines, count=config.engines)
        plain = replace(LEAFLINE.plain, count=1)
        deployment = replace(LEAFLINE, engines=engines, plain=plain)
        option = ("--version-test", test)
        names = [f"r{number + 1}" for number in range(deployment.routers)]
        self._launch = Launcher.from_config(
            LaunchConfig(
                deployment=deployment,
                run_directory=config.out / f"{fault}-{test}",
                extra_arguments=dict.fromkeys(names, option),
            )
        )

    async def run(self) -> dict[str, Any]:
        """Runs the move and returns one row of the table.

        :raises LaunchError: if the deployment does not start or refuses the order.
        """
        await self._launch.start()
        try:
            service = self._launch.deployment.engines
            zones = self._launch.deployment.zones
            new = [
                await self._launch.add_backend(service, zones[n % len(zones)], VERSION)
                for n in range(self._config.engines)
            ]
            report, trace = await self._run_move_under_load(new)
        finally:
            await self._launch.stop()
        result = self._compute_result(new, trace)
        unanswered = len(report.results) - len(report.with_outcome("answered"))
        row = asdict(result) | {"not_answered": unanswered}
        return row | {"fault": self._fault, "test": self._test}

    async def _run_move_under_load(
        self, new: list[Backend]
    ) -> tuple[LoadReport, MoveTrace]:
        config, deployment = self._config, self._launch.deployment
        endpoints = self._launch.endpoints()
        addresses = [router["caller"] for router in endpoints["routers"]]
        caller = Caller(addresses, endpoints["keys"])
        workload = workload_for(
            deployment,
            seconds=LOAD_BEFORE_MOVE_S + config.deadline_s + LOAD_AFTER_DECISION_S,
            chats_per_s=config.chats_per_s,
            actions_per_s=1.0,
            turns=(1, 1),
            system_words=20,
            turn_words=(10, 20),
            answer_words=(5, 10),
            seed=config.seed,
        )
        generator = LoadGenerator(caller, workload, class_deadlines(deployment))
        load = asyncio.create_task(generator.run())
        try:
            await asyncio.sleep(LOAD_BEFORE_MOVE_S)
            trace = await self._run_move(new)
            await asyncio.sleep(LOAD_AFTER_DECISION_S)
        finally:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            caller.close()
        return generator.report, trace

    async def _run_move(self, new: list[Backend]) -> MoveTrace:
        """Orders the move and polls it until its decision or deadline.

        :raises LaunchError: if the order is refused.
        """
        for backend in new:
            await _set_faults(backend, FAULTS[self._fault])
        service, trace = self._launch.deployment.engines.name, MoveTrace()
        trace.started_at = self._clock.now()
        status, answer = await self._launch.operator_request(
            "POST",
            f"/v1/versions/{service}/{VERSION}/start",
            {"deadline_s": self._config.deadline_s},
        )
        if status >= 300:
            raise LaunchError(
                f"starting the move failed with status {status}: {answer}"
            )
        path = f"/v1/moves/{answer['move']}"
        until = trace.started_at + self._config.deadline_s + LOAD_AFTER_DECISION_S
        while self._clock.now() < until:
            await asyncio.sleep(POLL_S)
            status, record = await self._launch.operator_request("GET", path)
            if status != 200:
                continue
            trace.record = record
            if record["state"] != "running":
                break
        return trace

    def _compute_result(self, new: list[Backend], trace: MoveTrace) -> MoveResult:
        service = self._launch.deployment.engines.name
        old = [b for b in self._launch.backends_of(service) if b not in new]
        histories = Histories(
            read_events(backend.history for backend in new),
            read_events(backend.history for backend in old),
        )
        record = trace.record
        ended_at = record["decided_at"] or record["deadline_at"]
        # Counts events until LOAD_AFTER_DECISION_S after the decision, or after the
        # deadline if there was none. Later events are ignored: an accepted version is
        # then active, so its requests do not belong to the move.
        events = [
            e for e in histories.new if e["time"] <= ended_at + LOAD_AFTER_DECISION_S
        ]
        requests, bad = bad_requests(events, SLOW_S)
        logs = [router.log_path for router in self._launch.routers]
        until = min(first_growth_time(logs, UNPROVEN_SHARE) or ended_at, ended_at)
        share, running = unproven_peak(histories, trace.started_at, until)
        blocked_at = first_block_time(logs)
        return MoveResult(
            record["effective_state"],
            record["reason"],
            ended_at - record["started_at"],
            0 < record["decided_at"] <= record["deadline_at"],
            requests,
            bad,
            share,
            running,
            seconds_to_zero(blocked_at, histories.new),
        )


async def _set_faults(backend: Backend, faults: list[dict[str, Any]]) -> None:
    client = HttpClient.from_address(backend.server.addresses["address"])
    try:
        await client.request_json("POST", "/_faults", {"faults": faults})
    finally:
        client.close()


class VersionBench:
    """Runs all combinations of faults and tests."""

    __slots__ = ("_config", "_run_slots")

    def __init__(self, config: BenchConfig) -> None:
        self._config = config
        self._run_slots = asyncio.Semaphore(config.parallel)

    @classmethod
    def from_config(cls, config: BenchConfig) -> "VersionBench":
        """Prepares the runs; :meth:`run` starts them."""
        return cls(config)

    async def run(self) -> list[dict[str, Any]]:
        """Runs all combinations and returns their rows, sorted by fault and test.

        :raises LaunchError: if a deployment does not start.
        """
        cancel_on_sigterm()
        config = self._config
        pairs = [(fault, test) for fault in config.faults for test in config.tests]
        return await asyncio.gather(*(self._run_limited(*pair) for pair in pairs))

    async def _run_limited(self, fault: str, test: str) -> dict[str, Any]:
        async with self._run_slots:
            row = await self._run_with_retries(fault, test)
            print(_format_row(row), flush=True)
            return row

    async def _run_with_retries(self, fault: str, test: str) -> dict[str, Any]:
        for _ in range(MAX_START_ATTEMPTS - 1):
            try:
                return await VersionRun(self._config, fault, test).run()
            except LaunchError as error:
                print(
                    f"{fault} {test}: starting the deployment again: {error}",
                    file=sys.stderr,
                )
        return await VersionRun(self._config, fault, test).run()


def _format_row(row: dict[str, Any]) -> str:
    """Formats a row as a line of the table."""
    to_zero = "-" if row["to_zero_s"] is None else f"{row['to_zero_s']:.2f}"
    return (
        f"{row['fault']:<7}{row['test']:<11}{row['state']:<11}"
        f"{row['seconds']:>7.1f}{'yes' if row['in_time'] else 'no':>8}"
        f"{row['requests']:>9}{row['bad']:>6}{row['not_answered']:>9}"
        f"{row['peak_share']:>11.3f}{row['peak_running']:>9}{to_zero:>9}"
        f"  {row['reason']}"
    )


HEADER = (
    f"{'fault':<7}{'test':<11}{'state':<11}{'s':>7}{'in time':>8}{'requests':>9}"
    f"{'bad':>6}{'no answ.':>9}{'peak share':>11}{'peak n':>9}{'to zero':>9}  reason"
)


def write_csv(path: Path, rows: list[dict[str, Any]]) -> None:
    """Writes the rows as CSV; creates the directory if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)


def _config(options: argparse.Namespace) -> BenchConfig:
    return BenchConfig(
        out=Path(options.out),
        faults=tuple(options.faults.split(",")),
        tests=tuple(options.tests.split(",")),
        deadline_s=options.deadline_s,
        chats_per_s=options.chats_per_s,
        engines=options.engines,
        parallel=options.parallel,
        seed=options.seed,
    )


def main() -> int:
    """Runs the benchmark and returns 1 if a deployment does not start."""
    defaults = BenchConfig()
    parser = argparse.ArgumentParser(prog="bench_versions", description=__doc__)
    parser.add_argument(
        "--out", default=str(defaults.out), help="directory for results"
    )
    parser.add_argument("--faults", default=",".join(FAULTS))
    parser.add_argument("--tests", default=",".join(TESTS))
    parser.add_argument("--deadline-s", type=float, default=defaults.deadline_s)
    parser.add_argument("--chats-per-s", type=float, default=defaults.chats_per_s)
    parser.add_argument("--engines", type=int, default=defaults.engines)
    parser.add_argument("--parallel", type=int, default=defaults.parallel)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    config = _config(parser.parse_args())
    unknown = {*config.faults} - {*FAULTS} | {*config.tests} - {*TESTS}
    if unknown:
        parser.error(f"unknown: {', '.join(sorted(unknown))}")
    configure_logs("bench", "bench_versions", "warning")
    print(f"seed {config.seed}, {config.chats_per_s:g} requests/s", flush=True)
    print(HEADER, flush=True)
    try:
        rows = asyncio.run(VersionBench.from_config(config).run())
    except LaunchError as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    write_csv(config.out / "versions.csv", rows)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
