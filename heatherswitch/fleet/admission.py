"""Admission at one agent: load bound, bounded queue and early refusal."""

import math
from dataclasses import dataclass

from heatherswitch.fleet.fair_queue import FairQueue, Ticket
from heatherswitch.fleet.outcomes import Reason

# A pool load older than this no longer counts towards the mean, in seconds. Four
# exchanges fit into it. Load that may have ended must not raise the bound.
POOL_LOAD_VALID_S = 2.0
# Weight of a new sample in the service time of a class.
SERVICE_TIME_WEIGHT = 0.2
# Bounds of Retry-After, in milliseconds.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5000

# Retry-After of refusals that do not depend on the queue, in milliseconds. The
# load bound moves with each exchange of 0.5 s; orders spread within 4 s.
RETRY_AFTER_MS = {
    Reason.OVER_LOAD_BOUND: 250,
    Reason.COLD_START: 500,
    Reason.UNPROVEN_SHARE: 500,
    Reason.ZONE_OUT: 1000,
    Reason.LEAVING: 1000,
    Reason.VERSION_TAKEN_BACK: 1000,
    Reason.NOT_READY: 1000,
    Reason.BACKEND_DOWN: 1000,
    Reason.STORE_UNAVAILABLE: 2000,
    Reason.NOT_OWNER: 250,
    Reason.WRONG_INCARNATION: 100,
    Reason.KEY_REUSED: 0,
    Reason.PREFIX_ELSEWHERE: 0,
}


@dataclass(frozen=True, slots=True)
class PoolReport:
    """Load of a pool as one source saw it.

    :param total: running and queued requests over all agents of the pool.
    :param agents: agents counted.
    :param own: this agent's part of ``total``.
    :param at: seconds at which the figures were true.
    """

    total: int
    agents: int
    own: int
    at: float

    @property
    def others(self) -> int:
        """Load of the other agents."""
        return max(0, self.total - self.own)


class PoolMean:
    """The freshest known load of the agent's pool."""

    __slots__ = ("_report",)

    def __init__(self) -> None:
        self._report: PoolReport | None = None

    def update(self, report: PoolReport) -> None:
        """Takes a report unless a fresher one is known."""
        if report.agents < 1:
            return
        if self._report is None or report.at >= self._report.at:
            self._report = report

    def total(self, now: float, own: int) -> int:
        """Returns the pool's load with the agent's present load."""
        return self._others(now) + own

    def bound(
        self,
        now: float,
        own: int,
        multiple: float,
        extra: int,
        service_s: float = 0.0,
    ) -> int:
        """Returns the load that the agent may carry.

        :param own: the agent's load, with the request that asks for admission.
        :param multiple: multiple of the mean.
        :param extra: requests above it.
        :param service_s: mean service time, or 0 when it is unknown.
        """
        if self._report is None:
            return max(1, extra)
        others = self._least_others(now, service_s)
        mean = (others + own) / max(1, self._report.agents)
        # Without an extra request an idle pool could never take its first one.
        return max(1, math.floor(multiple * mean) + extra)

    def _least_others(self, now: float, service_s: float) -> float:
        """Returns the load of the others less what it may have fallen since.

        Of ``n`` requests, the share that ended since the report was replaced by
        about as many new ones; the difference has a standard deviation of about the
        square root of their number. Small pools broke the bound without this.
        """
        others = self._others(now)
        if others <= 0 or service_s <= 0.0:
            return others
        age_s = max(0.0, now - self._report.at)
        ended = others * (1.0 - math.exp(-age_s / service_s))
        return max(0.0, others - math.sqrt(ended))

    def _others(self, now: float) -> int:
        if self._report is None or now - self._report.at > POOL_LOAD_VALID_S:
            return 0
        return self._report.others


class UnprovenBudget:
    """Requests that an agent of an unproven version may carry.

    The agents of the version share one budget: a part of the running requests of all
    versions of the service, at least one request.
    """

    __slots__ = ("_agents", "_rank", "_service")

    def __init__(self) -> None:
        # Running requests of all versions of the service.
        self._service = PoolMean()
        self._rank = 0
        self._agents = 1

    def update(self, report: PoolReport) -> None:
        """Takes the running requests of all versions of the service."""
        self._service.update(report)

    def place(self, rank: int, agents: int) -> None:
        """Sets the agent's position among the agents of its version.

        :param rank: from 0; lower ones take what cannot be divided evenly.
        """
        self._rank = rank
        self._agents = max(1, agents)

    def allowed(self, now: float, own: int, share: float) -> int:
        """Returns the load that the agent may carry.

        :param own: the agent's load, with the request that asks for admission.
        :param share: largest share of the service's load for the whole version.
        """
        total = max(1, math.floor(share * self._service.total(now, own)))
        each, rest = divmod(total, self._agents)
        return each + (1 if self._rank < rest else 0)


