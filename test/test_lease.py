import asyncio
import unittest

from heatherswitch.statecore.lease import Lease, LeaseLost
from heatherswitch.statecore.store import CompareFailed, StoreClient
from heatherswitch.util.clock import Clock
from test.store_process import StoreProcess


class ShiftedClock(Clock):
    """A clock that a test advances to simulate a pause of the process."""

    __slots__ = ("shift",)

    def __init__(self):
        super().__init__()
        self.shift = 0.0

    def now(self):
        return super().now() + self.shift


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await StoreProcess.start()
        self.addAsyncCleanup(self.process.stop)
        self.store = StoreClient.from_addresses([self.process.address], timeout_s=2)
        self.addCleanup(self.store.close)
        self.clock = ShiftedClock()

    def lease(self, owner: str, ttl_s: float = 30) -> Lease:
        return Lease(self.store, "owners/x", owner, ttl_s, self.clock)

    async def test_only_one_holder_until_release(self):
        first, second = self.lease("a"), self.lease("b")
        self.assertTrue(await first.acquire())
        self.assertFalse(await second.acquire())
        await first.release()
        self.assertTrue(await second.acquire())

    async def test_paused_holder_detects_expiry(self):
        # Guards against a write by a holder that was paused until its lease expired.
        lease = self.lease("a")
        await lease.acquire()
        self.assertTrue(lease.is_held(self.clock.now()))
        self.clock.shift = 25
        self.assertFalse(lease.is_held(self.clock.now()))
        with self.assertRaises(LeaseLost):
            _ = lease.fencing_compares

    async def test_write_by_former_holder_fails(self):
        # Guards against a former holder whose clock stopped, so that it regards its lease
        # as held.
        first = self.lease("a", ttl_s=1)
        await first.acquire()
        fence = first.fencing_compares
        second = self.lease("b")
        while not await second.acquire():
            await asyncio.sleep(0.1)
        with self.assertRaises(CompareFailed):
            await self.store.commit(fence, {"moves/1": b"late"})
        with self.assertRaises(LeaseLost):
            await first.keep_alive()

    async def test_lost_response_to_acquisition_is_read_back(self):
        # Guards against a key without an owner because the process that created it
        # regards the acquisition as failed when the response is lost.
        grant = self.store.grant

        async def grant_then_lose_response(ttl_s):
            lease_id = await grant(ttl_s)
            await self.process.set_faults(lose_answer=1)
            return lease_id

        class ResponseLosingStore:
            era = 0
            commit, get = self.store.commit, self.store.get
            grant, revoke = staticmethod(grant_then_lose_response), self.store.revoke

        lease = Lease(ResponseLosingStore(), "owners/x", "a", 30, self.clock)
        self.assertTrue(await lease.acquire())
        await self.store.commit(lease.fencing_compares, {"moves/1": b"ok"})

    async def test_keep_alive_extends_lease(self):
        lease = self.lease("a", ttl_s=30)
        await lease.acquire()
        self.clock.shift = 25
        await lease.keep_alive()
        self.assertTrue(lease.is_held(self.clock.now()))
