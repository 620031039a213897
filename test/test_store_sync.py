"""Tests of watching the store over a slow link, where responses take seconds."""

import asyncio
import unittest

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.store_sync import (
    MAX_RETRY_DELAY_S,
    StoreSync,
    _retry_delay_s,
)
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import Snapshot, WatchBatch


class ManualClock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class SlowStore:
    """Takes given seconds for each watch batch and cancels the sync after the last."""

    def __init__(self, clock, batches):
        self.clock = clock
        self.batches = batches

    async def snapshot(self, prefixes):
        return Snapshot(10, (), self.clock.now())

    async def watch(self, prefix, from_revision):
        while True:
            if not self.batches:
                raise asyncio.CancelledError
            requested_at = self.clock.now()
            duration_s, entries = self.batches.pop(0)
            self.clock.time += duration_s
            revision = max(e.mod_revision for e in entries)
            yield WatchBatch(revision, tuple(entries), requested_at)


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    async def run_sync(self, *batches):
        clock = ManualClock()
        store, events = SlowStore(clock, list(batches)), []
        sync = StoreSync(clock, events.append, Timing.from_bounds().outage_s)
        with self.assertRaises(asyncio.CancelledError):
            await sync.run(store, PlatformReader())
        return events

    async def test_transfer_time_of_a_large_response_is_no_outage(self):
        """Guards DRAIN: else a removed server would get requests for two more seconds."""
        removed = Entry("servers/l1", 11, None)
        events = await self.run_sync((2.6, [removed]))
        found = [e for e in events if isinstance(e, ev.ServerRemoved)]
        self.assertEqual(found, [ev.ServerRemoved("l1", after_outage=False)])


class RetryDelayTest(unittest.TestCase):
    def test_delay_stays_at_its_maximum_however_long_the_store_is_away(self):
        """It overflowed at the 1,025th failure, which ended the watch."""
        delays = [_retry_delay_s(failures) for failures in (1, 10, 1_025, 1_000_000)]
        self.assertLess(max(delays), 1.3 * MAX_RETRY_DELAY_S)


if __name__ == "__main__":
    unittest.main()
