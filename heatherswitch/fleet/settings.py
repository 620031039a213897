"""The settings tree: node paths, validation, effective values and their sources."""

import json
import math
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cache
from itertools import product
from pathlib import Path
from typing import Any

import yaml
from jsonschema import Draft202012Validator

from heatherswitch.fleet.schema import NODE_SCHEMA

# Levels of the tree, from the root down. The root itself is the platform.
LEVELS = ("service", "zone", "workspace", "version")
ROOT_PATH = "/"
# Prefix of the store keys of nodes; the rest of a key is the node path.
SETTINGS_PREFIX = "heatherswitch/config/settings"
# Number of selectors whose effective settings are cached.
EFFECTIVE_CACHE_SIZE = 4096
DEFAULT_SOURCE = "default"

_VALIDATOR = Draft202012Validator(NODE_SCHEMA)


class SettingsError(Exception):
    """A path or a value of the settings tree is invalid.

    :param path: node path, for example ``/service=ledger``.
    :param name: dotted name of the setting, or an empty string.
    """

    def __init__(self, path: str, name: str, message: str) -> None:
        self.path = path
        self.name = name
        place = f"{path} {name}".strip()
        super().__init__(f"{place}: {message}")


@dataclass(frozen=True, slots=True)
class Selector:
    """Names for which effective settings are computed; empty where none is given."""

    service: str = ""
    zone: str = ""
    workspace: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """An effective value and its source.

    :param name: dotted name of the setting.
    :param source: path of the node that sets it, or ``default``.
    """

    name: str
    value: Any
    source: str


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Priority and deadline of a request class.

    :param priority: priority; 0 is served first.
    :param deadline_s: time limit from arrival to the end of the response, in seconds.
    """

    name: str
    priority: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a plain service.

    :param path: path prefix.
    :param idempotent: whether repeating a request has no further effect.
    :param request_class: name of the class; empty for the default one.
    """

    path: str
    methods: tuple[str, ...]
    idempotent: bool
    request_class: str


@cache
def default_settings() -> dict[str, Any]:
    """Returns the defaults from ``config_default.yaml``; cached, not to be changed."""
    path = Path(__file__).parent.parent / "config_default.yaml"
    return yaml.safe_load(path.read_text())


def parse_path(path: str) -> dict[str, str]:
    """Parses a node path.

    :returns: level name to value, in the order of :data:`LEVELS`.
    :raises SettingsError: if a level is unknown, repeated or out of order.
    """
    if path == ROOT_PATH:
        return {}
    if not path.startswith("/"):
        raise SettingsError(path, "", "a path starts with '/'")
    parts: dict[str, str] = {}
    last = -1
    for part in path[1:].split("/"):
        level, separator, value = part.partition("=")
        if level not in LEVELS or not separator or not value:
            raise SettingsError(
                path, "", f"{part!r} is not <level>=<name> with a level of {LEVELS}"
            )
        if LEVELS.index(level) <= last:
            raise SettingsError(path, "", f"levels must be in the order {LEVELS}")
        last = LEVELS.index(level)
        parts[level] = value
    return parts


def format_path(parts: Mapping[str, str]) -> str:
    """Returns the node path for names by level; empty names are left out."""
    return "/" + "/".join(f"{k}={parts[k]}" for k in LEVELS if parts.get(k))


def node_key(path: str) -> str:
    """Returns the store key of a node."""
    return SETTINGS_PREFIX + path


def validate_node(path: str, overrides: Any) -> None:
    """Checks a node path and the overrides of the node.

    :raises SettingsError: with path, name, value and what is allowed.
    """
    parse_path(path)
    error = next(iter(sorted(_VALIDATOR.iter_errors(overrides), key=str)), None)
    if error is not None:
        name = ".".join(str(part) for part in error.absolute_path)
        raise SettingsError(path, name, _describe_error(error))
    for name, value in flatten(overrides):
        # The JSON parser accepts NaN, which passes the minimum and maximum checks.
        if isinstance(value, float) and not math.isfinite(value):
            raise SettingsError(path, name, f"{value!r} is not a finite number")


