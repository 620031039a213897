"""A small deployment: the platform's store, gateway processes and their settings.

The gateways are started with the command of ``deploy/system.toml``, from the repository's
root, with the settings filled in as the template there says (all fields, as JSON).
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path

from emulator.platform.store import PlatformStoreServer
from review.standins.workers import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# As on the sheet of the Leafline site.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 58,
    "canary_share": 0.1,
    "canary_slack": 50,
    "rollback_ms": 5000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "cap_factor": 2,
}
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0
# First port of the internal range, where deploy/system.toml has the metrics.
FIRST_INTERNAL_PORT = 7340


def trouble() -> bool:
    """Returns False if the case must run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - self._began_at:8.3f}  {text}"
        print(line, file=self._file, flush=True)


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Returns a route of a manifest."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "retry_attempts": 1 if kind == "non_idempotent" else 2,
        "allow_anonymous": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
    } | changes


def manifest(version: int, routes: list[dict], services: Iterable[str], **changes):
    """Returns a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_connections": 110} for name in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    } | changes


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, number: int, store: str, folder: Path) -> None:
        pid = os.getpid()
        self.host = f"127.{1 + pid // 200 % 200}.{1 + pid % 200}.{number}"
        self.name = f"edge-a-{number}"
        self.address = f"{self.host}:{_free_port(self.host)}"
        self.ready_address = f"{self.host}:{_free_port(self.host)}"
        self.log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.json"
        self._process: asyncio.subprocess.Process | None = None
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "a",
            "region": "east",
            "zones": {"a": "east", "b": "east"},
            "listen": {"front": self.address, "ready": self.ready_address},
            "internal_port_range": [FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 15],
            "seed_nodes": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cpu_cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        template = ROOT / _deploy_role()["template"]
        text = template.read_text().replace("{{.|json}}", json.dumps(settings))
        self._settings_path.write_text(text)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def ended(self) -> bool:
        """True once the process has ended."""
        return self._process.returncode is not None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        program, *arguments = _deploy_role()["run"].split(" ")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HEATHERSWITCH_CONFIG": str(self._settings_path),
        }
        with self.log_path.open("a") as log:
            self._process = await asyncio.create_subprocess_exec(
                program, *arguments, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    async def ready(self) -> bool:
        """Asks the readiness check."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    async def wait_ready(self) -> None:
        """Waits until the process is ready.

        :raises TimeoutError: if it is not within :data:`READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.ready():
                await asyncio.sleep(0.05)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and not self.ended:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Deployment:
    """A store, workers with their heartbeats, and gateways."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = PlatformStoreServer()
        self.workers: list[Worker] = []
        self.gateways: list[Gateway] = []
        # Ids of workers that write no heartbeats.
        self.quiet: set[str] = set()
        self._heartbeats: asyncio.Task | None = None

    async def start(
        self, configuration: dict, workers: list[Worker], gateways: int
    ) -> None:
        """Starts everything and waits until the gateways are ready."""
        await self.store.start()
        self.store.put("op/config", configuration)
        self.workers = workers
        for worker in workers:
            await worker.start()
        self._beat()
        self._heartbeats = asyncio.create_task(self._run_heartbeats())
        self.gateways = [
            Gateway(number, self.store.address, self.folder)
            for number in range(1, gateways + 1)
        ]
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(1.5)

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            await gateway.end()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    def _beat(self) -> None:
        for worker in self.workers:
            if worker.id not in self.quiet:
                self.store.put(f"servers/{worker.id}", worker.entry())

    async def _run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._beat()


def run_case(folder: Path, case) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param case: coroutine function with a deployment and a record; returns True if the
        rule was broken.
    """

    async def run() -> bool:
        with tempfile.TemporaryDirectory(prefix="heatherswitch-review-") as temporary:
            deployment = Deployment(Path(temporary))
            try:
                async with asyncio.timeout(110):
                    return await case(deployment, record)
            finally:
                await deployment.stop()
                keep = os.environ.get("KEEP_LOGS")
                for gateway in deployment.gateways if keep else ():
                    target = Path(keep) / gateway.log_path.name
                    target.write_bytes(gateway.log_path.read_bytes())

    record = Record(folder)
    record.note(f"disruption: {'yes' if trouble() else 'no'}")
    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def _deploy_role() -> dict:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["gateway"]


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
