"""State of a rollout of a service to another version, as one gateway sees it.

Decides which share of the requests the new version gets, how its responses compare
with those of the old version and, at the gateway that owns the rollout, when it advances
or is rolled back. Does no input or output and reads no clock.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from heatherswitch.fleet.evidence import EvidenceRecord, MoveEvidence
from heatherswitch.fleet.rollout import Counts, SequentialTest, Verdict
from heatherswitch.gateway.response_speed import AttemptTimes, SpeedLimits
from heatherswitch.statecore.replica import Position
from heatherswitch.util.record import Record

# Bound on the probability that a good version is ever judged bad.
FALSE_ALARM_RATE = 0.01
# Fraction of the platform's bound on requests to a bad version that may be used up to the
# end of each stage. Each stage needs requests of its own, as a fault may begin late or
# under load. The rest covers gateways that disagree on the number of gateways.
STAGE_EXPOSURE_FRACTIONS = (0.65, 0.9)
# Share of requests that the new version gets in each stage, within the exposure bound. The
# second one reveals faults that occur under load. The old version keeps as many, as both
# are compared in the same window and the bound leaves few requests to compare.
STAGE_SHARES = (0.2, 0.5)
# Fraction of the rollout's duration from which a stage may end if the version is proven.
STAGE_EARLIEST_END = (0.45, 0.8)
# Fraction at which a stage ends without proof, if enough responses were good.
STAGE_LATEST_END = (0.6, 0.92)
# Length of an evidence window as a fraction of the rollout's duration: the minimum, and
# the maximum for a window that lacks responses of one version. The last stage takes 0.12
# to 0.47 of the duration, and its responses must be counted before it ends.
WINDOW_FRACTION = 0.06
MAX_WINDOW_FRACTION = 0.1
# Responses of the new version that a stage needs, complete ones and ones that are known
# not to be slow; the version must not be suspicious either.
MIN_STAGE_RESPONSES = 10
# A version is suspicious if its rate of bad responses exceeds the old version's by more
# than this, ...
SUSPICIOUS_EXCESS = 0.15
# ... which must also be this many standard errors: with a dozen responses of two equal
# versions while all servers are slow, an excess of 0.4 occurs by chance.
SUSPICIOUS_STANDARD_ERRORS = 2.0
# Bad responses in a later stage after which a suspicious version gets no more requests.
# Waiting for proof at a large share would exceed the exposure bound.
SUSPEND_AFTER_BAD_RESPONSES = 4
# Age in seconds up to which a request from before the order tells how fast the old
# version is under the present load.
MAX_LEARNED_AGE_S = 30.0

# Latest attempts of each route and the versions that served them.
RecentTimes = Mapping[str, Iterable[tuple[str, AttemptTimes]]]


class RolloutState(Enum):
    """State of a rollout; operators read the values in the status entry."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Step(Enum):
    """What the owner of a rollout does next."""

    WAIT = "wait"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


class RolloutOrder(Record):
    """An operator's order to roll out a version of a service.

    :param target: the new version.
    :param duration_s: seconds within which the rollout must be decided.
    :param position: when the order was written; a repeated order is a new rollout,
        unless it was written again after a restore of the store.
    """

    __slots__ = (
        "service",
        "target",
        "duration_s",
        "position",
    )

    def __init__(
        self, service: str, target: str, duration_s: float, position: Position
    ) -> None:
        self.service = service
        self.target = target
        self.duration_s = duration_s
        self.position = position

    def repeats(self, other: "RolloutOrder") -> bool:
        """Tells whether another order has the same content."""
        return self.replace(position=other.position) == other


class ExposureLimit(Record):
    """Bound on the requests to an unproven version, over the whole fleet.

    :param share: fraction of the service's requests since the order.
    :param slack: number of requests allowed on top.
    """

    __slots__ = (
        "share",
        "slack",
    )

    def __init__(self, share: float = 0.1, slack: float = 50.0) -> None:
        self.share = share
        self.slack = slack


