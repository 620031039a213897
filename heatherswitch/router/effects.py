"""Effects of the router's reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Outcome
from heatherswitch.statecore.reducer import Effect


@dataclass(frozen=True, slots=True)
class Dispatch(Effect):
    """Sends a request to an agent.

    :param attempt: number of the attempt, from 1.
    """

    request_id: str
    attempt: int
    agent_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Ends an attempt whose answer is no longer wanted."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Resume(Effect):
    """Reattaches to a silent attempt on a new connection."""

    request_id: str
    attempt: int
    agent_id: str


@dataclass(frozen=True, slots=True)
class Answer(Effect):
    """Ends a request towards its caller."""

    request_id: str
    outcome: Outcome
