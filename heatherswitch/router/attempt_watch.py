"""Turns the attempts of requests into counts for the evidence about versions."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from heatherswitch.fleet.moves import PROVEN_STEPS
from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.fleet.records import Move
from heatherswitch.fleet.rollout import Counts
from heatherswitch.fleet.slowness import SlowThreshold
from heatherswitch.router.dispatch import AttemptResult
from heatherswitch.router.runner import (
    AttemptFirstByte,
    AttemptProgress,
    AttemptReport,
    AttemptStarted,
)

# A server in cold start may be slower than others by this factor, for either version.
# It is the default of ``cold_start.slow_factor``.
COLD_FACTOR = 4.0
# Attempts that have no result after this long were cancelled, in seconds.
FORGET_AFTER_S = 300.0
# Codes of failures that the caller caused.
CALLER_CODES = frozenset({"caller_left", "invalid_request"})


@dataclass(frozen=True, slots=True)
class Answer:
    """What one attempt adds to the evidence.

    :param route: declared route and request class.
    :param starting: True for the starting version, False for the active one.
    """

    service: str
    route: str
    starting: bool
    counts: Counts


class _Pending:
    """An attempt without a result."""

    __slots__ = ("cold", "route", "service", "started_at", "starting", "timed")

    def __init__(self, service, route, starting, started_at, cold) -> None:
        self.service: str = service
        self.route: str = route
        self.starting: bool = starting
        self.started_at: float = started_at
        self.cold: bool = cold
        # True once the time to the first byte was counted.
        self.timed = False


class AttemptWatch:
    """Counts attempts of services that have a running version move.

    :param now: returns the time in seconds.
    :param moves: running version moves by service; the owner keeps it up to date.
    :param count: receives what is counted.
    """

    __slots__ = ("_count", "_moves", "_now", "_pending", "_thresholds")

    def __init__(
        self,
        now: Callable[[], float],
        moves: Mapping[str, Move],
        count: Callable[[Answer], None],
    ) -> None:
        self._now = now
        self._moves = moves
        self._count = count
        # Request id and attempt to the attempt.
        self._pending: dict[tuple[str, int], _Pending] = {}
        # Service and route to the threshold.
        self._thresholds: dict[tuple[str, str], SlowThreshold] = {}

    def progress(self, notice: AttemptProgress) -> None:
        """Takes the start or the first byte of an attempt."""
        if isinstance(notice, AttemptStarted):
            self._started(notice)
        elif isinstance(notice, AttemptFirstByte):
            pending = self._pending.get((notice.request_id, notice.attempt))
            if pending is not None:
                self._first_byte(pending)

    def _started(self, notice: AttemptStarted) -> None:
        move = self._moves.get(notice.service)
        if move is None:
            return
        starting = notice.version == move.to_version
        if not starting and move.from_version not in ("", notice.version):
            return
        route = f"{notice.route} {notice.request_class}".strip()
        key = (notice.request_id, notice.attempt)
        self._pending[key] = _Pending(
            notice.service, route, starting, self._now(), notice.cold
        )

    def _first_byte(self, pending: _Pending) -> None:
        now = self._now()
        seconds = now - pending.started_at
        if pending.timed:
            return
        threshold_s = self._threshold_s(now, pending)
        if not pending.starting:
            self._add_active(pending, seconds)
        if threshold_s is not None:
            self._time(pending, seconds > threshold_s)

    def _threshold_s(self, now: float, pending: _Pending) -> float | None:
        threshold_s = self._threshold(pending).threshold_s(now)
        if threshold_s is not None and pending.cold:
            return COLD_FACTOR * threshold_s
        return threshold_s

    def _threshold(self, pending: _Pending) -> SlowThreshold:
        key = (pending.service, pending.route)
        if key not in self._thresholds:
            self._thresholds[key] = SlowThreshold(self._now())
        return self._thresholds[key]

    def _add_active(self, pending: _Pending, seconds: float) -> None:
        if pending.cold:
            return
        move = self._moves.get(pending.service)
        loaded = move is not None and move.share < PROVEN_STEPS[0]
        self._threshold(pending).add(seconds, loaded)

    def _time(self, pending: _Pending, slow: bool) -> None:
        pending.timed = True
        self._add(pending, Counts(timed=1, slow=int(slow)))

    def _add(self, pending: _Pending, counts: Counts) -> None:
        answer = Answer(pending.service, pending.route, pending.starting, counts)
        self._count(answer)

    def ended(self, report: AttemptReport) -> None:
        """Takes the result of an attempt."""
        failed = is_failure(report.result)
        if failed is None:
            if isinstance(report.result, NotRun):
                self._pending.pop((report.request_id, report.attempt), None)
            return
        pending = self._pending.pop((report.request_id, report.attempt), None)
        if pending is not None:
            self._add(pending, Counts(requests=1, failures=int(failed)))

    def tick(self) -> None:
        """Counts attempts as slow whose first byte is already too late.

        A server that never answers would otherwise be found at the deadline only.
        """
        now = self._now()
        for key, pending in list(self._pending.items()):
            age_s = now - pending.started_at
            if age_s > FORGET_AFTER_S or pending.service not in self._moves:
                del self._pending[key]
            elif not pending.timed:
                threshold_s = self._threshold_s(now, pending)
                if threshold_s is not None and age_s > threshold_s:
                    if not pending.starting:
                        self._add_active(pending, age_s)
                    self._time(pending, slow=True)
        services = self._moves.keys()
        kept = {k: t for k, t in self._thresholds.items() if k[0] in services}
        self._thresholds = kept


def is_failure(result: AttemptResult) -> bool | None:
    """Tells whether a result is a fault of the backend server's version.

    None means that the result says nothing about the version, or that the attempt
    goes on.
    """
    match result:
        case Finished():
            return result.status >= 500
        case Failed() | OutcomeUnknown():
            return None if result.code in CALLER_CODES else True
        case NotRun():
            return True if result.reason is Reason.BACKEND_DOWN else None
    return None
