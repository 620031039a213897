"""Measures what the router and the agent add to a call of the stand-in engine."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from emulator.caller import CHAT_PATH, Call, Caller
from emulator.deployments import Deployment
from emulator.launch import Launcher
from emulator.service_runs import Variant, cpu_s, running

# Calls one after the other for the latencies, for each way.
LATENCY_CALLS = 200
# Short calls for the requests per core, and how many run at once.
SHORT_CALLS = 600
# Streams for the tokens per core, and tokens in each.
STREAMS = 48
STREAM_TOKENS = 150
CONCURRENCY = 12
# An engine whose steps cost little, so that the added time is visible.
FAST_ENGINE = ("--warm", "--step-s", "0.002")

Rows = list[dict[str, Any]]


class Way:
    """One way to the engine: directly, or through router and agent."""

    def __init__(self, name: str, address: str, launch: Launcher) -> None:
        self.name = name
        keys = launch.endpoints()["keys"]
        self._caller = Caller([address], keys)
        self._workspace = next(iter(keys))
        self._model = launch.deployment.engines.name
        self._count = 0

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()

    async def call(self, tokens: int) -> float:
        """Makes one streamed call and returns its seconds.

        :raises RuntimeError: if there is no right answer.
        """
        self._count += 1
        text = f"{self.name} {self._count}"
        body = {
            "model": self._model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": True,
        }
        request_id = f"{self.name}-{self._count}"
        call = Call(request_id, self._workspace, "", CHAT_PATH, body)
        started = time.perf_counter()
        result = await self._caller.call(call)
        if result.outcome != "answered":
            raise RuntimeError(f"{request_id}: {result.outcome} {result.problem}")
        return time.perf_counter() - started

    async def many(self, count: int, tokens: int) -> float:
        """Makes calls, some at once, and returns the seconds for all."""
        places = asyncio.Semaphore(CONCURRENCY)

        async def one() -> None:
            async with places:
                await self.call(tokens)

        started = time.perf_counter()
        await asyncio.gather(*(one() for _ in range(count)))
        return time.perf_counter() - started


def percentile(values: list[float], percent: float) -> float:
    """Returns a percentile by rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def latency_rows(direct: Way, routed: Way) -> Rows:
    """Alternates between the two ways, so that both see the same machine."""
    times: dict[str, list[float]] = {direct.name: [], routed.name: []}
    for _ in range(LATENCY_CALLS):
        for way in (direct, routed):
            times[way.name].append(await way.call(1))
    rows = [
        {
            "way": name,
            **{f"p{p} ms": round(percentile(v, p) * 1e3, 3) for p in (50, 95, 99)},
        }
        for name, v in times.items()
    ]
    added = {"way": "added"}
    for column in list(rows[0])[1:]:
        added[column] = round(rows[1][column] - rows[0][column], 3)
    return [*rows, added]


async def throughput_row(
    way: Way, pids: dict[str, int], measure: str, count: int, tokens: int
) -> dict[str, Any]:
    """Relates work to the CPU time of each process."""
    before = {role: cpu_s(pid) for role, pid in pids.items()}
    seconds = await way.many(count, tokens)
    units = count * tokens if measure == "tokens" else count
    row: dict[str, Any] = {"way": way.name, "measure": measure, "work": units}
    row["per s"] = round(units / seconds, 1)
    for role, pid in pids.items():
        used = cpu_s(pid) - before[role]
        row[f"{role} per core"] = round(units / used, 1) if used > 0.02 else ""
    return row


async def measure_cost(deployment: Deployment, directory: Path) -> dict[str, Rows]:
    """Returns latencies and work per core, directly and through the fleet.

    The calls are a fixed sequence; no seed has an effect on them.
    """
    engines = replace(deployment.engines, count=1)
    plain = replace(deployment.plain, count=1)
    small = replace(deployment, engines=engines, plain=plain, routers=1)
    async with running(small, directory, Variant("cost"), FAST_ENGINE) as launch:
        backend = launch.backends_of(engines.name)[0]
        direct = Way("direct", backend.server.addresses["address"], launch)
        routed = Way("routed", launch.endpoints()["routers"][0]["caller"], launch)
        pids = {
            "router": launch.routers[0].pid,
            "agent": backend.agent.pid,
            "engine": backend.server.pid,
        }
        for _ in range(30):
            await routed.call(1)
        rows = []
        latencies = await latency_rows(direct, routed)
        for way in (direct, routed):
            rows.append(await throughput_row(way, pids, "requests", SHORT_CALLS, 1))
        for way in (direct, routed):
            rows.append(
                await throughput_row(way, pids, "tokens", STREAMS, STREAM_TOKENS)
            )
        direct.close()
        routed.close()
    return {"cost-latency": latencies, "cost-throughput": rows}
