import math
import unittest

from heatherswitch.fleet.evidence import MAX_WINDOW_S, WINDOW_S, MoveEvidence
from heatherswitch.fleet.rollout import Counts, Verdict, Window
from heatherswitch.fleet.slowness import MIN_SAMPLES, SLOW_FACTOR, SlowThreshold


class RecordingVersionTest:
    """Test stub that records the windows instead of evaluating them."""

    verdict = Verdict.UNDECIDED
    reason = ""

    def __init__(self):
        self.windows = []

    def add(self, window):
        self.windows.append(window)

    def start_step(self):
        pass


def evidence(router, incarnation=1):
    return MoveEvidence("m1", router, incarnation, RecordingVersionTest())


def serve(source, now, starting=10, failures=0, share=0.05):
    """Counts the responses of one window and returns the records to send."""
    source.advance(now, share)
    source.count(now, "/a", False, Counts(100, 1))
    source.count(now, "/a", True, Counts(starting, failures))
    source.advance(now + WINDOW_S, share)
    return source.recent_records(now + WINDOW_S)


class MoveEvidenceTest(unittest.TestCase):
    def total(self, receiver):
        windows = receiver._test.windows
        return sum((window.starting for window in windows), Counts())

    def test_repeated_and_late_records_are_not_counted_twice(self):
        # Repeated, reordered and forwarded messages must not increase the totals, which
        # decide how much load an unproven version gets (P4).
        source, receiver = evidence("r1"), evidence("r2")
        first = serve(source, 0.0, failures=2)
        second = serve(source, 10.0, failures=1)
        for records in (first, first, second, first, second):
            for record in records:
                receiver.merge(11.0, record)
        self.assertEqual(self.total(receiver), Counts(20, 3))
        for record in receiver.recent_records(11.0):
            self.assertFalse(source.merge(11.0, record))
        self.assertEqual(self.total(source), Counts(20, 3))

    def test_next_record_includes_a_lost_one(self):
        # Evidence must not be lost with a single message.
        source, receiver = evidence("r1"), evidence("r2")
        receiver.merge(1.0, serve(source, 0.0)[0])
        serve(source, 10.0)
        receiver.merge(21.0, serve(source, 20.0)[0])
        self.assertEqual(self.total(receiver), Counts(30))

    def test_totals_of_a_restarted_router_are_added(self):
        # The totals of a restarted router are lower than before but are valid.
        receiver = evidence("r2")
        receiver.merge(1.0, serve(evidence("r1", 1), 0.0)[0])
        receiver.merge(2.0, serve(evidence("r1", 2), 1.0, starting=3)[0])
        self.assertEqual(self.total(receiver), Counts(13))

    def test_totals_of_several_shares_are_not_added_up(self):
        # A router that joins late would otherwise see a good version as bad, if its
        # share was large at a time when all requests failed.
        source, receiver = evidence("r1"), evidence("r2")
        serve(source, 0.0, share=0.01)
        for late in serve(source, 10.0, share=0.05):
            receiver.merge(11.0, late)
        self.assertEqual(receiver._test.windows, [self.window(10)])
        receiver.merge(21.0, serve(source, 20.0, share=0.05)[0])
        serve(source, 30.0, share=0.25)
        receiver.merge(41.0, serve(source, 40.0, share=0.25)[0])
        windows = [self.window(10), self.window(10), self.window(20, active=200)]
        self.assertEqual(receiver._test.windows, windows)

    def window(self, starting, active=100):
        return Window("/a", Counts(active, active // 100), Counts(starting))

    def test_records_of_two_shares_are_sent_together(self):
        # Right after a change of the share, the last record of the old share and the
        # first of the new one are sent together. If either is left out, the evidence of
        # that share is lost.
        source, receiver = evidence("r1"), evidence("r2")
        serve(source, 0.0, share=0.2)
        records = serve(source, WINDOW_S + 0.1, starting=7, share=0.5)
        for record in records:
            receiver.merge(3.0, record)
        self.assertEqual(self.total(receiver), Counts(17))

    def test_excess_is_taken_within_each_window(self):
        # A good version must not be held back because both versions are slow in the
        # window in which it has most of the responses (Simpson's paradox).
        source = evidence("r1")
        source.advance(0.0, 0.5)
        for now, active, starting in (
            (0.0, Counts(50), Counts(2)),
            (2.0, Counts(2, 2), Counts(50, 50)),
        ):
            source.count(now, "/a", False, active)
            source.count(now, "/a", True, starting)
            source.advance(now + WINDOW_S, 0.5)
        judgement = source.judgement
        self.assertEqual((judgement.step, judgement.excess), (Counts(52, 50), 0.0))
        self.assertEqual(judgement.excess_standard_errors, 0.0)

    def test_excess_without_responses_of_the_active_version_is_the_rate(self):
        # A bad version must not complete because there is nothing to compare it with.
        source = evidence("r1")
        source.advance(0.0, 0.5)
        source.count(0.0, "/a", True, Counts(10, 4))
        source.advance(MAX_WINDOW_S, 0.5)
        judgement = source.judgement
        self.assertEqual(
            (judgement.excess, judgement.excess_standard_errors), (0.4, math.inf)
        )

    def test_versions_at_different_routers_are_compared(self):
        # In a large fleet no router may get responses of both versions in a window, and
        # the evidence must not be lost for that.
        first, second = (
            MoveEvidence("m1", router, 1, RecordingVersionTest(), pooled=True)
            for router in ("r1", "r2")
        )
        for source in (first, second):
            source.advance(0.0, 0.2)
        first.count(0.0, "/a", False, Counts(20))
        second.count(0.0, "/a", True, Counts(5, 4))
        second.advance(0.5, 0.2)
        for record in second.recent_records(0.5):
            first.merge(0.5, record)
        first.advance(0.6, 0.2)
        first.advance(0.6 + WINDOW_S, 0.2)
        self.assertEqual(first._test.windows, [Window("/a", Counts(20), Counts(5, 4))])
        self.assertAlmostEqual(first.judgement.excess, 0.8)

    def test_impossible_totals_are_ignored(self):
        # A peer may send malformed totals (F17).
        source, receiver = evidence("r1"), evidence("r2")
        for record in serve(source, 0.0, starting=2, failures=3):
            self.assertFalse(receiver.merge(1.0, record))


class SlowThresholdTest(unittest.TestCase):
    def test_threshold_is_constant_within_a_window(self):
        # Within one window, the same threshold must apply to both versions.
        threshold = SlowThreshold(0.0)
        for _ in range(MIN_SAMPLES):
            threshold.add(0.1)
        self.assertIsNone(threshold.threshold_s(0.5))
        first = threshold.threshold_s(1.0)
        self.assertAlmostEqual(first, SLOW_FACTOR * 0.1, delta=0.01)
        for _ in range(1000):
            threshold.add(1.0)
        self.assertEqual(threshold.threshold_s(1.9), first)
        self.assertGreater(threshold.threshold_s(2.0), 1.0)

    def test_threshold_does_not_fall_below_that_under_full_load(self):
        # Near the end of a move the active version has little load and is fast, which
        # must not make a good new version count as slow.
        threshold = SlowThreshold(0.0)
        for _ in range(MIN_SAMPLES):
            threshold.add(0.4, loaded=True)
        for now in range(1, 60):
            threshold.add(0.01)
            threshold.threshold_s(now)
        self.assertAlmostEqual(threshold.threshold_s(60.0), 0.8, delta=0.05)
