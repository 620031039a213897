"""Rules of the gossip protocol, without I/O, clock or logging.

They determine what to send, which records to accept, which members are gone and when
the process is ready.
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

# Limits of one message. A record takes about 120 bytes, a digest item 40 bytes.
MAX_CHANGED_RECORDS = 16
MAX_DIGEST_ITEMS = 24
# Limit of the records in reply to a digest. More than a few are found only after a
# start or a network partition.
MAX_DIGEST_REPLY_RECORDS = 48
MAX_DELTA_BYTES = 4096
# Limit for a process that has no entries yet. It is larger, so that the process becomes
# ready soon. In both cases further entries follow in the next exchange.
MAX_INITIAL_DELTA_BYTES = 512 * 1024
# After new members were found, digests are sent to all peers of a round for this long,
# in seconds. Otherwise only one peer gets a digest, the largest part of a request.
CATCH_UP_S = 2.0
# A changed record is sent without being asked for during this time, in seconds. It
# takes about 6 rounds to reach 400 routers.
CHANGE_SPREAD_S = 4.0
# Seconds after which a process becomes ready with the store alone. The store may return
# an old revision, which a reply of a peer would reveal.
STORE_ONLY_READY_AFTER_S = 1.5
# Seconds after which a process becomes ready with one ready peer alone, since the
# others may have failed.
SINGLE_PEER_READY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class DigestItem:
    """Version of one record; an empty id stands for an open end of the id range."""

    id: str
    incarnation: int = 0
    heartbeat: int = 0


@dataclass(frozen=True, slots=True)
class Delta:
    """Configuration entries that a peer lacks.

    :param revision: with these entries the peer is complete up to this revision.
    :param snapshot: True if these are all entries that exist at the revision.
    """

    entries: Sequence[Entry]
    revision: int
    snapshot: bool = False


class DigestCursor:
    """Iterates over the member ids in windows of bounded size, repeatedly."""

    __slots__ = ("_after",)

    def __init__(self) -> None:
        self._after = ""

    def next(self, table: MemberTable) -> list[DigestItem]:
        """Returns the digest of the next window.

        Its first and last items bound the range of ids that it covers.
        """
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
    """Returns records that the digest lacks or has in an older version.

    Routers come first. The order is otherwise random, so that different peers return
    different records.

    :param random: source of randomness, as ``random.Random``.
    """
    if len(digest) < 2:
        return []
    known = {item.id: (item.incarnation, item.heartbeat) for item in digest}
    low, high = digest[0].id, digest[-1].id
    missing = [
        member
        for member in table
        # The cheapest conditions come first: most of 1,900 members are out of range.
        if member.id >= low
        and (not high or member.id <= high)
        and known.get(member.id, (-1, -1)) < member.recency_key
        and member.id != receiver.id
        and needs_record(receiver, member)
    ]
    random.shuffle(missing)
    missing.sort(key=lambda member: member.role is not Role.ROUTER)
    return missing[:MAX_DIGEST_REPLY_RECORDS]


def needs_record(receiver: Member, member: Member) -> bool:
    """Tells whether a receiver needs a record.

    Agents need only those of routers and of the agents of their service.
    """
    if receiver.role is Role.ROUTER or member.role is Role.ROUTER:
        return True
    return member.service == receiver.service


def build_delta(entries: ReplicatedEntries, tombstone_floor: int, since: int) -> Delta:
    """Returns the entries that a peer lacks that is complete up to ``since``.

    :param tombstone_floor: revision after which all deletions are held as tombstones.
        A peer below it may hold an entry whose deletion is unknown here, and gets a
        snapshot.
    """
    if 0 < since < tombstone_floor and entries.revision > since:
        return Delta(entries.with_prefix(""), entries.revision, snapshot=True)
    newer = entries.since(since)
    limit = MAX_DELTA_BYTES if since else MAX_INITIAL_DELTA_BYTES
    size = 0
    for index, entry in enumerate(newer):
        size += len(entry.key) + len(entry.value or b"") + 16
        # Entries above the complete revision are never cut off. The limit would leave
        # out the same ones in each exchange, because the peer's revision stays below.
        if size <= limit or entry.mod_revision > entries.revision:
            continue
        # A transaction is never split: the peer would regard it as complete although
        # it has only a part of it.
        if index > 0 and newer[index - 1].mod_revision != entry.mod_revision:
            own_writes = entries.since(entries.revision)
            return Delta([*newer[:index], *own_writes], newer[index - 1].mod_revision)
    return Delta(newer, entries.revision)


def gone_records(
    now: float, own: Member, table: MemberTable, home_routers: HomeRouterMap
) -> list[Member]:
    """Returns GONE records for silent members that this home router monitors.

    The heartbeat is incremented, so that the record replaces the live one. A member
    that is still alive refutes it with a higher heartbeat.
    """
    return [
        replace(member, state=MemberState.GONE, heartbeat=member.heartbeat + 1)
        for member in table.silent_longer_than(now, REMOVE_AFTER_S)
        if member.state is not MemberState.GONE
        and member.id != own.id
        and home_routers.is_monitored_here(member)
    ]


def ids_monitored_elsewhere(
    now: float, table: MemberTable, home_routers: HomeRouterMap
) -> list[str]:
    """Returns ids of silent members that only other home routers monitor.

    Their records reach this process only after a change, so that their silence does
    not mean that they have failed.
    """
    return [
        member.id
        for member in table.silent_longer_than(now, SUSPECT_AFTER_S / 2)
        if member.state is not MemberState.GONE
        and not home_routers.is_monitored_here(member)
    ]


def filter_acceptable(
    now: float,
    own: Member,
    table: MemberTable,
    records: Iterable[Member],
    home_routers: HomeRouterMap,
) -> list[Member]:
    """Filters out records of this process and GONE records that must not be merged.

    A member that this process hears from directly is alive, even if a router behind a
    network partition reports it as gone. The GONE record of an unknown member is left
    out, because routers would otherwise send it to each other forever.
    """

    def is_acceptable(record: Member) -> bool:
        if record.id == own.id:
            return False
        if record.state is not MemberState.GONE:
            return True
        if table.get(record.id) is None:
            return False
        # Only the home router that reports it may have lost the path to the member.
        if table.load_age_s(now, record.id) <= SUSPECT_AFTER_S:
            return False
        recently_seen = table.silent_for_s(now, record.id) <= SUSPECT_AFTER_S
        return not (recently_seen and home_routers.is_monitored_here(record))

    return [record for record in records if is_acceptable(record)]


class Readiness:
    """Decides when the replicated configuration is recent enough to serve requests.

    A process becomes ready with the replies of two ready routers, or with the store and
    one ready router; after ``STORE_ONLY_READY_AFTER_S`` and ``SINGLE_PEER_READY_AFTER_S``
    fewer are enough. Its revision must not be below that of any ready router that has
    replied.
    """

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
        """True once the rule was met for the first time."""
        return self._ready

    def mark_store_read(self) -> None:
        """Records that the whole configuration was read from the store."""
        self._store_read = True

    def record_peer_reply(self, peer_id: str, ready: bool, revision: int) -> None:
        """Records the reply of a router.

        :param ready: True if the router is ready; otherwise its reply does not count.
        :param revision: revision up to which the router has all entries.
        """
        if ready:
            self._ready_peers.add(peer_id)
            self._highest_peer_revision = max(self._highest_peer_revision, revision)

    def update(self, now: float, own_revision: int, other_routers: int) -> bool:
        """Applies the rule and returns whether the process is ready.

        Once ready, a process stays ready.

        :param own_revision: revision up to which this process has all entries.
        :param other_routers: number of routers that are known or given by ``--peers``.
        """
        age_s = now - self._started
        store_suffices = other_routers == 0 or age_s >= STORE_ONLY_READY_AFTER_S
        needed_peers = min(2, other_routers)
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
