"""Rollouts while the store is restored from a backup, which may lack order or decision."""

import unittest

from emulator.platform.store import PlatformStoreServer
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.response_speed import AttemptTimes
from heatherswitch.gateway.rollout_owner import RolloutOwner
from heatherswitch.gateway.rollout_table import (
    EARLIER_ORDER_GRACE_S,
    ORDER_REWRITE_S,
    RolloutTable,
)
from heatherswitch.gateway.rollouts import (
    ExposureLimit,
    RolloutOrder,
    RolloutState,
    rollout_id,
)
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.reader import PlatformReader
from heatherswitch.platform.store import PlatformStore
from heatherswitch.statecore.replica import Position
from heatherswitch.util.clock import Clock

ORDER_KEY = "op/rollout/ledger"
STATUS_KEY = "status/rollout/ledger"
ORDER = {"service": "ledger", "target": "v2", "duration_s": 12.0}


def order(revision: int, era: int = 1, target: str = "v2") -> ev.RolloutOrdered:
    content = RolloutOrder("ledger", target, 12.0, Position(era, revision))
    return ev.RolloutOrdered("ledger", content)


class RolloutTableRestoreTest(unittest.TestCase):
    """Guards EXPOSURE and decisions: a restore began a rollout again from nothing."""

    def setUp(self):
        self.table = RolloutTable("g", 1, ExposureLimit())
        self.apply(0.0, order(20))

    @property
    def rollout(self):
        return self.table.by_service["ledger"]

    def apply(self, now: float, event: ev.RolloutOrdered) -> None:
        self.table.on_order(now, event, {"v1", "v2"})

    def read_status(self, state: RolloutState, revision: int, era: int = 1) -> None:
        position = Position(era, revision)
        self.table.on_status(ev.RolloutStatusRead("ledger", "v2", state, position))

    def test_order_that_is_written_again_goes_on(self):
        before = self.rollout
        before.apply_progress(5.0, 1, 5.0)
        self.table.note_restored(5.0)
        # Its revision may be below, the same or above, and it may be written twice.
        for revision in (12, 20, 25):
            self.apply(6.0, order(revision, era=2))
            self.assertIs(self.rollout, before)
        self.assertEqual((self.rollout.stage, self.rollout.elapsed_s(6.0)), (1, 6.0))

    def test_decision_is_final(self):
        self.read_status(RolloutState.ROLLED_BACK, 22)
        self.table.note_restored(5.0)
        self.apply(5.1, order(12, era=2))
        self.read_status(RolloutState.RUNNING, 13, era=2)
        self.read_status(RolloutState.COMPLETED, 14, era=2)
        self.assertIs(self.rollout.state, RolloutState.ROLLED_BACK)
        self.assertTrue(self.rollout.decision_lost)
        self.read_status(RolloutState.ROLLED_BACK, 15, era=2)
        self.assertFalse(self.rollout.decision_lost)

    def test_decision_must_be_recorded_after_the_order(self):
        """Else a gateway that starts later would take it for that of an earlier order."""
        self.read_status(RolloutState.COMPLETED, 22)
        self.table.note_restored(5.0)
        self.apply(5.1, order(12, era=2))
        self.read_status(RolloutState.COMPLETED, 13, era=2)
        self.apply(5.2, order(14, era=2))
        self.assertTrue(self.rollout.decision_lost)

    def test_status_of_an_earlier_order_does_not_decide(self):
        """Any position of the new era is later than the order of the former one."""
        self.table.note_restored(5.0)
        self.apply(5.1, order(20, era=2))
        self.read_status(RolloutState.ROLLED_BACK, 18, era=2)
        self.assertIs(self.rollout.state, RolloutState.RUNNING)

    def test_repeated_order_long_after_a_restore_is_a_new_rollout(self):
        before = self.rollout
        self.table.note_restored(5.0)
        self.apply(5.0 + ORDER_REWRITE_S, order(30, era=2))
        self.assertIsNot(self.rollout, before)

    def test_earlier_order_of_the_backup_waits_for_the_lost_one(self):
        """Its version was in force since, and the lost order's one is not proven."""
        before = self.rollout
        self.table.note_restored(5.0)
        self.apply(5.1, order(11, era=2, target="v1"))
        self.assertIs(self.rollout, before)
        self.apply(6.0, order(13, era=2))
        self.table.tick(5.0 + EARLIER_ORDER_GRACE_S, lambda service: {"v1", "v2"})
        self.assertIs(self.rollout, before)

    def test_earlier_order_of_the_backup_holds_if_none_is_written(self):
        self.table.note_restored(5.0)
        self.apply(5.1, order(11, era=2, target="v1"))
        self.table.tick(5.0 + EARLIER_ORDER_GRACE_S, lambda service: {"v1", "v2"})
        self.assertEqual(self.rollout.order.target, "v1")

    def test_gateways_share_evidence_under_the_new_order(self):
        """One that has started since knows only the order of the new era."""
        self.table.note_restored(5.0)
        self.apply(5.1, order(12, era=2))
        self.rollout.count_response(5.2, "/r/", "v2", True, AttemptTimes(5.0, 0.1))
        self.rollout.advance_evidence(6.0)
        moves = {record.move for record in self.rollout.own_evidence(6.0, "g")}
        self.assertEqual(moves, {rollout_id(order(12, era=2).order)})


class DecisionRestoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards decisions: a lost one was not written again, and operators waited for it."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.clock = Clock()
        self.store = PlatformStore.from_address(
            self.server.address, self.clock, Timing.from_bounds()
        )
        self.addCleanup(self.store.close)
        self.owner = RolloutOwner(
            self.store, PlatformReader(), "g", self.clock, lambda: self.table.by_service
        )
        self.table = RolloutTable("g", 1, ExposureLimit())
        self.put_order()
        self.backup = self.server.back_up()
        await self.owner._acquire_or_renew_lease()
        await self.owner._write_decision(
            "ledger", self.rollout, RolloutState.ROLLED_BACK
        )
        await self.owner._lease.release()
        self.owner._lease = None

    @property
    def rollout(self):
        return self.table.by_service["ledger"]

    def put_order(self) -> None:
        revision = self.server.put(ORDER_KEY, ORDER)
        self.table.on_order(
            self.clock.now(), order(revision, self.server.era), {"v1", "v2"}
        )

    async def restore(self) -> None:
        await self.server.restore(self.backup, 0.0)
        await self.store.get("further")
        self.table.note_restored(self.clock.now())

    async def restore_decision(self) -> None:
        await self.owner._restore_decision("ledger", self.rollout)

    async def test_lost_decision_is_written_again(self):
        await self.restore()
        self.put_order()
        await self.restore_decision()
        self.assertIn(b"rolled_back", self.server.read(STATUS_KEY))
        self.assertFalse(self.rollout.decision_lost)

    async def test_decision_is_not_written_before_its_order(self):
        await self.restore()
        await self.restore_decision()
        self.assertIsNone(self.server.read(STATUS_KEY))
        self.assertTrue(self.rollout.decision_lost)

    async def test_status_of_a_later_order_stays(self):
        await self.restore()
        self.put_order()
        self.server.put(STATUS_KEY, {"state": "running", "target": "v3"})
        await self.restore_decision()
        self.assertIn(b"v3", self.server.read(STATUS_KEY))

    async def test_running_status_of_a_gateway_that_started_since_is_replaced(self):
        await self.restore()
        self.put_order()
        self.server.put(STATUS_KEY, {"state": "running", "target": "v2"})
        await self.restore_decision()
        self.assertIn(b"rolled_back", self.server.read(STATUS_KEY))

    async def test_status_revisions_of_an_earlier_era_are_not_used(self):
        """A status that had their revision by chance would have been overwritten."""
        key = STATUS_KEY
        self.owner._status_revisions[key] = 1_000
        await self.restore()
        self.put_order()
        self.rollout.state = RolloutState.RUNNING
        await self.owner._acquire_or_renew_lease()
        self.owner._status_revisions[key] = 1_000
        await self.owner._write_progress("ledger", self.rollout, 0)
        self.assertIn(b"running", self.server.read(STATUS_KEY))


if __name__ == "__main__":
    unittest.main()
