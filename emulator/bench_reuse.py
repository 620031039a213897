"""Measures cache reuse and the load bound against other placements.

``python -m emulator.bench_reuse`` runs a deployment once for each placement, with the
same generated chats, through a lost server, one that joins, a surge and a zone move.
"""

import argparse
import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import datetime
from pathlib import Path

from emulator.audit import read_events
from emulator.bench import plot_groups, table, write_csv
from emulator.caller import Call, Caller, CallResult
from emulator.deployments import DEPLOYMENTS, LEAFLINE, Deployment
from emulator.engine_config import EngineConfig
from emulator.launch import LaunchConfig, Launcher
from emulator.load import LoadGenerator, class_deadlines, workload_for
from emulator.processes import LaunchError
from emulator.reuse_audit import (
    LoadAudit,
    Presence,
    Reuse,
    TimedCall,
    audit_load,
    best_cached,
    engine_by_call,
)
from emulator.standin import cancel_on_sigterm
from emulator.workload import WorkloadConfig
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs

# A large bound, which no load of the bench reaches.
NO_BOUND = {"load_bound": 10, "load_bound_extra": 100}
# Settings of ``routing`` by name of the placement.
PLACEMENTS = {
    "affinity": {},
    "hash, no bound": {"policy": "affinity", **NO_BOUND},
    "least loaded": {"policy": "least_loaded", **NO_BOUND},
    "random": {"policy": "random", **NO_BOUND},
}
# Share of the run at which each phase starts. The cold limits of all agents have
# grown to the full one only after about 12 s at the default rate.
PHASES = {
    "warm-up": 0.0,
    "steady": 0.30,
    "lost": 0.50,
    "joined": 0.62,
    "surge": 0.74,
    "zone": 0.84,
}
# The zone returns after this share of its phase.
ZONE_OUT_SHARE = 0.4
SURGE_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class ReuseConfig:
    """What one run does. Times are in seconds."""

    deployment: Deployment = LEAFLINE
    seconds: float = 48.0
    chats_per_s: float = 4.0
    seed: int = 1
    cache_blocks: int = EngineConfig().cache_blocks


def _workload(config: ReuseConfig) -> WorkloadConfig:
    """Returns the chats of a run; the largest workspace surges."""
    workspaces = config.deployment.workspace_shares()
    return workload_for(
        config.deployment,
        seconds=config.seconds,
        chats_per_s=config.chats_per_s,
        actions_per_s=0.0,
        surge_workspace=max(workspaces, key=workspaces.get),
        surge_factor=SURGE_FACTOR,
        surge_start_s=PHASES["surge"] * config.seconds,
        surge_end_s=PHASES["zone"] * config.seconds,
        seed=config.seed,
    )


class RecordingCaller:
    """Notes the times of each call; otherwise as :class:`Caller`."""

    __slots__ = ("_caller", "_clock", "calls")

    def __init__(self, caller: Caller, clock: Clock) -> None:
        self._caller = caller
        self._clock = clock
        self.calls: list[TimedCall] = []

    async def call(self, call: Call) -> CallResult:
        """Sends a call and keeps its result."""
        started = self._clock.now()
        result = await self._caller.call(call)
        self.calls.append(TimedCall(call, result, started, self._clock.now()))
        return result