def _describe_error(error) -> str:
    if error.validator == "additionalProperties":
        known = ", ".join(error.schema["properties"])
        return f"{error.message}; allowed: {known}"
    if error.validator in ("minimum", "maximum"):
        low, high = error.schema["minimum"], error.schema["maximum"]
        return f"{error.instance!r} is not allowed; allowed: {low} to {high}"
    if error.validator == "enum":
        choices = ", ".join(error.schema["enum"])
        return f"{error.instance!r} is not allowed; allowed: {choices}"
    return error.message


def merge(base: Mapping[str, Any], overrides: Mapping[str, Any]) -> dict[str, Any]:
    """Returns ``base`` with ``overrides`` applied; only nested objects are merged."""
    merged = dict(base)
    for name, value in overrides.items():
        inherited = merged.get(name)
        if isinstance(value, dict) and isinstance(inherited, dict):
            merged[name] = merge(inherited, value)
        else:
            merged[name] = value
    return merged


def flatten(values: Mapping[str, Any], prefix: str = "") -> Iterable[tuple[str, Any]]:
    """Yields the dotted name and value of each setting that is not an object."""
    for name, value in values.items():
        if isinstance(value, dict):
            yield from flatten(value, f"{prefix}{name}.")
        else:
            yield prefix + name, value


class Settings:
    """Effective settings of one selector."""

    __slots__ = ("_classes", "_routes", "_values")

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values
        self._classes = {
            name: RequestClass(
                name, value.get("priority", 5), value.get("deadline_s", 30.0)
            )
            for name, value in values["classes"].items()
        }
        self._routes = tuple(
            Route(r["path"], tuple(r["methods"]), r["idempotent"], r.get("class", ""))
            for r in values["routes"]
        )

    @property
    def values(self) -> dict[str, Any]:
        """All values as nested dicts, which callers must not change."""
        return self._values

    @property
    def is_engine(self) -> bool:
        """True when the service's backend servers are model engines."""
        return self._values["kind"] == "engine"

    @property
    def routes(self) -> tuple[Route, ...]:
        """Routes of a plain service."""
        return self._routes

    def get(self, name: str) -> Any:
        """Returns a value by its dotted name.

        :raises KeyError: if no such setting exists.
        """
        value: Any = self._values
        for part in name.split("."):
            value = value[part]
        return value

    def request_class(self, name: str = "") -> RequestClass | None:
        """Returns the class of this name, or the default class for an empty name.

        :returns: None if there is no such class.
        """
        return self._classes.get(name or self._values["default_class"])

    def route(self, method: str, path: str) -> Route | None:
        """Returns the matching route with the longest path prefix, or None."""
        best = None
        for route in self._routes:
            covers = path == route.path or path.startswith(route.path.rstrip("/") + "/")
            longer = best is None or len(route.path) > len(best.path)
            if covers and method in route.methods and longer:
                best = route
        return best


class NodeMap(Mapping[str, dict[str, Any]]):
    """Overrides by node path, stored as JSON and parsed on access to save memory."""

    __slots__ = ("_json",)

    def __init__(self) -> None:
        self._json: dict[str, bytes] = {}

    def __getitem__(self, path: str) -> dict[str, Any]:
        return json.loads(self._json[path])

    def __contains__(self, path: object) -> bool:
        return path in self._json

    def __iter__(self) -> Iterator[str]:
        return iter(self._json)

    def __len__(self) -> int:
        return len(self._json)

    def put(self, path: str, value: bytes) -> None:
        """Stores the JSON form of a node."""
        self._json[path] = value

    def remove(self, path: str) -> None:
        """Removes a node if it exists."""
        self._json.pop(path, None)


