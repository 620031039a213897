"""Command line of the daemons: flags, environment variables, signals and ready file."""

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
# Allowed values of --version-test.
VERSION_TESTS = ("sequential", "threshold", "fixed")
# Upper limit of --drain-delay-s, in seconds.
MAX_DRAIN_DELAY_S = 3600.0

# Limits of --memory-mb, in megabytes. Python and gRPC alone take about 60.
MIN_MEMORY_MB = 128.0
MAX_MEMORY_MB = 1_000_000.0

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class Daemon(Protocol):
    """A server that runs until it is stopped."""

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listener name to the bound ``host:port``; valid after ``start``."""

    async def start(self) -> None:
        """Binds the listeners and starts to serve."""

    async def stop(self) -> None:
        """Shuts down gracefully; returns when the shutdown is complete."""


@dataclass(frozen=True, slots=True)
class Flag:
    """A command-line flag that can also be set by an environment variable.

    :param name: name without the leading dashes, for example ``peer-listen``.
    :param description: help text.
    :param parse: converts the text to the value; raises ``ValueError`` with a
        description of the allowed values.
    :param default: text to parse when the flag is not set; None makes it required.
    """

    name: str
    description: str
    parse: Callable[[str], Any]
    default: str | None = None

    @property
    def variable(self) -> str:
        """Name of the environment variable that sets the flag."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self) -> str:
        """Name of the field in the daemon's configuration."""
        return self.name.replace("-", "_")

    def resolve(self, given: str | None, environment: Mapping[str, str]) -> Any:
        """Returns the parsed value of the flag, else of the variable, else the default.

        :param given: text of the flag; None if it is not on the command line.
        :raises UserError: if the value is missing or invalid.
        """
        text = given if given is not None else environment.get(self.variable)
        text = text if text is not None else self.default
        if text is None:
            raise UserError(f"--{self.name} is missing (or set {self.variable})")
        try:
            return self.parse(text)
        except ValueError as error:
            raise UserError(f"--{self.name} {text!r} is not {error}") from error


def parse_name(text: str) -> str:
    """Parses an id or a name.

    :raises ValueError: if it is not 1 to 63 letters, digits, '.', '_' and '-', or starts
        with one of the latter three.
    """
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError("a name of letters, digits, '.', '_' and '-'")
    return text


def parse_optional_name(text: str) -> str:
    """Parses a name that may be empty.

    :raises ValueError: if it is not a name.
    """
    return parse_name(text) if text else ""


def parse_address(text: str) -> str:
    """Parses ``host:port``; a listener on port 0 takes a free port.

    :raises ValueError: if it is not an address.
    """
    host, _, port = text.rpartition(":")
    valid = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not host or not valid or any(c.isspace() for c in host):
        raise ValueError(f"host:port with a port of 0 to {MAX_PORT}")
    return text


def parse_optional_address(text: str) -> str:
    """Parses ``host:port``, which may be empty.

    :raises ValueError: if it is not an address.
    """
    return parse_address(text) if text else ""


def parse_addresses(text: str) -> list[str]:
    """Parses a comma-separated list of addresses, which may be empty.

    :raises ValueError: if a part is not an address.
    """
    return [parse_address(part.strip()) for part in text.split(",") if part.strip()]


def parse_drain_delay(text: str) -> float:
    """Parses a drain delay, in seconds.

    :raises ValueError: if it is not a number from 0 to ``MAX_DRAIN_DELAY_S``.
    """
    allowed = f"a number of seconds from 0 to {MAX_DRAIN_DELAY_S:g}"
    try:
        value = float(text)
    except ValueError:
        raise ValueError(allowed) from None
    if not 0 <= value <= MAX_DRAIN_DELAY_S:
        raise ValueError(allowed)
    return value


def parse_memory(text: str) -> float:
    """Parses the memory of a process, in megabytes.

    :raises ValueError: if it is not a number from ``MIN_MEMORY_MB`` to ``MAX_MEMORY_MB``.
    """
    allowed = f"a number of megabytes from {MIN_MEMORY_MB:g} to {MAX_MEMORY_MB:g}"
    try:
        value = float(text)
    except ValueError:
        raise ValueError(allowed) from None
    if not MIN_MEMORY_MB <= value <= MAX_MEMORY_MB:
        raise ValueError(allowed)
    return value


def parse_version_test(text: str) -> str:
    """Parses the name of a statistical test of starting versions.

    :raises ValueError: if it is not in ``VERSION_TESTS``.
    """
    if text not in VERSION_TESTS:
        raise ValueError("one of " + ", ".join(VERSION_TESTS))
    return text


def parse_log_level(text: str) -> str:
    """Parses a log level.

    :raises ValueError: if it is not in ``LEVELS``.
    """
    if text not in LEVELS:
        raise ValueError(f"one of {', '.join(LEVELS)}")
    return text


def parse_text(text: str) -> str:
    """Returns the text unchanged; any text is allowed."""
    return text


@dataclass(frozen=True, slots=True)
class SecretFlag(Flag):
    """A flag for a secret that is read from a file or from the environment.

    The flag takes the path of the file, since other users of the VM can see the command
    line of a process.
    """

    @property
    def variable(self) -> str:
        """Name of the environment variable that holds the secret itself, not a path."""
        return Flag.variable.fget(self).removesuffix("_FILE")

    @property
    def field(self) -> str:
        """Name of the field for the secret in the daemon's configuration."""
        return Flag.field.fget(self).removesuffix("_file")

    def resolve(self, given: str | None, environment: Mapping[str, str]) -> Any:
        """Returns the secret without leading and trailing white space.

        :param given: path of the file; None reads the environment variable.
        :raises UserError: if the file cannot be read.
        """
        if given is None:
            return environment.get(self.variable, self.default or "").strip()
        try:
            return Path(given).read_text().strip()
        except (OSError, ValueError) as error:
            raise UserError(f"--{self.name}: cannot read file: {error}") from error


