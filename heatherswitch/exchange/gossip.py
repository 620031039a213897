"""Decisions of the exchange: what to send, whom to believe and when to be ready.

Nothing here reads a clock, opens a connection or logs.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from heatherswitch.exchange.peer_selection import HomeRouterMap
from heatherswitch.fleet.members import (
    REMOVE_AFTER_S,
    SUSPECT_AFTER_S,
    Member,
    MemberState,
    MemberTable,
    Role,
)
from heatherswitch.statecore.replica import Entry, ReplicatedEntries

# Limits of one message; a record takes about 120 bytes, a digest item 40.
MAX_CHANGED_RECORDS = 16
MAX_DIGEST_ITEMS = 24
# Records in answer to a digest; more than a few only after a start or a partition.
MAX_DIGEST_REPLY_RECORDS = 48
MAX_DELTA_BYTES = 4096
# Entries beyond this many bytes follow in the next exchange. A starting process
# holds nothing yet and takes larger parts, so that it is ready soon.
MAX_INITIAL_DELTA_BYTES = 512 * 1024
# While new members become known, digests go to all targets for this long; later
# to one target in each round, since they are the largest part of a request.
CATCH_UP_S = 2.0
# A changed record is sent unasked for this long; 400 routers need about 6 rounds.
CHANGE_SPREAD_S = 4.0
# The store alone suffices after this many seconds; it may answer an old revision,
# which a peer would show.
STORE_ONLY_READY_AFTER_S = 1.5
# A single ready peer suffices after this many seconds, since others may be dead.
SINGLE_PEER_READY_AFTER_S = 5.0


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


class DigestCursor:
    """Walks through the member ids, a bounded window at a time."""

    __slots__ = ("_after",)

    def __init__(self) -> None:
        self._after = ""

    def next(self, table: MemberTable) -> list[DigestItem]:
        """Returns the digest of the next window."""
        members = sorted(table, key=lambda member: member.id)
        start = bisect_right([member.id for member in members], self._after)
        window = members[start : start + MAX_DIGEST_ITEMS]
        items = [DigestItem(m.id, m.incarnation, m.heartbeat) for m in window]
        if start == 0:
            items.insert(0, DigestItem(""))
        elif members:
            before = members[start - 1]
            items.insert(0, DigestItem(before.id, before.incarnation, before.heartbeat))
        if start + MAX_DIGEST_ITEMS >= len(members):
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
        # The cheapest tests come first: most of 1,900 members are out of range.
        if member.id >= low
        and (not high or member.id <= high)
        and known.get(member.id, (-1, -1)) < member.age_key
        and member.id != receiver.id
        and needs_record(receiver, member)
    ]
    random.shuffle(missing)
    missing.sort(key=lambda member: member.role is not Role.ROUTER)
    return missing[:MAX_DIGEST_REPLY_RECORDS]


def needs_record(receiver: Member, member: Member) -> bool:
    """Tells whether a receiver needs a record: agents need routers and their pool."""
    if receiver.role is Role.ROUTER or member.role is Role.ROUTER:
        return True
    return member.service == receiver.service


def build_delta(entries: ReplicatedEntries, tombstone_floor: int, since: int) -> Delta:
    """Returns the entries that a peer at revision ``since`` lacks.

    :param tombstone_floor: deletions are known from this revision on. A peer below it may
        hold an entry whose deletion is not known here, and gets a snapshot.
    """
    if 0 < since < tombstone_floor and entries.revision > since:
        return Delta(entries.with_prefix(""), entries.revision, snapshot=True)
    newer = entries.since(since)
    limit = MAX_DELTA_BYTES if since else MAX_INITIAL_DELTA_BYTES
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


def gone_records(
    now: float, own: Member, table: MemberTable, home_routers: HomeRouterMap
) -> list[Member]:
    """Returns GONE records for members that this home router no longer hears.

    The heartbeat goes up by one, so that the record replaces the live one. A
    member that is alive after all answers with a higher heartbeat.
    """
    return [
        replace(member, state=MemberState.GONE, heartbeat=member.heartbeat + 1)
        for member in table.unheard_longer(now, REMOVE_AFTER_S)
        if member.state is not MemberState.GONE
        and member.id != own.id
        and home_routers.is_home_router_of(member)
    ]


def ids_monitored_elsewhere(
    now: float, table: MemberTable, home_routers: HomeRouterMap
) -> list[str]:
    """Returns ids of members whose silence other home routers watch.

    Their records arrive only when they change, so that silence here says nothing.
    """
    return [
        member.id
        for member in table.unheard_longer(now, SUSPECT_AFTER_S / 2)
        if member.state is not MemberState.GONE
        and not home_routers.is_home_router_of(member)
    ]


def filter_acceptable(
    now: float,
    own: Member,
    table: MemberTable,
    records: Iterable[Member],
    home_routers: HomeRouterMap,
) -> list[Member]:
    """Leaves out records about the own process and some GONE records.

    A member that is heard here directly is alive, whatever a router behind a
    network partition reports. The GONE record of an unknown member is left out,
    because routers would otherwise tell each other of it for ever.
    """

    def is_acceptable(record: Member) -> bool:
        if record.id == own.id:
            return False
        if record.state is not MemberState.GONE:
            return True
        if table.get(record.id) is None:
            return False
        # Another home router may have lost its path to the member.
        if table.load_age_s(now, record.id) <= SUSPECT_AFTER_S:
            return False
        heard = table.unheard_s(now, record.id) <= SUSPECT_AFTER_S
        return not (heard and home_routers.is_home_router_of(record))

    return [record for record in records if is_acceptable(record)]


class Readiness:
    """Decides when the configuration held is recent enough to serve."""

    __slots__ = (
        "_highest_peer_revision",
        "_ready",
        "_ready_peers",
        "_started",
        "_store_read",
    )

    def __init__(self, started: float) -> None:
        self._started = started
        self._store_read = False
        self._ready_peers: set[str] = set()
        self._highest_peer_revision = 0
        self._ready = False

    @property
    def ready(self) -> bool:
        """True from the first time that the rule was met."""
        return self._ready

    def mark_store_read(self) -> None:
        """Notes that the store has answered with its whole configuration."""
        self._store_read = True

    def record_peer_reply(self, peer_id: str, ready: bool, revision: int) -> None:
        """Notes the answer of a router.

        :param revision: the router's own complete revision.
        """
        if ready:
            self._ready_peers.add(peer_id)
            self._highest_peer_revision = max(self._highest_peer_revision, revision)

    def update(self, now: float, own_revision: int, other_peers: int) -> bool:
        """Applies the rule; once ready, a process stays ready.

        :param other_peers: routers that are known or named by ``--peers``.
        """
        age_s = now - self._started
        store_suffices = other_peers == 0 or age_s >= STORE_ONLY_READY_AFTER_S
        needed_peers = min(2, other_peers)
        if self._store_read:
            needed_peers = 0 if store_suffices else 1
        elif age_s >= SINGLE_PEER_READY_AFTER_S:
            needed_peers = 1
        requirement_met = (
            self._store_read
            if needed_peers == 0
            else len(self._ready_peers) >= needed_peers
        )
        self._ready = self._ready or (
            requirement_met and own_revision >= self._highest_peer_revision
        )
        return self._ready
