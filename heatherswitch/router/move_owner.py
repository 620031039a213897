"""Holds the lease on moves and carries out what the move reducer decides."""

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
    Conflict,
    StoreWriter,
    Transaction,
    WritableStore,
    WriteError,
)
from heatherswitch.statecore.hashing import rendezvous_order
from heatherswitch.statecore.lease import LeaseLost
from heatherswitch.statecore.store import StoreError
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.move_owner")

# The lease of a dead owner ends after this long, in seconds.
LEASE_TTL_S = 5.0
# Seconds between two decisions.
TICK_S = 0.5
# Routers that try to take the lease, so that store calls do not grow with the fleet.
CANDIDATES = 3
# A candidate tries at this interval, in seconds, although the replica shows an owner:
# the watch may have missed the end of its lease.
BLIND_ATTEMPT_S = 10.0

# Returns move ids and what the evidence of this router says of them.
Judgements = Callable[[], Mapping[str, Judgement]]


class OwnerLease(Protocol):
    """The part of ``statecore.lease.Lease`` that the owner needs."""

    @property
    def compare(self) -> Mapping[str, int]:
        """Comparison that fences each write; raises ``LeaseLost`` when not held."""

    def held(self, now: float) -> bool:
        """Tells whether the lease is held by the local clock."""

    async def acquire(self) -> bool:
        """Tries to take the lease."""

    async def keep(self) -> None:
        """Renews the lease until it is lost."""

    async def release(self) -> None:
        """Gives the lease up."""


class MoveOwner:
    """Decides moves while this router holds the lease."""

    __slots__ = (
        "_clock",
        "_judgements",
        "_lease",
        "_next_blind",
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
        self._judgements: Judgements = dict
        self._reducer = MoveReducer(router_id)
        self._tick_s = TICK_S
        self._next_blind = 0.0
        self._task: asyncio.Task | None = None

    @classmethod
    def from_config(
        cls,
        store: WritableStore,
        node: FleetNode,
        lease: OwnerLease,
        router_id: str,
        clock: Clock | None = None,
        judgements: Judgements | None = None,
        tick_s: float = TICK_S,
    ) -> "MoveOwner":
        """Builds the move owner of one router.

        :param lease: a lease on :data:`MOVE_OWNER_KEY`.
        :param judgements: tells what the evidence says; without it no version is
            ever proven.
        :param tick_s: seconds between two decisions.
        """
        owner = cls(store, node, lease, router_id, clock or Clock())
        owner._judgements = judgements or owner._judgements
        owner._tick_s = tick_s
        return owner

    @property
    def holds(self) -> bool:
        """True while this router is the move owner by its own clock."""
        return self._lease.held(self._clock.now())

    async def start(self) -> None:
        """Starts to try for the lease."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Gives the lease up."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        try:
            await self._lease.release()
        except StoreError as error:
            log.info("lease not released", extra={"error": str(error)})

    async def _run(self) -> None:
        while True:
            try:
                if self._should_try() and await self._lease.acquire():
                    await self._own()
            except LeaseLost as error:
                log.warning("move lease lost", extra={"error": str(error)})
            except StoreError as error:
                log.warning("store not available", extra={"error": str(error)})
            except Exception:
                log.exception("move owner failed")
            await asyncio.sleep(2 * self._tick_s)

    def _should_try(self) -> bool:
        own = self._node.own
        if not self._node.ready or own.state is not MemberState.LIVE:
            return False
        now = self._clock.now()
        members = self._node.members
        heard = {r.id for r in members.routers() if not members.is_suspect(now, r.id)}
        order = rendezvous_order("move-owner", heard | {own.id})
        if own.id not in order[:CANDIDATES]:
            return False
        owned = self._node.entries.get(MOVE_OWNER_KEY) is not None
        if owned and now < self._next_blind:
            return False
        self._next_blind = now + BLIND_ATTEMPT_S
        return True

    async def _own(self) -> None:
        """Decides moves until the lease is lost.

        :raises LeaseLost: when another router may be the owner.
        """
        log.info("move lease taken", extra={"router": self._router_id})
        # Times from an earlier ownership may be old.
        self._reducer = MoveReducer(self._router_id)
        keeper = asyncio.create_task(self._lease.keep())
        try:
            while not keeper.done():
                await self.decide()
                await asyncio.wait({keeper}, timeout=self._tick_s)
            keeper.result()
        finally:
            keeper.cancel()
            await asyncio.gather(keeper, return_exceptions=True)

    async def decide(self) -> None:
        """Runs one decision over all running moves.

        :raises LeaseLost: when a write was fenced or the lease has lapsed.
        """
        for effect in self._reducer.apply(self._tick()):
            if isinstance(effect, WriteMove):
                await self._write(effect)

    def _tick(self) -> MoveTick:
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
        fence = dict(self._lease.compare)
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
        except Conflict as error:
            log.warning("move not written", extra={"error": str(error)})
            await self._check_fence(fence)
            return
        except WriteError as error:
            # The next tick decides again from what is in force by then.
            log.warning("move not written", extra={"error": str(error)})
            return
        self._node.apply_entries(transaction.entries(revision), 0)
        self._node.exchange_soon()
        fields = {"move": move.id, "state": move.state.value, "share": move.share}
        log.info("move written", extra=fields | {"reason": move.reason})

    def _revision(self, key: str) -> int:
        entry = self._node.entries.get(key)
        return entry.mod_revision if entry is not None else 0

    async def _check_fence(self, fence: Mapping[str, int]) -> None:
        """Finds out whether a conflict came from a new owner.

        :raises LeaseLost: if the lease's key is another one.
        """
        for key, expected in fence.items():
            entry = await self._writer.get(key)
            if entry is None or entry.mod_revision != expected:
                await self._lease.release()
                raise LeaseLost(f"{key} belongs to another owner")
