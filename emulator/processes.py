"""Starts and stops processes on loopback, by their process id only."""

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

# Modules are found from here, whatever the caller's directory is.
PROJECT_ROOT = Path(__file__).resolve().parent.parent
# Seconds until a started process must have written its ready file.
READY_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.05


class LaunchError(Exception):
    """A process did not start, or ended too early."""


# Listeners with fixed ports use these; ephemeral ports start at 32768 on Linux.
FIXED_PORTS = (15000, 32000)
_random = random.SystemRandom()
# Ports handed out by this process, so that none is handed out twice.
_picked: set[int] = set()


def free_address() -> str:
    """Picks a free loopback address for a listener that others must know beforehand.

    Another process can still take the port before it is used, and while the listener
    is down. Ports that the system hands to outgoing connections are left out.
    """
    while True:
        port = _random.randrange(*FIXED_PORTS)
        if port in _picked:
            continue
        _picked.add(port)
        with socket.socket() as bound, contextlib.suppress(OSError):
            bound.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


async def run_all(*work: Coroutine[Any, Any, Any]) -> None:
    """Runs coroutines together; the first failure cancels the others.

    :raises Exception: the first failure. Without the cancellation a process could be
        started after all others have been stopped.
    """
    try:
        async with asyncio.TaskGroup() as group:
            for item in work:
                group.create_task(item)
    except ExceptionGroup as failures:
        raise failures.exceptions[0] from failures


class ManagedProcess:
    """One Python module that runs as a process, with its log and ready file."""

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
        """:param directory: takes ``<name>.log`` and ``<name>.ready``.
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
        """Process id of the present or last run."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses from the ready file, by name."""
        return self._addresses

    @property
    def log_path(self) -> Path:
        """File that takes standard output and standard error."""
        return self._directory / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process; :meth:`wait_ready` follows."""
        ready = self._directory / f"{self.name}.ready"
        ready.unlink(missing_ok=True)
        command = [sys.executable, "-m", self._module, *self._arguments]
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [*command, "--ready-file", str(ready)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=PROJECT_ROOT,
                env={**os.environ, **self._environment},
                # Ctrl-C must reach the launcher alone, which stops in order.
                start_new_session=True,
            )

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> dict[str, str]:
        """Waits for the ready file and returns its addresses.

        :raises LaunchError: if the process ends or is not ready in time.
        """
        ready = self._directory / f"{self.name}.ready"
        limit = time.monotonic() + timeout_s
        while not ready.exists():
            if not self.alive:
                code = self._process.returncode
                raise LaunchError(f"{self.name} ended with {code}; see {self.log_path}")
            if time.monotonic() > limit:
                raise LaunchError(
                    f"{self.name} was not ready in {timeout_s} s; see {self.log_path}"
                )
            await asyncio.sleep(POLL_PERIOD_S)
        self._addresses = json.loads(ready.read_text())
        return self._addresses

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, for example SIGSTOP; does nothing after the end."""
        if self.alive:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await asyncio.to_thread(self._process.wait)

    async def stop(self, grace_s: float) -> bool:
        """Ends the process with SIGTERM, or with SIGKILL after ``grace_s`` seconds.

        :returns: True if SIGTERM was enough.
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