class ReuseRun:
    """One deployment under load with one placement."""

    __slots__ = ("_clock", "_config", "_launch", "_pool", "_routing", "_spans", "name")

    def __init__(self, config: ReuseConfig, name: str, directory: Path) -> None:
        self.name = name
        self._config = config
        self._routing = PLACEMENTS[name]
        self._clock = Clock()
        engines = config.deployment.engines.name
        extra = {engines: ("--cache-blocks", str(config.cache_blocks))}
        self._launch = Launcher.from_config(
            LaunchConfig(config.deployment, directory, extra_arguments=extra)
        )
        self._pool: list[Presence] = []
        self._spans: dict[str, tuple[float, float]] = {}

    async def run(self) -> list[dict]:
        """Runs the load through all phases and returns a row for each phase.

        :raises LaunchError: if the deployment does not start or take an order.
        """
        engines = self._config.deployment.engines.name
        await self._launch.start()
        try:
            path = f"/service={engines}"
            node = dict(self._config.deployment.settings_by_node()[path])
            await self._launch.apply_settings(
                {path: {**node, "routing": self._routing}}
            )
            backends = self._launch.backends_of(engines)
            self._pool = [Presence(b.server.name, 0.0) for b in backends]
            calls = await self._send_load()
        finally:
            await self._launch.stop()
        return self._rows(calls)

    async def _send_load(self) -> list[TimedCall]:
        config = self._config
        endpoints = self._launch.endpoints()
        addresses = [router["caller"] for router in endpoints["routers"]]
        caller = Caller(addresses, endpoints["keys"])
        recorder = RecordingCaller(caller, self._clock)
        generator = LoadGenerator(
            recorder, _workload(config), class_deadlines(config.deployment)
        )
        starts = [
            share * config.seconds + self._clock.now()
            for share in [*PHASES.values(), 1.0]
        ]
        self._spans = {
            name: (starts[i], starts[i + 1]) for i, name in enumerate(PHASES)
        }
        load = asyncio.create_task(generator.run())
        try:
            await asyncio.gather(load, self._disturb())
        finally:
            load.cancel()
            caller.close()
        return recorder.calls

    async def _disturb(self) -> None:
        """Loses a server, adds one and moves a zone while the load runs."""
        engines = self._config.deployment.engines
        zone = self._config.deployment.zones[-1]
        await self._wait_until(self._spans["lost"][0])
        # The order of the backends is that of their start, which differs by run.
        first_zone = self._config.deployment.zones[0]
        backends = self._launch.backends_of(engines.name, first_zone)
        lost = min(backends, key=lambda b: b.server.name)
        self._leave(lost.server.name)
        await asyncio.gather(lost.agent.kill(), lost.server.kill())
        await self._wait_until(self._spans["joined"][0])
        joined = await self._launch.add_backend(engines, lost.zone)
        self._pool.append(Presence(joined.server.name, self._clock.now()))
        since, until = self._spans["zone"]
        await self._wait_until(since)
        backends = self._launch.backends_of(engines.name, zone)
        # A lost engine does not come back with its zone and would lower the mean.
        moving = [b.server.name for b in backends if b.server.alive]
        await self._move_zone(zone, "out")
        for name in moving:
            self._leave(name)
        await self._wait_until(since + ZONE_OUT_SHARE * (until - since))
        back = self._clock.now()
        await self._move_zone(zone, "back")
        self._pool += [Presence(name, back) for name in moving]

    async def _wait_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._clock.now()))

    def _leave(self, engine: str) -> None:
        now = self._clock.now()
        self._pool = [
            replace(p, until=now) if p.engine == engine and p.until > now else p
            for p in self._pool
        ]

    async def _move_zone(self, zone: str, word: str) -> None:
        status, answer = await self._launch.operator_request(
            "POST", f"/v1/zones/{zone}/{word}", {"deadline_s": 60.0}
        )
        if status >= 300:
            raise LaunchError(f"zone {word} was refused with {status}: {answer}")

    def _rows(self, calls: list[TimedCall]) -> list[dict]:
        histories = {
            b.server.name: b.history
            for b in self._launch.backends_of(self._config.deployment.engines.name)
        }
        events = {name: read_events([path]) for name, path in histories.items()}
        blocks = self._config.cache_blocks * self._config.deployment.engines.count
        best = best_cached(calls, blocks)
        engines = engine_by_call(events)
        loads = audit_load(events, self._pool, self._spans)
        refusals = self._refusals()
        rows = []
        for phase, (since, until) in self._spans.items():
            inside = [c for c in calls if since <= c.started < until]
            row = {"placement": self.name, "phase": phase}
            row |= _reuse_columns(inside, best, engines)
            row |= _load_columns(loads[phase])
            row["first p95"] = _percentile(inside, 0.95)
            row["refusals"] = _count_text(refusals, since, until)
            rows.append(row)
        return rows

    def _refusals(self) -> list[tuple[float, str]]:
        """Returns the time and reason of each refusal that a router met."""
        found = []
        for router in self._launch.routers:
            for line in router.log_path.read_text().splitlines():
                if '"attempt refused"' in line:
                    entry = json.loads(line)
                    found.append((_log_time(entry), entry["reason"]))
        return found


def _log_time(entry: dict) -> float:
    return datetime.fromisoformat(entry["timestamp"]).timestamp()


