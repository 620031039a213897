"""The fleet state of one process and the loop that exchanges it with peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from heatherswitch.exchange import reducer
from heatherswitch.exchange.messages import (
    MessageBuilder,
    VersionTraffic,
    parse_digest,
    parse_entries,
    parse_members,
)
from heatherswitch.exchange.peer import PeerChannels, PeerError, PeerServicer
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Load, Member, MemberState, MemberTable, Role
from heatherswitch.protocol import convert
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.replica import Entry, ReplicatedEntries
from heatherswitch.util.clock import Clock
from heatherswitch.util.transport import Transport

log = logging.getLogger("heatherswitch.exchange")

# Seconds between two rounds of the exchange.
INTERVAL_S = 0.5
# Each pause varies by this share, so that rounds of a fleet do not coincide.
JITTER = 0.2


class FleetNode:
    """Configuration and membership as one process knows them."""

    __slots__ = (
        "_busy",
        "_catch_up_until",
        "_channels",
        "_clock",
        "_config",
        "_contested",
        "_cursor",
        "_entries",
        "_floor",
        "_heartbeat",
        "_homes",
        "_interval_s",
        "_last_own",
        "_loop",
        "_members",
        "_on_config",
        "_on_members",
        "_on_pool_load",
        "_own_record",
        "_pools",
        "_random",
        "_readiness",
        "_revisions",
        "_rumours",
        "_seeds",
        "_tasks",
        "_versions",
    )

    def __init__(self, own_record: Callable[[], Member], clock: Clock) -> None:
        self._own_record = own_record
        self._clock = clock
        self._config = FleetConfig()
        self._entries = ReplicatedEntries()
        # Deletions are known from this revision on.
        self._floor = 0
        self._members = MemberTable()
        self._homes = reducer.HomeMap()
        self._pools = reducer.PoolCache()
        self._cursor = reducer.DigestCursor()
        self._readiness = reducer.Readiness(clock.now())
        self._channels = PeerChannels()
        self._random = random.Random()
        self._heartbeat = 0
        self._last_own: Member | None = None
        # Member id to the time until which its record is sent unasked.
        self._rumours: dict[str, float] = {}
        # GONE records of members that are heard here, to be sent to them.
        self._contested: dict[str, Member] = {}
        # Address to the complete revision that the peer last reported.
        self._revisions: dict[str, int] = {}
        self._busy: set[str] = set()
        self._catch_up_until = clock.now() + reducer.CATCH_UP_S
        self._tasks: set[asyncio.Task] = set()
        self._loop: asyncio.Task | None = None
        self._seeds: list[str] = []
        self._interval_s = INTERVAL_S
        self._versions: VersionTraffic | None = None
        self._on_config: Callable[[list[Entry]], None] = lambda entries: None
        self._on_members: Callable[[], None] = lambda: None
        self._on_pool_load: Callable[[int, int], None] = lambda total, agents: None

    @classmethod
    def from_config(
        cls,
        own_record: Callable[[], Member],
        peers: Sequence[str] = (),
        on_config: Callable[[list[Entry]], None] | None = None,
        on_members: Callable[[], None] | None = None,
        on_pool_load: Callable[[int, int], None] | None = None,
        clock: Clock | None = None,
        interval_s: float = INTERVAL_S,
        transport: Transport | None = None,
    ) -> "FleetNode":
        """Builds the node of one process.

        :param own_record: returns the process's own record; the node sets its
            heartbeat and configuration revision.
        :param peers: ``host:port`` of routers to start from.
        :param on_config: receives the entries that were put in force.
        :param on_members: called after the membership table changed.
        :param on_pool_load: for agents, receives the total of running and queued
            requests and the number of agents of the own pool.
        :param interval_s: seconds between two rounds.
        :param transport: opens the channels to peers.
        """
        node = cls(own_record, clock or Clock())
        node._seeds = list(peers)
        node._interval_s = interval_s
        node._channels = PeerChannels(transport)
        node._on_config = on_config or node._on_config
        node._on_members = on_members or node._on_members
        node._on_pool_load = on_pool_load or node._on_pool_load
        return node

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""
        return self._config

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated store entries."""
        return self._entries

    @property
    def members(self) -> MemberTable:
        """The other members that are known."""
        return self._members

    @property
    def ready(self) -> bool:
        """True once the configuration is recent enough to serve."""
        return self._readiness.ready

    @property
    def own(self) -> Member:
        """The own record as the next exchange sends it.

        The heartbeat goes up when anything but the load or the revision changed.
        """
        record = self._own_record()
        same = replace(record, heartbeat=0, load=Load(), config_revision=0)
        if same != self._last_own:
            self._last_own = same
            self._heartbeat += 1
        return replace(
            record, heartbeat=self._heartbeat, config_revision=self._entries.revision
        )

    def servicer(self) -> PeerServicer:
        """Returns the gRPC ``Peer`` service of this process."""
        return PeerServicer(self._answer)

    def store_answered(self) -> None:
        """Notes that the store's whole configuration was read, for readiness."""
        self._readiness.store_answered()
        self._update_readiness(self._own_record())

    async def start(self) -> None:
        """Starts the periodic exchange."""
        self._loop = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Announces the own record once more, then ends the exchange."""
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)
            self._loop = None
            await self.exchange_now()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._channels.close()

    def exchange_versions(self, traffic: VersionTraffic) -> None:
        """Lets each exchange carry what concerns versions that are starting."""
        self._versions = traffic

    def exchange_soon(self) -> None:
        """Starts one round at once without waiting for it."""
        task = asyncio.create_task(self.exchange_now())
        self._tasks.add(task)
        task.add_done_callback(self._round_done)

    async def exchange_now(self) -> None:
        """Runs one round at once and waits for it."""
        now = self._clock.now()
        own = self.own
        self._maintain(now, own)
        targets = reducer.choose_targets(
            own, self._members, self._seeds, self.ready, self._random
        )
        free = [address for address in targets if address not in self._busy]
        digest = self._cursor.next(self._members)
        asked = set(free if now < self._catch_up_until else free[-1:])
        await asyncio.gather(
            *(self._exchange_with(a, own, digest if a in asked else ()) for a in free)
        )
        self._update_readiness(own)

    def apply_entries(self, entries: Iterable[Entry], revision: int = 0) -> None:
        """Puts entries in force that are newer than those held.

        :param revision: the entries, with those held, are complete up to this
            store revision; 0 when that is not known, as after an own write.
        """
        if revision and not self._entries.revision:
            self._floor = revision
        self._put_in_force(self._entries.apply(entries, revision))

    def apply_snapshot(self, entries: Iterable[Entry], revision: int) -> None:
        """Puts all entries in force that exist at a store revision.

        A snapshot below the held revision is stale and is ignored.
        """
        if revision > self._entries.revision:
            self._floor = revision
        self._put_in_force(self._entries.apply_snapshot(entries, revision))

    def _put_in_force(self, taken: list[Entry]) -> None:
        for entry in taken:
            try:
                errors = self._config.apply([entry])
            except Exception as error:
                # A damaged value must not end the process; the last valid one
                # stays in force.
                errors = [error]
            for error in errors:
                log.error(
                    "configuration entry left out",
                    extra={"key": entry.key, "error": str(error)},
                )
        if taken:
            self._call(self._on_config, taken)

    async def _run(self) -> None:
        while True:
            try:
                self.exchange_soon()
                await self._channels.close_idle(self._clock.now())
            except Exception:
                log.exception("exchange round failed")
            spread = self._random.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(self._interval_s * spread)

    def _round_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("exchange round failed", exc_info=task.exception())

    def _maintain(self, now: float, own: Member) -> None:
        """Finds members that are gone and forgets old ones."""
        self._homes.update(own, self._members)
        gone = reducer.gone_records(now, own, self._members, self._homes)
        for member_id in reducer.members_of_others(now, self._members, self._homes):
            self._members.hear(now, member_id)
        self._merge(now, gone)
        if self._members.expire(now):
            self._call(self._on_members)
        self._rumours = {i: t for i, t in self._rumours.items() if t > now}
        contested = self._contested.items()
        self._contested = {i: r for i, r in contested if self._members.get(i)}

    async def _exchange_with(self, address: str, own: Member, digest) -> None:
        self._busy.add(address)
        try:
            request = self._builder(own).request(
                digest, self._rumoured(), self._push_base(address)
            )
            if self._versions is not None:
                self._call(self._versions.add_to, request)
            reply = await self._channels.exchange(self._clock.now(), address, request)
            self._take_reply(address, own, reply)
        except (PeerError, convert.ConvertError) as error:
            self._revisions.pop(address, None)
            log.debug("exchange failed", extra={"peer": address, "error": str(error)})
        finally:
            self._busy.discard(address)

    def _builder(self, own: Member) -> MessageBuilder:
        return MessageBuilder(own, self._entries, self._floor)

    def _push_base(self, address: str) -> int:
        """Returns the peer's revision when entries can be offered, or -1."""
        return self._revisions.get(address, -1)

    def _take_reply(self, address: str, own: Member, reply: pb.ExchangeReply) -> None:
        now = self._clock.now()
        sender = convert.member_from_message(reply.sender)
        if sender.id == own.id:
            return
        self._revisions[address] = sender.config_revision
        self._take_members(now, own, sender, reply.members)
        entries = parse_entries(reply.entries, reply.config_revision)
        if reply.snapshot:
            self.apply_snapshot(entries, reply.config_revision)
        else:
            self.apply_entries(entries, reply.config_revision)
        if sender.role is Role.ROUTER:
            self._readiness.peer_answered(
                sender.id, reply.ready, sender.config_revision
            )
        self._update_readiness(own)
        if self._versions is not None:
            self._call(self._versions.take, reply)
        if own.role is Role.AGENT:
            for pool in reply.pool_loads:
                if (pool.service, pool.version) == (own.service, own.version):
                    self._call(self._on_pool_load, pool.total, pool.agents)

    def _answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        now = self._clock.now()
        sender = convert.member_from_message(request.sender)
        own = self.own
        self._take_members(now, own, sender, request.members)
        self._take_offer(request)
        records = reducer.records_for(
            sender, parse_digest(request.digest), self._members, self._random
        )
        records += [m for m in self._rumoured() if reducer.relevant(sender, m)]
        records += [m for m in [self._members.get(sender.id)] if m is not None]
        contested = self._contested.pop(sender.id, None)
        if contested is not None:
            records.append(contested)
        figures = None
        if sender.role is Role.AGENT:
            figures = self._pools.figures(now, self._members, self._config, sender)
        reply = self._builder(own).reply(
            request.config_revision, sender, records, figures, self.ready
        )
        if self._versions is not None:
            self._call(self._versions.answer, sender, request, reply)
        return reply

    def _take_offer(self, request: pb.ExchangeRequest) -> None:
        """Takes offered entries; they are complete only above their base."""
        if request.entries:
            complete = self._entries.revision >= request.entries_base
            revision = request.entries_revision if complete else 0
            self.apply_entries(parse_entries(request.entries, revision), revision)

    def _rumoured(self) -> list[Member]:
        """Returns some records that changed a short time ago.

        They are picked at random, so that all spread when a whole zone is lost.
        """
        now = self._clock.now()
        found = [self._members.get(i) for i, t in self._rumours.items() if t > now]
        known = [member for member in found if member is not None]
        return self._random.sample(known, min(reducer.MAX_RECORDS, len(known)))

    def _take_members(self, now: float, own: Member, sender: Member, messages):
        """Takes the sender's own record and the records that it passed on."""
        if sender.id == own.id:
            log.warning("another process uses this id", extra={"peer": sender.address})
            return
        self._merge(now, [sender])
        self._members.update_load(now, sender.id, sender.load)
        records = parse_members(messages)
        for record in records:
            if record.id == own.id and record.incarnation == own.incarnation:
                self._answer_rumour(record)
        accepted = reducer.acceptable(now, own, self._members, records, self._homes)
        refused = set(records) - set(accepted)
        for record in refused:
            if self._members.get(record.id) is not None:
                self._contested[record.id] = record
        self._merge(now, accepted)

    def _answer_rumour(self, record: Member) -> None:
        """Raises the own heartbeat above a record that says this process is gone."""
        if record.state is MemberState.GONE and record.heartbeat >= self._heartbeat:
            self._heartbeat = record.heartbeat + 1

    def _merge(self, now: float, records: Iterable[Member]) -> None:
        known = len(self._members)
        taken = self._members.merge(now, records)
        for member in taken:
            self._rumours[member.id] = now + reducer.RUMOUR_S
        if len(self._members) > known:
            self._catch_up_until = now + reducer.CATCH_UP_S
        if taken:
            self._call(self._on_members)

    def _update_readiness(self, own: Member) -> None:
        if self.ready:
            return
        routers = {m.address for m in self._members.routers()} | set(self._seeds)
        others = len(routers - {own.address})
        if self._readiness.update(self._clock.now(), self._entries.revision, others):
            log.info("ready", extra={"config_revision": self._entries.revision})
            self._call(self._on_members)

    def _call(self, callback: Callable, *arguments) -> None:
        """Runs a callback; its fault must not end the exchange."""
        try:
            callback(*arguments)
        except Exception:
            log.exception("callback failed")
