"""Fleet-wide limits that each router enforces by its own share, without coordination.

The routers that the store lists under leases divide a limit evenly. A router without
such a list uses the share that it would have in the largest expected fleet.
"""

from heatherswitch.statecore.hashing import rendezvous_order

# Fleet size that is assumed while the list of routers may be incomplete and no expected
# size is configured.
DEFAULT_FLEET_SIZE = 32


class TokenBucket:
    """Token bucket with a refill of ``rate`` tokens per second and a size of ``burst``.

    In any window of W seconds at most ``burst + rate * W`` tokens are taken, besides
    those added by :meth:`deposit`.
    """

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """Tokens at the last operation."""
        return self._tokens

    def set_rate(self, now: float, rate: float, burst: float) -> None:
        """Changes rate and burst; the tokens stay, up to the new burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def deposit(self, amount: float) -> None:
        """Adds tokens, up to the burst."""
        self._tokens = min(self._burst, self._tokens + amount)

    def is_available(self, now: float) -> bool:
        """Returns whether a token is available."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Takes a token; returns False if none is available."""
        if not self.is_available(now):
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token is available; infinite at rate zero."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self._rate if self._rate > 0 else float("inf")

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._refilled_at = now


class FleetSize:
    """The routers among which fleet-wide limits are divided.

    :param own: id of this router.
    :param expected: largest expected number of routers, used while the list may be
        incomplete.
    :param settled_at: time in seconds from which the list is assumed to be complete.
    """

    __slots__ = ("_expected", "_ids", "_own", "_settled_at")

    def __init__(
        self, own: str, expected: int = DEFAULT_FLEET_SIZE, settled_at: float = 0.0
    ) -> None:
        self._own = own
        self._expected = expected
        self._settled_at = settled_at
        self._ids: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of listed routers, or the expected number without a list."""
        return max(1, len(self._ids)) if self._ids else self._expected

    def size_upper_bound(self, now: float) -> int:
        """Returns the number of routers, or an upper bound during a fleet-wide start.

        While all routers start, each sees only those that joined before it. If each
        used the share of a small fleet, limits with a burst would be exceeded.

        :param now: current time in seconds.
        """
        if now < self._settled_at:
            return max(self.size, self._expected)
        return self.size

    def update(self, ids: tuple[str, ...]) -> None:
        """Replaces the list of live routers by their ids."""
        self._ids = ids

    def select_for_limit(self, key: str, count: int) -> tuple[bool, int]:
        """Selects the routers that share a limit too small to divide among all.

        :param key: name of the limit; the selection differs between limits.
        :param count: largest number of routers to select.
        :returns: whether this router is selected, and how many are.
        """
        if not self._ids:
            return True, self._expected
        if len(self._ids) <= count:
            return True, len(self._ids)
        chosen = rendezvous_order(key, self._ids)[:count]
        return self._own in chosen, count
