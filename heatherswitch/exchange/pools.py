"""Loads of pools: heard from agents, passed on by home routers, and summed."""

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
from heatherswitch.fleet.placement import open_pool

# Figures of a pool are used again for this long, a fifth of a round.
SUMMARY_CACHE_S = 0.1
# Loads that agents sent here within this time are passed on, in seconds: two rounds
# of an agent, so that a lost exchange leaves no gap.
DIRECT_LOAD_MAX_AGE_S = 1.25
# A sum from the home router of the pool is used for this long, in seconds.
RELAYED_SUMMARY_MAX_AGE_S = 2.0

PoolKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PoolLoadSummary:
    """Load of one pool.

    :param total: running and queued requests of the agents counted.
    :param age_s: age of the oldest figure, in seconds.
    """

    total: int
    agents: int
    age_s: float


@dataclass(frozen=True, slots=True)
class AgentLoadReport:
    """Load of one agent that a home router passes on.

    :param age_s: seconds since the agent reported it.
    """

    agent_id: str
    load: Load
    age_s: float


def summarize_pool_load(
    now: float, table: MemberTable, config: FleetConfig, service: str, version: str
) -> PoolLoadSummary:
    """Sums the load of the agents of a pool that take new work.

    Only loads that arrived recently count.

    :param version: empty for all versions of the service.
    """
    ages = [
        (table.load_age_s(now, member.id), member.load.total)
        for member in open_pool(now, table, config, service, version)
    ]
    recent = [(age_s, total) for age_s, total in ages if age_s <= SUSPECT_AFTER_S]
    total = sum(total for _, total in recent)
    return PoolLoadSummary(total, len(recent), max((a for a, _ in recent), default=0.0))


class PoolLoadTracker:
    """What one router knows of the load of pools."""

    __slots__ = ("_config", "_direct_exchanges", "_relayed_summaries", "_summaries")

    def __init__(self, config: FleetConfig | None = None) -> None:
        self._config = config or FleetConfig()
        self._summaries: dict[PoolKey, tuple[float, PoolLoadSummary]] = {}
        # Agent id to the times of its last own exchange with this router and of the
        # one before.
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
        """Returns the sums for an agent, or for a router that passes loads on.

        :param is_home: True when this router sums the pool of the sending agent.
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
        """Takes the sum of a pool from the pool's home router."""
        self._relayed_summaries[key] = (now, summary)

    def reports_by_home_router(
        self, now: float, table: MemberTable, home_address_of: Callable[[Member], str]
    ) -> dict[str, list[AgentLoadReport]]:
        """Returns the loads to pass on by the address that they go to.

        An agent that asked once only has picked this router at random; its load
        arrives by the home router of its group.

        :param home_address_of: returns the address of the router that sums an agent's pool.
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
        """Returns the figures of a pool, or None when they are not known here.

        :param is_home: True when this router hears the load of the whole pool. A part
            of the pool would give a wrong mean.
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
    """Takes loads that a home router passed on; returns the pools they belong to."""
    pools: dict[PoolKey, None] = {}
    for report in reports:
        member = table.get(report.agent_id)
        if member is None:
            continue
        table.update_load(now - report.age_s, member.id, report.load)
        pools[member.service, member.version] = None
    return list(pools)
