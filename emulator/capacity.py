"""Measures the resource cost of the control plane.

Run it with ``python -m emulator.capacity <part>``. ``docs/CAPACITY.md`` extrapolates the
costs per unit that it prints. It imports modules of the product, because it measures the
product's own classes and messages.
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
from emulator.capacity_probe import PeerClient, cpu_s, rss_mb
from emulator.processes import ManagedProcess

# Seconds over which idle CPU is measured.
IDLE_S = 4.0
# Exchanges without changes in one measurement.
EXCHANGES = 1000
# Seconds between SIGTERM and SIGKILL.
STOP_S = 5.0
ROUTER = "heatherswitch.ui.router"
AGENT = "heatherswitch.ui.agent"
OPERATOR = "heatherswitch.ui.operator"
_ROUTER_FLAGS = ["--listen", "127.0.0.1:0", "--drain-delay-s", "0"]
_AGENT_FLAGS = ["--service", "model-0", "--version", "v1", "--backend", "127.0.0.1:9"]


def print_measurement(name: str, **figures: object) -> None:
    """Prints one measurement as a line of JSON, with floats rounded to three decimals."""
    rounded = {
        k: round(v, 3) if isinstance(v, float) else v for k, v in figures.items()
    }
    print(json.dumps({"measurement": name, **rounded}), flush=True)


@asynccontextmanager
async def running_daemon(
    module: str, flags: list[str]
) -> AsyncIterator[ManagedProcess]:
    """Runs a daemon in a process of its own and stops it on exit."""
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
    """Measures the startup time of the programs, and idle memory and CPU of the daemons."""
    started = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", OPERATOR, "--help", stdout=asyncio.subprocess.DEVNULL
    )
    await process.wait()
    print_measurement(
        "startup", program="heatherswitch", seconds=time.monotonic() - started
    )
    for module, flags in ((ROUTER, _ROUTER_FLAGS), (AGENT, _AGENT_FLAGS)):
        started = time.monotonic()
        async with running_daemon(module, flags) as daemon:
            seconds = time.monotonic() - started
            await asyncio.sleep(1.0)
            cpu_before_s = cpu_s(daemon.pid)
            await asyncio.sleep(IDLE_S)
            print_measurement(
                "startup",
                program=module,
                seconds=seconds,
                rss_mb=rss_mb(daemon.pid),
                idle_cpu_percent=(cpu_s(daemon.pid) - cpu_before_s) / IDLE_S * 100,
            )


async def measure_members(options: argparse.Namespace) -> None:
    """Measures the cost of a router by the number of members that it knows."""
    for size in options.sizes or (10, 100, 1000):
        async with running_daemon(ROUTER, _ROUTER_FLAGS) as daemon:
            empty_mb = rss_mb(daemon.pid)
            peer = PeerClient(daemon.addresses["peer"], daemon.pid)
            records = await peer.register_members(size)
            cpu_before_s = cpu_s(daemon.pid)
            await asyncio.sleep(IDLE_S)
            idle_percent = (cpu_s(daemon.pid) - cpu_before_s) / IDLE_S * 100
            cost = await peer.measure_exchanges(records, EXCHANGES)
            print_measurement(
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
            await peer.close()


async def measure_settings(options: argparse.Namespace) -> None:
    """Measures memory, CPU and longest response time of a router that receives settings."""
    async with running_daemon(ROUTER, _ROUTER_FLAGS) as daemon:
        peer = PeerClient(daemon.addresses["peer"], daemon.pid)
        await peer.register_members(1)
        known = 0
        for size in options.sizes or (1000, 7000, 28000):
            cpu_before_s = cpu_s(daemon.pid)
            longest = await peer.send_settings(known, size)
            print_measurement(
                "settings",
                nodes=size,
                cpu_ms_per_node=(cpu_s(daemon.pid) - cpu_before_s)
                / (size - known)
                * 1000,
                longest_wait_ms=longest * 1000,
                rss_mb=rss_mb(daemon.pid),
            )
            known = size
        await peer.close()


async def run_fleet(options: argparse.Namespace) -> None:
    """Measures the cost per member of a fleet, and the propagation time of changes."""
    fleet = FleetOptions(
        routers=options.routers,
        agents=options.agents,
        pools=options.pools,
        seconds=options.seconds,
        changes=options.changes,
    )
    random.seed(options.seed)
    print_measurement("fleet", **await measure_fleet(fleet))


async def run_claims(options: argparse.Namespace) -> None:
    """Measures claims and store writes of saturated claim partitions."""
    for partitions in options.sizes or (1, 8):
        print_measurement(
            "claims", **await measure_claims(partitions, 8, options.seconds)
        )


PARTS = {
    "startup": measure_startup,
    "members": measure_members,
    "settings": measure_settings,
    "fleet": run_fleet,
    "claims": run_claims,
}


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Parses the command line.

    :raises SystemExit: if an argument is invalid.
    """
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
    """Runs the chosen part of the measurements, or all."""
    options = parse(arguments)
    parts = PARTS if options.part == "all" else [options.part]
    for part in parts:
        await PARTS[part](options)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
