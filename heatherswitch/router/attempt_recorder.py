"""Counts attempts of requests as evidence about the versions of a service."""

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

# Factor on the slowness threshold for a server in cold start, of either version. Equal
# to the default of ``cold_start.slow_factor``.
COLD_SLOW_FACTOR = 4.0
# A cancelled attempt never gets a result; its entry is dropped after this many seconds.
PENDING_TIMEOUT_S = 300.0
# Error codes of failures that the caller caused.
CALLER_FAULT_CODES = frozenset({"caller_left", "invalid_request"})


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Counts that one attempt adds to the evidence.

    :param route: declared route and request class, separated by a space.
    :param starting: True for the starting version, False for the active one.
    """

    service: str
    route: str
    starting: bool
    counts: Counts


class _PendingAttempt:
    """An attempt that has no result yet."""

    __slots__ = ("cold", "route", "service", "started_at", "starting", "timed")

    def __init__(self, service, route, starting, started_at, cold) -> None:
        self.service: str = service
        self.route: str = route
        self.starting: bool = starting
        self.started_at: float = started_at
        self.cold: bool = cold
        # True once the time to first byte was counted, as slow or not.
        self.timed = False


class AttemptRecorder:
    """Counts failed and slow attempts of services that have a running version move.

    :param now: returns the time in seconds.
    :param moves: running version moves by service; the caller updates it in place.
    :param count: called with the counts of each attempt.
    """

    __slots__ = ("_count", "_moves", "_now", "_pending", "_thresholds")

    def __init__(
        self,
        now: Callable[[], float],
        moves: Mapping[str, Move],
        count: Callable[[AttemptCounts], None],
    ) -> None:
        self._now = now
        self._moves = moves
        self._count = count
        # Keyed by request id and attempt number.
        self._pending: dict[tuple[str, int], _PendingAttempt] = {}
        # Keyed by service and route.
        self._thresholds: dict[tuple[str, str], SlowThreshold] = {}

    def on_progress(self, notice: AttemptProgress) -> None:
        """Handles the start or the first byte of an attempt."""
        if isinstance(notice, AttemptStarted):
            self._record_start(notice)
        elif isinstance(notice, AttemptFirstByte):
            pending = self._pending.get((notice.request_id, notice.attempt))
            if pending is not None:
                self._record_first_byte(pending)

    def _record_start(self, notice: AttemptStarted) -> None:
        move = self._moves.get(notice.service)
        if move is None:
            return
        starting = notice.version == move.to_version
        if not starting and move.from_version not in ("", notice.version):
            return
        route = f"{notice.route} {notice.request_class}".strip()
        key = (notice.request_id, notice.attempt)
        self._pending[key] = _PendingAttempt(
            notice.service, route, starting, self._now(), notice.cold
        )

    def _record_first_byte(self, pending: _PendingAttempt) -> None:
        now = self._now()
        seconds = now - pending.started_at
        if pending.timed:
            return
        threshold_s = self._threshold_s(now, pending)
        if not pending.starting:
            self._add_baseline_sample(pending, seconds)
        if threshold_s is not None:
            self._count_timed(pending, seconds > threshold_s)

    def _threshold_s(self, now: float, pending: _PendingAttempt) -> float | None:
        threshold_s = self._threshold(pending).threshold_s(now)
        if threshold_s is not None and pending.cold:
            return COLD_SLOW_FACTOR * threshold_s
        return threshold_s

    def _threshold(self, pending: _PendingAttempt) -> SlowThreshold:
        key = (pending.service, pending.route)
        if key not in self._thresholds:
            self._thresholds[key] = SlowThreshold(self._now())
        return self._thresholds[key]

    def _add_baseline_sample(self, pending: _PendingAttempt, seconds: float) -> None:
        if pending.cold:
            return
        move = self._moves.get(pending.service)
        under_load = move is not None and move.share < PROVEN_STEPS[0]
        self._threshold(pending).add(seconds, under_load)

    def _count_timed(self, pending: _PendingAttempt, slow: bool) -> None:
        pending.timed = True
        self._report(pending, Counts(timed=1, slow=int(slow)))

    def _report(self, pending: _PendingAttempt, counts: Counts) -> None:
        counted = AttemptCounts(
            pending.service, pending.route, pending.starting, counts
        )
        self._count(counted)

    def on_result(self, report: AttemptReport) -> None:
        """Counts the result of an attempt, unless it says nothing about the version."""
        failed = is_failure(report.result)
        if failed is None:
            if isinstance(report.result, NotRun):
                self._pending.pop((report.request_id, report.attempt), None)
            return
        pending = self._pending.pop((report.request_id, report.attempt), None)
        if pending is not None:
            self._report(pending, Counts(requests=1, failures=int(failed)))

    def tick(self) -> None:
        """Counts attempts whose first byte is overdue as slow.

        Otherwise a server that never responds would be noticed only at the deadline.
        """
        now = self._now()
        for key, pending in list(self._pending.items()):
            age_s = now - pending.started_at
            if age_s > PENDING_TIMEOUT_S or pending.service not in self._moves:
                del self._pending[key]
            elif not pending.timed:
                threshold_s = self._threshold_s(now, pending)
                if threshold_s is not None and age_s > threshold_s:
                    if not pending.starting:
                        self._add_baseline_sample(pending, age_s)
                    self._count_timed(pending, slow=True)
        services = self._moves.keys()
        kept = {k: t for k, t in self._thresholds.items() if k[0] in services}
        self._thresholds = kept


def is_failure(result: AttemptResult) -> bool | None:
    """Returns whether a result counts as a failure of the backend server's version.

    Returns None if the result says nothing about the version, or if the attempt is
    not finished.
    """
    match result:
        case Finished():
            return result.status >= 500
        case Failed() | OutcomeUnknown():
            return None if result.code in CALLER_FAULT_CODES else True
        case NotRun():
            return True if result.reason is Reason.BACKEND_DOWN else None
    return None
