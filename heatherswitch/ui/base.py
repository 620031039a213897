"""Base of the operator commands: router, token, output form and errors."""

import json
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import yaml
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from heatherswitch.ui.client import Caller, OperatorClient
from heatherswitch.ui.errors import EXIT_CODES_HELP, ExitCode, UserError

ROUTER_VARIABLE = "HEATHERSWITCH_ROUTER"
TOKEN_VARIABLE = "HEATHERSWITCH_OPERATOR_TOKEN"

COMMON_OPTIONS = [
    option(
        "router", None, f"Operator address host:port (or {ROUTER_VARIABLE}).", False
    ),
    option("token-file", None, f"File with the token (or {TOKEN_VARIABLE}).", False),
    option("json", None, "Print JSON for programs."),
]

SELECTOR_OPTIONS = [
    option("service", None, "Service.", False),
    option("zone", None, "Availability zone.", False),
    option("workspace", None, "Workspace.", False),
    option("service-version", None, "Version of the service.", False),
]

DEADLINE_OPTION = option(
    "deadline", None, "Seconds until the move is done or taken back.", False
)


def examples(*lines: str) -> str:
    """Returns the help text of a command from its examples."""
    shown = "\n".join(f"  heatherswitch {line}" for line in lines)
    return f"Examples:\n{shown}\n\n{EXIT_CODES_HELP}\n"


class OperatorCommand(Command):
    """A command that calls the operator API.

    Subclasses implement ``run_command`` and ``show``.
    """

    options: Sequence[Any] = COMMON_OPTIONS
    # Replaced by tests.
    connect: Callable[[str, str], Caller] = OperatorClient

    def handle(self) -> int:
        """Runs the command and turns errors into one line."""
        try:
            answer, code = self.run_command(self._client())
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)
        if self.option("json"):
            self.print(json.dumps(answer, sort_keys=True))
        else:
            self.show(answer)
        return int(code)

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Calls the API and returns the answer and the exit code.

        :raises UserError: for a fault that ends the command.
        """
        raise NotImplementedError

    def show(self, answer: Any) -> None:
        """Prints an answer for people."""
        text = yaml.safe_dump(answer, sort_keys=False, default_flow_style=False)
        self.print(text.rstrip())

    def print(self, text: str) -> None:
        """Prints text as it is, without style tags."""
        self.io.write_line(text, type=Type.RAW)

    def selector(self) -> dict[str, str]:
        """Returns the selector of the options."""
        values = {
            "service": self.option("service"),
            "zone": self.option("zone"),
            "workspace": self.option("workspace"),
            "version": self.option("service-version"),
        }
        return {name: value for name, value in values.items() if value}

    def whole(self, name: str) -> int | None:
        """Returns an option that holds a whole number from 0.

        :raises UserError: if it is something else.
        """
        value = self.option(name)
        if value is None:
            return None
        if not (value.isascii() and value.isdigit()):
            raise UserError(f"--{name} {value!r} is not a whole number from 0")
        return int(value)

    def deadline(self) -> dict[str, float]:
        """Returns the body with the deadline, if one is given.

        :raises UserError: if it is not a number.
        """
        value = self.option("deadline")
        if value is None:
            return {}
        try:
            return {"deadline_s": float(value)}
        except ValueError as error:
            raise UserError(f"--deadline {value!r} is not seconds") from error

    def _client(self) -> Caller:
        address = self.option("router") or os.environ.get(ROUTER_VARIABLE, "")
        if not address:
            raise UserError(
                f"no router: give --router host:port or set {ROUTER_VARIABLE}"
            )
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit()):
            raise UserError(f"router {address!r} is not host:port")
        return type(self).connect(address, self._token())

    def _token(self) -> str:
        path = self.option("token-file")
        if not path:
            token = os.environ.get(TOKEN_VARIABLE, "")
        else:
            try:
                token = Path(path).read_text()
            except (OSError, ValueError) as error:
                raise UserError(f"token file {path}: {error}") from error
        token = token.strip()
        if not token:
            raise UserError(
                f"no token: set {TOKEN_VARIABLE} or give --token-file",
                ExitCode.UNAUTHORIZED,
            )
        if not token.isascii() or not token.isprintable() or " " in token:
            raise UserError("the token holds characters that a header cannot carry")
        return token


def parse_yaml(text: str, what: str) -> Any:
    """Parses YAML.

    :raises UserError: if it is not YAML.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise UserError(f"{what} is not YAML: {error}") from error


def read_nodes(path: str | None) -> dict[str, Any]:
    """Reads a settings file: a mapping from path to overrides, as ``export`` writes.

    :raises UserError: if the file cannot be read or has another form.
    """
    if not path:
        raise UserError("no file: give -f FILE")
    try:
        text = Path(path).read_text()
    except (OSError, ValueError) as error:
        raise UserError(f"file {path}: {error}") from error
    nodes = parse_yaml(text, f"file {path}")
    if isinstance(nodes, dict) and set(nodes) == {"nodes"}:
        nodes = nodes["nodes"]
    if not isinstance(nodes, dict) or not all(isinstance(key, str) for key in nodes):
        raise UserError(f"file {path} is not a mapping from path to overrides")
    return nodes
