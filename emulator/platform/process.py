"""A gateway as a process of its own, with signals."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

import yaml

from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

START_TIMEOUT_S = 20.0
# Longer than a gateway's own grace period.
STOP_TIMEOUT_S = 12.0


def free_port(host: str) -> int:
    """Returns a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class GatewayProcess:
    """One gateway on a loopback address of its own, so that ports do not clash.

    :param number: the last part of its address, from 2 on.
    :param store: ``host:port`` of the store.
    :param group: third part of its address; differs between runs at the same time.
    """

    def __init__(
        self, number: int, store: str, folder: Path, group: int = 0, **bounds: Any
    ) -> None:
        self.name = f"gateway-{number}"
        self.host = f"127.0.{group}.{number}"
        self.address = f"{self.host}:{free_port(self.host)}"
        self.ready_address = f"{self.host}:{free_port(self.host)}"
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.yaml"
        self._process: asyncio.subprocess.Process | None = None
        tree = {
            "node_name": self.name,
            "zone": "a",
            "zones": {"a": "east", "b": "east"},
            "ip": self.host,
            "listen": {"front": self.address, "ready": self.ready_address},
            # Metrics, then datagrams between gateways.
            "internal_port_range": [7340, 7355],
            "limits": {"max_fds": 1024},
            "bounds": {"grace_s": 4, "revoke_ms": 5000} | bounds,
            "platform": {"address": store},
        }
        self._settings.write_text(yaml.safe_dump(tree))

    @property
    def pid(self) -> int:
        """Id of the running process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """True between a start and the process's end."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process and waits until it answers its status check."""
        environment = os.environ | {"HEATHERSWITCH_CONFIG": str(self._settings)}
        with self.log.open("a") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "heatherswitch.platform.gateway",
                stdout=log,
                stderr=log,
                env=environment,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.answers():
                await asyncio.sleep(0.05)

    async def answers(self) -> bool:
        """Tells whether the process serves its status check, ready or not."""
        return await self._status_check() is not None

    async def is_ready(self) -> bool:
        """Tells whether the process wants callers."""
        return await self._status_check() == 200

    async def _status_check(self) -> int | None:
        """Returns the status of one check over a new connection; None for no answer."""
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
        """Sends a signal to the process that this object started."""
        if self.running:
            self._process.send_signal(number)

    async def stop(self) -> int:
        """Asks the process to end and returns its exit code."""
        self.signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Waits for the end of the process; kills one that does not end."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()

    def cpu_s(self) -> float:
        """Returns the processor seconds that the process has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def work_folder() -> tempfile.TemporaryDirectory:
    """Returns a folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="heatherswitch-")
