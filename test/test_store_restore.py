"""A store that is restored from a backup: lower revisions, and a later era."""

import asyncio
import unittest
from unittest import mock

from emulator.platform.deployment import (
    API_KEY,
    WORKSPACE,
    Deployment,
    build_configuration,
    build_route,
)
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.crash_publisher import CrashOutbox
from heatherswitch.gateway.crash_records import CRASH_PREFIX, encode_report
from heatherswitch.gateway.crash_report import CrashReport
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.store_sync import REWRITE_GRACE_S
from heatherswitch.gateway.store_view import StoreView
from heatherswitch.gateway.telemetry import Telemetry
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.store import PlatformStore
from heatherswitch.statecore.replica import Entry, KeyRange
from heatherswitch.statecore.store import (
    AmbiguousWrite,
    IncompleteWatch,
    Snapshot,
    StaleRead,
    StoreRestored,
    UnusableResponse,
    WatchBatch,
)
from heatherswitch.util.clock import Clock
from test.gateway_fakes import Driver, server

# Seconds within which a change must be in force, as on the platform's sites.
CHANGE_S = 2.0
# Seconds for which the store is away.
AWAY_S = 0.3
OTHER_KEY = "key-other"
# Further writes since the backup, so that the revisions afterwards are below.
LOST_WRITES = 40


class StoreViewTest(unittest.TestCase):
    """Guards CONFIG: what a view drops must not confirm it."""

    def setUp(self):
        self.view = StoreView()
        self.read(9, 1, Entry("a", 9, b"new"))

    def read(self, revision: int, era: int, *entries: Entry):
        part = Snapshot(revision, entries, 5.0, era)
        applied = self.view.take_range(part, KeyRange())
        self.view.complete(10.0, applied)
        return applied

    def test_older_responses_are_rejected(self):
        for part in (Snapshot(8, (), 6.0, 1), Snapshot(10, (), 6.0, 0)):
            with self.assertRaises(StaleRead):
                self.view.take_range(part, KeyRange())
            with self.assertRaises(StaleRead):
                self.view.take_batch(WatchBatch(part.revision, (), 6.0, part.era))
        self.assertEqual(self.view.with_prefix("a")[0].value, b"new")

    def test_incomplete_batch_is_rejected(self):
        with self.assertRaises(IncompleteWatch):
            self.view.take_batch(WatchBatch(11, (Entry("b", 11, b""),), 6.0, 1))

    def test_batch_of_a_later_era_is_rejected_whatever_its_revision(self):
        """Revisions that have passed the old ones look like a complete history."""
        for revision in (3, 9, 10):
            batch = WatchBatch(revision, (Entry("b", revision, b""),), 6.0, 2)
            with self.assertRaises(StoreRestored):
                self.view.take_batch(batch)

    def test_later_era_replaces_the_entries_by_lower_revisions(self):
        applied = self.read(4, 2, Entry("a", 4, b"old"))
        self.assertTrue(applied.restored)
        self.assertEqual([e.value for e in applied.changed], [b"old"])
        self.assertEqual((self.view.era, self.view.revision), (2, 4))
        with self.assertRaises(StaleRead):
            self.view.take_batch(WatchBatch(50, (), 9.0, 1))
        batch = WatchBatch(5, (Entry("a", 5, b"again"),), 9.0, 2)
        self.assertEqual(len(self.view.take_batch(batch).changed), 1)

    def test_ranges_of_two_eras_are_not_complete(self):
        first = self.view.take_range(Snapshot(9, (), 6.0, 1), KeyRange("a"))
        second = self.view.take_range(Snapshot(9, (), 6.0, 2), KeyRange("b"))
        with self.assertRaises(StoreRestored):
            self.view.complete(10.0, first, second)

    def test_first_response_is_no_restore(self):
        view = StoreView()
        applied = view.take_range(Snapshot(3, (), 1.0, 7), KeyRange())
        self.assertFalse(applied.restored)

    def test_store_that_begins_to_state_its_era_is_read_again(self):
        view = StoreView()
        view.complete(1.0, view.take_range(Snapshot(9, (), 1.0), KeyRange()))
        with self.assertRaises(StoreRestored):
            view.take_batch(WatchBatch(10, (Entry("a", 10, b""),), 2.0, 1))


