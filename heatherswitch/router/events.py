"""Events of the router's reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Failed, Finished, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Event

# Partition of a request that needs no claim.
NO_PARTITION = -1


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller's request passed all checks.

    :param request_id: unique in the fleet; callers cannot choose it.
    :param deadline_at: seconds since the epoch.
    :param partition: claim partition of a non-idempotent request.
    """

    request_id: str
    service: str
    workspace: str
    chat_key: str
    deadline_at: float
    idempotent: bool = True
    partition: int = NO_PARTITION


@dataclass(frozen=True, slots=True)
class AttemptEvent(Event):
    """Something happened to one attempt of a request."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptAccepted(AttemptEvent):
    """The agent admitted the request."""


@dataclass(frozen=True, slots=True)
class AttemptRefused(AttemptEvent):
    """The attempt was provably not run.

    :param unreachable: no connection to the agent could be opened.
    """

    outcome: NotRun
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed(AttemptEvent):
    """The attempt ran, or may have run, and gave no whole answer.

    :param delivered: a byte of the answer was sent to the caller.
    """

    outcome: Failed | OutcomeUnknown
    delivered: bool = False


@dataclass(frozen=True, slots=True)
class AttemptSilent(AttemptEvent):
    """Nothing arrived from the agent for the progress timeout.

    :param delivered: a byte of the answer was sent to the caller.
    """

    delivered: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFinished(AttemptEvent):
    """The whole answer arrived and was verified."""

    outcome: Finished


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection."""

    request_id: str


@dataclass(frozen=True, slots=True)
class MembersChanged(Event):
    """The membership table changed."""


@dataclass(frozen=True, slots=True)
class ConfigChanged(Event):
    """The configuration in force changed."""


@dataclass(frozen=True, slots=True)
class VersionBlocked(Event):
    """The evidence known here suffices to stop sending work to a version.

    :param until: deadline of the move, when its outcome is known everywhere, in
        seconds since the epoch; a past time ends the cut.
    """

    service: str
    version: str
    until: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time passed."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process was told to stop.

    :param serve_until: new requests are refused from then on, in seconds since
        the epoch.
    """

    serve_until: float
