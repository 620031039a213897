"""Following the store over a thin link, where answers take seconds to arrive."""

import asyncio
import unittest

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.store_sync import StoreSync
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import Snapshot, WatchBatch


class SetClock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class ThinStore:
    """Answers each call after a number of seconds, then ends the test."""

    def __init__(self, clock, batches):
        self.clock = clock
        self.batches = batches

    async def snapshot(self, prefixes):
        return Snapshot(10, (), self.clock.now())

    async def watch(self, prefix, from_revision):
        while True:
            if not self.batches:
                raise asyncio.CancelledError
            sent_at = self.clock.now()
            takes_s, entries = self.batches.pop(0)
            self.clock.time += takes_s
            revision = max(e.mod_revision for e in entries)
            yield WatchBatch(revision, tuple(entries), sent_at)


class ThinLinkTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *batches):
        clock = SetClock()
        store, events = ThinStore(clock, list(batches)), []
        sync = StoreSync(clock, events.append, Timing.from_bounds().outage_s)
        with self.assertRaises(asyncio.CancelledError):
            await sync.run(store, PlatformReader())
        return events

    async def test_time_of_a_large_answer_is_no_outage(self):
        """Guards DRAIN: a removed server would get work for two seconds more."""
        removed = Entry("servers/l1", 11, None)
        events = await self.follow((2.6, [removed]))
        found = [e for e in events if isinstance(e, ev.ServerRemoved)]
        self.assertEqual(found, [ev.ServerRemoved("l1", after_outage=False)])


if __name__ == "__main__":
    unittest.main()
