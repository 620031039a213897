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
    examples,
    parse_yaml,
    read_nodes,
)
from heatherswitch.ui.client import Caller
from heatherswitch.ui.errors import ExitCode, UserError

FILE_OPTION = option("file", "f", "Settings file in YAML, as export writes it.", False)


class SetCommand(OperatorCommand):
    """Changes settings of one node."""

    name = "set"
    description = "Changes settings of one node of the tree."
    arguments = [
        argument("path", "Node, for example /service=ledger/zone=hobart-a."),
        argument("values", "NAME=VALUE, the value in YAML.", True, multiple=True),
    ]
    options = [
        *COMMON_OPTIONS,
        option("unset", None, "Name that inherits again.", False, multiple=True),
        option("revision", None, "Refuse unless the node is at this revision.", False),
    ]
    help = examples(
        "set /service=ledger limits.max_running=16",
        "set /workspace=buyer-7 share=2 --revision 341",
        "set /service=ledger --unset limits.max_running",
    )

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the node, changes it and writes it by compare-and-swap."""
        path = self.argument("path")
        changes = [parse_assignment(text) for text in self.argument("values")]
        unset = self.option("unset")
        if not changes and not unset:
            raise UserError("nothing to set: give NAME=VALUE or --unset NAME")
        held = client.call("GET", "/v1/settings", {})["nodes"].get(path, {})
        overrides = held.get("overrides") or {}
        for name, value in changes:
            overrides = merge(overrides, nested(name, value))
        for name in unset:
            overrides = _without(overrides, name.split("."))
        revision = self.whole("revision")
        if revision is None:
            revision = held.get("revision", 0)
        body = {"overrides": overrides, "revision": revision}
        answer = client.call("PUT", "/v1/settings", {"path": path}, body)
        return answer, ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints the revision."""
        self.print(f"accepted at revision {answer['revision']}")


class GetCommand(OperatorCommand):
    """Prints effective settings or the overrides of one node."""

    name = "get"
    description = "Prints effective settings, or the overrides of one node."
    arguments = [argument("name", "One setting, for example limits.max_running.", True)]
    options = [
        *COMMON_OPTIONS,
        *SELECTOR_OPTIONS,
        option("path", None, "Print only what this node overrides.", False),
    ]
    help = examples(
        "get --service ledger --zone hobart-a",
        "get routing.load_bound --service appraiser",
        "get --path /service=ledger",
    )

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the settings."""
        path = self.option("path")
        if path:
            nodes = client.call("GET", "/v1/settings", {})["nodes"]
            if path not in nodes:
                raise UserError(f"no node {path}; export lists all nodes")
            values = nodes[path]["overrides"] or {}
        else:
            values = client.call("GET", "/v1/effective", self.selector())["settings"]
        for part in (self.argument("name") or "").split("."):
            if part and (not isinstance(values, dict) or part not in values):
                raise UserError(f"no setting {self.argument('name')!r}")
            values = values[part] if part else values
        return values, ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints a scalar alone and objects in YAML."""
        if isinstance(answer, (dict, list)):
            super().show(answer)
        else:
            self.print(json.dumps(answer) if not isinstance(answer, str) else answer)


class ExplainCommand(OperatorCommand):
    """Prints each effective value and the node that it comes from."""

    name = "explain"
    description = "Prints every effective value and the node that sets it."
    options = [*COMMON_OPTIONS, *SELECTOR_OPTIONS]
    help = examples("explain --service appraiser --workspace buyer-7")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads the values with their sources."""
        return client.call("GET", "/v1/explain", self.selector()), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints one line a value."""
        for item in answer["values"]:
            value = json.dumps(item["value"])
            self.print(f"{item['name']} = {value}  ({item['source']})")


