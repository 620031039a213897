import logging
import unittest

from heatherswitch.util.traces import MAX_LINES, MAX_REQUESTS, RequestTraces


class RequestTracesTest(unittest.TestCase):
    def setUp(self):
        self.traces = RequestTraces()
        self.log = logging.Logger("heatherswitch.router")
        self.log.addHandler(self.traces)

    def test_lines_are_found_by_the_id_that_the_caller_saw(self):
        self.log.info("attempt refused", extra={"request_id": "u.c1", "agent": "a1"})
        self.log.info("no request")
        (line,) = self.traces.lines("c1")
        self.assertEqual(
            (line.message, line.fields["agent"]), ("attempt refused", "a1")
        )

    def test_memory_is_bounded(self):
        # Guards against a router that keeps the lines of every request.
        for number in range(MAX_REQUESTS + 5):
            self.log.info("answered", extra={"request_id": f"u.c{number}"})
        for _ in range(MAX_LINES + 5):
            self.log.info("again", extra={"request_id": "u.last"})
        self.assertEqual(self.traces.lines("c0"), [])
        self.assertEqual(len(self.traces.lines("last")), MAX_LINES)
