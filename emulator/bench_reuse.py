"""Compares cache reuse and load of prefix affinity with those of other placements.

``python -m emulator.bench_reuse`` runs a deployment once for each placement with the
same generated chats. In each run a server is lost, another one joins, the load surges
and a zone is taken out and back.
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
from emulator.bench import format_table, plot_grouped_bars, write_csv
from emulator.caller import Call, Caller, CallResult
from emulator.deployments import DEPLOYMENTS, LEAFLINE, Deployment
from emulator.engine_config import EngineConfig
from emulator.launch import LaunchConfig, Launcher
from emulator.load import LoadGenerator, class_deadlines, workload_for
from emulator.processes import LaunchError
from emulator.reuse_audit import (
    LoadAudit,
    PoolMembership,
    ReuseSummary,
    TimedCall,
    audit_load,
    best_cached_tokens,
    engine_by_call,
)
from emulator.standin import cancel_on_sigterm
from emulator.workload import WorkloadConfig
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs

# Turns the load bound off, since the benchmark never reaches this load.
NO_BOUND = {"load_bound": 10, "load_bound_extra": 100}
# Overrides of the ``routing`` settings by name of the placement.
PLACEMENTS = {
    "affinity": {},
    "hash, no bound": {"policy": "affinity", **NO_BOUND},
    "least loaded": {"policy": "least_loaded", **NO_BOUND},
    "random": {"policy": "random", **NO_BOUND},
}
# Start of each phase as a share of the run. The warm-up is long because the cold-start
# limits of all agents take about 12 s to grow to the full limit at the default rate.
PHASES = {
    "warm-up": 0.0,
    "steady": 0.30,
    "lost": 0.50,
    "joined": 0.62,
    "surge": 0.74,
    "zone": 0.84,
}
# Share of the zone phase after which the zone is taken back.
ZONE_OUT_SHARE = 0.4
SURGE_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class ReuseConfig:
    """Parameters of a run. Times are in seconds.

    :param cache_blocks: prefix cache capacity of each engine.
    """

    deployment: Deployment = LEAFLINE
    seconds: float = 48.0
    chats_per_s: float = 4.0
    seed: int = 1
    cache_blocks: int = EngineConfig().cache_blocks


def _workload(config: ReuseConfig) -> WorkloadConfig:
    """Returns the workload of a run; the largest workspace gets the surge."""
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
    """Wraps a :class:`Caller` and records the result and times of each call."""

    __slots__ = ("_caller", "_clock", "calls")

    def __init__(self, caller: Caller, clock: Clock) -> None:
        self._caller = caller
        self._clock = clock
        self.calls: list[TimedCall] = []

    async def call(self, call: Call) -> CallResult:
        """Sends a call and records its result."""
        started = self._clock.now()
        result = await self._caller.call(call)
        self.calls.append(TimedCall(call, result, started, self._clock.now()))
        return result


class ReuseRun:
    """Runs a deployment under load with one placement."""

    __slots__ = (
        "_clock",
        "_config",
        "_launch",
        "_memberships",
        "_phase_times",
        "_routing",
        "name",
    )

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
        self._memberships: list[PoolMembership] = []
        self._phase_times: dict[str, tuple[float, float]] = {}

    async def run(self) -> list[dict]:
        """Runs the load through all phases and returns a row for each phase.

        :raises LaunchError: if the deployment does not start or refuses an order.
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
            self._memberships = [PoolMembership(b.server.name, 0.0) for b in backends]
            calls = await self._send_load()
        finally:
            await self._launch.stop()
        return self._build_rows(calls)

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
        self._phase_times = {
            name: (starts[i], starts[i + 1]) for i, name in enumerate(PHASES)
        }
        load = asyncio.create_task(generator.run())
        try:
            await asyncio.gather(load, self._change_topology())
        finally:
            load.cancel()
            caller.close()
        return recorder.calls

    async def _change_topology(self) -> None:
        """Kills a server, adds one, and takes a zone out and back while the load runs."""
        engines = self._config.deployment.engines
        zone = self._config.deployment.zones[-1]
        await self._wait_until(self._phase_times["lost"][0])
        # The start order of the backends differs by run, so the victim is chosen by name.
        first_zone = self._config.deployment.zones[0]
        backends = self._launch.backends_of(engines.name, first_zone)
        lost = min(backends, key=lambda b: b.server.name)
        self._end_membership(lost.server.name)
        await asyncio.gather(lost.agent.kill(), lost.server.kill())
        await self._wait_until(self._phase_times["joined"][0])
        joined = await self._launch.add_backend(engines, lost.zone)
        self._memberships.append(PoolMembership(joined.server.name, self._clock.now()))
        since, until = self._phase_times["zone"]
        await self._wait_until(since)
        backends = self._launch.backends_of(engines.name, zone)
        # A killed engine does not return with its zone and would lower the mean.
        returning = [b.server.name for b in backends if b.server.alive]
        await self._move_zone(zone, "out")
        for name in returning:
            self._end_membership(name)
        await self._wait_until(since + ZONE_OUT_SHARE * (until - since))
        back = self._clock.now()
        await self._move_zone(zone, "back")
        self._memberships += [PoolMembership(name, back) for name in returning]

    async def _wait_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._clock.now()))

    def _end_membership(self, engine: str) -> None:
        now = self._clock.now()
        self._memberships = [
            replace(p, until=now) if p.engine == engine and p.until > now else p
            for p in self._memberships
        ]

    async def _move_zone(self, zone: str, word: str) -> None:
        status, answer = await self._launch.operator_request(
            "POST", f"/v1/zones/{zone}/{word}", {"deadline_s": 60.0}
        )
        if status >= 300:
            raise LaunchError(
                f"zone order {word} was refused with status {status}: {answer}"
            )

    def _build_rows(self, calls: list[TimedCall]) -> list[dict]:
        histories = {
            b.server.name: b.history
            for b in self._launch.backends_of(self._config.deployment.engines.name)
        }
        events = {name: read_events([path]) for name, path in histories.items()}
        blocks = self._config.cache_blocks * self._config.deployment.engines.count
        best = best_cached_tokens(calls, blocks)
        engines = engine_by_call(events)
        loads = audit_load(events, self._memberships, self._phase_times)
        refusals = self._read_refusals()
        rows = []
        for phase, (since, until) in self._phase_times.items():
            phase_calls = [c for c in calls if since <= c.started_at < until]
            row = {"placement": self.name, "phase": phase}
            row |= _reuse_columns(phase_calls, best, engines)
            row |= _load_columns(loads[phase])
            row["first p95"] = _percentile(phase_calls, 0.95)
            row["refusals"] = _format_counts(refusals, since, until)
            rows.append(row)
        return rows

    def _read_refusals(self) -> list[tuple[float, str]]:
        """Returns the time and reason of each refused attempt in the router logs."""
        found = []
        for router in self._launch.routers:
            for line in router.log_path.read_text().splitlines():
                if '"attempt refused"' in line:
                    entry = json.loads(line)
                    found.append((_log_time(entry), entry["reason"]))
        return found


