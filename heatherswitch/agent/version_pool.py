"""What an agent learns about the versions of its service."""

from collections.abc import Callable
from typing import Any

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable


class ServiceLoadReader:
    """Reads the load of all versions of a service from replies of routers.

    :param on_load: receives running and queued requests, and the number of agents.
    """

    __slots__ = ("_on_load", "_service")

    def __init__(self, service: str, on_load: Callable[[int, int], None]) -> None:
        self._service = service
        self._on_load = on_load

    def extend_message(self, request: Any) -> None:
        """Adds nothing."""

    def process_message(self, reply: Any) -> None:
        """Passes the load on."""
        for pool in reply.pool_loads:
            if (pool.service, pool.version) == (self._service, ""):
                self._on_load(pool.total, pool.agents)

    def handle_request(self, sender: Any, request: Any, reply: Any) -> None:
        """Adds nothing; an agent has nothing to tell."""


def claim_agents(
    config: FleetConfig, members: MemberTable, own: Member, now: float
) -> list[str]:
    """Returns the ids of the live agents that may own claims of a service.

    Agents in zones that are out and those of other versions than the active one are
    left out: the owner of a partition takes all of its requests, which is more than
    an unproven version may take. The own id is among them while the own agent may
    own claim partitions.

    :param now: seconds since the epoch.
    """
    active = config.split(own.service, now).active
    agents = [m for m in members.agents(own.service) if m.id != own.id]
    if own.state is MemberState.LIVE:
        agents.append(own)
    # An agent in a zone that is out refuses claims, so others take over.
    return [
        agent.id
        for agent in agents
        if active in ("", agent.version)
        and not config.zone_is_out(own.service, agent.zone, now)
    ]


def place_in_version(members: MemberTable, own: Member) -> tuple[int, int]:
    """Returns the rank among the live agents of the own version, and their number.

    The own agent counts as one of them.
    """
    agents = members.agents(own.service, own.version)
    ids = sorted({member.id for member in agents} | {own.id})
    return ids.index(own.id), len(ids)
