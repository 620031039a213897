"""Starts the gateway with the command of the deploy file, as the platform does."""

import asyncio
import json
import os
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the sheet of leafline-tas.
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
MEMORY_MB = 300


def free_port(host: str) -> int:
    """Returns a port of a loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_host(number: int) -> str:
    """Returns a loopback address on which the port for metrics is free."""
    for group in range(60, 250):
        host = f"127.0.{group}.{number}"
        with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                sock.bind((host, 7340))
                datagram.bind((host, 7341))
            except OSError:
                continue
            return host
    raise RuntimeError("no loopback address is free")


class GatewayProcess:
    """One gateway on a loopback address of its own.

    :param store: ``host:port`` of the store.
    :ivar rotation: False while the platform sends it no new channels.
    """

    def __init__(self, number: int, store: str, directory: Path, record) -> None:
        self.name = f"edge-hobart-a-{number}"
        self.host = free_host(number + 1)
        self.front = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        self.rotation = False
        self._misses = 2
        self._record = record
        self._log = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.json"
        self._process: subprocess.Popen | None = None
        self._settings.write_text(json.dumps(self._fields(store)))

    def _fields(self, store: str) -> dict:
        """Returns the fields of DEPLOY's settings, which the template prints."""
        return {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "hobart-a",
            "region": "hobart",
            "zones": {"hobart-a": "hobart", "hobart-b": "hobart", "hobart-c": "hobart"},
            "listen": {
                "front": self._address(self.front),
                "ready": self._address(self.ready),
            },
            "internal_port_range": [7340, 7355],
            "seed_nodes": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.817,
                "cpu_cores": 1,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
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

    @staticmethod
    def _address(listener: tuple[str, int]) -> str:
        host, port = listener
        return f"{host}:{port}"

    @property
    def running(self) -> bool:
        """True if the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HEATHERSWITCH_CONFIG": str(self._settings),
        }
        with self._log.open("a") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("gateway started", gateway=self.name)

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.running:
            self._process.send_signal(number)
            self._record.write("signal", gateway=self.name, number=int(number))

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.running:
            self._process.kill()
            self._record.write("gateway killed", gateway=self.name)
        if self._process is not None:
            self._process.wait()

    async def check(self) -> None:
        """Asks ``/ready`` as the platform does, and notes two misses in a row."""
        status = await self._ready_status()
        self._misses = 0 if status == 200 else self._misses + 1
        rotation = self._misses < 2
        if rotation != self.rotation:
            self._record.write("rotation", gateway=self.name, ready=rotation)
        self.rotation = rotation

    async def _ready_status(self) -> int:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0


async def check_forever(gateways: list[GatewayProcess]) -> None:
    """Asks all gateways once a second whether they are ready."""
    while True:
        await asyncio.gather(*(gateway.check() for gateway in gateways))
        await asyncio.sleep(1.0)


async def wait_until_ready(
    gateways: list[GatewayProcess], timeout_s: float = 20.0
) -> bool:
    """Waits until all gateways are in rotation; returns False if they are not."""
    give_up_at = time.monotonic() + timeout_s
    while not all(gateway.rotation for gateway in gateways):
        if time.monotonic() > give_up_at:
            return False
        await asyncio.sleep(0.1)
    return True
