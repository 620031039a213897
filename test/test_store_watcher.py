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


class StoreWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        own = Member("r0", Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.node = FleetNode.from_config(lambda: own)
        self.watcher = StoreWatcher.from_config(
            self.store, self.node, peers_first_s=0, watch_idle_timeout_s=0.3
        )
        self.addAsyncCleanup(self.watcher.stop)

    def zone_out(self):
        return self.node.config.zone_is_out("", "z1", 0.0)

    async def test_snapshot_makes_node_ready_and_changes_are_applied(self):
        # Guards against a router that serves before it has the zone states.
        await self.store.commit({}, {KEY: OUT})
        self.assertFalse(self.node.ready)
        await self.watcher.start()
        await until(lambda: self.node.ready and self.zone_out())
        await self.store.commit({}, {KEY: IN})
        await until(lambda: not self.zone_out())

    async def test_watcher_resumes_after_store_outage(self):
        # Guards against a watch that is never reopened.
        self.store.unavailable = True
        await self.watcher.start()
        self.store.unavailable = False
        await self.store.commit({}, {KEY: OUT})
        await until(self.zone_out)

    async def test_silent_watch_is_reopened(self):
        # Guards against a connection whose state a network device on the path has lost.
        self.store.silent_watches = 1
        await self.watcher.start()
        await until(lambda: self.store.watch_count == 1)
        await self.store.commit({}, {KEY: OUT})
        await until(self.zone_out)

    async def test_new_snapshot_is_read_after_compaction(self):
        # Guards against a missed deletion that is part of the compacted history.
        self.node.apply_entries([entry(1, zone_state="out")], 1)
        self.node.mark_store_read()
        await self.store.commit({}, {KEY: OUT})
        await self.store.commit({}, {}, [KEY])
        self.store.compacted_revision = self.store.revision
        await self.watcher.start()
        await until(lambda: not self.zone_out())
        self.assertEqual(self.node.entries.revision, self.store.revision)

    async def test_old_snapshot_is_ignored(self):
        # Guards against a store that returns a revision older than a zone order.
        self.node.apply_entries([entry(9, zone_state="out")], 9)
        self.store.stale_snapshot = Snapshot(3, (entry(3, zone_state="in"),))
        await self.watcher.start()
        with self.assertRaises(AssertionError):
            await until(lambda: self.node.ready or not self.zone_out(), 0.5)

    async def test_three_routers_watch(self):
        # Guards against a number of store calls that grows with the fleet.
        ids = [f"r{i}" for i in range(20)]
        self.assertEqual(len(select_store_watchers(ids)), 3)
        others = [member(i) for i in ids[1:]]
        self.node.members.merge(self.watcher._clock.now(), others)
        self.assertEqual(self.watcher.is_watcher, "r0" in select_store_watchers(ids))

    async def test_stop_during_a_change_stops_the_watcher(self):
        # Guards against a lost cancellation when a change arrives at the same time, as
        # when the router releases the move lease just before it stops its watcher.
        for turns in range(6):
            seen = self.store.watch_count
            await self.watcher.start()
            await until(lambda seen=seen: self.store.watch_count > seen)
            await asyncio.sleep(0.05)
            await self.store.commit({}, {KEY: OUT})
            for _ in range(turns):
                await asyncio.sleep(0)
            async with asyncio.timeout(5):
                await self.watcher.stop()
