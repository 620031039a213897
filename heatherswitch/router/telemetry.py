"""The router's metrics."""

from heatherswitch.fleet.outcomes import Finished, NotRun, Outcome
from heatherswitch.router.calls import Call
from heatherswitch.util.metrics import Metrics


class Telemetry:
    """Records the router's metrics with their names and labels."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def observe_first_byte(self, call: Call, seconds: float) -> None:
        """Records the time from a request's arrival to its first response byte."""
        name, doc = "router_first_byte_seconds", "Arrival to first byte of the answer"
        self._metrics.observe_s(name, doc, self._labels(call), seconds)

    def observe_token_gap(self, call: Call, seconds: float) -> None:
        """Records the time between two body parts of a streamed response."""
        name, doc = "router_token_gap_seconds", "Time between parts of a stream"
        self._metrics.observe_s(name, doc, self._labels(call), seconds)

    def record_request(self, call: Call, outcome: Outcome, seconds: float) -> None:
        """Counts a request by its outcome; records its duration if it succeeded."""
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

    def count_attempt(self, call: Call, result: str) -> None:
        """Counts an attempt by its result, a class name of ``AttemptResult``."""
        labels = {"service": call.service, "result": result}
        self._metrics.count("router_attempts_total", "Attempts by result", labels)

    def count_refusal(self, call: Call, reason: str) -> None:
        """Counts a refusal by an agent."""
        labels = {"service": call.service, "reason": reason}
        self._metrics.count("router_refusals_total", "Refusals by reason", labels)

    def set_running(self, requests: int) -> None:
        """Sets the number of requests in progress."""
        name, doc = "router_requests_running", "Requests without an outcome"
        self._metrics.gauge(name, doc, {}, requests)

    def _labels(self, call: Call) -> dict[str, str]:
        workspace = self._metrics.workspace_label(call.workspace)
        return {"workspace": workspace, "class": call.request_class}
