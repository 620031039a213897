"""Acquires the lease on moves and writes the decisions of the move reducer."""

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.evidence import Judgement
from heatherswitch.fleet.members import Member, MemberState, Role
from heatherswitch.fleet.moves import MoveReducer, MoveTick, WriteMove, ZoneAgent
from heatherswitch.fleet.records import MOVE_OWNER_KEY, MoveKind, MoveState
from heatherswitch.fleet.settings import merge, node_key
from heatherswitch.router.store_writer import (
    StoreWriter,
    Transaction,
    WritableStore,
    WriteConflict,
    WriteError,
)
from heatherswitch.statecore.hashing import rendezvous_order
from heatherswitch.statecore.lease import LeaseLost
from heatherswitch.statecore.store import StoreError
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.move_owner")

# Time until another router can take over from a crashed owner, in seconds.
LEASE_TTL_S = 5.0
# Interval between decisions, in seconds.
TICK_S = 0.5
# Only this many routers compete for the lease, so that the number of store calls does
# not grow with the fleet.
MAX_CANDIDATES = 3
# Interval in seconds at which a candidate tries to acquire the lease even if the local
# replica shows an owner, since the watch may have missed the end of the owner's lease.
LEASE_RETRY_S = 10.0

# Returns this router's judgement of each running version move, by move id.
JudgementReader = Callable[[], Mapping[str, Judgement]]


