"""Publishes a gateway's evidence and, where it owns the moves, drives them.

One gateway owns all moves under a lease. Every write compares the lease's key, so that
a paused or replaced owner changes nothing, and the revision of the status that it
replaces, so that a lost write which the store executes later does not undo a decision.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from heatherswitch.gateway.events import RolloutStatusRead
from heatherswitch.gateway.rollout_records import (
    EVIDENCE_PREFIX,
    PROGRESS_PREFIX,
    Progress,
    encode_evidence,
    encode_progress,
)
from heatherswitch.gateway.rollouts import MoveState, Step, VersionMove, order_id
from heatherswitch.statecore.lease import Lease, LeaseLost, LeaseStore
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import StoreError
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.gateway.rollout_owner")

OWNER_KEY = "heatherswitch/owners/rollouts"
# Time to live of the ownership, in seconds: a dead owner is replaced within half of
# the shortest move that the platform shows, 12 s.
OWNER_TTL_S = 4.0
# Seconds between two looks at the moves. Bad versions must be cut 5 s after their
# fiftieth bad answer, and the evidence passes through the store in between.
LOOK_S = 0.5


class StatusEncoder(Protocol):
    """Encodes the status that operators read."""

    def status(self, service: str, state: MoveState, target: str) -> tuple[str, bytes]:
        """Returns key and value."""

    def read_status(self, entry: Entry) -> RolloutStatusRead | None:
        """Reads a status; returns None if it is unusable."""


class RolloutOwner:
    """Runs beside the gateway while a move is open.

    :param moves: returns the open moves by service.
    """

    __slots__ = (
        "_clock",
        "_encoder",
        "_id",
        "_lease",
        "_moves",
        "_status_revisions",
        "_store",
    )

    def __init__(
        self,
        store: LeaseStore,
        encoder: StatusEncoder,
        own_id: str,
        clock: Clock,
        moves: Callable[[], dict[str, VersionMove]],
    ) -> None:
        self._store = store
        self._encoder = encoder
        self._id = own_id
        self._clock = clock
        self._moves = moves
        self._lease: Lease | None = None
        # Status key to its revision, as far as the outcome of each write is known.
        self._status_revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Looks after the moves until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S * random.uniform(0.8, 1.2))
            running = {
                service: move
                for service, move in self._moves().items()
                if move.state is MoveState.RUNNING
            }
            try:
                if running:
                    await self._look(running)
                elif self._lease is not None:
                    lease, self._lease = self._lease, None
                    await lease.release()
            except LeaseLost as error:
                log.warning("ownership of moves lost", extra={"error": str(error)})
                self._lease = None
            except StoreError as error:
                log.warning("a move was not recorded", extra={"error": str(error)})

    async def _look(self, running: dict[str, VersionMove]) -> None:
        now = self._clock.now()
        for service, move in running.items():
            records = move.own_evidence(now, self._id)
            if records:
                key = f"{EVIDENCE_PREFIX}{service}/{self._id}"
                await self._store.commit({}, {key: encode_evidence(records)})
        await self._own()
        if self._lease is None:
            return
        for service, move in running.items():
            await self._drive(service, move)

    async def _own(self) -> None:
        """Takes the ownership if it is free, or renews it."""
        if self._lease is not None:
            await self._lease.keep_alive()
            return
        lease = Lease(self._store, OWNER_KEY, self._id, OWNER_TTL_S, self._clock)
        if await lease.acquire():
            log.info("owns the moves between versions")
            self._lease = lease
            self._status_revisions.clear()

    async def _drive(self, service: str, move: VersionMove) -> None:
        now = self._clock.now()
        step = move.next_step(now)
        if step is Step.COMPLETE:
            await self._decide(service, move, MoveState.COMPLETED)
        elif step is Step.ROLL_BACK:
            await self._decide(service, move, MoveState.ROLLED_BACK)
        else:
            stage = move.stage + (step is Step.ADVANCE)
            await self._record(service, move, stage)

    async def _record(self, service: str, move: VersionMove, stage: int) -> None:
        """Writes progress and status, then follows them."""
        now = self._clock.now()
        progress = Progress(order_id(move.order), stage, move.elapsed_s(now))
        record = {PROGRESS_PREFIX + service: encode_progress(progress)}
        if not await self._write(service, move, MoveState.RUNNING, record):
            return
        if stage != move.stage:
            log.info(
                "move advances",
                extra={
                    "service": service,
                    "target": move.order.target,
                    "stage": stage,
                    "verdict": move.verdict.value,
                    "elapsed_s": round(progress.elapsed_s, 2),
                },
            )
            move.resume(now, stage, progress.elapsed_s)

    async def _decide(self, service: str, move: VersionMove, state: MoveState) -> None:
        if not await self._write(service, move, state, {}):
            return
        move.state = state
        log.info(
            "move decided",
            extra={
                "service": service,
                "target": move.order.target,
                "state": state.value,
                "reason": move.reason,
                "verdict": move.verdict.value,
                "elapsed_s": round(move.elapsed_s(self._clock.now()), 2),
            },
        )

    async def _write(
        self,
        service: str,
        move: VersionMove,
        state: MoveState,
        puts: Mapping[str, bytes],
    ) -> bool:
        """Writes the status and other keys; returns False if the move is decided.

        :raises StoreError: if the write failed or its outcome is unknown.
        """
        key, value = self._encoder.status(service, state, move.order.target)
        if key not in self._status_revisions:
            await self._read_status(key, move)
        if move.state is not MoveState.RUNNING:
            return False
        compares = {**self._lease.fencing_compares, key: self._status_revisions[key]}
        try:
            revision = await self._store.commit(compares, {**puts, key: value})
        except StoreError:
            del self._status_revisions[key]
            raise
        self._status_revisions[key] = revision
        return True

    async def _read_status(self, key: str, move: VersionMove) -> None:
        entry = await self._store.get(key)
        self._status_revisions[key] = entry.mod_revision if entry else 0
        status = self._encoder.read_status(entry) if entry else None
        if status is not None:
            move.take_status(status.target, status.state, status.revision)
