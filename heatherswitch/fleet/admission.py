"""Admission control of one agent: load bound, bounded queue and early refusal."""

import math
from dataclasses import dataclass

from heatherswitch.fleet.fair_queue import FairQueue, Ticket
from heatherswitch.fleet.outcomes import Reason

# Pool load reports older than this are ignored, in seconds, because load that may have
# ended must not raise the bound. Four exchanges with the routers fit into this time.
POOL_LOAD_MAX_AGE_S = 2.0
# Weight of a new sample in the moving average of a class's service time.
SERVICE_TIME_WEIGHT = 0.2
# Limits of a Retry-After that is computed from the queue, in milliseconds.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5000

# Retry-After of refusals that do not depend on the queue, in milliseconds. The load
# bound changes with each exchange, every 0.5 s; operator orders reach all processes
# within 4 s.
FIXED_RETRY_AFTER_MS = {
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
    """Load of a pool of agents, as reported by one source.

    :param total: running and queued requests of all agents of the pool.
    :param agents: number of agents in the pool.
    :param own: this agent's part of ``total``.
    :param at: time at which the load was observed, in seconds.
    """

    total: int
    agents: int
    own: int
    at: float

    @property
    def other_load(self) -> int:
        """Requests of the other agents of the pool."""
        return max(0, self.total - self.own)


class PoolLoadEstimate:
    """Estimates the load of the agent's pool from the newest report."""

    __slots__ = ("_report",)

    def __init__(self) -> None:
        self._report: PoolReport | None = None

    def update(self, report: PoolReport) -> None:
        """Stores a report unless a newer one is known."""
        if report.agents < 1:
            return
        if self._report is None or report.at >= self._report.at:
            self._report = report

    def total(self, now: float, own: int) -> int:
        """Returns the pool's load, with the agent's current own load.

        :param own: running and queued requests of the agent."""
        return self._other_load(now) + own

    def bound(
        self,
        now: float,
        own: int,
        multiple: float,
        extra: int,
        service_s: float = 0.0,
    ) -> int:
        """Returns the largest number of requests that the agent may hold.

        :param own: the agent's load, including the request to be admitted.
        :param multiple: bound as a multiple of the pool's mean load.
        :param extra: number of requests allowed above that multiple.
        :param service_s: mean service time in seconds, or 0 when it is unknown.
        """
        if self._report is None:
            return max(1, extra)
        other_load = self._min_other_load(now, service_s)
        mean = (other_load + own) / max(1, self._report.agents)
        # At least 1, or an idle pool with extra=0 would never admit a request.
        return max(1, math.floor(multiple * mean) + extra)

    def _min_other_load(self, now: float, service_s: float) -> float:
        """Returns the load of the other agents, lowered by its likely decrease.

        Of the reported requests, those that have ended since the report were replaced
        by about as many new ones; the difference has a standard deviation of about the
        square root of their number. Without this correction, small pools exceeded the
        load bound.
        """
        other_load = self._other_load(now)
        if other_load <= 0 or service_s <= 0.0:
            return other_load
        age_s = max(0.0, now - self._report.at)
        ended = other_load * (1.0 - math.exp(-age_s / service_s))
        return max(0.0, other_load - math.sqrt(ended))

    def _other_load(self, now: float) -> int:
        if self._report is None or now - self._report.at > POOL_LOAD_MAX_AGE_S:
            return 0
        return self._report.other_load


class UnprovenBudget:
    """Limits the requests at one agent of a version that is not proven yet.

    The agents of the version share one budget: a fraction of the running requests of
    all versions of the service, and at least one request.
    """

    __slots__ = ("_agents", "_rank", "_service")

    def __init__(self) -> None:
        # Load of all versions of the service.
        self._service = PoolLoadEstimate()
        self._rank = 0
        self._agents = 1

    def update(self, report: PoolReport) -> None:
        """Stores a report on the load of all versions of the service."""
        self._service.update(report)

    def set_rank(self, rank: int, agents: int) -> None:
        """Sets the agent's rank among the agents of its version.

        :param rank: from 0; the remainder of an uneven division goes to lower ranks.
        :param agents: number of agents of the version.
        """
        self._rank = rank
        self._agents = max(1, agents)

    def allowed_load(self, now: float, own: int, share: float) -> int:
        """Returns the largest number of requests that the agent may hold.

        :param own: the agent's load, including the request to be admitted.
        :param share: largest fraction of the service's load for the whole version.
        """
        total = max(1, math.floor(share * self._service.total(now, own)))
        each, rest = divmod(total, self._agents)
        return each + (1 if self._rank < rest else 0)


class ServiceTimes:
    """Moving averages of the service time by request class, in seconds."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, request_class: str, seconds: float) -> None:
        """Adds the service time of one finished request."""
        known = self._means.get(request_class, seconds)
        change = SERVICE_TIME_WEIGHT * (seconds - known)
        self._means[request_class] = known + change

    def estimate(self, request_class: str) -> float:
        """Returns the expected service time in seconds; 0 when none is known."""
        return self._means.get(request_class, 0.0)

    def overall_mean(self) -> float:
        """Returns the unweighted mean over all classes; 0 when none is known."""
        if not self._means:
            return 0.0
        return sum(self._means.values()) / len(self._means)


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits in force when a request is considered for admission.

    :param load_bound: multiple of the pool's mean load that the agent may hold.
    :param load_bound_extra: number of requests allowed above that multiple.
    :param running: requests that may run at once; lower during a cold start.
    :param queued: requests that may wait in the agent.
    :param cold: True during a cold start, when no request may wait.
    :param unproven_share: largest fraction of the service's load for a version that
        is not proven; None when the version is proven.
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

    :param displaced: a waiting request that must be refused in its place, or None.
    """

    displaced: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Denied:
    """The request must be refused.

    :param retry_after_ms: earliest sensible retry, in milliseconds.
    """

    reason: Reason
    retry_after_ms: int


class Admission:
    """Decides whether the agent accepts a request."""

    __slots__ = ("_pool", "_queue", "_service_times", "_unproven_budget")

    def __init__(self) -> None:
        self._pool = PoolLoadEstimate()
        self._queue = FairQueue()
        self._service_times = ServiceTimes()
        self._unproven_budget = UnprovenBudget()

    @property
    def pool(self) -> PoolLoadEstimate:
        """Estimate of the load of the agent's pool."""
        return self._pool

    @property
    def unproven_budget(self) -> UnprovenBudget:
        """Budget that applies while the agent's version is not proven."""
        return self._unproven_budget

    @property
    def queue(self) -> FairQueue:
        """Queue of the waiting requests, which also holds the running ones."""
        return self._queue

    @property
    def service_times(self) -> ServiceTimes:
        """Recent service times by request class."""
        return self._service_times

    def decide(
        self, now: float, ticket: Ticket, limits: AdmissionLimits
    ) -> Admitted | Denied:
        """Decides on one request without adding it to the queue.

        :param now: current time in seconds, on the clock of the ticket.
        """
        self._queue.record_arrival(ticket)
        own = self._queue.total + 1
        reason = self._capacity_reason(now, own, limits)
        displaced = None
        if reason in (Reason.OVER_LOAD_BOUND, Reason.QUEUE_FULL):
            displaced = self._queue.find_displaceable(ticket)
            if displaced is None and self._queue.exceeds_fair_share(ticket):
                busy = self._queue.running >= limits.running
                reason = Reason.FAIR_SHARE if busy else reason
        if reason is not None and displaced is None:
            return self._deny(reason, ticket, limits)
        wait = self._wait_s(ticket, limits)
        needed = wait + self._service_times.estimate(ticket.request_class)
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
            if own > self._unproven_budget.allowed_load(now, own, share):
                return Reason.UNPROVEN_SHARE
        bound = self._pool.bound(
            now,
            own,
            limits.load_bound,
            limits.load_bound_extra,
            self._service_times.overall_mean(),
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
        turns = self._queue.requests_ahead_of(ticket) + 1
        return turns * self._service_times.overall_mean() / max(1, limits.running)

    def _deny(self, reason: Reason, ticket: Ticket, limits: AdmissionLimits) -> Denied:
        fixed = FIXED_RETRY_AFTER_MS.get(reason)
        if fixed is not None:
            return Denied(reason, fixed)
        wait_ms = math.ceil(self._wait_s(ticket, limits) * 1000)
        return Denied(reason, min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
