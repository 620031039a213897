"""The members as one process knows them, and the changes that it passes on."""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from heatherswitch.exchange import gossip
from heatherswitch.exchange.messages import parse_members
from heatherswitch.exchange.peer_selection import HomeRouterMap
from heatherswitch.fleet.members import Load, Member, MemberState, MemberTable
from heatherswitch.protocol import heatherswitch_pb2 as pb

log = logging.getLogger("heatherswitch.exchange.membership")


class Membership:
    """Takes records from peers and finds members that are gone."""

    __slots__ = (
        "_catch_up_until",
        "_disputed_gone",
        "_heartbeat",
        "_home_routers",
        "_last_own_record",
        "_on_change",
        "_random",
        "_spread_until",
        "_table",
    )

    def __init__(
        self,
        started: float,
        home_routers: HomeRouterMap,
        random,
        on_change: Callable[[list[Member]], None],
    ) -> None:
        """:param started: time when the process started, in seconds.
        :param random: source of randomness, as ``random.Random``.
        :param on_change: receives records that were taken, or removed ones.
        """
        self._table = MemberTable()
        self._home_routers = home_routers
        self._random = random
        self._on_change = on_change
        self._heartbeat = 0
        self._last_own_record: Member | None = None
        # Member id to the time until which its record is sent unasked.
        self._spread_until: dict[str, float] = {}
        # GONE records of members that are heard here, to be sent to them.
        self._disputed_gone: dict[str, Member] = {}
        self._catch_up_until = started + gossip.CATCH_UP_S

    @property
    def table(self) -> MemberTable:
        """The other members that are known."""
        return self._table

    @property
    def catch_up_until(self) -> float:
        """New members became known a short time before this time."""
        return self._catch_up_until

    def stamp_own_record(self, record: Member, revision: int) -> Member:
        """Returns the own record as the next exchange sends it.

        The heartbeat goes up when anything but the load or the revision changed.
        """
        same = replace(record, heartbeat=0, load=Load(), config_revision=0)
        if same != self._last_own_record:
            self._last_own_record = same
            self._heartbeat += 1
        return replace(record, heartbeat=self._heartbeat, config_revision=revision)

    def detect_failures(self, now: float, own: Member) -> None:
        """Finds members that are gone and forgets old ones."""
        self._home_routers.update(own, self._table)
        gone = gossip.gone_records(now, own, self._table, self._home_routers)
        for member_id in gossip.ids_monitored_elsewhere(
            now, self._table, self._home_routers
        ):
            self._table.hear(now, member_id)
        self._merge(now, gone)
        removed = self._table.expire(now)
        if removed:
            self._on_change(removed)
        self._spread_until = {i: t for i, t in self._spread_until.items() if t > now}
        disputed = self._disputed_gone.items()
        self._disputed_gone = {i: r for i, r in disputed if self._table.get(i)}

    def sample_recent_changes(self, now: float) -> list[Member]:
        """Returns some records that changed a short time ago.

        They are picked at random, so that all spread when a whole zone is lost.
        """
        found = [self._table.get(i) for i, t in self._spread_until.items() if t > now]
        known = [member for member in found if member is not None]
        return self._random.sample(known, min(gossip.MAX_CHANGED_RECORDS, len(known)))

    def records_for(
        self, now: float, sender: Member, digest: Sequence[gossip.DigestItem]
    ) -> list[Member]:
        """Returns the records that answer a sender's digest, with those that changed."""
        records = gossip.records_for(sender, digest, self._table, self._random)
        records += [
            m for m in self.sample_recent_changes(now) if gossip.needs_record(sender, m)
        ]
        records += [m for m in [self._table.get(sender.id)] if m is not None]
        disputed = self._disputed_gone.pop(sender.id, None)
        return records if disputed is None else [*records, disputed]

    def merge_received(
        self,
        now: float,
        own: Member,
        sender: Member,
        messages: Sequence[pb.MemberRecord],
    ) -> None:
        """Takes the sender's own record and the records that it passed on."""
        if sender.id == own.id:
            log.warning("another process uses this id", extra={"peer": sender.address})
            return
        self._merge(now, [sender])
        self._table.update_load(now, sender.id, sender.load)
        records = parse_members(messages)
        for record in records:
            if record.id == own.id and record.incarnation == own.incarnation:
                self._refute_gone_record(record)
        accepted = gossip.filter_acceptable(
            now, own, self._table, records, self._home_routers
        )
        refused = set(records) - set(accepted)
        for record in refused:
            if self._table.get(record.id) is not None:
                self._disputed_gone[record.id] = record
        self._merge(now, accepted)

    def _refute_gone_record(self, record: Member) -> None:
        """Raises the own heartbeat above a record that says this process is gone."""
        if record.state is MemberState.GONE and record.heartbeat >= self._heartbeat:
            self._heartbeat = record.heartbeat + 1

    def _merge(self, now: float, records: Iterable[Member]) -> None:
        known = len(self._table)
        taken = self._table.merge(now, records)
        for member in taken:
            self._spread_until[member.id] = now + gossip.CHANGE_SPREAD_S
        if len(self._table) > known:
            self._catch_up_until = now + gossip.CATCH_UP_S
        if taken:
            self._on_change(taken)
