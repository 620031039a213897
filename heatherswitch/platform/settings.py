"""Reads the settings file of a process and turns it into the product's settings."""

import os
from pathlib import Path
from typing import Any

import yaml

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.shell import GatewayConfig
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform import names
from heatherswitch.util.http import HttpLimits

# Descriptors that the platform keeps for files.
RESERVED_FDS = 200
# Part of the time after which a withdrawn key must be refused in which the
# configuration counts as current; the rest is for the way of a request.
KEY_AGE_SHARE = 0.9
# Writes to the store a second for each router that a deployment may have. Its rates
# grow more slowly than the fleet.
WRITES_PER_ROUTER = 20
# Bounds on the time from a change in the store to its effect, in milliseconds.
CHANGE_BOUNDS = {"drain_ms": 2000, "config_apply_ms": 2000, "evacuate_ms": 5000}
# Port for messages between gateways, counted from the first internal port.
PEER_PORT_OFFSET = 1
# Part of the grace period after SIGTERM in which requests may end.
GRACE_SHARE = 0.9


class SettingsError(Exception):
    """The settings file cannot be used."""


def read_settings(path: str) -> dict[str, Any]:
    """Reads the settings file.

    :raises SettingsError: if it cannot be read or is not a table.
    """
    try:
        tree = yaml.load(Path(path).read_text(), Loader=_LOADER)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(tree, dict):
        raise SettingsError(f"{path}: the settings are not a table")
    return tree


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def settings_path() -> str:
    """Returns the path of the settings file.

    :raises SettingsError: if the environment does not name it.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{names.SETTINGS_VARIABLE} is not set")
    return path


def _peer_listen(tree: dict[str, Any]) -> str:
    """Returns the address for datagrams of other gateways.

    The first internal port is that of the metrics.
    """
    ports = tree.get("internal_port_range") or ()
    if len(ports) < 2 or int(ports[1]) <= int(ports[0]):
        return ""
    return f"{tree['ip']}:{int(ports[0]) + PEER_PORT_OFFSET}"


def _change_s(bounds: dict[str, Any]) -> float:
    """Returns the seconds in which a change in the store must be in force."""
    shortest = min(float(bounds.get(n, ms)) for n, ms in CHANGE_BOUNDS.items())
    if shortest <= 0:
        raise ValueError("a bound on changes is not above zero")
    return shortest / 1000


def gateway_config(tree: dict[str, Any]) -> GatewayConfig:
    """Turns settings into those of a gateway.

    :raises SettingsError: with the field that is missing or malformed.
    """
    try:
        bounds = tree.get("bounds") or {}
        listen = tree["listen"]
        key_max_age_s = bounds.get("revoke_ms", 5000) / 1000 * KEY_AGE_SHARE
        writes_per_s = float(tree["platform"].get("writes_per_s") or 0)
        descriptors = int((tree.get("limits") or {}).get("max_fds", 1024))
        return GatewayConfig(
            id=tree["node_name"],
            zone=tree["zone"],
            regions=dict(tree.get("zones") or {}),
            listen=listen["front"],
            ready_listen=listen["ready"],
            metrics_host=tree["ip"],
            store=tree["platform"]["address"],
            peer_listen=_peer_listen(tree),
            grace_s=float(bounds.get("grace_s", 8)) * GRACE_SHARE,
            limits=Limits(
                key_max_age_s=key_max_age_s,
                budget_ratio=float(bounds.get("retry_budget_ratio", 0.2)),
                budget_slack=float(bounds.get("retry_budget_slack", 50)),
                exposure=ExposureLimit(
                    float(bounds.get("canary_share", 0.1)),
                    float(bounds.get("canary_slack", 50)),
                ),
                timing=Timing.from_bounds(_change_s(bounds), key_max_age_s),
                expected_fleet=max(
                    DEFAULT_FLEET_SIZE, int(writes_per_s / WRITES_PER_ROUTER)
                ),
            ),
            http=HttpLimits(connections=max(16, (descriptors - RESERVED_FDS) // 2)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error!r}") from error