class CarriedEntriesTest(unittest.TestCase):
    """Guards against removals that a restore only seems to tell of."""

    GRACE_S = 2.0

    def setUp(self):
        self.view = StoreView()
        self.take(9, 1, Entry("a", 8, b"a"), Entry("b", 9, b"b"), at=0.0)

    def take(self, revision: int, era: int, *entries: Entry, at: float) -> list[Entry]:
        part = Snapshot(revision, entries, at, era)
        applied = self.view.take_range(part, KeyRange())
        self.view.complete(at, applied)
        return applied.changed

    def keys(self) -> list[str]:
        return [entry.key for entry in self.view.with_prefix("")]

    def expire(self, now: float) -> list[str]:
        applied = self.view.expire(now, lambda key: self.GRACE_S)
        return [e.key for e in applied.changed if e.value is None]

    def test_lost_entry_stays_for_its_grace_period(self):
        self.assertEqual(self.take(4, 2, at=5.0), [])
        self.assertEqual((self.expire(6.9), self.keys()), ([], ["a", "b"]))
        # A second read of the same era removes nothing either.
        self.assertEqual(self.take(5, 2, at=6.9), [])
        self.assertEqual((self.expire(7.0), self.keys()), (["a", "b"], []))

    def test_entry_that_is_written_again_stays(self):
        self.take(4, 2, at=5.0)
        again = Entry("b", 5, b"b")
        changed = self.view.take_batch(WatchBatch(5, (again,), 6.0, 2)).changed
        self.assertEqual(changed, [again])
        self.assertEqual((self.expire(9.0), self.keys()), (["a"], ["b"]))

    def test_entry_that_is_deleted_in_the_new_era_goes_at_once(self):
        self.take(4, 2, at=5.0)
        deletion = Entry("b", 5, None)
        changed = self.view.take_batch(WatchBatch(5, (deletion,), 6.0, 2)).changed
        self.assertEqual((changed, self.keys()), ([deletion], ["a"]))

    def test_same_write_is_no_change(self):
        kept = Entry("a", 8, b"a")
        other = Entry("b", 9, b"another value at a revision of before")
        self.assertEqual(self.take(9, 2, kept, other, at=5.0), [other])
        self.assertEqual(self.expire(9.0), [])

    def test_entries_lost_in_two_restores(self):
        self.take(8, 2, Entry("a", 8, b"a"), at=5.0)
        self.take(1, 3, at=6.0)
        self.assertEqual((self.expire(7.9), self.keys()), ([], ["a", "b"]))
        self.assertEqual(self.expire(8.0), ["a", "b"])


class EraOfResponsesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against data of an era that the store has lost since."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.server = self.deployment.store
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.store = PlatformStore.from_address(
            self.server.address, Clock(), Timing.from_bounds()
        )
        self.addCleanup(self.store.close)

    async def restore_during(self, call):
        """Restores the store while the response to a call is on its way."""
        backup = self.server.back_up()
        self.server.hold_answers = 1
        late = asyncio.create_task(call)
        await asyncio.sleep(0.1)
        await self.server.restore(backup, 0.0)
        await self.store.get("op/config")
        self.server.release_answers()
        return await late

    async def test_late_read_of_an_earlier_era_is_dropped(self):
        with self.assertRaises(StaleRead):
            await self.restore_during(self.store.read_range(KeyRange("op/")))

    async def test_late_watch_of_an_earlier_era_is_dropped(self):
        self.server.put("op/a", {})
        with self.assertRaises(StaleRead):
            await self.restore_during(anext(self.store.watch("", 2)))

    async def test_write_acknowledged_in_an_earlier_era_may_be_lost(self):
        with self.assertRaises(AmbiguousWrite):
            await self.restore_during(self.store.commit({}, {"a": b"1"}))
        self.assertIsNone(await self.store.get("a"))

    async def test_pages_of_two_eras_are_no_snapshot(self):
        for number in range(60):
            self.server.put(f"servers/{number:02}", {})
        call, calls = self.store._call, []

        async def count(*args, **options):
            calls.append(await call(*args, **options))
            self.server.era += 1
            return calls[-1]

        counted = mock.patch.object(PlatformStore, "_call", side_effect=count)
        with counted, self.assertRaises(StoreRestored):
            await self.store.read_range(KeyRange("servers/"))
        self.assertEqual(len(calls), 2)

    async def test_responses_state_the_era_of_what_they_hold(self):
        self.server.put("a", {})
        self.server.era = 7
        snapshot = await self.store.read_range(KeyRange())
        batch = await anext(self.store.watch("", 2))
        entry = await self.store.get("a")
        eras = {snapshot.era, batch.era, entry.era, snapshot.entries[0].era}
        self.assertEqual((eras, self.store.era), ({7}, 7))

    async def test_store_without_eras(self):
        """A platform of before has no such header; all is of era 0."""
        self.server.era = None
        self.server.put("a", {})
        snapshot = await self.store.read_range(KeyRange())
        self.assertEqual((snapshot.era, len(snapshot.entries)), (0, 1))

    async def test_malformed_or_missing_era_is_an_error(self):
        await self.store.get("a")
        for era in ("x", "-1", "1" * 30, "²", None):
            self.server.era = era
            with self.subTest(era), self.assertRaises(UnusableResponse):
                await self.store.get("a")
            with self.subTest(era), self.assertRaises(AmbiguousWrite):
                await self.store.commit({}, {"a": b"1"})


