"""Operator commands that create, list and remove what the settings tree names."""

import hashlib
import secrets
from typing import Any

from cleo.helpers import argument, option

from heatherswitch.fleet.settings import LEVELS, format_path, merge, parse_path
from heatherswitch.ui.base import COMMON_OPTIONS, OperatorCommand, examples
from heatherswitch.ui.client import Caller
from heatherswitch.ui.errors import ExitCode, UserError
from heatherswitch.ui.settings_commands import nested, parse_assignment

KEY_BYTES = 24

_NAME = argument("name", "Name, in lower-case letters, digits, '.', '_' and '-'.")
_VALUES = argument("values", "NAME=VALUE, the value in YAML.", True, multiple=True)
_SERVICE = option("service", None, "Service that the version belongs to.", False)


class _ResourceCommand(OperatorCommand):
    """Base of the commands over one level of the tree.

    Subclasses set ``level`` to a name in ``LEVELS``.
    """

    level: str

    def node_path(self) -> str:
        """Returns the path of the node that stands for the resource.

        :raises UserError: if the service of a version is missing.
        """
        parts = {self.level: self.argument("name")}
        if self.level == "version":
            parts["service"] = self.option("service")
            if not parts["service"]:
                raise UserError("no service: give --service NAME")
        return format_path(parts)


class _CreateCommand(_ResourceCommand):
    """Creates the node; refused when it exists."""

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Writes the node under the condition that it does not exist."""
        overrides, shown = self.overrides()
        for text in self.argument("values"):
            overrides = merge(overrides, nested(*parse_assignment(text)))
        body = {"overrides": overrides, "revision": 0}
        query = {"path": self.node_path()}
        return client.call("PUT", "/v1/settings", query, body) | shown, ExitCode.OK

    def overrides(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Returns the first overrides and what the answer shows beside."""
        return {}, {}

    def show(self, answer: Any) -> None:
        """Prints the revision."""
        name = self.argument("name")
        self.print(f"{self.level} {name} created at revision {answer['revision']}")


class _RemoveCommand(_ResourceCommand):
    """Removes all nodes that name the resource."""

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Removes the node and those below it in one transaction."""
        wanted = parse_path(self.node_path()).items()
        nodes = client.call("GET", "/v1/settings", {})["nodes"]
        paths = [path for path in nodes if wanted <= parse_path(path).items()]
        if not paths:
            raise UserError(f"no {self.level} {self.argument('name')!r}")
        body = {"nodes": dict.fromkeys(paths), "dry_run": False, "revision": None}
        return client.call("POST", "/v1/apply", {}, body), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints the removed nodes."""
        for path in answer["changed"]:
            self.print(f"removed {path}")


class _ListCommand(OperatorCommand):
    """Lists the names that nodes give at one level."""

    level: str

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the nodes."""
        nodes = client.call("GET", "/v1/settings", {})["nodes"]
        parsed = [parse_path(path) for path in nodes]
        levels = ("service", "version") if self.level == "version" else (self.level,)
        found = {
            "/".join(parts.get(level, "*") for level in levels)
            for parts in parsed
            if self.level in parts
        }
        return sorted(found), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one name a line."""
        for name in answer:
            self.print(name)


class WorkspaceCreateCommand(_CreateCommand):
    """Creates a workspace with a new API key."""

    name = "workspace create"
    level = "workspace"
    description = "Creates a workspace and prints its API key, which is not stored."
    arguments = [_NAME, _VALUES]
    options = COMMON_OPTIONS
    help = examples("workspace create buyer-7 share=2")

    def overrides(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Makes a key; the settings hold only its digest."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        return {"api_key_digests": [digest]}, {"api_key": key}

    def show(self, answer: Any) -> None:
        """Prints the revision and the key."""
        super().show(answer)
        self.print(f"API key: {answer['api_key']}")


def _commands(level: str, sample: str) -> list[type[OperatorCommand]]:
    """Builds the commands of one level that differ only in its name."""
    options = [*COMMON_OPTIONS, _SERVICE] if level == "version" else COMMON_OPTIONS
    create = {
        "name": f"{level} create",
        "description": f"Creates a {level} in the settings tree.",
        "arguments": [_NAME, _VALUES],
        "help": examples(f"{level} create {sample}"),
    }
    remove = {
        "name": f"{level} remove",
        "description": f"Removes a {level} and all nodes below it.",
        "arguments": [_NAME],
        "help": examples(f"{level} remove {sample.split()[0]}"),
    }
    listing = {
        "name": f"{level} list",
        "description": f"Lists each {level} that the settings tree names.",
        "help": examples(f"{level} list"),
    }
    shared = {"level": level, "options": options}
    made = [
        type(f"{level.title()}CreateCommand", (_CreateCommand,), create | shared),
        type(f"{level.title()}RemoveCommand", (_RemoveCommand,), remove | shared),
        type(
            f"{level.title()}ListCommand", (_ListCommand,), listing | {"level": level}
        ),
    ]
    return made[1:] if level == "workspace" else made


_SAMPLES = {
    "service": "ledger kind=plain",
    "zone": "hobart-a",
    "workspace": "buyer-7",
    "version": "v2 --service appraiser",
}

RESOURCE_COMMANDS: tuple[type[OperatorCommand], ...] = (
    WorkspaceCreateCommand,
    *(command for level in LEVELS for command in _commands(level, _SAMPLES[level])),
)
