"""Data model of the gateway: routes, services, workspaces, servers and requests."""

from enum import Enum

from heatherswitch.util.record import Record


class RequestKind(Enum):
    """Determines whether a request may be retried after it may have run."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Route(Record):
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

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "service_weights",
        "timeout_s",
        "latency_objective_s",
        "priority",
        "max_servers",
        "anonymous",
        "resumable",
        "regions",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RequestKind,
        service_weights: tuple[tuple[str, float], ...],
        timeout_s: float,
        latency_objective_s: float,
        priority: int,
        max_servers: int,
        anonymous: bool = False,
        resumable: bool = False,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.service_weights = service_weights
        self.timeout_s = timeout_s
        self.latency_objective_s = latency_objective_s
        self.priority = priority
        self.max_servers = max_servers
        self.anonymous = anonymous
        self.resumable = resumable
        self.regions = regions

    @property
    def retryable(self) -> bool:
        """True if a request that may have run can be sent to another server."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.SAFE


class Service(Record):
    """A pool of backend servers that run the same application.

    :param max_connections: connections that one backend server accepts.
    :param cold_rate: requests per second that a cold backend server tolerates; 0 for no
        limit.
    :param warmup_s: seconds for which a backend server is cold after its start.
    :param is_model: the backend servers are inference engines of a language model.
    :param slots: requests that an engine runs concurrently; 0 if unknown.
    """

    __slots__ = (
        "name",
        "max_connections",
        "cold_rate",
        "warmup_s",
        "is_model",
        "slots",
    )

    def __init__(
        self,
        name: str,
        max_connections: int,
        cold_rate: float,
        warmup_s: float,
        is_model: bool,
        slots: int = 0,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_rate = cold_rate
        self.warmup_s = warmup_s
        self.is_model = is_model
        self.slots = slots


class Workspace(Record):
    """A customer, identified by its API keys.

    :param priority: overrides the priority of the route; None to keep that.
    :param regions: regions whose servers may serve the workspace; empty for all.
    """

    __slots__ = (
        "name",
        "priority",
        "regions",
    )

    def __init__(
        self,
        name: str,
        priority: int | None = None,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        self.name = name
        self.priority = priority
        self.regions = regions


class CallerLimits(Record):
    """Limits on the size and duration of callers' requests.

    :param head_timeout_s: seconds within which the headers of a request must arrive.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    __slots__ = (
        "head_bytes",
        "body_bytes",
        "head_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        head_bytes: int = 16384,
        body_bytes: int = 4 * 1024 * 1024,
        head_timeout_s: float = 3.0,
        idle_timeout_s: float = 15.0,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Configuration(Record):
    """One version of the operators' configuration.

    :param api_keys: workspace of each API key.
    :param requires_api_key: routes that are not anonymous require an API key.
    :param complete: False if parts of it could not be decoded and were left out.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "caller_limits",
        "api_keys",
        "requires_api_key",
        "complete",
    )

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        caller_limits: CallerLimits,
        api_keys: dict[str, Workspace],
        requires_api_key: bool,
        complete: bool = True,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.caller_limits = caller_limits
        self.api_keys = api_keys
        self.requires_api_key = requires_api_key
        self.complete = complete


class Server(Record):
    """A backend server as it is registered in the store.

    :param incarnation: differs between two starts under the same id; 0 if not stated.
    :param slots: requests that the server runs concurrently; 0 if unknown.
    :param draining: the server finishes its requests and must get no new ones.
    :param cold_for_s: seconds from now for which the server stays cold.
    :param sequence: number of the heartbeat within the start; 0 if not stated.
    """

    __slots__ = (
        "id",
        "incarnation",
        "service",
        "host",
        "port",
        "zone",
        "version",
        "slots",
        "draining",
        "cold_for_s",
        "sequence",
    )

    def __init__(
        self,
        id: str,
        incarnation: int,
        service: str,
        host: str,
        port: int,
        zone: str,
        version: str,
        slots: int,
        draining: bool,
        cold_for_s: float,
        sequence: int = 0,
    ) -> None:
        self.id = id
        self.incarnation = incarnation
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.version = version
        self.slots = slots
        self.draining = draining
        self.cold_for_s = cold_for_s
        self.sequence = sequence

    def is_older_than(self, sequence: int) -> bool:
        """Tells whether this is an earlier heartbeat of its start than a given one."""
        return self.incarnation != 0 and self.sequence < sequence


class ServerStart(Record):
    """One start of a backend server.

    :param incarnation: differs between two starts under the same id.
    """

    __slots__ = ("id", "incarnation")

    def __init__(self, id: str, incarnation: int) -> None:
        self.id = id
        self.incarnation = incarnation


class PromptPart(Record):
    """A contiguous part of a prompt that other requests may share.

    :param tokens: length of the part in tokens.
    """

    __slots__ = (
        "id",
        "tokens",
    )

    def __init__(self, id: str, tokens: int) -> None:
        self.id = id
        self.tokens = tokens


class CallerRequest(Record):
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

    __slots__ = (
        "id",
        "host",
        "path",
        "deadline_s",
        "api_key",
        "prompt_parts",
        "last_event_id",
    )

    def __init__(
        self,
        id: str,
        host: str,
        path: str,
        deadline_s: float | None,
        api_key: str,
        prompt_parts: tuple[PromptPart, ...] = (),
        last_event_id: str = "",
    ) -> None:
        self.id = id
        self.host = host
        self.path = path
        self.deadline_s = deadline_s
        self.api_key = api_key
        self.prompt_parts = prompt_parts
        self.last_event_id = last_event_id

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may share."""
        return self.prompt_parts[:-1] or self.prompt_parts

    @property
    def affinity_key(self) -> str:
        """Id of the last shared part, or an empty string without a prompt."""
        return self.shared_parts[-1].id if self.prompt_parts else ""


class Load(Record):
    """Load of a backend server as it reports it.

    :param waiting: requests in the server's own queue.
    """

    __slots__ = (
        "running",
        "waiting",
        "slots",
    )

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class RouteTable:
    """Finds the route of a request by host and longest matching path prefix."""

    __slots__ = ("_routes",)

    def __init__(self, routes: dict[tuple[str, str], Route] | None = None) -> None:
        self._routes = routes or {}

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
