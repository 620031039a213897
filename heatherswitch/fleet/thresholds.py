"""Simple version tests: fixed thresholds, and no test at all.

They serve only as baselines in benchmarks. Routers use the sequential test of
:mod:`heatherswitch.fleet.rollout`.
"""

from heatherswitch.fleet.rollout import Counts, Signal, Verdict, Window

# Number of responses of the new version that a proof needs at each share.
MIN_REQUESTS = 50
# Number of failures from which rates are compared.
MIN_BAD = 5
# The new version is bad when its failure rate exceeds the old version's rate times
# RATE_FACTOR plus RATE_DIFFERENCE.
RATE_FACTOR = 2.0
RATE_DIFFERENCE = 0.05


class FixedThresholdTest:
    """Compares failure rates per route and over all routes with fixed thresholds."""

    __slots__ = ("_new", "_old", "_reason")

    def __init__(self) -> None:
        self._new: dict[str, Counts] = {}
        self._old: dict[str, Counts] = {}
        self._reason = ""

    @property
    def verdict(self) -> Verdict:
        """Current verdict; ``BAD`` is final, ``PROVEN`` is for the current share."""
        if self._reason:
            return Verdict.BAD
        total = sum(self._new.values(), Counts())
        proven = total.requests >= MIN_REQUESTS
        return Verdict.PROVEN if proven else Verdict.UNDECIDED

    @property
    def reason(self) -> str:
        """Route that led to ``BAD``, or an empty string."""
        return self._reason

    def start_step(self) -> None:
        """Resets the counts of the new version."""
        self._new.clear()

    def add(self, window: Window) -> Verdict:
        """Adds one window and returns the verdict."""
        route = window.route
        self._new[route] = self._new.get(route, Counts()) + window.starting
        self._old[route] = self._old.get(route, Counts()) + window.active
        pairs = [(self._new[route], self._old[route])]
        new, old = (sum(sums.values(), Counts()) for sums in (self._new, self._old))
        pairs.append((new, old))
        if any(_is_worse(new_counts, old_counts) for new_counts, old_counts in pairs):
            self._reason = self._reason or f"error threshold on {route}"
        return self.verdict


class FixedSchedule:
    """Raises the share by time alone, whatever the responses are."""

    __slots__ = ()

    @property
    def verdict(self) -> Verdict:
        """Always ``PROVEN``."""
        return Verdict.PROVEN

    @property
    def reason(self) -> str:
        """Always empty."""
        return ""

    def start_step(self) -> None:
        """Does nothing."""

    def add(self, window: Window) -> Verdict:
        """Ignores the window."""
        return self.verdict


def _is_worse(new: Counts, old: Counts) -> bool:
    bad, old_bad = new.bad_count(Signal.FAILURE), old.bad_count(Signal.FAILURE)
    rate = bad / max(new.requests, 1)
    bound = RATE_FACTOR * old_bad / max(old.requests, 1) + RATE_DIFFERENCE
    return bad >= MIN_BAD and rate > bound
