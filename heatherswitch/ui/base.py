"""Base class and shared options of the operator commands."""

import json
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import yaml
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from heatherswitch.ui.client import ApiClient, OperatorClient
from heatherswitch.ui.errors import EXIT_CODES_HELP, ExitCode, UserError

# Environment variables that replace --router and --token-file.
ROUTER_VARIABLE = "HEATHERSWITCH_ROUTER"
TOKEN_VARIABLE = "HEATHERSWITCH_OPERATOR_TOKEN"

COMMON_OPTIONS = [
    option(
        "router",
        None,
        f"Operator address of a router, as host:port (or {ROUTER_VARIABLE}).",
        False,
    ),
    option(
        "token-file",
        None,
        f"File that holds the operator token (or {TOKEN_VARIABLE}).",
        False,
    ),
    option("json", None, "Print the result as JSON."),
]

SELECTOR_OPTIONS = [
    option("service", None, "Service.", False),
    option("zone", None, "Availability zone.", False),
    option("workspace", None, "Workspace.", False),
    option("service-version", None, "Version of the service.", False),
]

DEADLINE_OPTION = option(
    "deadline",
    None,
    "Time limit of the move in seconds; after it the move is rolled back.",
    False,
)


def build_help(*examples: str) -> str:
    """Returns the help text of a command.

    :param examples: command lines without the program name.
    """
    text = "\n".join(f"  heatherswitch {line}" for line in examples)
    return f"Examples:\n{text}\n\n{EXIT_CODES_HELP}\n"


class OperatorCommand(Command):
    """A command that calls the operator API.

    Subclasses implement ``run_command`` and may override ``print_result``.
    """

    options: Sequence[Any] = COMMON_OPTIONS
    # Called with the router's address and the token. Tests may replace it.
    client_factory: Callable[[str, str], ApiClient] = OperatorClient

    def handle(self) -> int:
        """Runs the command, prints the result or a one-line error, and returns the exit code."""
        try:
            result, code = self.run_command(self._client())
        except UserError as error:
            self.io.write_error_line(f"error: {error}", type=Type.RAW)
            return int(error.code)
        if self.option("json"):
            self.print(json.dumps(result, sort_keys=True))
        else:
            self.print_result(result)
        return int(code)

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Calls the API and returns the result to print and the exit code.

        :raises UserError: if the command fails.
        """
        raise NotImplementedError

    def print_result(self, result: Any) -> None:
        """Prints the result in readable form, by default as YAML."""
        text = yaml.safe_dump(result, sort_keys=False, default_flow_style=False)
        self.print(text.rstrip())

    def print(self, text: str) -> None:
        """Prints text without interpreting style tags."""
        self.io.write_line(text, type=Type.RAW)

    def selector_query(self) -> dict[str, str]:
        """Returns the query parameters for the selector options that are given."""
        values = {
            "service": self.option("service"),
            "zone": self.option("zone"),
            "workspace": self.option("workspace"),
            "version": self.option("service-version"),
        }
        return {name: value for name, value in values.items() if value}

    def integer_option(self, name: str) -> int | None:
        """Returns the value of an option that takes an integer >= 0; None if not given.

        :raises UserError: if the value is not such an integer.
        """
        value = self.option(name)
        if value is None:
            return None
        if not (value.isascii() and value.isdigit()):
            raise UserError(f"--{name} {value!r} is not an integer >= 0")
        return int(value)

    def deadline_body(self) -> dict[str, float]:
        """Returns a request body with the deadline; an empty one if none is given.

        :raises UserError: if the deadline is not a number.
        """
        value = self.option("deadline")
        if value is None:
            return {}
        try:
            return {"deadline_s": float(value)}
        except ValueError as error:
            raise UserError(
                f"--deadline {value!r} is not a number of seconds"
            ) from error

    def _client(self) -> ApiClient:
        """Returns a client for the router that the options or the environment name."""
        address = self.option("router") or os.environ.get(ROUTER_VARIABLE, "")
        if not address:
            raise UserError(
                f"no router given: use --router host:port or set {ROUTER_VARIABLE}"
            )
        host, _, port = address.rpartition(":")
        if not host or not (port.isascii() and port.isdigit()):
            raise UserError(f"router {address!r} is not host:port")
        return type(self).client_factory(address, self._token())

    def _token(self) -> str:
        """Returns the operator token from the token file or the environment."""
        path = self.option("token-file")
        if not path:
            token = os.environ.get(TOKEN_VARIABLE, "")
        else:
            try:
                token = Path(path).read_text()
            except (OSError, ValueError) as error:
                raise UserError(f"cannot read token file {path}: {error}") from error
        token = token.strip()
        if not token:
            raise UserError(
                f"no token given: set {TOKEN_VARIABLE} or use --token-file",
                ExitCode.UNAUTHORIZED,
            )
        if not token.isascii() or not token.isprintable() or " " in token:
            raise UserError(
                "the token contains characters that are not allowed in a header"
            )
        return token


def parse_yaml(text: str, source: str) -> Any:
    """Parses YAML.

    :param source: where the text comes from, for the error message.
    :raises UserError: if the text is not valid YAML.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise UserError(f"{source} is not valid YAML: {error}") from error


def read_settings_file(path: str | None) -> dict[str, Any]:
    """Reads a settings file and returns the overrides by node path.

    The mapping may be the value of a top-level key ``nodes``, as ``export`` writes it.

    :raises UserError: if no file is given, or it cannot be read or is not such a mapping.
    """
    if not path:
        raise UserError("no file given: use -f FILE")
    try:
        text = Path(path).read_text()
    except (OSError, ValueError) as error:
        raise UserError(f"cannot read file {path}: {error}") from error
    nodes = parse_yaml(text, f"file {path}")
    if isinstance(nodes, dict) and set(nodes) == {"nodes"}:
        nodes = nodes["nodes"]
    if not isinstance(nodes, dict) or not all(isinstance(key, str) for key in nodes):
        raise UserError(f"file {path} is not a mapping from node path to overrides")
    return nodes
