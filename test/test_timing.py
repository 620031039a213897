"""Intervals and timeouts derived from tight, default and wide bounds of a deployment."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from heatherswitch.fleet.shares import DEFAULT_FLEET_SIZE
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.timing import Timing, WatchPacing
from heatherswitch.platform.settings import SettingsError, parse_gateway_config
from test.gateway_fakes import Driver
from test.test_platform_formats import SETTINGS

# Duration of a call to the store, in seconds.
CALL_S = 0.05


def settings(**bounds) -> dict:
    """Returns settings in which some bounds are replaced."""
    return SETTINGS | {"bounds": SETTINGS.get("bounds", {}) | bounds}


class TimingTest(unittest.TestCase):
    @given(st.floats(0.5, 20), st.floats(2, 30))
    def test_change_is_read_in_time_if_a_watch_response_is_lost(
        self, change_s, key_age_s
    ):
        """Guards the rules DRAIN and CONFIG on deployments with other bounds."""
        timing = Timing.from_bounds(change_s, key_age_s)
        lost_s = timing.watch_wait_s + timing.answer_timeout_s + CALL_S
        self.assertLess(lost_s, change_s)
        self.assertGreater(timing.watch_pause_s, 0)

    @given(st.floats(0.5, 20), st.floats(2, 30))
    def test_gateway_stays_ready_while_the_store_responds(self, change_s, key_age_s):
        """A watch call that is answered in time never makes the gateway not ready."""
        timing = Timing.from_bounds(change_s, key_age_s)
        oldest_s = timing.watch_wait_s + CALL_S
        self.assertLess(oldest_s, timing.ready_age_s)
        self.assertLess(timing.ready_age_s, key_age_s)

    @given(st.floats(0.5, 20))
    def test_one_lost_watch_response_is_no_outage(self, change_s):
        """After an outage, a removed server would get requests for two more seconds."""
        timing = Timing.from_bounds(change_s)
        lost_s = timing.watch_wait_s + timing.answer_timeout_s
        self.assertLess(lost_s, timing.outage_s)

    @given(st.floats(0.5, 20), st.floats(0.05, 2))
    def test_store_is_never_asked_to_hold_a_call_for_a_negative_time(
        self, change_s, key_age_s
    ):
        """Guards deployments whose keys must be revoked within a few 100 ms."""
        timing = Timing.from_bounds(change_s, key_age_s)
        self.assertGreater(timing.watch_wait_s, 0)
        self.assertGreater(timing.watch_pause_s, 0)

    def test_times_of_the_default_bounds(self):
        timing = Timing.from_bounds(2.0, 4.5)
        self.assertAlmostEqual(timing.watch_wait_s, 0.9)
        self.assertAlmostEqual(timing.watch_pause_s, 0.675)
        self.assertAlmostEqual(timing.ready_age_s, 2.0)
        self.assertAlmostEqual(timing.outage_s, 2.0)

    def test_wider_bounds_lead_to_fewer_store_calls(self):
        timings = [Timing.from_bounds(s) for s in (1, 2, 3, 4)]
        for name in ("watch_wait_s", "watch_pause_s"):
            times = [getattr(timing, name) for timing in timings]
            self.assertEqual(times, sorted(set(times)))


class PacingTest(unittest.TestCase):
    """Guards DRAIN: a notice waited for the next call although nothing else changed."""

    def setUp(self):
        self.timing = Timing.from_bounds(3.0)
        self.pacing = WatchPacing(self.timing, 10.0)

    def test_call_after_a_response_without_changes_follows_at_once(self):
        self.assertEqual(self.pacing.pause_s(12.0, 12.0, False, 1.0), 0.0)
        self.assertAlmostEqual(self.pacing.hold_s(12.0), self.timing.watch_wait_s)

    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 1), st.floats(0, 0.4))),
        st.floats(0.5, 20),
    )
    def test_confirmations_are_never_further_apart_than_the_wait(self, calls, change_s):
        """Whatever mix of changes and empty responses, each at most 0.4 s late."""
        timing = Timing.from_bounds(change_s)
        now = confirmed_at = 100.0
        pacing = WatchPacing(timing, now + timing.watch_pause_s)
        for changed, spread, late_s in calls:
            held_s = 0.0 if changed else pacing.hold_s(now)
            current_at = now + held_s
            self.assertLessEqual(current_at - confirmed_at, timing.watch_wait_s + 0.401)
            now = current_at + late_s
            confirmed_at = current_at
            now += pacing.pause_s(now, current_at, changed, spread)

    def test_gateways_that_read_a_change_together_do_not_go_on_in_step(self):
        pauses = {self.pacing.pause_s(5.0, 5.0, True, n / 10) for n in range(11)}
        self.assertEqual(len(pauses), 11)
        self.assertAlmostEqual(max(pauses), self.timing.watch_pause_s)
        self.assertAlmostEqual(min(pauses), self.timing.watch_pause_s / 2)


class SettingsTest(unittest.TestCase):
    def test_tightest_bound_on_changes_is_used(self):
        tree = settings(drain_ms=4000, config_apply_ms=3000, evacuate_ms=5000)
        timing = parse_gateway_config(tree).limits.timing
        self.assertEqual(timing.refuse_age_s, 3.0)

    def test_bound_of_zero_is_an_error(self):
        with self.assertRaises(SettingsError):
            parse_gateway_config(settings(drain_ms=0))

    def test_fleet_size_bound_follows_from_the_store_write_rate(self):
        """The large deployment has 68 gateways and 3,200 store writes per second."""
        platform = SETTINGS["platform"] | {"writes_per_s": 3200}
        limits = parse_gateway_config(SETTINGS | {"platform": platform}).limits
        self.assertGreaterEqual(limits.expected_fleet, 68)


class StartupTest(unittest.TestCase):
    def test_gateways_that_start_together_share_the_retry_budget(self):
        """Each gateway sees only itself at first.

        If each used the whole budget, all of them together would exceed it.
        """
        limits = Limits(budget_slack=176, expected_fleet=160)
        driver = Driver(limits, routers=("me",))
        budget = driver.reducer._retry_budget
        startup_burst = budget._burst(driver.now)
        self.assertLess(68 * startup_burst, 176)
        driver.now += limits.timing.member_ttl_s
        self.assertGreater(budget._burst(driver.now), 100)

    def test_default_bound_on_the_fleet_size(self):
        self.assertEqual(Limits().replace().expected_fleet, DEFAULT_FLEET_SIZE)


if __name__ == "__main__":
    unittest.main()
