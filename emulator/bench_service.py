"""Measures service quality during zone moves, surges and cold starts, and router cost.

``python -m emulator.bench_service --scenario zone`` runs one scenario and its baselines
with real processes. ``--out DIR`` also writes the tables as CSV.
"""

import argparse
import asyncio
import csv
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from emulator.audit import ZoneMove, audit_zone, read_events
from emulator.batching import PerformanceModel
from emulator.deployments import DEPLOYMENTS, Deployment
from emulator.launch import Backend, Launcher
from emulator.load import class_deadlines
from emulator.processes import LaunchError
from emulator.service_cost import measure_cost
from emulator.service_runs import (
    Variant,
    failure_causes,
    running_deployment,
    sample_stats,
    send_load,
    set_fault,
    summarize_by_class,
    warm_up,
)
from emulator.standin import INTERRUPTED_EXIT_CODE, cancel_on_sigterm
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs

# Seconds after a zone order within which servers may still start requests (P3).
ZONE_BOUND_S = 3.0
# Chats per second and model engine at the deployments' peak. Without one zone, the
# other engines run at about two thirds of their capacity.
PEAK_CHATS_PER_ENGINE = 2.0
UNLIMITED = {"max_running": 1000, "max_queued": 10000}
NO_ADMISSION = Variant(
    "no-admission",
    {
        "routing": {"load_bound": 10, "load_bound_extra": 100},
        "limits": UNLIMITED,
        "cold_start": {"limit": 1000},
    },
)
DESIGNED = Variant("designed")
# The engines of the surge scenario have small batches, so that the tenfold load of one
# workspace overloads them but not the machine that runs all processes.
SURGE_BATCH = 3
SURGE_ENGINE = ("--max-batch", str(SURGE_BATCH), "--safe-running", "5", "--warm")
# The request timeout, in seconds, bounds the run time of an overloaded baseline.
SURGE_LIMITS = {"max_running": SURGE_BATCH, "request_timeout_s": 4}
SURGE_VARIANTS = (
    Variant("designed", {"limits": SURGE_LIMITS}),
    Variant(
        NO_ADMISSION.name,
        {**NO_ADMISSION.overrides, "limits": SURGE_LIMITS | UNLIMITED},
    ),
)

Rows = list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """Options of a run; times are in seconds.

    :param directory: directory for logs and histories.
    :param baselines: run the baselines, too.
    """

    deployment: Deployment
    directory: Path
    seconds: float
    seed: int
    baselines: bool = True

    def select_variants(self, *baselines: Variant) -> tuple[Variant, ...]:
        """Returns the designed variant and, unless disabled, the baselines."""
        return (DESIGNED, *baselines) if self.baselines else (DESIGNED,)


def no_gradual_return(deployment: Deployment) -> Variant:
    """Returns the baseline that sends full load to a cold server at once."""
    node = deployment.settings_by_node()[f"/service={deployment.engines.name}"]
    limit = node["limits"]["max_running"]
    return Variant("no-gradual-return", {"cold_start": {"limit": limit}})


def class_rows(variant: str, launch: Launcher, results) -> Rows:
    """Returns one row per class, and prints the most frequent failures."""
    summaries = summarize_by_class(results, class_deadlines(launch.deployment))
    for cause, count in failure_causes(results).most_common(3):
        print(f"  {variant}: {count} x {cause}")
    return [
        {"variant": variant, "class": name, **summary.row()}
        for name, summary in summaries.items()
    ]


async def order_zone(launch: Launcher, zone: str, out: bool) -> ZoneMove:
    """Orders a zone to be taken out or back.

    :raises LaunchError: if the order is refused.
    """
    word, clock = "out" if out else "back", Clock()
    ordered = clock.now()
    status, answer = await launch.operator_request(
        "POST", f"/v1/zones/{zone}/{word}", {"deadline_s": 30.0}
    )
    if status >= 300:
        raise LaunchError(
            f"zone order {word} was refused with status {status}: {answer}"
        )
    return ZoneMove(zone, out, ordered, clock.now(), "", 0.0)


