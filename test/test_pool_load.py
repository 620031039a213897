import unittest

from heatherswitch.fleet.members import Load
from heatherswitch.router.pool_load import PoolLoads
from test.router_fakes import agent


class PoolLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = PoolLoads()
        self.pool = [agent("a1"), agent("a2")]
        self.loads.note(10.0, "a1", Load(3, 1), age_s=0.1)

    def test_pool_that_was_seen_in_part_is_not_reported(self):
        # Guards against P1: a mean over some agents that loosens the bound.
        self.assertIsNone(self.loads.observed(10.0, "a1", self.pool))
        self.loads.note(10.0, "a2", Load(2), age_s=0.0)
        seen = self.loads.observed(10.2, "a1", self.pool)
        self.assertEqual((seen.total, seen.agents, seen.age_ms), (6, 2, 300))
        self.assertEqual(seen.own, 4)

    def test_old_figures_are_not_reported_and_replace_nothing(self):
        # Guards against P1: answers that arrive late with an old load.
        self.loads.note(10.0, "a1", Load(9), age_s=5.0)
        self.assertEqual(self.loads.observed(10.0, "a1", self.pool[:1]).total, 4)
        self.assertIsNone(self.loads.observed(10.6, "a1", self.pool[:1]))

    def test_idle_agents_count_with_their_load_from_the_exchange(self):
        # Guards against no view at all in a pool where few agents answer.
        at = {"a2": 9.9}.get
        seen = self.loads.observed(10.0, "a1", self.pool, lambda a: at(a, 0.0))
        self.assertEqual((seen.total, seen.agents), (4, 2))
        self.assertIsNone(
            self.loads.observed(10.6, "a1", self.pool, lambda a: at(a, 0.0))
        )
