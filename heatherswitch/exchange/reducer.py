"""Decisions of the exchange: whom to ask, what to send and when to be ready.

Nothing here reads a clock, opens a connection or logs.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from heatherswitch.fleet.members import (
    REMOVE_AFTER_S,
    SUSPECT_AFTER_S,
    Member,
    MemberState,
    MemberTable,
    Role,
)
from heatherswitch.statecore.hashing import rendezvous_order
from heatherswitch.statecore.replica import Entry, ReplicatedEntries

# Every member exchanges with this many routers in every round. Three keep one
# reachable when a zone and one more router are lost.
HOME_ROUTERS = 3
# Routers that watch the store; more would only add store calls.
WATCHERS = 3
# Other routers that a router picks at random in each round.
RANDOM_PEERS = 2
# Unknown --peers addresses that are tried in each round of a started process.
SEEDS_PER_ROUND = 2
# Limits of one message; a record takes about 120 bytes, a digest item 40.
MAX_RECORDS = 16
MAX_DIGEST = 24
# Records in answer to a digest; more than a few only after a start or a partition.
MAX_MISSING = 48
MAX_DELTA_BYTES = 4096
# Entries beyond this many bytes follow in the next exchange. A starting process
# holds nothing yet and takes larger parts, so that it is ready soon.
MAX_FIRST_DELTA_BYTES = 512 * 1024
# While new members become known, digests go to all targets for this long; later
# to one target in each round, since they are the largest part of a request.
CATCH_UP_S = 2.0
# Figures of a pool are used again for this long, a fifth of a round.
POOL_CACHE_S = 0.1
# A changed record is sent unasked for this long; 400 routers need about 6 rounds.
RUMOUR_S = 4.0
# The store alone suffices after this many seconds; it may answer an old revision,
# which a peer would show.
STORE_ALONE_AFTER_S = 1.5
# A single ready peer suffices after this many seconds, since others may be dead.
SINGLE_PEER_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class DigestItem:
    """Age of one record; an empty id stands for an open end of the range."""

    id: str
    incarnation: int = 0
    heartbeat: int = 0


@dataclass(frozen=True, slots=True)
class Delta:
    """Configuration entries for one peer.

    :param revision: with the entries the peer is complete up to this revision.
    :param snapshot: True when the entries are all that exist at the revision.
    """

    entries: Sequence[Entry]
    revision: int
    snapshot: bool = False


@dataclass(frozen=True, slots=True)
class PoolFigures:
    """Load of one pool.

    :param total: running and queued requests of the agents counted.
    :param age_s: age of the oldest figure, in seconds.
    """

    total: int
    agents: int
    age_s: float


def home_routers(member: Member, routers: Iterable[Member]) -> list[Member]:
    """Returns the routers that a member exchanges with in every round.

    Agents of one service share them, so that each sees the load of whole pools.
    """
    by_id = {router.id: router for router in routers if router.id != member.id}
    is_agent = member.role is Role.AGENT
    key = f"home/{member.service}" if is_agent else f"router/{member.id}"
    return [by_id[i] for i in rendezvous_order(key, by_id)[:HOME_ROUTERS]]


def watchers(router_ids: Iterable[str]) -> list[str]:
    """Returns the ids of the routers that watch the store."""
    return rendezvous_order("store-watchers", set(router_ids))[:WATCHERS]


def choose_targets(
    own: Member, table: MemberTable, seeds: Sequence[str], ready: bool, random
) -> list[str]:
    """Returns the addresses to exchange with in this round.

    :param seeds: addresses from ``--peers``.
    :param random: source of randomness, as ``random.Random``.
    """
    routers = [router for router in table.routers() if router.id != own.id]
    targets = [router.address for router in home_routers(own, routers)]
    if own.role is Role.ROUTER:
        others = [r.address for r in routers if r.address not in targets]
        targets += random.sample(others, min(RANDOM_PEERS, len(others)))
    known = {router.address for router in routers}
    unknown = [s for s in seeds if s not in known and s != own.address]
    if ready:
        # Finds routers again after a network partition in which both sides
        # removed each other.
        unknown = random.sample(unknown, min(SEEDS_PER_ROUND, len(unknown)))
    return list(dict.fromkeys(targets + unknown))


class DigestCursor:
    """Walks through the member ids, a bounded window at a time."""

    __slots__ = ("_after",)

    def __init__(self) -> None:
        self._after = ""

    def next(self, table: MemberTable) -> list[DigestItem]:
        """Returns the digest of the next window."""
        members = sorted(table, key=lambda member: member.id)
        start = bisect_right([member.id for member in members], self._after)
        window = members[start : start + MAX_DIGEST]
        items = [DigestItem(m.id, m.incarnation, m.heartbeat) for m in window]
        if start == 0:
            items.insert(0, DigestItem(""))
        elif members:
            before = members[start - 1]
            items.insert(0, DigestItem(before.id, before.incarnation, before.heartbeat))
        if start + MAX_DIGEST >= len(members):
            items.append(DigestItem(""))
            self._after = ""
        else:
            self._after = window[-1].id
        return items


def records_for(
    receiver: Member, digest: Sequence[DigestItem], table: MemberTable, random
) -> list[Member]:
    """Returns records that the digest lacks or that are newer.

    Routers come first; the others are picked at random, so that several peers give
    different ones.

    :param random: source of randomness, as ``random.Random``.
    """
    if len(digest) < 2:
        return []
    known = {item.id: (item.incarnation, item.heartbeat) for item in digest}
    low, high = digest[0].id, digest[-1].id
    missing = [
        member
        for member in table
        if member.id != receiver.id
        and relevant(receiver, member)
        and member.id >= low
        and (not high or member.id <= high)
        and known.get(member.id, (-1, -1)) < member.age_key
    ]
    random.shuffle(missing)
    missing.sort(key=lambda member: member.role is not Role.ROUTER)
    return missing[:MAX_MISSING]


def relevant(receiver: Member, member: Member) -> bool:
    """Tells whether a receiver needs a record: agents need routers and their pool."""
    if receiver.role is Role.ROUTER or member.role is Role.ROUTER:
        return True
    return member.service == receiver.service


def cut_delta(entries: ReplicatedEntries, floor: int, since: int) -> Delta:
    """Returns the entries that a peer at revision ``since`` lacks.

    :param floor: deletions are known from this revision on. A peer below it may
        hold an entry whose deletion is not known here, and gets a snapshot.
    """
    if 0 < since < floor and entries.revision > since:
        return Delta(entries.with_prefix(""), entries.revision, snapshot=True)
    newer = entries.since(since)
    limit = MAX_DELTA_BYTES if since else MAX_FIRST_DELTA_BYTES
    size = 0
    for index, entry in enumerate(newer):
        size += len(entry.key) + len(entry.value or b"") + 16
        # Entries above the complete revision are never cut off: the peer's revision
        # does not pass them, so that they would not follow in a later exchange.
        if size <= limit or entry.mod_revision > entries.revision:
            continue
        # A cut inside one revision would claim a transaction half received.
        if index > 0 and newer[index - 1].mod_revision != entry.mod_revision:
            own_writes = entries.since(entries.revision)
            return Delta([*newer[:index], *own_writes], newer[index - 1].mod_revision)
    return Delta(newer, entries.revision)


def pool_figures(
    now: float, table: MemberTable, service: str, version: str
) -> PoolFigures:
    """Sums the load of the agents of a pool that were heard recently."""
    heard = [
        member
        for member in table.agents(service, version)
        if not table.suspect(now, member.id)
    ]
    total = sum(member.load.total for member in heard)
    age_s = max((table.unheard_s(now, m.id) for m in heard), default=0.0)
    return PoolFigures(total, len(heard), age_s)


class PoolCache:
    """Keeps the figures of pools for a moment; 1,500 agents ask for 18 pools."""

    __slots__ = ("_figures",)

    def __init__(self) -> None:
        self._figures: dict[tuple[str, str], tuple[float, PoolFigures]] = {}

    def figures(self, now: float, table: MemberTable, agent: Member) -> PoolFigures:
        """Returns the figures of an agent's pool."""
        pool = (agent.service, agent.version)
        computed_at, figures = self._figures.get(pool, (0.0, None))
        if figures is None or not 0 <= now - computed_at < POOL_CACHE_S:
            figures = pool_figures(now, table, *pool)
            self._figures[pool] = (now, figures)
        return figures


