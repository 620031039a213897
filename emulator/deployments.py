"""The two example deployments: their services, zones and settings."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from heatherswitch.util.http import Headers

EXAMPLES = Path(__file__).parent.parent / "examples"


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service of a deployment.

    :param module: stand-in that runs as its backend server.
    :param count: number of backend servers.
    :param arguments: further arguments of the stand-in.
    """

    name: str
    module: str
    count: int
    arguments: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """What runs for one customer of heatherswitch."""

    name: str
    zones: tuple[str, ...]
    engines: ServiceShape
    plain: ServiceShape
    routers: int = 2

    @property
    def services(self) -> tuple[ServiceShape, ServiceShape]:
        """The model service and the plain service."""
        return (self.engines, self.plain)

    def nodes(self) -> dict[str, Any]:
        """Returns the settings tree as overrides by node path."""
        return yaml.safe_load((EXAMPLES / f"{self.name}.yaml").read_text())

    def workspaces(self) -> dict[str, float]:
        """Returns the fair-share weight by workspace."""
        prefix = "/workspace="
        return {
            path.removeprefix(prefix): overrides.get("share", 1)
            for path, overrides in self.nodes().items()
            if path.startswith(prefix)
        }


LEAFLINE = Deployment(
    name="leafline",
    zones=("hobart-a", "hobart-b", "hobart-c"),
    engines=ServiceShape("appraiser", "emulator.engine", 6, ("--model", "appraiser")),
    plain=ServiceShape("ledger", "emulator.ledger", 3),
)
LOCHBLICK = Deployment(
    name="lochblick",
    zones=("see-a", "see-b", "see-c"),
    engines=ServiceShape("model", "emulator.engine", 5, ("--model", "model")),
    plain=ServiceShape(
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


def demo_key(workspace: str) -> str:
    """Returns the documented API key of a workspace of the examples."""
    return f"demo-{workspace}"


def bearer(key: str) -> Headers:
    """Returns the header that carries an API key or token."""
    return [("Authorization", f"Bearer {key}")]
