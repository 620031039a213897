"""Effects of the router's reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Outcome
from heatherswitch.statecore.reducer import Effect


@dataclass(frozen=True, slots=True)
class Dispatch(Effect):
    """Starts an attempt of a request at an agent.

    :param attempt: number of the attempt, from 1.
    """

    request_id: str
    attempt: int
    agent_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Cancels an attempt whose response is no longer needed."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Resume(Effect):
    """Resumes the response of a silent attempt on a new connection."""

    request_id: str
    attempt: int
    agent_id: str


@dataclass(frozen=True, slots=True)
class CompleteRequest(Effect):
    """Completes a request with its final outcome for the caller."""

    request_id: str
    outcome: Outcome
