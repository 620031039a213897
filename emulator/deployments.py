"""The two example deployments: their services, zones and settings."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from heatherswitch.util.http import Headers

EXAMPLES_DIRECTORY = Path(__file__).parent.parent / "examples"


@dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """A service of a deployment and how to run its backend servers.

    :param module: Python module of the stand-in that runs as its backend server.
    :param count: number of backend servers.
    :param arguments: further command line arguments of the stand-in.
    """

    name: str
    module: str
    count: int
    arguments: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """The zones, services and routers of one installation of heatherswitch.

    :param name: name of the settings file in the examples, without its suffix.
    :param engines: the model service.
    :param plain: the plain application service.
    :param routers: number of routers.
    """

    name: str
    zones: tuple[str, ...]
    engines: ServiceDefinition
    plain: ServiceDefinition
    routers: int = 2

    @property
    def services(self) -> tuple[ServiceDefinition, ServiceDefinition]:
        """The model service and the plain application service."""
        return (self.engines, self.plain)

    def settings_by_node(self) -> dict[str, Any]:
        """Returns the settings that each node of the tree overrides, by node path."""
        return yaml.safe_load((EXAMPLES_DIRECTORY / f"{self.name}.yaml").read_text())

    def workspace_shares(self) -> dict[str, float]:
        """Returns the fair-share weight of each workspace, by its name."""
        prefix = "/workspace="
        return {
            path.removeprefix(prefix): overrides.get("share", 1)
            for path, overrides in self.settings_by_node().items()
            if path.startswith(prefix)
        }


LEAFLINE = Deployment(
    name="leafline",
    zones=("hobart-a", "hobart-b", "hobart-c"),
    engines=ServiceDefinition(
        "appraiser", "emulator.engine", 6, ("--model", "appraiser")
    ),
    plain=ServiceDefinition("ledger", "emulator.ledger", 3),
)
LOCHBLICK = Deployment(
    name="lochblick",
    zones=("see-a", "see-b", "see-c"),
    engines=ServiceDefinition("model", "emulator.engine", 5, ("--model", "model")),
    plain=ServiceDefinition(
        "orders",
        "emulator.ledger",
        3,
        (
            "--actions",
            "/refund,/replace",
            "--lookup",
            "/orders",
            "--checks-fencing",
        ),
    ),
)
DEPLOYMENTS = {item.name: item for item in (LEAFLINE, LOCHBLICK)}


def demo_api_key(workspace: str) -> str:
    """Returns the API key of a workspace of the example deployments."""
    return f"demo-{workspace}"


def bearer_headers(key: str) -> Headers:
    """Returns the ``Authorization`` header for an API key or token."""
    return [("Authorization", f"Bearer {key}")]
