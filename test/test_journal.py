import asyncio
import time
import unittest
from unittest import mock

from heatherswitch.agent.journal import TICK_S, ClaimJournal, JournalConfig
from heatherswitch.fleet.claims import (
    MIN_APPEND_INTERVAL_S,
    AlreadyRunning,
    Claimed,
    ClaimOutcomeUnknown,
    JournalUnavailable,
    NotOwner,
    Replay,
)
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.records import PARTITIONS_PREFIX
from heatherswitch.statecore.store import StoreClient
from test.store_process import StoreProcess


class ClaimJournalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await StoreProcess.start()
        self.addAsyncCleanup(self.process.stop)
        self.live = {"a"}
        self.incarnation = 0
        self.first = self.journal("a")

    def journal(self, agent: str) -> ClaimJournal:
        store = StoreClient.from_addresses([self.process.address], timeout_s=0.5)
        self.addCleanup(store.close)
        self.incarnation += 1
        config = JournalConfig("ledger", agent, self.incarnation)
        journal = ClaimJournal.from_config(config, store, lambda: self.live)
        journal.on_config(FleetConfig())
        self.addAsyncCleanup(journal.close)
        return journal

    async def claim(self, journal, key="k", request_id="r1", partition=3):
        return await journal.claim(partition, "w", key, "body", request_id)

    async def finish(self, journal, key="k"):
        await journal.complete(3, "w", key, 200, [("a", "b")], b"ok")

    async def test_repeated_key_attaches_and_then_replays(self):
        self.assertEqual(await self.claim(self.first), Claimed(1))
        self.assertEqual(await self.claim(self.first), AlreadyRunning("r1"))
        await self.finish(self.first)
        replay = Replay(200, (("a", "b"),), b"ok")
        self.assertEqual(await self.claim(self.first), replay)

    async def test_waiting_claim_is_appended_after_the_minimum_gap(self):
        # Guards against claims that wait for the periodic tick, and against appends
        # without a minimum time between them.
        await self.claim(self.first, "warm")
        before = (await self.process.stats())["total"]["kv/txn"]
        started = time.monotonic()
        waits = []
        for number in range(20):
            asked = time.monotonic()
            await self.claim(self.first, f"k{number}")
            waits.append(time.monotonic() - asked)
        elapsed = time.monotonic() - started
        writes = (await self.process.stats())["total"]["kv/txn"] - before
        self.assertLessEqual(writes, elapsed / MIN_APPEND_INTERVAL_S + 1)
        # A claim that waits for the tick takes a whole tick interval.
        self.assertLess(min(waits), TICK_S / 2)

    async def test_restarted_agent_reads_its_claims(self):
        # Guards against a second run after the agent was replaced (F1, P7).
        await self.claim(self.first, "open")
        await self.claim(self.first, "done")
        await self.finish(self.first, "done")
        while (await self.process.stats())["total"]["kv/txn"] < 4:
            await asyncio.sleep(0.02)
        again = self.journal("a")
        unknown = ClaimOutcomeUnknown("owner_lost")
        self.assertEqual(await self.claim(again, "open"), unknown)
        self.assertIsInstance(await self.claim(again, "done"), Replay)

    async def test_partition_of_another_live_agent_is_not_claimed(self):
        await self.claim(self.first)
        self.live = {"a", "b"}
        second = self.journal("b")
        self.assertEqual(await self.claim(second), NotOwner("a"))
        self.live = {"b"}
        self.assertEqual(await self.claim(second, "k2"), Claimed(2))
        self.live = {"a", "b"}
        self.assertEqual(await self.claim(self.first, "k2"), NotOwner("b"))

    async def test_released_partition_is_taken_over(self):
        # Guards against a planned shutdown after which claims must wait (P9).
        await self.claim(self.first)
        await self.finish(self.first)
        await self.first.release_all()
        self.assertEqual(self.first.owned, [])
        self.live = {"a", "b"}
        self.assertIsInstance(await self.claim(self.journal("b")), Replay)

    async def test_released_partition_is_taken_over_without_a_request(self):
        await self.claim(self.first)
        await self.first.release_all()
        self.live = {"b"}
        second = self.journal("b")
        store = StoreClient.from_addresses([self.process.address])
        snapshot = await store.range(PARTITIONS_PREFIX)
        store.close()
        config = FleetConfig()
        config.apply(snapshot.entries)
        second.on_config(config)
        async with asyncio.timeout(10):
            while second.owned != [3]:
                await asyncio.sleep(0.02)

    async def test_no_claim_succeeds_while_the_store_is_down(self):
        # Guards against a request that starts without a recorded claim (F5, P7).
        await self.claim(self.first)
        for down in ("refuse", "close"):
            await self.process.set_faults(down=down)
            self.assertEqual(
                await self.claim(self.first, f"k-{down}"), JournalUnavailable()
            )
            self.assertEqual(await self.claim(self.first), AlreadyRunning("r1"))
            other = await self.claim(self.first, partition=4)
            self.assertEqual(other, JournalUnavailable())
            await self.process.set_faults()
        async with asyncio.timeout(10):
            while await self.claim(self.first, "k-close") != Claimed(1):
                await asyncio.sleep(0.1)

    async def test_lost_write_responses_cause_no_second_start(self):
        # Guards against a second start when responses to writes are lost (F7).
        await self.process.set_faults(lose_answer=0.5, seed=7)
        keys = [f"k{number}" for number in range(40)]
        results = await asyncio.gather(*(self.claim(self.first, k) for k in keys * 2))
        started = [r for r in results if isinstance(r, Claimed)]
        self.assertEqual(len(started), len(keys))
        self.assertEqual(set(results) - {Claimed(1)}, {AlreadyRunning("r1")})

    async def test_concurrent_claims_share_writes(self):
        # Guards against one store write per request.
        await self.process.set_faults(delay_ms=20)
        keys = [f"k{number}" for number in range(100)]
        await asyncio.gather(*(self.claim(self.first, key) for key in keys))
        self.assertLessEqual((await self.process.stats())["total"]["kv/txn"], 4)

    async def test_claim_of_a_cancelled_caller_is_abandoned(self):
        # Guards against a key that stays claimed although nothing was run.
        await self.process.set_faults(delay_ms=100)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.claim(self.first), 0.05)
        await self.process.set_faults()
        async with asyncio.timeout(10):
            while await self.claim(self.first, request_id="r2") != Claimed(1):
                await asyncio.sleep(0.05)

    async def test_tick_goes_on_after_an_unforeseen_error(self):
        # Guards against partitions that nothing releases or renews any more.
        ticked = []

        def apply(journal, partition, event):
            ticked.append(partition)
            if partition == 0:
                raise RuntimeError("unforeseen")

        with (
            mock.patch.object(ClaimJournal, "_apply", apply),
            mock.patch("heatherswitch.agent.journal.IDLE_TICK_S", 0.0),
            self.assertLogs("heatherswitch", "ERROR") as logs,
        ):
            await asyncio.sleep(3.5 * TICK_S)
        self.assertGreaterEqual(ticked.count(0), 2)
        self.assertGreaterEqual(ticked.count(1), 2)
        self.assertEqual(logs.records[0].partition, 0)
