"""Operator commands that create, list and remove services, zones, workspaces and versions."""

import hashlib
import secrets
from typing import Any

from cleo.helpers import argument, option

from heatherswitch.fleet.settings import LEVELS, format_path, merge, parse_path
from heatherswitch.ui.base import COMMON_OPTIONS, OperatorCommand, build_help
from heatherswitch.ui.client import ApiClient
from heatherswitch.ui.errors import ExitCode, UserError
from heatherswitch.ui.settings_commands import nest_value, parse_assignment

API_KEY_BYTES = 24

_NAME_ARGUMENT = argument(
    "name", "Name of lower-case letters, digits, '.', '_' and '-'."
)
_VALUES_ARGUMENT = argument(
    "values", "Setting as NAME=VALUE, with the value in YAML.", True, multiple=True
)
_SERVICE_OPTION = option(
    "service", None, "Name of the service that the version belongs to.", False
)


class _ResourceCommand(OperatorCommand):
    """Base of the commands for the resources at one level of the settings tree.

    Subclasses set ``level`` to a name in ``LEVELS``.
    """

    level: str

    def node_path(self) -> str:
        """Returns the path of the resource's node in the settings tree.

        :raises UserError: if the level is version and no service is given.
        """
        parts = {self.level: self.argument("name")}
        if self.level == "version":
            parts["service"] = self.option("service")
            if not parts["service"]:
                raise UserError("no service given: use --service NAME")
        return format_path(parts)


class _CreateCommand(_ResourceCommand):
    """Base of the commands that create a node; an existing node is not changed."""

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Writes the node with revision 0, which is refused if the node exists."""
        overrides, extra_result = self.initial_overrides()
        for text in self.argument("values"):
            overrides = merge(overrides, nest_value(*parse_assignment(text)))
        body = {"overrides": overrides, "revision": 0}
        query = {"path": self.node_path()}
        return client.request(
            "PUT", "/v1/settings", query, body
        ) | extra_result, ExitCode.OK

    def initial_overrides(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Returns overrides of the new node and values to add to the result."""
        return {}, {}

    def print_result(self, result: Any) -> None:
        """Prints the name of the resource and the revision."""
        name = self.argument("name")
        self.print(f"{self.level} {name} created at revision {result['revision']}")


class _RemoveCommand(_ResourceCommand):
    """Base of the commands that remove all nodes of a resource."""

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Removes all nodes whose path contains the resource, in one request.

        :raises UserError: if there is no such node.
        """
        resource = parse_path(self.node_path()).items()
        nodes = client.request("GET", "/v1/settings", {})["nodes"]
        paths = [path for path in nodes if resource <= parse_path(path).items()]
        if not paths:
            raise UserError(f"no {self.level} {self.argument('name')!r}")
        body = {"nodes": dict.fromkeys(paths), "dry_run": False, "revision": None}
        return client.request("POST", "/v1/apply", {}, body), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one line per removed node."""
        for path in result["changed"]:
            self.print(f"removed {path}")


class _ListCommand(OperatorCommand):
    """Base of the commands that list the resources at one level."""

    level: str

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads all nodes and collects the names at the level."""
        nodes = client.request("GET", "/v1/settings", {})["nodes"]
        parsed_paths = [parse_path(path) for path in nodes]
        levels = ("service", "version") if self.level == "version" else (self.level,)
        names = {
            "/".join(parts.get(level, "*") for level in levels)
            for parts in parsed_paths
            if self.level in parts
        }
        return sorted(names), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one name per line."""
        for name in result:
            self.print(name)


class WorkspaceCreateCommand(_CreateCommand):
    """Creates a workspace with a new API key."""

    name = "workspace create"
    level = "workspace"
    description = "Creates a workspace and prints its API key, which is not stored."
    arguments = [_NAME_ARGUMENT, _VALUES_ARGUMENT]
    options = COMMON_OPTIONS
    help = build_help("workspace create buyer-7 share=2")

    def initial_overrides(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Generates an API key, of which only the digest is stored."""
        key = secrets.token_urlsafe(API_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        return {"api_key_digests": [digest]}, {"api_key": key}

    def print_result(self, result: Any) -> None:
        """Prints the revision and the key."""
        super().print_result(result)
        self.print(f"API key: {result['api_key']}")


def _build_commands(level: str, example: str) -> list[type[OperatorCommand]]:
    """Builds the create, remove and list commands of one level.

    There is no create command for workspaces, see :class:`WorkspaceCreateCommand`.

    :param example: arguments of the create command in the help text.
    """
    options = (
        [*COMMON_OPTIONS, _SERVICE_OPTION] if level == "version" else COMMON_OPTIONS
    )
    create_attributes = {
        "name": f"{level} create",
        "description": f"Creates a {level} in the settings tree.",
        "arguments": [_NAME_ARGUMENT, _VALUES_ARGUMENT],
        "help": build_help(f"{level} create {example}"),
    }
    remove_attributes = {
        "name": f"{level} remove",
        "description": f"Removes a {level} and all of its nodes.",
        "arguments": [_NAME_ARGUMENT],
        "help": build_help(f"{level} remove {example.split()[0]}"),
    }
    list_attributes = {
        "name": f"{level} list",
        "description": f"Lists each {level} in the settings tree.",
        "help": build_help(f"{level} list"),
    }
    shared_attributes = {"level": level, "options": options}
    commands = [
        type(
            f"{level.title()}CreateCommand",
            (_CreateCommand,),
            create_attributes | shared_attributes,
        ),
        type(
            f"{level.title()}RemoveCommand",
            (_RemoveCommand,),
            remove_attributes | shared_attributes,
        ),
        type(
            f"{level.title()}ListCommand",
            (_ListCommand,),
            list_attributes | {"level": level},
        ),
    ]
    return commands[1:] if level == "workspace" else commands


_EXAMPLE_ARGUMENTS = {
    "service": "ledger kind=plain",
    "zone": "hobart-a",
    "workspace": "buyer-7",
    "version": "v2 --service appraiser",
}

RESOURCE_COMMANDS: tuple[type[OperatorCommand], ...] = (
    WorkspaceCreateCommand,
    *(
        command
        for level in LEVELS
        for command in _build_commands(level, _EXAMPLE_ARGUMENTS[level])
    ),
)