async def measure_zone_move(
    options: BenchOptions, variant: Variant
) -> tuple[Rows, Rows]:
    """Takes a zone out and back under peak load; its engines return cold.

    :returns: rows by class, and a row with the times of the zone orders.
    """
    deployment = options.deployment
    zone = deployment.zones[-1]
    async with running_deployment(
        deployment, options.directory, variant, ("--warm",)
    ) as launch:
        rate = PEAK_CHATS_PER_ENGINE * deployment.engines.count
        await warm_up(launch, 3.0, 2 * rate, options.seed + 1)
        load = asyncio.create_task(
            send_load(
                launch, seconds=options.seconds, chats_per_s=rate, seed=options.seed
            )
        )
        await asyncio.sleep(0.25 * options.seconds)
        out = await order_zone(launch, zone, out=True)
        await asyncio.sleep(0.35 * options.seconds)
        for backend in launch.backends_of(deployment.engines.name, zone):
            await set_fault(backend, "go_cold")
        back = await order_zone(launch, zone, out=False)
        report = await load
        rows = class_rows(variant.name, launch, report.results)
        backends = launch.backends_of(zone=zone)
    events = read_events(item.history for item in backends)
    audit = audit_zone(events, out, back, ZONE_BOUND_S)
    order_row = {
        "variant": variant.name,
        "last new work s": round(audit.last_start_s, 3),
        "starts after the bound": audit.late_starts,
        "interrupted": audit.interrupted,
        "first work after return s": audit.resumed_s and round(audit.resumed_s, 3),
    }
    return rows, [order_row]


async def run_zone(options: BenchOptions) -> dict[str, Rows]:
    """Compares the designed variant with two baselines during a zone move."""
    tables: dict[str, Rows] = {"zone-classes": [], "zone-orders": []}
    baselines = (NO_ADMISSION, no_gradual_return(options.deployment))
    for variant in options.select_variants(*baselines):
        classes, orders = await measure_zone_move(options, variant)
        tables["zone-classes"] += classes
        tables["zone-orders"] += orders
    return tables


async def measure_surge(options: BenchOptions, variant: Variant) -> Rows:
    """Raises the load of the largest workspace tenfold for half of the run."""
    deployment = options.deployment
    workspaces = deployment.workspace_shares()
    surging = surging_workspace(deployment)
    async with running_deployment(
        deployment, options.directory, variant, SURGE_ENGINE
    ) as launch:
        rate = 1.1 * deployment.engines.count
        await warm_up(launch, 3.0, 2 * rate, options.seed + 1)
        report = await send_load(
            launch,
            seconds=options.seconds,
            chats_per_s=rate,
            seed=options.seed,
            surge_workspace=surging,
            surge_factor=10.0,
            surge_start_s=options.seconds / 4,
            surge_end_s=options.seconds * 3 / 4,
        )
        rows = []
        for name, members in (
            ("surging", {surging}),
            ("others", workspaces.keys() - {surging}),
        ):
            results = [item for item in report.results if item[0].workspace in members]
            rows += class_rows(f"{variant.name}/{name}", launch, results)
        return rows


def surging_workspace(deployment: Deployment) -> str:
    """Returns the workspace whose load surges: the last of those with the largest share."""
    workspaces = deployment.workspace_shares()
    largest = max(workspaces.values())
    return [name for name, share in workspaces.items() if share == largest][-1]


async def run_surge(options: BenchOptions) -> dict[str, Rows]:
    """Compares the designed variant with one without admission control at the agents."""
    rows: Rows = []
    for variant in SURGE_VARIANTS[: 2 if options.baselines else 1]:
        rows += await measure_surge(options, variant)
    return {"surge": rows}


def load_against_capacity(samples: Rows, since_s: float = 0.0) -> dict[str, float]:
    """Compares the load of a cold engine with its capacity at its present warmth.

    :param samples: result of :func:`emulator.service_runs.sample_stats` for one engine.
    :param since_s: samples before this time are ignored, in seconds.
    """
    times = PerformanceModel()
    ratios = []
    for sample in samples:
        if sample["warmth"] >= 1 or sample["at_s"] < since_s:
            continue
        span = times.safe_running - times.cold_safe_running
        capacity = times.cold_safe_running + span * sample["warmth"]
        ratios.append(
            (sample["at_s"], (sample["running"] + sample["waiting"]) / capacity)
        )
    over = [at_s for at_s, ratio in ratios if ratio > 1]
    return {
        "largest load / borne": round(max((r for _, r in ratios), default=0.0), 3),
        "samples over": len(over),
        "last over s": round(over[-1] - since_s, 3) if over else 0.0,
        "cold samples": len(ratios),
    }


