"""The membership table: which routers and agents were heard of, and when."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

# A member that is unheard for this long is ranked last, in seconds.
SUSPECT_AFTER_S = 2.5
# A member that is unheard for this long is removed, in seconds.
REMOVE_AFTER_S = 10.0


class Role(Enum):
    """What a member does."""

    ROUTER = "router"
    AGENT = "agent"


class MemberState(Enum):
    """What a member says of itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one agent.

    :param running: requests at the backend server.
    :param queued: requests that wait in the agent.
    :param limit: requests that the server may run now, from its warmth.
    """

    running: int = 0
    queued: int = 0
    limit: int = 0

    @property
    def total(self) -> int:
        """Requests running and queued."""
        return self.running + self.queued


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the fleet as it describes itself.

    :param address: ``host:port`` of the gRPC listener.
    :param incarnation: nanoseconds since the epoch when the process started.
    :param heartbeat: rises by one with each heartbeat of the member.
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
    def age_key(self) -> tuple[int, int]:
        """Orders records of the same member from old to new."""
        return (self.incarnation, self.heartbeat)


class MemberTable:
    """Keeps the newest record of each member and when it was received."""

    __slots__ = ("_heard", "_load_at", "_members", "_routers")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        # When the load held was reported by the agent.
        self._load_at: dict[str, float] = {}
        # Live routers, because each round asks for them among 1,900 members.
        self._routers: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, member_id: str) -> Member | None:
        """Returns the newest record of a member, or None."""
        return self._members.get(member_id)

    def merge(self, now: float, members: Iterable[Member]) -> list[Member]:
        """Takes records that are newer than the known ones.

        :param now: monotonic time in seconds.
        :returns: the records that were taken.
        """
        taken = []
        for member in members:
            known = self._members.get(member.id)
            if known is not None and known.age_key >= member.age_key:
                continue
            self._put(member)
            self._heard[member.id] = now
            taken.append(member)
        return taken

    def _put(self, member: Member) -> None:
        self._members[member.id] = member
        if member.role is Role.ROUTER and member.state is MemberState.LIVE:
            self._routers[member.id] = member
        else:
            self._routers.pop(member.id, None)

    def update_load(self, now: float, member_id: str, load: Load) -> None:
        """Takes a load that the member itself reported at ``now``.

        An older report than the one held is left out.
        """
        known = self._members.get(member_id)
        if known is None or self._load_at.get(member_id, now) > now:
            return
        if known.load != load:
            self._put(replace(known, load=load))
        self._load_at[member_id] = now
        self._heard[member_id] = max(now, self._heard[member_id])

    def load_age_s(self, now: float, member_id: str) -> float:
        """Returns the seconds since a member reported its load; infinite if never."""
        return now - self.load_at(member_id)

    def hear(self, now: float, member_id: str) -> None:
        """Notes that a known member is alive, although its record is unchanged."""
        if member_id in self._members:
            self._heard[member_id] = now

    def load_at(self, member_id: str) -> float:
        """Returns when a member itself reported its load; minus infinity if never."""
        return self._load_at.get(member_id, float("-inf"))

    def unheard_s(self, now: float, member_id: str) -> float:
        """Returns the seconds since a member was heard of; infinite if never."""
        heard = self._heard.get(member_id)
        return float("inf") if heard is None else now - heard

    def unheard_longer(self, now: float, limit_s: float) -> list[Member]:
        """Returns the members that were not heard of for more than ``limit_s``."""
        return [self._members[i] for i, at in self._heard.items() if now - at > limit_s]

    def suspect(self, now: float, member_id: str) -> bool:
        """Tells whether a member has been unheard for too long."""
        heard = self._heard.get(member_id)
        return heard is None or now - heard > SUSPECT_AFTER_S

    def expire(self, now: float) -> list[Member]:
        """Removes members that are gone or unheard for too long.

        :returns: the removed records.
        """
        removed = self.unheard_longer(now, REMOVE_AFTER_S)
        for member in removed:
            del self._members[member.id]
            del self._heard[member.id]
            self._load_at.pop(member.id, None)
            self._routers.pop(member.id, None)
        return removed

    def agents(self, service: str, version: str | None = None) -> list[Member]:
        """Returns the agents of a service that may take new work.

        :param version: restricts to one version when given.
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
        """Returns the routers that are live."""
        return list(self._routers.values())
