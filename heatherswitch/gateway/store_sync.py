"""Keeps the gateway's view of the store current and turns changes into events."""

import asyncio
import json
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from heatherswitch.gateway import events as ev
from heatherswitch.statecore.lease import Lease, LeaseLost, LeaseStore
from heatherswitch.statecore.replica import Entry, ReplicatedEntries
from heatherswitch.statecore.store import (
    Compacted,
    Snapshot,
    StoreError,
    WatchBatch,
)
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.gateway.store_sync")

# Seconds between two snapshots. A watch that misses a change without saying so is
# then made good.
SNAPSHOT_EVERY_S = 60.0
# Backoff after a failed call to the store, in seconds. Every call is billed, also
# those that are refused, and configuration must be current again within 2 s.
FIRST_RETRY_S = 0.02
RETRY_S = 0.2
MAX_RETRY_S = 0.8


@dataclass(frozen=True, slots=True)
class Member:
    """A live router on the list of the store.

    :param address: ``host:port`` for messages between routers; empty for none.
    """

    id: str
    address: str = ""


class WatchedStore(Protocol):
    """Reads the store and follows its changes."""

    async def snapshot(self, prefixes: Iterable[str]) -> Snapshot:
        """Reads all entries under some prefixes."""

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Yields changes."""


class RecordReader(Protocol):
    """Decodes entries of the store into events."""

    prefixes: tuple[str, ...]
    member_prefix: str

    def read(self, entry: Entry, after_outage: bool) -> list[ev.Event]:
        """Returns the events of one changed entry."""


class StoreSync:
    """Follows the store and hands events to the gateway.

    :param emit: takes one event.
    :param outage_s: seconds without an answer after which the store counts as out of
        reach.
    """

    __slots__ = ("_answered_at", "_clock", "_emit", "_entries", "_outage_s")

    def __init__(
        self, clock: Clock, emit: Callable[[ev.Event], None], outage_s: float
    ) -> None:
        self._clock = clock
        self._outage_s = outage_s
        self._emit = emit
        self._entries = ReplicatedEntries()
        self._answered_at = clock.now()

    async def run(self, store: WatchedStore, reader: RecordReader) -> None:
        """Follows the store until cancelled."""
        snapshot_at = float("-inf")
        failures = 0
        while True:
            try:
                if self._clock.now() - snapshot_at >= SNAPSHOT_EVERY_S:
                    self._on_snapshot(await store.snapshot(reader.prefixes), reader)
                    snapshot_at = self._clock.now()
                    failures = 0
                async for batch in store.watch("", self._entries.revision + 1):
                    self._on_batch(batch, reader)
                    failures = 0
                    if self._clock.now() - snapshot_at >= SNAPSHOT_EVERY_S:
                        break
            except Compacted as error:
                log.info("the store dropped its history", extra={"error": str(error)})
                snapshot_at = float("-inf")
            except StoreError as error:
                silent_s = round(self._clock.now() - self._answered_at, 3)
                log.warning(
                    "the store gives no answer",
                    extra={"error": str(error), "silent_s": silent_s},
                )
                await asyncio.sleep(_retry_s(failures))
                failures += 1

    def _on_batch(self, batch: WatchBatch, reader: RecordReader) -> None:
        after_outage = self._note_answer(batch.current_at)
        changed = self._entries.apply(batch.entries, batch.revision)
        self._publish(changed, reader, batch.current_at, after_outage)

    def _on_snapshot(self, snapshot: Snapshot, reader) -> None:
        after_outage = self._note_answer(snapshot.current_at)
        changed = self._entries.apply_snapshot(snapshot.entries, snapshot.revision)
        self._publish(changed, reader, snapshot.current_at, after_outage)

    def _note_answer(self, asked_at: float) -> bool:
        """Returns whether this is the first answer after an outage.

        The time that a large answer takes over a thin link does not count.

        Entries that it lacks may have lapsed although their servers live; what later
        answers remove was removed by its owner.
        """
        now = self._clock.now()
        after_outage = asked_at - self._answered_at > self._outage_s
        if after_outage:
            log.info(
                "the store answers again",
                extra={"silent_s": round(now - self._answered_at, 3)},
            )
        self._answered_at = now
        return after_outage

    def _publish(
        self, changed: list[Entry], reader, current_at: float, after_outage: bool
    ) -> None:
        for entry in changed:
            for event in reader.read(entry, after_outage):
                self._emit(event)
        self._emit(ev.StoreConfirmed(current_at))
        if any(e.key.startswith(reader.member_prefix) for e in changed):
            entries = self._entries.with_prefix(reader.member_prefix)
            members = [_member(e, reader.member_prefix) for e in entries]
            self._emit(
                ev.RoutersCounted(
                    tuple(m.id for m in members),
                    tuple((m.id, m.address) for m in members if m.address),
                )
            )


def _member(entry: Entry, prefix: str) -> Member:
    """Reads an entry of :func:`keep_membership`; its owner is the address."""
    member_id = entry.key.removeprefix(prefix)
    try:
        address = json.loads(entry.value)["owner"]
        host, _, port = address.rpartition(":")
        return Member(member_id, address if host and port.isdigit() else "")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log.warning(
            "entry of a router is malformed",
            extra={"router": member_id, "error": repr(error)},
        )
        return Member(member_id)


def _retry_s(failures: int) -> float:
    """Returns the pause after a failed call; a first failure may be one lost answer."""
    if failures == 0:
        return FIRST_RETRY_S
    backoff_s = min(MAX_RETRY_S, RETRY_S * 2 ** (failures - 1))
    return backoff_s * random.uniform(0.75, 1.25)


async def keep_membership(
    store: LeaseStore, key: str, address: str, ttl_s: float, clock: Clock
) -> None:
    """Keeps this router on the list of live routers until cancelled.

    :param address: ``host:port`` for messages between routers; empty for none.
    :param ttl_s: time to live of the entry in seconds.
    """
    while True:
        lease = Lease(store, key, address, ttl_s, clock)
        try:
            if await lease.acquire():
                log.info("joined the list of routers", extra={"key": key})
                await lease.renew_until_lost()
        except LeaseLost as error:
            log.warning("membership lapsed", extra={"error": str(error)})
        except StoreError as error:
            log.warning("membership not written", extra={"error": str(error)})
        except asyncio.CancelledError:
            await lease.release()
            raise
        await asyncio.sleep(random.uniform(RETRY_S, MAX_RETRY_S))
