"""Evidence of all routers about one version move.

Each router counts the answers that it saw in windows and publishes running totals
by route. A total replaces an older one of the same router and route, so a repeated
or late message adds nothing. Every router runs the test over all totals it knows;
a router that becomes the move owner therefore goes on with its own test.
"""

from dataclasses import dataclass

from heatherswitch.fleet.rollout import Counts, Verdict, VersionTest, Window

# Shortest length of a window, in seconds.
WINDOW_S = 1.0
# A window without answers of both versions is prolonged up to this, in seconds.
MAX_WINDOW_S = 5.0
# Routes that are told apart; the others are counted together.
MAX_ROUTES = 64
OTHER_ROUTES = "other"
# Records that one router keeps; 400 routers with a few busy routes fit.
MAX_RECORDS = 4096
# A new total is passed on for this long, in seconds.
OFFER_S = 3.0


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Totals of one router and route since the start of a move.

    :param incarnation: of the router; a restarted one counts anew.
    :param sequence: number of windows in the totals, from 1.
    :param share: share of the starting version in the last window.
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
    def age_key(self) -> tuple[int, int]:
        """Orders the records of one router and route."""
        return (self.incarnation, self.sequence)


@dataclass(frozen=True, slots=True)
class Judgement:
    """What the evidence says of a running move.

    :param reason: what led to ``BAD``.
    :param seen: answers of the starting version that were counted.
    :param compared: answers of the active version in the same windows.
    """

    verdict: Verdict = Verdict.UNDECIDED
    reason: str = ""
    seen: Counts = Counts()
    compared: Counts = Counts()


class _OpenWindow:
    """Answers on one route since the last window ended."""

    __slots__ = ("active", "since", "starting")

    def __init__(self, since: float) -> None:
        self.since = since
        self.active = Counts()
        self.starting = Counts()

    def due(self, now: float) -> bool:
        age_s = now - self.since
        both = self.active.requests and self.starting.requests
        timed = self.active.timed and self.starting.timed
        return age_s >= (WINDOW_S if both or timed else MAX_WINDOW_S)


class MoveEvidence:
    """Evidence about one version move at one router.

    :param router: id of the own router.
    :param test: judges the starting version.
    """

    __slots__ = (
        "_compared",
        "_incarnation",
        "_move",
        "_open",
        "_records",
        "_router",
        "_seen",
        "_share",
        "_test",
        "_updated",
    )

    def __init__(
        self, move: str, router: str, incarnation: int, test: VersionTest
    ) -> None:
        self._move = move
        self._router = router
        self._incarnation = incarnation
        self._test = test
        self._share = 0.0
        self._open: dict[str, _OpenWindow] = {}
        # Router and route to the newest record.
        self._records: dict[tuple[str, str], EvidenceRecord] = {}
        self._updated: dict[tuple[str, str], float] = {}
        self._seen = Counts()
        self._compared = Counts()

    @property
    def judgement(self) -> Judgement:
        """What the evidence says so far."""
        test = self._test
        return Judgement(test.verdict, test.reason, self._seen, self._compared)

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
        changed = share != self._share
        for route, window in self._open.items():
            if changed or window.due(now):
                self._end_window(now, route, window)
                self._open[route] = _OpenWindow(now)
        if changed:
            self._share = share
            self._test.start_step()

    def _end_window(self, now: float, route: str, window: _OpenWindow) -> None:
        if window.active == window.starting == Counts():
            return
        known = self._records.get((self._router, route))
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
        self._test_window(Window(route, window.active, window.starting))

    def take(self, now: float, record: EvidenceRecord) -> bool:
        """Takes a record of another router; returns True when it is new here."""
        key = (record.router, record.route)
        known = self._records.get(key)
        if record.router == self._router or not _is_valid(record):
            return False
        if known is None and len(self._records) >= MAX_RECORDS:
            return False
        if known is not None and record.age_key <= known.age_key:
            return False
        window = _difference(known, record)
        self._store(now, record)
        if window is not None:
            self._test_window(window)
        return True

    def _store(self, now: float, record: EvidenceRecord) -> None:
        key = (record.router, record.route)
        self._records[key] = record
        self._updated[key] = now

    def _test_window(self, window: Window) -> None:
        self._seen += window.starting
        self._compared += window.active
        self._test.add(window)

    def offers(self, now: float) -> list[EvidenceRecord]:
        """Returns the records that changed a short time ago."""
        return [
            self._records[key]
            for key, updated in self._updated.items()
            if now - updated < OFFER_S
        ]


def _difference(known: EvidenceRecord | None, record: EvidenceRecord) -> Window | None:
    """Returns what a record adds, or None when that is no sound evidence.

    Windows at different shares must not be added up: the versions then took part
    in different proportions in good and bad times, which looks like a difference
    between the versions.
    """
    if known is None or known.incarnation != record.incarnation:
        if record.sequence != 1:
            return None
        return Window(record.route, record.active, record.starting)
    if known.sequence + 1 != record.sequence and known.share != record.share:
        return None
    active = record.active - known.active
    starting = record.starting - known.starting
    if not (active.valid and starting.valid):
        return None
    return Window(record.route, active, starting)


def _is_valid(record: EvidenceRecord) -> bool:
    return record.sequence > 0 and record.active.valid and record.starting.valid