class HomeMap:
    """Remembers which members the own router is a home router of.

    The answers are kept until the set of live routers changes, because each one
    takes a hash per router.
    """

    __slots__ = ("_answers", "_own", "_routers")

    def __init__(self) -> None:
        self._own: Member | None = None
        self._routers: dict[str, Member] = {}
        self._answers: dict[tuple[str, str], bool] = {}

    def update(self, own: Member, table: MemberTable) -> None:
        """Takes the live routers of this round."""
        routers = {router.id: router for router in table.routers()} | {own.id: own}
        if routers.keys() != self._routers.keys():
            self._answers.clear()
        self._own = own
        self._routers = routers

    def is_home(self, member: Member) -> bool:
        """Tells whether the own process is a home router of a member."""
        if self._own is None or self._own.role is not Role.ROUTER:
            return False
        is_agent = member.role is Role.AGENT
        key = (member.service, "") if is_agent else ("", member.id)
        if key not in self._answers:
            homes = home_routers(member, self._routers.values())
            self._answers[key] = any(r.id == self._own.id for r in homes)
        return self._answers[key]


def gone_records(
    now: float, own: Member, table: MemberTable, homes: HomeMap
) -> list[Member]:
    """Returns GONE records for members that this home router no longer hears.

    The heartbeat goes up by one, so that the record replaces the live one. A
    member that is alive after all answers with a higher heartbeat.
    """
    return [
        replace(member, state=MemberState.GONE, heartbeat=member.heartbeat + 1)
        for member in table
        if member.state is not MemberState.GONE
        and member.id != own.id
        and table.unheard_s(now, member.id) > REMOVE_AFTER_S
        and homes.is_home(member)
    ]


