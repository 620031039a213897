import unittest

from emulator import capacity
from emulator.capacity_fleet import FleetOptions, measure_fleet


class CapacityTest(unittest.IsolatedAsyncioTestCase):
    async def test_small_fleet_reports_exchanges_and_spread(self):
        # Guards against a measurement that counts nothing, or that reports a change as
        # propagated although it never arrived.
        figures = await measure_fleet(FleetOptions(3, 4, 2, 1.0, 1), settle_s=2.0)
        self.assertGreater(figures["exchanges_per_s"], 0)
        self.assertGreater(figures["bytes_per_exchange"], 0)
        self.assertLess(figures["spread_s_max"], 4.0)
        self.assertEqual(figures["agents_with_wrong_pool_load"], 0)

    def test_unknown_part_is_refused(self):
        # Guards against a misspelt part that measures nothing and succeeds.
        with self.assertRaises(SystemExit):
            capacity.parse(["memry"])
