"""Base of the daemon programs: flags with environment variables, signals, ready file."""

import asyncio
import json
import logging
import os
import re
import signal
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from cleo.commands.command import Command
from cleo.descriptors.text_descriptor import TextDescriptor
from cleo.exceptions import CleoError
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO
from cleo.io.outputs.output import Type
from cleo.io.outputs.stream_output import StreamOutput

from heatherswitch.ui.errors import ExitCode, UserError
from heatherswitch.util.logs import LEVELS

log = logging.getLogger("heatherswitch.daemon")

ENVIRONMENT_PREFIX = "HEATHERSWITCH_"
MAX_PORT = 65535
# Values of --version-test.
VERSION_TESTS = ("sequential", "threshold", "fixed")
# Longest drain delay, in seconds.
MAX_DRAIN_DELAY_S = 3600.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Program(Protocol):
    """A daemon that runs until it is stopped."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the ``host:port`` that is bound."""

    async def start(self) -> None:
        """Binds the listeners."""

    async def stop(self) -> None:
        """Shuts down gracefully."""


@dataclass(frozen=True, slots=True)
class Flag:
    """One setting of the process.

    :param name: flag without dashes, for example ``peer-listen``.
    :param parse: turns text into the value; raises ``ValueError`` with what is
        allowed.
    :param default: text used when the flag is not given; None makes it required.
    """

    name: str
    description: str
    parse: Callable[[str], Any]
    default: str | None = None

    @property
    def variable(self) -> str:
        """Environment variable that sets the flag."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self) -> str:
        """Name of the field in the program's configuration."""
        return self.name.replace("-", "_")

    def value(self, given: str | None, environment: Mapping[str, str]) -> Any:
        """Returns the value from the flag, the environment or the default.

        :raises UserError: if it is missing or not allowed.
        """
        text = given if given is not None else environment.get(self.variable)
        text = text if text is not None else self.default
        if text is None:
            raise UserError(f"--{self.name} is missing (or set {self.variable})")
        try:
            return self.parse(text)
        except ValueError as error:
            raise UserError(f"--{self.name} {text!r} is not {error}") from error


def name(text: str) -> str:
    """Parses an id or name."""
    if not _NAME.fullmatch(text):
        raise ValueError("a name of letters, digits, '.', '_' and '-'")
    return text


def optional_name(text: str) -> str:
    """Parses a name that may be empty."""
    return name(text) if text else ""


def address(text: str) -> str:
    """Parses ``host:port``; port 0 picks a free one."""
    host, _, port = text.rpartition(":")
    valid = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not host or not valid or any(c.isspace() for c in host):
        raise ValueError(f"host:port with a port of 0 to {MAX_PORT}")
    return text


def optional_address(text: str) -> str:
    """Parses ``host:port``, which may be empty."""
    return address(text) if text else ""


def addresses(text: str) -> list[str]:
    """Parses addresses that are separated by commas."""
    return [address(part.strip()) for part in text.split(",") if part.strip()]


def drain_delay(text: str) -> float:
    """Parses a number of seconds."""
    allowed = f"a number of seconds from 0 to {MAX_DRAIN_DELAY_S:g}"
    try:
        value = float(text)
    except ValueError:
        raise ValueError(allowed) from None
    if not 0 <= value <= MAX_DRAIN_DELAY_S:
        raise ValueError(allowed)
    return value


def version_test(text: str) -> str:
    """Parses the name of a test of versions."""
    if text not in VERSION_TESTS:
        raise ValueError("one of " + ", ".join(VERSION_TESTS))
    return text


def log_level(text: str) -> str:
    """Parses a log level."""
    if text not in LEVELS:
        raise ValueError(f"one of {', '.join(LEVELS)}")
    return text


def text(value: str) -> str:
    """Takes any text."""
    return value


@dataclass(frozen=True, slots=True)
class SecretFlag(Flag):
    """A secret, read from a file or from the environment.

    The flag names the file, because other users can see the flags of a process.
    """

    @property
    def variable(self) -> str:
        """Environment variable that holds the secret itself."""
        return Flag.variable.fget(self).removesuffix("_FILE")

    @property
    def field(self) -> str:
        """Name of the field that takes the secret."""
        return Flag.field.fget(self).removesuffix("_file")

    def value(self, given: str | None, environment: Mapping[str, str]) -> Any:
        """Returns the secret without white space around it.

        :raises UserError: if the file cannot be read.
        """
        if given is None:
            return environment.get(self.variable, self.default or "").strip()
        try:
            return Path(given).read_text().strip()
        except (OSError, ValueError) as error:
            raise UserError(f"--{self.name}: {error}") from error


