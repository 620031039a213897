"""Admission at one agent: load bound, fair class queue and early refusal."""

import math
from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Reason

# A pool load older than this no longer counts towards the mean, in seconds. Four
# exchanges fit into it. Load that may have ended must not raise the bound.
POOL_LOAD_VALID_S = 2.0
# Weight of a new sample in the service time of a class.
SERVICE_TIME_WEIGHT = 0.2
# A workspace counts as active for this long after its last request, in seconds.
ACTIVE_FOR_S = 10.0
# One slot in this many stays free for workspaces within their fair share.
RESERVED_SLOT_DIVISOR = 8
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

    def bound(self, now: float, own: int, multiple: float, extra: int) -> int:
        """Returns the load that the agent may carry.

        :param own: the agent's load, with the request that asks for admission.
        :param multiple: multiple of the mean.
        :param extra: requests above it.
        """
        if self._report is None:
            return max(1, extra)
        mean = (self._others(now) + own) / max(1, self._report.agents)
        # Without an extra request an idle pool could never take its first one.
        return max(1, math.floor(multiple * mean) + extra)

    def _others(self, now: float) -> int:
        if self._report is None or now - self._report.at > POOL_LOAD_VALID_S:
            return 0
        return self._report.others


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
class Ticket:
    """A request in the agent.

    :param priority: 0 is served first.
    :param share: fair-share weight of the workspace.
    :param deadline_at: seconds; the whole answer is due by then.
    """

    id: str
    workspace: str
    request_class: str
    priority: int
    share: float
    arrived_at: float
    deadline_at: float


class FairQueue:
    """Orders waiting requests and counts the use of each workspace.

    The order is class priority, then the workspace with the least use per share
    (start-time fair queueing), then arrival.
    """

    __slots__ = ("_active", "_running", "_tags", "_virtual", "_waiting")

    def __init__(self) -> None:
        # Tickets are kept in the order of their arrival.
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, Ticket] = {}
        # Virtual time at which each workspace's next request may start.
        self._tags: dict[str, float] = {}
        self._virtual = 0.0
        # Workspace to its share and the time of its last request.
        self._active: dict[str, tuple[float, float]] = {}

    @property
    def running(self) -> int:
        """Requests at the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> list[Ticket]:
        """Waiting requests in the order of their arrival."""
        return list(self._waiting.values())

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def total(self) -> int:
        """Requests waiting and running."""
        return len(self._waiting) + len(self._running)

    def add(self, ticket: Ticket) -> None:
        """Adds a request that waits."""
        self._waiting[ticket.id] = ticket
        self.note_arrival(ticket)

    def note_arrival(self, ticket: Ticket) -> None:
        """Counts the workspace as active."""
        self._active[ticket.workspace] = (ticket.share, ticket.arrived_at)

    def remove(self, ticket_id: str) -> Ticket | None:
        """Removes a request, waiting or running."""
        waiting = self._waiting.pop(ticket_id, None)
        return waiting or self._running.pop(ticket_id, None)

    def pop(self, now: float, limit: int) -> Ticket | None:
        """Moves the next request to running; None when no slot may be used.

        :param limit: requests that may run at once.
        """
        if len(self._running) >= limit:
            return None
        self._forget_inactive(now)
        reserved = limit // RESERVED_SLOT_DIVISOR
        scarce = len(self._running) >= limit - reserved
        for ticket in sorted(self._waiting.values(), key=self._order):
            if scarce and self.over_share(ticket, pending=0):
                continue
            self._start(ticket)
            return ticket
        return None

    def over_share(self, ticket: Ticket, pending: int = 1) -> bool:
        """Tells whether a workspace uses more than its share of the agent.

        :param pending: requests of it to count beside those in the agent.
        """
        weights = sum(share for share, _ in self._active.values())
        if len(self._active) < 2 or weights <= 0:
            return False
        used = self._used(ticket.workspace) + pending
        return used * weights > ticket.share * (self.total + pending)

    def ahead_of(self, ticket: Ticket) -> int:
        """Returns how many waiting requests are served before a new one."""
        mine = self._order(ticket)
        return sum(1 for t in self._waiting.values() if self._order(t) <= mine)

    def displaceable(self, ticket: Ticket) -> Ticket | None:
        """Returns a waiting request that should yield its place to a new one.

        It is no more urgent, and is either of a workspace with more use per share
        than the new one will have, or of the same workspace and less urgent.
        """
        mine = (self._used(ticket.workspace) + 1) / ticket.share
        victims = []
        for other in self._waiting.values():
            use = self._used(other.workspace) / other.share
            if other.workspace == ticket.workspace:
                yields = other.priority > ticket.priority
            else:
                yields = other.priority >= ticket.priority and use > mine
            if yields:
                victims.append((use, other.priority, other.arrived_at, other.id))
        return self._waiting[max(victims)[-1]] if victims else None

    def _used(self, workspace: str) -> int:
        held = (self._waiting, self._running)
        return sum(t.workspace == workspace for group in held for t in group.values())

    def _order(self, ticket: Ticket) -> tuple[int, float, float]:
        tag = max(self._tags.get(ticket.workspace, 0.0), self._virtual)
        return (ticket.priority, tag, ticket.arrived_at)

    def _start(self, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        self._running[ticket.id] = ticket
        tag = max(self._tags.get(ticket.workspace, 0.0), self._virtual)
        self._tags[ticket.workspace] = tag + 1.0 / ticket.share
        # Priority may serve a workspace ahead of others with lower tags, so the
        # virtual time follows the least tag that still waits.
        waiting = (self._tags.get(t.workspace, tag) for t in self._waiting.values())
        self._virtual = max(self._virtual, min(waiting, default=tag))
        if len(self._tags) > 2 * len(self._active) + 16:
            tags = self._tags.items()
            self._tags = {w: t for w, t in tags if t > self._virtual}

    def _forget_inactive(self, now: float) -> None:
        used = {t.workspace for t in self._waiting.values()}
        used |= {t.workspace for t in self._running.values()}
        self._active = {
            workspace: (share, at)
            for workspace, (share, at) in self._active.items()
            if workspace in used or now - at <= ACTIVE_FOR_S
        }


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits in force when a request asks for admission.

    :param running: requests that may run at once, from the warmth.
    :param cold: True during a cold start, when nothing may wait.
    :param unproven_share: share of the pool's load for a version that is not
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

    __slots__ = ("_pool", "_queue", "_times")

    def __init__(self) -> None:
        self._pool = PoolMean()
        self._queue = FairQueue()
        self._times = ServiceTimes()

    @property
    def pool(self) -> PoolMean:
        """The pool's load."""
        return self._pool

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
            pool_load = self._pool.total(now, own)
            if own > max(1, math.floor(limits.unproven_share * pool_load)):
                return Reason.UNPROVEN_SHARE
        bound = self._pool.bound(now, own, limits.load_bound, limits.load_bound_extra)
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
