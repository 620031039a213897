"""Runs a gateway as a separate process, which tests can signal and kill."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

START_TIMEOUT_S = 20.0
# Grace period after SIGTERM in the settings of the gateways.
GRACE_S = 4
# Seconds until a gateway that does not end is killed; longer than its grace period.
STOP_TIMEOUT_S = 12.0


def free_port(host: str) -> int:
    """Returns a port of a host that is free now; another process may still take it."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class GatewayProcess:
    """One gateway process on a loopback address of its own, so that ports do not clash.

    :param number: the last part of its address, from 2 on.
    :param store: ``host:port`` of the store.
    :param directory: where it writes its settings and log.
    :param group: third part of its address; must differ between concurrent runs.
    :param limits: values that replace those in ``limits`` of its settings.
    :param bounds: values that replace those in ``bounds`` of its settings.
    :ivar starts: when processes were started, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        number: int,
        store: str,
        directory: Path,
        group: int = 0,
        limits: Mapping[str, int] | None = None,
        **bounds: Any,
    ) -> None:
        self.name = f"gateway-{number}"
        self.host = f"127.0.{group}.{number}"
        self.address = f"{self.host}:{free_port(self.host)}"
        self.ready_address = f"{self.host}:{free_port(self.host)}"
        self.log_path = directory / f"{self.name}.log"
        self._settings_path = directory / f"{self.name}.yaml"
        self.starts: list[float] = []
        self._process: asyncio.subprocess.Process | None = None
        settings = {
            "node_name": self.name,
            "zone": "a",
            "zones": {"a": "east", "b": "east"},
            "ip": self.host,
            "listen": {"front": self.address, "ready": self.ready_address},
            # For the metrics and for the datagrams between gateways.
            "internal_port_range": [7340, 7355],
            "limits": {"max_fds": 1024} | dict(limits or {}),
            "bounds": {"grace_s": GRACE_S, "revoke_ms": 5000} | bounds,
            "platform": {"address": store},
        }
        self._settings_path.write_text(yaml.safe_dump(settings))

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """True if the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process and waits until it responds to its readiness check.

        :raises TimeoutError: if it does not within :data:`START_TIMEOUT_S`.
        """
        await self.launch()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.responds():
                await asyncio.sleep(0.05)

    async def launch(self) -> None:
        """Starts the process and does not wait for it."""
        self.starts.append(time.monotonic())
        environment = os.environ | {"HEATHERSWITCH_CONFIG": str(self._settings_path)}
        with self.log_path.open("a") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "heatherswitch.platform.launch",
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def responds(self) -> bool:
        """Returns True if the process responds to its readiness check, ready or not."""
        return await self._status_check() is not None

    async def is_ready(self) -> bool:
        """Returns True if the readiness check says that the gateway accepts requests."""
        return await self._status_check() == 200

    async def _status_check(self) -> int | None:
        """Returns the status of a readiness check; None if there was no response."""
        client = HttpClient.from_address(self.ready_address)
        try:
            response = await client.request(
                "GET", "/ready", timeout=1.0, new_connection=True
            )
            await response.read()
            return response.status
        except HttpError:
            return None
        finally:
            client.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.running:
            self._process.send_signal(number)

    async def stop(self) -> int:
        """Stops the process with SIGTERM and returns its exit code."""
        self.signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Waits for the process to end and returns its exit code.

        Kills it if it does not end within :data:`STOP_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()

    def cpu_s(self) -> float:
        """Returns the CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def temporary_directory() -> tempfile.TemporaryDirectory:
    """Returns a temporary directory for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="heatherswitch-")
