"""Response statistics of all routers about one version move.

Each router counts its responses in time windows and publishes running totals by route
and share of the starting version. A total replaces an older one of the same router,
route and share. So repeated and late messages have no effect, and a lost one is made up
for by the next. Every router runs the test over all totals it knows, so a router that
becomes the move owner continues with its own test state.
"""

import math

from heatherswitch.fleet.rollout import Counts, Signal, Verdict, VersionTest, Window
from heatherswitch.util.record import Record

# Minimum length of a window, in seconds.
WINDOW_S = 1.0
# Maximum length of a window that lacks responses of one of the versions, in seconds.
MAX_WINDOW_S = 5.0
# Number of routes that are counted separately; all others are counted together.
MAX_ROUTES = 64
OTHER_ROUTES = "other"
# Largest number of records at one router; enough for 400 routers with a few busy routes
# and shares each.
MAX_RECORDS = 8192
# Time for which a new total is sent to other routers, in seconds.
PROPAGATION_S = 3.0


RecordKey = tuple[str, str, float]


NO_COUNTS = Counts()


class EvidenceRecord(Record):
    """Totals of one router and route at one share of the starting version.

    Totals of different shares are kept apart. If they were added up, the versions would
    have different proportions of the requests in good and in bad times, which would
    look like a difference between the versions.

    :param move: id of the move.
    :param incarnation: start time of the router, whose totals restart from zero then.
    :param sequence: number of windows in the totals, from 1.
    """

    __slots__ = (
        "move",
        "router",
        "incarnation",
        "sequence",
        "route",
        "share",
        "active",
        "starting",
    )

    def __init__(
        self,
        move: str,
        router: str,
        incarnation: int,
        sequence: int,
        route: str,
        share: float,
        active: Counts,
        starting: Counts,
    ) -> None:
        self.move = move
        self.router = router
        self.incarnation = incarnation
        self.sequence = sequence
        self.route = route
        self.share = share
        self.active = active
        self.starting = starting

    @property
    def key(self) -> "RecordKey":
        """Identifies the totals that the record replaces."""
        return (self.router, self.route, self.share)

    @property
    def recency_key(self) -> tuple[int, int]:
        """Sort key that orders the records of one key from old to new."""
        return (self.incarnation, self.sequence)


class Judgement(Record):
    """Current result of the evidence about a running move.

    :param reason: route and signal that led to ``BAD``; empty otherwise.
    :param seen: counted responses of the starting version, over all shares.
    :param step: counted responses of the starting version at the current share.
    :param excess: rate of bad responses of the starting version minus that of the
        active one at the current share, from -1 to 1, for the signal by which the
        starting version is worst.
    :param excess_standard_errors: ``excess`` in standard errors.
    """

    __slots__ = (
        "verdict",
        "reason",
        "seen",
        "step",
        "excess",
        "excess_standard_errors",
    )

    def __init__(
        self,
        verdict: Verdict = Verdict.UNDECIDED,
        reason: str = "",
        seen: Counts = NO_COUNTS,
        step: Counts = NO_COUNTS,
        excess: float = 0.0,
        excess_standard_errors: float = 0.0,
    ) -> None:
        self.verdict = verdict
        self.reason = reason
        self.seen = seen
        self.step = step
        self.excess = excess
        self.excess_standard_errors = excess_standard_errors


