"""Operator commands that read and change settings."""

import json
from typing import Any

import yaml
from cleo.helpers import argument, option

from heatherswitch.fleet.settings import flatten, merge
from heatherswitch.ui.base import (
    COMMON_OPTIONS,
    SELECTOR_OPTIONS,
    OperatorCommand,
    build_help,
    parse_yaml,
    read_settings_file,
)
from heatherswitch.ui.client import ApiClient
from heatherswitch.ui.errors import ExitCode, UserError

FILE_OPTION = option(
    "file", "f", "Settings file in YAML, in the format of export.", False
)


class SetCommand(OperatorCommand):
    """Changes settings of one node of the settings tree."""

    name = "set"
    description = "Changes settings of one node of the settings tree."
    arguments = [
        argument("path", "Node path, for example /service=ledger/zone=hobart-a."),
        argument(
            "values",
            "Setting as NAME=VALUE, with the value in YAML.",
            True,
            multiple=True,
        ),
    ]
    options = [
        *COMMON_OPTIONS,
        option(
            "unset",
            None,
            "Setting to remove from the node, so that it is inherited.",
            False,
            multiple=True,
        ),
        option(
            "revision", None, "Change the node only if it has this revision.", False
        ),
    ]
    help = build_help(
        "set /service=ledger limits.max_running=16",
        "set /workspace=buyer-7 share=2 --revision 341",
        "set /service=ledger --unset limits.max_running",
    )

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the node, changes it and writes it if its revision is unchanged.

        :raises UserError: if nothing is given to change, or a request fails.
        """
        path = self.argument("path")
        changes = [parse_assignment(text) for text in self.argument("values")]
        unset = self.option("unset")
        if not changes and not unset:
            raise UserError("nothing to change: give NAME=VALUE or --unset NAME")
        node = client.request("GET", "/v1/settings", {})["nodes"].get(path, {})
        overrides = node.get("overrides") or {}
        for name, value in changes:
            overrides = merge(overrides, nest_value(name, value))
        for name in unset:
            overrides = _remove_override(overrides, name.split("."))
        revision = self.integer_option("revision")
        if revision is None:
            revision = node.get("revision", 0)
        body = {"overrides": overrides, "revision": revision}
        result = client.request("PUT", "/v1/settings", {"path": path}, body)
        return result, ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints the revision of the change."""
        self.print(f"accepted at revision {result['revision']}")


class GetCommand(OperatorCommand):
    """Prints effective settings or the overrides of one node."""

    name = "get"
    description = "Prints effective settings, or the overrides of one node."
    arguments = [
        argument(
            "name",
            "Setting to print, for example limits.max_running; without it, all.",
            True,
        )
    ]
    options = [
        *COMMON_OPTIONS,
        *SELECTOR_OPTIONS,
        option("path", None, "Print only the overrides of this node.", False),
    ]
    help = build_help(
        "get --service ledger --zone hobart-a",
        "get routing.load_bound --service appraiser",
        "get --path /service=ledger",
    )

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the effective settings, or the overrides of one node.

        :raises UserError: if the node or the setting does not exist.
        """
        path = self.option("path")
        if path:
            nodes = client.request("GET", "/v1/settings", {})["nodes"]
            if path not in nodes:
                raise UserError(f"no node {path}; export lists all nodes")
            values = nodes[path]["overrides"] or {}
        else:
            values = client.request("GET", "/v1/effective", self.selector_query())[
                "settings"
            ]
        for part in (self.argument("name") or "").split("."):
            if part and (not isinstance(values, dict) or part not in values):
                raise UserError(f"no setting {self.argument('name')!r}")
            values = values[part] if part else values
        return values, ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints objects and lists as YAML, strings unquoted, other values as JSON."""
        if isinstance(result, (dict, list)):
            super().print_result(result)
        else:
            self.print(json.dumps(result) if not isinstance(result, str) else result)


class ExplainCommand(OperatorCommand):
    """Prints each effective value and the node that sets it."""

    name = "explain"
    description = "Prints each effective value and the node that sets it."
    options = [*COMMON_OPTIONS, *SELECTOR_OPTIONS]
    help = build_help("explain --service appraiser --workspace buyer-7")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the effective values with their sources."""
        return client.request("GET", "/v1/explain", self.selector_query()), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one line per value."""
        for item in result["values"]:
            value = json.dumps(item["value"])
            self.print(f"{item['name']} = {value}  ({item['source']})")


