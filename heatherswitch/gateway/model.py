"""Data model of the gateway: routes, services, workspaces, servers and requests."""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """Determines whether a request may be retried after it may have run."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for requests of one host and path prefix.

    :param service_weights: pairs of a service and its share of the traffic, as a
        weight.
    :param timeout_s: maximum number of seconds until the caller gets a response.
    :param latency_objective_s: target for the response time, or for the time to the
        first event of a stream.
    :param priority: 0 is the most urgent.
    :param max_servers: maximum number of backend servers on which a request may run.
    :param anonymous: requests need no API key.
    :param resumable: an interrupted stream may be resumed at another backend server.
    :param regions: regions whose servers may serve the route; empty for all.
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
        """True if a request that may have run can be sent to another server."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers that run the same application.

    :param max_connections: connections that one backend server accepts.
    :param cold_rate: requests per second that a cold backend server tolerates; 0 for no
        limit.
    :param warmup_s: seconds for which a backend server is cold after its start.
    :param is_model: the backend servers are inference engines of a language model.
    :param slots: requests that an engine runs concurrently; 0 if unknown.
    """

    name: str
    max_connections: int
    cold_rate: float
    warmup_s: float
    is_model: bool
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer, identified by its API keys.

    :param priority: overrides the priority of the route; None to keep that.
    :param regions: regions whose servers may serve the workspace; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    :param head_timeout_s: seconds within which the headers of a request must arrive.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    :param api_keys: workspace of each API key.
    :param requires_api_key: routes that are not anonymous require an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    caller_limits: CallerLimits
    api_keys: dict[str, Workspace]
    requires_api_key: bool


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server as it is registered in the store.

    :param incarnation: differs between two starts under the same id.
    :param slots: requests that the server runs concurrently; 0 if unknown.
    :param draining: the server finishes its requests and must get no new ones.
    :param cold_for_s: seconds from now for which the server stays cold.
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
    """A contiguous part of a prompt that other requests may share.

    :param tokens: length of the part in tokens.
    """

    id: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """The fields of a caller's request that decide where it is sent.

    :param id: id of the request; each retry by the caller has another one.
    :param path: path without the query string.
    :param deadline_s: seconds for which the caller waits; None if it did not say.
    :param api_key: API key, or an empty string.
    :param prompt_parts: parts of the prompt in order; the last one belongs to this
        request only.
    :param last_event_id: id of the last event that the caller received, to resume a
        stream after it; empty for a new stream.
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
        """Parts of the prompt that other requests may share."""
        return self.prompt_parts[:-1] or self.prompt_parts

    @property
    def affinity_key(self) -> str:
        """Id of the last shared part, or an empty string without a prompt."""
        return self.shared_parts[-1].id if self.prompt_parts else ""


@dataclass(slots=True)
class Load:
    """Load of a backend server as it reports it.

    :param waiting: requests in the server's own queue.
    """

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class RouteTable:
    """Finds the route of a request by host and longest matching path prefix."""

    _routes: dict[tuple[str, str], Route] = field(default_factory=dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> "RouteTable":
        """Builds the lookup table for the routes of a configuration."""
        return cls({(r.host, r.prefix): r for r in configuration.routes})

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route for a host and path, or None.

        Path prefixes begin and end with a slash, so only such prefixes are looked up.
        """
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
