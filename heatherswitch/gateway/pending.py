"""State of an unfinished request, and the rules for retrying it."""

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import (
    CallerRequest,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from heatherswitch.gateway.response_speed import AttemptTimes
from heatherswitch.gateway.servers import ServerState
from heatherswitch.util.record import Record

# Maximum number of servers that a request is sent to, including those that rejected it
# without running it.
MAX_ATTEMPTS = 4
# Minimum time before the deadline for a retry, in seconds.
MIN_RETRY_TIME_S = 0.05
# Stall timeout of a retryable request other than a stream, as a multiple of the route's
# latency objective, ...
STALL_TIMEOUT_FACTOR = 2.0
# ... and its minimum in seconds: slow responses of healthy servers take up to 0.25 s.
MIN_STALL_TIMEOUT_S = 0.4
# Minimum stall timeout of a resumable stream, in seconds. Callers disconnect after 2 s
# without data.
MIN_STREAM_STALL_TIMEOUT_S = 1.2


class Pending(Record):
    """A request whose final response was not sent yet."""

    __slots__ = (
        "request",
        "route",
        "service",
        "workspace",
        "arrived_at",
        "deadline_at",
        "tried_ids",
        "possible_runs",
        "arrivals",
        "current_server",
        "buffered_error",
        "ambiguous_failure",
        "partly_delivered",
        "resumable",
        "queued",
        "load_queries",
        "queried_parts",
        "holders_known",
        "in_version_split",
        "times",
    )

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        arrived_at: float,
        deadline_at: float,
        possible_runs: int = 0,
        current_server: ServerState | None = None,
        buffered_error: ev.FailedAnswer | None = None,
        ambiguous_failure: ev.Broken | None = None,
        partly_delivered: bool = False,
        queued: bool = False,
        load_queries: int = 0,
        holders_known: bool = False,
        in_version_split: bool = False,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_at = arrived_at
        self.deadline_at = deadline_at
        self.tried_ids: list[str] = []
        # Number of servers that may have started to run the request, without the current
        # one.
        self.possible_runs = possible_runs
        # Number of servers that the request has reached, whether they ran it or not,
        # without the current one.
        self.arrivals = 0
        self.current_server = current_server
        # Error status of the last server, whose response is buffered for delivery.
        self.buffered_error = buffered_error
        # The last failure after which it is unknown whether the request has run.
        self.ambiguous_failure = ambiguous_failure
        # Part of a response was sent to the caller.
        self.partly_delivered = partly_delivered
        # Another server can continue that part, if the request is a stream.
        self.resumable = True
        self.queued = queued
        # Number of queries for servers' load so far.
        self.load_queries = load_queries
        # Ids of the prompt parts whose owners were asked for servers that have them cached.
        self.queried_parts: set[str] = set()
        # The owner of the last shared part replied, so that no server is guessed for it.
        self.holders_known = holders_known
        # During the current attempt, both versions of a rollout could get the request, so
        # that its result counts as evidence about them.
        self.in_version_split = in_version_split
        # Times of the current or last attempt.
        self.times = AttemptTimes(arrived_at)

    @property
    def priority(self) -> int:
        """Priority of the workspace, or else of the route; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def stall_timeout_s(self) -> float | None:
        """Seconds without progress after which a server is stalled, or None."""
        if not self.route.retryable:
            return None
        if self.route.kind is RequestKind.STREAMING:
            return max(MIN_STREAM_STALL_TIMEOUT_S, self.route.latency_objective_s)
        return max(
            MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * self.route.latency_objective_s
        )

    @property
    def reached_server(self) -> bool:
        """True if a further send would be a repeat: a server got the request before."""
        return self.arrivals > 0 or self.current_server is not None

    def note_holder_reply(self, part_id: str) -> None:
        """Notes that the owner of a prompt part replied to the query for its holders."""
        if part_id == self.request.affinity_key:
            self.holders_known = True

    def note_broken(self, outcome: ev.Broken) -> None:
        """Notes an attempt after which it is unknown whether the request has run."""
        self.buffered_error = None
        self.ambiguous_failure = outcome
        self.note_delivery(outcome)

    def note_delivery(self, outcome: ev.Broken) -> None:
        """Notes whether part of a response was sent, and if that can be continued."""
        if outcome.started:
            self.partly_delivered = True
            self.resumable = outcome.resumable

    def reason_not_to_retry(self, now: float) -> str:
        """Returns why the request may not be sent again, or an empty string.

        The server of a running attempt counts as one that may have run the request.
        """
        route = self.route
        possible_runs = self.possible_runs + (self.current_server is not None)
        if possible_runs and not route.retryable:
            return "the request may have run"
        streaming = route.kind is RequestKind.STREAMING
        if self.partly_delivered and not (streaming and self.resumable):
            # The caller would get two responses in one body.
            return "part of the response was delivered"
        if possible_runs >= route.max_servers:
            return "the route allows no further server"
        if len(self.tried_ids) >= MAX_ATTEMPTS:
            return "too many servers were tried"
        if self.deadline_at - now < MIN_RETRY_TIME_S:
            return "the time is up"
        return ""
