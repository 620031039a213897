import asyncio
import unittest

from heatherswitch.exchange.node import FleetNode
from heatherswitch.exchange.peer_selection import select_store_watchers
from heatherswitch.exchange.store_watcher import StoreWatcher
from heatherswitch.fleet.members import Member, Role
from heatherswitch.fleet.settings import node_key
from heatherswitch.statecore.store import Snapshot
from test.memory_store import MemoryStore
from test.test_exchange import entry, member, until

KEY = node_key("/zone=z1")
OUT = b'{"zone_state":"out"}'
IN = b'{"zone_state":"in"}'


class FeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        own = Member("r0", Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.node = FleetNode.from_config(lambda: own)
        self.feed = StoreWatcher.from_config(
            self.store, self.node, peers_first_s=0, watch_idle_timeout_s=0.3
        )
        self.addAsyncCleanup(self.feed.stop)

    def zone_out(self):
        return self.node.config.zone_is_out("", "z1", 0.0)

    async def test_snapshot_makes_ready_and_changes_follow(self):
        # Guards against a router that serves before it knows the zone orders.
        await self.store.commit({}, {KEY: OUT})
        self.assertFalse(self.node.ready)
        await self.feed.start()
        await until(lambda: self.node.ready and self.zone_out())
        await self.store.commit({}, {KEY: IN})
        await until(lambda: not self.zone_out())

    async def test_feed_resumes_after_an_outage(self):
        # Guards against a watch that is never opened again.
        self.store.unavailable = True
        await self.feed.start()
        self.store.unavailable = False
        await self.store.commit({}, {KEY: OUT})
        await until(self.zone_out)

    async def test_silent_watch_is_opened_again(self):
        # Guards against a connection whose state a device on the path has lost.
        self.store.silent_watches = 1
        await self.feed.start()
        await until(lambda: self.store.watch_count == 1)
        await self.store.commit({}, {KEY: OUT})
        await until(self.zone_out)

    async def test_compaction_leads_to_a_new_snapshot(self):
        # Guards against a deletion that falls into the dropped history.
        self.node.apply_entries([entry(1, zone_state="out")], 1)
        self.node.mark_store_read()
        await self.store.commit({}, {KEY: OUT})
        await self.store.commit({}, {}, [KEY])
        self.store.compacted_revision = self.store.revision
        await self.feed.start()
        await until(lambda: not self.zone_out())
        self.assertEqual(self.node.entries.revision, self.store.revision)

    async def test_old_snapshot_is_ignored(self):
        # Guards against a store that answers a revision from before a zone order.
        self.node.apply_entries([entry(9, zone_state="out")], 9)
        self.store.stale_snapshot = Snapshot(3, (entry(3, zone_state="in"),))
        await self.feed.start()
        with self.assertRaises(AssertionError):
            await until(lambda: self.node.ready or not self.zone_out(), 0.5)

    async def test_three_routers_watch(self):
        # Guards against store calls that grow with the fleet.
        ids = [f"r{i}" for i in range(20)]
        self.assertEqual(len(select_store_watchers(ids)), 3)
        others = [member(i) for i in ids[1:]]
        self.node.members.merge(self.feed._clock.now(), others)
        self.assertEqual(self.feed.is_watcher, "r0" in select_store_watchers(ids))

    async def test_stop_together_with_a_change_ends_the_feed(self):
        # Guards against a stop that is lost when a change arrives at the same time,
        # as when the router gives up the move lease before it stops its feed.
        for turns in range(6):
            seen = self.store.watch_count
            await self.feed.start()
            await until(lambda seen=seen: self.store.watch_count > seen)
            await asyncio.sleep(0.05)
            await self.store.commit({}, {KEY: OUT})
            for _ in range(turns):
                await asyncio.sleep(0)
            async with asyncio.timeout(5):
                await self.feed.stop()