def _log_time(entry: dict) -> float:
    return datetime.fromisoformat(entry["timestamp"]).timestamp()


def _format_counts(refusals, since: float, until: float) -> str:
    counts = Counter(reason for at, reason in refusals if since <= at < until)
    return " ".join(f"{name}:{count}" for name, count in counts.most_common())


def _reuse_columns(
    calls: list[TimedCall], best: dict[str, int], engines: dict[str, str]
) -> dict:
    reuse = _summarize_reuse(calls, best, engines)
    best_tokens = max(1, reuse.best_tokens)
    return {
        "calls": len(calls),
        "not answered": sum(c.result.outcome != "answered" for c in calls),
        "reuse": reuse.cached_share,
        "best": reuse.best_share,
        "of best": reuse.share_of_best,
        "moved turns": f"{reuse.moved_turns}/{reuse.followup_turns}",
        "lost moved": reuse.missed_tokens["moved"] / best_tokens,
        "lost first": reuse.missed_tokens["first"] / best_tokens,
        "lost same": reuse.missed_tokens["same"] / best_tokens,
    }


def _load_columns(load: LoadAudit) -> dict:
    return {
        "mean": load.mean_of_means,
        "largest": load.max_running,
        "over P1": f"{load.violations}/{load.starts}",
        "worst": load.worst_excess,
    }


def _summarize_reuse(
    calls: list[TimedCall], best: dict[str, int], engines: dict[str, str]
) -> ReuseSummary:
    reuse = ReuseSummary()
    for item in calls:
        if item.result.outcome != "answered":
            continue
        name, turn = item.chat_turn
        engine = engines.get(item.call.request_id)
        moved = engine != engines.get(f"{name}-{turn - 1}") if turn else None
        reuse.add(item, best[item.call.request_id], moved)
    return reuse


def _percentile(calls: list[TimedCall], share: float) -> float:
    """Returns a quantile of the time to the first token in seconds, or 0 without any."""
    times = sorted(c.result.first_token_s for c in calls if c.result.first_token_s)
    return times[min(len(times) - 1, int(share * len(times)))] if times else 0.0


async def measure(
    config: ReuseConfig, names: Sequence[str], parallel: int, directory: Path
) -> list[dict]:
    """Runs each placement and returns the rows of all.

    :param parallel: maximum number of deployments that run at once.
    :raises LaunchError: if a deployment does not start or refuses an order.
    """
    run_slots = asyncio.Semaphore(parallel)

    async def run_placement(name: str) -> list[dict]:
        async with run_slots:
            run_directory = directory / name.replace(",", "").replace(" ", "-")
            return await ReuseRun(config, name, run_directory).run()

    results = await asyncio.gather(*(run_placement(name) for name in names))
    return [row for rows in results for row in rows]


def save_results(out: Path, rows: list[dict], deployment: str) -> None:
    """Writes the rows as CSV, and a plot of the cache reuse by phase."""
    write_csv(out / f"reuse-{deployment}.csv", rows)
    series: dict[str, list[float]] = {}
    for row in rows:
        series.setdefault(row["placement"], []).append(row["reuse"])
    first = rows[0]["placement"]
    series["best possible"] = [r["best"] for r in rows if r["placement"] == first]
    path = out / f"reuse-{deployment}.svg"
    plot_grouped_bars(path, list(PHASES), series, "prompt tokens served from cache")


def _parser() -> argparse.ArgumentParser:
    defaults = ReuseConfig()
    parser = argparse.ArgumentParser(prog="bench_reuse", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    parser.add_argument("--chats-per-s", type=float, default=defaults.chats_per_s)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    parser.add_argument("--placement", choices=PLACEMENTS, action="append")
    parser.add_argument(
        "--parallel", type=int, default=4, help="deployments that run at once"
    )
    parser.add_argument(
        "--out", type=Path, help="directory for the CSV file and the plot"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the benchmark and returns its exit code."""
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
    print("\n".join(format_table(rows)))
    print(f"took {time.monotonic() - started:.0f} s")
    if options.out:
        save_results(options.out, rows, options.deployment)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
