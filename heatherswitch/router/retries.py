"""The retry budget and the agents that a router avoids for a while."""

from collections import deque

from heatherswitch.fleet.outcomes import Reason

# Window over which retries are compared with requests, in seconds.
BUDGET_WINDOW_S = 10.0
# Retries a second that are allowed however few requests there are.
MIN_RETRIES_PER_S = 1
# An agent that refused is ranked last for this long, in seconds.
REFUSED_FOR_S = 0.25
# An agent that could not be reached is ranked last for this long, in seconds.
UNREACHABLE_FOR_S = 2.5
# Reasons that hold for all requests of an agent for a while. The load bound and the
# cold limit are not among them: they change with each request that ends, and a chat
# that is sent elsewhere loses its cache.
AGENT_REASONS = frozenset(
    {
        Reason.ZONE_OUT,
        Reason.LEAVING,
        Reason.QUEUE_FULL,
        Reason.BACKEND_DOWN,
        Reason.NOT_READY,
        Reason.VERSION_TAKEN_BACK,
    }
)


class RetryBudget:
    """Limits retries to a share of the requests of the last ten seconds."""

    __slots__ = ("_requests", "_retries")

    def __init__(self) -> None:
        # One [second, count] pair per second with requests.
        self._requests: deque[list[int]] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts a new request."""
        second = int(now)
        if self._requests and self._requests[-1][0] == second:
            self._requests[-1][1] += 1
        else:
            self._requests.append([second, 1])
        self._expire(now)

    def take(self, now: float, share: float) -> bool:
        """Takes one retry from the budget if there is one.

        :param share: retries allowed per request, 0 to 1.
        """
        self._expire(now)
        recent = sum(1 for at in self._retries if now - at < 1.0)
        requests = sum(count for _, count in self._requests)
        if recent >= MIN_RETRIES_PER_S and len(self._retries) + 1 > share * requests:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - BUDGET_WINDOW_S
        while self._requests and self._requests[0][0] < oldest:
            self._requests.popleft()
        while self._retries and self._retries[0] <= oldest:
            self._retries.popleft()


class AvoidedAgents:
    """Remembers until when agents are ranked last."""

    __slots__ = ("_refused", "_unreachable")

    def __init__(self) -> None:
        # Agent id to the time until which it is ranked last.
        self._refused: dict[str, float] = {}
        self._unreachable: dict[str, float] = {}

    def refused(self, now: float, agent_id: str, reason: Reason) -> None:
        """Notes a refusal; one that concerns a single request changes nothing."""
        if reason in AGENT_REASONS:
            self._refused[agent_id] = now + REFUSED_FOR_S

    def unreachable(self, now: float, agent_id: str) -> None:
        """Notes that no connection to an agent could be opened or kept."""
        self._unreachable[agent_id] = now + UNREACHABLE_FOR_S

    def reached(self, agent_id: str) -> None:
        """Notes that an agent admitted a request."""
        self._unreachable.pop(agent_id, None)

    def is_unreachable(self, now: float, agent_id: str) -> bool:
        """Tells whether the agent could not be reached a short time ago."""
        return self._unreachable.get(agent_id, 0.0) > now

    def avoids(self, now: float, agent_id: str) -> bool:
        """Tells whether an agent is ranked last."""
        until = max(
            self._refused.get(agent_id, 0.0), self._unreachable.get(agent_id, 0.0)
        )
        return until > now

    def expire(self, now: float) -> None:
        """Forgets what no longer matters."""
        for held in (self._refused, self._unreachable):
            for agent_id in [a for a, until in held.items() if until <= now]:
                del held[agent_id]
