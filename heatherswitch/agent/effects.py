"""Effects of the agent's reducer."""

from dataclasses import dataclass

from heatherswitch.agent.events import StoredAnswer
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Effect


@dataclass(frozen=True, slots=True)
class Admit(Effect):
    """The request was admitted and waits for its start."""

    work_id: str


@dataclass(frozen=True, slots=True)
class StartBackend(Effect):
    """Sends the request to the backend server.

    :param epoch: fencing token; 0 without a claim.
    :param queued_s: seconds from arrival to this start.
    :param timeout_s: seconds after which the call is given up.
    :param priority: class priority for the engine; 0 is served first.
    """

    work_id: str
    epoch: int
    queued_s: float
    timeout_s: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Refuse(Effect):
    """Tells the router that the request was not run."""

    work_id: str
    outcome: NotRun


@dataclass(frozen=True, slots=True)
class Fail(Effect):
    """Tells the router that there is no whole answer."""

    work_id: str
    outcome: Failed | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Complete(Effect):
    """Ends the answer and records its outcome when it was claimed.

    :param service_s: seconds from the start to the whole answer.
    """

    work_id: str
    claimed: bool
    service_s: float


@dataclass(frozen=True, slots=True)
class CancelBackend(Effect):
    """Closes the connection to the backend server, which cancels the work."""

    work_id: str


@dataclass(frozen=True, slots=True)
class RecordClaim(Effect):
    """Records a claim before the start."""

    work_id: str


@dataclass(frozen=True, slots=True)
class AbandonClaim(Effect):
    """Records that claimed work was provably not started."""

    work_id: str


@dataclass(frozen=True, slots=True)
class ReplayOutcome(Effect):
    """Answers with the recorded outcome of an earlier run."""

    work_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class AttachTo(Effect):
    """Answers with the events of other running work with the same key."""

    work_id: str
    other_id: str


@dataclass(frozen=True, slots=True)
class FetchConfig(Effect):
    """Starts an exchange because a router holds a newer configuration."""
