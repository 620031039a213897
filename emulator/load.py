"""Load generator: sends a generated workload to the routers and reports the results.

Run it against a deployment started by ``python -m emulator.up``:
``python -m emulator.load --seconds 30 --chats-per-s 4``.
"""

import argparse
import asyncio
import json
from collections import Counter
from dataclasses import replace
from pathlib import Path

from hdrh.histogram import HdrHistogram

from emulator.caller import CHAT_PATH, Call, Caller, CallResult
from emulator.deployments import DEPLOYMENTS, Deployment
from emulator.standin import HistoryFile
from emulator.workload import (
    ActionPlan,
    ChatPlan,
    WorkloadConfig,
    action_plans,
    chat_plans,
)
from heatherswitch.util.logs import configure_logs

# Histograms record microseconds up to ten minutes with three significant digits.
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
LATENCY_METRICS = ("first token", "token gap", "whole answer")


class ClassReport:
    """Counts and latencies of one request class.

    ``counts`` holds calls by outcome, and ``calls``, ``repeats`` and ``in_time``.
    """

    __slots__ = (
        "_deadline_s",
        "cached_tokens",
        "counts",
        "histograms",
        "prompt_tokens",
    )

    def __init__(self, deadline_s: float) -> None:
        self._deadline_s = deadline_s
        self.counts: Counter[str] = Counter()
        self.histograms = {
            m: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            for m in LATENCY_METRICS
        }
        self.prompt_tokens = 0
        self.cached_tokens = 0

    def add(self, result: CallResult) -> None:
        """Adds the result of one call; latencies are recorded only for answered calls."""
        self.counts["calls"] += 1
        self.counts[result.outcome] += 1
        self.counts["repeats"] += result.attempts - 1
        if result.outcome != "answered":
            return
        self.counts["in_time"] += result.total_s <= self._deadline_s
        self._record_latency("first token", result.first_token_s)
        self._record_latency("whole answer", result.total_s)
        for gap in result.token_gaps_s:
            self._record_latency("token gap", gap)
        self.prompt_tokens += result.prompt_tokens
        self.cached_tokens += result.cached_tokens

    def quantile_s(self, metric: str, percent: float) -> float:
        """Returns a percentile of a latency in seconds, or 0 if none was recorded.

        :param metric: one of :data:`LATENCY_METRICS`.
        :param percent: between 0 and 100.
        """
        return self.histograms[metric].get_value_at_percentile(percent) / 1e6

    def _record_latency(self, metric: str, seconds: float) -> None:
        self.histograms[metric].record_value(
            min(MAX_LATENCY_US, max(1, int(seconds * 1e6)))
        )


class LoadReport:
    """Results of all calls, summarized by request class."""

    __slots__ = ("_deadlines", "classes", "results")

    def __init__(self, deadlines: dict[str, float]) -> None:
        """:param deadlines: deadline in seconds by class; other classes have none."""
        self._deadlines = deadlines
        self.classes: dict[str, ClassReport] = {}
        self.results: list[tuple[Call, CallResult]] = []

    @property
    def cache_reuse(self) -> float:
        """Share of the prompt tokens that were served from cache."""
        total = sum(item.prompt_tokens for item in self.classes.values())
        cached = sum(item.cached_tokens for item in self.classes.values())
        return cached / total if total else 0.0

    def add(self, call: Call, result: CallResult) -> None:
        """Adds the result of one call to the report of its class."""
        name = call.request_class
        if name not in self.classes:
            deadline = self._deadlines.get(name, float("inf"))
            self.classes[name] = ClassReport(deadline)
        self.classes[name].add(result)
        self.results.append((call, result))

    def with_outcome(self, outcome: str) -> list[tuple[Call, CallResult]]:
        """Returns the calls with an outcome, in the order in which they ended.

        :param outcome: one of :data:`emulator.caller.OUTCOMES`.
        """
        return [item for item in self.results if item[1].outcome == outcome]

    def lines(self) -> list[str]:
        """Returns the lines of a table with one row per class."""
        lines = [
            f"{'class':<12}{'calls':>7}{'answered':>9}{'in time':>8}{'refused':>8}"
            f"{'none':>6}{'wrong':>6}{'repeats':>8}"
            f"{'first p50':>11}{'p95':>8}{'gap p95':>9}{'whole p95':>10}"
        ]
        for name, report in sorted(self.classes.items()):
            counts = report.counts
            first = (
                report.quantile_s("first token", 50),
                report.quantile_s("first token", 95),
            )
            lines.append(
                f"{name:<12}{counts['calls']:>7}{counts['answered']:>9}"
                f"{counts['in_time']:>8}{counts['refused']:>8}"
                f"{counts['no_answer']:>6}{counts['wrong']:>6}{counts['repeats']:>8}"
                f"{first[0]:>10.3f}s{first[1]:>7.3f}s"
                f"{report.quantile_s('token gap', 95):>8.3f}s"
                f"{report.quantile_s('whole answer', 95):>9.3f}s"
            )
        return lines


