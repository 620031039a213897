"""Events of the agent's reducer."""

from dataclasses import dataclass

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Event


@dataclass(frozen=True, slots=True)
class ObservedLoad:
    """A router's observation of a pool.

    :param age_s: age of the figures in seconds.
    :param own: part of the total that belongs to this agent, as the router saw it.
    """

    service: str
    version: str
    total: int
    agents: int
    age_s: float
    own: int


@dataclass(frozen=True, slots=True)
class ExecuteReceived(Event):
    """A router asks to run a request.

    :param work_id: unique id of the work in this agent.
    :param agent_id: agent that the router meant; empty for any.
    :param incarnation: incarnation that the router expects; 0 for any.
    :param config_revision: configuration revision in force at the router.
    :param fingerprint: digest of method, target and body.
    :param deadline_s: seconds left for the whole answer; 0 for the class default.
    :param attempt: 1 at the agent that the router prefers; 0 when unknown.
    """

    work_id: str
    workspace: str
    request_class: str
    service: str = ""
    version: str = ""
    agent_id: str = ""
    incarnation: int = 0
    config_revision: int = 0
    idempotent: bool = True
    idempotency_key: str = ""
    fingerprint: str = ""
    deadline_s: float = 0.0
    priority: int | None = None
    observed: ObservedLoad | None = None
    attempt: int = 0
    chat_key: str = ""


@dataclass(frozen=True, slots=True)
class BackendHead(Event):
    """The first byte of an answer arrived from the backend server."""

    work_id: str
    status: int


@dataclass(frozen=True, slots=True)
class BackendFinished(Event):
    """The whole answer arrived and was checked.

    :param computed_tokens: prompt tokens that were not in the cache.
    """

    work_id: str
    status: int
    computed_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BackendFailed(Event):
    """The backend server gave no whole answer.

    :param sent: False only when provably nothing of the request was sent.
    """

    work_id: str
    sent: bool
    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """No router receives the events of this work any more."""

    work_id: str


@dataclass(frozen=True, slots=True)
class CallerReturned(Event):
    """A router reattached to this work."""

    work_id: str


@dataclass(frozen=True, slots=True)
class ClaimRecorded(Event):
    """The claim is durable and names this incarnation.

    :param epoch: fencing token.
    """

    work_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The recorded outcome of an earlier run with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class SameWork:
    """The same key is running at this agent under another work id."""

    work_id: str


@dataclass(frozen=True, slots=True)
class ClaimRejected(Event):
    """No claim was recorded for this attempt.

    :param result: what to answer instead.
    """

    work_id: str
    result: StoredAnswer | SameWork | NotRun | OutcomeUnknown | Failed


@dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """The backend server's own load; a late hint.

    :param started_at: seconds since the epoch, or None.
    """

    running: int
    waiting: int
    started_at: float | None = None


@dataclass(frozen=True, slots=True)
class HealthReported(Event):
    """A health probe ended.

    :param healthy: False when the server did not answer with success.
    """

    healthy: bool
    incarnation: str | None = None
    started_at: float | None = None


@dataclass(frozen=True, slots=True)
class BackendRestarted(Event):
    """Something outside the probes showed a restart of the backend server."""


@dataclass(frozen=True, slots=True)
class PoolMeanReported(Event):
    """A home router reported the pool's load.

    :param own: this agent's part of ``total`` when it was sent.
    """

    total: int
    agents: int
    own: int


@dataclass(frozen=True, slots=True)
class ServiceLoadReported(Event):
    """A home router reported the running requests of all versions of the service.

    It is sent to agents of a starting version only.

    :param own: this agent's part of ``total`` when it was sent.
    """

    total: int
    agents: int
    own: int


@dataclass(frozen=True, slots=True)
class VersionAgentsChanged(Event):
    """The live agents of the own version changed.

    :param rank: position of this agent among them, from 0.
    :param agents: number of them, with this agent.
    """

    rank: int
    agents: int


@dataclass(frozen=True, slots=True)
class ConfigChanged(Event):
    """The configuration in force changed or was received for the first time."""

    config: FleetConfig


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The agent is leaving."""
