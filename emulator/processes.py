"""Starts and stops child processes that listen on loopback."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from emulator.standin import LOOPBACK

# Working directory of all processes, so that Python finds their modules.
PROJECT_ROOT = Path(__file__).resolve().parent.parent
# Seconds that a started process has to write its ready file.
READY_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.05


class LaunchError(Exception):
    """A process did not start in time, exited early, or rejected an order."""


# Ports of listeners whose address must be known in advance. Linux assigns ephemeral
# ports from 32768 on.
FIXED_PORT_RANGE = (15000, 32000)
_random = random.SystemRandom()
# Ports that this process has returned, so that none is returned twice.
_assigned_ports: set[int] = set()


def pick_free_address() -> str:
    """Returns a free loopback address for a listener that others know in advance.

    Another process can still bind the port before the listener does, or while the
    listener is down. Ephemeral ports are excluded, since outgoing connections use them.
    """
    while True:
        port = _random.randrange(*FIXED_PORT_RANGE)
        if port in _assigned_ports:
            continue
        _assigned_ports.add(port)
        with socket.socket() as probe_socket, contextlib.suppress(OSError):
            probe_socket.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


async def run_concurrently(*coroutines: Coroutine[Any, Any, Any]) -> None:
    """Runs coroutines concurrently; the first failure cancels the others.

    Without the cancellation a coroutine could start a process after all others have
    been stopped.

    :raises Exception: the first failure.
    """
    try:
        async with asyncio.TaskGroup() as group:
            for item in coroutines:
                group.create_task(item)
    except ExceptionGroup as failures:
        raise failures.exceptions[0] from failures


class ManagedProcess:
    """A Python module that runs as a child process, with its log and ready file."""

    __slots__ = (
        "_addresses",
        "_arguments",
        "_directory",
        "_environment",
        "_module",
        "_process",
        "name",
    )

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        directory: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        """:param directory: directory of ``<name>.log`` and ``<name>.ready``.
        :param environment: variables added to those of this process.
        """
        self.name = name
        self._module = module
        self._arguments = arguments
        self._directory = directory
        self._environment = environment or {}
        self._process: subprocess.Popen | None = None
        self._addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Process id of the current or last run."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses from the ready file, by name."""
        return self._addresses

    @property
    def log_path(self) -> Path:
        """File that receives standard output and standard error."""
        return self._directory / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process without waiting; see :meth:`wait_ready`."""
        ready_path = self._directory / f"{self.name}.ready"
        ready_path.unlink(missing_ok=True)
        command = [sys.executable, "-m", self._module, *self._arguments]
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [*command, "--ready-file", str(ready_path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=PROJECT_ROOT,
                env={**os.environ, **self._environment},
                # Ctrl-C must reach only the launcher, which stops the processes in
                # order.
                start_new_session=True,
            )

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> dict[str, str]:
        """Waits for the ready file and returns its addresses.

        :raises LaunchError: if the process exits or is not ready in time.
        """
        ready_path = self._directory / f"{self.name}.ready"
        deadline = time.monotonic() + timeout_s
        while not ready_path.exists():
            if not self.alive:
                code = self._process.returncode
                raise LaunchError(
                    f"{self.name} exited with code {code}; see {self.log_path}"
                )
            if time.monotonic() > deadline:
                raise LaunchError(
                    f"{self.name} was not ready within {timeout_s} s; see {self.log_path}"
                )
            await asyncio.sleep(POLL_PERIOD_S)
        self._addresses = json.loads(ready_path.read_text())
        return self._addresses

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, for example SIGSTOP; does nothing once it has exited."""
        if self.alive:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the process to exit."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await asyncio.to_thread(self._process.wait)

    async def stop(self, grace_s: float) -> bool:
        """Sends SIGTERM, and SIGKILL if the process runs ``grace_s`` seconds later.

        :returns: True if the process exited without SIGKILL.
        """
        if not self.alive:
            return True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(self._process.wait, grace_s)
        except subprocess.TimeoutExpired:
            await self.kill()
            return False
        return True
