"""Soak test: runs a deployment under random operations and faults, then checks it.

``python -m emulator.soak --seed 1 --minutes 5`` exits with 0 only if the histories show
no violation of P1 to P11. The seed determines which operations and faults are drawn, but
not the timing of the processes.
"""

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from emulator.deployments import DEPLOYMENTS
from emulator.injection import INJECTIONS
from emulator.launch import LaunchConfig
from emulator.processes import LaunchError
from emulator.standin import INTERRUPTED_EXIT_CODE, cancel_on_sigterm
from emulator.trial import Trial
from heatherswitch.util.logs import configure_logs

# Time that the deployment gets to recover after the last fault, in seconds.
RECOVERY_S = 12.0
# Deadline of zone moves, in seconds.
MOVE_DEADLINE_S = 20.0
# Share of the settlements that are repeated after their response, and, drawn separately,
# of those that are sent twice at the same time.
REPEAT_SHARE = 0.3
MAX_PRINTED_VIOLATIONS = 20


@dataclass(frozen=True, slots=True)
class SoakConfig:
    """Settings of a soak. Rates are per second, and times are random with that mean.

    :param commands_per_s: operator commands.
    :param mean_fault_pause_s: mean pause before each fault of a schedule, in seconds.
    :param faults: keys of :data:`~emulator.injection.INJECTIONS` to draw from.
    """

    launch: LaunchConfig
    seed: int = 1
    minutes: float = 2.0
    chats_per_s: float = 6.0
    settlements_per_s: float = 4.0
    commands_per_s: float = 0.3
    mean_fault_pause_s: float = 2.0
    faults: tuple[str, ...] = tuple(INJECTIONS)


class Soak:
    """One soak run with its callers, operator commands and fault schedules."""

    __slots__ = ("_calls", "_config", "_ends_at", "_trial", "_workspaces")

    def __init__(self, config: SoakConfig) -> None:
        self._config = config
        self._trial = Trial.from_config(config.launch)
        self._workspaces = list(config.launch.deployment.workspace_shares())
        self._calls: set[asyncio.Task] = set()
        self._ends_at = 0.0

    async def run(self) -> bool:
        """Runs the deployment, then prints the counts and the violations found.

        :returns: True if no violation was found.
        :raises LaunchError: if a process does not start.
        """
        config, trial = self._config, self._trial
        await trial.start()
        try:
            self._ends_at = time.monotonic() + 60 * config.minutes
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._run_at_rate("chats", config.chats_per_s, self._chat)
                )
                rate = config.settlements_per_s
                group.create_task(self._run_at_rate("settle", rate, self._settle))
                rate = config.commands_per_s
                group.create_task(self._run_at_rate("orders", rate, self._send_command))
                # Two schedules, so that two faults can be in force at the same time.
                group.create_task(self._inject_faults("first"))
                group.create_task(self._inject_faults("second"))
            await asyncio.sleep(RECOVERY_S)
            await asyncio.gather(*self._calls)
        finally:
            for task in self._calls:
                task.cancel()
            await trial.stop()
        return self._report_violations()

    def _random_stream(self, name: str) -> random.Random:
        return random.Random(f"{self._config.seed}/{name}")

    async def _run_at_rate(self, name: str, rate: float, operation) -> None:
        rng, number = self._random_stream(name), 0
        while time.monotonic() < self._ends_at:
            number += 1
            task = asyncio.create_task(operation(rng, number))
            self._calls.add(task)
            task.add_done_callback(self._discard_succeeded)
            await asyncio.sleep(rng.expovariate(rate))

    def _discard_succeeded(self, task: asyncio.Task) -> None:
        """Forgets a task that succeeded; ``run`` raises the errors of the others."""
        if not task.cancelled() and task.exception() is None:
            self._calls.discard(task)

    async def _chat(self, rng: random.Random, number: int) -> None:
        chat = rng.randrange(40)
        words = " ".join(f"w{chat}-{i}" for i in range(rng.randint(20, 120)))
        workspace = rng.choice(self._workspaces)
        stream = rng.random() < 0.5
        tokens = rng.randint(8, 64)
        call = self._trial.chat(f"{words} q{number}", workspace, tokens, stream)
        await self._trial.call(call)

    async def _settle(self, rng: random.Random, number: int) -> None:
        key, workspace = f"key-{number}", rng.choice(self._workspaces)
        repeat, pause = rng.random() < REPEAT_SHARE, rng.uniform(0.0, 5.0)
        if rng.random() < REPEAT_SHARE:
            # Sends the same request through two routers at the same time.
            calls = [self._trial.settlement(key, workspace) for _ in range(2)]
            await asyncio.gather(*(self._trial.call(call) for call in calls))
        else:
            await self._trial.call(self._trial.settlement(key, workspace))
        if repeat:
            await asyncio.sleep(pause)
            await self._trial.call(self._trial.settlement(key, workspace))

    async def _send_command(self, rng: random.Random, number: int) -> None:
        zone = rng.choice(self._config.launch.deployment.zones)
        if rng.random() < 0.6:
            await self._trial.set_marker()
        elif await self._trial.move_zone(zone, True, MOVE_DEADLINE_S):
            await asyncio.sleep(rng.uniform(4.0, 10.0))
            while not await self._trial.move_zone(zone, False, MOVE_DEADLINE_S):
                await asyncio.sleep(1.0)

    async def _inject_faults(self, name: str) -> None:
        rng = self._random_stream(f"faults/{name}")
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(rng.expovariate(1 / self._config.mean_fault_pause_s))
            kind = rng.choice(self._config.faults)
            print(f"{name}: {kind}", flush=True)
            await INJECTIONS[kind](self._trial, rng)

    def _report_violations(self) -> bool:
        for name, count in sorted(self._trial.counts.items()):
            print(f"{count:6d} {name}")
        violations = self._trial.find_violations()
        for violation in violations[:MAX_PRINTED_VIOLATIONS]:
            print(violation)
        print(f"{len(violations)} violations with seed {self._config.seed}")
        return not violations


async def _main(options: argparse.Namespace) -> int:
    cancel_on_sigterm()
    deployment = DEPLOYMENTS[options.deployment]
    launch = LaunchConfig(deployment, Path(options.run_directory), proxied=True)
    faults = tuple(options.faults.split(",")) if options.faults else tuple(INJECTIONS)
    config = SoakConfig(launch, options.seed, options.minutes, faults=faults)
    try:
        return 0 if await Soak(config).run() else 1
    except* LaunchError as errors:
        for error in errors.exceptions:
            print(f"soak: launch failed: {error}", file=sys.stderr)
    return 1


def main() -> int:
    """Runs a soak with the options of the command line and returns its exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--run-directory", default=".run-soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--faults", help=f"comma separated: {', '.join(INJECTIONS)}")
    options = parser.parse_args()
    unknown = set((options.faults or "").split(",")) - {""} - set(INJECTIONS)
    if unknown:
        parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    configure_logs("soak", options.deployment, "warning")
    try:
        return asyncio.run(_main(options))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED_EXIT_CODE


if __name__ == "__main__":
    raise SystemExit(main())
