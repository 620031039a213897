"""Shows a deployment at work through a router crash and a zone move.

``python -m emulator.demo`` starts Leafline, sends returning chats and settlements,
kills a router, takes a zone out and back, and checks the result against the records
of the stand-ins. It ends with 0, or with 1 and the reasons.
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
from emulator.launch import Launch, LaunchConfig
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

# A zone that is out gets no new work this long after its order (invariant P3).
ZONE_BOUND_S = 3.0
# Share of the calls that must be answered, repeats of the callers included.
ANSWERED_SHARE = 0.99
# Time that the demo gives each zone move, in seconds.
MOVE_DEADLINE_S = 60.0
MOVE_POLL_S = 0.2
# Longest wait for the end of the move out, in seconds, before the return is ordered.
ZONE_OUT_WAIT_S = 15.0
# Reasons printed in full; the rest is only counted.
MAX_PROBLEMS_SHOWN = 5


@dataclass(frozen=True, slots=True)
class DemoConfig:
    """What the demo does. Times are in seconds from the start of the load."""

    launch: LaunchConfig = field(default_factory=LaunchConfig)
    seconds: float = 30.0
    chats_per_s: float = 3.0
    actions_per_s: float = 5.0
    kill_router_at_s: float = 6.0
    zone_out_at_s: float = 10.0
    zone_back_at_s: float = 16.0
    seed: int = 1


class Demo:
    """One run of the demo."""

    __slots__ = ("_clock", "_config", "_launch", "_moves", "_problems", "_report")

    def __init__(self, config: DemoConfig) -> None:
        self._config = config
        self._clock = Clock()
        self._launch = Launch.from_config(config.launch)
        self._report: LoadReport | None = None
        self._moves: list[ZoneMove] = []
        self._problems: list[str] = []

    @property
    def problems(self) -> list[str]:
        """Reasons why the run failed; empty after a good one."""
        return self._problems

    @property
    def zone(self) -> str:
        """The zone that is taken out; no router runs in it."""
        return self._launch.deployment.zones[-1]

    async def run(self) -> bool:
        """Runs the demo and prints its summary; returns True when all is well.

        :raises LaunchError: if the deployment does not start or take an order.
        """
        deployment = self._launch.deployment
        started = time.monotonic()
        print(f"starting {deployment.name} ...", flush=True)
        await self._launch.start()
        try:
            print(f"serving after {time.monotonic() - started:.1f} s", flush=True)
            await self._send_load()
            counts = await execution_counts(self._launch)
            self._check_processes()
        finally:
            late = await self._launch.stop()
        self._problems += [f"{name} ignored SIGTERM" for name in late]
        self._check_answers()
        self._problems += audit_executions(self._report, counts)
        self._summarize(counts)
        return not self._problems

    async def _send_load(self) -> None:
        config, deployment = self._config, self._launch.deployment
        endpoints = self._launch.endpoints()
        addresses = [router["caller"] for router in endpoints["routers"]]
        history = HistoryFile(self._launch.run_directory / "callers.jsonl")
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
            await asyncio.gather(load, self._disturb())
        finally:
            load.cancel()
            caller.close()

    async def _disturb(self) -> None:
        """Kills a router and moves a zone while the load runs."""
        config, loop = self._config, asyncio.get_running_loop()
        started = loop.time()

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(max(0.0, started + at_s - loop.time()))

        await wait_until(config.kill_router_at_s)
        victim = self._launch.routers[0]
        await victim.kill()
        print(f"killed router {victim.name} (SIGKILL)", flush=True)
        await wait_until(config.zone_out_at_s)
        await self._move_zone(out=True, wait_s=ZONE_OUT_WAIT_S)
        await wait_until(config.zone_back_at_s)
        left = started + config.seconds - loop.time()
        await self._move_zone(out=False, wait_s=left)

    async def _move_zone(self, out: bool, wait_s: float) -> None:
        """Orders a zone out or back and follows the move for a while."""
        word = "out" if out else "back"
        ordered = self._clock.now()
        status, answer = await self._launch.operator_request(
            "POST", f"/v1/zones/{self.zone}/{word}", {"deadline_s": MOVE_DEADLINE_S}
        )
        if status >= 300:
            raise LaunchError(f"zone {word} was refused with {status}: {answer}")
        accepted = self._clock.now()
        state = await self._follow_move(answer.get("move"), accepted + wait_s)
        decided_s = self._clock.now() - accepted
        move = ZoneMove(self.zone, out, ordered, accepted, state, decided_s)
        self._moves.append(move)
        print(move, flush=True)
        if state not in ("", "done") and (out or state != "running"):
            self._problems.append(f"the move did not finish: {move}")

    async def _follow_move(self, move_id: str | None, until: float) -> str:
        """Returns the state of a move when it is decided or the time is over."""
        state = "running" if move_id else ""
        while state == "running" and self._clock.now() < until:
            await asyncio.sleep(MOVE_POLL_S)
            status, move = await self._launch.operator_request(
                "GET", f"/v1/moves/{move_id}"
            )
            if status == 200:
                state = move["effective_state"]
        return state

    def _check_processes(self) -> None:
        backends = self._launch.backends
        expected = [*self._launch.routers[1:], self._launch.store]
        expected += [item.server for item in backends]
        expected += [item.agent for item in backends]
        for process in expected:
            if not process.alive:
                self._problems.append(f"{process.name} ended; see {process.log_path}")

    def _check_answers(self) -> None:
        report = self._report
        for call, result in report.with_outcome("wrong"):
            self._problems.append(
                f"wrong answer to {call.request_id}: {result.problem}"
            )
        answered = len(report.with_outcome("answered"))
        if answered < ANSWERED_SHARE * len(report.results):
            self._problems.append(
                f"only {answered} of {len(report.results)} calls were answered"
            )

    def _audit_zone(self) -> ZoneAudit:
        backends = self._launch.backends_of(zone=self.zone)
        events = read_events(item.history for item in backends)
        audit = audit_zone(events, *self._moves, ZONE_BOUND_S)
        if audit.late:
            self._problems.append(
                f"zone {self.zone} got {audit.late} pieces of new work more than "
                f"{ZONE_BOUND_S:.0f} s after its order"
            )
        if audit.return_s is None:
            self._problems.append(f"zone {self.zone} got no work after its return")
        return audit

    def _summarize(self, counts) -> None:
        report, audit = self._report, self._audit_zone()
        calls = [item for item in report.results if item[0].key]
        once = sum(1 for call, _ in calls if counts[call.key] == 1)
        repeated = sum(1 for _, result in calls if result.attempts > 1)
        replayed = sum(1 for _, result in calls if result.replayed)
        back = "never" if audit.return_s is None else f"{audit.return_s:.3f} s"
        print("", *report.lines(), "", sep="\n")
        print(f"cache reuse: {report.cache_reuse:.3f} of the prompt tokens")
        print(
            f"non-idempotent requests: {len(calls)}, executed once: {once}, "
            f"repeated by callers: {repeated}, answered from a record: {replayed}"
        )
        print(
            f"zone {self.zone}: last new work {audit.quiet_s:.3f} s after the order, "
            f"{audit.interrupted} requests interrupted, "
            f"first new work {back} after the return"
        )
        for problem in self._problems[:MAX_PROBLEMS_SHOWN]:
            print(f"FAILED: {problem}")
        hidden = len(self._problems) - MAX_PROBLEMS_SHOWN
        if hidden > 0:
            print(f"FAILED: {hidden} more")


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
