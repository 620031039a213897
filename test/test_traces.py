"""Tests of the log lines stored for each request."""

import logging
import unittest

from heatherswitch.util.traces import MAX_LINES_PER_REQUEST, MAX_REQUESTS, RequestTraces


class RequestTracesTest(unittest.TestCase):
    def setUp(self):
        self.traces = RequestTraces()
        self.log = logging.Logger("heatherswitch.router")
        self.log.addHandler(self.traces)

    def test_lines_are_found_by_the_id_that_the_caller_sees(self):
        self.log.info("attempt refused", extra={"request_id": "u.c1", "agent": "a1"})
        self.log.info("no request")
        (line,) = self.traces.lines("c1")
        self.assertEqual(
            (line.message, line.fields["agent"]), ("attempt refused", "a1")
        )

    def test_number_of_requests_and_lines_is_limited(self):
        # Guards against memory that grows with every request of a router.
        for number in range(MAX_REQUESTS + 5):
            self.log.info("answered", extra={"request_id": f"u.c{number}"})
        for _ in range(MAX_LINES_PER_REQUEST + 5):
            self.log.info("again", extra={"request_id": "u.last"})
        self.assertEqual(self.traces.lines("c0"), [])
        self.assertEqual(len(self.traces.lines("last")), MAX_LINES_PER_REQUEST)
