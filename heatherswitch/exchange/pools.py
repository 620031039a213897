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
from heatherswitch.fleet.placement import available_agents

# Figures of a pool are used again for this long, a fifth of a round.
POOL_CACHE_S = 0.1
# Loads that agents sent here within this time are passed on, in seconds: two rounds
# of an agent, so that a lost exchange leaves no gap.
DIRECT_S = 1.25
# A sum from the home router of the pool is used for this long, in seconds.
RELAYED_S = 2.0

PoolKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PoolFigures:
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


def pool_figures(
    now: float, table: MemberTable, config: FleetConfig, service: str, version: str
) -> PoolFigures:
    """Sums the load of the agents of a pool that take new work.

    Only loads that arrived recently count.

    :param version: empty for all versions of the service.
    """
    ages = [
        (table.load_age_s(now, member.id), member.load.total)
        for member in available_agents(now, table, config, service, version)
    ]
    recent = [(age_s, total) for age_s, total in ages if age_s <= SUSPECT_AFTER_S]
    total = sum(total for _, total in recent)
    return PoolFigures(total, len(recent), max((a for a, _ in recent), default=0.0))


class PoolView:
    """What one router knows of the load of pools."""

    __slots__ = ("_config", "_direct", "_figures", "_relayed")

    def __init__(self, config: FleetConfig | None = None) -> None:
        self._config = config or FleetConfig()
        self._figures: dict[PoolKey, tuple[float, PoolFigures]] = {}
        # Agent id to the times of its last own exchange with this router and of the
        # one before.
        self._direct: dict[str, tuple[float, float]] = {}
        self._relayed: dict[PoolKey, tuple[float, PoolFigures]] = {}

    def answer(
        self,
        now: float,
        table: MemberTable,
        sender: Member,
        reports: Iterable[AgentLoadReport],
        is_home: bool,
    ) -> dict[PoolKey, PoolFigures]:
        """Returns the sums for an agent, or for a router that passes loads on.

        :param is_home: True when this router sums the pool of the sending agent.
        """
        if sender.role is not Role.AGENT:
            pools = take_reports(now, table, reports)
            return {key: self.figures(now, table, key, True) for key in pools}
        self._heard(now, sender.id)
        key = (sender.service, sender.version)
        figures = self.figures(now, table, key, is_home)
        return {} if figures is None else {key: figures}

    def _heard(self, now: float, agent_id: str) -> None:
        last, _ = self._direct.get(agent_id, (float("-inf"), 0.0))
        self._direct[agent_id] = (now, last)

    def take_relayed(self, now: float, key: PoolKey, figures: PoolFigures) -> None:
        """Takes the sum of a pool from the pool's home router."""
        self._relayed[key] = (now, figures)

    def routes(
        self, now: float, table: MemberTable, home_of: Callable[[Member], str]
    ) -> dict[str, list[AgentLoadReport]]:
        """Returns the loads to pass on by the address that they go to.

        An agent that asked once only has picked this router at random; its load
        arrives by the home router of its group.

        :param home_of: returns the address of the router that sums an agent's pool.
        """
        recent = {i: t for i, t in self._direct.items() if now - t[0] <= DIRECT_S}
        self._direct = recent
        regular = [
            i for i, (last, before) in recent.items() if last - before < DIRECT_S
        ]
        members = [table.get(i) for i in regular]
        routes: dict[str, list[AgentLoadReport]] = {}
        for member in members:
            if member is None:
                continue
            age_s = now - recent[member.id][0]
            report = AgentLoadReport(member.id, member.load, age_s)
            routes.setdefault(home_of(member), []).append(report)
        return routes

    def figures(
        self, now: float, table: MemberTable, key: PoolKey, is_home: bool
    ) -> PoolFigures | None:
        """Returns the figures of a pool, or None when they are not known here.

        :param is_home: True when this router hears the load of the whole pool. A part
            of the pool would give a wrong mean.
        """
        if not is_home:
            relayed_at, relayed = self._relayed.get(key, (0.0, None))
            if relayed is None or now - relayed_at > RELAYED_S:
                return None
            age_s = relayed.age_s + now - relayed_at
            return PoolFigures(relayed.total, relayed.agents, age_s)
        computed_at, figures = self._figures.get(key, (0.0, None))
        if figures is None or not 0 <= now - computed_at < POOL_CACHE_S:
            figures = pool_figures(now, table, self._config, *key)
            self._figures[key] = (now, figures)
        return figures


def take_reports(
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
