"""Order in which a router tries the agents of a pool for a request."""

from collections.abc import Callable

from heatherswitch.fleet.config import FleetConfig, VersionSplit
from heatherswitch.fleet.members import Member, MemberTable
from heatherswitch.fleet.policies import POLICIES, PlacementKey
from heatherswitch.statecore.hashing import unit_hash

__all__ = ["Placement", "PlacementKey", "available_agents"]


def available_agents(
    now: float, members: MemberTable, config: FleetConfig, service: str, version: str
) -> list[Member]:
    """Returns the agents over which the mean load of a pool is computed.

    Agents in zones that are out of use and suspect agents are left out, since they get
    no new requests. They would lower the mean, and with it the load bound of the
    others.

    :param now: seconds since the epoch.
    :param version: empty for all versions of the service.
    """
    pool = members.agents(service, version or None)
    zones = {member.zone for member in pool}
    out = {zone for zone in zones if config.zone_is_out(service, zone, now)}
    return [m for m in pool if m.zone not in out and not members.is_suspect(now, m.id)]


class Placement:
    """Ranks agents by the configuration and membership table of one process."""

    __slots__ = ("_blocked_until", "_config", "_members")

    def __init__(
        self,
        config: FleetConfig,
        members: MemberTable,
    ) -> None:
        self._config = config
        self._members = members
        # Service and version to the time until which the version gets no requests,
        # because this router found it bad before a decision was recorded.
        self._blocked_until: dict[tuple[str, str], float] = {}

    def block_version(self, service: str, version: str, until: float) -> None:
        """Stops sending requests to a version, whatever its configured share.

        :param until: end of the stop, in seconds since the epoch.
        """
        self._blocked_until[service, version] = until

    def candidates(
        self,
        now: float,
        key: PlacementKey,
        avoid: Callable[[str], bool] = lambda agent_id: False,
    ) -> list[Member]:
        """Returns the agents to try, most preferred first.

        The owner of the claim partition comes first. It is followed by the agents of
        the chat's version, ordered by the service's placement policy. If that is the
        starting version, agents of the active version follow. Suspect agents and those
        to avoid are ranked last, unless they own the partition.

        :param now: seconds since the epoch.
        :param avoid: returns whether an agent recently refused or was unreachable.
        """
        eligible = self._eligible(now, key.service)
        split = self._config.split(key.service, now)
        # A chat belongs to the starting version while its hash is below the share.
        chat_hash = unit_hash(key.service, key.workspace, key.chat_key)
        on_starting_version = chat_hash < split.share
        settings = self._config.settings(service=key.service)
        score = POLICIES[settings.get("routing.policy")].scorer(key)
        weights: dict[tuple[str, str], float] = {}
        ranked = []
        for member in eligible:
            rank = self._version_rank(member, split, on_starting_version)
            if member.id == key.owner:
                rank = -1
            if rank is None:
                continue
            ranked_last = avoid(member.id) or self._members.is_suspect(now, member.id)
            capacity_key = (member.zone, member.version)
            if capacity_key not in weights:
                weights[capacity_key] = self._weight(member)
            agent_score = score(member, weights[capacity_key])
            ranked.append(
                (ranked_last and rank >= 0, rank, -agent_score, member.id, member)
            )
        ranked.sort(key=lambda item: item[:4])
        return [item[4] for item in ranked]

    def _eligible(self, now: float, service: str) -> list[Member]:
        """Returns the live agents of a service whose zone and version are in use."""
        out: dict[str, bool] = {}
        closed: dict[str, bool] = {}
        found = []
        for member in self._members.agents(service):
            zone, version = member.zone, member.version
            if zone not in out:
                out[zone] = self._config.zone_is_out(service, zone, now)
            if version not in closed:
                blocked_until = self._blocked_until.get((service, version), 0.0)
                closed[version] = now < blocked_until or (
                    self._config.version_is_closed(service, version, now)
                )
            if not out[zone] and not closed[version]:
                found.append(member)
        return found

    def _version_rank(
        self, member: Member, split: VersionSplit, on_starting_version: bool
    ):
        """Returns 0 for the chat's version, 1 for the fallback version, otherwise None.

        :param on_starting_version: whether the chat belongs to the starting version.
        """
        if split.starting and member.version == split.starting:
            return 0 if on_starting_version else None
        if split.active and member.version != split.active:
            return None
        return 1 if on_starting_version else 0

    def _weight(self, member: Member) -> float:
        """Returns the agent's configured capacity, in requests.

        It comes from settings and not from reported load, so that all routers compute
        the same order.
        """
        settings = self._config.settings(
            service=member.service, zone=member.zone, version=member.version
        )
        return max(1.0, float(settings.get("limits.max_running")))
