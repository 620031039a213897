"""Load of agent pools as reported to this router, in responses and the exchange."""

from collections.abc import Callable, Sequence

from heatherswitch.fleet.members import Load, Member
from heatherswitch.protocol import heatherswitch_pb2 as pb

# The exchange runs every 0.5 s with jitter, so its loads are up to 0.6 s old. Older loads
# are less accurate than those that the agent itself gets from its home routers.
MAX_AGE_S = 0.65


class ReportedLoads:
    """The latest load that each agent reported in a response, with its time."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Load]] = {}

    def record(self, now: float, agent_id: str, load: Load, age_s: float) -> None:
        """Stores a load from a response, unless a newer one is known.

        :param age_s: age of the load when the agent sent it, in seconds.
        """
        seen_at = now - age_s
        previous = self._reports.get(agent_id)
        if previous is None or previous[0] <= seen_at:
            self._reports[agent_id] = (seen_at, load)

    def keep_only(self, agent_ids: set[str]) -> None:
        """Removes agents that are not in ``agent_ids``."""
        for agent_id in self._reports.keys() - agent_ids:
            del self._reports[agent_id]

    def pool_load(
        self,
        now: float,
        agent_id: str,
        pool: Sequence[Member],
        reported_at: Callable[[str], float] = lambda agent_id: float("-inf"),
    ) -> pb.PoolLoad | None:
        """Returns the load of a pool, or None if any agent's load is unknown or too old.

        Part of the pool would give a wrong mean. In a pool with little load, most
        agents sent no response recently, so their loads from the exchange are used.

        :param agent_id: the agent that the result will be sent to.
        :param reported_at: returns when an agent reported the load in its record.
        """
        total = own = 0
        oldest = now
        for member in pool:
            seen_at, load = reported_at(member.id), member.load
            if member.id in self._reports and self._reports[member.id][0] >= seen_at:
                seen_at, load = self._reports[member.id]
            if now - seen_at > MAX_AGE_S:
                return None
            total += load.total
            if member.id == agent_id:
                own = load.total
            oldest = min(oldest, seen_at)
        if not pool:
            return None
        return pb.PoolLoad(
            service=pool[0].service,
            version=pool[0].version,
            total=total,
            agents=len(pool),
            age_ms=round((now - oldest) * 1000),
            own=own,
        )