class _StepEvidence:
    """Compares both versions by one signal at one share of the starting version.

    The difference of the rates is computed within each window and then averaged with
    Mantel-Haenszel weights; its standard error is that of Cochran's test. The rates of
    the summed counts would differ between equal versions if all responses are slow in a
    window in which one version has more responses.
    """

    __slots__ = ("_excess", "_signal", "_variance", "_weight", "seen")

    def __init__(self, signal: Signal) -> None:
        self.seen = Counts()
        self._signal = signal
        self._excess = 0.0
        self._weight = 0.0
        self._variance = 0.0

    @property
    def excess(self) -> float:
        """Weighted mean difference of the rates of bad responses.

        It is the starting version's own rate if no window has responses of both.
        """
        return self._excess / self._weight if self._weight else self._rate(self.seen)

    @property
    def excess_standard_errors(self) -> float:
        """The excess in standard errors under equal rates; infinite if unknown."""
        if not self._weight:
            return math.inf
        return self._excess / math.sqrt(self._variance) if self._variance else 0.0

    def add(self, window: Window) -> None:
        """Adds a window at this share."""
        starting, active = window.starting, window.active
        self.seen += starting
        n_starting = starting.total_count(self._signal)
        n_active = active.total_count(self._signal)
        if not n_starting or not n_active:
            return
        n_both = n_starting + n_active
        weight = n_starting * n_active / n_both
        rate = self._rate(starting + active)
        self._excess += weight * (self._rate(starting) - self._rate(active))
        self._weight += weight
        self._variance += weight * rate * (1 - rate) * n_both / (n_both - 1)

    def _rate(self, counts: Counts) -> float:
        """Returns the fraction of the responses that are bad."""
        bad = counts.bad_count(self._signal)
        return bad / max(1, counts.total_count(self._signal))


class _OpenWindow:
    """Counts on one route since its last window ended."""

    __slots__ = ("active", "since", "starting")

    def __init__(self, since: float) -> None:
        self.since = since
        self.active = Counts()
        self.starting = Counts()

    def has_both_versions(self) -> bool:
        """Returns whether both versions have responses, or both have timed ones."""
        both = self.active.requests and self.starting.requests
        timed = self.active.timed and self.starting.timed
        return bool(both or timed)


