"""What the gateway knows of routes, workspaces, backend servers and requests."""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """How often a request may run."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param service_weights: services with their weights.
    :param timeout_s: the longest time that a caller is kept waiting.
    :param latency_objective_s: an answer (of a stream: its first event) is on time up to
        this.
    :param priority: 0 is the most urgent.
    :param max_servers: backend servers that one request may run on.
    :param anonymous: requests need no API key.
    :param resumable: a stream may go on at another backend server.
    :param regions: regions that may serve the route; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    service_weights: tuple[tuple[str, float], ...]
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_servers: int
    anonymous: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """True when a request may run on a second backend server."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers.

    :param max_connections: connections that one backend server accepts.
    :param cold_rate: requests a second that a cold backend server tolerates; 0 for
        no limit.
    :param warmup_s: seconds for which a started backend server is cold.
    :param is_model: the backend servers are model engines.
    :param slots: requests that an engine runs at once; 0 if unknown.
    """

    name: str
    max_connections: int
    cold_rate: float
    warmup_s: float
    is_model: bool
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer.

    :param priority: goes before the priority of the route; None for none.
    :param regions: regions that may serve the workspace; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    :param head_timeout_s: seconds in which the head of a request must arrive.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    :param api_keys: API key to its workspace.
    :param requires_api_key: routes that are not anonymous need an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    caller_limits: CallerLimits
    api_keys: dict[str, Workspace]
    requires_api_key: bool


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server as the store lists it.

    :param incarnation: differs between two starts under the same id.
    :param cold_for_s: seconds for which it stays cold from now on.
    :param slots: requests that it runs at once.
    """

    id: str
    incarnation: int
    service: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    draining: bool
    cold_for_s: float


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller, decoded.

    :param id: differs between the attempts of a caller.
    :param path: path without the query.
    :param deadline_s: seconds that the caller waits; None if it did not say.
    :param api_key: API key, or an empty string.
    :param prompt_parts: parts of the prompt in order; the last one is the request's own.
    :param last_event_id: the stream goes on after this event; empty for a new one.
    """

    id: str
    host: str
    path: str
    deadline_s: float | None
    api_key: str
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests share."""
        return self.prompt_parts[:-1] or self.prompt_parts

    @property
    def affinity_key(self) -> str:
        """The last part that other requests share, or an empty string."""
        return self.shared_parts[-1].id if self.prompt_parts else ""


@dataclass(slots=True)
class Load:
    """Load of a backend server as it reports it."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class RouteTable:
    """Finds the route of a request by host and the longest path prefix."""

    _routes: dict[tuple[str, str], Route] = field(default_factory=dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> "RouteTable":
        """Builds the table."""
        return cls({(r.host, r.prefix): r for r in configuration.routes})

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route, or None.

        Prefixes begin and end with a slash, so only these are looked up.
        """
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