class LoadGenerator:
    """Runs an open-loop workload: arrivals do not wait for earlier responses."""

    __slots__ = ("_action_class", "_caller", "_config", "_report", "_tasks")

    def __init__(
        self,
        caller: Caller,
        config: WorkloadConfig,
        deadlines: dict[str, float],
        action_class: str = "settlement",
    ) -> None:
        self._caller = caller
        self._config = config
        self._report = LoadReport(deadlines)
        self._action_class = action_class
        self._tasks: set[asyncio.Task] = set()

    @property
    def report(self) -> LoadReport:
        """Results of the calls that have ended so far."""
        return self._report

    async def run(self) -> LoadReport:
        """Sends the whole workload and returns when every call has ended."""
        loop = asyncio.get_running_loop()
        plans = [*chat_plans(self._config), *action_plans(self._config)]
        started = loop.time()
        try:
            for plan in sorted(plans, key=lambda item: item.at_s):
                await asyncio.sleep(max(0.0, started + plan.at_s - loop.time()))
                run_plan = (
                    self._run_action if isinstance(plan, ActionPlan) else self._run_chat
                )
                self._tasks.add(asyncio.create_task(run_plan(plan)))
            await asyncio.gather(*self._tasks)
        finally:
            for task in self._tasks:
                task.cancel()
        return self._report

    async def _run_chat(self, plan: ChatPlan) -> None:
        messages = [{"role": "system", "content": plan.system_prompt}]
        for number, turn in enumerate(plan.turns):
            await asyncio.sleep(turn.pause_s)
            messages.append({"role": "user", "content": turn.text})
            call = Call(
                request_id=f"{plan.chat_id}-{number}",
                workspace=plan.workspace,
                request_class=plan.request_class,
                path=CHAT_PATH,
                body={
                    "model": self._config.model,
                    "messages": list(messages),
                    "max_tokens": turn.max_tokens,
                    "stream": True,
                    "stream_options": {"include_usage": True},
                },
                chat_id=plan.chat_id,
            )
            result = await self._caller.call(call)
            self._report.add(call, result)
            if result.outcome != "answered":
                # The next turn would need the missing response as its context.
                return
            messages.append({"role": "assistant", "content": result.text})

    async def _run_action(self, plan: ActionPlan) -> None:
        call = Call(
            request_id=f"act-{plan.key}",
            workspace=plan.workspace,
            request_class=self._action_class,
            path=plan.path,
            body={"amount": plan.amount, "reference": plan.key},
            key=plan.key,
        )
        self._report.add(call, await self._caller.call(call))


def class_deadlines(deployment: Deployment) -> dict[str, float]:
    """Returns the deadlines of the example settings, in seconds by request class."""
    deadlines: dict[str, float] = {}
    for service in deployment.services:
        classes = deployment.settings_by_node()[f"/service={service.name}"]["classes"]
        deadlines.update({name: c["deadline_s"] for name, c in classes.items()})
    return deadlines


def workload_for(deployment: Deployment, **values) -> WorkloadConfig:
    """Returns a workload for the services and workspaces of a deployment.

    :param values: fields of :class:`WorkloadConfig` that replace the defaults.
    """
    nodes, plain = deployment.settings_by_node(), deployment.plain.name
    # More urgent classes, with lower priority numbers, get more of the chats.
    classes = nodes[f"/service={deployment.engines.name}"]["classes"]
    weights = {name: 1 / (2 + value["priority"]) for name, value in classes.items()}
    routes = nodes[f"/service={plain}"]["routes"]
    paths = tuple(f"/{plain}{r['path']}" for r in routes if not r["idempotent"])
    config = WorkloadConfig(
        workspaces=deployment.workspace_shares(),
        classes=weights,
        model=deployment.engines.name,
        action_paths=paths,
    )
    return replace(config, **values)


def action_class(deployment: Deployment) -> str:
    """Returns the request class of the non-idempotent routes."""
    routes = deployment.settings_by_node()[f"/service={deployment.plain.name}"][
        "routes"
    ]
    return next(route["class"] for route in routes if not route["idempotent"])


async def _main(options: argparse.Namespace) -> int:
    endpoints = json.loads(Path(options.endpoints).read_text())
    deployment = DEPLOYMENTS[endpoints["deployment"]]
    addresses = [router["caller"] for router in endpoints["routers"]]
    caller = Caller(addresses, endpoints["keys"], HistoryFile(options.history))
    config = workload_for(
        deployment,
        seconds=options.seconds,
        chats_per_s=options.chats_per_s,
        actions_per_s=options.actions_per_s,
        surge_workspace=options.surge_workspace,
        surge_factor=options.surge_factor,
        surge_start_s=options.seconds / 3,
        surge_end_s=options.seconds * 2 / 3,
        seed=options.seed,
    )
    deadlines = class_deadlines(deployment)
    generator = LoadGenerator(caller, config, deadlines, action_class(deployment))
    report = await generator.run()
    caller.close()
    print("\n".join(report.lines()))
    print(f"cache reuse: {report.cache_reuse:.3f} of the prompt tokens")
    return 1 if report.with_outcome("wrong") else 0


def main() -> int:
    """Runs the load generator and returns 1 if any response was wrong."""
    parser = argparse.ArgumentParser(prog="load", description=__doc__)
    parser.add_argument("--endpoints", default=".run/endpoints.json")
    parser.add_argument("--history", help="file for events, as JSON lines")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--chats-per-s", type=float, default=4.0)
    parser.add_argument("--actions-per-s", type=float, default=4.0)
    parser.add_argument(
        "--surge-workspace",
        default="",
        help="gets a surge in the middle third of the run",
    )
    parser.add_argument("--surge-factor", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    configure_logs("load", "load", "warning")
    return asyncio.run(_main(options))


if __name__ == "__main__":
    raise SystemExit(main())