# Flags that every daemon has.
COMMON_FLAGS = (
    Flag("id", "Unique id of the process in the fleet.", name),
    Flag("zone", "Availability zone.", name),
    Flag("region", "Region.", optional_name, ""),
    Flag("metrics-listen", "Address for metrics and health.", address, "127.0.0.1:0"),
    Flag(
        "advertise",
        "Address that other processes connect to, if it is not the bound one.",
        optional_address,
        "",
    ),
    Flag("store", "Store addresses, comma separated.", addresses, ""),
    Flag("peers", "Routers to start from.", addresses, ""),
    Flag("log-level", "debug, info, warning or error.", log_level, "info"),
    Flag("ready-file", "File for the bound addresses.", text, ""),
)

# Flags of the connections between the fleet's processes.
TRANSPORT_FLAGS = (
    SecretFlag(
        "fleet-token-file",
        "File with the token that all processes share; empty admits any peer.",
        str,
        "",
    ),
    Flag("tls-certificate", "Certificate chain for peers, in PEM.", str, ""),
    Flag("tls-key", "Private key of the certificate, in PEM.", str, ""),
    Flag("tls-authority", "Certificates that peers must chain to, in PEM.", str, ""),
)


def transport_config(values: dict[str, Any]) -> dict[str, Any]:
    """Moves the values of :data:`TRANSPORT_FLAGS` into a ``TransportConfig``."""
    from heatherswitch.util.transport import TransportConfig

    names = {flag.field for flag in TRANSPORT_FLAGS}
    rest = {name: value for name, value in values.items() if name not in names}
    return rest | {"transport": TransportConfig(**{n: values[n] for n in names})}


class DaemonCommand(Command):
    """Checks the flags, then runs a program until SIGTERM or SIGINT."""

    flags: Sequence[Flag] = ()
    example = ""

    def __init__(self) -> None:
        self.options = [
            *(
                option(f.name, None, f"{f.description} [{f.variable}]", False)
                for f in self.flags
            ),
            option("help", "h", "Display this help."),
        ]
        self.help = (
            f"Example:\n  {self.example}\n\nEach flag can be set by the variable in "
            "brackets. Exit codes: 0 stopped; 2 wrong flag; 7 failed.\n"
        )
        super().__init__()

    def handle(self) -> int:
        """Runs the program."""
        try:
            values = self.values(os.environ)
            self.configure_logs(values)
            program = self.build(values)
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)
        try:
            asyncio.run(run_until_signal(program, values["ready_file"]))
        except Exception as error:
            log.exception("program failed")
            line = " ".join(str(error).split())
            self.io.write_error_line(f"error: {line}", type=Type.RAW)
            return int(ExitCode.FAILED)
        return int(ExitCode.OK)

    def values(self, environment: Mapping[str, str]) -> dict[str, Any]:
        """Returns the checked values by field name.

        :raises UserError: if a value is missing or not allowed.
        """
        return {f.field: f.value(self.option(f.name), environment) for f in self.flags}

    def configure_logs(self, values: Mapping[str, Any]) -> None:
        """Sends logs to standard error as JSON lines."""
        from heatherswitch.util.logs import configure_logs

        configure_logs(self.name or "", values["id"], values["log_level"])

    def build(self, values: dict[str, Any]) -> Program:
        """Builds the program from checked values.

        :raises UserError: if it cannot be built.
        """
        raise NotImplementedError


async def run_until_signal(program: Program, ready_file: str) -> None:
    """Starts a program, writes its addresses and stops it on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await program.start()
    if ready_file:
        write_ready_file(Path(ready_file), program.addresses)
    await stop.wait()
    log.info("stop requested")
    await program.stop()


def write_ready_file(path: Path, bound: Mapping[str, str]) -> None:
    """Writes the bound addresses as JSON; readers see the whole file or none."""
    with tempfile.NamedTemporaryFile(
        "w", dir=path.parent, prefix=path.name, delete=False
    ) as file:
        json.dump(dict(bound), file)
    os.replace(file.name, path)


def run_daemon(command: DaemonCommand, arguments: Sequence[str]) -> int:
    """Runs a daemon's command line and returns the exit code.

    Without a cleo application, because that one takes ``--version`` for itself.
    """
    # gRPC writes its own lines to standard error, which takes only JSON lines.
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
    output, errors = StreamOutput(sys.stdout), StreamOutput(sys.stderr)
    io = IO(ArgvInput([command.name or "", *arguments]), output, errors)
    if "--help" in arguments or "-h" in arguments:
        TextDescriptor().describe(io, command)
        return int(ExitCode.OK)
    try:
        return command.run(io)
    except CleoError as error:
        line = " ".join(str(error).split())
        errors.write_line(f"error: {line}; see {command.name} --help", type=Type.RAW)
        return int(ExitCode.USAGE)