class RestoreCase(unittest.IsolatedAsyncioTestCase):
    """A gateway whose store is restored from a backup some writes old."""

    KEYS = (API_KEY, OTHER_KEY)
    ERA: int | None = 1

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.store = self.deployment.store
        self.store.era = self.ERA
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(tenants=self.tenants(self.KEYS))
        for server_id in ("l1", "l2"):
            await self.deployment.add_server(server_id, "ledger")

    def tenants(self, keys) -> list[dict]:
        return [{"name": WORKSPACE, "api_keys": list(keys), "priority": 1}]

    def write_configuration(self, version: int, keys=KEYS, routes=()) -> None:
        document = build_configuration(version, tenants=self.tenants(keys))
        document["routes"] += routes
        self.store.put("op/config", document)

    def write_servers(self, **changes) -> None:
        """Lets the servers write their entries again."""
        for server_id, stand_in in self.deployment.servers.items():
            entry = stand_in.store_entry("ledger", seq=100, **changes)
            self.store.put(f"servers/{server_id}", entry)

    async def lose_writes(self, count: int = LOST_WRITES) -> None:
        """Lets the store take further writes, which a backup from before lacks."""
        for number in range(count):
            self.store.put("further", number)
        await self.wait_until_read()

    async def wait_until_read(self) -> None:
        """Waits until the gateway must have read all writes so far."""
        await asyncio.sleep(CHANGE_S)

    async def restore(self, backup, **options) -> None:
        await self.store.restore(backup, AWAY_S, **options)
        self.write_configuration(1)
        self.write_servers()

    async def status(self, path: str = "/lookup/1", key: str = API_KEY) -> int:
        status, _, _ = await self.deployment.call(path, Authorization=f"Bearer {key}")
        return status


class ChangesAfterRestoreTest(RestoreCase):
    """Guards CONFIG and DRAIN: changes after a restore were never read again.

    All responses counted as old, by their lower revisions, and still confirmed the
    configuration as current.
    """

    async def assert_changes_take_effect(self) -> None:
        self.assertEqual(await self.status(key=OTHER_KEY), 200)
        self.write_configuration(
            2, (API_KEY,), [build_route("/added/", "safe", "ledger")]
        )
        server = self.deployment.servers["l1"]
        entry = server.store_entry("ledger", seq=101, state="draining")
        self.store.put("servers/l1", entry)
        await asyncio.sleep(CHANGE_S)
        self.assertEqual(await self.status(key=OTHER_KEY), 401)
        self.assertEqual(await self.status("/added/1"), 200)
        self.assertFalse(self.deployment.gateway.routes_to("l1"))
        self.assertTrue(self.deployment.gateway.routes_to("l2"))

    async def test_history_that_the_store_lacks(self):
        backup = self.store.back_up()
        await self.lose_writes()
        await self.restore(backup)
        await self.assert_changes_take_effect()

    async def test_history_that_was_dropped(self):
        backup = self.store.back_up()
        await self.lose_writes()
        await self.restore(backup, keeps_history=False)
        await self.assert_changes_take_effect()

    async def test_two_restores(self):
        backup = self.store.back_up()
        for _ in range(2):
            await self.lose_writes()
            await self.restore(backup)
        await self.assert_changes_take_effect()


class StoreWithoutErasTest(RestoreCase):
    """A platform of before states no era, and keeps what it has acknowledged."""

    ERA = None

    async def test_changes_take_effect(self):
        self.write_configuration(2, (API_KEY,))
        await self.wait_until_read()
        self.assertEqual(await self.status(key=OTHER_KEY), 401)
        self.assertEqual(await self.status(), 200)

    async def test_revisions_that_go_back_confirm_nothing(self):
        """Guards CONFIG: the old configuration was taken for the newest for good."""
        backup = self.store.back_up()
        await self.lose_writes()
        await self.store.restore(backup, AWAY_S)
        await self.deployment.wait_until(lambda: not self.deployment.gateway.ready)
        await asyncio.sleep(Limits().key_max_age_s - CHANGE_S + 0.5)
        self.assertEqual(await self.status(key=OTHER_KEY), 503)


