"""Demonstrates that a deployment serves through a router crash and a zone move.

``python -m emulator.demo`` starts Leafline, sends chats of several turns and
settlements, kills a router, takes a zone out and back, and checks the results against
the histories of the stand-ins. The exit code is 0, or 1 after any problem.
"""

import argparse
import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from emulator.audit import (
    ZoneAudit,
    ZoneMove,
    audit_executions,
    audit_zone,
    execution_counts,
    read_events,
)
from emulator.caller import Caller
from emulator.deployments import DEPLOYMENTS
from emulator.launch import LaunchConfig, Launcher
from emulator.load import (
    LoadGenerator,
    LoadReport,
    action_class,
    class_deadlines,
    workload_for,
)
from emulator.processes import LaunchError
from emulator.standin import INTERRUPTED_EXIT_CODE, HistoryFile, cancel_on_sigterm
from heatherswitch.util.clock import Clock
from heatherswitch.util.logs import configure_logs

# Time after an order to take a zone out from which the zone gets no new requests, in
# seconds (invariant P3).
ZONE_OUT_BOUND_S = 3.0
# Smallest share of calls that must succeed, perhaps after retries of the caller.
MIN_ANSWERED_SHARE = 0.99
# Deadline of each zone move, in seconds.
MOVE_DEADLINE_S = 60.0
MOVE_POLL_PERIOD_S = 0.2
# Longest wait for a move out of a zone before the zone is ordered back, in seconds.
ZONE_OUT_WAIT_S = 15.0
# The summary only counts further problems.
MAX_PRINTED_PROBLEMS = 5


@dataclass(frozen=True, slots=True)
class DemoConfig:
    """Settings of the demo.

    :param seconds: duration of the load.
    :param kill_router_at_s: when a router is killed, in seconds from the start of the
        load.
    :param zone_out_at_s: when a zone is ordered out, counted in the same way.
    :param zone_back_at_s: when the zone is ordered back, counted in the same way.
    """

    launch: LaunchConfig = field(default_factory=LaunchConfig)
    seconds: float = 30.0
    chats_per_s: float = 3.0
    actions_per_s: float = 5.0
    kill_router_at_s: float = 6.0
    zone_out_at_s: float = 10.0
    zone_back_at_s: float = 16.0
    seed: int = 1


