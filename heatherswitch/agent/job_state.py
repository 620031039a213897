"""State of one request inside the agent."""

from collections.abc import Iterable
from enum import Enum

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.fleet.admission import ServiceTimes
from heatherswitch.fleet.fair_queue import Ticket


class Phase(Enum):
    """How far a request is."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"


class Work:
    """One request from its admission to its outcome."""

    __slots__ = (
        "claim_sent_at",
        "claimed",
        "detached_at",
        "first_byte_at",
        "period",
        "phase",
        "request",
        "running",
        "started_at",
        "ticket",
    )

    def __init__(self, request: ExecuteReceived, ticket: Ticket) -> None:
        self.request = request
        self.ticket = ticket
        self.phase = Phase.WAITING
        self.claimed = False
        self.claim_sent_at = 0.0
        self.started_at = 0.0
        self.first_byte_at: float | None = None
        self.detached_at: float | None = None
        # Warmth period at the start.
        self.period = 0
        # Requests at the backend server at the start, with this one.
        self.running = 1

    @property
    def id(self) -> str:
        """Unique id of the work."""
        return self.request.work_id

    @property
    def key(self) -> tuple[str, str]:
        """Workspace and idempotency key."""
        return (self.request.workspace, self.request.idempotency_key)

    def detached_for(self, now: float) -> float:
        """Returns the seconds since the caller left; 0 while it is attached."""
        return 0.0 if self.detached_at is None else now - self.detached_at


def find_same(event: ExecuteReceived, works: Iterable[Work]) -> Work | None:
    """Returns the non-idempotent work with the key of a request, or None."""
    if event.idempotent or not event.idempotency_key:
        return None
    key = (event.workspace, event.idempotency_key)
    found = (w for w in works if w.key == key and not w.request.idempotent)
    return next(found, None)


def finish_in(now: float, works: Iterable[Work], times: ServiceTimes) -> list[float]:
    """Returns the expected seconds until each running request ends.

    A request that takes longer than usual may end at any time and counts as 0.
    """
    return [
        max(0.0, w.started_at + times.estimate(w.request.request_class) - now)
        for w in works
        if w.phase is Phase.RUNNING
    ]
