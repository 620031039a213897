"""What an agent learns from routers about the versions of its service."""

from collections.abc import Callable
from typing import Any

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable


class ServiceLoadReader:
    """Reads the load of all versions of a service from the replies of routers.

    :param on_load: called with the numbers of running requests and of agents.
    """

    __slots__ = ("_on_load", "_service")

    def __init__(self, service: str, on_load: Callable[[int, int], None]) -> None:
        self._service = service
        self._on_load = on_load

    def extend_message(self, request: Any) -> None:
        """Does nothing, as an agent has nothing to ask."""

    def process_message(self, reply: Any) -> None:
        """Passes the load in a reply to ``on_load``, if it has one."""
        for pool in reply.pool_loads:
            if (pool.service, pool.version) == (self._service, ""):
                self._on_load(pool.total, pool.agents)

    def handle_request(self, sender: Any, request: Any, reply: Any) -> None:
        """Does nothing, as an agent has nothing to report."""


def claim_owner_candidates(
    config: FleetConfig, members: MemberTable, own: Member, now: float
) -> list[str]:
    """Returns the ids of the live agents that may own claim partitions of a service.

    Agents in zones that are out of service are excluded, and so are those of other
    versions than the active one: the owner of a partition gets all of its requests,
    which is more than an unproven version may get.

    :param own: this agent's record; its id is included if it may own partitions.
    :param now: seconds since the epoch.
    """
    active = config.split(own.service, now).active
    agents = [m for m in members.agents(own.service) if m.id != own.id]
    if own.state is MemberState.LIVE:
        agents.append(own)
    # An agent in a zone that is out of service refuses claims, so others take over.
    return [
        agent.id
        for agent in agents
        if active in ("", agent.version)
        and not config.zone_is_out(own.service, agent.zone, now)
    ]


def rank_in_version(members: MemberTable, own: Member) -> tuple[int, int]:
    """Returns an agent's rank among the live ones of its version, and their number.

    :param own: this agent's record, which counts as one of them.
    """
    agents = members.agents(own.service, own.version)
    ids = sorted({member.id for member in agents} | {own.id})
    return ids.index(own.id), len(ids)
