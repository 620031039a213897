"""Prometheus metrics of the agent."""

from heatherswitch.agent.backend import ServerLoad, Usage
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import Reason
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.util.metrics import Metrics


class AgentMetrics:
    """Counters, histograms and gauges of one agent."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()

    def render(self) -> tuple[bytes, str]:
        """Returns the metrics in Prometheus text format and their content type."""
        return self._metrics.render()

    def started(self, request: pb.ExecuteRequest, queued_s: float) -> None:
        """Records how long a request was queued before it was started."""
        self._metrics.observe_s(
            "heatherswitch_agent_queue_seconds",
            "Time from arrival to the start at the backend server.",
            self._labels(request),
            queued_s,
        )

    def finished(self, request, service_s: float, usage: Usage) -> None:
        """Records the service time and the tokens of a complete response."""
        self._metrics.observe_s(
            "heatherswitch_agent_service_seconds",
            "Time from the start to the whole answer.",
            self._labels(request),
            service_s,
        )
        tokens = {
            "prompt": usage.prompt_tokens,
            "cached": usage.cached_tokens,
            "completion": usage.completion_tokens,
        }
        for kind, count in tokens.items():
            self._metrics.count(
                "heatherswitch_agent_tokens_total",
                "Tokens that the backend server reported.",
                {"kind": kind},
                count,
            )

    def refused(self, request: pb.ExecuteRequest, reason: Reason) -> None:
        """Counts a request that was refused as not run."""
        self._metrics.count(
            "heatherswitch_agent_refusals_total",
            "Requests that were refused as not run.",
            {"reason": reason.value, "class": request.request_class},
        )

    def failed(self, request: pb.ExecuteRequest, code: str) -> None:
        """Counts a request without a complete response."""
        self._metrics.count(
            "heatherswitch_agent_failures_total",
            "Requests without a whole answer.",
            {"code": code, "class": request.request_class},
        )

    def set_state(self, load: Load, cold: bool, backend_up: bool) -> None:
        """Sets the gauges for the agent's load and its backend server's state."""
        values = {
            "running": (load.running, "Requests at the backend server."),
            "queued": (load.queued, "Requests that wait in the agent."),
            "limit": (load.limit, "Requests that the server may run now."),
            "warm": (int(not cold), "1 when the server is warm."),
            "backend_up": (int(backend_up), "1 when the server answers."),
        }
        for name, (value, help_text) in values.items():
            self._metrics.gauge(f"heatherswitch_agent_{name}", help_text, {}, value)

    def set_config_revision(self, revision: int) -> None:
        """Sets the gauge for the store revision of the effective configuration."""
        name = "heatherswitch_agent_config_revision"
        help_text = "Store revision of the newest configuration entry in force."
        self._metrics.gauge(name, help_text, {}, revision)

    def set_server_load(self, load: ServerLoad) -> None:
        """Sets the gauges for the load that the backend server reports."""
        help_text = "Requests by state, as the backend server reports them."
        name = "heatherswitch_agent_server_requests"
        self._metrics.gauge(name, help_text, {"state": "running"}, load.running)
        self._metrics.gauge(name, help_text, {"state": "waiting"}, load.waiting)

    def _labels(self, request: pb.ExecuteRequest) -> dict[str, str]:
        workspace = self._metrics.workspace_label(request.workspace)
        return {"workspace": workspace, "class": request.request_class}
