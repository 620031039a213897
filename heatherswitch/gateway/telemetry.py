"""Metrics of a gateway: requests, latencies for each route and workspace, state."""

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.upstream import ConnectionPool
from heatherswitch.util.metrics import Metrics

# Routes with a label of their own; all others share one. The platform's
# configurations add hundreds of routes that nobody uses.
MAX_ROUTE_LABELS = 50
OTHER_ROUTES = "other"


class Telemetry:
    """Counts what the gateway decides and how long answers take."""

    __slots__ = ("_metrics", "_routes")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._routes: set[str] = set()

    def _route(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) >= MAX_ROUTE_LABELS:
            return OTHER_ROUTES
        self._routes.add(route)
        return route

    def forwarded(self, forward: ev.Forward) -> None:
        """Counts a send, by what decided the choice of the server."""
        reason = forward.reason.partition(";")[0]
        self._metrics.count(
            "gateway_sends_total",
            "Requests sent to backend servers.",
            {"route": self._route(forward.route.name), "reason": reason},
        )
        if forward.copy_source is not None:
            self._metrics.count(
                "gateway_prompt_copies_total",
                "Requests whose server copies cached parts of the prompt.",
                {"route": self._route(forward.route.name)},
            )

    def started(self, forward: ev.Forward, first_s: float) -> None:
        """Observes the time to the head of an answer."""
        self._metrics.observe_s(
            "gateway_first_byte_seconds",
            "Time from the send to the head of the answer, by route.",
            {"route": self._route(forward.route.name)},
            first_s,
        )
        self._metrics.observe_s(
            "gateway_workspace_first_byte_seconds",
            "Time from the send to the head of the answer, by workspace.",
            {"workspace": self._metrics.workspace_label(forward.workspace)},
            first_s,
        )

    def failed(self, forward: ev.Forward, outcome: ev.Outcome) -> None:
        """Counts an attempt that failed."""
        self._metrics.count(
            "gateway_failed_attempts_total",
            "Attempts that failed, by kind.",
            {
                "route": self._route(forward.route.name),
                "outcome": type(outcome).__name__,
            },
        )

    def ended(self, effect: ev.Effect, status: int, total_s: float) -> None:
        """Counts a request's end.

        :param total_s: seconds from its arrival.
        """
        labels = {"effect": type(effect).__name__, "status": str(status)}
        self._metrics.count("gateway_requests_total", "Requests that ended.", labels)
        self._metrics.observe_s(
            "gateway_request_seconds",
            "Time from arrival to the end of the answer.",
            {"effect": labels["effect"]},
            total_s,
        )

    def caller_left(self) -> None:
        """Counts a caller that closed its connection early."""
        self._metrics.count(
            "gateway_callers_left_total", "Callers that left before the end.", {}
        )

    def state(self, now: float, reducer: GatewayReducer, pool: ConnectionPool) -> None:
        """Sets the gauges of the gateway's state."""
        values = {
            "gateway_configuration_version": (
                "Version of the configuration in force.",
                reducer.configuration.version,
            ),
            "gateway_configuration_age_seconds": (
                "Time since the store confirmed the configuration.",
                min(reducer.configuration.age_s(now), 1e9),
            ),
            "gateway_pending_requests": (
                "Requests without their final answer.",
                reducer.pending_count,
            ),
            "gateway_waiting_requests": (
                "Requests that wait for a backend server.",
                reducer.waiting_count,
            ),
            "gateway_fleet_size": (
                "Gateways among which fleet-wide limits are divided.",
                reducer.fleet_size,
            ),
            "gateway_peers": (
                "Gateways that can be asked for loads and holders, with this one.",
                reducer.peer_count,
            ),
            "gateway_server_connections_opened": (
                "Connections opened to backend servers.",
                pool.opened,
            ),
        }
        for name, (doc, value) in values.items():
            self._metrics.gauge(name, doc, {}, value)