class LostEntriesTest(RestoreCase):
    """Guards DRAIN and BUDGET: what a restore has lost is neither taken back nor kept.

    Members were forgotten at once, and servers that had gone were used for good.
    """

    async def restore_without(self, backup) -> None:
        """Restores the store and waits until the gateway has read it."""
        await self.store.restore(backup, AWAY_S)
        await self.deployment.wait_until(lambda: self.restores.called)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch.object(Telemetry, "count_restore")
        self.restores = patch.start()
        self.addCleanup(patch.stop)

    async def test_evacuated_zone_stays_out_until_it_is_written_again(self):
        backup = self.store.back_up()
        self.store.put("op/evacuate/a", {})
        await self.wait_until_read()
        await self.restore_without(backup)
        gateway = self.deployment.gateway
        for _ in range(15):
            await asyncio.sleep(0.1)
            self.assertEqual(gateway.zones_out, {"a"})
        self.store.put("op/evacuate/a", {})
        await self.wait_until_read()
        self.assertEqual(gateway.zones_out, {"a"})
        self.store.delete("op/evacuate/a")
        await self.deployment.wait_until(lambda: not gateway.zones_out, CHANGE_S)

    async def test_servers_get_requests_until_they_are_written_again(self):
        backup = self.store.back_up()
        await self.deployment.add_server("l3", "ledger")
        await self.wait_until_read()
        await self.restore_without(backup)
        for _ in range(10):
            await asyncio.sleep(0.1)
            self.assertTrue(self.deployment.gateway.routes_to("l3"))
        self.write_servers()
        await asyncio.sleep(2 * CHANGE_S)
        self.assertTrue(self.deployment.gateway.routes_to("l3"))

    async def test_server_that_is_not_written_again_is_gone(self):
        """The pages: one that is missing two seconds after the store's return."""
        backup = self.store.back_up()
        await self.deployment.add_server("l3", "ledger")
        await self.wait_until_read()
        await self.restore_without(backup)
        await self.deployment.wait_until(
            lambda: not self.deployment.gateway.routes_to("l3"), 2 * CHANGE_S
        )
        self.assertTrue(self.deployment.gateway.routes_to("l1"))

    async def test_lost_crash_reports_stay_in_force(self):
        """Guards BUDGET: each request with the part crashed a server again."""
        backup = self.store.back_up()
        key, value = encode_report(
            CrashReport("other/1", "e1", 1, 1.0, self.deployment.clock.now(), ("a",))
        )
        self.store.put(key, value)
        await self.wait_until_read()
        quarantine = self.deployment.gateway._reducer.crashes._quarantine
        held = set(quarantine._reports)
        self.assertEqual(held, {key.removeprefix(CRASH_PREFIX)})
        await self.restore_without(backup)
        await asyncio.sleep(REWRITE_GRACE_S + CHANGE_S)
        self.assertEqual(set(quarantine._reports), held)

    async def test_other_gateways_count_until_they_register_again(self):
        """Guards BUDGET: fewer members than live ones get too large shares."""
        backup = self.store.back_up()
        self.store.put("heatherswitch/routers/other", {"owner": ""})
        await self.deployment.wait_until(
            lambda: self.deployment.gateway._reducer.fleet_size == 2, 8.0
        )
        await self.restore_without(backup)
        for _ in range(30):
            await asyncio.sleep(0.1)
            self.assertEqual(self.deployment.gateway._reducer.fleet_size, 2)


class DecidedRolloutTest(RestoreCase):
    """Guards decisions: operators waited for one that the store had lost."""

    ORDER = {"service": "ledger", "target": "v1", "duration_s": 30}

    async def wait_for_status(self) -> None:
        read = self.store.read
        await self.deployment.wait_until(
            lambda: b"completed" in (read("status/rollout/ledger") or b"")
        )

    async def test_decision_is_written_again(self):
        self.assertEqual(await self.status(), 200)
        backup = self.store.back_up()
        self.store.put("op/rollout/ledger", self.ORDER)
        await self.wait_for_status()
        await self.wait_until_read()
        await self.restore(backup)
        self.assertIsNone(self.store.read("status/rollout/ledger"))
        # Servers of another version make it one that needs evidence, if it began again.
        server = await self.deployment.add_server("l3", "ledger", version="v0")
        self.store.put("op/rollout/ledger", self.ORDER)
        await self.wait_for_status()
        self.assertEqual(len(server.received), 0)


