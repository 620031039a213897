"""Fleet-wide limits that each router keeps by its own share, without coordination.

The routers that the store lists under leases divide a limit among themselves. A
router that knows no list takes the share of the largest fleet that there may be.
"""

from heatherswitch.statecore.hashing import rendezvous_order

# Size that a router assumes before the list of routers can be complete, where nothing
# tells how many there may be.
UNKNOWN_FLEET = 32


class TokenBucket:
    """Allows ``burst`` at once and ``rate`` a second on average.

    In a window of W seconds it lets at most ``burst + rate * W`` pass.
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def limit(self, now: float, rate: float, burst: float) -> None:
        """Changes rate and burst; what has accrued stays."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def deposit(self, amount: float) -> None:
        """Adds tokens, up to the burst."""
        self._tokens = min(self._burst, self._tokens + amount)

    def has(self, now: float) -> bool:
        """Tells whether one may pass now."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        if not self.has(now):
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Returns the seconds until one may pass; infinite without a rate."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self._rate if self._rate > 0 else float("inf")

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._at = now


class FleetView:
    """The routers among which fleet-wide limits are divided.

    :param expected: routers that there may be at most while all of them start.
    :param settled_at: time from which the list holds all of them.
    """

    __slots__ = ("_expected", "_ids", "_own", "_settled_at")

    def __init__(
        self, own: str, expected: int = UNKNOWN_FLEET, settled_at: float = 0.0
    ) -> None:
        self._own = own
        self._expected = expected
        self._settled_at = settled_at
        self._ids: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of routers that limits are divided by."""
        return max(1, len(self._ids)) if self._ids else self._expected

    def bounded_size(self, now: float) -> int:
        """Number of routers that is not too low while all of them start.

        Each sees those that joined before it. Limits with a burst would be exceeded if
        each took the share of a small fleet.
        """
        if now < self._settled_at:
            return max(self.size, self._expected)
        return self.size

    def update(self, ids: tuple[str, ...]) -> None:
        """Takes the list of live routers."""
        self._ids = ids

    def sharers(self, key: str, count: int) -> tuple[bool, int]:
        """Tells whether this router is among those that share a small limit.

        :param key: names the limit, so that the sharers differ between limits.
        :param count: routers that may share it.
        :returns: whether this router is one of them, and how many there are.
        """
        if not self._ids:
            return True, self._expected
        if len(self._ids) <= count:
            return True, len(self._ids)
        chosen = rendezvous_order(key, self._ids)[:count]
        return self._own in chosen, count
