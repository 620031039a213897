"""Tests of watching the store over a slow link, where responses take seconds."""

import asyncio
import time
import unittest
from unittest import mock

from heatherswitch.gateway import events as ev
from heatherswitch.gateway.store_sync import (
    MAX_RETRY_DELAY_S,
    StoreSync,
    _retry_delay_s,
)
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import (
    HistoryTooLarge,
    Snapshot,
    StoreUnavailable,
    UnusableResponse,
    WatchBatch,
)

# Seconds that a failed call takes.
FAILED_CALL_S = 0.6


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


class ScriptedStore:
    """Answers each watch with the next step: a batch, or an error to raise.

    Cancels the sync after the last step. All entries are those of revision 12.

    :ivar snapshots: number of reads of all entries.
    """

    def __init__(self, clock, *steps):
        self.clock = clock
        self.steps = list(steps)
        self.snapshots = 0
        self.entries = (Entry("op/evacuate/b", 11, b"{}"), Entry("other", 12, b""))

    async def snapshot(self, prefixes):
        self.snapshots += 1
        if self.snapshots == 1:
            return Snapshot(10, (), 100.0)
        return Snapshot(12, self.entries, 100.0)

    async def read_range(self, key_range):
        self.snapshots += key_range == PlatformReader.small_ranges[0]
        entries = [e for e in self.entries if key_range.covers(e.key)]
        return Snapshot(12, tuple(entries), 100.0)

    async def watch(self, prefix, from_revision):
        while True:
            if not self.steps:
                raise asyncio.CancelledError
            step = self.steps.pop(0)
            if isinstance(step, Exception):
                self.clock.time += FAILED_CALL_S
                raise step
            yield step


class UnusableWatchTest(unittest.IsolatedAsyncioTestCase):
    """Guards CONFIG: a watch that can't go on is replaced by a read of all entries."""

    async def run_sync(self, *steps):
        clock, events = ManualClock(), []
        store = ScriptedStore(clock, *steps)
        sync = StoreSync(clock, events.append, Timing.from_bounds().outage_s)
        with self.assertRaises(asyncio.CancelledError):
            await sync.run(store, self.reader)
        return store, events

    def setUp(self):
        self.reader = PlatformReader()

    async def assert_reads_all(self, step) -> None:
        store, events = await self.run_sync(step)
        self.assertEqual(store.snapshots, 2)
        self.assertIn(ev.ZonesOut(frozenset("b")), events)

    async def test_batch_with_its_own_revision_but_without_an_earlier_one(self):
        """A heartbeat that comes after changes that the watch did not hear of."""
        await self.assert_reads_all(WatchBatch(12, (Entry("other", 12, b""),), 100.0))

    async def test_batch_without_entries(self):
        await self.assert_reads_all(WatchBatch(12, (), 100.0))

    async def test_response_that_cannot_be_used(self):
        await self.assert_reads_all(UnusableResponse("malformed"))

    async def test_store_that_was_away_for_long(self):
        """The watch returned each version since then, for a minute on a slow link."""
        store, events = await self.run_sync(*[StoreUnavailable("cut")] * 4)
        self.assertGreater(4 * FAILED_CALL_S, Timing.from_bounds().outage_s)
        self.assertEqual(store.snapshots, 2)
        self.assertIn(ev.ZonesOut(frozenset("b")), events)

    async def test_store_that_was_away_briefly_is_watched_on(self):
        store, _ = await self.run_sync(StoreUnavailable("cut"))
        self.assertEqual(store.snapshots, 1)

    async def test_configuration_whose_decoder_fails_is_not_confirmed_as_current(self):
        entry = Entry("op/config", 11, b"{}")
        failing = mock.patch.object(
            PlatformReader, "_read_configuration", side_effect=KeyError
        )
        with failing:
            batch = WatchBatch(12, (entry, *self.others()), 100.0)
            _, events = await self.run_sync(batch)
        self.assertIn(ev.ConfigurationRead(None), events)

    async def test_complete_batch_is_applied(self):
        batch = WatchBatch(12, (Entry("op/evacuate/b", 11, b"{}"), *self.others()), 1.0)
        store, events = await self.run_sync(batch, WatchBatch(12, (), 101.0))
        self.assertEqual(store.snapshots, 1)
        self.assertIn(ev.ZonesOut(frozenset("b")), events)

    def others(self):
        """Two entries that one transaction wrote."""
        return (Entry("other", 12, b""), Entry("another", 12, b""))

    async def test_store_is_not_read_without_pause_if_each_batch_is_incomplete(self):
        batches = [WatchBatch(revision, (), 100.0) for revision in range(13, 17)]
        started_at = time.monotonic()
        store, _ = await self.run_sync(*batches)
        self.assertEqual(store.snapshots, 5)
        # The delays of the first failures, with their jitter.
        self.assertGreater(time.monotonic() - started_at, 0.75 * (0.2 + 0.4 + 0.8))


