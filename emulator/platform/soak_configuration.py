"""The operators' configuration in a soak of gateways, which changes at random."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from emulator.platform.deployment import HOST, build_configuration, build_route

OTHER_HOST = "fair.example"
# Largest request body, as on the platform.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Services without streams, between which routes move.
PLAIN_SERVICES = ("ledger", "registry")
# Kind by first part of a path; the checks tell the kind of a request by its path.
KINDS = {
    "lookup": "safe",
    "search": "safe",
    "settle": "non_idempotent",
    "draft": "streaming",
    "answer": "streaming",
}
# Workspace by API key of the first configuration.
API_KEYS = {"key-huon": "huon", "key-derwent": "derwent", "key-tamar": "tamar"}
# API keys that the configuration holds, unless one was just withdrawn.
MIN_KEYS = 2
# Routes that are added to the first ones and not removed yet.
MAX_ADDED_ROUTES = 12
# Added and removed routes that callers ask for.
MAX_RECENT_ROUTES = 16


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """One version of the configuration, as far as it decides how requests are handled.

    :param written_at: when the store acknowledged it, in seconds of the monotonic
        clock.
    :param services: services by host and prefix of each route; several if its requests
        are split between them.
    :param keys: valid API keys.
    :param timeouts_s: time limit by host and prefix of each route, in seconds.
    """

    version: int
    written_at: float
    services: Mapping[tuple[str, str], tuple[str, ...]]
    keys: frozenset[str]
    timeouts_s: Mapping[tuple[str, str], float] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> tuple[str, str] | None:
        """Returns host and prefix of the route of a request; None if there is none."""
        end = path.rfind("/")
        while end >= 0:
            if (host, path[: end + 1]) in self.services:
                return host, path[: end + 1]
            end = path.rfind("/", 0, end)
        return None

    def find_services(self, host: str, path: str) -> tuple[str, ...]:
        """Returns the services that may run a request; none if it has no route."""
        return self.services.get(self.find_route(host, path), ())


class ChangingConfiguration:
    """Draws new versions of a configuration.

    :ivar padding_routes: number of further routes, for which no caller asks.
    :ivar padding_bytes: size of a field that means nothing.
    :ivar keys: workspace by valid API key.
    :ivar workspaces: workspace by API key, valid or withdrawn.
    :ivar recent_routes: host and prefix of routes that were added lately; some of them
        have been removed or moved since.
    """

    def __init__(self, rng: random.Random) -> None:
        self.padding_routes = 0
        self.padding_bytes = 0
        self.keys = dict(API_KEYS)
        self.workspaces = dict(API_KEYS)
        self.recent_routes: list[tuple[str, str]] = []
        self._random = rng
        self._version = 1
        self._names = 0
        self._routes = {(r["host"], r["prefix"]): r for r in _first_routes()}
        self._first = set(self._routes)

    def change(self) -> None:
        """Draws a new version, which adds, removes and moves routes."""
        self._version += self._random.randint(1, 4)
        added = [key for key in self._routes if key not in self._first]
        excess = max(0, len(added) - MAX_ADDED_ROUTES)
        removed = max(excess, self._random.choice((0, 1, 1, 2)))
        for key in self._random.sample(added, min(removed, len(added))):
            del self._routes[key]
        for _ in range(self._random.choice((1, 1, 1, 2, 4))):
            self._add_route()
        if self._random.random() < 0.5:
            self._move_route()
        if len(self.keys) < MIN_KEYS:
            self._names += 1
            workspace = self._random.choice(sorted(set(self.workspaces.values())))
            self.keys[f"key-{self._names}"] = workspace
            self.workspaces.update(self.keys)

    def find_busy_route(self, failing_service: str) -> tuple[str, str] | None:
        """Returns host and prefix of a plain route to other services, if there is one."""
        routes = [
            key
            for key, route in self._routes.items()
            if not {failing_service, "appraiser"} & set(_services_of(route))
            and not route["allow_anonymous"]
        ]
        return self._random.choice(routes) if routes else None

    def withdraw_key(self) -> str:
        """Withdraws an API key and returns it."""
        key = self._random.choice(sorted(self.keys))
        del self.keys[key]
        return key

    def document(self) -> dict:
        """Returns the value of the configuration entry."""
        tenants = [
            {"name": name, "api_keys": [key], "priority": 1}
            for key, name in self.keys.items()
        ]
        padding = [
            build_route(f"/{n}/", "safe", "ledger", host="padding.example")
            for n in range(self.padding_routes)
        ]
        document = build_configuration(
            self._version,
            tenants=tenants,
            routes=padding + list(self._routes.values()),
            padding="x" * self.padding_bytes,
        )
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        document["services"].append({"name": "registry", "max_connections": 64})
        return document

    def to_version(self, written_at: float) -> ConfigurationVersion:
        """Returns the current version for the checks."""
        services = {key: _services_of(route) for key, route in self._routes.items()}
        timeouts_s = {
            k: route["timeout_ms"] / 1000 for k, route in self._routes.items()
        }
        return ConfigurationVersion(
            self._version, written_at, services, frozenset(self.keys), timeouts_s
        )

    def _add_route(self) -> None:
        """Adds a route of a new prefix, or one below another route's prefix."""
        self._names += 1
        name = self._random.choice(list(KINDS))
        host = self._random.choice((HOST, HOST, OTHER_HOST))
        prefix = f"/{name}-{self._names}/"
        if self._random.random() < 0.3:
            parents = [
                k for k, r in self._routes.items() if k[1].startswith(f"/{name}")
            ]
            if parents:
                host, parent = self._random.choice(parents)
                prefix = f"{parent}part-{self._names}/"
        streaming = KINDS[name] == "streaming"
        service = "appraiser" if streaming else self._random.choice(PLAIN_SERVICES)
        route = build_route(
            prefix,
            KINDS[name],
            service,
            host=host,
            timeout_ms=3000 if streaming else self._random.choice((800, 2000)),
            stream_resume=name == "answer",
        )
        self._routes[host, prefix] = route
        self.recent_routes.append((host, prefix))
        del self.recent_routes[:-MAX_RECENT_ROUTES]

    def _move_route(self) -> None:
        """Moves a route to another service, or splits it between services."""
        routes = [
            r for r in self._routes.values() if "appraiser" not in _services_of(r)
        ]
        route = dict(self._random.choice(routes))
        others = [name for name in PLAIN_SERVICES if name != route.get("service")]
        route.pop("traffic_split", None)
        route["service"] = self._random.choice(others)
        if self._random.random() < 0.4:
            del route["service"]
            shares = zip(PLAIN_SERVICES, (90, 10), strict=True)
            route["traffic_split"] = [
                {"service": name, "weight": weight} for name, weight in shares
            ]
        self._routes[route["host"], route["prefix"]] = route


def _services_of(route: dict) -> tuple[str, ...]:
    split = route.get("traffic_split") or [route]
    return tuple(part["service"] for part in split)


def _first_routes() -> list[dict]:
    """Returns routes of each kind and to each service."""
    return [
        *build_configuration()["routes"],
        build_route("/search/", "safe", "registry", timeout_ms=800),
    ]