class SettingsTree:
    """All nodes of the settings tree, with a cache of effective settings."""

    __slots__ = ("_effective", "_names_by_level", "_nodes", "_workspaces_by_digest")

    def __init__(self) -> None:
        self._nodes = NodeMap()
        self._effective: dict[Selector, Settings] = {}
        # API key digest to workspace. A digest takes half the memory as bytes.
        self._workspaces_by_digest: dict[bytes, str] = {}
        # Cache: level to its sorted names, as each request needs the services.
        self._names_by_level: dict[str, list[str]] = {}

    @classmethod
    def from_nodes(cls, nodes: Mapping[str, dict[str, Any]]) -> "SettingsTree":
        """Builds a tree from overrides by node path, and validates them.

        :raises SettingsError: if a node is invalid.
        """
        tree = cls()
        for path, overrides in nodes.items():
            validate_node(path, overrides)
            tree.set_node(path, overrides)
        return tree

    @property
    def nodes(self) -> Mapping[str, dict[str, Any]]:
        """Overrides by node path."""
        return self._nodes

    def set_node(self, path: str, overrides: dict[str, Any] | None) -> None:
        """Replaces the overrides of a node, unvalidated; None removes the node."""
        value = None if overrides is None else json.dumps(overrides).encode()
        self._set_node(path, value, overrides or {})

    def _set_node(
        self, path: str, value: bytes | None, overrides: Mapping[str, Any]
    ) -> None:
        workspace = sys.intern(parse_path(path).get("workspace", ""))
        for digest in self._nodes.get(path, {}).get("api_key_digests", ()):
            self._workspaces_by_digest.pop(bytes.fromhex(digest), None)
        if value is None:
            self._nodes.remove(path)
        else:
            self._nodes.put(path, value)
        if workspace:
            for digest in overrides.get("api_key_digests", ()):
                self._workspaces_by_digest[bytes.fromhex(digest)] = workspace
        self._effective.clear()
        self._names_by_level.clear()

    def set_node_bytes(self, path: str, value: bytes | None) -> None:
        """Validates and sets the stored JSON form of a node; None removes the node.

        :raises SettingsError: if the value is invalid; the node is then unchanged.
        """
        if value is None:
            self.set_node(path, None)
            return
        try:
            overrides = json.loads(value)
        except (ValueError, RecursionError) as error:
            raise SettingsError(path, "", f"not valid JSON: {error}") from error
        validate_node(path, overrides)
        # The bytes are shared with the replicated entry, so they take no memory here.
        self._set_node(path, value, overrides)

    def workspace_for_key_digest(self, digest: str) -> str | None:
        """Returns the workspace to which an API key belongs, or None.

        :param digest: SHA-256 of the key, in hex.
        """
        try:
            return self._workspaces_by_digest.get(bytes.fromhex(digest))
        except ValueError:
            return None

    def services(self) -> list[str]:
        """Returns the sorted names of the services that occur in node paths."""
        return self.names("service")

    def names(self, level: str) -> list[str]:
        """Returns the sorted names that occur at one level in node paths."""
        names = self._names_by_level.get(level)
        if names is None:
            # Parsing all of 28,000 paths takes 72 ms.
            named = (path for path in self._nodes if f"/{level}=" in path)
            found = {parse_path(path).get(level, "") for path in named}
            names = self._names_by_level[level] = sorted(found - {""})
        return list(names)

    def effective(self, selector: Selector) -> Settings:
        """Returns the effective settings for a selector."""
        settings = self._effective.get(selector)
        if settings is None:
            values = default_settings()
            for _, overrides in self._matching(selector):
                values = merge(values, overrides)
            settings = Settings(values)
            if len(self._effective) >= EFFECTIVE_CACHE_SIZE:
                self._effective.clear()
            self._effective[selector] = settings
        return settings

    def explain(self, selector: Selector) -> list[ExplainedValue]:
        """Returns every effective value with its source."""
        sources = {name: DEFAULT_SOURCE for name, _ in flatten(default_settings())}
        for path, overrides in self._matching(selector):
            sources.update({name: path for name, _ in flatten(overrides)})
        values = self.effective(selector).values
        return [
            ExplainedValue(name, value, sources.get(name, DEFAULT_SOURCE))
            for name, value in flatten(values)
        ]

    def _matching(self, selector: Selector) -> Iterable[tuple[str, dict[str, Any]]]:
        """Yields path and overrides of the matching nodes, by increasing precedence.

        A deeper level takes precedence over all levels above it together.
        """
        named = {level: getattr(selector, level) for level in LEVELS}
        deepest_first = LEVELS[::-1]
        for used in product((False, True), repeat=len(LEVELS)):
            chosen = dict(zip(deepest_first, used, strict=True))
            if any(chosen[level] and not named[level] for level in LEVELS):
                continue
            path = format_path(
                {level: named[level] for level in LEVELS if chosen[level]}
            )
            if path in self._nodes:
                yield path, self._nodes[path]
