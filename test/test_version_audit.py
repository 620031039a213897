import unittest

from emulator.version_audit import Histories, bad_requests, unproven_peak


def event(at, name, **fields):
    return {"time": at, "event": name} | fields


class VersionAuditTest(unittest.TestCase):
    def test_events_without_a_request_count_as_no_request(self):
        # Engines also record events of their own, which have no request id. They must
        # neither stop the evaluation nor count as the end of a request.
        events = [
            event(0.0, "ready"),
            event(1.0, "started", request_id="r1"),
            event(1.1, "cold"),
            event(1.2, "failed", request_id="r1"),
            event(2.0, "started", request_id="r2"),
            event(2.1, "started", request_id="r3"),
        ]
        self.assertEqual(bad_requests(events, slow_s=5.0), (3, 1))
        histories = Histories(new=events, old=[event(0.5, "ready")])
        self.assertEqual(unproven_peak(histories, 0.0, 9.0), (1.0, 2))


if __name__ == "__main__":
    unittest.main()
