"""What this router saw of the load of a pool, from answers and the exchange."""

from collections.abc import Callable, Sequence

from heatherswitch.fleet.members import Load, Member
from heatherswitch.protocol import heatherswitch_pb2 as pb

# Figures from the exchange are up to 0.6 s old, its period with its jitter. Older
# ones say less than the report that the agent itself gets from its home routers.
MAX_AGE_S = 0.65


class PoolLoads:
    """Keeps the load that each agent reported last, and when."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, Load]] = {}

    def note(self, now: float, agent_id: str, load: Load, age_s: float) -> None:
        """Takes a load from an answer.

        :param age_s: age of the figures when the agent sent them, in seconds.
        """
        seen_at = now - age_s
        known = self._seen.get(agent_id)
        if known is None or known[0] <= seen_at:
            self._seen[agent_id] = (seen_at, load)

    def keep_only(self, agent_ids: set[str]) -> None:
        """Forgets agents that left the fleet."""
        for agent_id in self._seen.keys() - agent_ids:
            del self._seen[agent_id]

    def observed(
        self,
        now: float,
        agent_id: str,
        pool: Sequence[Member],
        load_at: Callable[[str], float] = lambda agent_id: float("-inf"),
    ) -> pb.PoolLoad | None:
        """Returns the load of a pool, or None unless all of it was seen lately.

        A part of the pool would give a wrong mean. In a pool with little load, most
        agents gave no answer lately, so their loads from the exchange count too.

        :param agent_id: the agent that will receive the figures.
        :param load_at: returns when an agent reported the load in its record.
        """
        total = own = 0
        oldest = now
        for member in pool:
            seen_at, load = load_at(member.id), member.load
            if member.id in self._seen and self._seen[member.id][0] >= seen_at:
                seen_at, load = self._seen[member.id]
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