class OwnerLease(Protocol):
    """The part of ``statecore.lease.Lease`` that the move owner needs."""

    @property
    def fencing_compares(self) -> Mapping[str, int]:
        """Store comparison that makes a write fail if another router owns the lease.

        :raises LeaseLost: if the lease is not held.
        """

    def is_held(self, now: float) -> bool:
        """Tells whether the lease is still valid by the local clock."""

    async def acquire(self) -> bool:
        """Tries to acquire the lease; returns whether it is held."""

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost.

        :raises LeaseLost: when that happens.
        """

    async def release(self) -> None:
        """Releases the lease."""


class MoveOwner:
    """Decides moves while this router holds the lease."""

    __slots__ = (
        "_clock",
        "_judgements",
        "_lease",
        "_next_retry_at",
        "_node",
        "_reducer",
        "_router_id",
        "_task",
        "_tick_s",
        "_writer",
    )

    def __init__(
        self,
        store: WritableStore,
        node: FleetNode,
        lease: OwnerLease,
        router_id: str,
        clock: Clock,
    ) -> None:
        self._writer = StoreWriter(store)
        self._node = node
        self._lease = lease
        self._router_id = router_id
        self._clock = clock
        self._judgements: JudgementReader = dict
        self._reducer = MoveReducer(router_id)
        self._tick_s = TICK_S
        self._next_retry_at = 0.0
        self._task: asyncio.Task | None = None

    @classmethod
    def from_config(
        cls,
        store: WritableStore,
        node: FleetNode,
        lease: OwnerLease,
        router_id: str,
        clock: Clock | None = None,
        judgements: JudgementReader | None = None,
        tick_s: float = TICK_S,
    ) -> "MoveOwner":
        """Builds the move owner of one router.

        :param lease: a lease on :data:`MOVE_OWNER_KEY`.
        :param judgements: returns the judgements of the evidence; without it, no
            version is ever proven.
        :param tick_s: interval between decisions, in seconds.
        """
        owner = cls(store, node, lease, router_id, clock or Clock())
        owner._judgements = judgements or owner._judgements
        owner._tick_s = tick_s
        return owner

    @property
    def is_owner(self) -> bool:
        """True while this router is the move owner by its own clock."""
        return self._lease.is_held(self._clock.now())

    async def start(self) -> None:
        """Starts the background task that competes for the lease."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the background task and releases the lease."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        try:
            await self._lease.release()
        except StoreError as error:
            log.info("move lease not released", extra={"error": str(error)})

    async def _run(self) -> None:
        while True:
            try:
                if self._should_acquire() and await self._lease.acquire():
                    await self._decide_until_lost()
            except LeaseLost as error:
                log.warning("move lease lost", extra={"error": str(error)})
            except StoreError as error:
                log.warning("store not available", extra={"error": str(error)})
            except Exception:
                log.exception("unexpected error in the move owner")
            await asyncio.sleep(2 * self._tick_s)

    def _should_acquire(self) -> bool:
        own = self._node.own
        if not self._node.ready or own.state is not MemberState.LIVE:
            return False
        now = self._clock.now()
        members = self._node.members
        live_routers = {
            r.id for r in members.routers() if not members.is_suspect(now, r.id)
        }
        candidates = rendezvous_order("move-owner", live_routers | {own.id})
        if own.id not in candidates[:MAX_CANDIDATES]:
            return False
        has_owner = self._node.entries.get(MOVE_OWNER_KEY) is not None
        if has_owner and now < self._next_retry_at:
            return False
        self._next_retry_at = now + LEASE_RETRY_S
        return True

    async def _decide_until_lost(self) -> None:
        """Decides moves until the lease is lost.

        :raises LeaseLost: when another router may be the owner.
        """
        log.info("move lease acquired", extra={"router": self._router_id})
        # The reducer's times from an earlier ownership may be outdated.
        self._reducer = MoveReducer(self._router_id)
        renewal = asyncio.create_task(self._lease.renew_until_lost())
        try:
            while not renewal.done():
                await self.decide()
                await asyncio.wait({renewal}, timeout=self._tick_s)
            renewal.result()
        finally:
            renewal.cancel()
            await asyncio.gather(renewal, return_exceptions=True)

    async def decide(self) -> None:
        """Decides once on all running moves and writes the results.

        :raises LeaseLost: when a write was fenced or the lease has lapsed.
        """
        for effect in self._reducer.apply(self._build_tick()):
            if isinstance(effect, WriteMove):
                await self._write(effect)

    def _build_tick(self) -> MoveTick:
        config = self._node.config
        moves = tuple(m for m in config.moves if m.state is MoveState.RUNNING)
        now = self._clock.now()
        services = {m.service for m in moves if m.kind is MoveKind.VERSION}
        unproven = {
            service: config.settings(service=service).get("move.unproven_share")
            for service in services
        }
        agents = self._zone_agents(now) if moves else ()
        return MoveTick(now, moves, agents, unproven, self._judgements())

    def _zone_agents(self, now: float) -> tuple[ZoneAgent, ...]:
        agents = [
            member
            for member in self._node.members
            if member.role is Role.AGENT and member.state is not MemberState.GONE
        ]
        pools: dict[tuple[str, str], list[int]] = {}
        for agent in agents:
            pool = pools.setdefault((agent.service, agent.version), [])
            pool.append(agent.load.total)
        return tuple(self._zone_agent(now, a, pools) for a in agents)

    def _zone_agent(self, now: float, agent: Member, pools) -> ZoneAgent:
        loads = pools[agent.service, agent.version]
        return ZoneAgent(
            zone=agent.zone,
            responsive=not self._node.members.is_suspect(now, agent.id),
            work=agent.load.total,
            cold=agent.cold,
            pool_mean=sum(loads) / len(loads),
        )

    async def _write(self, effect: WriteMove) -> None:
        move = effect.move
        fence = dict(self._lease.fencing_compares)
        compares = fence | {move.key: self._revision(move.key)}
        puts = {move.key: move.to_bytes()}
        for path, values in effect.settings.items():
            key = node_key(path)
            overrides = self._node.config.tree.nodes.get(path, {})
            compares[key] = self._revision(key)
            puts[key] = json.dumps(merge(overrides, values), sort_keys=True).encode()
        transaction = Transaction(compares, puts)
        try:
            revision = await self._writer.commit(transaction)
        except WriteConflict as error:
            log.warning("move not written", extra={"error": str(error)})
            await self._check_fence(fence)
            return
        except WriteError as error:
            # The next tick decides again, from the state at that time.
            log.warning("move not written", extra={"error": str(error)})
            return
        self._node.apply_entries(transaction.entries(revision), 0)
        self._node.schedule_exchange()
        fields = {"move": move.id, "state": move.state.value, "share": move.share}
        log.info("move written", extra=fields | {"reason": move.reason})

    def _revision(self, key: str) -> int:
        entry = self._node.entries.get(key)
        return entry.mod_revision if entry is not None else 0

    async def _check_fence(self, fence: Mapping[str, int]) -> None:
        """Finds out whether a write conflict was caused by a new move owner.

        :raises LeaseLost: if the key of the lease was deleted or replaced.
        """
        for key, expected in fence.items():
            entry = await self._writer.get(key)
            if entry is None or entry.mod_revision != expected:
                await self._lease.release()
                raise LeaseLost(f"{key} belongs to another owner")
