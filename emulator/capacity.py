"""Measures the cost of control: ``python -m emulator.capacity <part>``.

``docs/CAPACITY.md`` extrapolates the slopes that this tool prints. It imports the
product, because it measures the product's own classes and messages.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from emulator.capacity_claims import measure_claims
from emulator.capacity_fleet import FleetOptions, measure_fleet
from emulator.capacity_probe import Feeder, cpu_s, rss_mb
from emulator.processes import ManagedProcess

# Seconds over which idle CPU is measured.
IDLE_S = 4.0
# Idle exchanges of one measurement.
EXCHANGES = 1000
STOP_S = 5.0
ROUTER = "heatherswitch.ui.router"
AGENT = "heatherswitch.ui.agent"
OPERATOR = "heatherswitch.ui.operator"
_ROUTER_FLAGS = ["--listen", "127.0.0.1:0", "--drain-delay-s", "0"]
_AGENT_FLAGS = ["--service", "model-0", "--version", "v1", "--backend", "127.0.0.1:9"]


def report(name: str, **figures: object) -> None:
    """Prints one line of results."""
    rounded = {
        k: round(v, 3) if isinstance(v, float) else v for k, v in figures.items()
    }
    print(json.dumps({"measurement": name, **rounded}), flush=True)


@asynccontextmanager
async def running(module: str, flags: list[str]) -> AsyncIterator[ManagedProcess]:
    """Runs one daemon as a process of its own."""
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["--id", "measured", "--zone", "zone-0", *flags]
        process = ManagedProcess("measured", module, arguments, Path(directory))
        process.start()
        try:
            await process.wait_ready()
            yield process
        finally:
            await process.stop(STOP_S)


async def measure_startup(options: argparse.Namespace) -> None:
    """Time until the listeners are open, and memory and CPU when idle."""
    started = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", OPERATOR, "--help", stdout=asyncio.subprocess.DEVNULL
    )
    await process.wait()
    report("startup", program="heatherswitch", seconds=time.monotonic() - started)
    for module, flags in ((ROUTER, _ROUTER_FLAGS), (AGENT, _AGENT_FLAGS)):
        started = time.monotonic()
        async with running(module, flags) as daemon:
            seconds = time.monotonic() - started
            await asyncio.sleep(1.0)
            used = cpu_s(daemon.pid)
            await asyncio.sleep(IDLE_S)
            report(
                "startup",
                program=module,
                seconds=seconds,
                rss_mb=rss_mb(daemon.pid),
                idle_cpu_percent=(cpu_s(daemon.pid) - used) / IDLE_S * 100,
            )


async def measure_members(options: argparse.Namespace) -> None:
    """Slope over the number of members that a real router knows."""
    for size in options.sizes or (10, 100, 1000):
        async with running(ROUTER, _ROUTER_FLAGS) as daemon:
            empty_mb = rss_mb(daemon.pid)
            feeder = Feeder(daemon.addresses["peer"], daemon.pid)
            records = await feeder.feed_members(size)
            used = cpu_s(daemon.pid)
            await asyncio.sleep(IDLE_S)
            idle_percent = (cpu_s(daemon.pid) - used) / IDLE_S * 100
            cost = await feeder.exchanges(records, EXCHANGES)
            report(
                "members",
                members=size,
                idle_cpu_percent=idle_percent,
                cpu_ms_per_answer=cost.cpu_ms,
                request_bytes=cost.request_bytes,
                reply_bytes=cost.reply_bytes,
                slowest_ms=cost.slowest_ms,
                rss_mb=rss_mb(daemon.pid),
                rss_growth_mb=rss_mb(daemon.pid) - empty_mb,
            )
            await feeder.close()


async def measure_settings(options: argparse.Namespace) -> None:
    """Memory, CPU and longest block for settings nodes at a real router."""
    async with running(ROUTER, _ROUTER_FLAGS) as daemon:
        feeder = Feeder(daemon.addresses["peer"], daemon.pid)
        await feeder.feed_members(1)
        known = 0
        for size in options.sizes or (1000, 7000, 28000):
            used = cpu_s(daemon.pid)
            longest = await feeder.feed_settings(known, size)
            report(
                "settings",
                nodes=size,
                cpu_ms_per_node=(cpu_s(daemon.pid) - used) / (size - known) * 1000,
                longest_wait_ms=longest * 1000,
                rss_mb=rss_mb(daemon.pid),
            )
            known = size
        await feeder.close()


async def run_fleet(options: argparse.Namespace) -> None:
    """Cost of each member of a fleet of real nodes, and the spread of a change."""
    fleet = FleetOptions(
        routers=options.routers,
        agents=options.agents,
        pools=options.pools,
        seconds=options.seconds,
        changes=options.changes,
    )
    random.seed(options.seed)
    report("fleet", **await measure_fleet(fleet))


async def run_claims(options: argparse.Namespace) -> None:
    """Store writes of 1 and 8 claim partitions that callers saturate."""
    for partitions in options.sizes or (1, 8):
        report("claims", **await measure_claims(partitions, 8, options.seconds))


PARTS = {
    "startup": measure_startup,
    "members": measure_members,
    "settings": measure_settings,
    "fleet": run_fleet,
    "claims": run_claims,
}


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=[*PARTS, "all"], nargs="?", default="all")
    parser.add_argument("--sizes", type=lambda text: [int(s) for s in text.split(",")])
    parser.add_argument("--routers", type=int, default=20)
    parser.add_argument("--agents", type=int, default=40)
    parser.add_argument("--pools", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


async def main(arguments: Sequence[str]) -> None:
    """Runs one part, or all."""
    options = parse(arguments)
    chosen = PARTS if options.part == "all" else [options.part]
    for part in chosen:
        await PARTS[part](options)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