# Flags of all daemons.
COMMON_FLAGS = (
    Flag("id", "Id of the process, unique in the fleet.", parse_name),
    Flag("zone", "Availability zone of the process.", parse_name),
    Flag("region", "Region.", parse_optional_name, ""),
    Flag(
        "metrics-listen",
        "Address to listen on for metrics and health checks.",
        parse_address,
        "127.0.0.1:0",
    ),
    Flag(
        "advertise",
        "Address that other processes connect to, if it differs from the bound address.",
        parse_optional_address,
        "",
    ),
    Flag("store", "Addresses of the store, separated by commas.", parse_addresses, ""),
    Flag(
        "peers",
        "Addresses of routers to contact first, separated by commas.",
        parse_addresses,
        "",
    ),
    Flag(
        "log-level",
        "Log level: debug, info, warning or error.",
        parse_log_level,
        "info",
    ),
    Flag(
        "ready-file",
        "File to write the bound addresses to once started.",
        parse_text,
        "",
    ),
)

# Flags for the connections between processes of the fleet.
TRANSPORT_FLAGS = (
    SecretFlag(
        "fleet-token-file",
        "File that holds the token shared by all processes; without it any peer is admitted.",
        str,
        "",
    ),
    Flag(
        "tls-certificate",
        "File with the certificate chain to present to peers, in PEM.",
        str,
        "",
    ),
    Flag("tls-key", "File with the private key of the certificate, in PEM.", str, ""),
    Flag(
        "tls-authority",
        "File with the CA certificates that peers' certificates must chain to, in PEM.",
        str,
        "",
    ),
)


def transport_config(values: dict[str, Any]) -> dict[str, Any]:
    """Replaces the values of :data:`TRANSPORT_FLAGS` by one ``TransportConfig``.

    :returns: a new mapping with the configuration under ``transport``.
    """
    from heatherswitch.util.transport import TransportConfig

    fields = {flag.field for flag in TRANSPORT_FLAGS}
    others = {name: value for name, value in values.items() if name not in fields}
    return others | {"transport": TransportConfig(**{n: values[n] for n in fields})}


class DaemonCommand(Command):
    """Parses the flags, then runs a daemon until SIGTERM or SIGINT.

    Subclasses set ``flags`` and ``example`` and implement ``build``.
    """

    flags: Sequence[Flag] = ()
    example = ""

    def __init__(self) -> None:
        self.options = [
            *(
                option(f.name, None, f"{f.description} [{f.variable}]", False)
                for f in self.flags
            ),
            option("help", "h", "Print this help."),
        ]
        self.help = (
            f"Example:\n  {self.example}\n\nEach flag can also be set by the environment "
            "variable in brackets. Exit codes: 0 stopped; 2 invalid flag; 7 failed.\n"
        )
        super().__init__()

    def handle(self) -> int:
        """Runs the daemon and returns the exit code; prints an error as one line."""
        try:
            values = self.resolve_flags(os.environ)
            self.configure_logs(values)
            daemon = self.build(values)
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)
        try:
            asyncio.run(run_until_signal(daemon, values["ready_file"]))
        except Exception as error:
            log.exception("daemon failed")
            line = " ".join(str(error).split())
            self.io.write_error_line(f"error: {line}", type=Type.RAW)
            return int(ExitCode.FAILED)
        return int(ExitCode.OK)

    def resolve_flags(self, environment: Mapping[str, str]) -> dict[str, Any]:
        """Returns the parsed values of all flags by field name.

        :raises UserError: if a value is missing or invalid.
        """
        return {
            f.field: f.resolve(self.option(f.name), environment) for f in self.flags
        }

    def configure_logs(self, values: Mapping[str, Any]) -> None:
        """Configures logging as JSON lines on standard error."""
        from heatherswitch.util.logs import configure_logs

        configure_logs(self.name or "", values["id"], values["log_level"])

    def build(self, values: dict[str, Any]) -> Daemon:
        """Builds the daemon without starting it.

        :param values: parsed values of the flags, by field name.
        :raises UserError: if the values do not fit together.
        """
        raise NotImplementedError


async def run_until_signal(daemon: Daemon, ready_file: str) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.

    SIGHUP has no effect: a daemon reads its settings at the start.

    :param ready_file: path to write the bound addresses to; empty writes no file.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, log_hangup)
    await daemon.start()
    if ready_file:
        write_ready_file(Path(ready_file), daemon.addresses)
    await stop.wait()
    log.info("received a stop signal; shutting down")
    await daemon.stop()


def log_hangup() -> None:
    """Handles SIGHUP, whose default action would end the process and its requests."""
    log.info("SIGHUP ignored; restart the daemon to change its settings")


def write_ready_file(path: Path, bound_addresses: Mapping[str, str]) -> None:
    """Writes the bound addresses as JSON.

    The file is moved into place, so that readers never see a partial one.
    """
    with tempfile.NamedTemporaryFile(
        "w", dir=path.parent, prefix=path.name, delete=False
    ) as file:
        json.dump(dict(bound_addresses), file)
    os.replace(file.name, path)


def run_daemon(command: DaemonCommand, arguments: Sequence[str]) -> int:
    """Runs a daemon's command line and returns the exit code.

    The command runs without a cleo application, which would reserve ``--version``.
    """
    # Standard error carries only JSON lines, and gRPC would write plain text to it.
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
