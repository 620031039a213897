"""Publishes a gateway's evidence and, at the owner, advances and decides rollouts.

One gateway owns all rollouts under a lease. Every write is conditional on the lease's
key, so that a paused or replaced owner changes nothing, and on the revision of the
status that it replaces, so that a write whose response was lost and which the store
executes late does not undo a decision. A decision that the store lost, since it was
restored from a backup, is written again by any gateway that knows it.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from heatherswitch.gateway.events import RolloutStatusRead
from heatherswitch.gateway.rollout_records import (
    EVIDENCE_PREFIX,
    PROGRESS_PREFIX,
    Progress,
    encode_evidence,
    encode_progress,
)
from heatherswitch.gateway.rollouts import Rollout, RolloutState, Step, rollout_id
from heatherswitch.statecore.lease import Lease, LeaseLost, LeaseStore
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    StoreError,
    StoreUnavailable,
)
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.gateway.rollout_owner")

OWNER_KEY = "heatherswitch/owners/rollouts"
# Prefix of the keys that tell two acquisitions of the ownership apart.
FENCE_PREFIX = f"{OWNER_KEY}/"
# Time to live of the ownership lease in seconds. A dead owner is replaced within half the
# duration of the shortest rollout on the platform, 12 s.
LEASE_TTL_S = 4.0
# Seconds between updates. A bad version must get no more requests 5 s after its fiftieth
# bad response, and within that time the evidence passes through the store.
POLL_INTERVAL_S = 0.5


class StatusCodec(Protocol):
    """Encodes and decodes the status entries that operators read."""

    def status(
        self, service: str, state: RolloutState, target: str
    ) -> tuple[str, bytes]:
        """Returns the key and value of a status entry."""

    def read_status(self, entry: Entry) -> RolloutStatusRead | None:
        """Decodes a status entry; returns None if it is unusable."""


class RolloutOwner:
    """Publishes evidence and competes for the ownership of the running rollouts.

    :param own_id: id of this gateway.
    :param rollouts: returns the latest rollout of each service.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_id",
        "_lease",
        "_rollouts",
        "_status_era",
        "_status_revisions",
        "_store",
    )

    def __init__(
        self,
        store: LeaseStore,
        codec: StatusCodec,
        own_id: str,
        clock: Clock,
        rollouts: Callable[[], dict[str, Rollout]],
    ) -> None:
        self._store = store
        self._codec = codec
        self._id = own_id
        self._clock = clock
        self._rollouts = rollouts
        self._lease: Lease | None = None
        # Revision of each status key; dropped when the outcome of a write is unknown.
        self._status_revisions: dict[str, int] = {}
        # Era of the store that they belong to.
        self._status_era = 0

    async def run(self) -> None:
        """Updates the running rollouts until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.2))
            running = {
                service: rollout
                for service, rollout in self._rollouts().items()
                if rollout.state is RolloutState.RUNNING
            }
            try:
                for service, rollout in list(self._rollouts().items()):
                    if rollout.decision_lost:
                        await _record(service, self._restore_decision(service, rollout))
                if running:
                    await self._update(running)
                elif self._lease is not None:
                    lease, self._lease = self._lease, None
                    await lease.release()
            except LeaseLost as error:
                log.warning("ownership of rollouts lost", extra={"error": str(error)})
                self._lease = None
            except StoreError as error:
                log.warning("rollout not recorded", extra={"error": str(error)})

    async def _update(self, running: dict[str, Rollout]) -> None:
        for service, rollout in running.items():
            await _record(service, self._publish_evidence(service, rollout))
        await self._acquire_or_renew_lease()
        if self._lease is None:
            return
        for service, rollout in running.items():
            await _record(service, self._apply_next_step(service, rollout))

    async def _publish_evidence(self, service: str, rollout: Rollout) -> None:
        records = rollout.own_evidence(self._clock.now(), self._id)
        if records:
            key = f"{EVIDENCE_PREFIX}{service}/{self._id}"
            await self._store.commit({}, {key: encode_evidence(records)})

    async def _acquire_or_renew_lease(self) -> None:
        """Acquires the ownership lease if it is free, or renews it.

        :raises LeaseLost: if the lease that this gateway held has ended.
        """
        if self._lease is not None:
            await self._lease.keep_alive()
            return
        lease = Lease(
            self._store, OWNER_KEY, self._id, LEASE_TTL_S, self._clock, FENCE_PREFIX
        )
        if await lease.acquire():
            log.info("ownership of rollouts acquired")
            self._lease = lease
            self._status_revisions.clear()

    async def _apply_next_step(self, service: str, rollout: Rollout) -> None:
        now = self._clock.now()
        step = rollout.next_step(now)
        if step is Step.COMPLETE:
            await self._write_decision(service, rollout, RolloutState.COMPLETED)
        elif step is Step.ROLL_BACK:
            await self._write_decision(service, rollout, RolloutState.ROLLED_BACK)
        else:
            stage = rollout.stage + (step is Step.ADVANCE)
            await self._write_progress(service, rollout, stage)

    async def _write_progress(self, service: str, rollout: Rollout, stage: int) -> None:
        """Writes progress and status, then adopts a new stage."""
        now = self._clock.now()
        progress = Progress(rollout_id(rollout.order), stage, rollout.elapsed_s(now))
        record = {PROGRESS_PREFIX + service: encode_progress(progress)}
        if not await self._commit_status(
            service, rollout, RolloutState.RUNNING, record
        ):
            return
        if stage != rollout.stage:
            log.info(
                "rollout advanced",
                extra={
                    "service": service,
                    "target": rollout.order.target,
                    "stage": stage,
                    "verdict": rollout.verdict.value,
                    "elapsed_s": round(progress.elapsed_s, 2),
                },
            )
            rollout.apply_progress(now, stage, progress.elapsed_s)

    async def _write_decision(
        self, service: str, rollout: Rollout, state: RolloutState
    ) -> None:
        if not await self._commit_status(service, rollout, state, {}):
            return
        rollout.state = state
        log.info(
            "rollout decided",
            extra={
                "service": service,
                "target": rollout.order.target,
                "state": state.value,
                "reason": rollout.reason,
                "verdict": rollout.verdict.value,
                "elapsed_s": round(rollout.elapsed_s(self._clock.now()), 2),
            },
        )

    async def _commit_status(
        self,
        service: str,
        rollout: Rollout,
        state: RolloutState,
        puts: Mapping[str, bytes],
    ) -> bool:
        """Writes the status and other keys in one transaction.

        :returns: False, without a write, if the rollout is already decided.

        :raises StoreError: if the write failed or its outcome is unknown.
        """
        key, value = self._codec.status(service, state, rollout.order.target)
        if self._status_era != self._store.era:
            # Revisions of an earlier era mean nothing now.
            self._status_revisions.clear()
            self._status_era = self._store.era
        if key not in self._status_revisions:
            await self._load_status(key, rollout)
        if rollout.state is not RolloutState.RUNNING:
            return False
        compares = {**self._lease.fencing_compares, key: self._status_revisions[key]}
        try:
            revision = await self._store.commit(compares, {**puts, key: value})
        except StoreError:
            del self._status_revisions[key]
            raise
        self._status_revisions[key] = revision
        return True

    async def _restore_decision(self, service: str, rollout: Rollout) -> None:
        """Writes a decision again that a restore of the store has lost.

        :raises StoreError: if the write failed or its outcome is unknown.
        """
        if rollout.order.position.era < self._store.era:
            # The order was not read in this era yet.
            return
        key, value = self._codec.status(service, rollout.state, rollout.order.target)
        entry = await self._store.get(key)
        status = self._codec.read_status(entry) if entry else None
        if status is not None:
            rollout.apply_status(status.target, status.state, status.position)
        if not rollout.decision_lost:
            return
        if (
            status is not None
            and status.target != rollout.order.target
            and status.position > rollout.order.position
        ):
            # Of a later order, which this gateway has not read yet.
            rollout.decision_lost = False
            return
        await self._store.commit(
            {key: entry.mod_revision if entry else 0}, {key: value}
        )
        rollout.decision_lost = False
        log.info(
            "decision on a rollout written again after a restore of the store",
            extra={
                "service": service,
                "target": rollout.order.target,
                "state": rollout.state.value,
                "era": self._store.era,
            },
        )

    async def _load_status(self, key: str, rollout: Rollout) -> None:
        entry = await self._store.get(key)
        self._status_revisions[key] = entry.mod_revision if entry else 0
        status = self._codec.read_status(entry) if entry else None
        if status is not None:
            rollout.apply_status(status.target, status.state, status.position)


async def _record(service: str, write: Awaitable[None]) -> None:
    """Awaits a write about one rollout; one that the store rejects stops no other.

    :raises StoreUnavailable: if the store does not respond, which concerns all rollouts.
    :raises AmbiguousWrite: if the response was lost.
    """
    try:
        await write
    except (StoreUnavailable, AmbiguousWrite):
        raise
    except StoreError as error:
        log.warning(
            "rollout not recorded", extra={"service": service, "error": str(error)}
        )