class ServersOfTheBackupTest(unittest.TestCase):
    """Guards DRAIN: a backup lists servers that have gone or started again since."""

    def setUp(self):
        self.driver = Driver()
        self.list("l1", 5)
        self.list("l2", 5)

    def list(self, server_id: str, sequence: int, **changes) -> None:
        self.driver.add_servers(server(server_id, sequence=sequence, **changes))

    def used(self) -> set[str]:
        accepts = self.driver.reducer.server_accepts_work
        return {i for i in ("l1", "l2") if accepts(self.driver.now, i)}

    def restore(self) -> None:
        self.driver.apply(ev.StoreRestored(2))

    def remove(self, server_id: str) -> None:
        self.driver.apply(ev.ServerRemoved(server_id, after_outage=False))

    def test_server_that_has_gone_is_not_used_again(self):
        for sequence in (3, 5):
            self.remove("l1")
            self.restore()
            self.list("l1", sequence)
            self.assertEqual(self.used(), {"l2"})

    def test_server_that_lives_is_used_after_its_next_heartbeat(self):
        self.remove("l1")
        self.restore()
        self.list("l1", 5)
        self.list("l1", 6)
        self.assertEqual(self.used(), {"l1", "l2"})

    def test_server_that_stays_listed_is_used(self):
        """A heartbeat that changes only its number is no change of the entry."""
        self.remove("l1")
        self.restore()
        self.list("l1", 5)
        ttl_s = Limits().entry_ttl_s
        self.driver.advance(ttl_s - 0.1)
        self.assertEqual(self.used(), {"l2"})
        self.driver.advance(0.2)
        self.assertEqual(self.used(), {"l1", "l2"})

    def test_entry_that_comes_back_without_a_restore_is_used_at_once(self):
        """It expired in an outage although its server runs."""
        self.remove("l1")
        self.list("l1", 5)
        self.assertEqual(self.used(), {"l1", "l2"})

    def test_earlier_start_replaces_no_later_one(self):
        self.list("l1", 1, incarnation=7, host="10.0.0.9")
        self.restore()
        self.list("l1", 5, incarnation=1)
        table = self.driver.reducer._servers
        self.assertEqual(table.get("l1").record.host, "10.0.0.9")
        self.list("l1", 1, incarnation=8, host="10.0.0.8")
        self.assertEqual(table.get("l1").record.host, "10.0.0.8")

    def test_server_that_leaves_stays_out(self):
        self.list("l1", 6, draining=True)
        self.restore()
        self.list("l1", 5)
        self.assertEqual(self.used(), {"l2"})


class CrashReportRestoreTest(unittest.TestCase):
    """Guards the quarantine: gateways that start after a restore knew of no crash."""

    def test_own_reports_are_written_again(self):
        driver = Driver()
        reports = [
            CrashReport(f"{gateway}/1", server_id, 1, 99.0, 100.0, ("a",))
            for gateway, server_id in (("me", "e1"), ("other", "e2"))
        ]
        for report in reports:
            driver.apply(ev.CrashReported(report))
        driver.take_effects()
        driver.apply(ev.StoreRestored(2))
        self.assertEqual(driver.take_effects(), [ev.RepublishCrashes((reports[0],))])
        outbox = CrashOutbox()
        outbox.add(ev.RepublishCrashes((reports[0],)))
        self.assertEqual(outbox.next_batch(), dict([encode_report(reports[0])]))

    def test_gateway_without_reports_writes_none(self):
        driver = Driver()
        driver.take_effects()
        driver.apply(ev.StoreRestored(2))
        self.assertEqual(driver.take_effects(), [])


class RevisionsPassedTest(RestoreCase):
    """Guards CONFIG: a watch that goes on missed what the new era wrote before."""

    async def test_key_withdrawn_at_a_revision_of_the_former_era(self):
        await self.wait_until_read()
        backup = self.store.back_up()
        await self.lose_writes(5)
        # The gateway reads again only once the revisions have passed the old ones.
        self.store.refuse = 503
        await self.store.restore(backup, 0.0)
        self.write_configuration(2, (API_KEY,))
        self.write_servers()
        for number in range(10):
            self.store.put("further", number)
        self.store.refuse = 0
        await asyncio.sleep(CHANGE_S)
        self.assertEqual(await self.status(key=OTHER_KEY), 401)
        self.assertEqual(await self.status(), 200)


if __name__ == "__main__":
    unittest.main()