def members_of_others(now: float, table: MemberTable, homes: HomeMap) -> list[str]:
    """Returns ids of members whose silence other home routers watch.

    Their records arrive only when they change, so that silence here says nothing.
    """
    return [
        member.id
        for member in table
        if member.state is not MemberState.GONE
        and table.unheard_s(now, member.id) > SUSPECT_AFTER_S / 2
        and not homes.is_home(member)
    ]


def acceptable(
    now: float,
    own: Member,
    table: MemberTable,
    records: Iterable[Member],
    homes: HomeMap,
) -> list[Member]:
    """Leaves out records about the own process and some GONE records.

    A member that is heard here directly is alive, whatever a router behind a
    network partition reports. The GONE record of an unknown member is left out,
    because routers would otherwise tell each other of it for ever.
    """

    def wanted(record: Member) -> bool:
        if record.id == own.id:
            return False
        if record.state is not MemberState.GONE:
            return True
        if table.get(record.id) is None:
            return False
        heard = table.unheard_s(now, record.id) <= SUSPECT_AFTER_S
        return not (heard and homes.is_home(record))

    return [record for record in records if wanted(record)]


class Readiness:
    """Decides when the configuration held is recent enough to serve."""

    __slots__ = ("_answers", "_highest", "_ready", "_started", "_store")

    def __init__(self, started: float) -> None:
        self._started = started
        self._store = False
        self._answers: set[str] = set()
        self._highest = 0
        self._ready = False

    @property
    def ready(self) -> bool:
        """True from the first time that the rule was met."""
        return self._ready

    def store_answered(self) -> None:
        """Notes that the store has answered with its whole configuration."""
        self._store = True

    def peer_answered(self, peer_id: str, ready: bool, revision: int) -> None:
        """Notes the answer of a router.

        :param revision: the router's own complete revision.
        """
        if ready:
            self._answers.add(peer_id)
            self._highest = max(self._highest, revision)

    def update(self, now: float, own_revision: int, other_peers: int) -> bool:
        """Applies the rule; once ready, a process stays ready.

        :param other_peers: routers that are known or named by ``--peers``.
        """
        age_s = now - self._started
        alone = other_peers == 0 or age_s >= STORE_ALONE_AFTER_S
        needed = min(2, other_peers)
        if self._store:
            needed = 0 if alone else 1
        elif age_s >= SINGLE_PEER_AFTER_S:
            needed = 1
        enough = self._store if needed == 0 else len(self._answers) >= needed
        self._ready = self._ready or (enough and own_revision >= self._highest)
        return self._ready
