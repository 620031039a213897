"""Builders for the gateway's data model and a driver for its reducer, without I/O."""

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import (
    CallerLimits,
    CallerRequest,
    Configuration,
    PromptPart,
    RequestKind,
    Route,
    Server,
    Service,
    Workspace,
)
from heatherswitch.gateway.reducer import GatewayReducer

HOST = "auction.example"
API_KEY = "key-1"


def server(server_id: str, service: str = "ledger", **changes) -> Server:
    """Returns a backend server's store entry, with the given fields replaced."""
    fields = {
        "id": server_id,
        "incarnation": 1,
        "service": service,
        "host": "10.0.0.1",
        "port": 8000,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "draining": False,
        "cold_for_s": 0.0,
    }
    return Server(**fields | changes)


def route(prefix: str, kind: RequestKind, service: str = "ledger", **changes) -> Route:
    """Returns a route for a path prefix, with the given fields replaced."""
    fields = {
        "name": prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service_weights": ((service, 1.0),),
        "timeout_s": 2.0,
        "latency_objective_s": 0.2,
        "priority": 2,
        "max_servers": 2,
    }
    return Route(**fields | changes)


ROUTES = (
    route("/safe/", RequestKind.SAFE),
    route("/urgent/", RequestKind.SAFE, priority=0),
    route("/once/", RequestKind.NON_IDEMPOTENT, max_servers=1),
    route("/twice/", RequestKind.NON_IDEMPOTENT, max_servers=2),
    route("/chat/", RequestKind.STREAMING, "engine", max_servers=1),
    route("/live/", RequestKind.STREAMING, "engine", resumable=True),
    route("/open/", RequestKind.SAFE, anonymous=True),
    route("/west/", RequestKind.SAFE, regions=frozenset({"west"})),
)


def configuration(version: int = 1, **changes) -> Configuration:
    """Returns a configuration with ``ROUTES``, with the given fields replaced."""
    fields = {
        "version": version,
        "routes": ROUTES,
        "services": {
            "ledger": Service("ledger", 64, 0.0, 0.0, False),
            "engine": Service("engine", 64, 12.0, 3.0, True, 8),
        },
        "caller_limits": CallerLimits(),
        "api_keys": {API_KEY: Workspace("huon")},
        "requires_api_key": True,
    }
    return Configuration(**fields | changes)


class Driver:
    """Feeds events to a reducer and collects its effects.

    :ivar now: current time passed to the reducer, in seconds.
    :ivar effects: effects since the last :meth:`take_effects`.
    """

    def __init__(
        self, limits: Limits | None = None, routers=("me",), own_id="me", **changes
    ):
        self.now = 100.0
        self.effects: list[ev.Effect] = []
        self.reducer = GatewayReducer(
            self.now, own_id, "a", {"a": "east", "b": "west"}, limits or Limits()
        )
        self._serial = 0
        self.apply(ev.ConfigurationRead(configuration(**changes)))
        self.apply(ev.StoreConfirmed(self.now))
        self.apply(ev.RoutersListed(tuple(routers)))

    def apply(self, event: ev.Event) -> None:
        """Passes one event to the reducer."""
        self.effects += self.reducer.apply(self.now, event)

    def advance(self, seconds: float) -> None:
        """Advances the clock while the store stays reachable."""
        self.now += seconds
        self.apply(ev.StoreConfirmed(self.now))
        self.apply(ev.Tick())

    def take_effects(self) -> list[ev.Effect]:
        """Returns the collected effects and clears them."""
        effects, self.effects = self.effects, []
        return effects

    def add_servers(self, *servers: Server) -> None:
        """Adds or updates the store entries of backend servers."""
        for record in servers:
            self.apply(ev.ServerListed(record))

    def send_request(
        self, path: str, key: str = API_KEY, parts=(), deadline_s=2.0
    ) -> int:
        """Passes a caller's request to the reducer and returns its serial number."""
        self._serial += 1
        request = CallerRequest(
            f"r{self._serial}", HOST, path, deadline_s, key, tuple(parts)
        )
        self.apply(ev.RequestArrived(self._serial, request))
        return self._serial

    def decide(self, path: str, **options) -> ev.Effect:
        """Passes a caller's request to the reducer and returns its only effect."""
        self.take_effects()
        self.send_request(path, **options)
        (effect,) = self.take_effects()
        return effect

    def end_attempt(self, serial: int, outcome: ev.Outcome) -> ev.Effect:
        """Ends an attempt and returns the effect for its request."""
        self.take_effects()
        self.apply(ev.AttemptEnded(serial, outcome))
        return next(e for e in self.take_effects() if e.serial == serial)


def chat_prompt(name: str, tokens: int = 1000) -> tuple[PromptPart, ...]:
    """Returns a prompt of one part that other requests share and one of its own."""
    return (PromptPart(name, tokens), PromptPart(f"{name}-own", 50))