class Rollout:
    """One rollout at one gateway.

    :param gateway_id: id of this gateway.
    :param incarnation: tells the evidence of two runs of this gateway apart.
    :ivar was_in_force: the version was in force when the order came.
    :ivar decision_lost: the store, restored from a backup, may lack the decision.
    """

    __slots__ = (
        "_evidence",
        "_exposure",
        "_other_versions_listed",
        "_request_count",
        "_speed_limits",
        "_started_at",
        "_target_request_count",
        "decision_lost",
        "order",
        "stage",
        "state",
        "was_in_force",
    )

    def __init__(
        self,
        now: float,
        order: RolloutOrder,
        gateway_id: str,
        incarnation: int,
        exposure: ExposureLimit,
    ) -> None:
        self.order = order
        self.state = RolloutState.RUNNING
        self.stage = 0
        self.was_in_force = False
        self.decision_lost = False
        self._other_versions_listed = True
        self._started_at = now
        self._exposure = exposure
        self._request_count = 0
        self._target_request_count = 0
        self._speed_limits = SpeedLimits(now)
        self._evidence = MoveEvidence(
            rollout_id(order),
            gateway_id,
            incarnation,
            SequentialTest(FALSE_ALARM_RATE),
            WINDOW_FRACTION * order.duration_s,
            MAX_WINDOW_FRACTION * order.duration_s,
            pooled=True,
        )

    @property
    def verdict(self) -> Verdict:
        """Verdict on the new version from the evidence of all gateways."""
        return self._evidence.judgement.verdict

    @property
    def reason(self) -> str:
        """Route and signal that led to a ``BAD`` verdict, or an empty string."""
        return self._evidence.judgement.reason

    @property
    def in_force(self) -> bool:
        """True if there is no other version to compare with or to go back to."""
        return self.was_in_force and not self._other_versions_listed

    def update_versions(self, listed_versions: Iterable[str]) -> None:
        """Takes the versions of the service's servers in the store."""
        self._other_versions_listed = any(
            version != self.order.target for version in listed_versions
        )

    def learn_speed(self, now: float, recent: RecentTimes) -> None:
        """Learns the speed of the old version from responses before the order.

        Otherwise no response could be judged until each gateway has seen enough of
        them, by when much of the time for the rollout is over.
        """
        for route, attempts in recent.items():
            for version, times in attempts:
                is_recent = now - times.sent_at < MAX_LEARNED_AGE_S
                if is_recent and version != self.order.target:
                    self._speed_limits.add(now, route, times, loaded=True)

    def elapsed_s(self, now: float) -> float:
        """Returns the seconds since the order, by the earliest start known."""
        return now - self._started_at

    def apply_progress(self, now: float, stage: int, elapsed_s: float) -> None:
        """Adopts the progress that the owner recorded; never goes back a stage."""
        if stage > self.stage:
            self.stage = min(stage, len(STAGE_SHARES) - 1)
            # A window across the change would compare responses of the old version
            # before it with responses of the new version after it.
            self.advance_evidence(now)
        self._started_at = min(self._started_at, now - elapsed_s)

    def apply_status(
        self, target: str, state: RolloutState, position: Position
    ) -> None:
        """Adopts a recorded decision, which is final.

        :param position: when the record was written. One from before the order belongs
            to an earlier rollout of the same version and is ignored.
        """
        is_own = target == self.order.target and position > self.order.position
        if not is_own or state is RolloutState.RUNNING:
            return
        if self.state is RolloutState.RUNNING:
            self.state = state
        if self.state is state:
            self.decision_lost = False

    def note_restored(self) -> None:
        """Notes that the store may have lost the decision."""
        self.decision_lost = self.state is not RolloutState.RUNNING

    def adopt_order(self, order: RolloutOrder) -> None:
        """Goes on under the same order, which was written again after a restore.

        All gateways read that order, so that they tell the rollout apart by it.
        """
        self.order = order
        self.note_restored()

    def share(self, now: float, gateways: int) -> float:
        """Returns the fraction of new requests that the new version gets.

        It is 0 while one more request to the new version would exceed this gateway's
        part of the exposure limit. No verdict lifts the limit before the rollout is
        completed, since a fault may begin at any time. The limit's slack is released
        gradually in the first stage, since responses that arrive before the speed of
        the old version is known show nothing about the speed of the new one.

        :param gateways: number of gateways among which the limit's slack, the requests
            allowed on top of its share, is divided evenly.
        """
        if self.state is RolloutState.COMPLETED:
            return 1.0
        if self.state is RolloutState.RUNNING and self.in_force:
            return 1.0
        if self.state is RolloutState.ROLLED_BACK or self.verdict is Verdict.BAD:
            return 0.0
        if self.stage > 0 and self._is_suspended():
            return 0.0
        released = min(1.0, self._elapsed_fraction(now) / STAGE_EARLIEST_END[0])
        allowed = STAGE_EXPOSURE_FRACTIONS[self.stage] * (
            self._exposure.share * self._request_count
            + self._exposure.slack * released / gateways
        )
        is_within_limit = self._target_request_count + 1 <= allowed
        return STAGE_SHARES[self.stage] if is_within_limit else 0.0

    def count_request(self, to_target: bool) -> None:
        """Counts a request to the service.

        :param to_target: it is sent to the new version.
        """
        self._request_count += 1
        self._target_request_count += to_target

    def count_response(
        self,
        now: float,
        route: str,
        version: str,
        failed: bool,
        times: AttemptTimes,
        randomized: bool = True,
    ) -> None:
        """Counts a response of either version that has ended.

        :param randomized: the request was assigned to a version at random. Others date
            from times in which the new version got none and are no comparison.
        """
        self.count_speed(now, route, version, times, randomized, ended=True)
        is_target = version == self.order.target
        if not is_target:
            self._speed_limits.add(now, route, times, loaded=self.stage == 0)
        if randomized:
            self._evidence.count(now, route, is_target, Counts(1, int(failed)))

    def count_speed(
        self,
        now: float,
        route: str,
        version: str,
        times: AttemptTimes,
        randomized: bool = True,
        ended: bool = False,
    ) -> None:
        """Counts whether a response is slow, once, as soon as that is known.

        :param randomized: see :meth:`count_response`.
        :param ended: nothing more of the response will arrive.
        """
        if times.judged:
            return
        slow = self._speed_limits.is_slow(now, route, times, ended)
        if slow is None:
            return
        times.judged = True
        if randomized:
            is_target = version == self.order.target
            self._evidence.count(now, route, is_target, Counts(0, 0, 1, int(slow)))

    def advance_evidence(self, now: float) -> None:
        """Closes the evidence windows that have reached their length."""
        self._evidence.advance(now, STAGE_SHARES[self.stage])

    def add_evidence(self, now: float, record: EvidenceRecord) -> None:
        """Adds the totals of another gateway; ignores those of other rollouts."""
        if record.move == rollout_id(self.order):
            self._evidence.merge(now, record)

    def own_evidence(self, now: float, gateway_id: str) -> list[EvidenceRecord]:
        """Returns this gateway's recently changed totals, for publishing."""
        move = rollout_id(self.order)
        return [
            record.replace(move=move)
            for record in self._evidence.recent_records(now)
            if record.router == gateway_id
        ]

    def next_step(self, now: float) -> Step:
        """Returns the owner's next step."""
        if self.state is not RolloutState.RUNNING:
            return Step.WAIT
        if self.in_force:
            return Step.COMPLETE
        if self.verdict is Verdict.BAD:
            return Step.ROLL_BACK
        elapsed_fraction = self._elapsed_fraction(now)
        if elapsed_fraction >= STAGE_LATEST_END[self.stage]:
            self._evidence.close_windows(now)
            if self.verdict is Verdict.BAD:
                return Step.ROLL_BACK
        proven = self.verdict is Verdict.PROVEN
        due = (
            elapsed_fraction
            >= (STAGE_EARLIEST_END if proven else STAGE_LATEST_END)[self.stage]
        )
        if due and self._meets_stage_criteria():
            last = self.stage == len(STAGE_SHARES) - 1
            return Step.COMPLETE if last else Step.ADVANCE
        # A version without enough good responses is not rolled out.
        return Step.ROLL_BACK if elapsed_fraction >= STAGE_LATEST_END[-1] else Step.WAIT

    def _elapsed_fraction(self, now: float) -> float:
        return self.elapsed_s(now) / max(self.order.duration_s, 1e-3)

    def _meets_stage_criteria(self) -> bool:
        """Returns True if this stage has enough responses and no suspicious excess.

        Responses whose speed is not known do not show that the version is not slow.
        """
        judgement = self._evidence.judgement
        step = judgement.step
        # While all servers are slow, responses of both versions are.
        not_slower = step.timed * (1.0 - max(0.0, judgement.excess))
        good = min(step.requests - step.failures, not_slower)
        return good >= MIN_STAGE_RESPONSES and not self._is_suspicious()

    def _is_suspended(self) -> bool:
        """Returns True if a suspicious version gets no more requests in this stage."""
        step = self._evidence.judgement.step
        return (
            step.failures + step.slow >= SUSPEND_AFTER_BAD_RESPONSES
            and self._is_suspicious()
        )

    def _is_suspicious(self) -> bool:
        """Returns True if the new version is notably worse than the old in this stage."""
        judgement = self._evidence.judgement
        return (
            judgement.excess > SUSPICIOUS_EXCESS
            and judgement.excess_standard_errors > SUSPICIOUS_STANDARD_ERRORS
        )


def rollout_id(order: RolloutOrder) -> str:
    """Returns an id that is unique to the order, to tell repeated rollouts apart."""
    return f"{order.service}/{order.target}/{order.position.revision}"
