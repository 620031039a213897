"""Events that the agent's reducer processes."""

from dataclasses import dataclass

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.statecore.reducer import Event


@dataclass(frozen=True, slots=True)
class ObservedLoad:
    """The load of a pool as a router knows it.

    :param total: running and queued requests over all agents of the pool.
    :param agents: number of agents that ``total`` covers.
    :param age_s: age of the values in seconds.
    :param own: the part of ``total`` that belongs to this agent.
    """

    service: str
    version: str
    total: int
    agents: int
    age_s: float
    own: int


@dataclass(frozen=True, slots=True)
class ExecuteReceived(Event):
    """A router sent a request.

    :param job_id: unique within this agent process.
    :param agent_id: agent that the router addresses; empty for any.
    :param incarnation: incarnation that the router expects; 0 for any.
    :param config_revision: revision of the router's configuration.
    :param fingerprint: digest of method, target and body.
    :param deadline_s: seconds left for the whole response; 0 for the class default.
    :param priority: class priority that the router knows; 0 is served first.
    :param observed: load of this agent's pool as the router knows it.
    :param attempt: number of the attempt, 1 at the agent that the router prefers;
        0 when unknown.
    :param chat_key: identifies the chat whose prompt prefix may be cached; empty for
        none.
    """

    job_id: str
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
class BackendFirstByte(Event):
    """The first byte of a response body arrived from the backend server."""

    job_id: str
    status: int


@dataclass(frozen=True, slots=True)
class BackendFinished(Event):
    """The complete response arrived and passed the checks.

    :param computed_tokens: prompt tokens that were not in the cache.
    """

    job_id: str
    status: int
    computed_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BackendFailed(Event):
    """The backend server sent no complete and valid response.

    :param sent: False only when certainly no part of the request was sent.
    :param code: short machine-readable cause.
    """

    job_id: str
    sent: bool
    code: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """No router receives the events of this job any more."""

    job_id: str


@dataclass(frozen=True, slots=True)
class CallerReconnected(Event):
    """A router reattached to this job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ClaimRecorded(Event):
    """The claim of this incarnation is durable.

    :param epoch: fencing token.
    """

    job_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The recorded response of an earlier run with the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class DuplicateJob:
    """Another job with the same idempotency key runs at this agent.

    :param job_id: id of that job.
    """

    job_id: str


@dataclass(frozen=True, slots=True)
class ClaimRejected(Event):
    """No claim was recorded for this job.

    :param result: what the router gets instead.
    """

    job_id: str
    result: StoredResponse | DuplicateJob | NotRun | OutcomeUnknown | Failed


@dataclass(frozen=True, slots=True)
class ServerLoadReported(Event):
    """The load that the backend server reports, which lags behind its real load.

    :param started_at: start of the server process in seconds since the epoch, or None.
    """

    running: int
    waiting: int
    started_at: float | None = None


@dataclass(frozen=True, slots=True)
class HealthReported(Event):
    """A health probe ended.

    :param healthy: False when the server did not respond with success.
    :param incarnation: id of the server process, or None when it reports none.
    :param started_at: start of the server process in seconds since the epoch, or None.
    """

    healthy: bool
    incarnation: str | None = None
    started_at: float | None = None


@dataclass(frozen=True, slots=True)
class BackendRestarted(Event):
    """A restart of the backend server was detected other than by a probe."""


@dataclass(frozen=True, slots=True)
class PoolLoadReported(Event):
    """The router that sums the pool's load reported it.

    :param total: running and queued requests over all agents of the pool.
    :param agents: number of agents that ``total`` covers.
    :param own: this agent's part of ``total``, as last reported to that router.
    """

    total: int
    agents: int
    own: int


@dataclass(frozen=True, slots=True)
class ServiceLoadReported(Event):
    """A router reported the running requests of all versions of the service.

    Only agents of a starting version receive it.

    :param own: this agent's part of ``total``, as last reported to that router.
    """

    total: int
    agents: int
    own: int


@dataclass(frozen=True, slots=True)
class VersionAgentsChanged(Event):
    """The live agents of this agent's version changed.

    :param rank: position of this agent among them, from 0.
    :param agents: their number, including this agent.
    """

    rank: int
    agents: int


@dataclass(frozen=True, slots=True)
class ConfigChanged(Event):
    """The effective configuration changed or was received for the first time."""

    config: FleetConfig


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Sent periodically to check deadlines."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The agent shuts down: it starts no more jobs and finishes the running ones."""
