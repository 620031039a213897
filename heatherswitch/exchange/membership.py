"""Membership as known to one process, and the changes that it passes on to peers."""

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
    """Merges member records from peers and detects members that have failed."""

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
        """:param started: time at which the process started, in seconds.
        :param random: source of randomness, as ``random.Random``.
        :param on_change: called with the records that were merged or removed.
        """
        self._table = MemberTable()
        self._home_routers = home_routers
        self._random = random
        self._on_change = on_change
        self._heartbeat = 0
        self._last_own_record: Member | None = None
        # Time until which a changed record is sent without being asked for, by member
        # id.
        self._spread_until: dict[str, float] = {}
        # GONE records of members that this process still hears from, by member id.
        # They are sent to the member, which refutes them.
        self._disputed_gone: dict[str, Member] = {}
        self._catch_up_until = started + gossip.CATCH_UP_S

    @property
    def table(self) -> MemberTable:
        """The known members, without this process."""
        return self._table

    @property
    def catch_up_until(self) -> float:
        """Time until which digests go to all peers because new members were found."""
        return self._catch_up_until

    def stamp_own_record(self, record: Member, revision: int) -> Member:
        """Returns this process's record with its heartbeat and configuration revision.

        The heartbeat is incremented if anything but the load or the revision has
        changed.
        """
        comparable = replace(record, heartbeat=0, load=Load(), config_revision=0)
        if comparable != self._last_own_record:
            self._last_own_record = comparable
            self._heartbeat += 1
        return replace(record, heartbeat=self._heartbeat, config_revision=revision)

    def detect_failures(self, now: float, own: Member) -> None:
        """Marks silent members as gone and removes those that were gone for long."""
        self._home_routers.update(own, self._table)
        gone = gossip.gone_records(now, own, self._table, self._home_routers)
        for member_id in gossip.ids_monitored_elsewhere(
            now, self._table, self._home_routers
        ):
            self._table.record_contact(now, member_id)
        self._merge(now, gone)
        removed = self._table.expire(now)
        if removed:
            self._on_change(removed)
        self._spread_until = {i: t for i, t in self._spread_until.items() if t > now}
        disputed = self._disputed_gone.items()
        self._disputed_gone = {i: r for i, r in disputed if self._table.get(i)}

    def sample_recent_changes(self, now: float) -> list[Member]:
        """Returns some of the records that have changed recently.

        They are chosen at random, so that over time all of them spread when a whole
        zone is lost.
        """
        recent = [self._table.get(i) for i, t in self._spread_until.items() if t > now]
        known = [member for member in recent if member is not None]
        return self._random.sample(known, min(gossip.MAX_CHANGED_RECORDS, len(known)))

    def records_for(
        self, now: float, sender: Member, digest: Sequence[gossip.DigestItem]
    ) -> list[Member]:
        """Returns the records to send in reply to a sender's digest."""
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
        """Merges the sender's record and the records that it passes on."""
        if sender.id == own.id:
            log.warning(
                "another process uses the id of this process",
                extra={"peer": sender.address},
            )
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
        rejected = set(records) - set(accepted)
        for record in rejected:
            if self._table.get(record.id) is not None:
                self._disputed_gone[record.id] = record
        self._merge(now, accepted)

    def _refute_gone_record(self, record: Member) -> None:
        """Raises the heartbeat above that of a record that marks this process gone."""
        if record.state is MemberState.GONE and record.heartbeat >= self._heartbeat:
            self._heartbeat = record.heartbeat + 1

    def _merge(self, now: float, records: Iterable[Member]) -> None:
        size_before = len(self._table)
        changed = self._table.merge(now, records)
        for member in changed:
            self._spread_until[member.id] = now + gossip.CHANGE_SPREAD_S
        if len(self._table) > size_before:
            self._catch_up_until = now + gossip.CATCH_UP_S
        if changed:
            self._on_change(changed)
