"""State of one admitted request in the reducer."""

from collections.abc import Iterable
from enum import Enum

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.fleet.admission import ServiceTimes
from heatherswitch.fleet.fair_queue import Ticket


class Phase(Enum):
    """Stage of an admitted request, in order."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"


class JobState:
    """An admitted request until it has an outcome.

    All times are in seconds.
    """

    __slots__ = (
        "claim_sent_at",
        "claimed",
        "disconnected_at",
        "first_byte_at",
        "phase",
        "request",
        "running_at_start",
        "started_at",
        "ticket",
        "warmth_period",
    )

    def __init__(self, request: ExecuteReceived, ticket: Ticket) -> None:
        self.request = request
        self.ticket = ticket
        self.phase = Phase.WAITING
        self.claimed = False
        self.claim_sent_at = 0.0
        self.started_at = 0.0
        self.first_byte_at: float | None = None
        self.disconnected_at: float | None = None
        # Cold-start period of the backend server when the job was started.
        self.warmth_period = 0
        # Requests running when the job was started, including this one.
        self.running_at_start = 1

    @property
    def id(self) -> str:
        """Unique id of the job."""
        return self.request.job_id

    @property
    def key(self) -> tuple[str, str]:
        """Workspace and idempotency key."""
        return (self.request.workspace, self.request.idempotency_key)

    def disconnected_s(self, now: float) -> float:
        """Returns the seconds since the caller disconnected; 0 while connected."""
        return 0.0 if self.disconnected_at is None else now - self.disconnected_at


def find_duplicate(event: ExecuteReceived, jobs: Iterable[JobState]) -> JobState | None:
    """Returns the non-idempotent job with the key of a request, or None."""
    if event.idempotent or not event.idempotency_key:
        return None
    key = (event.workspace, event.idempotency_key)
    matches = (job for job in jobs if job.key == key and not job.request.idempotent)
    return next(matches, None)


def expected_remaining_s(
    now: float, jobs: Iterable[JobState], times: ServiceTimes
) -> list[float]:
    """Returns the expected seconds until each running request ends.

    A request that takes longer than expected may end at any time, so 0 is returned.
    """
    return [
        max(0.0, job.started_at + times.estimate(job.request.request_class) - now)
        for job in jobs
        if job.phase is Phase.RUNNING
    ]
