"""Limits that the settings of a deployment set for its gateways."""

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.rollouts import ExposureLimit
from heatherswitch.gateway.timing import Timing
from heatherswitch.util.record import Record

DEFAULT_EXPOSURE = ExposureLimit()
DEFAULT_TIMING = Timing.from_bounds()
DEFAULT_ENTRY_TTL_S = 4.8


class Limits(Record):
    """Limits of one gateway, most of them derived from fleet-wide ones.

    :param key_max_age_s: age of the configuration up to which API keys are accepted.
    :param budget_ratio: retries allowed per request, across the whole fleet.
    :param budget_slack: retries allowed per window in addition, across the whole fleet.
    :param exposure: limit on the requests that an unproven version may get.
    :param timing: intervals and timeouts for following the store.
    :param expected_fleet: upper bound on the number of routers, used until the list of
        routers can be complete.
    :param entry_ttl_s: seconds after which the entry of a server that has crashed is gone
        from the store, also if its last heartbeat arrives late.
    """

    __slots__ = (
        "key_max_age_s",
        "budget_ratio",
        "budget_slack",
        "exposure",
        "timing",
        "expected_fleet",
        "entry_ttl_s",
    )

    def __init__(
        self,
        key_max_age_s: float = 4.5,
        budget_ratio: float = 0.2,
        budget_slack: float = 50.0,
        exposure: ExposureLimit = DEFAULT_EXPOSURE,
        timing: Timing = DEFAULT_TIMING,
        expected_fleet: int = DEFAULT_FLEET_SIZE,
        entry_ttl_s: float = DEFAULT_ENTRY_TTL_S,
    ) -> None:
        self.key_max_age_s = key_max_age_s
        self.budget_ratio = budget_ratio
        self.budget_slack = budget_slack
        self.exposure = exposure
        self.timing = timing
        self.expected_fleet = expected_fleet
        self.entry_ttl_s = entry_ttl_s
