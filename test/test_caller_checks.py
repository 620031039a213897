"""Tests the soak's checks of late responses and bad prompts on constructed histories."""

import unittest

from emulator.platform.caller_checks import (
    LATE_S,
    MAX_BAD_ARRIVALS,
    MAX_CRASHES,
    MIN_LONG_CALLS,
    MIN_SOUND_CALLS,
    find_bad_prompt_violations,
    find_late_responses,
)
from emulator.platform.deployment import HOST
from emulator.platform.server import ReceivedRequest
from emulator.platform.soak_checks import CONTACT_S, Call, History, Interval
from emulator.platform.soak_configuration import ConfigurationVersion

TIMEOUT_S = 0.8
SERVICES = {(HOST, "/lookup/"): ("ledger",), (HOST, "/answer/"): ("appraiser",)}


class CallerChecksCase(unittest.TestCase):
    """Builds histories of calls to one gateway that is in touch from 4 s on."""

    def setUp(self):
        version = ConfigurationVersion(
            1, 0.0, dict(SERVICES), frozenset(), dict.fromkeys(SERVICES, TIMEOUT_S)
        )
        self.history = History(starts={"g1": [1.0]}, versions=[version])

    def add_call(self, sent_at: float, took_s=0.1, path="/lookup/1", **fields) -> Call:
        call = Call(f"r{len(self.history.calls)}", path, "key-1", sent_at, **fields)
        call.gateway, call.ended_at = "g1", sent_at + took_s
        self.history.calls.append(call)
        return call

    def add_arrival(self, call: Call) -> None:
        fields = {"x-attempt-id": call.id}
        request = ReceivedRequest("POST", call.path, fields, b"", call.sent_at)
        self.history.arrivals.append(request)
        self.history.runs.append(request)


class LateResponseTest(CallerChecksCase):
    """Tests the check of requests without an answer after their route's time limit."""

    def add_calls(self, in_time: int, late: int, **fields) -> None:
        for _ in range(in_time):
            self.add_call(10.0, TIMEOUT_S + LATE_S / 2, **fields)
        for _ in range(late):
            self.add_call(10.0, TIMEOUT_S + LATE_S + 0.1, **fields)

    def test_late_responses_are_found(self):
        self.add_calls(MIN_LONG_CALLS, MIN_LONG_CALLS)
        self.assertIn("late", " ".join(find_late_responses(self.history)))

    def test_few_late_responses_are_allowed(self):
        self.add_calls(0, MIN_LONG_CALLS - 1)
        self.assertEqual(find_late_responses(self.history), [])
        self.setUp()
        self.add_calls(3 * MIN_LONG_CALLS, MIN_LONG_CALLS)
        self.assertEqual(find_late_responses(self.history), [])

    def test_only_calls_that_left_or_met_impaired_gateways_are_excused(self):
        self.add_calls(0, MIN_LONG_CALLS, left=True)
        self.assertEqual(find_late_responses(self.history), [])
        self.setUp()
        self.add_calls(0, MIN_LONG_CALLS)
        self.history.disturbed["g1"].append((9.0, 9.5))
        self.assertEqual(find_late_responses(self.history), [])


class BadPromptTest(CallerChecksCase):
    """Tests the checks of prompts with a part that crashes servers."""

    def setUp(self):
        super().setUp()
        self.history.crashes = [20.0 + n for n in range(MAX_CRASHES)]
        self.last = self.history.crashes[-1]

    def check(self) -> str:
        return " ".join(find_bad_prompt_violations(self.history))

    def add_bad(self, count: int, sent_at: float) -> None:
        for _ in range(count):
            call = self.add_call(sent_at, path="/answer/1", bad_prompt=True)
            self.add_arrival(call)

    def add_sound(self, count: int, begun: int, sent_at: float) -> None:
        for number in range(count):
            call = self.add_call(sent_at, path="/answer/1", status=503)
            if number < begun:
                self.add_arrival(call)

    def test_bad_prompts_at_servers_after_the_fifth_crash_are_found(self):
        self.add_bad(MAX_BAD_ARRIVALS + 1, self.last + CONTACT_S + 0.1)
        self.assertIn("bad prompt", self.check())

    def test_bad_prompts_before_that_and_a_few_later_are_allowed(self):
        self.add_bad(10, self.last + CONTACT_S - 0.1)
        self.add_bad(MAX_BAD_ARRIVALS, self.last + CONTACT_S + 0.1)
        self.assertEqual(self.check(), "")

    def test_bad_prompts_after_fewer_crashes_are_allowed(self):
        self.history.crashes.pop()
        self.add_bad(10, self.last + CONTACT_S + 0.1)
        self.assertEqual(self.check(), "")

    def test_gateway_out_of_touch_is_excused(self):
        self.add_bad(10, self.last + CONTACT_S + 0.1)
        self.history.store_faults = [Interval("g1", self.last, self.last + 1.0)]
        self.assertEqual(self.check(), "")

    def test_sound_streams_that_rarely_begin_are_found(self):
        at = self.last + 2 * CONTACT_S + 1.0
        self.add_sound(MIN_SOUND_CALLS, MIN_SOUND_CALLS, 10.0)
        self.add_sound(MIN_SOUND_CALLS, MIN_SOUND_CALLS // 2 - 1, at)
        self.add_bad(1, at + 1.0)
        self.assertIn("sound prompts", self.check())

    def test_sound_streams_that_begin_and_those_without_bad_prompts_are_none(self):
        at = self.last + 2 * CONTACT_S + 1.0
        self.add_sound(MIN_SOUND_CALLS, MIN_SOUND_CALLS, 10.0)
        self.add_sound(MIN_SOUND_CALLS, MIN_SOUND_CALLS // 2, at)
        self.add_bad(1, at + 1.0)
        self.assertEqual(self.check(), "")
        self.setUp()
        self.add_sound(MIN_SOUND_CALLS, MIN_SOUND_CALLS, 10.0)
        self.add_sound(MIN_SOUND_CALLS, 0, at)
        self.assertEqual(self.check(), "")


if __name__ == "__main__":
    unittest.main()
