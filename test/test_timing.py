"""Times that follow from the bounds of a deployment: tight, first and wide ones."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from heatherswitch.fleet.shares import UNKNOWN_FLEET
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.timing import Timing
from heatherswitch.platform.settings import SettingsError, parse_gateway_config
from test.gateway_fakes import Driver
from test.test_platform_formats import SETTINGS

# Seconds of a call to the store.
CALL_S = 0.05


def settings(**bounds) -> dict:
    """Returns settings with some bounds replaced."""
    return SETTINGS | {"bounds": SETTINGS.get("bounds", {}) | bounds}


class TimingTest(unittest.TestCase):
    @given(st.floats(0.5, 20), st.floats(2, 30))
    def test_change_is_known_in_time_although_an_answer_is_lost(
        self, change_s, key_age_s
    ):
        """Guards DRAIN and CONFIG on deployments with other bounds."""
        timing = Timing.from_bounds(change_s, key_age_s)
        lost_s = timing.watch_pause_s + timing.watch_timeout_s + CALL_S
        self.assertLess(lost_s, change_s)
        self.assertGreater(timing.watch_pause_s, 0)

    @given(st.floats(0.5, 20), st.floats(2, 30))
    def test_reachable_store_keeps_a_gateway_ready(self, change_s, key_age_s):
        """A watch that is answered in time never makes the gateway not ready."""
        timing = Timing.from_bounds(change_s, key_age_s)
        oldest_s = timing.watch_pause_s + timing.watch_wait_s + CALL_S
        self.assertLess(oldest_s, timing.ready_age_s)
        self.assertLess(timing.ready_age_s, key_age_s)

    @given(st.floats(0.5, 20))
    def test_one_lost_answer_is_no_outage(self, change_s):
        """A server that was removed meanwhile would get work for two seconds more."""
        timing = Timing.from_bounds(change_s)
        lost_s = timing.watch_pause_s + timing.watch_timeout_s
        self.assertLess(lost_s, timing.outage_s)

    def test_first_deployments_keep_their_times(self):
        timing = Timing.from_bounds(2.0, 4.5)
        self.assertAlmostEqual(timing.watch_pause_s, 0.6)
        self.assertAlmostEqual(timing.ready_age_s, 2.0)
        self.assertAlmostEqual(timing.outage_s, 2.0)

    def test_wider_bounds_ask_the_store_less_often(self):
        pauses = [Timing.from_bounds(s).watch_pause_s for s in (1, 2, 3, 4)]
        self.assertEqual(pauses, sorted(set(pauses)))


class SettingsTest(unittest.TestCase):
    def test_tightest_bound_decides(self):
        tree = settings(drain_ms=4000, config_apply_ms=3000, evacuate_ms=5000)
        timing = parse_gateway_config(tree).limits.timing
        self.assertEqual(timing.refuse_age_s, 3.0)

    def test_bound_of_zero_is_an_error(self):
        with self.assertRaises(SettingsError):
            parse_gateway_config(settings(drain_ms=0))

    def test_fleet_is_bounded_by_the_rates_of_the_store(self):
        """The large deployment has 68 gateways and 3,200 writes a second."""
        platform = SETTINGS["platform"] | {"writes_per_s": 3200}
        limits = parse_gateway_config(SETTINGS | {"platform": platform}).limits
        self.assertGreaterEqual(limits.expected_fleet, 68)


class StartTest(unittest.TestCase):
    def test_gateways_that_start_together_share_the_retry_budget(self):
        """Each sees only itself; with full shares all would exceed the budget."""
        limits = Limits(budget_slack=176, expected_fleet=160)
        driver = Driver(limits, routers=("me",))
        first = driver.reducer._budget_burst(driver.now)
        self.assertLess(68 * first, 176)
        driver.now += limits.timing.member_ttl_s
        self.assertGreater(driver.reducer._budget_burst(driver.now), 100)

    def test_default_fleet(self):
        self.assertEqual(replace(Limits()).expected_fleet, UNKNOWN_FLEET)


if __name__ == "__main__":
    unittest.main()
