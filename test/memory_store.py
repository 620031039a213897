"""In-memory double of the store client with faults that tests enable."""

import asyncio

from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    Compacted,
    CompareFailed,
    Snapshot,
    StoreUnavailable,
    WatchBatch,
)


class MemoryStore:
    """Keeps entries and their history; has the interface of ``StoreClient``.

    :ivar unavailable: if True, every call fails before it is applied.
    :ivar lost_responses: number of next writes whose response is lost after they were
        applied.
    :ivar silent_watches: number of next watches that never yield anything.
    :ivar compacted_revision: watches from this revision or below fail.
    :ivar stale_snapshot: if set, returned for all ranges instead of the entries.
    :ivar watch_count: number of watches opened so far.
    """

    def __init__(self):
        self.revision = 1
        self.unavailable = False
        self.lost_responses = 0
        self.silent_watches = 0
        self.compacted_revision = 0
        self.stale_snapshot = None
        self.watch_count = 0
        self._entries = {}
        self._history = []
        self._changed = asyncio.Event()

    def _check(self):
        if self.unavailable:
            raise StoreUnavailable("the test made the store unavailable")

    async def get(self, key):
        self._check()
        return self._entries.get(key)

    async def range(self, prefix):
        self._check()
        if self.stale_snapshot is not None:
            return self.stale_snapshot
        found = [e for k, e in sorted(self._entries.items()) if k.startswith(prefix)]
        return Snapshot(self.revision, tuple(found))

    async def commit(self, compares, puts, deletes=(), lease_id=0):
        self._check()
        for key, revision in compares.items():
            current = self._entries.get(key)
            if (current.mod_revision if current else 0) != revision:
                raise CompareFailed(key)
        self.revision += 1
        for key, value in [*puts.items(), *((key, None) for key in deletes)]:
            entry = Entry(key, self.revision, value)
            self._history.append(entry)
            self._entries.pop(key, None)
            if value is not None:
                self._entries[key] = entry
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lost_responses:
            self.lost_responses -= 1
            raise AmbiguousWrite("the test dropped the response")
        return self.revision

    async def watch(self, prefix, from_revision):
        self._check()
        self.watch_count += 1
        if self.silent_watches:
            self.silent_watches -= 1
            await asyncio.Event().wait()
        if from_revision <= self.compacted_revision:
            raise Compacted(str(self.compacted_revision))
        while True:
            self._check()
            changed = self._changed
            new = [
                e
                for e in self._history
                if e.mod_revision >= from_revision and e.key.startswith(prefix)
            ]
            if new:
                revision = max(e.mod_revision for e in new)
                from_revision = revision + 1
                yield WatchBatch(revision, tuple(new))
            else:
                await changed.wait()
