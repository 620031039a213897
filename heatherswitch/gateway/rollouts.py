"""Moves of a service's traffic to another version, as one gateway sees them.

Pure decisions: which share of the requests the new version gets, what the answers
say of it, and, at the gateway that owns the move, when it advances or is rolled back.
"""

from dataclasses import dataclass
from enum import Enum

from heatherswitch.fleet.evidence import EvidenceRecord, MoveEvidence
from heatherswitch.fleet.rollout import Counts, SequentialTest, Verdict
from heatherswitch.fleet.slowness import SlowThreshold

# Chance that a good version is ever judged bad.
FALSE_ALARM_RATE = 0.01
# Part of the platform's bound on the requests to an unproven version that is used.
# The rest is for requests in flight and for gateways whose lists differ.
EXPOSURE_MARGIN = 0.7
# Shares of the new version in the three stages of a move. The first one holds only
# within the exposure bound; the others show faults that need load. The old version
# keeps a part to the end, since answers are compared in the same window.
STAGE_SHARES = (0.2, 0.4, 0.75)
# Part of the move's time from which a stage may end once the version is proven, ...
STAGE_EARLIEST = (0.25, 0.6, 0.8)
# ... and at which it ends without a proof, if enough good answers were seen.
STAGE_LATEST = (0.6, 0.75, 0.92)
# Lengths of a window of evidence, as parts of the move's time: the shortest one, and
# that of a window without answers of both versions. The last stage lasts 0.12 to 0.32
# of the time, and its answers must be counted before it ends.
WINDOW_SHARE = 0.06
MAX_WINDOW_SHARE = 0.1
# Answers of the new version in a stage without which it does not end by time alone,
# and the excess of its rate of bad ones over the old version's above which it does not.
MIN_ANSWERS = 10
SUSPICIOUS_EXCESS = 0.15
# The excess must also be this many standard errors: among a dozen
# answers of two equal versions in a slow time, an excess of 0.4 occurs by chance.
SUSPICIOUS_ERRORS = 2.0
# Bad answers in a later stage from which a suspicious version gets no more requests:
# the bound on its exposure leaves no time for a proof at a large share.
HOLD_AFTER_BAD = 4


class MoveState(Enum):
    """State of a move, as the operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Step(Enum):
    """What the owner of a move does next."""

    WAIT = "wait"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    :param revision: store revision of the order; a repeated order is a new move.
    :param duration_s: seconds in which the move must be decided.
    """

    service: str
    target: str
    duration_s: float
    revision: int


@dataclass(frozen=True, slots=True)
class Exposure:
    """Bound on the requests that an unproven version gets, over the whole fleet.

    :param share: of all requests of the service since the order.
    :param slack: requests beyond that.
    """

    share: float = 0.1
    slack: float = 50.0


