"""Metrics in the Prometheus text format, with a limited number of labels."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from heatherswitch.util.connection_budget import ConnectionBudget, Stage

# Upper bounds of the latency buckets, in seconds. 0.034 and 0.48 are the targets for
# token gaps and first tokens, so that the share within the targets is exact.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.48, 1.0, 2.5, 10.0)
# Maximum number of workspaces with their own label value; others share one.
MAX_WORKSPACE_LABELS = 200
OTHER_WORKSPACES = "other"


class Metrics:
    """Registry of the metrics of one process; metrics are created on first use."""

    __slots__ = ("_labelled_workspaces", "_metrics", "_registry")

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, Counter | Gauge | Histogram] = {}
        self._labelled_workspaces: set[str] = set()

    def workspace_label(self, workspace: str) -> str:
        """Returns the label value for a workspace.

        Only the first :data:`MAX_WORKSPACE_LABELS` workspaces are labelled by name,
        since 28,000 label values would exceed the memory budget.
        """
        if workspace in self._labelled_workspaces:
            return workspace
        if len(self._labelled_workspaces) >= MAX_WORKSPACE_LABELS:
            return OTHER_WORKSPACES
        self._labelled_workspaces.add(workspace)
        return workspace

    def count(
        self, name: str, doc: str, labels: dict[str, str], amount: float = 1
    ) -> None:
        """Increments a counter."""
        self._get_or_create(Counter, name, doc).add(labels, amount)

    def gauge(self, name: str, doc: str, labels: dict[str, str], value: float) -> None:
        """Sets the value of a gauge."""
        self._get_or_create(Gauge, name, doc).set(labels, value)

    def observe_s(self, name: str, doc: str, labels: dict[str, str], value: float):
        """Records a duration in seconds in a histogram."""
        metric = self._metrics.get(name)
        if metric is None:
            metric = Histogram(
                name, doc, registry=self._registry, buckets=list(LATENCY_BUCKETS_S)
            )
            self._metrics[name] = metric
        metric.observe(labels, value)

    def render(self) -> tuple[bytes, str]:
        """Returns all metrics in the text format, and its content type."""
        body, headers = render(self._registry, ["text/plain"])
        return body, headers.get("Content-Type", "text/plain")

    def _get_or_create(self, kind, name: str, doc: str):
        metric = self._metrics.get(name)
        if metric is None:
            metric = kind(name, doc, registry=self._registry)
            self._metrics[name] = metric
        return metric


def report_budget(metrics: Metrics, budget: ConnectionBudget) -> None:
    """Sets what the connections of callers hold, and what they were refused."""
    metrics.gauge(
        "caller_reserved_bytes",
        "Memory that callers' connections have reserved.",
        {},
        budget.reserved_bytes,
    )
    metrics.gauge(
        "caller_reservable_bytes",
        "Memory that callers' connections may reserve.",
        {},
        budget.memory_bytes,
    )
    metrics.gauge("caller_connections", "Open connections of callers.", {}, len(budget))
    metrics.gauge(
        "caller_reservations_refused",
        "Reservations that found no room since the start.",
        {},
        budget.refused,
    )
    for stage in Stage:
        metrics.gauge(
            "caller_connections_given_up",
            "Connections given up for others since the start, by their stage.",
            {"stage": stage.value},
            budget.given_up[stage],
        )
