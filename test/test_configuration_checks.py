"""Tests the soak's checks of the configuration in force on constructed histories."""

import unittest

from emulator.platform.configuration_checks import (
    APPLY_S,
    MIN_ADDED_CALLS,
    ROLLBACK_SLACK_S,
    count_served,
    find_configuration_violations,
)
from emulator.platform.deployment import HOST
from emulator.platform.server import ReceivedRequest
from emulator.platform.soak_checks import CONTACT_S, Call, History, Interval
from emulator.platform.soak_configuration import ConfigurationVersion

KEY = "key-1"
# When the second version is written, in seconds; the gateway starts at 1.
CHANGE_AT = 100.0
LATE = CHANGE_AT + APPLY_S + 0.1


class ConfigurationChecksCase(unittest.TestCase):
    """Builds histories of calls to one gateway around a change of the configuration.

    The first version has the routes /lookup/, /old/ and /moved/ of the ledger; the
    second one has /added/ in place of /old/, and /moved/ is one of the registry.
    """

    def setUp(self):
        prefixes = ("/lookup/", "/old/", "/moved/")
        first = {(HOST, prefix): ("ledger",) for prefix in prefixes}
        second = {
            (HOST, "/lookup/"): ("ledger",),
            (HOST, "/added/"): ("ledger",),
            (HOST, "/moved/"): ("registry",),
        }
        keys = frozenset({KEY})
        self.history = History(
            versions=[
                ConfigurationVersion(3, 0.5, first, keys | {"key-2"}),
                ConfigurationVersion(7, CHANGE_AT, second, keys),
            ],
            services={"l1": "ledger", "r1": "registry"},
            starts={"g1": [1.0]},
        )

    def add_call(self, path: str, sent_at: float, status=200, server="", key=KEY):
        """Adds a call that ends after 0.1 s, and its run if a server is given."""
        call = Call(f"r{len(self.history.calls)}", path, key, sent_at, status)
        call.gateway, call.ended_at = "g1", sent_at + 0.1
        self.history.calls.append(call)
        if server:
            fields = {"x-attempt-id": call.id}
            run = ReceivedRequest("GET", path, fields, b"", sent_at + 0.05, server)
            self.history.runs.append(run)

    def check(self) -> str:
        return " ".join(find_configuration_violations(self.history))


class OldConfigurationTest(ConfigurationChecksCase):
    """Tests the check of requests that only an older version allows."""

    def test_requests_as_the_newest_version_says(self):
        self.add_call("/added/1", LATE, server="l1")
        self.add_call("/moved/1", LATE, server="r1")
        self.add_call("/old/1", LATE, 404)
        self.add_call("/lookup/1", LATE, 401, key="key-2")
        self.assertEqual(self.check(), "")

    def test_each_way_to_follow_an_older_version_is_found(self):
        for path, status, server, key in (
            ("/added/1", 404, "", KEY),
            ("/old/1", 200, "l1", KEY),
            ("/old/1", 0, "l1", KEY),
            ("/moved/1", 200, "l1", KEY),
            ("/lookup/1", 200, "l1", "key-2"),
        ):
            with self.subTest(path=path, status=status, key=key):
                self.setUp()
                self.add_call(path, LATE, status, server, key)
                self.assertIn("old configuration", self.check())

    def test_both_versions_hold_until_the_newer_one_must_be_in_force(self):
        for sent_at in (CHANGE_AT + 0.1, CHANGE_AT + APPLY_S - 0.1):
            self.add_call("/added/1", CHANGE_AT + 0.1, 404)
            self.add_call("/moved/1", sent_at, server="l1")
            self.add_call("/moved/1", sent_at, server="r1")
        found = self.check()
        self.assertNotIn("old configuration", found)
        self.assertNotIn("never allowed", found)

    def test_only_a_gateway_out_of_touch_is_excused(self):
        fault = Interval("", LATE - CONTACT_S - 1.0, LATE - CONTACT_S + 0.1)
        link = Interval("g1", LATE - 1.0, LATE - 0.9)
        for excused, changes in (
            (True, {"store_faults": [fault]}),
            (True, {"store_faults": [link]}),
            (True, {"disturbed": {"g1": [(LATE - 0.5, LATE - 0.4)]}}),
            (True, {"starts": {"g1": [LATE - 1.0]}}),
            (True, {"starts": {"g1": [1.0, LATE - 1.0]}}),
            (False, {"store_faults": [Interval("g2", LATE - 1.0)]}),
            (False, {"store_faults": [Interval("", 1.0, LATE - CONTACT_S - 0.1)]}),
            (False, {"disturbed": {"g2": [(LATE - 0.5, LATE)]}}),
        ):
            with self.subTest(changes=changes):
                self.setUp()
                self.add_call("/added/1", LATE, 404)
                for name, value in changes.items():
                    setattr(self.history, name, value)
                self.assertEqual(self.check() == "", excused)

    def test_what_no_version_allows_is_found_at_any_gateway(self):
        for path, status, server, key in (
            ("/lookup/1", 404, "", KEY),
            ("/lookup/1", 401, "", KEY),
            ("/lookup/1", 403, "", KEY),
            ("/lookup/1", 200, "r1", KEY),
            ("/lookup/1", 200, "l1", "key-3"),
            ("/added/1", 200, "r1", KEY),
        ):
            with self.subTest(path=path, status=status, key=key):
                self.setUp()
                self.history.store_faults = [Interval("", 0.0)]
                self.add_call(path, LATE, status, server, key)
                self.assertIn("never allowed", self.check())

    def test_longest_prefix_selects_the_route(self):
        split = ("ledger", "registry")
        services = {(HOST, "/lookup/"): ("ledger",), (HOST, "/lookup/part/"): split}
        version = ConfigurationVersion(9, CHANGE_AT, services, frozenset({KEY}))
        for path, found in (
            ("/lookup/1", ("ledger",)),
            ("/lookup/part/1", split),
            ("/lookup/part", ("ledger",)),
            ("/lookups/1", ()),
        ):
            self.assertEqual(version.find_services(HOST, path), found)
        self.assertEqual(version.find_services("fair.example", "/lookup/1"), ())


