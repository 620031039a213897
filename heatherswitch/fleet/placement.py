"""The order in which a router tries the agents of a pool for a request."""

from collections.abc import Callable

from heatherswitch.fleet.config import FleetConfig, VersionSplit
from heatherswitch.fleet.members import Member, MemberTable
from heatherswitch.fleet.policies import POLICIES, PlacementKey
from heatherswitch.statecore.hashing import unit_hash

__all__ = ["Placement", "PlacementKey", "open_pool"]


def open_pool(
    now: float, members: MemberTable, config: FleetConfig, service: str, version: str
) -> list[Member]:
    """Returns the agents over which the mean load of a pool is taken.

    Agents in zones that are out and agents that are suspect take no new work. They
    would lower the mean and with it the load that the others may carry.

    :param now: seconds since the epoch.
    """
    pool = members.agents(service, version or None)
    zones = {member.zone for member in pool}
    out = {zone for zone in zones if config.zone_is_out(service, zone, now)}
    return [m for m in pool if m.zone not in out and not members.is_suspect(now, m.id)]


class Placement:
    """Ranks agents over the configuration and members of one process."""

    __slots__ = ("_config", "_cut_versions", "_members")

    def __init__(
        self,
        config: FleetConfig,
        members: MemberTable,
    ) -> None:
        self._config = config
        self._members = members
        # Service and version to the time until which they get no work because of
        # this router's own evidence, before a decision is recorded.
        self._cut_versions: dict[tuple[str, str], float] = {}

    def cut_version(self, service: str, version: str, until: float) -> None:
        """Stops sending work to a version, whatever its configured share.

        :param until: seconds since the epoch.
        """
        self._cut_versions[service, version] = until

    def candidates(
        self,
        now: float,
        key: PlacementKey,
        avoid: Callable[[str], bool] = lambda agent_id: False,
    ) -> list[Member]:
        """Returns the agents to try, most preferred first.

        The owner of the claim partition comes first. Then come the agents of the
        chat's version by the policy of the service; agents of the active version follow
        when the chat belongs to a starting one. Agents to avoid and suspect ones
        are ranked last.

        :param now: seconds since the epoch.
        :param avoid: tells whether an agent refused or was unreachable recently.
        """
        eligible = self._eligible(now, key.service)
        split = self._config.split(key.service, now)
        # A chat moves to the starting version once its position is below the share.
        position = unit_hash(key.service, key.workspace, key.chat_key)
        starts = position < split.share
        settings = self._config.settings(service=key.service)
        score = POLICIES[settings.get("routing.policy")].scorer(key)
        weights: dict[tuple[str, str], float] = {}
        ranked = []
        for member in eligible:
            rank = self._version_rank(member, split, starts)
            if member.id == key.owner:
                rank = -1
            if rank is None:
                continue
            last = avoid(member.id) or self._members.is_suspect(now, member.id)
            place = (member.zone, member.version)
            if place not in weights:
                weights[place] = self._weight(member)
            points = score(member, weights[place])
            ranked.append((last and rank >= 0, rank, -points, member.id, member))
        ranked.sort(key=lambda item: item[:4])
        return [item[4] for item in ranked]

    def _eligible(self, now: float, service: str) -> list[Member]:
        """Live agents of a service in zones and versions that are open."""
        out: dict[str, bool] = {}
        closed: dict[str, bool] = {}
        found = []
        for member in self._members.agents(service):
            zone, version = member.zone, member.version
            if zone not in out:
                out[zone] = self._config.zone_is_out(service, zone, now)
            if version not in closed:
                cut_until = self._cut_versions.get((service, version), 0.0)
                closed[version] = now < cut_until or (
                    self._config.version_is_closed(service, version, now)
                )
            if not out[zone] and not closed[version]:
                found.append(member)
        return found

    def _version_rank(self, member: Member, split: VersionSplit, starts: bool):
        """Returns 0 for the chat's version, 1 for the one after it, else None.

        :param starts: the chat's hash is below the share of the starting version.
        """
        if split.starting and member.version == split.starting:
            return 0 if starts else None
        if split.active and member.version != split.active:
            return None
        return 1 if starts else 0

    def _weight(self, member: Member) -> float:
        """The agent's configured capacity.

        It comes from settings and not from reported load, so that all routers
        agree on the order.
        """
        settings = self._config.settings(
            service=member.service, zone=member.zone, version=member.version
        )
        return max(1.0, float(settings.get("limits.max_running")))