class Demo:
    """One run of the demo and its results."""

    __slots__ = ("_clock", "_config", "_launcher", "_moves", "_problems", "_report")

    def __init__(self, config: DemoConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._launcher = Launcher.from_config(config.launch)
        self._report: LoadReport | None = None
        self._moves: list[ZoneMove] = []
        self._problems: list[str] = []

    @property
    def problems(self) -> list[str]:
        """Descriptions of all failed checks; empty if the run succeeded."""
        return self._problems

    @property
    def zone(self) -> str:
        """The zone to take out: the last one, in which no router runs."""
        return self._launcher.deployment.zones[-1]

    async def run(self) -> bool:
        """Runs the demo and prints a summary.

        :returns: True if all checks passed.
        :raises LaunchError: if the deployment does not start or rejects an order.
        """
        deployment = self._launcher.deployment
        started = time.monotonic()
        print(f"starting {deployment.name} ...", flush=True)
        await self._launcher.start()
        try:
            print(f"serving after {time.monotonic() - started:.1f} s", flush=True)
            await self._send_load()
            counts = await execution_counts(self._launcher)
            self._check_processes()
        finally:
            killed = await self._launcher.stop()
        self._problems += [f"{name} did not stop after SIGTERM" for name in killed]
        self._check_results()
        self._problems += audit_executions(self._report, counts)
        self._print_summary(counts)
        return not self._problems

    async def _send_load(self) -> None:
        config, deployment = self._config, self._launcher.deployment
        endpoints = self._launcher.endpoints()
        addresses = [router["caller"] for router in endpoints["routers"]]
        history = HistoryFile(self._launcher.run_directory / "callers.jsonl")
        caller = Caller(addresses, endpoints["keys"], history)
        workload = workload_for(
            deployment,
            seconds=config.seconds,
            chats_per_s=config.chats_per_s,
            actions_per_s=config.actions_per_s,
            seed=config.seed,
        )
        deadlines = class_deadlines(deployment)
        name = action_class(deployment)
        generator = LoadGenerator(caller, workload, deadlines, name)
        self._report = generator.report
        load = asyncio.create_task(generator.run())
        try:
            await asyncio.gather(load, self._inject_disruptions())
        finally:
            load.cancel()
            caller.close()

    async def _inject_disruptions(self) -> None:
        """Kills a router and moves a zone while the load runs."""
        config, loop = self._config, asyncio.get_running_loop()
        started = loop.time()

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(max(0.0, started + at_s - loop.time()))

        await wait_until(config.kill_router_at_s)
        router = self._launcher.routers[0]
        await router.kill()
        print(f"killed router {router.name} (SIGKILL)", flush=True)
        await wait_until(config.zone_out_at_s)
        await self._move_zone(out=True, wait_s=ZONE_OUT_WAIT_S)
        await wait_until(config.zone_back_at_s)
        remaining_s = started + config.seconds - loop.time()
        await self._move_zone(out=False, wait_s=remaining_s)

    async def _move_zone(self, out: bool, wait_s: float) -> None:
        """Orders a zone out or back and waits up to ``wait_s`` seconds for the move.

        :raises LaunchError: if the order is rejected.
        """
        action = "out" if out else "back"
        ordered = self._clock.now()
        status, response = await self._launcher.operator_request(
            "POST", f"/v1/zones/{self.zone}/{action}", {"deadline_s": MOVE_DEADLINE_S}
        )
        if status >= 300:
            raise LaunchError(
                f"order of zone {action} was rejected with status {status}: {response}"
            )
        accepted = self._clock.now()
        state = await self._follow_move(response.get("move"), accepted + wait_s)
        decided_s = self._clock.now() - accepted
        move = ZoneMove(self.zone, out, ordered, accepted, state, decided_s)
        self._moves.append(move)
        print(move, flush=True)
        if state not in ("", "done") and (out or state != "running"):
            self._problems.append(f"zone move did not finish: {move}")

    async def _follow_move(self, move_id: str | None, deadline: float) -> str:
        """Polls a move until it is no longer running or the deadline is reached.

        :param move_id: id of the move, or None if the order started none.
        :returns: last known state; empty without a move.
        """
        state = "running" if move_id else ""
        while state == "running" and self._clock.now() < deadline:
            await asyncio.sleep(MOVE_POLL_PERIOD_S)
            status, move = await self._launcher.operator_request(
                "GET", f"/v1/moves/{move_id}"
            )
            if status == 200:
                state = move["effective_state"]
        return state

    def _check_processes(self) -> None:
        backends = self._launcher.backends
        expected = [*self._launcher.routers[1:], self._launcher.store]
        expected += [item.server for item in backends]
        expected += [item.agent for item in backends]
        for process in expected:
            if not process.alive:
                self._problems.append(f"{process.name} exited; see {process.log_path}")

    def _check_results(self) -> None:
        report = self._report
        for call, result in report.with_outcome("wrong"):
            self._problems.append(
                f"wrong response to {call.request_id}: {result.problem}"
            )
        answered = len(report.with_outcome("answered"))
        if answered < MIN_ANSWERED_SHARE * len(report.results):
            self._problems.append(
                f"only {answered} of {len(report.results)} calls succeeded"
            )

    def _audit_zone(self) -> ZoneAudit:
        backends = self._launcher.backends_of(zone=self.zone)
        events = read_events(item.history for item in backends)
        audit = audit_zone(events, *self._moves, ZONE_OUT_BOUND_S)
        if audit.late_starts:
            self._problems.append(
                f"zone {self.zone} got {audit.late_starts} new requests more than "
                f"{ZONE_OUT_BOUND_S:.0f} s after the order to take it out"
            )
        if audit.resumed_s is None:
            self._problems.append(f"zone {self.zone} got no requests after its return")
        return audit

    def _print_summary(self, counts) -> None:
        report, audit = self._report, self._audit_zone()
        keyed_calls = [item for item in report.results if item[0].key]
        executed_once = sum(1 for call, _ in keyed_calls if counts[call.key] == 1)
        repeated = sum(1 for _, result in keyed_calls if result.attempts > 1)
        replayed = sum(1 for _, result in keyed_calls if result.replayed)
        return_text = "never" if audit.resumed_s is None else f"{audit.resumed_s:.3f} s"
        print("", *report.lines(), "", sep="\n")
        print(f"cache reuse: {report.cache_reuse:.3f} of the prompt tokens")
        print(
            f"non-idempotent requests: {len(keyed_calls)}, executed once: {executed_once}, "
            f"retried by callers: {repeated}, replayed from a record: {replayed}"
        )
        print(
            f"zone {self.zone}: last new request {audit.last_start_s:.3f} s after the order, "
            f"{audit.interrupted} requests interrupted, "
            f"first new request {return_text} after the return"
        )
        for problem in self._problems[:MAX_PRINTED_PROBLEMS]:
            print(f"FAILED: {problem}")
        omitted = len(self._problems) - MAX_PRINTED_PROBLEMS
        if omitted > 0:
            print(f"FAILED: {omitted} more")


async def _main(options: argparse.Namespace) -> int:
    cancel_on_sigterm()
    deployment = DEPLOYMENTS[options.deployment]
    launch = LaunchConfig(deployment, Path(options.run_directory))
    demo = Demo(DemoConfig(launch, seed=options.seed))
    try:
        return 0 if await demo.run() else 1
    except LaunchError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1


def main() -> int:
    """Runs the demo and returns its exit code."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="leafline")
    parser.add_argument("--run-directory", default=".run")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    configure_logs("demo", options.deployment, "warning")
    try:
        return asyncio.run(_main(options))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return INTERRUPTED_EXIT_CODE


if __name__ == "__main__":
    raise SystemExit(main())
