"""Bounds that a deployment sets for its gateways."""

from dataclasses import dataclass

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.timing import Timing


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that the deployment sets.

    :param key_max_age_s: age of the configuration up to which keys are accepted.
    :param budget_ratio: repeats for each request, over the whole fleet.
    :param budget_slack: repeats in a window that are free, over the whole fleet.
    :param exposure: requests that an unproven version may get.
    :param expected_fleet: routers that there may be at most before the list of them can
        be complete.
    """

    key_max_age_s: float = 4.5
    budget_ratio: float = 0.2
    budget_slack: float = 50.0
    exposure: ExposureLimit = ExposureLimit()
    timing: Timing = Timing.from_bounds()
    expected_fleet: int = DEFAULT_FLEET_SIZE
