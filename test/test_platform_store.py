"""Tests of the store client against an emulated platform store and its failures."""

import asyncio
import unittest

from emulator.platform.store import PAGE_ITEMS, PlatformStoreServer
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.store import PlatformStore
from heatherswitch.statecore.lease import Lease
from heatherswitch.statecore.replica import KeyRange
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    Compacted,
    CompareFailed,
    HistoryTooLarge,
    StoreError,
    StoreUnavailable,
)
from heatherswitch.util.clock import Clock


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.clock = Clock()
        self.store = PlatformStore.from_address(
            self.server.address, self.clock, Timing.from_bounds()
        )
        self.addCleanup(self.store.close)

    def allow_large_responses(self) -> None:
        """Replaces the limits on a watch response by ones that a test won't reach."""
        timing = Timing.from_bounds().replace(max_watch_bytes=10**6, transfer_s=5.0)
        self.store = PlatformStore.from_address(self.server.address, self.clock, timing)
        self.addCleanup(self.store.close)

    async def test_commit_compares_revisions(self):
        first = await self.store.commit({"a": 0}, {"a": b"1"})
        with self.assertRaises(CompareFailed):
            await self.store.commit({"a": 0}, {"a": b"2"})
        await self.store.commit({"a": first}, {"a": b"2"})
        self.assertEqual((await self.store.get("a")).value, b"2")
        self.assertIsNone(await self.store.get("b"))

    async def test_snapshot_reads_all_pages(self):
        for number in range(PAGE_ITEMS * 2 + 5):
            self.server.put(f"servers/{number:04}", {})
        self.server.put("op/config", {})
        snapshot = await self.store.snapshot(["op/", "servers/"])
        self.assertEqual(len(snapshot.entries), PAGE_ITEMS * 2 + 6)
        self.assertLessEqual(snapshot.current_at, self.clock.now())

    async def test_watch_yields_changes_and_deletions(self):
        revision = self.server.put("op/a", {})
        watch = self.store.watch("", revision + 1)
        self.server.put("op/b", {"x": 1})
        self.server.delete("op/a")
        batch = await anext(watch)
        self.assertEqual([e.key for e in batch.entries], ["op/b", "op/a"])
        self.assertIsNone(batch.entries[1].value)

    async def test_deaf_watch_names_the_newest_revision_or_the_one_asked_for(self):
        """Tests the stand-in: the soak depends on both kinds of answers."""
        revision = self.server.put("op/a", {})
        self.server.deaf = True
        self.server.put("op/b", {})
        for at_request, expected in ((False, revision + 1), (True, revision)):
            self.server.deaf_at_request = at_request
            batch = await anext(self.store.watch("", revision + 1))
            self.assertEqual((batch.entries, batch.revision), ((), expected))

    async def test_restored_store_loses_what_came_after_its_backup(self):
        """Tests the stand-in: the tests of restores depend on what is lost."""
        revision = self.server.put("op/a", {})
        lease_id = await self.store.grant(60.0)
        backup = self.server.back_up()
        self.server.put("op/b", {})
        lost_lease_id = await self.store.grant(60.0)
        restore = asyncio.create_task(self.server.restore(backup, 0.2))
        await asyncio.sleep(0.05)
        with self.assertRaises(StoreUnavailable):
            await self.store.get("op/a")
        await restore
        self.assertIsNotNone(await self.store.get("op/a"))
        self.assertIsNone(await self.store.get("op/b"))
        self.assertGreater(await self.store.keep_alive(lease_id), 0.0)
        self.assertEqual(await self.store.keep_alive(lost_lease_id), 0.0)
        with self.assertRaises(Compacted):
            await anext(self.store.watch("", revision + 2))
        # Revisions are used again.
        self.assertEqual(self.server.put("op/c", {}), revision + 1)
        self.assertEqual(self.server.era, 2)

    async def test_cut_watch_fails(self):
        watch = self.store.watch("", self.server.data.revision + 1)
        waiting = asyncio.create_task(anext(watch))
        await asyncio.sleep(0.1)
        self.server.cut_watches()
        with self.assertRaises(StoreUnavailable):
            await waiting

    async def test_lapsed_lease_removes_its_keys(self):
        lease_id = await self.store.grant(60.0)
        await self.store.commit({}, {"a": b"1"}, lease_id=lease_id)
        self.server.lapse_leases()
        self.assertIsNone(await self.store.get("a"))
        self.assertEqual(await self.store.keep_alive(lease_id), 0.0)

    async def test_empty_watch_response_is_current_as_of_the_end_of_the_poll(self):
        watch = self.store.watch("", self.server.data.revision + 1)
        # The first call is held for less, since what was read before may be older.
        await anext(watch)
        sent_at = self.clock.now()
        batch = await anext(watch)
        self.assertEqual(batch.entries, ())
        self.assertGreater(batch.current_at, sent_at + 0.5)
        self.assertLessEqual(batch.current_at, self.clock.now())

    async def test_watch_with_too_many_changes_for_the_link_fails_at_once(self):
        """Guards DRAIN: such a response held up the notices behind it for seconds."""
        self.server.bytes_per_s = 100_000
        revision = self.server.put("op/config", {"routes": "x" * 120_000})
        for limits in ({}, {"max_watch_bytes": 10**6}):
            timing = Timing.from_bounds().replace(**limits)
            store = PlatformStore.from_address(self.server.address, self.clock, timing)
            started_at = self.clock.now()
            with self.assertRaises(HistoryTooLarge):
                await anext(store.watch("", revision))
            store.close()
            # By its length; a slow one after the time that it may take.
            longest_s = timing.transfer_s if limits else 0.0
            self.assertLess(self.clock.now() - started_at, longest_s + 0.2)

    async def test_range_reads_the_keys_behind_a_key(self):
        for key in ("heatherswitch/a", "op/config", "op/evacuate/b", "servers/l1"):
            self.server.put(key, {})
        found = await self.store.read_range(KeyRange("", after="op/config"))
        self.assertEqual(
            [e.key for e in found.entries], ["op/evacuate/b", "servers/l1"]
        )

    async def test_large_watch_response_over_a_slow_link_is_read_completely(self):
        """Guards against a watch that times out while a large response still arrives.

        A configuration of 2,000 routes takes a second at 10 Mbit/s. A watch that is
        abandoned starts again and never completes, and the draining state of a server
        in the same response is missed (DRAIN).
        """
        self.allow_large_responses()
        self.server.bytes_per_s = 100_000
        revision = self.server.put("op/config", {"routes": "x" * 120_000})
        batch = await anext(self.store.watch("", revision))
        self.assertEqual([e.key for e in batch.entries], ["op/config"])

    async def test_watch_does_not_pause_after_a_slow_large_response(self):
        """Guards against a draining server that is noticed late (DRAIN).

        A response with several large configurations took 1.7 s over 5 Mbit/s. With the
        pause after it, the draining state of a server was seen 3.4 s after it was set
        (on scale-1 of saddlepoint-fit-grown).
        """
        self.allow_large_responses()
        self.server.bytes_per_s = 100_000
        revision = self.server.put("op/config", {"routes": "x" * 120_000})
        watch = self.store.watch("", revision)
        await anext(watch)
        self.server.put("servers/l1", {"state": "draining"})
        started_at = self.clock.now()
        batch = await anext(watch)
        self.assertEqual([e.key for e in batch.entries], ["servers/l1"])
        self.assertLess(self.clock.now() - started_at, 0.4)

    async def test_watch_from_a_compacted_revision_raises(self):
        self.server.put("op/a", {})
        self.server.discard_history()
        with self.assertRaises(Compacted):
            await anext(self.store.watch("", 1))

    async def test_rejected_write_is_not_executed(self):
        for status in (503, 429):
            self.server.refuse = status
            with self.assertRaises(StoreUnavailable):
                await self.store.commit({}, {"a": b"1"})
        self.server.refuse = 0
        self.assertIsNone(await self.store.get("a"))

    async def test_write_with_a_lost_response_is_ambiguous(self):
        self.server.lose_writes = 1
        with self.assertRaises(AmbiguousWrite):
            await self.store.commit({}, {"a": b"1"})
        self.assertIsNotNone(await self.store.get("a"))

    async def test_write_to_keys_of_operators_is_rejected(self):
        with self.assertRaises(StoreError):
            await self.store.commit({}, {"op/config": b"{}"})

    async def test_lease_has_one_owner_at_a_time(self):
        self.server.lose_writes = 0
        first = Lease(self.store, "owners/x", "a", 2.0, self.clock)
        second = Lease(self.store, "owners/x", "b", 2.0, self.clock)
        self.assertTrue(await first.acquire())
        self.assertFalse(await second.acquire())
        await first.keep_alive()
        await first.release()
        self.assertTrue(await second.acquire())

    async def test_delayed_write_does_not_overwrite_a_newer_one(self):
        """The comparison rejects a write that the store executes seconds later."""
        self.server.lose_writes, self.server.late_writes_s = 1, 1.2
        with self.assertRaises(AmbiguousWrite):
            await self.store.commit({"a": 0}, {"a": b"late"})
        await self.store.commit({"a": 0}, {"a": b"new"})
        await asyncio.sleep(0.5)
        self.assertEqual((await self.store.get("a")).value, b"new")

    async def test_unresponsive_store_raises_unavailable(self):
        self.server.silent = True
        with self.assertRaises(StoreUnavailable):
            await self.store.get("a")
