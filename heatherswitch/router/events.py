"""Events of the router's reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.outcomes import Failed, Finished, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Event

# Partition of an idempotent request, which needs no claim.
NO_PARTITION = -1


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A valid request arrived from a caller.

    :param request_id: unique in the fleet; not chosen by the caller.
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
    """Base class of events about one attempt of a request."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptAccepted(AttemptEvent):
    """The agent admitted the request."""


@dataclass(frozen=True, slots=True)
class AttemptRefused(AttemptEvent):
    """The attempt was certainly not run.

    :param unreachable: no connection to the agent could be opened.
    """

    outcome: NotRun
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed(AttemptEvent):
    """The attempt ran, or may have run, without a complete response.

    :param delivered: a byte of the response was sent to the caller.
    """

    outcome: Failed | OutcomeUnknown
    delivered: bool = False


@dataclass(frozen=True, slots=True)
class AttemptSilent(AttemptEvent):
    """No event arrived from the agent within the progress timeout.

    :param delivered: a byte of the response was sent to the caller.
    """

    delivered: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFinished(AttemptEvent):
    """The complete response arrived and was verified."""

    outcome: Finished


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """The caller closed its connection."""

    request_id: str


@dataclass(frozen=True, slots=True)
class MembersChanged(Event):
    """The membership table changed."""


@dataclass(frozen=True, slots=True)
class ConfigChanged(Event):
    """The current configuration changed."""


@dataclass(frozen=True, slots=True)
class VersionBlocked(Event):
    """The evidence on this router shows that a version must get no more requests.

    :param until: deadline of the move in seconds since the epoch, by which all routers
        know its outcome; a past time lifts the block.
    :param reason: evidence behind the decision, for operators.
    """

    service: str
    version: str
    until: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic event that triggers time-based work."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A graceful shutdown was requested.

    :param serve_until: time from which new requests are refused, in seconds since the
        epoch.
    """

    serve_until: float


@dataclass(frozen=True, slots=True)
class GraceEnding(Event):
    """The grace period of a shutdown is about to end."""
