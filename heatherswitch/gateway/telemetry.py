"""Prometheus metrics of a gateway: requests, latencies by route and workspace, state."""

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.reducer import GatewayReducer
from heatherswitch.gateway.upstream import ConnectionPool
from heatherswitch.util.metrics import Metrics

# Number of routes with their own label value; all others share OTHER_ROUTES. The
# platform's configurations contain hundreds of unused routes.
MAX_ROUTE_LABELS = 50
OTHER_ROUTES = "other"


class Telemetry:
    """Records the gateway's decisions and the latency of responses."""

    __slots__ = ("_labeled_routes", "_metrics")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._labeled_routes: set[str] = set()

    def _route_label(self, route: str) -> str:
        if route in self._labeled_routes:
            return route
        if len(self._labeled_routes) >= MAX_ROUTE_LABELS:
            return OTHER_ROUTES
        self._labeled_routes.add(route)
        return route

    def count_forward(self, forward: ev.Forward) -> None:
        """Counts a request sent to a server, by the reason for choosing the server."""
        reason = forward.reason.partition(";")[0]
        self._metrics.count(
            "gateway_sends_total",
            "Requests sent to backend servers.",
            {"route": self._route_label(forward.route.name), "reason": reason},
        )
        if forward.repeats:
            self._metrics.count(
                "gateway_repeats_total",
                "Requests sent to a further server after they had reached one.",
                {"service": forward.server.service},
            )
        if forward.copy_source is not None:
            self._metrics.count(
                "gateway_prompt_copies_total",
                "Requests whose server copies cached parts of the prompt.",
                {"route": self._route_label(forward.route.name)},
            )

    def observe_response_start(self, forward: ev.Forward, ttfb_s: float) -> None:
        """Observes the seconds from the send to the head of the response."""
        self._metrics.observe_s(
            "gateway_first_byte_seconds",
            "Time from the send to the head of the answer, by route.",
            {"route": self._route_label(forward.route.name)},
            ttfb_s,
        )
        self._metrics.observe_s(
            "gateway_workspace_first_byte_seconds",
            "Time from the send to the head of the answer, by workspace.",
            {"workspace": self._metrics.workspace_label(forward.workspace)},
            ttfb_s,
        )

    def count_stall(self, forward: ev.Forward, decision: ev.Effect) -> None:
        """Counts a server that made no progress for the stall timeout, by decision."""
        self._metrics.count(
            "gateway_stalls_total",
            "Stall timeouts of attempts that expired, by decision.",
            {
                "route": self._route_label(forward.route.name),
                "decision": type(decision).__name__,
            },
        )

    def count_failed_attempt(self, forward: ev.Forward, outcome: ev.Outcome) -> None:
        """Counts a failed attempt, by its outcome."""
        self._metrics.count(
            "gateway_failed_attempts_total",
            "Attempts that failed, by kind.",
            {
                "route": self._route_label(forward.route.name),
                "outcome": type(outcome).__name__,
            },
        )

    def count_request(self, effect: ev.Effect, status: int, total_s: float) -> None:
        """Counts a finished request and observes its duration.

        :param total_s: seconds since the request arrived.
        """
        labels = {"effect": type(effect).__name__, "status": str(status)}
        self._metrics.count("gateway_requests_total", "Requests that ended.", labels)
        self._metrics.observe_s(
            "gateway_request_seconds",
            "Time from arrival to the end of the answer.",
            {"effect": labels["effect"]},
            total_s,
        )

    def count_server_change(self, effect: ev.ServerEffect) -> None:
        """Counts a server that was taken out or returned, by the reason."""
        labels = {"reason": effect.reason}
        if isinstance(effect, ev.ServerTakenOut):
            self._metrics.count(
                "gateway_servers_taken_out_total",
                "Servers that get no new requests, by the reason.",
                labels,
            )
            if effect.delay_s is not None:
                self._metrics.observe_s(
                    "gateway_notice_delay_seconds",
                    "Upper bound on the time from the store to this gateway.",
                    {"reason": effect.reason},
                    effect.delay_s,
                )
        else:
            self._metrics.count(
                "gateway_servers_returned_total",
                "Servers that get requests again after they were taken out.",
                labels,
            )

    def count_restore(self) -> None:
        """Counts a restore of the store from a backup."""
        self._metrics.count(
            "gateway_store_restores_total",
            "Restores of the store from a backup that this gateway has noticed.",
            {},
        )

    def count_caller_left(self) -> None:
        """Counts a caller that disconnected before the end of the response."""
        self._metrics.count(
            "gateway_callers_left_total", "Callers that left before the end.", {}
        )

    def count_crash_report(self) -> None:
        """Counts a request whose server broke off when it began to write."""
        self._metrics.count(
            "gateway_crash_reports_total",
            "Requests with suspected prompts whose server broke off when it began to write.",
            {},
        )

    def set_gauges(
        self, now: float, reducer: GatewayReducer, pool: ConnectionPool
    ) -> None:
        """Sets the gauges from the state of the reducer and the connection pool."""
        values = {
            "gateway_configuration_version": (
                "Version of the configuration in force.",
                reducer.configuration.version,
            ),
            "gateway_configuration_age_seconds": (
                "Time since the store confirmed the configuration.",
                min(reducer.configuration.age_s(now), 1e9),
            ),
            "gateway_servers_age_seconds": (
                "Time since the store confirmed the list of backend servers.",
                min(reducer.servers_age_s(now), 1e9),
            ),
            "gateway_pending_requests": (
                "Requests without their final answer.",
                reducer.pending_count,
            ),
            "gateway_waiting_requests": (
                "Requests that wait for a backend server.",
                reducer.waiting_count,
            ),
            "gateway_quarantined_prompt_parts": (
                "Prompt parts on which servers crash, kept from the servers.",
                len(reducer.crashes.quarantined),
            ),
            "gateway_suspected_prompt_parts": (
                "Prompt parts of which single requests are let through after a crash.",
                reducer.crashes.suspected_count,
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
                pool.opened_total,
            ),
        }
        for name, (doc, value) in values.items():
            self._metrics.gauge(name, doc, {}, value)
