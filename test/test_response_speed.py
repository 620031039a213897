"""Tests of the limits that tell slow responses from others."""

import unittest

from heatherswitch.gateway.response_speed import (
    MEASURED_INTERVALS,
    AttemptTimes,
    SpeedLimits,
)


class SpeedLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = SpeedLimits(0.0)
        for number in range(30):
            head_s = 0.3 if number % 3 else 0.02
            self.limits.add(0.0, "/a", AttemptTimes(0.0, head_s, head_s, 0.03), True)

    def is_slow(self, times, now=10.0, ended=False, route="/a"):
        return self.limits.is_slow(now, route, times, ended)

    def test_stream_with_an_early_head_and_slow_events_is_slow(self):
        """Guards EXPOSURE: only the head was timed (issue 29, hasty day)."""
        self.assertIs(self.is_slow(AttemptTimes(9.0, 0.02, 0.02, 0.12)), True)
        self.assertIs(self.is_slow(AttemptTimes(9.0, 0.3, 0.3, 0.035)), False)

    def test_overdue_events_are_slow_before_they_arrive(self):
        """Callers leave a slow stream, and then nothing of it was counted."""
        waiting = AttemptTimes(10.0, 0.02, 0.02)
        self.assertIsNone(self.is_slow(waiting, now=10.2))
        self.assertIs(self.is_slow(waiting, now=10.1 + 0.08 * MEASURED_INTERVALS), True)

    def test_overdue_head_is_slow_before_it_arrives(self):
        self.assertIsNone(self.is_slow(AttemptTimes(10.0), now=10.3))
        self.assertIs(self.is_slow(AttemptTimes(10.0), now=10.9), True)

    def test_short_stream_is_judged_by_its_head_once_it_has_ended(self):
        short = AttemptTimes(10.0, 0.02, 0.02)
        self.assertIsNone(self.is_slow(short, now=10.1))
        self.assertIs(self.is_slow(short, now=10.1, ended=True), False)

    def test_route_with_few_streams_uses_the_limit_of_the_service(self):
        self.assertIs(
            self.is_slow(AttemptTimes(9.0, 0.02, 0.02, 0.12), route="/b"), True
        )

    def test_nothing_is_known_without_responses_of_the_old_version(self):
        limits = SpeedLimits(0.0)
        times = AttemptTimes(9.0, 0.02, 0.02, 0.12)
        self.assertIsNone(limits.is_slow(10.0, "/a", times, True))
