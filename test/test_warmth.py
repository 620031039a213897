import unittest

from heatherswitch.fleet.warmth import ColdStartLimiter, ColdStartSettings


def warm_server():
    warmth = ColdStartLimiter(ColdStartSettings(limit=2, evidence=2, max_running=8))
    while warmth.cold:
        warmth.on_response(warmth.period, 0.1, 100)
    for _ in range(10):
        warmth.on_response(warmth.period, 0.1, 100)
    return warmth


class WarmthTest(unittest.TestCase):
    def test_limit_grows_only_by_requests_started_under_it(self):
        # Responses to requests started under a lower limit say nothing about this one.
        warmth = ColdStartLimiter(
            ColdStartSettings(limit=2, evidence=2, max_running=16)
        )
        first = warmth.period
        for _ in range(6):
            warmth.on_response(first, 0.1, 100)
        self.assertEqual(warmth.limit, 4)

    def test_failure_resets_the_count_of_good_responses(self):
        # The limit must not grow while every other response fails.
        warmth = ColdStartLimiter(
            ColdStartSettings(limit=2, evidence=2, max_running=16)
        )
        for _ in range(5):
            warmth.on_response(warmth.period, 0.1, 100)
            warmth.on_failure()
        self.assertEqual(warmth.limit, 2)

    def test_changed_identity_starts_a_cold_start(self):
        # A restarted server has empty caches and must not get the load of a warm one.
        for sign in (("i2", None), (None, 20.0)):
            with self.subTest(sign=sign):
                warmth = warm_server()
                self.assertFalse(warmth.on_health("i1", 10.0))
                self.assertFalse(warmth.on_health("i1", 10.0))
                self.assertTrue(warmth.on_health(*sign))
                self.assertEqual(warmth.limit, 2)

    def test_lost_connection_applies_the_cold_limit_until_a_health_report(self):
        # The next probe may be a second away. Until then a restarted server must not
        # get the load of a warm one.
        for report, limit in ((("i1", 10.0), 8), (("i2", 20.0), 2), ((None, None), 2)):
            with self.subTest(report=report):
                warmth = warm_server()
                warmth.on_health("i1", 10.0)
                warmth.on_connection_lost()
                self.assertEqual(warmth.limit, 2)
                warmth.on_health(*report)
                self.assertEqual(warmth.limit, limit)

    def test_start_times_of_two_sources_may_differ(self):
        # Otherwise each probe would start a cold start.
        warmth = warm_server()
        for _ in range(2):
            self.assertFalse(warmth.on_health(None, 10.0))
            self.assertFalse(warmth.on_load_report(10.4))
        self.assertTrue(warmth.on_load_report(30.0))

    def test_slow_first_tokens_show_a_cold_server(self):
        # A server may become cold without restarting or reporting it.
        warmth = warm_server()
        self.assertFalse(warmth.on_response(warmth.period, 1.0, 100))
        self.assertTrue(warmth.on_response(warmth.period, 1.0, 100))
        self.assertTrue(warmth.cold)

    def test_cache_miss_is_not_a_cold_server(self):
        # Long prompts without a cached prefix must not reset the limit.
        warmth = warm_server()
        for _ in range(4):
            warmth.on_response(warmth.period, 2.0, 8000)
        self.assertFalse(warmth.cold)

    def test_full_batch_is_not_a_cold_server(self):
        # An idle server must not seem cold when load arrives.
        warmth = warm_server()
        for _ in range(4):
            warmth.on_response(warmth.period, 1.0, 100, running=8)
        self.assertFalse(warmth.cold)

    def test_one_stall_that_delays_several_responses_is_not_a_cold_server(self):
        # A pause of the VM delays several responses and must not reset the limit.
        warmth = warm_server()
        for started_at in (5.0, 5.1, 5.2):
            warmth.on_response(warmth.period, 1.0, 100, 1, started_at)
        self.assertFalse(warmth.cold)
        self.assertTrue(warmth.on_response(warmth.period, 1.0, 100, 1, 6.1))

    def test_changed_settings_keep_a_warm_server_warm(self):
        warmth = warm_server()
        warmth.configure(ColdStartSettings(limit=2, max_running=32))
        self.assertEqual(warmth.limit, 32)
