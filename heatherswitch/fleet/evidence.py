"""Evidence of all routers about one version move.

Each router counts the answers that it saw in windows and publishes running totals
by route and share of the starting version. A total replaces an older one of the same
router, route and share, so a repeated or late message adds nothing, and one that is
missed is made good by the next. Every router runs the test over all totals it knows;
a router that becomes the move owner therefore goes on with its own test.
"""

import math
from dataclasses import dataclass

from heatherswitch.fleet.rollout import Counts, Verdict, VersionTest, Window

# Shortest length of a window, in seconds.
WINDOW_S = 1.0
# A window without answers of both versions is prolonged up to this, in seconds.
MAX_WINDOW_S = 5.0
# Routes that are told apart; the others are counted together.
MAX_ROUTES = 64
OTHER_ROUTES = "other"
# Records that one router keeps; 400 routers with a few busy routes and stages fit.
MAX_RECORDS = 8192
# A new total is passed on for this long, in seconds.
OFFER_S = 3.0


RecordKey = tuple[str, str, float]


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Totals of one router and route at one share of the starting version.

    Totals of different shares are kept apart: the versions then took part in different
    proportions in good and bad times, which looks like a difference between them.

    :param incarnation: of the router; a restarted one counts anew.
    :param sequence: number of windows in the totals, from 1.
    """

    move: str
    router: str
    incarnation: int
    sequence: int
    route: str
    share: float
    active: Counts
    starting: Counts

    @property
    def key(self) -> "RecordKey":
        """Router, route and share."""
        return (self.router, self.route, self.share)

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the records of one key."""
        return (self.incarnation, self.sequence)


@dataclass(frozen=True, slots=True)
class Judgement:
    """What the evidence says of a running move.

    :param reason: what led to ``BAD``.
    :param seen: answers of the starting version that were counted.
    :param step: the same at the present share only.
    :param excess: how much higher the starting version's rate of bad answers is at
        the present share, from -1 to 1.
    :param excess_errors: the same in standard errors.
    """

    verdict: Verdict = Verdict.UNDECIDED
    reason: str = ""
    seen: Counts = Counts()
    step: Counts = Counts()
    excess: float = 0.0
    excess_errors: float = 0.0


class _StepEvidence:
    """Compares both versions at one share of the starting one.

    The difference of the rates is taken within each window and then averaged, by the
    weights of Mantel and Haenszel; its error is that of Cochran's test. Rates of sums
    would differ between equal versions when a slow time coincides with a window in
    which one of them has more answers.
    """

    __slots__ = ("_excess", "_variance", "_weight", "seen")

    def __init__(self) -> None:
        self.seen = Counts()
        self._excess = 0.0
        self._weight = 0.0
        self._variance = 0.0

    @property
    def excess(self) -> float:
        """Excess of the starting version's rate of bad answers.

        Without a window that holds answers of both, it is the rate itself.
        """
        return self._excess / self._weight if self._weight else _bad_rate(self.seen)

    @property
    def excess_errors(self) -> float:
        """The excess in standard errors of equal versions; infinite if unknown."""
        if not self._weight:
            return math.inf
        return self._excess / math.sqrt(self._variance) if self._variance else 0.0

    def add(self, window: Window) -> None:
        """Takes a window at this share."""
        ours, theirs = window.starting, window.active
        self.seen += ours
        if not ours.requests or not theirs.requests:
            return
        both = ours + theirs
        weight = ours.requests * theirs.requests / both.requests
        rate = _bad_rate(both)
        self._excess += weight * (_bad_rate(ours) - _bad_rate(theirs))
        self._weight += weight
        self._variance += (
            weight * rate * (1 - rate) * both.requests / (both.requests - 1)
        )


def _bad_rate(counts: Counts) -> float:
    """Returns the part of the answers that failed or were slow."""
    return min(1.0, (counts.failures + counts.slow) / max(1, counts.requests))


class _OpenWindow:
    """Answers on one route since the last window ended."""

    __slots__ = ("active", "since", "starting")

    def __init__(self, since: float) -> None:
        self.since = since
        self.active = Counts()
        self.starting = Counts()

    def is_whole(self) -> bool:
        """Tells whether it holds answers of both versions."""
        both = self.active.requests and self.starting.requests
        timed = self.active.timed and self.starting.timed
        return bool(both or timed)


