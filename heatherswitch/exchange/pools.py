"""Load of the pools of agents.

Agents report their load to routers. In a large fleet the home router of a group of
agents passes the loads on to the home router of their service, which sums them up.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import (
    SUSPECT_AFTER_S,
    Load,
    Member,
    MemberTable,
    Role,
)
from heatherswitch.fleet.placement import available_agents

# Summaries are cached for this long, in seconds: a fifth of a round.
SUMMARY_CACHE_S = 0.1
# Loads that agents reported to this router within this time are passed on, in seconds.
# It covers two rounds of an agent, so that one lost exchange leaves no gap.
DIRECT_LOAD_MAX_AGE_S = 1.25
# A summary from the home router of a pool is used for this long, in seconds.
RELAYED_SUMMARY_MAX_AGE_S = 2.0

# Service and version; an empty version stands for all versions of the service.
PoolKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PoolLoadSummary:
    """Load of one pool, summed over the agents with a recent report.

    :param total: running and queued requests.
    :param agents: number of agents that the total includes.
    :param age_s: age of the oldest report, in seconds.
    """

    total: int
    agents: int
    age_s: float


@dataclass(frozen=True, slots=True)
class AgentLoadReport:
    """Load of one agent, as the home router of its group passes it on.

    :param age_s: seconds since the agent reported it.
    """

    agent_id: str
    load: Load
    age_s: float


def summarize_pool_load(
    now: float, table: MemberTable, config: FleetConfig, service: str, version: str
) -> PoolLoadSummary:
    """Sums the load of the agents of a pool that accept new requests.

    Loads older than ``SUSPECT_AFTER_S`` are left out.

    :param version: empty for all versions of the service.
    """
    ages = [
        (table.load_age_s(now, member.id), member.load.total)
        for member in available_agents(now, table, config, service, version)
    ]
    recent = [(age_s, total) for age_s, total in ages if age_s <= SUSPECT_AFTER_S]
    total = sum(total for _, total in recent)
    return PoolLoadSummary(total, len(recent), max((a for a, _ in recent), default=0.0))


class PoolLoadTracker:
    """Collects the load reports that reach one router and summarizes them by pool."""

    __slots__ = ("_config", "_direct_exchanges", "_relayed_summaries", "_summaries")

    def __init__(self, config: FleetConfig | None = None) -> None:
        self._config = config or FleetConfig()
        self._summaries: dict[PoolKey, tuple[float, PoolLoadSummary]] = {}
        # Times of the last two exchanges of each agent with this router, the last one
        # first, by agent id.
        self._direct_exchanges: dict[str, tuple[float, float]] = {}
        self._relayed_summaries: dict[PoolKey, tuple[float, PoolLoadSummary]] = {}

    def handle_exchange(
        self,
        now: float,
        table: MemberTable,
        sender: Member,
        reports: Iterable[AgentLoadReport],
        is_home: bool,
    ) -> dict[PoolKey, PoolLoadSummary]:
        """Processes the loads of an exchange and returns the summaries for its reply.

        An agent gets that of its pool, a router those of the pools whose agent loads
        it passed on.

        :param is_home: True if this router sums up the pool of the sending agent.
        """
        if sender.role is not Role.AGENT:
            pools = apply_load_reports(now, table, reports)
            return {key: self.summarize(now, table, key, True) for key in pools}
        self._record_exchange(now, sender.id)
        key = (sender.service, sender.version)
        summary = self.summarize(now, table, key, is_home)
        return {} if summary is None else {key: summary}

    def _record_exchange(self, now: float, agent_id: str) -> None:
        last, _ = self._direct_exchanges.get(agent_id, (float("-inf"), 0.0))
        self._direct_exchanges[agent_id] = (now, last)

    def store_relayed_summary(
        self, now: float, key: PoolKey, summary: PoolLoadSummary
    ) -> None:
        """Stores the summary of a pool that its home router sent."""
        self._relayed_summaries[key] = (now, summary)

    def reports_by_home_router(
        self, now: float, table: MemberTable, home_address_of: Callable[[Member], str]
    ) -> dict[str, list[AgentLoadReport]]:
        """Returns the loads to pass on, by the address of the router to send them to.

        An agent without a second recent exchange has chosen this router at random;
        its load is passed on by the home router of its group.

        :param home_address_of: returns the address of the router that sums up the pool
            of an agent.
        """
        recent = {
            i: t
            for i, t in self._direct_exchanges.items()
            if now - t[0] <= DIRECT_LOAD_MAX_AGE_S
        }
        self._direct_exchanges = recent
        regular = [
            i
            for i, (last, before) in recent.items()
            if last - before < DIRECT_LOAD_MAX_AGE_S
        ]
        members = [table.get(i) for i in regular]
        reports_by_home_router: dict[str, list[AgentLoadReport]] = {}
        for member in members:
            if member is None:
                continue
            age_s = now - recent[member.id][0]
            report = AgentLoadReport(member.id, member.load, age_s)
            reports_by_home_router.setdefault(home_address_of(member), []).append(
                report
            )
        return reports_by_home_router

    def summarize(
        self, now: float, table: MemberTable, key: PoolKey, is_home: bool
    ) -> PoolLoadSummary | None:
        """Returns the load summary of a pool, or None if this router has none.

        :param is_home: True if this router receives the loads of the whole pool. Those
            of only some agents would give a wrong mean.
        """
        if not is_home:
            relayed_at, relayed = self._relayed_summaries.get(key, (0.0, None))
            if relayed is None or now - relayed_at > RELAYED_SUMMARY_MAX_AGE_S:
                return None
            age_s = relayed.age_s + now - relayed_at
            return PoolLoadSummary(relayed.total, relayed.agents, age_s)
        computed_at, summary = self._summaries.get(key, (0.0, None))
        if summary is None or not 0 <= now - computed_at < SUMMARY_CACHE_S:
            summary = summarize_pool_load(now, table, self._config, *key)
            self._summaries[key] = (now, summary)
        return summary


def apply_load_reports(
    now: float, table: MemberTable, reports: Iterable[AgentLoadReport]
) -> list[PoolKey]:
    """Stores loads that a home router passed on and returns the pools of the agents."""
    pools: dict[PoolKey, None] = {}
    for report in reports:
        member = table.get(report.agent_id)
        if member is None:
            continue
        table.update_load(now - report.age_s, member.id, report.load)
        pools[member.service, member.version] = None
    return list(pools)
