"""The settings tree: paths, validation, effective values and their source."""

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

# Levels from the root to the leaves. The root is the platform.
LEVELS = ("service", "zone", "workspace", "version")
ROOT_PATH = "/"
# Store prefix of the nodes; the rest of the key is the path.
SETTINGS_PREFIX = "heatherswitch/config/settings"
# Selectors whose effective settings are kept.
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
    """Names what the effective settings are asked for."""

    service: str = ""
    zone: str = ""
    workspace: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """An effective value and the node that it comes from.

    :param source: node path, or ``default``.
    """

    name: str
    value: Any
    source: str


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Priority and deadline of a request class.

    :param priority: 0 is served first.
    :param deadline_s: seconds from arrival to the end of the answer.
    """

    name: str
    priority: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a plain service."""

    path: str
    methods: tuple[str, ...]
    idempotent: bool
    request_class: str


@cache
def default_settings() -> dict[str, Any]:
    """Returns the defaults from ``config_default.yaml``."""
    path = Path(__file__).parent.parent / "config_default.yaml"
    return yaml.safe_load(path.read_text())


def parse_path(path: str) -> dict[str, str]:
    """Splits a node path into its levels.

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
    """Builds a node path; empty values are left out."""
    return "/" + "/".join(f"{k}={parts[k]}" for k in LEVELS if parts.get(k))


def node_key(path: str) -> str:
    """Returns the store key of a node."""
    return SETTINGS_PREFIX + path


def validate_node(path: str, overrides: Any) -> None:
    """Checks a path and the values that its node sets.

    :raises SettingsError: with the path, the name, the value and what is allowed.
    """
    parse_path(path)
    error = next(iter(sorted(_VALIDATOR.iter_errors(overrides), key=str)), None)
    if error is not None:
        name = ".".join(str(part) for part in error.absolute_path)
        raise SettingsError(path, name, _allowed(error))
    for name, value in flatten(overrides):
        # JSON parsers accept NaN, and it passes every comparison with a limit.
        if isinstance(value, float) and not math.isfinite(value):
            raise SettingsError(path, name, f"{value!r} is not a finite number")


def _allowed(error) -> str:
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
    """Returns ``base`` with ``overrides``: objects merge, other values replace."""
    merged = dict(base)
    for name, value in overrides.items():
        inherited = merged.get(name)
        if isinstance(value, dict) and isinstance(inherited, dict):
            merged[name] = merge(inherited, value)
        else:
            merged[name] = value
    return merged


def flatten(values: Mapping[str, Any], prefix: str = "") -> Iterable[tuple[str, Any]]:
    """Yields dotted names and their scalar or list values."""
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
        """All values as nested objects; not to be changed."""
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
        """Returns a class by name, the default class without one, or None."""
        return self._classes.get(name or self._values["default_class"])

    def route(self, method: str, path: str) -> Route | None:
        """Returns the route with the longest path that covers the request."""
        best = None
        for route in self._routes:
            covers = path == route.path or path.startswith(route.path.rstrip("/") + "/")
            longer = best is None or len(route.path) > len(best.path)
            if covers and method in route.methods and longer:
                best = route
        return best


class NodeMap(Mapping[str, dict[str, Any]]):
    """Overrides by node path, kept as JSON and parsed on use, to save memory."""

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
        """Sets the JSON form of a node."""
        self._json[path] = value

    def remove(self, path: str) -> None:
        """Removes a node if it exists."""
        self._json.pop(path, None)


class SettingsTree:
    """All nodes of the tree, with cached effective settings."""

    __slots__ = ("_effective", "_keys", "_names", "_nodes")

    def __init__(self) -> None:
        self._nodes = NodeMap()
        self._effective: dict[Selector, Settings] = {}
        # API key digest to workspace; as bytes a digest takes half the memory.
        self._keys: dict[bytes, str] = {}
        # Level to its sorted names, because each request asks for the services.
        self._names: dict[str, list[str]] = {}

    @classmethod
    def from_nodes(cls, nodes: Mapping[str, dict[str, Any]]) -> "SettingsTree":
        """Builds a tree from validated nodes by path.

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
        """Replaces the overrides of a node; None removes the node."""
        value = None if overrides is None else json.dumps(overrides).encode()
        self._replace(path, value, overrides or {})

    def _replace(
        self, path: str, value: bytes | None, overrides: Mapping[str, Any]
    ) -> None:
        workspace = sys.intern(parse_path(path).get("workspace", ""))
        for digest in self._nodes.get(path, {}).get("api_key_digests", ()):
            self._keys.pop(bytes.fromhex(digest), None)
        if value is None:
            self._nodes.remove(path)
        else:
            self._nodes.put(path, value)
        if workspace:
            for digest in overrides.get("api_key_digests", ()):
                self._keys[bytes.fromhex(digest)] = workspace
        self._effective.clear()
        self._names.clear()

    def set_node_bytes(self, path: str, value: bytes | None) -> None:
        """Replaces a node by its stored JSON form.

        :raises SettingsError: if the value is invalid; the node stays as it was.
        """
        if value is None:
            self.set_node(path, None)
            return
        try:
            overrides = json.loads(value)
        except (ValueError, RecursionError) as error:
            raise SettingsError(path, "", f"not valid JSON: {error}") from error
        validate_node(path, overrides)
        # The replicated entry holds the same bytes, so that they take no memory here.
        self._replace(path, value, overrides)

    def workspace_for_key(self, digest: str) -> str | None:
        """Returns the workspace whose callers send a key with this digest.

        :param digest: SHA-256 of the key, in hex.
        """
        try:
            return self._keys.get(bytes.fromhex(digest))
        except ValueError:
            return None

    def services(self) -> list[str]:
        """Names of the services that a node names."""
        return self.names("service")

    def names(self, level: str) -> list[str]:
        """Sorted names that nodes give at one level."""
        names = self._names.get(level)
        if names is None:
            # Parsing all of 28,000 paths takes 72 ms.
            named = (path for path in self._nodes if f"/{level}=" in path)
            found = {parse_path(path).get(level, "") for path in named}
            names = self._names[level] = sorted(found - {""})
        return list(names)

    def effective(self, selector: Selector) -> Settings:
        """Returns the effective settings of a selector."""
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
        """Returns every effective value and the node that it comes from."""
        sources = {name: DEFAULT_SOURCE for name, _ in flatten(default_settings())}
        for path, overrides in self._matching(selector):
            sources.update({name: path for name, _ in flatten(overrides)})
        values = self.effective(selector).values
        return [
            ExplainedValue(name, value, sources.get(name, DEFAULT_SOURCE))
            for name, value in flatten(values)
        ]

    def _matching(self, selector: Selector) -> Iterable[tuple[str, dict[str, Any]]]:
        """Yields the nodes that apply, from the least to the most specific.

        A deeper level outranks all levels above it together.
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
