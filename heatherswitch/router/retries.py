"""The retry budgets, and the agents that a router temporarily avoids."""

from collections import defaultdict, deque

from heatherswitch.fleet.outcomes import Reason

# Sliding window in which retries are limited relative to requests, in seconds.
BUDGET_WINDOW_S = 10.0
# Always allowed, so that services with few requests can retry at all.
MIN_RETRIES_PER_S = 1
# How long an agent is ranked last after a refusal, in seconds.
REFUSAL_PENALTY_S = 0.25
# How long an agent is ranked last after a failed connection, in seconds.
UNREACHABLE_PENALTY_S = 2.5
# Refusal reasons that apply to all requests to an agent for some time. OVER_LOAD_BOUND
# and COLD_START are left out: they can change with each request that ends, and a chat
# that is sent to another agent loses its prompt cache.
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
    """Limits retries to a share of the requests within the sliding window."""

    __slots__ = ("_requests", "_retries")

    def __init__(self) -> None:
        # [second, count] pairs, one per second that had requests.
        self._requests: deque[list[int]] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts a new request, which enlarges the budget."""
        second = int(now)
        if self._requests and self._requests[-1][0] == second:
            self._requests[-1][1] += 1
        else:
            self._requests.append([second, 1])
        self._expire(now)

    def try_acquire(self, now: float, share: float) -> bool:
        """Returns whether a retry is allowed, and counts it if so.

        :param share: allowed retries per request, 0 to 1.
        """
        self._expire(now)
        retries_last_second = sum(1 for at in self._retries if now - at < 1.0)
        requests = sum(count for _, count in self._requests)
        if (
            retries_last_second >= MIN_RETRIES_PER_S
            and len(self._retries) + 1 > share * requests
        ):
            return False
        self._retries.append(now)
        return True

    def is_unused(self, now: float) -> bool:
        """Tells whether the window holds neither requests nor retries."""
        self._expire(now)
        return not self._requests and not self._retries

    def _expire(self, now: float) -> None:
        oldest = now - BUDGET_WINDOW_S
        while self._requests and self._requests[0][0] < oldest:
            self._requests.popleft()
        while self._retries and self._retries[0] <= oldest:
            self._retries.popleft()


class ServiceRetryBudgets:
    """A retry budget for each service.

    Requests for one service allow no retries at another, whose agents may all fail.
    """

    __slots__ = ("_budgets",)

    def __init__(self) -> None:
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def count_request(self, now: float, service: str) -> None:
        """Counts a new request, which enlarges the budget of its service."""
        self._budgets[service].count_request(now)

    def try_acquire(self, now: float, service: str, share: float) -> bool:
        """Returns whether a retry is allowed at a service, and counts it if so.

        :param share: allowed retries per request, 0 to 1.
        """
        return self._budgets[service].try_acquire(now, share)

    def expire(self, now: float) -> None:
        """Removes the budgets of services without requests in the window."""
        for service in [s for s, b in self._budgets.items() if b.is_unused(now)]:
            del self._budgets[service]


class AvoidedAgents:
    """Agents that are ranked last after a refusal or a failed connection."""

    __slots__ = ("_refused_until", "_unreachable_until")

    def __init__(self) -> None:
        # Agent id to the time until which the agent is ranked last.
        self._refused_until: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}

    def record_refusal(self, now: float, agent_id: str, reason: Reason) -> None:
        """Ranks an agent last if the reason is one of :data:`AGENT_REASONS`."""
        if reason in AGENT_REASONS:
            self._refused_until[agent_id] = now + REFUSAL_PENALTY_S

    def record_unreachable(self, now: float, agent_id: str) -> None:
        """Ranks an agent last whose connection could not be opened or was lost."""
        self._unreachable_until[agent_id] = now + UNREACHABLE_PENALTY_S

    def record_reachable(self, agent_id: str) -> None:
        """Marks an agent as reachable, since it admitted a request."""
        self._unreachable_until.pop(agent_id, None)

    def is_unreachable(self, now: float, agent_id: str) -> bool:
        """Tells whether the last connection to an agent failed recently."""
        return self._unreachable_until.get(agent_id, 0.0) > now

    def is_avoided(self, now: float, agent_id: str) -> bool:
        """Tells whether an agent is to be ranked last."""
        until = max(
            self._refused_until.get(agent_id, 0.0),
            self._unreachable_until.get(agent_id, 0.0),
        )
        return until > now

    def expire(self, now: float) -> None:
        """Removes expired entries."""
        for penalties in (self._refused_until, self._unreachable_until):
            for agent_id in [a for a, until in penalties.items() if until <= now]:
                del penalties[agent_id]
