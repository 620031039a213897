"""Writes crash reports and cleared prompt parts to the store, for all gateways."""

import asyncio
import logging
from collections import OrderedDict

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_records import encode_cleared, encode_report
from heatherswitch.gateway.prompt_quarantine import MAX_REPORTS, REPORT_TTL_S
from heatherswitch.statecore.lease import LeaseStore
from heatherswitch.statecore.store import StoreError, StoreRestored
from heatherswitch.util.clock import Clock

log = logging.getLogger("heatherswitch.gateway.crash_publisher")

# Seconds for which records are collected before they are written in one call. A server
# that crashes breaks off many requests within milliseconds.
COLLECT_S = 0.05
# Maximum number of records in one write.
MAX_BATCH = 32
# Maximum number of records that wait for a write: as many as a gateway remembers, since a
# gateway that starts later knows only what was written.
MAX_OUTBOX = MAX_REPORTS
# Seconds after which records get a new lease. Records are removed with their lease,
# which is not renewed, so that they outlive the gateway that wrote them.
LEASE_REUSE_S = 60.0
# Seconds before a failed write is repeated.
RETRY_S = 0.5


class CrashOutbox:
    """Records that wait to be written, by key; holds the newest :data:`MAX_OUTBOX`."""

    __slots__ = ("_filled", "_records")

    def __init__(self) -> None:
        self._records: OrderedDict[str, bytes] = OrderedDict()
        self._filled = asyncio.Event()

    def add(self, effect: ev.CrashEffect) -> None:
        """Adds the records of an effect."""
        match effect:
            case ev.PublishCrash(report):
                records = [encode_report(report)]
            case ev.RepublishCrashes(reports):
                records = [encode_report(report) for report in reports]
            case ev.PublishCleared():
                records = encode_cleared(effect)
        for key, value in records:
            self._records[key] = value
        while len(self._records) > MAX_OUTBOX:
            key, _ = self._records.popitem(last=False)
            log.warning("crash record dropped", extra={"key": key})
        self._filled.set()

    async def wait(self) -> None:
        """Waits until there is a record."""
        await self._filled.wait()

    def next_batch(self) -> dict[str, bytes]:
        """Returns the oldest records, which stay until :meth:`discard`."""
        return dict(list(self._records.items())[:MAX_BATCH])

    def discard(self, batch: dict[str, bytes]) -> None:
        """Removes the records of a batch that was written."""
        for key, value in batch.items():
            if self._records.get(key) == value:
                del self._records[key]
        if not self._records:
            self._filled.clear()


class CrashPublisher:
    """Writes the records of an outbox to the store.

    A write is repeated until it succeeds; repeating it changes nothing.
    """

    __slots__ = ("_clock", "_era", "_granted_at", "_lease_id", "_outbox", "_store")

    def __init__(self, store: LeaseStore, outbox: CrashOutbox, clock: Clock) -> None:
        self._store = store
        self._outbox = outbox
        self._clock = clock
        self._lease_id = 0
        # Era of the store in which the lease was granted.
        self._era = 0
        self._granted_at = float("-inf")

    async def run(self) -> None:
        """Writes records until cancelled."""
        while True:
            await self._outbox.wait()
            await asyncio.sleep(COLLECT_S)
            batch = self._outbox.next_batch()
            try:
                await self._write(batch)
            except StoreError as error:
                # The lease may be gone, so the next try gets another one.
                self._lease_id = 0
                log.warning(
                    "crash records not written",
                    extra={"error": str(error), "records": len(batch)},
                )
                await asyncio.sleep(RETRY_S)
            else:
                self._outbox.discard(batch)

    async def _write(self, batch: dict[str, bytes]) -> None:
        now = self._clock.now()
        reusable = self._lease_id and now - self._granted_at < LEASE_REUSE_S
        # After a restore of the store, the id may be that of another's lease.
        if not reusable or self._era != self._store.era:
            self._lease_id = await self._store.grant(REPORT_TTL_S)
            self._era = self._store.era
            self._granted_at = now
        await self._store.commit({}, batch, lease_id=self._lease_id)
        if self._era != self._store.era:
            raise StoreRestored("the store was restored while records were written")