class RegressionTest(ConfigurationChecksCase):
    """Tests the check of a process that goes back to an older version."""

    def setUp(self):
        super().setUp()
        # Never in touch, which does not excuse a regression.
        self.history.store_faults = [Interval("", 0.0)]

    def add_calls(self, gap_s: float) -> None:
        self.add_call("/moved/1", CHANGE_AT + 0.1, server="r1")
        seen_at = CHANGE_AT + 0.15
        self.add_call("/moved/1", seen_at + gap_s, server="l1")

    def test_older_version_after_a_newer_one_is_found(self):
        self.add_calls(ROLLBACK_SLACK_S + 0.1)
        self.assertIn("regression", self.check())

    def test_404_after_an_added_route_was_served_is_found(self):
        self.add_call("/added/1", CHANGE_AT + 0.1, server="l1")
        self.add_call("/added/1", CHANGE_AT + 1.0, 404)
        self.assertIn("regression", self.check())

    def test_requests_within_the_slack_and_other_processes_are_none(self):
        self.add_calls(ROLLBACK_SLACK_S - 0.1)
        self.assertEqual(self.check(), "")
        self.setUp()
        self.add_calls(1.0)
        self.history.starts = {"g1": [1.0, CHANGE_AT + 0.5]}
        self.assertEqual(self.check(), "")

    def test_what_both_versions_allow_is_none(self):
        self.add_call("/added/1", CHANGE_AT + 0.1, server="l1")
        self.add_call("/lookup/1", CHANGE_AT + 1.0, server="l1")
        self.assertEqual(self.check(), "")


class ShareTest(ConfigurationChecksCase):
    """Tests the check of the share of requests that are served on added routes."""

    def add_calls(self, served: int, refused: int, sent_at: float = LATE) -> None:
        for number in range(20):
            self.add_call("/lookup/1", sent_at + number / 100, server="l1")
        for _ in range(served):
            self.add_call("/added/1", sent_at, server="l1")
        for _ in range(refused):
            self.add_call("/added/1", sent_at, 503)

    def test_added_routes_that_are_rarely_served_are_found(self):
        self.add_calls(4, MIN_ADDED_CALLS)
        self.assertIn("added routes: 4 of 24", self.check())

    def test_added_routes_that_are_served_are_none(self):
        self.add_calls(8, MIN_ADDED_CALLS)
        self.assertEqual(self.check(), "")
        self.assertEqual(count_served(self.history)["added"], (8, 28))

    def test_calls_at_gateways_out_of_touch_and_abandoned_ones_are_not_counted(self):
        self.add_calls(0, MIN_ADDED_CALLS, CHANGE_AT + 1.0)
        self.assertEqual(self.check(), "")
        self.setUp()
        self.add_calls(0, MIN_ADDED_CALLS)
        for call in self.history.calls:
            call.left = True
        self.assertEqual(self.check(), "")
        self.setUp()
        self.add_calls(0, MIN_ADDED_CALLS)
        self.history.store_faults = [Interval("", LATE - 1.0, LATE)]
        self.assertEqual(self.check(), "")


if __name__ == "__main__":
    unittest.main()
