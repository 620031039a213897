"""Leases of a store that is restored from a backup: ids and revisions occur again."""

import unittest

from emulator.platform.store import PlatformStoreServer
from heatherswitch.gateway.crash_publisher import CrashOutbox, CrashPublisher
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.store import PlatformStore
from heatherswitch.statecore.lease import Lease, LeaseLost
from heatherswitch.statecore.store import CompareFailed
from heatherswitch.util.clock import Clock

KEY = "owners/x"
TTL_S = 30.0
# Revisions that the former era used after the backup.
LOST_WRITES = 20


class LeaseCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.clock = Clock()

    def store(self) -> PlatformStore:
        store = PlatformStore.from_address(
            self.server.address, self.clock, Timing.from_bounds()
        )
        self.addCleanup(store.close)
        return store

    async def acquire(self, owner: str, key: str = KEY) -> Lease:
        lease = Lease(self.store(), key, owner, TTL_S, self.clock, f"{key}/")
        self.assertTrue(await lease.acquire())
        return lease

    async def write(self, fence: dict[str, int], value: bytes) -> None:
        await self.store().commit(fence, {"status": value})

    def fill_revisions(self, up_to: int) -> None:
        while self.server.data.revision < up_to:
            self.server.put("further", 0)


class LeaseRestoreTest(LeaseCase):
    """Guards against two holders that act at once after a restore."""

    async def test_write_of_a_former_holder_whose_revision_occurs_again(self):
        """Guards the decisions on rollouts: a late write passed the new holder's fence."""
        backup = self.server.back_up()
        former = await self.acquire("a")
        fence = former.fencing_compares
        await self.server.restore(backup, 0.0)
        self.fill_revisions(fence[KEY] - 1)
        holder = await self.acquire("b")
        self.assertEqual(holder.fencing_compares[KEY], fence[KEY])
        with self.assertRaises(CompareFailed):
            await self.write(fence, b"late")
        await self.write(holder.fencing_compares, b"holder")

    async def test_renewal_of_a_lease_whose_id_occurs_again(self):
        """It prolonged the other's lease for good, and each of both saw itself as holder."""
        backup = self.server.back_up()
        former = await self.acquire("a")
        await self.server.restore(backup, 0.0)
        holder = await self.acquire("b")
        with self.assertRaises(LeaseLost):
            await former.keep_alive()
        self.assertFalse(former.is_held(self.clock.now()))
        await holder.keep_alive()

    async def test_release_ends_no_lease_of_another(self):
        backup = self.server.back_up()
        former = await self.acquire("a", "members/a")
        await self.server.restore(backup, 0.0)
        holder = await self.acquire("b", "members/b")
        # The former holder has seen the new era by another call.
        await former._store.get("further")
        await former.release()
        await holder.keep_alive()

    async def test_lease_of_the_backup_goes_on(self):
        holder = await self.acquire("a")
        backup = self.server.back_up()
        self.fill_revisions(self.server.data.revision + LOST_WRITES)
        await self.server.restore(backup, 0.0)
        await holder.keep_alive()
        self.assertTrue(holder.is_held(self.clock.now()))
        await self.write(holder.fencing_compares, b"holder")

    async def test_acquisition_across_a_restore_leaves_no_key(self):
        """The key would stay for as long as another lease with the same id is renewed."""
        other = await self.acquire("other", "members/other")
        lease = Lease(self.store(), KEY, "a", TTL_S, self.clock, f"{KEY}/")
        backup = self.server.back_up()
        grant = lease._store.grant

        async def grant_then_restore(ttl_s):
            lease_id = await grant(ttl_s)
            await self.server.restore(backup, 0.0)
            # Gets the same id in the new era.
            await self.acquire("b", "members/b")
            return lease_id

        lease._store = GrantingStore(lease._store, grant_then_restore)
        self.assertFalse(await lease.acquire())
        self.assertIsNone(self.server.read(KEY))
        await other.keep_alive()


class GrantingStore:
    """A store client with another way to grant leases."""

    def __init__(self, store: PlatformStore, grant) -> None:
        self._store = store
        self.grant = grant

    def __getattr__(self, name: str):
        return getattr(self._store, name)


class CrashRecordLeaseTest(LeaseCase):
    async def test_records_are_not_attached_to_the_lease_of_another(self):
        """Guards the quarantine: they went with a lease that ended at once."""
        backup = self.server.back_up()
        store = self.store()
        publisher = CrashPublisher(store, CrashOutbox(), self.clock)
        await publisher._write({"crashes/1": b"{}"})
        await self.server.restore(backup, 0.0)
        holder = await self.acquire("b", "members/b")
        await store.get("further")
        await publisher._write({"crashes/1": b"{}"})
        await holder.release()
        self.assertIsNotNone(self.server.read("crashes/1"))


if __name__ == "__main__":
    unittest.main()
