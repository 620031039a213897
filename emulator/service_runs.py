"""Runs a deployment for the service benchmark and measures the callers' results."""

import asyncio
import os
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from emulator.caller import Call, Caller, CallResult
from emulator.deployments import Deployment
from emulator.launch import Backend, LaunchConfig, Launcher
from emulator.load import (
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
    LoadGenerator,
    LoadReport,
    action_class,
    class_deadlines,
    workload_for,
)
from emulator.processes import LaunchError
from emulator.standin import HistoryFile
from heatherswitch.util.http_client import HttpClient

# Target latencies, in seconds.
FIRST_TOKEN_TARGET_S = 0.48
TOKEN_GAP_TARGET_S = 0.034
# Unit of the CPU times in /proc/<pid>/stat.
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Variant:
    """Configuration under measurement: the designed one or a baseline.

    :param overrides: settings of the model service that replace those of the example.
    """

    name: str
    overrides: dict[str, Any] = field(default_factory=dict)


@asynccontextmanager
async def running_deployment(
    deployment: Deployment,
    directory: Path,
    variant: Variant,
    engine_arguments: tuple[str, ...] = (),
) -> AsyncIterator[Launcher]:
    """Starts a deployment with a variant's settings and stops it on exit.

    :raises LaunchError: if the deployment does not start or refuses the settings.
    """
    extra_arguments = {
        f"r{n + 1}": ("--drain-delay-s", "0.2") for n in range(deployment.routers)
    }
    extra_arguments[deployment.engines.name] = engine_arguments
    launch = Launcher.from_config(
        LaunchConfig(
            deployment, directory / variant.name, extra_arguments=extra_arguments
        )
    )
    await launch.start()
    try:
        if variant.overrides:
            path = f"/service={deployment.engines.name}"
            node = _merge_settings(
                deployment.settings_by_node()[path], variant.overrides
            )
            await launch.apply_settings({path: node})
        yield launch
    finally:
        killed = await launch.stop()
        if killed:
            print(f"killed after the grace period: {', '.join(killed)}")


def _merge_settings(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in changes.items():
        nested = isinstance(value, dict) and isinstance(base.get(name), dict)
        merged[name] = _merge_settings(base[name], value) if nested else value
    return merged


async def send_load(
    launch: Launcher, history: HistoryFile | None = None, **workload
) -> LoadReport:
    """Sends a generated workload through all routers.

    :param history: file for the events of each attempt.
    :param workload: fields of :class:`emulator.workload.WorkloadConfig` that replace
        the defaults.
    """
    endpoints = launch.endpoints()
    addresses = [router["caller"] for router in endpoints["routers"]]
    caller = Caller(addresses, endpoints["keys"], history)
    config = workload_for(launch.deployment, **workload)
    name = action_class(launch.deployment)
    generator = LoadGenerator(caller, config, class_deadlines(launch.deployment), name)
    try:
        return await generator.run()
    finally:
        caller.close()


async def warm_up(launch: Launcher, seconds: float, rate: float, seed: int) -> None:
    """Sends short chats until the agents consider their servers warm.

    :param seconds: length of the workload.
    :param rate: chats per second.
    """
    await send_load(
        launch,
        seconds=seconds,
        chats_per_s=rate,
        actions_per_s=2.0,
        answer_words=(4, 8),
        pause_s=0.1,
        seed=seed,
    )


async def set_fault(backend: Backend, kind: str) -> None:
    """Replaces the faults of a backend server by one of a kind.

    :raises LaunchError: if the server refuses it.
    """
    client = HttpClient.from_address(backend.server.addresses["address"])
    try:
        rules = {"faults": [{"kind": kind}]}
        status, answer = await client.request_json("POST", "/_faults", rules)
        if status != 200:
            raise LaunchError(
                f"setting fault {kind} failed with status {status}: {answer}"
            )
    finally:
        client.close()


def cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


@dataclass(slots=True)
class ClassSummary:
    """Counts and latencies of the calls of one class.

    :param late: calls answered after the deadline.
    :param broken: calls with a wrong response or none.
    :param repeats: retries of all calls.
    :param first_token: times to the first token, in microseconds.
    :param token_gap: times between tokens, in microseconds.
    """

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0
    repeats: int = 0
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    token_gap: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )

    @property
    def in_time_share(self) -> float:
        """Share of the calls answered within the deadline; 1 without any calls."""
        return self.in_time / self.calls if self.calls else 1.0

    def add(self, result: CallResult, deadline_s: float) -> None:
        """Adds the result of one call.

        :param deadline_s: deadline of the class, in seconds.
        """
        self.calls += 1
        self.repeats += result.attempts - 1
        if result.outcome == "refused":
            self.refused += 1
        elif result.outcome != "answered":
            self.broken += 1
        elif result.total_s > deadline_s:
            self.late += 1
        else:
            self.in_time += 1
        if result.outcome == "answered":
            self.first_token.record_value(max(1, int(result.first_token_s * 1e6)))
            for gap in result.token_gaps_s:
                self.token_gap.record_value(max(1, int(gap * 1e6)))

    def row(self) -> dict[str, Any]:
        """Returns the values by table column."""
        return {
            "calls": self.calls,
            "in time": self.in_time,
            "share": round(self.in_time_share, 4),
            "late": self.late,
            "refused": self.refused,
            "broken": self.broken,
            "repeats": self.repeats,
            "first p50 s": _seconds(self.first_token, 50),
            "first p95 s": _seconds(self.first_token, 95),
            "gap p50 s": _seconds(self.token_gap, 50),
            "gap p95 s": _seconds(self.token_gap, 95),
        }


def _seconds(histogram: HdrHistogram, percent: float) -> float:
    return round(histogram.get_value_at_percentile(percent) / 1e6, 4)


def summarize_by_class(
    results: list[tuple[Call, CallResult]], deadlines: dict[str, float]
) -> dict[str, ClassSummary]:
    """Summarizes results by class.

    :param deadlines: deadline in seconds by class; other classes have none.
    """
    summaries: dict[str, ClassSummary] = {}
    for call, result in results:
        deadline_s = deadlines.get(call.request_class, float("inf"))
        summary = summaries.setdefault(call.request_class, ClassSummary())
        summary.add(result, deadline_s)
    return dict(sorted(summaries.items()))


def failure_causes(results: list[tuple[Call, CallResult]]) -> Counter[str]:
    """Counts the calls that were not answered, by the start of their error message."""
    return Counter(
        result.problem[:60] for _, result in results if result.outcome != "answered"
    )


async def sample_stats(
    backends: list[Backend], seconds: float, period_s: float = 0.02
) -> dict[str, list[dict[str, Any]]]:
    """Samples the counters of engines for a while.

    :returns: samples by server name, each with its time ``at_s`` in seconds since the
        start.
    """
    loop = asyncio.get_running_loop()
    clients = {
        b.server.name: HttpClient.from_address(b.server.addresses["address"])
        for b in backends
    }
    samples: dict[str, list[dict[str, Any]]] = {name: [] for name in clients}
    started = loop.time()

    async def sample(name: str, client: HttpClient) -> None:
        while loop.time() < started + seconds:
            _, stats = await client.request_json("GET", "/_stats")
            samples[name].append({"at_s": loop.time() - started, **stats})
            await asyncio.sleep(period_s)

    await asyncio.gather(*(sample(*item) for item in clients.items()))
    for client in clients.values():
        client.close()
    return samples