class MoveEvidence:
    """Evidence about one version move, as known to one router.

    :param move: id of the move.
    :param router: id of this router.
    :param incarnation: start time of this router.
    :param test: statistical test of the starting version.
    :param window_s: minimum length of a window, in seconds.
    :param max_window_s: maximum length of a window that lacks responses of one of the
        versions, in seconds.
    :param pooled: compare the responses of all routers in common windows. Then a router
        needs not get responses of both versions in a window, but all must assign the
        same share of the counted requests to the starting version.
    """

    __slots__ = (
        "_incarnation",
        "_max_window_s",
        "_move",
        "_open",
        "_pool",
        "_pooled",
        "_records",
        "_router",
        "_seen",
        "_share",
        "_steps",
        "_test",
        "_updated",
        "_window_s",
    )

    def __init__(
        self,
        move: str,
        router: str,
        incarnation: int,
        test: VersionTest,
        window_s: float = WINDOW_S,
        max_window_s: float = MAX_WINDOW_S,
        pooled: bool = False,
    ) -> None:
        self._move = move
        self._router = router
        self._incarnation = incarnation
        self._test = test
        self._window_s = window_s
        self._max_window_s = max_window_s
        self._share = 0.0
        self._open: dict[str, _OpenWindow] = {}
        self._pooled = pooled
        # Windows of all routers that are not yet compared.
        self._pool: dict[str, _OpenWindow] = {}
        # Newest record of each key, and the time at which it was stored.
        self._records: dict[RecordKey, EvidenceRecord] = {}
        self._updated: dict[RecordKey, float] = {}
        self._seen = Counts()
        self._steps = _new_steps()

    @property
    def judgement(self) -> Judgement:
        """Result of the evidence so far."""
        test, step = self._test, max(self._steps, key=lambda step: step.excess)
        return Judgement(
            test.verdict,
            test.reason,
            self._seen,
            step.seen,
            step.excess,
            step.excess_standard_errors,
        )

    def count(self, now: float, route: str, starting: bool, counts: Counts) -> None:
        """Counts responses that this router received.

        :param starting: whether they are of the starting version.
        """
        if route not in self._open and len(self._open) >= MAX_ROUTES:
            route = OTHER_ROUTES
        window = self._open.setdefault(route, _OpenWindow(now))
        if starting:
            window.starting += counts
        else:
            window.active += counts

    def advance(self, now: float, share: float) -> None:
        """Closes the windows that are due, or all of them when the share changes.

        :param share: current share of the starting version.
        """
        if share != self._share:
            self.close_windows(now)
            self._share = share
            self._steps = _new_steps()
            self._test.start_step()
        for route, window in self._open.items():
            if self._pooled or self._is_due(now, window):
                self._close_window(now, route, window)
                self._open[route] = _OpenWindow(now)
        for route, window in list(self._pool.items()):
            if self._is_due(now, window):
                self._compare(self._pool.pop(route), route)

    def _is_due(self, now: float, window: _OpenWindow) -> bool:
        longest_s = self._window_s if window.has_both_versions() else self._max_window_s
        return now - window.since >= longest_s

    def close_windows(self, now: float) -> None:
        """Closes all windows, so that a decision includes the newest responses."""
        for route, window in self._open.items():
            self._close_window(now, route, window)
            self._open[route] = _OpenWindow(now)
        for route, window in self._pool.items():
            self._compare(window, route)
        self._pool.clear()

    def _close_window(self, now: float, route: str, window: _OpenWindow) -> None:
        if window.active == window.starting == Counts():
            return
        known = self._records.get((self._router, route, self._share))
        sequence = known.sequence + 1 if known else 1
        active = known.active if known else Counts()
        starting = known.starting if known else Counts()
        record = EvidenceRecord(
            self._move,
            self._router,
            self._incarnation,
            sequence,
            route,
            self._share,
            active + window.active,
            starting + window.starting,
        )
        self._store(now, record)
        self._apply_window(
            now, Window(route, window.active, window.starting), self._share
        )

    def merge(self, now: float, record: EvidenceRecord) -> bool:
        """Stores a record of another router.

        :returns: whether it is valid and newer than the stored one.
        """
        known = self._records.get(record.key)
        if record.router == self._router or not _is_valid(record):
            return False
        if known is None and len(self._records) >= MAX_RECORDS:
            return False
        if known is not None and record.recency_key <= known.recency_key:
            return False
        window = _difference(known, record)
        self._store(now, record)
        if window is not None:
            self._apply_window(now, window, record.share)
        return True

    def _store(self, now: float, record: EvidenceRecord) -> None:
        self._records[record.key] = record
        self._updated[record.key] = now

    def _apply_window(self, now: float, window: Window, share: float) -> None:
        self._seen += window.starting
        if share != self._share:
            self._test.add(window)
        elif self._pooled:
            pool = self._pool.setdefault(window.route, _OpenWindow(now))
            pool.active += window.active
            pool.starting += window.starting
        else:
            self._add_to_step(window)

    def _compare(self, pool: _OpenWindow, route: str) -> None:
        self._add_to_step(Window(route, pool.active, pool.starting))

    def _add_to_step(self, window: Window) -> None:
        for step in self._steps:
            step.add(window)
        self._test.add(window)

    def recent_records(self, now: float) -> list[EvidenceRecord]:
        """Returns the records that changed recently, to be sent to other routers."""
        return [
            self._records[key]
            for key, updated in self._updated.items()
            if now - updated < PROPAGATION_S
        ]


def _new_steps() -> list[_StepEvidence]:
    return [_StepEvidence(signal) for signal in Signal]


def _difference(known: EvidenceRecord | None, record: EvidenceRecord) -> Window | None:
    """Returns what a record adds to the known one, or None if the totals shrank."""
    if known is None or known.incarnation != record.incarnation:
        return Window(record.route, record.active, record.starting)
    active = record.active - known.active
    starting = record.starting - known.starting
    if not (active.valid and starting.valid):
        return None
    return Window(record.route, active, starting)


def _is_valid(record: EvidenceRecord) -> bool:
    return record.sequence > 0 and record.active.valid and record.starting.valid
