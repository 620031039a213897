"""Runs a deployment for the service benchmark and measures what callers see."""

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
    DIGITS,
    MAX_US,
    LoadGenerator,
    LoadReport,
    action_class,
    class_deadlines,
    workload_for,
)
from emulator.processes import LaunchError
from emulator.standin import HistoryFile
from heatherswitch.util.http_client import HttpClient

# Targets of the design, in seconds.
FIRST_TOKEN_S = 0.48
TOKEN_GAP_S = 0.034
# Ticks per second in /proc/<pid>/stat.
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to run the fleet: as designed, or a baseline.

    :param overrides: settings of the model service that differ from the example.
    """

    name: str
    overrides: dict[str, Any] = field(default_factory=dict)


@asynccontextmanager
async def running(
    deployment: Deployment,
    directory: Path,
    variant: Variant,
    engine_arguments: tuple[str, ...] = (),
) -> AsyncIterator[Launcher]:
    """Starts a deployment with a variant's settings and stops it afterwards."""
    extra = {f"r{n + 1}": ("--drain-delay-s", "0.2") for n in range(deployment.routers)}
    extra[deployment.engines.name] = engine_arguments
    launch = Launcher.from_config(
        LaunchConfig(deployment, directory / variant.name, extra_arguments=extra)
    )
    await launch.start()
    try:
        if variant.overrides:
            path = f"/service={deployment.engines.name}"
            node = _merged(deployment.settings_by_node()[path], variant.overrides)
            await launch.apply_settings({path: node})
        yield launch
    finally:
        late = await launch.stop()
        if late:
            print(f"killed after the grace time: {', '.join(late)}")


def _merged(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in changes.items():
        nested = isinstance(value, dict) and isinstance(base.get(name), dict)
        merged[name] = _merged(base[name], value) if nested else value
    return merged


async def send_load(
    launch: Launcher, history: HistoryFile | None = None, **workload
) -> LoadReport:
    """Sends generated work through all routers.

    :param history: takes each attempt of the callers.
    :param workload: fields of :class:`emulator.workload.WorkloadConfig` to set.
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
    """Sends short chats, so that the agents see warm servers."""
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
    """Switches a fault of a backend server on.

    :raises LaunchError: if the server refuses it.
    """
    client = HttpClient.from_address(backend.server.addresses["address"])
    try:
        rules = {"faults": [{"kind": kind}]}
        status, answer = await client.request_json("POST", "/_faults", rules)
        if status != 200:
            raise LaunchError(f"fault {kind} was refused with {status}: {answer}")
    finally:
        client.close()


def cpu_s(pid: int) -> float:
    """Returns the CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


@dataclass(slots=True)
class ClassSummary:
    """What the callers of one class saw."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0
    repeats: int = 0
    first: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_US, DIGITS))
    gap: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_US, DIGITS))

    @property
    def share(self) -> float:
        """Share of the calls answered within the class's deadline."""
        return self.in_time / self.calls if self.calls else 1.0

    def add(self, result: CallResult, deadline_s: float) -> None:
        """Adds one call."""
        self.calls += 1
        self.repeats += result.attempts - 1
        if result.outcome == "refused":
            self.refused += 1
        elif result.outcome != "answered":
            self.broken += 1
        elif result.whole_s > deadline_s:
            self.late += 1
        else:
            self.in_time += 1
        if result.outcome == "answered":
            self.first.record_value(max(1, int(result.first_token_s * 1e6)))
            for gap in result.gaps_s:
                self.gap.record_value(max(1, int(gap * 1e6)))

    def row(self) -> dict[str, Any]:
        """Returns the figures by column."""
        return {
            "calls": self.calls,
            "in time": self.in_time,
            "share": round(self.share, 4),
            "late": self.late,
            "refused": self.refused,
            "broken": self.broken,
            "repeats": self.repeats,
            "first p50 s": _seconds(self.first, 50),
            "first p95 s": _seconds(self.first, 95),
            "gap p50 s": _seconds(self.gap, 50),
            "gap p95 s": _seconds(self.gap, 95),
        }


def _seconds(histogram: HdrHistogram, percent: float) -> float:
    return round(histogram.get_value_at_percentile(percent) / 1e6, 4)


def by_class(
    results: list[tuple[Call, CallResult]], deadlines: dict[str, float]
) -> dict[str, ClassSummary]:
    """Sums up results by class."""
    summaries: dict[str, ClassSummary] = {}
    for call, result in results:
        deadline_s = deadlines.get(call.request_class, float("inf"))
        summary = summaries.setdefault(call.request_class, ClassSummary())
        summary.add(result, deadline_s)
    return dict(sorted(summaries.items()))


def refusal_causes(results: list[tuple[Call, CallResult]]) -> Counter[str]:
    """Counts the causes of calls that were not answered."""
    return Counter(
        result.problem[:60] for _, result in results if result.outcome != "answered"
    )


async def follow_stats(
    backends: list[Backend], seconds: float, period_s: float = 0.02
) -> dict[str, list[dict[str, Any]]]:
    """Samples the exact load of engines.

    :returns: samples by name of the server, each with its time in seconds.
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