class DiffCommand(OperatorCommand):
    """Compares a settings file with the settings in force."""

    name = "diff"
    description = "Compares a settings file with the settings in force."
    options = [*COMMON_OPTIONS, FILE_OPTION]
    help = examples("diff -f settings.yaml")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Returns the differing values; exit code 1 when there are any."""
        wanted = read_nodes(self.option("file"))
        held = _overrides(client)
        differences = []
        for path in sorted(wanted.keys() | held.keys()):
            old = dict(flatten(held.get(path) or {}))
            new = dict(flatten(wanted.get(path) or {}))
            differences += [
                {"path": path, "name": n, "held": old.get(n), "file": new.get(n)}
                for n in sorted(old.keys() | new.keys())
                if old.get(n) != new.get(n)
            ]
        code = ExitCode.DIFFERENT if differences else ExitCode.OK
        return {"differences": differences}, code

    def show(self, answer: Any) -> None:
        """Prints one line a difference."""
        for item in answer["differences"]:
            held, wanted = json.dumps(item["held"]), json.dumps(item["file"])
            self.print(f"{item['path']} {item['name']}: {held} -> {wanted}")
        if not answer["differences"]:
            self.print("no differences")


class ApplyCommand(OperatorCommand):
    """Writes the nodes of a settings file."""

    name = "apply"
    description = "Writes the nodes of a settings file; checks all of them first."
    options = [
        *COMMON_OPTIONS,
        FILE_OPTION,
        option("dry-run", None, "Check and list the changes without writing."),
        option("prune", None, "Remove nodes that the file lacks."),
        option("revision", None, "Refuse nodes that changed after it.", False),
    ]
    help = examples(
        "apply -f settings.yaml --dry-run", "apply -f settings.yaml --prune"
    )

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Sends the nodes."""
        nodes = read_nodes(self.option("file"))
        if self.option("prune"):
            nodes = dict.fromkeys(_overrides(client)) | nodes
        body = {
            "nodes": nodes,
            "dry_run": self.option("dry-run"),
            "revision": self.whole("revision"),
        }
        return client.call("POST", "/v1/apply", {}, body), ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints the changed nodes."""
        for path in answer["changed"]:
            self.print(f"{'would change' if answer['dry_run'] else 'changed'} {path}")
        self.print(f"{len(answer['changed'])} nodes, revision {answer['revision']}")


class ExportCommand(OperatorCommand):
    """Prints all nodes as a settings file."""

    name = "export"
    description = "Prints all nodes as a settings file for diff and apply."
    help = examples("export > settings.yaml")

    def run_command(self, client: Caller) -> tuple[Any, ExitCode]:
        """Reads all nodes."""
        return {"nodes": _overrides(client)}, ExitCode.OK

    def show(self, answer: Any) -> None:
        """Prints YAML with sorted paths."""
        self.print(yaml.safe_dump(answer, sort_keys=True).rstrip())


def _overrides(client: Caller) -> dict[str, Any]:
    nodes = client.call("GET", "/v1/settings", {})["nodes"]
    return {path: node["overrides"] for path, node in nodes.items()}


def parse_assignment(text: str) -> tuple[str, Any]:
    """Splits NAME=VALUE.

    :raises UserError: if the text has another form.
    """
    name, separator, value = text.partition("=")
    if not separator or not name:
        raise UserError(f"{text!r} is not NAME=VALUE")
    return name, parse_yaml(value, f"the value of {name}")


def nested(name: str, value: Any) -> dict[str, Any]:
    """Returns the overrides that set one dotted name."""
    for part in reversed(name.split(".")):
        value = {part: value}
    return value


def _without(values: dict[str, Any], parts: list[str]) -> dict[str, Any]:
    name, *rest = parts
    if name not in values:
        raise UserError(f"the node does not set {name!r}")
    if not rest:
        return {key: value for key, value in values.items() if key != name}
    if not isinstance(values[name], dict):
        raise UserError(f"{name!r} has no part {'.'.join(rest)!r}")
    return values | {name: _without(values[name], rest)}
