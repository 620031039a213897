"""Callers of a soak of gateways, and what they record."""

import asyncio
import random
import time
import zlib

from emulator.platform.deployment import HOST
from emulator.platform.soak_checks import STREAM_PREFIXES, Call, History
from emulator.platform.soak_deployment import SoakDeployment
from heatherswitch.util.http import ConnectionLost, HttpError
from heatherswitch.util.http_client import HttpClient

CALLERS = 12
# Seconds that a caller waits for a response.
CALL_TIMEOUT_S = 3.0
# Share of requests on routes that were added, some of which are removed again.
ADDED_SHARE = 0.4
# Share of the other requests on a route that was never added.
UNKNOWN_SHARE = 0.05
# Share of requests on a route with much traffic while there is one.
BUSY_SHARE = 0.7
# Most parts of a prompt that stand for earlier turns of its caller.
MAX_TURNS = 12
# Share of the streams whose prompt crashes servers while there is such a part.
BAD_PROMPT_SHARE = 0.1
# Share of requests whose key is drawn from the valid ones only.
VALID_KEY_SHARE = 0.8
PATHS = ("/lookup/1", "/search/1", "/settle/1", "/draft/1", "/answer/1")


class Callers:
    """Callers that send requests to all gateways until they are stopped.

    :param history: gets each request with its response.
    """

    def __init__(self, deployment: SoakDeployment, history: History) -> None:
        self._deployment = deployment
        self._history = history
        self._running = True
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the callers."""
        self._tasks = [asyncio.create_task(self._run_caller(n)) for n in range(CALLERS)]

    async def stop(self) -> list[BaseException]:
        """Waits for the pending requests and returns the errors that ended callers."""
        self._running = False
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        return [result for result in results if result is not None]

    async def _run_caller(self, number: int) -> None:
        """Sends requests to random gateways, over connections that it keeps open."""
        rng = random.Random(number)
        clients: dict[str, HttpClient] = {}
        count = 0
        while self._running:
            # A gateway that stops is used until its process is gone.
            prefer_stopping = self._deployment.stopping and rng.random() < 0.5
            gateway = rng.choice(
                self._deployment.stopping
                if prefer_stopping
                else self._deployment.gateways
            )
            client = clients.setdefault(
                gateway.address, HttpClient.from_address(gateway.address)
            )
            count += 1
            call = self._draw_call(f"{number:02}-{count:05}", rng)
            call.gateway = gateway.name
            if call.path.startswith(STREAM_PREFIXES) and self._deployment.bad_part:
                call.bad_prompt = rng.random() < BAD_PROMPT_SHARE
            self._history.calls.append(call)
            if rng.random() < 0.05:
                await self._call_and_disconnect(client, call, rng)
            else:
                await self._call(client, call)
            if self._deployment.busy_route is None:
                await asyncio.sleep(rng.uniform(0.0, 0.1))
        for client in clients.values():
            client.close()

    def _draw_call(self, request_id: str, rng: random.Random) -> Call:
        configuration = self._deployment.configuration
        host, path = HOST, rng.choice(PATHS)
        busy = self._deployment.busy_route
        if busy is not None and rng.random() < BUSY_SHARE:
            host, path = busy[0], f"{busy[1]}1"
        elif configuration.recent_routes and rng.random() < ADDED_SHARE:
            host, prefix = rng.choice(configuration.recent_routes)
            path = f"{prefix}1"
        elif rng.random() < UNKNOWN_SHARE:
            path = "/nowhere/1"
        valid = rng.random() < VALID_KEY_SHARE
        keys = configuration.keys if valid else configuration.workspaces
        key = rng.choice(list(keys))
        return Call(request_id, path, key, time.monotonic(), host=host)

    async def _call(self, client: HttpClient, call: Call) -> None:
        headers = [
            ("Host", call.host),
            ("X-Attempt-Id", call.id),
            ("X-Deadline-Ms", str(int(CALL_TIMEOUT_S * 1000))),
            ("Authorization", f"Bearer {call.key}"),
        ]
        if call.path.startswith(STREAM_PREFIXES):
            headers += self._prompt_headers(call)
        method = "GET" if call.path.startswith(("/lookup", "/search")) else "POST"
        try:
            response = await client.request(
                method, call.path, headers, timeout=CALL_TIMEOUT_S + 1.0
            )
            call.body = await response.read()
            call.headers = dict(response.headers)
            call.status = response.status
        except HttpError as error:
            call.status = 0
            in_time = time.monotonic() - call.sent_at < CALL_TIMEOUT_S
            call.lost = isinstance(error, ConnectionLost) and in_time
        finally:
            call.ended_at = time.monotonic()

    def _prompt_headers(self, call: Call) -> list[tuple[str, str]]:
        """Returns headers of a prompt with parts of all callers, the key and the caller.

        A part that crashes servers stands before those of the caller.
        """
        caller = int(call.id.split("-")[0])
        turns = int(call.id.split("-")[1]) % MAX_TURNS
        parts = ["5c1e", f"ad{zlib.crc32(call.key.encode()):08x}"]
        if call.bad_prompt:
            parts.append(self._deployment.bad_part)
            turns = self._deployment.bad_turns
        parts += [f"ca{caller:02x}{turn:02x}" for turn in range(turns)]
        parts.append(call.id.replace("-", "f"))
        return [
            ("X-Model", "m"),
            ("X-Token-Count", f"{20 * len(parts)},64"),
            ("X-Prompt-Prefix", ",".join(f"{part}:20" for part in parts)),
        ]

    async def _call_and_disconnect(self, client: HttpClient, call: Call, rng) -> None:
        call.left = True
        task = asyncio.create_task(self._call(client, call))
        await asyncio.sleep(rng.uniform(0.0, 0.2))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if task.cancelled():
            call.status = 0
