"""The fleet state of one process and the loop that exchanges it with peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence

from heatherswitch.exchange import reducer
from heatherswitch.exchange.configuration import Configuration
from heatherswitch.exchange.membership import Membership
from heatherswitch.exchange.messages import (
    MessageBuilder,
    VersionTraffic,
    parse_digest,
    parse_entries,
    parse_pools,
    parse_reports,
)
from heatherswitch.exchange.peer import PeerChannels, PeerError, PeerServicer
from heatherswitch.exchange.pools import AgentLoadReport, PoolView
from heatherswitch.exchange.targets import HomeMap, TargetChooser
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberState, MemberTable, Role
from heatherswitch.protocol import convert
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.statecore.replica import Entry, ReplicatedEntries
from heatherswitch.util.clock import Clock
from heatherswitch.util.transport import Transport

log = logging.getLogger("heatherswitch.exchange")

# Seconds between two rounds of the exchange.
INTERVAL_S = 0.5
# Routers of a large fleet run every second round only, since an exchange costs both
# sides 1.5 to 2 ms of CPU. Changes do not wait for a round; see ``_push``.
LARGE_FLEET_ROUNDS = 2
# Random routers that get a change at once. Three reach all but 6 % of a large fleet;
# the others ask for it in their next round.
PUSH_PEERS = 3
# Shortest time between two pushes, in seconds; changes in between share one.
PUSH_GAP_S = 0.1
# Each pause varies by this share, so that rounds of a fleet do not coincide.
JITTER = 0.2


class FleetNode:
    """Configuration and membership as one process knows them."""

    __slots__ = (
        "_busy",
        "_channels",
        "_chooser",
        "_clock",
        "_configuration",
        "_cursor",
        "_homes",
        "_interval_s",
        "_loop",
        "_members",
        "_on_config",
        "_on_members",
        "_on_pool_load",
        "_own_record",
        "_pools",
        "_pushed_at",
        "_pushing",
        "_random",
        "_readiness",
        "_revisions",
        "_rounds",
        "_seeds",
        "_tasks",
        "_versions",
    )

    def __init__(self, own_record: Callable[[], Member], clock: Clock) -> None:
        self._own_record = own_record
        self._clock = clock
        self._configuration = Configuration(self._applied)
        self._homes = HomeMap()
        self._pools = PoolView(self._configuration.config)
        self._cursor = reducer.DigestCursor()
        self._readiness = reducer.Readiness(clock.now())
        self._channels = PeerChannels()
        self._random = random.Random()
        self._chooser = TargetChooser(self._homes, self._random)
        self._members = Membership(
            clock.now(), self._homes, self._random, self._members_changed
        )
        self._rounds = 0
        self._pushed_at = 0.0
        # Lowest revision that the waiting push starts from, or None.
        self._pushing: int | None = None
        # Address to the complete revision that the peer last reported.
        self._revisions: dict[str, int] = {}
        self._busy: set[str] = set()
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
        node._chooser = TargetChooser(node._homes, node._random, node._seeds)
        node._interval_s = interval_s
        node._channels = PeerChannels(transport)
        node._on_config = on_config or node._on_config
        node._on_members = on_members or node._on_members
        node._on_pool_load = on_pool_load or node._on_pool_load
        return node

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""
        return self._configuration.config

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated store entries."""
        return self._configuration.entries

    @property
    def members(self) -> MemberTable:
        """The other members that are known."""
        return self._members.table

    @property
    def ready(self) -> bool:
        """True once the configuration is recent enough to serve."""
        return self._readiness.ready

    @property
    def own(self) -> Member:
        """The own record as the next exchange sends it."""
        return self._members.own(self._own_record(), self.entries.revision)

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
        await self._configuration.stop()
        await self._channels.close()

    def exchange_versions(self, traffic: VersionTraffic) -> None:
        """Lets each exchange carry what concerns versions that are starting."""
        self._versions = traffic

    def sums_pool_of(self, agent: Member) -> bool:
        """Tells whether this router hears the load of an agent's whole service."""
        is_agent = agent.role is Role.AGENT
        return is_agent and self._pool_home(agent) == self.own.address

    def exchange_soon(self) -> None:
        """Starts one round at once without waiting for it."""
        self._spawn(self.exchange_now())

    async def exchange_now(self) -> None:
        """Runs one round at once and waits for it."""
        now = self._clock.now()
        own = self.own
        self._members.maintain(now, own)
        targets = self._chooser.choose(now, own, self.members, self.ready)
        free = [address for address in targets if address not in self._busy]
        digest = self._cursor.next(self.members)
        asked = set(free if now < self._members.catch_up_until else free[-1:])
        await asyncio.gather(
            *(self._exchange_with(a, own, digest if a in asked else ()) for a in free)
        )
        self._update_readiness(own)

    def apply_entries(self, entries: Iterable[Entry], revision: int = 0) -> None:
        """Puts entries in force that are newer than those held.

        :param revision: the entries, with those held, are complete up to this
            store revision; 0 when that is not known, as after an own write.
        """
        base = self.entries.revision
        if self._configuration.apply_entries(entries, revision):
            self._push_soon(base)

    def apply_snapshot(self, entries: Iterable[Entry], revision: int) -> None:
        """Puts all entries in force that exist at a store revision.

        A snapshot below the held revision is stale and is ignored.
        """
        base = self.entries.revision
        if self._configuration.apply_snapshot(entries, revision):
            self._push_soon(base)

    def _applied(self, taken: list[Entry]) -> None:
        self._call(self._on_config, taken)
        if not self.ready and self._configuration.settled:
            self._update_readiness(self._own_record())

    def _push_soon(self, base: int) -> None:
        """Sends a change to random routers, which pass it on in the same way.

        :param base: complete revision before the change.
        """
        if self._loop is None:
            return
        waiting = self._pushing is not None
        self._pushing = min(base, self._pushing) if waiting else base
        if not waiting:
            self._spawn(self._push())

    async def _push(self) -> None:
        now = self._clock.now()
        await asyncio.sleep(max(0.0, self._pushed_at + PUSH_GAP_S - now))
        base, self._pushing = self._pushing, None
        self._pushed_at = self._clock.now()
        own = self.own
        if own.role is not Role.ROUTER or not self.ready:
            return
        others = [r.address for r in self.members.routers() if r.id != own.id]
        chosen = self._random.sample(others, min(PUSH_PEERS, len(others)))
        await asyncio.gather(*(self._exchange_with(a, own, (), base) for a in chosen))

    async def _pass_loads_on(self) -> None:
        """Sends the loads of own groups to the home routers of their services."""
        now = self._clock.now()
        own = self.own
        routes = self._pools.routes(now, self.members, self._pool_home)
        routes.pop(own.address, None)
        await asyncio.gather(
            *(self._exchange_with(a, own, (), None, r) for a, r in routes.items())
        )

    def _pool_home(self, agent: Member) -> str:
        """Returns the address of the router that sums the load of an agent's pool."""
        if not self._homes.large:
            return self._own_record().address
        homes = self._homes.homes(agent)
        return self._chooser.reachable(self._clock.now(), homes)[0]

    async def _run(self) -> None:
        while True:
            try:
                self._start_round()
                await self._channels.close_idle(self._clock.now())
            except Exception:
                log.exception("exchange round failed")
            spread = self._random.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(self._interval_s * spread)

    def _start_round(self) -> None:
        self._rounds += 1
        is_router = self.own.role is Role.ROUTER
        if is_router and self._homes.large:
            self._spawn(self._pass_loads_on())
            if self.ready and self._rounds % LARGE_FLEET_ROUNDS:
                return
        self.exchange_soon()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._round_done)

    def _round_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("exchange round failed", exc_info=task.exception())

    async def _exchange_with(
        self,
        address: str,
        own: Member,
        digest: Sequence[reducer.DigestItem],
        base: int | None = None,
        reports: Sequence[AgentLoadReport] = (),
    ) -> None:
        """Runs one exchange.

        :param base: revision that the peer is expected to hold at least; by default
            the one that it reported last.
        """
        self._busy.add(address)
        try:
            if base is None:
                base = self._revisions.get(address, -1)
            request = self._builder(own).request(
                digest, self._members.rumoured(self._clock.now()), base, reports
            )
            if self._versions is not None:
                self._call(self._versions.add_to, request)
            reply = await self._channels.exchange(self._clock.now(), address, request)
            self._chooser.answered(address)
            self._take_reply(address, own, reply)
        except (PeerError, convert.ConvertError) as error:
            self._chooser.failed(self._clock.now(), address)
            self._revisions.pop(address, None)
            log.debug("exchange failed", extra={"peer": address, "error": str(error)})
        finally:
            self._busy.discard(address)

    def _builder(self, own: Member) -> MessageBuilder:
        return MessageBuilder(own, self.entries, self._configuration.floor)

    def _take_reply(self, address: str, own: Member, reply: pb.ExchangeReply) -> None:
        now = self._clock.now()
        sender = convert.member_from_message(reply.sender)
        if sender.id == own.id:
            return
        self._revisions[address] = sender.config_revision
        self._members.take(now, own, sender, reply.members)
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
        for key, figures in parse_pools(reply.pool_loads).items():
            if own.role is Role.ROUTER:
                self._pools.take_relayed(now, key, figures)
            elif key == (own.service, own.version):
                self._call(self._on_pool_load, figures.total, figures.agents)

    def _answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        now = self._clock.now()
        sender = convert.member_from_message(request.sender)
        own = self.own
        self._members.take(now, own, sender, request.members)
        self._take_offer(request)
        records = self._members.records_for(now, sender, parse_digest(request.digest))
        reports = parse_reports(request.loads)
        is_home = self.sums_pool_of(sender)
        pools = self._pools.answer(now, self.members, sender, reports, is_home)
        reply = self._builder(own).reply(
            request.config_revision,
            sender,
            records,
            pools,
            self.ready,
        )
        if self._versions is not None:
            self._call(self._versions.answer, sender, request, reply)
        return reply

    def _take_offer(self, request: pb.ExchangeRequest) -> None:
        """Takes offered entries; they are complete only above their base."""
        if request.entries:
            complete = self.entries.revision >= request.entries_base
            revision = request.entries_revision if complete else 0
            self.apply_entries(parse_entries(request.entries, revision), revision)

    def _members_changed(self, taken: list[Member]) -> None:
        if any(member.state is MemberState.LEAVING for member in taken):
            # Others must know within 3 s, which may be too short for rounds alone.
            self._push_soon(self.entries.revision)
        self._call(self._on_members)

    def _update_readiness(self, own: Member) -> None:
        if self.ready or not self._configuration.settled:
            return
        routers = {m.address for m in self.members.routers()} | set(self._seeds)
        others = len(routers - {own.address})
        if self._readiness.update(self._clock.now(), self.entries.revision, others):
            log.info("ready", extra={"config_revision": self.entries.revision})
            self._call(self._on_members)

    def _call(self, callback: Callable, *arguments) -> None:
        """Runs a callback; its fault must not end the exchange."""
        try:
            callback(*arguments)
        except Exception:
            log.exception("callback failed")
