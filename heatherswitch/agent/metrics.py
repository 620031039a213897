"""Metrics of the agent."""

from heatherswitch.agent.backend import ServerLoad, Usage
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import Reason
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.util.metrics import Metrics


class AgentMetrics:
    """Counts, times and gauges of one agent."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition and its content type."""
        return self._metrics.render()

    def started(self, request: pb.ExecuteRequest, queued_s: float) -> None:
        """Counts the time that a request waited."""
        self._metrics.observe_s(
            "heatherswitch_agent_queue_seconds",
            "Time from arrival to the start at the backend server.",
            self._labels(request),
            queued_s,
        )

    def finished(self, request, service_s: float, usage: Usage) -> None:
        """Counts a whole answer and its tokens."""
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
        """Counts a refusal."""
        self._metrics.count(
            "heatherswitch_agent_refusals_total",
            "Requests that were refused as not run.",
            {"reason": reason.value, "class": request.request_class},
        )

    def failed(self, request: pb.ExecuteRequest, code: str) -> None:
        """Counts a request without a whole answer."""
        self._metrics.count(
            "heatherswitch_agent_failures_total",
            "Requests without a whole answer.",
            {"code": code, "class": request.request_class},
        )

    def set_state(self, load: Load, cold: bool, backend_up: bool) -> None:
        """Sets the gauges of the agent's state."""
        values = {
            "running": (load.running, "Requests at the backend server."),
            "queued": (load.queued, "Requests that wait in the agent."),
            "limit": (load.limit, "Requests that the server may run now."),
            "warm": (int(not cold), "1 when the server is warm."),
            "backend_up": (int(backend_up), "1 when the server answers."),
        }
        for name, (value, doc) in values.items():
            self._metrics.gauge(f"heatherswitch_agent_{name}", doc, {}, value)

    def set_config_revision(self, revision: int) -> None:
        """Sets the gauge of the newest configuration entry in force."""
        name = "heatherswitch_agent_config_revision"
        doc = "Store revision of the newest configuration entry in force."
        self._metrics.gauge(name, doc, {}, revision)

    def set_server_load(self, load: ServerLoad) -> None:
        """Sets the gauges of what the backend server reports of itself."""
        doc = "Requests by state, as the backend server reports them."
        name = "heatherswitch_agent_server_requests"
        self._metrics.gauge(name, doc, {"state": "running"}, load.running)
        self._metrics.gauge(name, doc, {"state": "waiting"}, load.waiting)

    def _labels(self, request: pb.ExecuteRequest) -> dict[str, str]:
        workspace = self._metrics.workspace_label(request.workspace)
        return {"workspace": workspace, "class": request.request_class}
