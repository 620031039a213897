"""Limits that the settings of a deployment set for its gateways."""

from dataclasses import dataclass

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.timing import Timing


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one gateway, most of them derived from fleet-wide ones.

    :param key_max_age_s: age of the configuration up to which API keys are accepted.
    :param budget_ratio: retries allowed per request, across the whole fleet.
    :param budget_slack: retries allowed per window in addition, across the whole fleet.
    :param exposure: limit on the requests that an unproven version may get.
    :param timing: intervals and timeouts for following the store.
    :param expected_fleet: upper bound on the number of routers, used until the list of
        routers can be complete.
    """

    key_max_age_s: float = 4.5
    budget_ratio: float = 0.2
    budget_slack: float = 50.0
    exposure: ExposureLimit = ExposureLimit()
    timing: Timing = Timing.from_bounds()
    expected_fleet: int = DEFAULT_FLEET_SIZE
