import math
import unittest

from heatherswitch.fleet.evidence import MAX_WINDOW_S, WINDOW_S, MoveEvidence
from heatherswitch.fleet.rollout import Counts, Verdict, Window
from heatherswitch.fleet.slowness import MIN_VALUES, SLOW_FACTOR, SlowThreshold


class RecordingTest:
    """Keeps the windows instead of judging them."""

    verdict = Verdict.UNDECIDED
    reason = ""

    def __init__(self):
        self.windows = []

    def add(self, window):
        self.windows.append(window)

    def start_step(self):
        pass


def evidence(router, incarnation=1):
    return MoveEvidence("m1", router, incarnation, RecordingTest())


def serve(source, now, starting=10, failures=0, share=0.05):
    """Counts one window and returns the records that are sent."""
    source.advance(now, share)
    source.count(now, "/a", False, Counts(100, 1))
    source.count(now, "/a", True, Counts(starting, failures))
    source.advance(now + WINDOW_S, share)
    return source.offers(now + WINDOW_S)


class MoveEvidenceTest(unittest.TestCase):
    def total(self, receiver):
        windows = receiver._test.windows
        return sum((window.starting for window in windows), Counts())

    def test_repeated_and_late_records_are_not_counted_twice(self):
        # Guards against P4 evidence that grows because a message was repeated,
        # overtaken or passed on by a third router.
        source, receiver = evidence("r1"), evidence("r2")
        first = serve(source, 0.0, failures=2)
        second = serve(source, 10.0, failures=1)
        for records in (first, first, second, first, second):
            for record in records:
                receiver.take(11.0, record)
        self.assertEqual(self.total(receiver), Counts(20, 3))
        for record in receiver.offers(11.0):
            self.assertFalse(source.take(11.0, record))
        self.assertEqual(self.total(source), Counts(20, 3))

    def test_lost_message_is_made_up_by_the_next(self):
        # Guards against evidence that is lost with one exchange.
        source, receiver = evidence("r1"), evidence("r2")
        receiver.take(1.0, serve(source, 0.0)[0])
        serve(source, 10.0)
        receiver.take(21.0, serve(source, 20.0)[0])
        self.assertEqual(self.total(receiver), Counts(30))

    def test_restarted_router_counts_anew(self):
        # Guards against totals of a restarted router that seem to shrink.
        receiver = evidence("r2")
        receiver.take(1.0, serve(evidence("r1", 1), 0.0)[0])
        receiver.take(2.0, serve(evidence("r1", 2), 1.0, starting=3)[0])
        self.assertEqual(self.total(receiver), Counts(13))

    def test_totals_of_several_shares_are_not_added_up(self):
        # Guards against a good version that looks bad because its share was large
        # while everything failed, seen by a router that joined late.
        source, receiver = evidence("r1"), evidence("r2")
        serve(source, 0.0, share=0.01)
        for late in serve(source, 10.0, share=0.05):
            receiver.take(11.0, late)
        self.assertEqual(receiver._test.windows, [self.window(10)])
        receiver.take(21.0, serve(source, 20.0, share=0.05)[0])
        serve(source, 30.0, share=0.25)
        receiver.take(41.0, serve(source, 40.0, share=0.25)[0])
        windows = [self.window(10), self.window(10), self.window(20, active=200)]
        self.assertEqual(receiver._test.windows, windows)

    def window(self, starting, active=100):
        return Window("/a", Counts(active, active // 100), Counts(starting))

    def test_records_of_two_shares_are_passed_on_together(self):
        # Guards against evidence of a whole stage that a missed record makes void:
        # a record of the old share and one of the new one end at the same time.
        source, receiver = evidence("r1"), evidence("r2")
        serve(source, 0.0, share=0.2)
        records = serve(source, WINDOW_S + 0.1, starting=7, share=0.5)
        for record in records:
            receiver.take(3.0, record)
        self.assertEqual(self.total(receiver), Counts(17))

    def test_excess_is_taken_within_each_window(self):
        # Guards against a good version that is held because both versions are slow in
        # the one window in which it has most of the answers (Simpson's paradox).
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
        self.assertEqual(judgement.excess_errors, 0.0)

    def test_excess_without_answers_of_the_active_version_is_the_rate(self):
        # Guards against a bad version that completes because nothing compares.
        source = evidence("r1")
        source.advance(0.0, 0.5)
        source.count(0.0, "/a", True, Counts(10, 4))
        source.advance(MAX_WINDOW_S, 0.5)
        judgement = source.judgement
        self.assertEqual((judgement.excess, judgement.excess_errors), (0.4, math.inf))

    def test_impossible_totals_are_ignored(self):
        # Guards against F17: malformed totals of a peer.
        source, receiver = evidence("r1"), evidence("r2")
        for record in serve(source, 0.0, starting=2, failures=3):
            self.assertFalse(receiver.take(1.0, record))


class SlowThresholdTest(unittest.TestCase):
    def test_threshold_follows_the_active_version_between_windows_only(self):
        # Guards against two thresholds for the versions in one window.
        threshold = SlowThreshold(0.0)
        for _ in range(MIN_VALUES):
            threshold.add(0.1)
        self.assertIsNone(threshold.threshold_s(0.5))
        first = threshold.threshold_s(1.0)
        self.assertAlmostEqual(first, SLOW_FACTOR * 0.1, delta=0.01)
        for _ in range(1000):
            threshold.add(1.0)
        self.assertEqual(threshold.threshold_s(1.9), first)
        self.assertGreater(threshold.threshold_s(2.0), 1.0)

    def test_threshold_keeps_the_time_under_full_load(self):
        # Guards against a good version that counts as slow because the active one
        # has little load left.
        threshold = SlowThreshold(0.0)
        for _ in range(MIN_VALUES):
            threshold.add(0.4, loaded=True)
        for now in range(1, 60):
            threshold.add(0.01)
            threshold.threshold_s(now)
        self.assertAlmostEqual(threshold.threshold_s(60.0), 0.8, delta=0.05)
