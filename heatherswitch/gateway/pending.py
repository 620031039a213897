"""State of an unfinished request, and the rules for retrying it."""

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

# Maximum number of servers that a request is sent to, including those that rejected it
# without running it.
MAX_ATTEMPTS = 4
# Minimum time before the deadline for a retry, in seconds.
MIN_RETRY_TIME_S = 0.05
# Idle timeout of a retryable request other than a stream, as a multiple of the route's
# latency objective, ...
IDLE_TIMEOUT_FACTOR = 2.0
# ... and its minimum in seconds: slow responses of healthy servers take up to 0.25 s.
MIN_IDLE_TIMEOUT_S = 0.4
# Minimum idle timeout of a resumable stream, in seconds. Callers disconnect after 2 s
# without data.
MIN_STREAM_IDLE_TIMEOUT_S = 1.2


@dataclass(slots=True)
class Pending:
    """A request whose final response was not sent yet."""

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: float
    deadline_at: float
    tried_ids: list[str] = field(default_factory=list)
    # Number of servers that may have started to run the request.
    possible_runs: int = 0
    current_server: ServerState | None = None
    # Error status of the last server, whose response is buffered for delivery.
    buffered_error: ev.FailedAnswer | None = None
    # The last failure after which it is unknown whether the request has run.
    ambiguous_failure: ev.Broken | None = None
    # Part of a response was sent to the caller.
    partly_delivered: bool = False
    queued: bool = False
    # Number of queries for servers' load so far.
    load_queries: int = 0
    # Ids of the prompt parts whose owners were asked for servers that have them cached.
    queried_parts: set[str] = field(default_factory=set)
    # The owner of the last shared part replied, so that no server is guessed for it.
    holders_known: bool = False
    # During the current attempt, both versions of a rollout could get the request, so
    # that its result counts as evidence about them.
    in_version_split: bool = False
    # Seconds from the send to the response headers in the current attempt.
    first_byte_s: float | None = None

    @property
    def priority(self) -> int:
        """Priority of the workspace, or else of the route; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def stall_timeout_s(self) -> float | None:
        """Seconds without progress after which an attempt is abandoned, or None."""
        if not self.route.retryable:
            return None
        if self.route.kind is RequestKind.STREAMING:
            return max(MIN_STREAM_IDLE_TIMEOUT_S, self.route.latency_objective_s)
        return max(
            MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_FACTOR * self.route.latency_objective_s
        )

    def note_holder_reply(self, part_id: str) -> None:
        """Notes that the owner of a prompt part replied to the query for its holders."""
        if part_id == self.request.affinity_key:
            self.holders_known = True

    def reason_not_to_retry(self, now: float) -> str:
        """Returns why the request may not be sent again, or an empty string."""
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
