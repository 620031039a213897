"""Decides whether the configuration in force admits a request. Performs no I/O."""

from heatherswitch.gateway.current_configuration import CurrentConfiguration
from heatherswitch.gateway.model import CallerRequest, Route, Service, Workspace
from heatherswitch.statecore.hashing import unit_hash
from heatherswitch.util.record import Record

# Values of Retry-After, in seconds: the time in which a queue drains, and a short one
# for refusals that only concern this gateway, since a retry reaches another one.
RETRY_BUSY_S = 0.3
RETRY_ELSEWHERE_S = 0.05


class Admitted(Record):
    """Route, service and workspace of an admitted request.

    :param workspace: None on a route that needs no API key.
    :param timeout_s: seconds within which the caller must have its response.
    """

    __slots__ = (
        "route",
        "service",
        "workspace",
        "timeout_s",
    )

    def __init__(
        self,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        timeout_s: float,
    ) -> None:
        self.route = route
        self.service = service
        self.workspace = workspace
        self.timeout_s = timeout_s


class Denied(Record):
    """The request is refused immediately.

    :param retry_after_s: None if a retry would not help.
    """

    __slots__ = (
        "status",
        "reason",
        "retry_after_s",
    )

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def admit(
    now: float, current: CurrentConfiguration, request: CallerRequest
) -> Admitted | Denied:
    """Looks up the route, API key and service of a request.

    The service is drawn by the route's weights, from a hash of the request id.
    """
    configuration = current.configuration
    if configuration is None:
        return Denied(503, "no configuration yet", RETRY_ELSEWHERE_S)
    route = current.routes.find(request.host, request.path)
    if route is None:
        return _unknown(now, current, 404, "no such route")
    workspace = None
    if configuration.requires_api_key and not route.anonymous:
        if not current.accepts_keys(now):
            reason = "the configuration is too old to accept keys"
            return Denied(503, reason, RETRY_ELSEWHERE_S)
        workspace = configuration.api_keys.get(request.api_key)
        if workspace is None:
            return _unknown(now, current, 401, "unknown API key")
    service = configuration.services.get(_choose_service(route, request))
    if service is None:
        return Denied(503, "the service is unknown", RETRY_BUSY_S)
    timeout_s = route.timeout_s
    if request.deadline_s is not None:
        timeout_s = min(timeout_s, request.deadline_s)
    return Admitted(route, service, workspace, timeout_s)


def _unknown(
    now: float, current: CurrentConfiguration, status: int, reason: str
) -> Denied:
    if current.is_authoritative(now):
        return Denied(status, reason)
    reason += ", but the configuration may be out of date"
    return Denied(503, reason, RETRY_ELSEWHERE_S)


def _choose_service(route: Route, request: CallerRequest) -> str:
    """Returns the service of a request, drawn by the weights of its route."""
    if len(route.service_weights) == 1:
        return route.service_weights[0][0]
    total = sum(weight for _, weight in route.service_weights)
    position = unit_hash(route.name, request.id) * total
    for service, weight in route.service_weights:
        position -= weight
        if position < 0:
            return service
    return route.service_weights[-1][0]
