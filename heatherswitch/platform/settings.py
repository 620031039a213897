"""Builds a gateway's configuration from the settings that the platform writes."""

from typing import Any

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.shell import GatewayConfig
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.settings_file import SettingsError
from heatherswitch.util.http import HttpLimits

# File descriptors that the platform reserves for files; connections use the others.
RESERVED_FILE_DESCRIPTORS = 200
# Maximum age of the configuration for which API keys are accepted, as a fraction of the
# time limit for refusing a revoked key. The rest is left for a request in transit.
KEY_AGE_FRACTION = 0.9
# Store writes per second that a deployment allows for each router, from which the
# maximum size of the fleet is estimated. Write rates grow more slowly than the fleet.
WRITES_PER_S_PER_ROUTER = 20
# Default limits on the time from a change in the store to its effect, in milliseconds.
DEFAULT_CHANGE_BOUNDS_MS = {
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "evacuate_ms": 5000,
}
# Offset of the port for messages between gateways from the first internal port.
PEER_PORT_OFFSET = 1
# Fraction of the grace period after SIGTERM during which requests may still complete.
GRACE_FRACTION = 0.9


def _peer_listen_address(settings: dict[str, Any]) -> str:
    """Returns the ``host:port`` on which datagrams of other gateways are received.

    The first port of the internal range is used for metrics. Returns an empty string
    if the range has no second port.
    """
    ports = settings.get("internal_port_range") or ()
    if len(ports) < 2 or int(ports[1]) <= int(ports[0]):
        return ""
    return f"{settings['ip']}:{int(ports[0]) + PEER_PORT_OFFSET}"


def _shortest_change_s(bounds: dict[str, Any]) -> float:
    """Returns the shortest time limit for applying a store change, in seconds."""
    shortest = min(
        float(bounds.get(n, ms)) for n, ms in DEFAULT_CHANGE_BOUNDS_MS.items()
    )
    if shortest <= 0:
        raise ValueError("time limits for changes must be above zero")
    return shortest / 1000


def parse_gateway_config(settings: dict[str, Any]) -> GatewayConfig:
    """Builds the configuration of a gateway from its settings file.

    :raises SettingsError: if a field is missing or malformed; names the field.
    """
    try:
        bounds = settings.get("bounds") or {}
        listen = settings["listen"]
        key_max_age_s = bounds.get("revoke_ms", 5000) / 1000 * KEY_AGE_FRACTION
        writes_per_s = float(settings["platform"].get("writes_per_s") or 0)
        max_descriptors = int((settings.get("limits") or {}).get("max_fds", 1024))
        return GatewayConfig(
            id=settings["node_name"],
            zone=settings["zone"],
            regions=dict(settings.get("zones") or {}),
            listen=listen["front"],
            ready_listen=listen["ready"],
            metrics_host=settings["ip"],
            store=settings["platform"]["address"],
            peer_listen=_peer_listen_address(settings),
            grace_s=float(bounds.get("grace_s", 8)) * GRACE_FRACTION,
            limits=Limits(
                key_max_age_s=key_max_age_s,
                budget_ratio=float(bounds.get("retry_budget_ratio", 0.2)),
                budget_slack=float(bounds.get("retry_budget_slack", 50)),
                exposure=ExposureLimit(
                    float(bounds.get("canary_share", 0.1)),
                    float(bounds.get("canary_slack", 50)),
                ),
                timing=Timing.from_bounds(_shortest_change_s(bounds), key_max_age_s),
                expected_fleet=max(
                    DEFAULT_FLEET_SIZE, int(writes_per_s / WRITES_PER_S_PER_ROUTER)
                ),
            ),
            http=HttpLimits(
                connections=max(16, (max_descriptors - RESERVED_FILE_DESCRIPTORS) // 2)
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error!r}") from error
