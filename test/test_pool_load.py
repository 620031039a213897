import unittest

from heatherswitch.fleet.members import Load
from heatherswitch.router.pool_load import ReportedLoads
from test.router_fakes import agent


class ReportedLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = ReportedLoads()
        self.pool = [agent("a1"), agent("a2")]
        self.loads.record(10.0, "a1", Load(3, 1), age_s=0.1)

    def test_pool_with_unknown_loads_is_not_reported(self):
        # P1: the mean over a part of the agents could raise the load bound.
        self.assertIsNone(self.loads.pool_load(10.0, "a1", self.pool))
        self.loads.record(10.0, "a2", Load(2), age_s=0.0)
        seen = self.loads.pool_load(10.2, "a1", self.pool)
        self.assertEqual((seen.total, seen.agents, seen.age_ms), (6, 2, 300))
        self.assertEqual(seen.own, 4)

    def test_old_loads_are_not_reported_and_replace_nothing(self):
        # P1: a delayed response carries an outdated load.
        self.loads.record(10.0, "a1", Load(9), age_s=5.0)
        self.assertEqual(self.loads.pool_load(10.0, "a1", self.pool[:1]).total, 4)
        self.assertIsNone(self.loads.pool_load(10.6, "a1", self.pool[:1]))

    def test_idle_agents_count_with_their_load_from_the_exchange(self):
        # In an idle pool few agents send responses, so that these alone would never
        # cover the pool.
        at = {"a2": 9.9}.get
        seen = self.loads.pool_load(10.0, "a1", self.pool, lambda a: at(a, 0.0))
        self.assertEqual((seen.total, seen.agents), (4, 2))
        self.assertIsNone(
            self.loads.pool_load(10.6, "a1", self.pool, lambda a: at(a, 0.0))
        )
