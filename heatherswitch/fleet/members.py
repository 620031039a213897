"""Membership table: the known routers and agents and when they were last heard from."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

# Time without contact after which a member is suspect and ranked last, in seconds.
SUSPECT_AFTER_S = 2.5
# Time without contact after which a member is removed, in seconds.
REMOVE_AFTER_S = 10.0


class Role(Enum):
    """Kind of process."""

    ROUTER = "router"
    AGENT = "agent"


class MemberState(Enum):
    """State that a member reports of itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one agent.

    :param running: requests at the backend server.
    :param queued: requests that wait in the agent.
    :param limit: requests that the server may run at once now; lower during a cold
        start.
    """

    running: int = 0
    queued: int = 0
    limit: int = 0

    @property
    def total(self) -> int:
        """Number of running and queued requests."""
        return self.running + self.queued


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one process of the fleet, as it describes itself.

    :param zone: availability zone.
    :param address: ``host:port`` of the gRPC listener.
    :param incarnation: start time of the process, in nanoseconds since the epoch.
    :param heartbeat: heartbeat counter; increases by one with each heartbeat.
    :param cold: whether the agent's backend server is in a cold start.
    :param config_revision: store revision of the member's configuration.
    """

    id: str
    role: Role
    zone: str
    address: str
    incarnation: int
    region: str = ""
    heartbeat: int = 0
    state: MemberState = MemberState.LIVE
    service: str = ""
    version: str = ""
    load: Load = Load()
    cold: bool = False
    config_revision: int = 0

    @property
    def recency_key(self) -> tuple[int, int]:
        """Sort key that orders records of the same member from old to new."""
        return (self.incarnation, self.heartbeat)


class MemberTable:
    """Holds the newest record of each member and the time of its last contact."""

    __slots__ = ("_last_contact", "_load_reported_at", "_members", "_routers")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._last_contact: dict[str, float] = {}
        # Time at which the agent reported the stored load.
        self._load_reported_at: dict[str, float] = {}
        # Index of live routers: each exchange round needs them, among 1,900 members.
        self._routers: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, member_id: str) -> Member | None:
        """Returns the newest record of a member, or None."""
        return self._members.get(member_id)

    def merge(self, now: float, members: Iterable[Member]) -> list[Member]:
        """Stores the records that are newer than the known ones.

        :param now: monotonic time in seconds.
        :returns: the records that were stored.
        """
        taken = []
        for member in members:
            known = self._members.get(member.id)
            if known is not None and known.recency_key >= member.recency_key:
                continue
            self._store(member)
            self._last_contact[member.id] = now
            taken.append(member)
        return taken

    def _store(self, member: Member) -> None:
        self._members[member.id] = member
        if member.role is Role.ROUTER and member.state is MemberState.LIVE:
            self._routers[member.id] = member
        else:
            self._routers.pop(member.id, None)

    def update_load(self, now: float, member_id: str, load: Load) -> None:
        """Stores a load that the member itself reported at ``now``.

        A report that is older than the stored one is ignored, and so is one of an
        unknown member.
        """
        known = self._members.get(member_id)
        if known is None or self._load_reported_at.get(member_id, now) > now:
            return
        if known.load != load:
            self._store(replace(known, load=load))
        self._load_reported_at[member_id] = now
        self._last_contact[member_id] = max(now, self._last_contact[member_id])

    def load_age_s(self, now: float, member_id: str) -> float:
        """Returns the seconds since a member reported its load; infinite if never."""
        return now - self.load_reported_at(member_id)

    def record_contact(self, now: float, member_id: str) -> None:
        """Records contact with a known member whose record is unchanged."""
        if member_id in self._members:
            self._last_contact[member_id] = now

    def load_reported_at(self, member_id: str) -> float:
        """Returns when a member last reported its own load; minus infinity if never."""
        return self._load_reported_at.get(member_id, float("-inf"))

    def silent_for_s(self, now: float, member_id: str) -> float:
        """Returns the seconds since the last contact with a member, or infinity."""
        last_contact = self._last_contact.get(member_id)
        return float("inf") if last_contact is None else now - last_contact

    def silent_longer_than(self, now: float, limit_s: float) -> list[Member]:
        """Returns the members without contact for more than ``limit_s`` seconds."""
        return [
            self._members[i]
            for i, at in self._last_contact.items()
            if now - at > limit_s
        ]

    def is_suspect(self, now: float, member_id: str) -> bool:
        """Returns whether a member is unknown or had no contact for SUSPECT_AFTER_S."""
        last_contact = self._last_contact.get(member_id)
        return last_contact is None or now - last_contact > SUSPECT_AFTER_S

    def expire(self, now: float) -> list[Member]:
        """Removes the members without contact for REMOVE_AFTER_S.

        :returns: the removed records.
        """
        removed = self.silent_longer_than(now, REMOVE_AFTER_S)
        for member in removed:
            del self._members[member.id]
            del self._last_contact[member.id]
            self._load_reported_at.pop(member.id, None)
            self._routers.pop(member.id, None)
        return removed

    def agents(self, service: str, version: str | None = None) -> list[Member]:
        """Returns the live agents of a service.

        :param version: restricts the result to one version.
        """
        return [
            member
            for member in self._members.values()
            if member.role is Role.AGENT
            and member.service == service
            and member.state is MemberState.LIVE
            and (version is None or member.version == version)
        ]

    def routers(self) -> list[Member]:
        """Returns the live routers."""
        return list(self._routers.values())
