"""Samples the configuration revision, marker and moves of routers and agents."""

import asyncio
import contextlib
import json
import re
from typing import Any

from emulator.deployments import bearer_headers
from emulator.launch import Launcher
from emulator.processes import ManagedProcess
from emulator.standin import HistoryFile
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

# Unused workspace whose share is the marker, by which a settings change is recognized.
MARKER_WORKSPACE = "marker"
# Default seconds between two samples.
PERIOD_S = 0.5
# Seconds without data after which a request for a sample fails.
TIMEOUT_S = 2.0
_REVISION_METRIC = re.compile(
    rb"^\w+_config_revision(?:{})? ([0-9.e+]+)$", re.MULTILINE
)


class Sampler:
    """Periodically writes ``revision`` and ``move`` events to a history."""

    __slots__ = (
        "_clock",
        "_followed_moves",
        "_headers",
        "_history",
        "_launch",
        "_paused",
        "_period_s",
        "_task",
    )

    def __init__(
        self,
        launch: Launcher,
        history: HistoryFile,
        clock: Clock,
        paused: set[str],
        period_s: float = PERIOD_S,
    ) -> None:
        """:param paused: names of processes that are skipped; the caller may change the set.
        :param period_s: seconds between two samples of each process.
        """
        self._period_s = period_s
        self._launch = launch
        self._history = history
        self._clock = clock
        self._paused = paused
        self._followed_moves: set[str] = set()
        self._headers = bearer_headers(launch.endpoints()["operator_token"])
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts sampling; needs a running event loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops sampling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def follow_move(self, move: str) -> None:
        """Includes the states of a move in the samples from now on.

        :param move: id of the move.
        """
        self._followed_moves.add(move)

    async def _run(self) -> None:
        while True:
            processes = [*self._launch.routers]
            processes += [backend.agent for backend in self._launch.backends]
            sampled = [p for p in processes if p.alive and p.name not in self._paused]
            await asyncio.gather(*(self._sample(process) for process in sampled))
            await asyncio.sleep(self._period_s)

    async def _sample(self, process: ManagedProcess) -> None:
        """Records a sample of a process; skips it if it is not ready or does not respond."""
        with contextlib.suppress(HttpError, TimeoutError, KeyError, ValueError):
            pid, sampled_at = process.pid, self._clock.now()
            metrics = process.addresses["metrics"]
            ready, _ = await self._get(metrics, "/readyz")
            status, body = await self._get(metrics, "/metrics")
            revision_match = _REVISION_METRIC.search(body)
            if ready != 200 or status != 200 or not revision_match:
                return
            values: dict[str, Any] = {"revision": int(float(revision_match[1]))}
            if process in self._launch.routers:
                values |= await self._read_router(process)
            self._history.write(
                "revision", time=sampled_at, process=process.name, pid=pid, **values
            )

    async def _read_router(self, router: ManagedProcess) -> dict[str, Any]:
        address = router.addresses["operator"]
        client = HttpClient.from_address(address)
        path = f"/v1/effective?workspace={MARKER_WORKSPACE}"
        try:
            answer = await client.request("GET", path, self._headers, b"", TIMEOUT_S)
            effective = json.loads(await answer.read())
            if self._followed_moves:
                answer = await client.request(
                    "GET", "/v1/moves", self._headers, b"", TIMEOUT_S
                )
                self._record_moves(router, json.loads(await answer.read())["moves"])
        finally:
            client.close()
        return {"marker": int(effective["settings"]["share"])}

    def _record_moves(
        self, router: ManagedProcess, moves: list[dict[str, Any]]
    ) -> None:
        for move in moves:
            if move["id"] in self._followed_moves:
                self._history.write(
                    "move",
                    process=router.name,
                    move=move["id"],
                    state=move["effective_state"],
                    share=move.get("share") or 0,
                )

    async def _get(self, address: str, path: str) -> tuple[int, bytes]:
        client = HttpClient.from_address(address)
        try:
            answer = await client.request("GET", path, timeout=TIMEOUT_S)
            return answer.status, await answer.read()
        finally:
            client.close()