class VersionMove:
    """One move at one gateway.

    :param router: id of this gateway.
    """

    __slots__ = (
        "_evidence",
        "_exposure",
        "_requests",
        "_started_at",
        "_target_requests",
        "_thresholds",
        "order",
        "stage",
        "state",
    )

    def __init__(
        self,
        now: float,
        order: RolloutOrder,
        router: str,
        incarnation: int,
        exposure: Exposure,
    ) -> None:
        self.order = order
        self.state = MoveState.RUNNING
        self.stage = 0
        self._started_at = now
        self._exposure = exposure
        self._requests = 0
        self._target_requests = 0
        self._thresholds: dict[str, SlowThreshold] = {}
        self._evidence = MoveEvidence(
            order_id(order),
            router,
            incarnation,
            SequentialTest(FALSE_ALARM_RATE),
            WINDOW_SHARE * order.duration_s,
            MAX_WINDOW_SHARE * order.duration_s,
        )

    @property
    def verdict(self) -> Verdict:
        """What the evidence of all gateways says of the new version."""
        return self._evidence.judgement.verdict

    @property
    def reason(self) -> str:
        """What led to a bad verdict, or an empty string."""
        return self._evidence.judgement.reason

    def elapsed_s(self, now: float) -> float:
        """Returns the seconds since the order, as far as the fleet knows."""
        return now - self._started_at

    def resume(self, now: float, stage: int, elapsed_s: float) -> None:
        """Takes the progress that the owner has recorded."""
        if stage > self.stage:
            self.stage = min(stage, len(STAGE_SHARES) - 1)
            # A window that spanned the change would compare answers of the old
            # version before it with answers of the new one after it.
            self.advance_evidence(now)
        self._started_at = min(self._started_at, now - elapsed_s)

    def take_status(self, target: str, state: MoveState, revision: int) -> None:
        """Takes a recorded decision.

        :param revision: store revision of the record; one from before the order
            belongs to an earlier move to the same version.
        """
        is_own = target == self.order.target and revision > self.order.revision
        if is_own and state is not MoveState.RUNNING:
            self.state = state

    def share(self, routers: int) -> float:
        """Returns the share of new requests that the new version gets.

        :param routers: gateways among which the slack is divided.
        """
        if self.state is MoveState.COMPLETED:
            return 1.0
        if self.state is MoveState.ROLLED_BACK or self.verdict is Verdict.BAD:
            return 0.0
        if self.stage > 0:
            return 0.0 if self._is_held() else STAGE_SHARES[self.stage]
        allowed = EXPOSURE_MARGIN * (
            self._exposure.share * self._requests + self._exposure.slack / routers
        )
        return STAGE_SHARES[0] if self._target_requests + 1 <= allowed else 0.0

    def count_request(self, to_target: bool) -> None:
        """Counts a request that is sent to the service."""
        self._requests += 1
        self._target_requests += to_target

    def count_answer(
        self,
        now: float,
        route: str,
        version: str,
        failed: bool,
        first_s: float | None,
        drawn: bool = True,
    ) -> None:
        """Counts an answer of either version.

        :param first_s: seconds to the head of the answer; None if none came.
        :param drawn: the new version could have got the request as well. Others are
            of times in which it got none, which says nothing of it.
        """
        threshold = self._thresholds.get(route)
        if threshold is None:
            threshold = self._thresholds[route] = SlowThreshold(now)
        limit_s = threshold.threshold_s(now)
        starting = version == self.order.target
        if not starting and first_s is not None:
            threshold.add(first_s, loaded=self.stage == 0)
        if not drawn:
            return
        timed = first_s is not None and limit_s is not None
        slow = timed and first_s > limit_s
        counts = Counts(1, int(failed), int(timed), int(slow))
        self._evidence.count(now, route, starting, counts)

    def advance_evidence(self, now: float) -> None:
        """Ends the windows of evidence that are due."""
        self._evidence.advance(now, STAGE_SHARES[self.stage])

    def take_evidence(self, now: float, record: EvidenceRecord) -> None:
        """Takes the totals of another gateway."""
        if record.move == order_id(self.order):
            self._evidence.merge(now, record)

    def own_evidence(self, now: float, router: str) -> list[EvidenceRecord]:
        """Returns this gateway's totals that changed a short time ago."""
        return [r for r in self._evidence.recent_records(now) if r.router == router]

    def next_step(self, now: float) -> Step:
        """Decides, at the owner, what comes next."""
        if self.state is not MoveState.RUNNING:
            return Step.WAIT
        if self.verdict is Verdict.BAD:
            return Step.ROLL_BACK
        part = self.elapsed_s(now) / max(self.order.duration_s, 1e-3)
        if part >= STAGE_LATEST[self.stage]:
            self._evidence.close_windows(now)
            if self.verdict is Verdict.BAD:
                return Step.ROLL_BACK
        proven = self.verdict is Verdict.PROVEN
        enough = proven or self._looks_good()
        due = part >= (STAGE_EARLIEST if proven else STAGE_LATEST)[self.stage]
        if due and enough:
            last = self.stage == len(STAGE_SHARES) - 1
            return Step.COMPLETE if last else Step.ADVANCE
        # Without enough answers nothing speaks for the new version.
        return Step.ROLL_BACK if part >= STAGE_LATEST[-1] else Step.WAIT

    def _looks_good(self) -> bool:
        """Tells whether the answers of this stage speak for the new version."""
        enough = self._evidence.judgement.step.requests >= MIN_ANSWERS
        return enough and not self._is_suspicious()

    def _is_held(self) -> bool:
        """Tells whether a suspicious version gets nothing until the move ends."""
        step = self._evidence.judgement.step
        return step.failures + step.slow >= HOLD_AFTER_BAD and self._is_suspicious()

    def _is_suspicious(self) -> bool:
        """Tells whether the new version did worse than the old one in this stage."""
        judgement = self._evidence.judgement
        return (
            judgement.excess > SUSPICIOUS_EXCESS
            and judgement.excess_standard_errors > SUSPICIOUS_ERRORS
        )


def order_id(order: RolloutOrder) -> str:
    """Names a move, so that evidence of an earlier one does not count."""
    return f"{order.service}/{order.target}/{order.revision}"