class ServiceTimes:
    """Recent service times by class, in seconds."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, request_class: str, seconds: float) -> None:
        """Adds the service time of one request."""
        known = self._means.get(request_class, seconds)
        change = SERVICE_TIME_WEIGHT * (seconds - known)
        self._means[request_class] = known + change

    def estimate(self, request_class: str) -> float:
        """Returns the expected service time; 0 when none is known."""
        return self._means.get(request_class, 0.0)

    def overall(self) -> float:
        """Returns the mean over the classes; 0 when none is known."""
        if not self._means:
            return 0.0
        return sum(self._means.values()) / len(self._means)


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits in force when a request asks for admission.

    :param running: requests that may run at once, from the warmth.
    :param cold: True during a cold start, when nothing may wait.
    :param unproven_share: share of the service's load for a version that is not
        proven; None when the version is proven.
    """

    load_bound: float
    load_bound_extra: int
    running: int
    queued: int
    cold: bool = False
    unproven_share: float | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be queued.

    :param displaced: a waiting request that must be refused for it, or None.
    """

    displaced: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Denied:
    """The request must be refused."""

    reason: Reason
    retry_after_ms: int


class Admission:
    """Decides whether a request may enter the agent."""

    __slots__ = ("_pool", "_queue", "_times", "_unproven")

    def __init__(self) -> None:
        self._pool = PoolMean()
        self._queue = FairQueue()
        self._times = ServiceTimes()
        self._unproven = UnprovenBudget()

    @property
    def pool(self) -> PoolMean:
        """The pool's load."""
        return self._pool

    @property
    def unproven(self) -> UnprovenBudget:
        """The bound while the agent's version is not proven."""
        return self._unproven

    @property
    def queue(self) -> FairQueue:
        """Requests waiting and running."""
        return self._queue

    @property
    def times(self) -> ServiceTimes:
        """Recent service times."""
        return self._times

    def decide(
        self, now: float, ticket: Ticket, limits: AdmissionLimits
    ) -> Admitted | Denied:
        """Decides on one request without admitting it.

        :param now: seconds.
        """
        self._queue.note_arrival(ticket)
        own = self._queue.total + 1
        reason = self._capacity_reason(now, own, limits)
        displaced = None
        if reason in (Reason.OVER_LOAD_BOUND, Reason.QUEUE_FULL):
            displaced = self._queue.displaceable(ticket)
            if displaced is None and self._queue.over_share(ticket):
                busy = self._queue.running >= limits.running
                reason = Reason.FAIR_SHARE if busy else reason
        if reason is not None and displaced is None:
            return self._deny(reason, ticket, limits)
        wait = self._wait_s(ticket, limits)
        needed = wait + self._times.estimate(ticket.request_class)
        if now + needed >= ticket.deadline_at:
            return self._deny(Reason.DEADLINE, ticket, limits)
        return Admitted(displaced)

    def _capacity_reason(
        self, now: float, own: int, limits: AdmissionLimits
    ) -> Reason | None:
        if limits.cold and own > limits.running:
            return Reason.COLD_START
        if limits.unproven_share is not None:
            share = limits.unproven_share
            if own > self._unproven.allowed(now, own, share):
                return Reason.UNPROVEN_SHARE
        bound = self._pool.bound(
            now,
            own,
            limits.load_bound,
            limits.load_bound_extra,
            self._times.overall(),
        )
        if own > bound:
            return Reason.OVER_LOAD_BOUND
        if self._queue.running >= limits.running and (
            self._queue.queued >= limits.queued
        ):
            return Reason.QUEUE_FULL
        return None

    def _wait_s(self, ticket: Ticket, limits: AdmissionLimits) -> float:
        if self._queue.running < limits.running and not self._queue.queued:
            return 0.0
        turns = self._queue.ahead_of(ticket) + 1
        return turns * self._times.overall() / max(1, limits.running)

    def _deny(self, reason: Reason, ticket: Ticket, limits: AdmissionLimits) -> Denied:
        fixed = RETRY_AFTER_MS.get(reason)
        if fixed is not None:
            return Denied(reason, fixed)
        wait_ms = math.ceil(self._wait_s(ticket, limits) * 1000)
        return Denied(reason, min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