async def measure_cold_start(
    options: BenchOptions, variant: Variant
) -> tuple[Rows, Rows]:
    """Starts all servers cold under load; one later becomes cold without announcing it.

    :returns: rows by class, and rows that compare load and capacity.
    """
    deployment = options.deployment
    async with running_deployment(deployment, options.directory, variant) as launch:
        backends = launch.backends_of(deployment.engines.name)
        cold_backend = backends[0]
        rate = PEAK_CHATS_PER_ENGINE * deployment.engines.count / 2
        at_s = 0.6 * options.seconds
        work = send_load(
            launch, seconds=options.seconds, chats_per_s=rate, seed=options.seed
        )
        report, samples, _ = await asyncio.gather(
            work,
            sample_stats(backends, options.seconds + 1.0, 0.04),
            set_fault_later(cold_backend, "go_cold", at_s),
        )
        rows = class_rows(variant.name, launch, report.results)
    before = [
        sample for item in samples.values() for sample in item if sample["at_s"] < at_s
    ]
    silent = load_against_capacity(samples[cold_backend.server.name], at_s)
    loads = [
        {"variant": variant.name, "case": "all cold", **load_against_capacity(before)},
        {"variant": variant.name, "case": "one silently cold", **silent},
    ]
    return rows, loads


async def set_fault_later(backend: Backend, kind: str, at_s: float) -> None:
    """Sets a fault after a delay in seconds."""
    await asyncio.sleep(at_s)
    await set_fault(backend, kind)


async def run_cold(options: BenchOptions) -> dict[str, Rows]:
    """Compares the designed variant with one without a gradual return of cold servers."""
    tables: dict[str, Rows] = {"cold-classes": [], "cold-load": []}
    for variant in options.select_variants(no_gradual_return(options.deployment)):
        classes, loads = await measure_cold_start(options, variant)
        tables["cold-classes"] += classes
        tables["cold-load"] += loads
    return tables


async def run_cost(options: BenchOptions) -> dict[str, Rows]:
    """Compares calls through the router with direct calls to the engine."""
    return await measure_cost(options.deployment, options.directory)


SCENARIOS: dict[str, Callable[[BenchOptions], Awaitable[dict[str, Rows]]]] = {
    "zone": run_zone,
    "surge": run_surge,
    "cold": run_cold,
    "cost": run_cost,
}
DEFAULT_SECONDS = {"zone": 10.0, "surge": 8.0, "cold": 10.0, "cost": 0.0}


def print_table(name: str, rows: Rows) -> None:
    """Prints rows with aligned columns."""
    columns = list(rows[0])
    cells = [columns, *([str(row.get(c, "")) for c in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    print(f"\n{name}")
    for line in cells:
        pairs = zip(line, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in pairs).rstrip())


def write_csv(directory: Path, name: str, rows: Rows) -> None:
    """Writes one table as CSV."""
    directory.mkdir(parents=True, exist_ok=True)
    with (directory / f"{name}.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


async def _main(arguments: argparse.Namespace) -> int:
    cancel_on_sigterm()
    scenario = arguments.scenario
    deployment = DEPLOYMENTS[arguments.deployment]
    seconds = arguments.seconds or DEFAULT_SECONDS[scenario]
    print(f"{scenario} {deployment.name} seed {arguments.seed}", flush=True)
    with tempfile.TemporaryDirectory(prefix="heatherswitch-") as directory:
        path = Path(arguments.run_directory or directory)
        options = BenchOptions(
            deployment, path, seconds, arguments.seed, arguments.baselines
        )
        try:
            tables = await SCENARIOS[scenario](options)
        except LaunchError as error:
            print(f"bench_service: {error}", file=sys.stderr)
            return 1
    for name, rows in tables.items():
        print_table(name, rows)
        if arguments.out:
            write_csv(Path(arguments.out), f"{name}-{deployment.name}", rows)
    return 0


def main() -> int:
    """Runs one scenario and returns the exit code."""
    parser = argparse.ArgumentParser(prog="bench_service", description=__doc__)
    parser.add_argument("--scenario", choices=SCENARIOS, required=True)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--seconds", type=float, default=0.0, help="length of the load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", help="directory for CSV files")
    parser.add_argument(
        "--no-baselines",
        dest="baselines",
        action="store_false",
        help="skip the baselines",
    )
    parser.add_argument("--run-directory", help="directory for logs and histories")
    arguments = parser.parse_args()
    configure_logs("bench_service", "bench", "warning")
    try:
        return asyncio.run(_main(arguments))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED_EXIT_CODE


if __name__ == "__main__":
    raise SystemExit(main())
