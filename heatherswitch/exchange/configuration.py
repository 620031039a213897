"""Replicated store entries of one process and the configuration built from them."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.statecore.replica import Entry, ReplicatedEntries

log = logging.getLogger("heatherswitch.exchange.configuration")

# Up to this many pending entries are applied without yielding to the event loop. One
# entry takes about 0.16 ms; a snapshot of 28,000 would block the event loop for 4.5 s.
MAX_IMMEDIATE_ENTRIES = 100
# If more are pending, they are applied in batches of this many entries. A response to
# a request takes several iterations of the event loop, each delayed by one batch.
APPLY_BATCH_SIZE = 20


class ReplicatedConfig:
    """Merges entries by revision and applies them to the configuration.

    A large number of entries is applied in batches, so that the event loop is not
    blocked.
    """

    __slots__ = (
        "_apply_task",
        "_config",
        "_entries",
        "_on_applied",
        "_pending",
        "_tombstone_floor",
    )

    def __init__(self, on_applied: Callable[[list[Entry]], None]) -> None:
        """:param on_applied: called with each batch of entries that was applied."""
        self._config = FleetConfig()
        self._entries = ReplicatedEntries()
        # Deletions after this revision are held as tombstones.
        self._tombstone_floor = 0
        self._on_applied = on_applied
        # Entries that are replicated but not applied yet, oldest first.
        self._pending: deque[Entry] = deque()
        self._apply_task: asyncio.Task | None = None

    @property
    def config(self) -> FleetConfig:
        """The current configuration."""
        return self._config

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated store entries."""
        return self._entries

    @property
    def tombstone_floor(self) -> int:
        """Store revision after which all deletions are held as tombstones."""
        return self._tombstone_floor

    @property
    def fully_applied(self) -> bool:
        """True if all replicated entries are part of the current configuration."""
        return not self._pending

    def apply_entries(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Merges newer entries and returns those; see ``FleetNode.apply_entries``."""
        if revision and not self._entries.revision:
            self._tombstone_floor = revision
        return self._apply_or_queue(self._entries.apply(entries, revision))

    def apply_snapshot(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Merges a snapshot, returns the changes; see ``FleetNode.apply_snapshot``."""
        if revision > self._entries.revision:
            self._tombstone_floor = revision
        return self._apply_or_queue(self._entries.apply_snapshot(entries, revision))

    async def stop(self) -> None:
        """Cancels the task that applies pending entries and waits for it."""
        if self._apply_task is not None:
            self._apply_task.cancel()
            await asyncio.gather(self._apply_task, return_exceptions=True)

    def _apply_or_queue(self, changed: list[Entry]) -> list[Entry]:
        # Queued after pending entries, so that an older one cannot replace a newer one.
        self._pending.extend(changed)
        if len(self._pending) <= MAX_IMMEDIATE_ENTRIES:
            self._apply_batch(MAX_IMMEDIATE_ENTRIES)
        elif self._apply_task is None or self._apply_task.done():
            self._apply_task = asyncio.create_task(self._apply_pending())
        return changed

    async def _apply_pending(self) -> None:
        while self._pending:
            self._apply_batch(APPLY_BATCH_SIZE)
            await asyncio.sleep(0)

    def _apply_batch(self, limit: int) -> None:
        count = min(limit, len(self._pending))
        batch = [self._pending.popleft() for _ in range(count)]
        for entry in batch:
            try:
                errors = self._config.apply([entry])
            except Exception as error:
                # An invalid value must not stop the process; the last valid value
                # of the entry stays in use.
                errors = [error]
            for error in errors:
                log.error(
                    "invalid configuration entry ignored",
                    extra={"key": entry.key, "error": str(error)},
                )
        if batch:
            self._on_applied(batch)
