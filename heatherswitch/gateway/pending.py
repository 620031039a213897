"""A request without its final answer, and whether it may be sent again."""

from dataclasses import dataclass, field

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import (
    CallerRequest,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from heatherswitch.gateway.servers import ServerState

# Servers that one request is sent to at most, with those that did not run it.
MAX_ATTEMPTS = 4
# A repeat needs at least this much time before the deadline, in seconds.
MIN_RETRY_TIME_S = 0.05
# A repeatable plain request is given up at a silent server after this multiple of
# its latency objective, ...
IDLE_TIMEOUT_FACTOR = 2.0
# ... but not before this, in seconds: slow answers of good servers reach 0.25 s.
MIN_IDLE_TIMEOUT_S = 0.4
# A stream that can go on elsewhere is given up after this silence, in seconds.
# Callers leave after 2 s.
MIN_STREAM_IDLE_TIMEOUT_S = 1.2


@dataclass(slots=True)
class Pending:
    """A request without its final answer."""

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: float
    deadline_at: float
    tried_ids: list[str] = field(default_factory=list)
    # Servers that may have begun to run the request.
    possible_runs: int = 0
    current_server: ServerState | None = None
    # The held answer of a server that failed.
    buffered_error: ev.FailedAnswer | None = None
    # The last failure after which the request may have run.
    ambiguous_failure: ev.Broken | None = None
    # Part of an answer was delivered.
    partly_delivered: bool = False
    queued: bool = False
    # Questions for the load of servers so far.
    load_queries: int = 0
    # Parts of the prompt whose owners were asked for a server that holds them.
    queried_parts: set[str] = field(default_factory=set)
    # The owner of the last shared part answered: what is known of it is all there is.
    holders_known: bool = False
    # The present attempt was drawn between two versions of the service.
    in_version_split: bool = False
    # Seconds to the head of the present attempt's answer.
    first_byte_s: float | None = None

    @property
    def priority(self) -> int:
        """0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def idle_timeout_s(self) -> float | None:
        """Seconds without progress after which an attempt is given up, or None."""
        if not self.route.retryable:
            return None
        if self.route.kind is RequestKind.STREAMING:
            return max(MIN_STREAM_IDLE_TIMEOUT_S, self.route.latency_objective_s)
        return max(
            MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_FACTOR * self.route.latency_objective_s
        )

    def note_holder_reply(self, part_id: str) -> None:
        """Notes that the owner of a part told who holds it."""
        if part_id == self.request.affinity_key:
            self.holders_known = True

    def reason_not_to_retry(self, now: float) -> str:
        """Returns why a request may not be sent again, or an empty string."""
        route = self.route
        if self.possible_runs and not route.retryable:
            return "the request may have run"
        if self.possible_runs >= route.max_servers:
            return "the route allows no further server"
        if len(self.tried_ids) >= MAX_ATTEMPTS:
            return "too many servers were tried"
        if self.deadline_at - now < MIN_RETRY_TIME_S:
            return "the time is up"
        return ""