class MoveEvidence:
    """Evidence about one version move at one router.

    :param router: id of the own router.
    :param test: judges the starting version.
    :param window_s: shortest length of a window, in seconds.
    :param max_window_s: length up to which a window without answers of both versions is
        prolonged, in seconds.
    """

    __slots__ = (
        "_incarnation",
        "_max_window_s",
        "_move",
        "_open",
        "_records",
        "_router",
        "_seen",
        "_share",
        "_step",
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
    ) -> None:
        self._move = move
        self._router = router
        self._incarnation = incarnation
        self._test = test
        self._window_s = window_s
        self._max_window_s = max_window_s
        self._share = 0.0
        self._open: dict[str, _OpenWindow] = {}
        # The newest record of each key, and when it was taken.
        self._records: dict[RecordKey, EvidenceRecord] = {}
        self._updated: dict[RecordKey, float] = {}
        self._seen = Counts()
        self._step = _StepEvidence()

    @property
    def judgement(self) -> Judgement:
        """What the evidence says so far."""
        test, step = self._test, self._step
        return Judgement(
            test.verdict,
            test.reason,
            self._seen,
            step.seen,
            step.excess,
            step.excess_errors,
        )

    def count(self, now: float, route: str, starting: bool, counts: Counts) -> None:
        """Adds answers that this router saw."""
        if route not in self._open and len(self._open) >= MAX_ROUTES:
            route = OTHER_ROUTES
        window = self._open.setdefault(route, _OpenWindow(now))
        if starting:
            window.starting += counts
        else:
            window.active += counts

    def advance(self, now: float, share: float) -> None:
        """Ends the windows that are due, and all of them when the share changes.

        :param share: share of the starting version in force now.
        """
        if share != self._share:
            self.end_windows(now)
            self._share = share
            self._step = _StepEvidence()
            self._test.start_step()
        for route, window in self._open.items():
            longest_s = self._window_s if window.is_whole() else self._max_window_s
            if now - window.since >= longest_s:
                self._end_window(now, route, window)
                self._open[route] = _OpenWindow(now)

    def end_windows(self, now: float) -> None:
        """Ends all windows, so that a decision counts the newest answers too."""
        for route, window in self._open.items():
            self._end_window(now, route, window)
            self._open[route] = _OpenWindow(now)

    def _end_window(self, now: float, route: str, window: _OpenWindow) -> None:
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
        self._test_window(Window(route, window.active, window.starting), self._share)

    def take(self, now: float, record: EvidenceRecord) -> bool:
        """Takes a record of another router; returns True when it is new here."""
        known = self._records.get(record.key)
        if record.router == self._router or not _is_valid(record):
            return False
        if known is None and len(self._records) >= MAX_RECORDS:
            return False
        if known is not None and record.age_key <= known.age_key:
            return False
        window = _difference(known, record)
        self._store(now, record)
        if window is not None:
            self._test_window(window, record.share)
        return True

    def _store(self, now: float, record: EvidenceRecord) -> None:
        self._records[record.key] = record
        self._updated[record.key] = now

    def _test_window(self, window: Window, share: float) -> None:
        self._seen += window.starting
        if share == self._share:
            self._step.add(window)
        self._test.add(window)

    def offers(self, now: float) -> list[EvidenceRecord]:
        """Returns the records that changed a short time ago."""
        return [
            self._records[key]
            for key, updated in self._updated.items()
            if now - updated < OFFER_S
        ]


def _difference(known: EvidenceRecord | None, record: EvidenceRecord) -> Window | None:
    """Returns what a record adds, or None when that is no sound evidence."""
    if known is None or known.incarnation != record.incarnation:
        return Window(record.route, record.active, record.starting)
    active = record.active - known.active
    starting = record.starting - known.starting
    if not (active.valid and starting.valid):
        return None
    return Window(record.route, active, starting)


def _is_valid(record: EvidenceRecord) -> bool:
    return record.sequence > 0 and record.active.valid and record.starting.valid
