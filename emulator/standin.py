"""Common parts of the stand-ins: control routes, history and ready files, signals."""

import argparse
import asyncio
import json
import os
import signal
from collections.abc import Awaitable
from pathlib import Path
from typing import Any, Protocol

from emulator.faults import Fault, FaultRuleSet
from heatherswitch.util.clock import Clock
from heatherswitch.util.http import Request
from heatherswitch.util.http_server import HttpServer, Responder
from heatherswitch.util.logs import configure_logs

LOOPBACK = "127.0.0.1"
# Seconds that running requests have to finish after SIGTERM.
STOP_GRACE_S = 2.0
# Exit code of a tool that was interrupted by a signal, as shells report SIGINT.
INTERRUPTED_EXIT_CODE = 130


class InjectedDisconnect(ConnectionError):
    """A fault rule closes the connection in the middle of a response."""


class HistoryFile:
    """Appends events to a file as JSON lines, for checks after a run.

    Each line is flushed when it is written, so that SIGKILL loses none. Without a
    path nothing is written.
    """

    __slots__ = ("_clock", "_file")

    def __init__(self, path: str | Path | None, clock: Clock | None = None) -> None:
        self._clock = clock or Clock()
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def write(self, event: str, **values: Any) -> None:
        """Appends an event with the time in seconds since the epoch."""
        if self._file is not None:
            line = {"event": event, "time": self._clock.now(), **values}
            self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Closes the file; later events are discarded."""
        if self._file is not None:
            self._file.close()
            self._file = None


class StandInApp(Protocol):
    """The part that each stand-in implements for :class:`StandInServer`."""

    rules: FaultRuleSet

    def serve(self, request: Request, responder: Responder) -> Awaitable[None]:
        """Responds to a request other than those to the control routes."""

    def stats(self) -> dict[str, Any]:
        """Returns counters for ``GET /_stats``."""

    def on_faults_replaced(self, rules: tuple[Fault, ...]) -> None:
        """Called after ``POST /_faults`` replaced the rules."""


class StandInServer:
    """HTTP server of a stand-in, with the control routes ``/_faults``, ``/_stats``."""

    __slots__ = ("_app", "_clock", "_server")

    def __init__(self, app: StandInApp) -> None:
        self._app = app
        self._clock = Clock()
        self._server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._server.port}"

    async def start(self, port: int = 0) -> None:
        """Binds the listener on loopback; port 0 picks a free one."""
        await self._server.start(LOOPBACK, port)

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Waits up to ``grace_s`` seconds for running requests, then closes."""
        await self._server.stop(grace_s)

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.path == "/_faults":
            if request.method == "POST":
                rules = self._app.rules.replace(request.json(), self._clock.now())
                self._app.on_faults_replaced(rules)
            await responder.send_json(200, self._app.rules.to_json())
        elif request.path == "/_stats":
            await responder.send_json(200, self._app.stats())
        else:
            await self._app.serve(request, responder)


def write_ready_file(path: str | Path | None, value: dict[str, str]) -> None:
    """Writes addresses by name as JSON, atomically; does nothing without a path."""
    if path:
        partial = Path(f"{path}.partial")
        partial.write_text(json.dumps(value))
        os.replace(partial, path)


def cancel_on_sigterm() -> None:
    """Cancels the current task on SIGTERM, so that its cleanup code runs."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def wait_for_stop_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def run_until_stopped(
    stand_in: StandInServer,
    options: argparse.Namespace,
    extra: dict[str, str] | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT.

    :param extra: further addresses by name, for the ready file.
    """
    await stand_in.start(options.port)
    write_ready_file(options.ready_file, {"address": stand_in.address, **(extra or {})})
    await wait_for_stop_signal()
    await stand_in.stop()


def create_option_parser(
    program: str, description: str | None
) -> argparse.ArgumentParser:
    """Returns a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--port", type=int, default=0, help="0 picks a free port")
    parser.add_argument("--ready-file", help="file to write the bound address to")
    parser.add_argument("--history", help="file to append events to, as JSON lines")
    parser.add_argument("--id", default="", help="name in log messages")
    parser.add_argument("--seed", type=int, default=0, help="seed of random faults")
    return parser


def configure_stand_in_logs(program: str, options: argparse.Namespace) -> None:
    """Configures logging of warnings and errors under the stand-in's name."""
    configure_logs(program, options.id or str(os.getpid()), "warning")
