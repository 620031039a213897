"""Effects that the agent's reducer returns and the runner executes."""

from dataclasses import dataclass

from heatherswitch.agent.events import StoredResponse
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Effect


@dataclass(frozen=True, slots=True)
class Admit(Effect):
    """The request was admitted and queued; nothing needs to be done."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StartBackend(Effect):
    """Sends the request to the backend server.

    :param epoch: fencing token; 0 without a claim.
    :param queued_s: seconds that the request was queued.
    :param timeout_s: seconds after which the call is aborted.
    :param priority: class priority for the engine; 0 is served first.
    """

    job_id: str
    epoch: int
    queued_s: float
    timeout_s: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Refuse(Effect):
    """Tells the router that the request was not run."""

    job_id: str
    outcome: NotRun


@dataclass(frozen=True, slots=True)
class Fail(Effect):
    """Tells the router that there is no complete response."""

    job_id: str
    outcome: Failed | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Complete(Effect):
    """Ends the response and records it when the job was claimed.

    :param service_s: seconds from the start to the complete response.
    """

    job_id: str
    claimed: bool
    service_s: float


@dataclass(frozen=True, slots=True)
class CancelBackend(Effect):
    """Closes the connection to the backend server, which cancels the request."""

    job_id: str


@dataclass(frozen=True, slots=True)
class RecordClaim(Effect):
    """Records a claim, which must be durable before the job is started."""

    job_id: str


@dataclass(frozen=True, slots=True)
class AbandonClaim(Effect):
    """Records that a claimed job was certainly not started."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ReplayOutcome(Effect):
    """Sends the recorded response of an earlier run."""

    job_id: str
    response: StoredResponse


@dataclass(frozen=True, slots=True)
class AttachTo(Effect):
    """Sends the response of another running job with the same key."""

    job_id: str
    other_job_id: str


@dataclass(frozen=True, slots=True)
class FetchConfig(Effect):
    """Starts an exchange with routers because one has a newer configuration."""