class DiffCommand(OperatorCommand):
    """Compares a settings file with the stored settings."""

    name = "diff"
    description = "Compares a settings file with the stored settings."
    options = [*COMMON_OPTIONS, FILE_OPTION]
    help = build_help("diff -f settings.yaml")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Returns the values that differ; the exit code is 1 if there are any."""
        file_nodes = read_settings_file(self.option("file"))
        stored_nodes = _fetch_overrides(client)
        differences = []
        for path in sorted(file_nodes.keys() | stored_nodes.keys()):
            old = dict(flatten(stored_nodes.get(path) or {}))
            new = dict(flatten(file_nodes.get(path) or {}))
            differences += [
                {"path": path, "name": n, "held": old.get(n), "file": new.get(n)}
                for n in sorted(old.keys() | new.keys())
                if old.get(n) != new.get(n)
            ]
        code = ExitCode.DIFFERENT if differences else ExitCode.OK
        return {"differences": differences}, code

    def print_result(self, result: Any) -> None:
        """Prints one line per difference: the stored value, then the one in the file."""
        for item in result["differences"]:
            stored, in_file = json.dumps(item["held"]), json.dumps(item["file"])
            self.print(f"{item['path']} {item['name']}: {stored} -> {in_file}")
        if not result["differences"]:
            self.print("no differences")


class ApplyCommand(OperatorCommand):
    """Writes the nodes of a settings file."""

    name = "apply"
    description = "Checks all nodes of a settings file, then writes them."
    options = [
        *COMMON_OPTIONS,
        FILE_OPTION,
        option(
            "dry-run",
            None,
            "Check the nodes and list the changes without writing them.",
        ),
        option("prune", None, "Remove nodes that are not in the file."),
        option(
            "revision", None, "Refuse nodes that changed after this revision.", False
        ),
    ]
    help = build_help(
        "apply -f settings.yaml --dry-run", "apply -f settings.yaml --prune"
    )

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Sends the nodes of the file and, with --prune, removals of all others."""
        nodes = read_settings_file(self.option("file"))
        if self.option("prune"):
            nodes = dict.fromkeys(_fetch_overrides(client)) | nodes
        body = {
            "nodes": nodes,
            "dry_run": self.option("dry-run"),
            "revision": self.integer_option("revision"),
        }
        return client.request("POST", "/v1/apply", {}, body), ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints one line per changed node, and their number."""
        for path in result["changed"]:
            self.print(f"{'would change' if result['dry_run'] else 'changed'} {path}")
        self.print(f"{len(result['changed'])} nodes, revision {result['revision']}")


class ExportCommand(OperatorCommand):
    """Prints all nodes as a settings file."""

    name = "export"
    description = "Prints all nodes as a settings file for diff and apply."
    help = build_help("export > settings.yaml")

    def run_command(self, client: ApiClient) -> tuple[Any, ExitCode]:
        """Reads the overrides of all nodes."""
        return {"nodes": _fetch_overrides(client)}, ExitCode.OK

    def print_result(self, result: Any) -> None:
        """Prints YAML sorted by path."""
        self.print(yaml.safe_dump(result, sort_keys=True).rstrip())


def _fetch_overrides(client: ApiClient) -> dict[str, Any]:
    """Returns the overrides of all nodes by node path."""
    nodes = client.request("GET", "/v1/settings", {})["nodes"]
    return {path: node["overrides"] for path, node in nodes.items()}


def parse_assignment(text: str) -> tuple[str, Any]:
    """Parses NAME=VALUE into the name and the value, which is in YAML.

    :raises UserError: if the text has another form or the value is not valid YAML.
    """
    name, separator, value = text.partition("=")
    if not separator or not name:
        raise UserError(f"{text!r} is not NAME=VALUE")
    return name, parse_yaml(value, f"the value of {name}")


def nest_value(name: str, value: Any) -> dict[str, Any]:
    """Returns nested overrides that set the value of a dotted name."""
    for part in reversed(name.split(".")):
        value = {part: value}
    return value


def _remove_override(values: dict[str, Any], parts: list[str]) -> dict[str, Any]:
    """Returns a copy of the overrides without one setting.

    :param parts: parts of the dotted name of the setting.
    :raises UserError: if the node does not set it.
    """
    name, *rest = parts
    if name not in values:
        raise UserError(f"the node does not set {name!r}")
    if not rest:
        return {key: value for key, value in values.items() if key != name}
    if not isinstance(values[name], dict):
        raise UserError(f"{name!r} has no setting {'.'.join(rest)!r}")
    return values | {name: _remove_override(values[name], rest)}
