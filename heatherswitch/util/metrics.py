"""Metrics in the Prometheus text format, with bounded label counts."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# Upper bounds of the latency histograms, in seconds. 0.034 and 0.48 are the
# targets for token gaps and first tokens, so that the share within is exact.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.48, 1.0, 2.5, 10.0)
# Workspaces with a label of their own; all others share one label.
MAX_WORKSPACE_LABELS = 200
OTHER_WORKSPACES = "other"


class Metrics:
    """The metrics of one process."""

    __slots__ = ("_labels", "_metrics", "_registry")

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, Counter | Gauge | Histogram] = {}
        self._labels: set[str] = set()

    def workspace_label(self, workspace: str) -> str:
        """Returns the label of a workspace.

        The first :data:`MAX_WORKSPACE_LABELS` workspaces seen keep their name,
        since 28,000 label values would not fit the memory budget.
        """
        if workspace in self._labels:
            return workspace
        if len(self._labels) >= MAX_WORKSPACE_LABELS:
            return OTHER_WORKSPACES
        self._labels.add(workspace)
        return workspace

    def count(self, name: str, doc: str, labels: dict[str, str], by: float = 1) -> None:
        """Adds to a counter."""
        self._get(Counter, name, doc).add(labels, by)

    def gauge(self, name: str, doc: str, labels: dict[str, str], value: float) -> None:
        """Sets a gauge."""
        self._get(Gauge, name, doc).set(labels, value)

    def observe_s(self, name: str, doc: str, labels: dict[str, str], value: float):
        """Adds a duration in seconds to a histogram."""
        metric = self._metrics.get(name)
        if metric is None:
            metric = Histogram(
                name, doc, registry=self._registry, buckets=list(LATENCY_BUCKETS_S)
            )
            self._metrics[name] = metric
        metric.observe(labels, value)

    def render(self) -> tuple[bytes, str]:
        """Returns the exposition and its content type."""
        body, headers = render(self._registry, ["text/plain"])
        return body, headers.get("Content-Type", "text/plain")

    def _get(self, kind, name: str, doc: str):
        metric = self._metrics.get(name)
        if metric is None:
            metric = kind(name, doc, registry=self._registry)
            self._metrics[name] = metric
        return metric
