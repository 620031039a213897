"""The router's metrics."""

from heatherswitch.fleet.outcomes import Finished, NotRun, Outcome
from heatherswitch.router.calls import Call
from heatherswitch.util.metrics import Metrics


class Telemetry:
    """Names and labels of the router's metrics in one place."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def first_byte(self, call: Call, seconds: float) -> None:
        """Records the time from arrival to the first byte of the answer."""
        name, doc = "router_first_byte_seconds", "Arrival to first byte of the answer"
        self._metrics.observe_s(name, doc, self._labels(call), seconds)

    def token_gap(self, call: Call, seconds: float) -> None:
        """Records the time between two parts of a stream."""
        name, doc = "router_token_gap_seconds", "Time between parts of a stream"
        self._metrics.observe_s(name, doc, self._labels(call), seconds)

    def ended(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Records the end of a request."""
        labels = self._labels(call)
        cause = ""
        if isinstance(outcome, NotRun):
            cause = outcome.reason.value
        kind = {"outcome": type(outcome).__name__, "cause": cause}
        self._metrics.count(
            "router_requests_total", "Requests by outcome", labels | kind
        )
        if isinstance(outcome, Finished):
            name, doc = "router_answer_seconds", "Arrival to end of the answer"
            self._metrics.observe_s(name, doc, labels, seconds)

    def attempt(self, call: Call, result: str) -> None:
        """Counts an attempt by its result."""
        labels = {"service": call.service, "result": result}
        self._metrics.count("router_attempts_total", "Attempts by result", labels)

    def refusal(self, call: Call, reason: str) -> None:
        """Counts a refusal by an agent."""
        labels = {"service": call.service, "reason": reason}
        self._metrics.count("router_refusals_total", "Refusals by reason", labels)

    def running(self, requests: int) -> None:
        """Sets the number of requests without an outcome."""
        name, doc = "router_requests_running", "Requests without an outcome"
        self._metrics.gauge(name, doc, {}, requests)

    def _labels(self, call: Call) -> dict[str, str]:
        workspace = self._metrics.workspace_label(call.workspace)
        return {"workspace": workspace, "class": call.request_class}
