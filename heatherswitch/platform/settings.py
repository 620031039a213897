"""Builds a gateway's configuration from the settings that the platform writes."""

from typing import Any

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.shell import GatewayConfig
from heatherswitch.gateway.timing import MIN_LINK_BYTES_PER_S, Timing
from heatherswitch.platform.settings_file import SettingsError
from heatherswitch.util.connection_budget import reservable_bytes
from heatherswitch.util.http import HttpLimits
from heatherswitch.util.untrusted import (
    MAX_PORT,
    describe_error,
    read_field,
    require_integer,
    require_list,
    require_name,
    require_number,
    require_object,
)

# File descriptors that the platform reserves for files; connections use the others.
RESERVED_FILE_DESCRIPTORS = 200
# Memory of a gateway whose settings don't state it, in megabytes.
DEFAULT_MEMORY_MB = 300
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
# Heartbeats after which the entry of a crashed server is gone: the platform removes it
# after three intervals of silence, and the last heartbeat may arrive one interval late.
ENTRY_TTL_HEARTBEATS = 4
DEFAULT_HEARTBEAT_MS = 1200
# Offset of the port for messages between gateways from the first internal port.
PEER_PORT_OFFSET = 1
BYTES_PER_MEGABIT = 125_000
# Fraction of the grace period after SIGTERM during which requests may still complete.
GRACE_FRACTION = 0.9


def _peer_listen_address(settings: dict[str, Any]) -> str:
    """Returns the ``host:port`` on which datagrams of other gateways are received.

    The first port of the internal range is used for metrics. Returns an empty string
    if the range has no second port.
    """
    ports = read_field(settings, "internal_port_range", _require_ports, [])
    if len(ports) < 2 or ports[1] <= ports[0]:
        return ""
    return f"{settings['ip']}:{ports[0] + PEER_PORT_OFFSET}"


def _require_ports(value: Any) -> list[int]:
    return [require_integer(port, maximum=MAX_PORT) for port in require_list(value)]


def _shortest_change_s(bounds: dict[str, Any]) -> float:
    """Returns the shortest time limit for applying a store change, in seconds."""
    shortest = min(
        read_field(bounds, name, require_number, ms)
        for name, ms in DEFAULT_CHANGE_BOUNDS_MS.items()
    )
    if shortest <= 0:
        raise ValueError("time limits for changes must be above zero")
    return shortest / 1000


def _heartbeat_s(settings: dict[str, Any]) -> float:
    """Returns the interval of the servers' heartbeats, in seconds."""
    heartbeat_ms = read_field(
        settings, "heartbeat_ms", require_number, DEFAULT_HEARTBEAT_MS
    )
    if heartbeat_ms <= 0:
        raise ValueError("heartbeat_ms must be above zero")
    return heartbeat_ms / 1000


def _link_bytes_per_s(limits: dict[str, Any]) -> float:
    """Returns the throughput of the VM's link; that of the thinnest if not stated."""
    megabits = read_field(limits, "link_mbps", require_number, 0.0)
    return megabits * BYTES_PER_MEGABIT or MIN_LINK_BYTES_PER_S


def parse_gateway_config(settings: dict[str, Any]) -> GatewayConfig:
    """Builds the configuration of a gateway from its settings file.

    :raises SettingsError: if a field is missing or malformed; names the field.
    """
    try:
        bounds = read_field(settings, "bounds", require_object, {})
        listen = read_field(settings, "listen", require_object)
        platform = read_field(settings, "platform", require_object)
        limits = read_field(settings, "limits", require_object, {})
        revoke_ms = read_field(bounds, "revoke_ms", require_number, 5000)
        key_max_age_s = revoke_ms / 1000 * KEY_AGE_FRACTION
        writes_per_s = read_field(platform, "writes_per_s", require_number, 0.0)
        max_descriptors = read_field(limits, "max_fds", require_integer, 1024)
        memory_mb = read_field(limits, "memory_mb", require_number, DEFAULT_MEMORY_MB)
        return GatewayConfig(
            id=read_field(settings, "node_name", require_name),
            zone=read_field(settings, "zone", require_name),
            regions=dict(read_field(settings, "zones", require_object, {})),
            listen=read_field(listen, "front", require_name),
            ready_listen=read_field(listen, "ready", require_name),
            metrics_host=read_field(settings, "ip", require_name),
            store=read_field(platform, "address", require_name),
            peer_listen=_peer_listen_address(settings),
            grace_s=read_field(bounds, "grace_s", require_number, 8) * GRACE_FRACTION,
            limits=Limits(
                key_max_age_s=key_max_age_s,
                budget_ratio=read_field(
                    bounds, "retry_budget_ratio", require_number, 0.2
                ),
                budget_slack=read_field(
                    bounds, "retry_budget_slack", require_number, 50.0
                ),
                exposure=ExposureLimit(
                    read_field(bounds, "canary_share", require_number, 0.1),
                    read_field(bounds, "canary_slack", require_number, 50.0),
                ),
                timing=Timing.from_bounds(
                    _shortest_change_s(bounds),
                    key_max_age_s,
                    _link_bytes_per_s(limits),
                ),
                expected_fleet=max(
                    DEFAULT_FLEET_SIZE, int(writes_per_s / WRITES_PER_S_PER_ROUTER)
                ),
                entry_ttl_s=ENTRY_TTL_HEARTBEATS * _heartbeat_s(settings),
            ),
            http=HttpLimits(
                connections=max(16, (max_descriptors - RESERVED_FILE_DESCRIPTORS) // 2),
                memory_bytes=reservable_bytes(memory_mb),
            ),
        )
    except ValueError as error:
        raise SettingsError(f"settings: {describe_error(error)}") from error
