"""The repeats that one gateway may send to the servers of each service.

The budget answers a service whose servers all fail or reject requests: without it, each
request would load them as often as there are servers. Performs no I/O.
"""

from heatherswitch.fleet.shares import FleetSize, TokenBucket

# Share of the fleet's budget that is used, so that gateways whose lists of the fleet
# briefly differ do not exceed it together.
BUDGET_SHARE = 0.7
# Seconds after the start in which the former process may have drawn repeats that still
# count: the window of the budget, and the time in which the list of gateways settles.
START_S = 20.0


class RetryBudget:
    """This gateway's share of the fleet's retry budget, by service.

    Each service has a bucket of its own, since requests for one service allow no repeats
    at another. Requests fill it by ``ratio``, up to this gateway's part of ``slack``.

    :param now: current time in seconds.
    :param ratio: repeats allowed per request, across the whole fleet.
    :param slack: repeats allowed per window in addition, across the whole fleet.
    """

    __slots__ = (
        "_buckets",
        "_fleet",
        "_full_from",
        "_initial_tokens",
        "_ratio",
        "_slack",
    )

    def __init__(
        self, now: float, ratio: float, slack: float, fleet: FleetSize
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._fleet = fleet
        self._buckets: dict[str, TokenBucket] = {}
        # A gateway that restarts does not know what it has drawn before, so that its
        # buckets are not filled to the share of a gateway that has run for long.
        self._initial_tokens = self._burst(now)
        self._full_from = now + START_S

    def count_request(self, now: float, service: str) -> None:
        """Counts a new request, which adds to the budget of its service."""
        self._bucket(now, service).deposit(BUDGET_SHARE * self._ratio)

    def left(self, now: float, service: str) -> float:
        """Returns the number of repeats that may be sent to a service now."""
        return self._bucket(now, service).tokens

    def is_available(self, now: float, service: str) -> bool:
        """Tells whether a repeat may be sent to a service."""
        return self._bucket(now, service).is_available(now)

    def draw(self, now: float, service: str) -> None:
        """Counts a repeat that is sent to a service."""
        self._bucket(now, service).take(now)

    def refund(self, now: float, service: str) -> None:
        """Takes back a repeat that reached no server."""
        self._bucket(now, service).deposit(1.0)

    def update_share(self, now: float) -> None:
        """Adapts the budget to the current size of the fleet."""
        burst = self._burst(now)
        for bucket in self._buckets.values():
            bucket.set_rate(now, 0.0, burst)

    def _burst(self, now: float) -> float:
        gateways = self._fleet.size_upper_bound(now)
        return max(1.0, BUDGET_SHARE * self._slack / gateways)

    def _bucket(self, now: float, service: str) -> TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            burst = self._burst(now)
            tokens = burst if now >= self._full_from else self._initial_tokens
            bucket = TokenBucket(now, 0.0, tokens)
            bucket.set_rate(now, 0.0, burst)
            self._buckets[service] = bucket
        return bucket