def _count_text(refusals, since: float, until: float) -> str:
    counts = Counter(reason for at, reason in refusals if since <= at < until)
    return " ".join(f"{name}:{count}" for name, count in counts.most_common())


def _reuse_columns(
    calls: list[TimedCall], best: dict[str, int], engines: dict[str, str]
) -> dict:
    reuse = _reuse(calls, best, engines)
    share = max(1, reuse.best)
    return {
        "calls": len(calls),
        "not answered": sum(c.result.outcome != "answered" for c in calls),
        "reuse": reuse.share,
        "best": reuse.best_share,
        "of best": reuse.of_best,
        "moved turns": f"{reuse.moved_turns}/{reuse.later_turns}",
        "lost moved": reuse.lost["moved"] / share,
        "lost first": reuse.lost["first"] / share,
        "lost same": reuse.lost["same"] / share,
    }


def _load_columns(load: LoadAudit) -> dict:
    return {
        "mean": load.mean,
        "largest": load.largest,
        "over P1": f"{load.over}/{load.starts}",
        "worst": load.worst,
    }


def _reuse(
    calls: list[TimedCall], best: dict[str, int], engines: dict[str, str]
) -> Reuse:
    reuse = Reuse()
    for item in calls:
        if item.result.outcome != "answered":
            continue
        name, turn = item.chat
        engine = engines.get(item.call.request_id)
        moved = engine != engines.get(f"{name}-{turn - 1}") if turn else None
        reuse.add(item, best[item.call.request_id], moved)
    return reuse


def _percentile(calls: list[TimedCall], share: float) -> float:
    """Returns a quantile of the seconds to the first token."""
    times = sorted(c.result.first_token_s for c in calls if c.result.first_token_s)
    return times[min(len(times) - 1, int(share * len(times)))] if times else 0.0


async def measure(
    config: ReuseConfig, names: Sequence[str], parallel: int, directory: Path
) -> list[dict]:
    """Runs each placement and returns all rows.

    :param parallel: deployments that run at once.
    """
    free = asyncio.Semaphore(parallel)

    async def one(name: str) -> list[dict]:
        async with free:
            place = directory / name.replace(",", "").replace(" ", "-")
            return await ReuseRun(config, name, place).run()

    results = await asyncio.gather(*(one(name) for name in names))
    return [row for rows in results for row in rows]


def save(out: Path, rows: list[dict], deployment: str) -> None:
    """Writes the rows as CSV and the reuse as a plot."""
    write_csv(out / f"reuse-{deployment}.csv", rows)
    series: dict[str, list[float]] = {}
    for row in rows:
        series.setdefault(row["placement"], []).append(row["reuse"])
    first = rows[0]["placement"]
    series["best possible"] = [r["best"] for r in rows if r["placement"] == first]
    path = out / f"reuse-{deployment}.svg"
    plot_groups(path, list(PHASES), series, "prompt tokens served from cache")


def _parser() -> argparse.ArgumentParser:
    defaults = ReuseConfig()
    parser = argparse.ArgumentParser(prog="bench_reuse", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    parser.add_argument("--chats-per-s", type=float, default=defaults.chats_per_s)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    parser.add_argument("--placement", choices=PLACEMENTS, action="append")
    parser.add_argument("--parallel", type=int, default=4, help="runs at once")
    parser.add_argument("--out", type=Path, help="directory for CSV and plot")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the bench and returns its exit code."""
    options = _parser().parse_args(arguments)
    configure_logs("bench", options.deployment, "warning")
    config = ReuseConfig(
        DEPLOYMENTS[options.deployment],
        options.seconds,
        options.chats_per_s,
        options.seed,
        options.cache_blocks,
    )
    names = options.placement or list(PLACEMENTS)
    started = time.monotonic()
    print(f"{options.deployment}, seed {config.seed}, {config.seconds:.0f} s of load")

    async def run() -> list[dict]:
        cancel_on_sigterm()
        with tempfile.TemporaryDirectory(prefix="bench-") as directory:
            return await measure(config, names, options.parallel, Path(directory))

    try:
        rows = asyncio.run(run())
    except LaunchError as error:
        print(f"bench_reuse: {error}")
        return 1
    print("\n".join(table(rows)))
    print(f"took {time.monotonic() - started:.0f} s")
    if options.out:
        save(options.out, rows, options.deployment)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