class LateBulkStore(ScriptedStore):
    """A store whose watch has too many changes and whose bulk takes its time.

    :ivar bulk_arrives: set to let the bulk arrive.
    """

    def __init__(self, clock, *steps):
        super().__init__(clock, HistoryTooLarge("5 versions"), *steps)
        self.bulk_arrives = asyncio.Event()

    async def read_range(self, key_range):
        if key_range in PlatformReader.bulk_ranges:
            await self.bulk_arrives.wait()
        return await super().read_range(key_range)


class TooManyChangesTest(unittest.IsolatedAsyncioTestCase):
    """Guards DRAIN: notices arrived after all versions of a large configuration."""

    async def start(self, *steps):
        self.events = []
        clock = ManualClock()
        self.store = LateBulkStore(clock, *steps)
        sync = StoreSync(clock, self.events.append, 3.0, 0.02)
        self.sync = asyncio.create_task(sync.run(self.store, PlatformReader()))
        async with asyncio.timeout(5):
            while not self.confirmed(ev.ServersConfirmed):
                await asyncio.sleep(0.005)

    def confirmed(self, kind):
        return [e for e in self.events if isinstance(e, kind)]

    async def test_small_entries_take_effect_before_the_bulk(self):
        await self.start()
        self.assertIn(ev.ZonesOut(frozenset("b")), self.events)
        # The first read is that of all entries at the start.
        self.assertEqual(len(self.confirmed(ev.StoreConfirmed)), 1)
        self.store.bulk_arrives.set()
        with self.assertRaises(asyncio.CancelledError):
            await self.sync
        self.assertEqual(len(self.confirmed(ev.StoreConfirmed)), 2)

    async def test_small_entries_are_read_again_while_the_bulk_is_on_its_way(self):
        await self.start()
        self.store.entries += (Entry("op/evacuate/c", 12, b"{}"),)
        async with asyncio.timeout(5):
            while ev.ZonesOut(frozenset("bc")) not in self.events:
                await asyncio.sleep(0.005)
        self.sync.cancel()

    async def test_watch_goes_on_behind_what_was_read(self):
        batch = WatchBatch(13, (Entry("op/evacuate/d", 13, b"{}"),), 100.0)
        await self.start(batch)
        self.store.bulk_arrives.set()
        with self.assertRaises(asyncio.CancelledError):
            await self.sync
        self.assertIn(ev.ZonesOut(frozenset("bd")), self.events)
        self.assertEqual(self.store.snapshots, 2)

    async def test_failed_read_of_the_small_entries_ends_that_of_the_bulk(self):
        await self.start()
        self.store.read_range = mock.AsyncMock(side_effect=StoreUnavailable("cut"))
        await asyncio.sleep(0.1)
        names = {t.get_coro().__qualname__ for t in asyncio.all_tasks()}
        self.assertNotIn("StoreSync._read_ranges", names)
        self.sync.cancel()


class RetryDelayTest(unittest.TestCase):
    def test_delay_stays_at_its_maximum_however_long_the_store_is_away(self):
        """It overflowed at the 1,025th failure, which ended the watch."""
        delays = [_retry_delay_s(failures) for failures in (1, 10, 1_025, 1_000_000)]
        self.assertLess(max(delays), 1.3 * MAX_RETRY_DELAY_S)


if __name__ == "__main__":
    unittest.main()
