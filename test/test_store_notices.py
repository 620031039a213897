"""Servers of which the store says that they are leaving or gone; rule DRAIN."""

import unittest

from heatherswitch.gateway import events as ev
from test.gateway_fakes import Driver, server


class NoticeAgeTest(unittest.TestCase):
    """Guards against notices that get older and older without a trace in the logs."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1"), server("l2"))
        self.driver.take_effects()
        self.driver.now += 1.5

    def test_notice_of_the_store_is_reported_once_with_its_greatest_age(self):
        for _ in range(2):
            self.driver.add_servers(server("l1", draining=True))
        self.assertEqual(
            self.driver.take_effects(),
            [ev.ServerTakenOut("l1", "", "leaving", "store", 1.5)],
        )

    def test_removed_entry_is_reported_unless_the_server_was_leaving(self):
        self.driver.add_servers(server("l2", draining=True))
        self.driver.take_effects()
        for server_id in ("l1", "l2"):
            self.driver.apply(ev.ServerRemoved(server_id, after_outage=False))
        self.assertEqual(
            self.driver.take_effects(),
            [ev.ServerTakenOut("l1", "", "removed", "store", 1.5)],
        )

    def test_forwarded_request_states_the_age_of_the_server_list(self):
        self.assertEqual(self.driver.decide("/safe/1").servers_age_s, 1.5)


class RevokedNoticeTest(unittest.TestCase):
    """Guards DRAIN: an entry of a start that leaves took it in again."""

    def setUp(self):
        self.driver = Driver()
        self.driver.add_servers(server("l1"), server("l2"))

    def assert_only_the_other_is_used(self):
        used = {self.driver.decide("/safe/1").server.id for _ in range(6)}
        self.assertEqual(used, {"l2"})

    def test_entry_of_a_start_that_leaves_does_not_return_it(self):
        self.driver.add_servers(server("l1", draining=True), server("l1"))
        self.assert_only_the_other_is_used()

    def test_entry_that_is_back_after_its_removal_does_not_return_it(self):
        self.driver.add_servers(server("l1", draining=True))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.add_servers(server("l1"))
        self.assert_only_the_other_is_used()

    def test_late_heartbeat_of_a_start_whose_entry_was_removed_does_not_return_it(self):
        """Some servers leave without saying so; their entries are only removed."""
        self.driver.add_servers(server("l1", sequence=5))
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.add_servers(server("l1", sequence=4))
        self.assert_only_the_other_is_used()

    def test_start_whose_entry_lapsed_is_back_with_its_next_heartbeat(self):
        self.driver.add_servers(server("l1", sequence=5))
        for server_id in ("l1", "l2"):
            self.driver.apply(ev.ServerRemoved(server_id, after_outage=False))
        self.driver.add_servers(server("l1", sequence=6))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_late_heartbeat_changes_nothing_but_its_notice_counts(self):
        self.driver.add_servers(server("l1", sequence=5, slots=9))
        self.driver.add_servers(server("l1", sequence=4, slots=3))
        record = self.driver.reducer._servers.get("l1").record
        self.assertEqual((record.slots, record.sequence), (9, 5))
        self.driver.add_servers(server("l1", sequence=4, draining=True))
        self.assert_only_the_other_is_used()

    def test_entry_without_a_stated_start_follows_its_newest_state(self):
        """It may be one of a new start, which nothing else tells apart."""
        for draining in (True, False):
            entry = server("l3", incarnation=0, draining=draining)
            self.driver.add_servers(entry)
        used = {self.driver.decide("/safe/1").server.id for _ in range(9)}
        self.assertIn("l3", used)

    def test_new_start_under_the_id_is_used(self):
        self.driver.add_servers(server("l1", draining=True))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.add_servers(server("l1", incarnation=2))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")


if __name__ == "__main__":
    unittest.main()
