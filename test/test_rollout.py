import random
import unittest

from heatherswitch.fleet.rollout import Counts, SequentialTest, Verdict, Window

FALSE_ALARM_RATE = 0.01


def draw(rng, requests, failure_rate, slow_rate):
    failures = sum(rng.random() < failure_rate for _ in range(requests))
    slow = sum(rng.random() < slow_rate for _ in range(requests))
    return Counts(requests, failures, requests, slow)


def run(seed, windows, failure=(0.01, 0.01), slow=(0.1, 0.1), routes=("chat",)):
    """Returns the final verdict and the number of requests to the starting version.

    Stops at the verdict BAD.
    """
    rng = random.Random(seed)
    test = SequentialTest(FALSE_ALARM_RATE)
    served = 0
    for _ in range(windows):
        for route in routes:
            active = draw(rng, 38, failure[0], slow[0])
            starting = draw(rng, 2, failure[1], slow[1])
            served += starting.requests
            if test.add(Window(route, active, starting)) is Verdict.BAD:
                return Verdict.BAD, served
    return test.verdict, served


class SequentialTestTest(unittest.TestCase):
    def test_false_alarm_rate_is_bounded(self):
        # The test is evaluated after every window, which must not raise the rate of
        # false alarms.
        runs = 200
        alarms = sum(run(seed, 150)[0] is Verdict.BAD for seed in range(runs))
        self.assertLessEqual(alarms, 2 * FALSE_ALARM_RATE * runs)

    def test_good_version_is_proven(self):
        proven = sum(run(seed, 150)[0] is Verdict.PROVEN for seed in range(20))
        self.assertEqual(proven, 20)

    def test_failing_and_slow_versions_are_detected(self):
        cases = {"failing": {"failure": (0.01, 0.5)}, "slow": {"slow": (0.1, 0.9)}}
        for name, rates in cases.items():
            for seed in range(20):
                with self.subTest(name, seed=seed):
                    verdict, served = run(seed, 100, **rates)
                    self.assertIs(verdict, Verdict.BAD)
                    self.assertLess(served, 60)

    def test_fault_on_one_route_is_detected(self):
        # The sum over all routes would hide a fault on a single one.
        test = SequentialTest(FALSE_ALARM_RATE)
        for _ in range(100):
            for route in ("a", "b", "c"):
                test.add(Window(route, Counts(95), Counts(5)))
            test.add(Window("d", Counts(19), Counts(1, failures=1)))
        self.assertIs(test.verdict, Verdict.BAD)
        self.assertEqual(test.reason, "failure on d")

    def test_late_fault_is_detected_within_a_few_windows(self):
        # Many good responses must not outweigh a fault that begins late.
        test = SequentialTest(FALSE_ALARM_RATE)
        for _ in range(300):
            test.add(Window("chat", Counts(30, 0, 30), Counts(10, 0, 10)))
        self.assertIs(test.verdict, Verdict.PROVEN)
        for _ in range(6):
            test.add(Window("chat", Counts(30, 0, 30), Counts(10, 0, 10, 6)))
        self.assertIs(test.verdict, Verdict.BAD)

    def test_each_share_needs_a_new_proof(self):
        # A fault may only appear under the load of a larger share.
        test = SequentialTest(FALSE_ALARM_RATE)
        good = Window("chat", Counts(30, 0, 30), Counts(60, 0, 60))
        self.assertIs(test.add(good), Verdict.PROVEN)
        test.start_step()
        self.assertIs(test.verdict, Verdict.UNDECIDED)

    def test_window_without_the_active_version_is_no_evidence(self):
        # Without responses of the active version there is nothing to compare with.
        test = SequentialTest(FALSE_ALARM_RATE)
        for _ in range(50):
            test.add(Window("chat", Counts(), Counts(1, failures=1)))
        self.assertIsNot(test.verdict, Verdict.BAD)
