"""Measures the latency and CPU time that router and agent add to an engine call."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from emulator.caller import CHAT_PATH, Call, Caller
from emulator.deployments import Deployment
from emulator.launch import Launcher
from emulator.service_runs import Variant, cpu_s, running_deployment

# Sequential calls per client, for the latencies.
LATENCY_CALLS = 200
# Calls with one token, for the requests per core.
SHORT_CALLS = 600
# Streams, and tokens of each, for the tokens per core.
STREAMS = 48
STREAM_TOKENS = 150
# Calls that run at once, for the requests and tokens per core.
CONCURRENCY = 12
# A fast engine, so that the added time is a visible part of the latency.
FAST_ENGINE = ("--warm", "--step-s", "0.002")

Rows = list[dict[str, Any]]


class EngineClient:
    """Calls an engine, either directly or through router and agent."""

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
        """Makes one streamed call and returns its duration in seconds.

        :param tokens: length of the response.
        :raises RuntimeError: if the call is not answered correctly.
        """
        self._count += 1
        prompt = f"{self.name} {self._count}"
        body = {
            "model": self._model,
            "messages": [{"role": "user", "content": prompt}],
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

    async def call_concurrently(self, count: int, tokens: int) -> float:
        """Makes ``count`` calls, :data:`CONCURRENCY` at once; returns the total seconds."""
        call_slots = asyncio.Semaphore(CONCURRENCY)

        async def limited_call() -> None:
            async with call_slots:
                await self.call(tokens)

        started = time.perf_counter()
        await asyncio.gather(*(limited_call() for _ in range(count)))
        return time.perf_counter() - started


def percentile(values: list[float], percent: float) -> float:
    """Returns the value at a percentile, without interpolation.

    :param percent: between 0 and 100.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def latency_rows(direct: EngineClient, routed: EngineClient) -> Rows:
    """Returns the latencies of both clients and their difference.

    The calls alternate, so that changes of the machine's load affect both equally.
    """
    times: dict[str, list[float]] = {direct.name: [], routed.name: []}
    for _ in range(LATENCY_CALLS):
        for client in (direct, routed):
            times[client.name].append(await client.call(1))
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
    client: EngineClient, pids: dict[str, int], metric: str, count: int, tokens: int
) -> dict[str, Any]:
    """Returns the throughput of concurrent calls, per second and per process core.

    :param pids: measured processes by role.
    :param metric: unit of the throughput, ``tokens`` or ``requests``.
    """
    before = {role: cpu_s(pid) for role, pid in pids.items()}
    seconds = await client.call_concurrently(count, tokens)
    units = count * tokens if metric == "tokens" else count
    row: dict[str, Any] = {"way": client.name, "measure": metric, "work": units}
    row["per s"] = round(units / seconds, 1)
    for role, pid in pids.items():
        used = cpu_s(pid) - before[role]
        row[f"{role} per core"] = round(units / used, 1) if used > 0.02 else ""
    return row


async def measure_cost(deployment: Deployment, directory: Path) -> dict[str, Rows]:
    """Returns latency and throughput of direct calls and of calls through the router.

    The sequence of calls is fixed and does not depend on a seed.
    """
    engines = replace(deployment.engines, count=1)
    plain = replace(deployment.plain, count=1)
    small_deployment = replace(deployment, engines=engines, plain=plain, routers=1)
    async with running_deployment(
        small_deployment, directory, Variant("cost"), FAST_ENGINE
    ) as launch:
        backend = launch.backends_of(engines.name)[0]
        direct = EngineClient("direct", backend.server.addresses["address"], launch)
        routed = EngineClient(
            "routed", launch.endpoints()["routers"][0]["caller"], launch
        )
        pids = {
            "router": launch.routers[0].pid,
            "agent": backend.agent.pid,
            "engine": backend.server.pid,
        }
        for _ in range(30):
            await routed.call(1)
        rows = []
        latencies = await latency_rows(direct, routed)
        for client in (direct, routed):
            rows.append(await throughput_row(client, pids, "requests", SHORT_CALLS, 1))
        for client in (direct, routed):
            rows.append(
                await throughput_row(client, pids, "tokens", STREAMS, STREAM_TOKENS)
            )
        direct.close()
        routed.close()
    return {"cost-latency": latencies, "cost-throughput": rows}
