"""The replicated entries of one process and the configuration they put in force."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.statecore.replica import Entry, ReplicatedEntries

log = logging.getLogger("heatherswitch.exchange.configuration")

# Up to this many entries are put in force at once. One takes about 0.16 ms, so that a
# whole snapshot of 28,000 would block the event loop for 4.5 s.
MAX_IMMEDIATE_ENTRIES = 100
# More are put in force in slices of this many. The answer to a request takes several
# turns of the event loop, and each turn runs one slice in between.
APPLY_BATCH_SIZE = 20


class ReplicatedConfig:
    """Takes entries by revision and puts them in force, many of them in slices."""

    __slots__ = (
        "_apply_task",
        "_config",
        "_entries",
        "_on_applied",
        "_pending",
        "_tombstone_floor",
    )

    def __init__(self, on_applied: Callable[[list[Entry]], None]) -> None:
        """:param on_applied: receives the entries that were put in force."""
        self._config = FleetConfig()
        self._entries = ReplicatedEntries()
        # Deletions are known from this revision on.
        self._tombstone_floor = 0
        self._on_applied = on_applied
        # Entries that are held and not in force yet, oldest first.
        self._pending: deque[Entry] = deque()
        self._apply_task: asyncio.Task | None = None

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""
        return self._config

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated store entries."""
        return self._entries

    @property
    def tombstone_floor(self) -> int:
        """Deletions are known from this revision on."""
        return self._tombstone_floor

    @property
    def fully_applied(self) -> bool:
        """True when all entries held are in force."""
        return not self._pending

    def apply_entries(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Takes entries newer than those held; see ``FleetNode.apply_entries``."""
        if revision and not self._entries.revision:
            self._tombstone_floor = revision
        return self._apply_or_queue(self._entries.apply(entries, revision))

    def apply_snapshot(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Takes all entries at a revision; see ``FleetNode.apply_snapshot``."""
        if revision > self._entries.revision:
            self._tombstone_floor = revision
        return self._apply_or_queue(self._entries.apply_snapshot(entries, revision))

    async def stop(self) -> None:
        """Ends the work on slices."""
        if self._apply_task is not None:
            self._apply_task.cancel()
            await asyncio.gather(self._apply_task, return_exceptions=True)

    def _apply_or_queue(self, taken: list[Entry]) -> list[Entry]:
        # Behind pending entries, since an older one must not replace a newer one.
        self._pending.extend(taken)
        if len(self._pending) <= MAX_IMMEDIATE_ENTRIES:
            self._apply_batch(MAX_IMMEDIATE_ENTRIES)
        elif self._apply_task is None or self._apply_task.done():
            self._apply_task = asyncio.create_task(self._apply_pending())
        return taken

    async def _apply_pending(self) -> None:
        while self._pending:
            self._apply_batch(APPLY_BATCH_SIZE)
            await asyncio.sleep(0)

    def _apply_batch(self, limit: int) -> None:
        count = min(limit, len(self._pending))
        taken = [self._pending.popleft() for _ in range(count)]
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
            self._on_applied(taken)
