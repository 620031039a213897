"""Measures version moves: good and bad versions against two baselines.

``python -m emulator.bench_versions --out DIR`` starts a small deployment for each
fault and each way to judge versions, moves the engines to a second version under
load, and prints what happened. ``fixed`` grows by time without monitoring;
``threshold`` uses fixed error thresholds. Runs start side by side.
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
    MoveFigures,
    bad_requests,
    first_cut,
    first_growth,
    seconds_to_zero,
    unproven_peak,
)
from heatherswitch.util.clock import Clock
from heatherswitch.util.http_client import HttpClient
from heatherswitch.util.logs import configure_logs

VERSION = "v2"
# Largest share of an unproven version by the defaults of the settings.
UNPROVEN_SHARE = 0.05
# Added delay of the slow version, in seconds; requests that take longer are bad.
SLOW_S = 1.0
# The faulty rules of invariant F13 by name. Half of the requests fail, so that
# some answers are good.
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
# Deployments that are started for one run at most: deployments that run side by side
# can take a port that another one has picked.
START_ATTEMPTS = 3
# Load before the move and after its decision, in seconds.
BEFORE_S = 4.0
AFTER_S = 2.0
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
    """What is measured.

    :param deadline_s: of each move, in seconds.
    :param chats_per_s: requests per second; each chat has one turn.
    :param engines: engines of each version.
    :param parallel: deployments that run at once.
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
    """What the operator API told of a move. Times are since the epoch."""

    started_at: float = 0.0
    record: dict[str, Any] = field(default_factory=dict)


class VersionRun:
    """One deployment, one fault, one way to judge versions."""

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

        :raises LaunchError: if the deployment does not start or take the order.
        """
        await self._launch.start()
        try:
            service = self._launch.deployment.engines
            zones = self._launch.deployment.zones
            new = [
                await self._launch.add_backend(service, zones[n % len(zones)], VERSION)
                for n in range(self._config.engines)
            ]
            report, trace = await self._move_under_load(new)
        finally:
            await self._launch.stop()
        figures = self._figures(new, trace)
        lost = len(report.results) - len(report.with_outcome("answered"))
        row = asdict(figures) | {"not_answered": lost}
        return row | {"fault": self._fault, "test": self._test}

    async def _move_under_load(
        self, new: list[Backend]
    ) -> tuple[LoadReport, MoveTrace]:
        config, deployment = self._config, self._launch.deployment
        endpoints = self._launch.endpoints()
        addresses = [router["caller"] for router in endpoints["routers"]]
        caller = Caller(addresses, endpoints["keys"])
        workload = workload_for(
            deployment,
            seconds=BEFORE_S + config.deadline_s + AFTER_S,
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
            await asyncio.sleep(BEFORE_S)
            trace = await self._move(new)
            await asyncio.sleep(AFTER_S)
        finally:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            caller.close()
        return generator.report, trace

    async def _move(self, new: list[Backend]) -> MoveTrace:
        """Orders the move and follows it to its decision."""
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
            raise LaunchError(f"the move was refused with {status}: {answer}")
        path = f"/v1/moves/{answer['move']}"
        until = trace.started_at + self._config.deadline_s + AFTER_S
        while self._clock.now() < until:
            await asyncio.sleep(POLL_S)
            status, record = await self._launch.operator_request("GET", path)
            if status != 200:
                continue
            trace.record = record
            if record["state"] != "running":
                break
        return trace

    def _figures(self, new: list[Backend], trace: MoveTrace) -> MoveFigures:
        service = self._launch.deployment.engines.name
        old = [b for b in self._launch.backends_of(service) if b not in new]
        histories = Histories(
            read_events(backend.history for backend in new),
            read_events(backend.history for backend in old),
        )
        record = trace.record
        ended_at = record["decided_at"] or record["deadline_at"]
        # Only the time of the move counts; afterwards a good version is active.
        events = [e for e in histories.new if e["time"] <= ended_at + AFTER_S]
        requests, bad = bad_requests(events, SLOW_S)
        logs = [router.log_path for router in self._launch.routers]
        until = min(first_growth(logs, UNPROVEN_SHARE) or ended_at, ended_at)
        share, running = unproven_peak(histories, trace.started_at, until)
        cut_at = first_cut(logs)
        return MoveFigures(
            record["effective_state"],
            record["reason"],
            ended_at - record["started_at"],
            0 < record["decided_at"] <= record["deadline_at"],
            requests,
            bad,
            share,
            running,
            seconds_to_zero(cut_at, histories.new),
        )


async def _set_faults(backend: Backend, faults: list[dict[str, Any]]) -> None:
    client = HttpClient.from_address(backend.server.addresses["address"])
    try:
        await client.request_json("POST", "/_faults", {"faults": faults})
    finally:
        client.close()


class VersionBench:
    """All runs of one measurement."""

    __slots__ = ("_config", "_slots")

    def __init__(self, config: BenchConfig) -> None:
        self._config = config
        self._slots = asyncio.Semaphore(config.parallel)

    @classmethod
    def from_config(cls, config: BenchConfig) -> "VersionBench":
        """Prepares the runs."""
        return cls(config)

    async def run(self) -> list[dict[str, Any]]:
        """Runs everything and returns the rows in the order of the faults.

        :raises LaunchError: if a deployment does not start.
        """
        cancel_on_sigterm()
        config = self._config
        pairs = [(fault, test) for fault in config.faults for test in config.tests]
        return await asyncio.gather(*(self._one(*pair) for pair in pairs))

    async def _one(self, fault: str, test: str) -> dict[str, Any]:
        async with self._slots:
            row = await self._attempt(fault, test)
            print(_line(row), flush=True)
            return row

    async def _attempt(self, fault: str, test: str) -> dict[str, Any]:
        for _ in range(START_ATTEMPTS - 1):
            try:
                return await VersionRun(self._config, fault, test).run()
            except LaunchError as error:
                print(f"{fault} {test} starts again: {error}", file=sys.stderr)
        return await VersionRun(self._config, fault, test).run()


def _line(row: dict[str, Any]) -> str:
    """Returns one line of the table."""
    zero = "-" if row["to_zero_s"] is None else f"{row['to_zero_s']:.2f}"
    return (
        f"{row['fault']:<7}{row['test']:<11}{row['state']:<11}"
        f"{row['seconds']:>7.1f}{'yes' if row['in_time'] else 'no':>8}"
        f"{row['requests']:>9}{row['bad']:>6}{row['not_answered']:>9}"
        f"{row['peak_share']:>11.3f}{row['peak_running']:>9}{zero:>9}"
        f"  {row['reason']}"
    )


HEADER = (
    f"{'fault':<7}{'test':<11}{'state':<11}{'s':>7}{'in time':>8}{'requests':>9}"
    f"{'bad':>6}{'no answ.':>9}{'peak share':>11}{'peak n':>9}{'to zero':>9}  reason"
)


def write_csv(path: Path, rows: list[dict[str, Any]]) -> None:
    """Writes the rows of the table."""
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
    """Runs the measurement; the exit code is 1 when it could not be made."""
    defaults = BenchConfig()
    parser = argparse.ArgumentParser(prog="bench_versions", description=__doc__)
    parser.add_argument("--out", default=str(defaults.out), help="directory")
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
