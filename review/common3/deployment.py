"""Starts gateways as the deploy file says, and sends requests to them."""

import asyncio
import json
import os
import random
import signal
import socket
import time
import tomllib
from pathlib import Path

from standins import read_message

ROOT = Path(__file__).resolve().parents[2]
HOST = "floor.example"
START_S = 20.0
# Metrics, and messages of other gateways.
INTERNAL_PORTS = (7340, 7341)


def free_port(host):
    """Returns a port of a host that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_host(number):
    """Returns a loopback address on which the ports of a gateway's own are free."""
    for _ in range(100):
        host = f"127.{random.randrange(60, 120)}.{random.randrange(250)}.{number}"
        try:
            for port in INTERNAL_PORTS:
                with socket.socket() as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        return host
    raise OSError("no free loopback address")


def bounds(**changes):
    """Returns the bounds of the small installation on the page DEPLOY."""
    return {
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
    } | changes


def route(prefix, kind, service, **changes):
    """Returns a route of a manifest."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "retry_attempts": 2 if kind == "safe" else 1,
        "allow_anonymous": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
    } | changes


def manifest(version, routes, services, tenants):
    """Returns a manifest; ``tenants`` holds the keys of each tenant by its name."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": n, "api_keys": keys} for n, keys in tenants.items()],
    }


class Gateway:
    """One gateway process, with a loopback address of its own.

    :param store: ``host:port`` of the store, or of a proxy before it.
    """

    def __init__(self, number, store, directory, zone="a"):
        self.name = f"edge-{zone}-{number}"
        self.host = free_host(number)
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        self.process = None
        self._log = Path(directory) / f"{self.name}.log"
        self._path = Path(directory) / f"{self.name}.json"
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": zone,
            "region": "hobart",
            "zones": {"a": "hobart", "b": "hobart", "c": "hobart"},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_port_range": [7340, 7355],
            "seed_nodes": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.817,
                "cpu_cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": bounds(),
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
        self._path.write_text(json.dumps(settings))

    async def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HEATHERSWITCH_CONFIG": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self):
        """Waits until the process says that it is ready."""
        async with asyncio.timeout(START_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        """Tells whether the process says that it is ready."""
        try:
            status, _, _ = await call(self.ready, "GET", "/ready", {}, 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def signal(self, number):
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kills the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def encode_request(method, target, headers, body=b""):
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, target, headers, timeout_s, body=b""):
    """Sends a request on a new channel; returns status, headers and body.

    :raises OSError, TimeoutError, asyncio.IncompleteReadError: without a whole answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            all_headers = {"Host": HOST} | headers
            writer.write(encode_request(method, target, all_headers, body))
            first, answered, data = await read_message(reader)
            return int(first.split(" ")[1]), answered, data
        finally:
            writer.close()


class Sent:
    """A request of a consumer and what became of it."""

    def __init__(self, number, gateway, target, key, at):
        self.id = f"{number:016x}"
        self.gateway = gateway
        self.target = target
        self.key = key
        self.at = at
        self.status = 0
        self.body = b""
        self.ended_at = 0.0
        self.error = ""


class Consumers:
    """Sends requests and keeps what was answered."""

    def __init__(self):
        self.sent = []

    async def send(self, gateway, method, target, key, deadline_ms=3000, **options):
        """Sends one request and returns what became of it."""
        sent = Sent(len(self.sent) + 1, gateway.name, target, key, time.monotonic())
        self.sent.append(sent)
        headers = {
            "X-Attempt-Id": sent.id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        } | options.pop("headers", {})
        try:
            sent.status, _, sent.body = await call(
                gateway.front, method, target, headers, deadline_ms / 1000, **options
            )
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            sent.error = type(error).__name__
        sent.ended_at = time.monotonic()
        return sent


class Record:
    """Writes the record of a run, with seconds since its begin."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._begin = time.monotonic()

    def note(self, text, at=None):
        """Writes a line."""
        seconds = (time.monotonic() if at is None else at) - self._begin
        self._file.write(f"{seconds:9.3f}  {text}\n")
        self._file.flush()

    def close(self):
        """Closes the file."""
        self._file.close()
