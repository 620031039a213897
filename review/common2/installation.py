"""A small installation: the store's stand-in, workers, gateways and consumers."""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from emulator.platform.store import PlatformStoreServer
from review.common2.consumer import API_KEY, HOST, TENANT
from review.common2.gateway import GatewayProcess, check_forever, wait_until_ready
from review.common2.record import Record
from review.common2.worker import Worker

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of the manifest."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "retry_attempts": 2,
        "allow_anonymous": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
        "gap_aim_ms": 250,
    } | changes


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Returns a manifest with one tenant and the limits of the pages' example."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [API_KEY], "priority": 1}],
    }


def service(name: str, **changes) -> dict:
    """Returns a service of the manifest."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 370,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    } | changes


class Installation:
    """The parts of a script's installation.

    :ivar trouble: False if the script plays without the disruption.
    """

    def __init__(self, folder: Path, directory: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.store = PlatformStoreServer()
        self.gateways: list[GatewayProcess] = []
        self.workers: list[Worker] = []
        self._directory = directory
        self._checks: asyncio.Task | None = None

    async def start(self, config: dict, workers: list[Worker], gateways: int) -> bool:
        """Starts everything; returns False if the gateways don't become ready."""
        self.record.write("trouble" if self.trouble else "no trouble")
        await self.store.start()
        self.put("op/config", config)
        self.workers = workers
        for worker in workers:
            await worker.listen()
            self.put(f"servers/{worker.id}", worker.entry())
        for number in range(1, gateways + 1):
            gateway = GatewayProcess(
                number, self.store.address, self._directory, self.record
            )
            self.gateways.append(gateway)
            gateway.start()
        self._checks = asyncio.create_task(check_forever(self.gateways))
        return await wait_until_ready(self.gateways)

    def put(self, key: str, value: dict) -> None:
        """Writes an entry as the operator, a worker or another writer does."""
        self.store.put(key, value)
        self.record.write("store", key=key, value=value if key != "op/config" else {})

    def read(self, key: str) -> dict:
        """Returns an entry as it stands in the store; empty if there is none."""
        return json.loads(self.store.read(key) or b"{}")

    def pick(self, number: int) -> GatewayProcess:
        """Returns the gateway that gets a new channel; any one if none is ready."""
        ready = [g for g in self.gateways if g.rotation] or self.gateways
        return ready[number % len(ready)]

    async def stop(self) -> None:
        """Ends all processes that the script started."""
        if self._checks is not None:
            self._checks.cancel()
        for gateway in self.gateways:
            gateway.kill()
        with contextlib.suppress(Exception):
            await self.store.stop()


def main(file: str, play: Callable[[Installation], Awaitable[int]]) -> None:
    """Runs a script and exits with its result."""
    folder = Path(file).resolve().parent

    async def run(directory: str) -> int:
        installation = Installation(folder, Path(directory))
        try:
            async with asyncio.timeout(115):
                result = await play(installation)
        except Exception as error:
            traceback.print_exc()
            installation.record.write("could not run", error=repr(error))
            result = COULD_NOT_RUN
        finally:
            await installation.stop()
        installation.record.write("result", exit=result)
        return result

    with tempfile.TemporaryDirectory() as directory:
        result = asyncio.run(run(directory))
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result])
    sys.exit(result)
