"""Tests of agents with malformed answers of backend servers and stored records."""

import json
import unittest

from heatherswitch.agent.backend import (
    BackendClient,
    BodyValidator,
    Usage,
    parse_load,
    request_body,
)
from heatherswitch.fleet.claim_records import decode_segment
from heatherswitch.fleet.records import RecordError
from heatherswitch.statecore.store import UNREADABLE_VALUE
from test.test_backend import call

BAD_NUMBERS = ("1e999", "9" * 400, "9" * 5000, "NaN", "true", '"x"', "[" * 5000, "-1")


class FixedProbe(BackendClient):
    """Answers each probe with a given body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def _probe(self, target: str) -> bytes:
        return self._body


class MalformedAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Guards requests and probes: a figure that cannot be used is only left out."""

    def test_malformed_usage_is_ignored(self):
        for number in BAD_NUMBERS:
            for name in ("prompt_tokens", "completion_tokens", "prompt_tokens_details"):
                for line in (f'{{"usage": {{"{name}": {number}}}}}', number):
                    with self.subTest(line[:40]):
                        validator = BodyValidator("application/json")
                        validator.add(line.encode())
                        self.assertEqual(validator.finish(True), Usage())

    async def test_malformed_health_is_healthy(self):
        for number in BAD_NUMBERS:
            body = f'{{"started_at": {number}, "incarnation": "i1"}}'
            with self.subTest(number[:9]):
                health = await FixedProbe(body.encode()).health()
                self.assertTrue(health.healthy)
                self.assertIn(health.started_at, (None, -1.0))
        nested = "[" * 985 + "]" * 985
        health = await FixedProbe(f'{{"incarnation": {nested}}}'.encode()).health()
        self.assertEqual((health.healthy, health.incarnation), (True, None))

    def test_malformed_load_is_ignored(self):
        for number in ("1e999", "9" * 400, "1e308\nnum_requests_running 1e308"):
            text = f"num_requests_running {number}\nnum_requests_waiting 1\n"
            with self.subTest(number[:9]):
                self.assertIsNone(parse_load(text))

    def test_nested_request_is_sent_unchanged_or_with_its_priority(self):
        for depth in range(900, 1000):
            text = "[" * depth + "]" * depth
            body = f'{{"priority": 1, "a": {text}}}'.encode()
            sent = request_body(call(engine=True, priority=3, body=body))
            self.assertTrue(sent == body or json.loads(sent)["priority"] == 3)


class MalformedSegmentTest(unittest.TestCase):
    """Guards partitions: an unforeseen error would leave one without an owner."""

    def test_malformed_lines_are_record_errors(self):
        lines = (
            UNREADABLE_VALUE.decode(),
            '["claim", "d", "c", "soon", "f", "r"]',
            '["claim", [], "c", 1.0, "f", "r"]',
            '["abandon", "d", {}, 1.0]',
            '["done", "d", "c", 1.0, "x", [], null]',
            '["done", "d", "c", 1.0, 200, [["a", 1]], null]',
            '["done", "d", "c", 1e999, 200, [], null]',
            '["done", "d", "c", 1.0, 200, [], 7]',
            *BAD_NUMBERS,
            "[]",
            "{}",
            "[1]",
            "[[]]",
            '["done"]',
            '["claim"]',
            "null",
        )
        for line in (*lines, '["done", 1, 2, 3]', "[" + "[" * 985 + "]" * 985 + "]"):
            with self.subTest(line[:20]), self.assertRaises(RecordError) as caught:
                list(decode_segment(line.encode()))
            self.assertLessEqual(len(str(caught.exception)), 400)


if __name__ == "__main__":
    unittest.main()
