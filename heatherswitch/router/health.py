"""HTTP endpoints for metrics and health checks."""

from collections.abc import Callable

from heatherswitch.util.http import Request
from heatherswitch.util.http_server import Responder
from heatherswitch.util.metrics import Metrics


class HealthEndpoints:
    """Serves ``/metrics``, ``/livez`` and ``/readyz``.

    :param ready: tells whether the load balancer should send requests to this process.
    :param refresh: called before the metrics are sent, to set those that are read from
        elsewhere.
    """

    __slots__ = ("_metrics", "_ready", "_refresh")

    def __init__(
        self,
        metrics: Metrics,
        ready: Callable[[], bool],
        refresh: Callable[[], None] = lambda: None,
    ) -> None:
        self._metrics = metrics
        self._ready = ready
        self._refresh = refresh

    async def handle(self, request: Request, responder: Responder) -> None:
        """Responds to one HTTP request."""
        if request.method not in ("GET", "HEAD"):
            await responder.send(405, b"", [("Allow", "GET, HEAD")])
        elif request.path == "/metrics":
            self._refresh()
            body, content_type = self._metrics.render()
            await responder.send(200, body, [("Content-Type", content_type)])
        elif request.path == "/livez":
            await responder.send(200, b"ok\n")
        elif request.path == "/readyz":
            ready = self._ready()
            await responder.send(200 if ready else 503, b"ok\n" if ready else b"no\n")
        else:
            await responder.send(404)
