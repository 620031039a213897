"""The bound on a server's load among many gateways, in simulated time (LIMIT).

The load is that of the model servers of the large deployment: 68 gateways that start 243
requests a second at 60 servers, so that each meets a server once in some seconds.
"""

import unittest
from unittest import mock

from emulator.fleet_simulation import QUIET, FleetSimulation, Network
from heatherswitch.fleet import counters
from heatherswitch.gateway import peers

GATEWAYS = 68
SERVERS = 60
SECONDS = 12.0
# Start of what is judged, in seconds of the simulation's clock; it begins at 100.
FROM_S = 103.0
# The platform allows 3 in 100 requests to servers over the bound; half of that is kept.
ALLOWED = 0.015


class LoadBoundTest(unittest.TestCase):
    def fleet(self, seed: int, **options) -> FleetSimulation:
        return FleetSimulation(GATEWAYS, SERVERS, seed, **options)

    def test_gateways_that_ask_keep_the_load_bound(self):
        for seed in (1, 2):
            found = self.fleet(seed).play(SECONDS)
            self.assertLess(found.worst_window(FROM_S), ALLOWED / 2, f"seed {seed}")
            self.assertEqual(found.refused, 0)
            self.assertLess(found.waited_s / len(found.arrivals), 0.005)

    def test_gateways_alone_are_over_it(self):
        """The fault that was found: each applies the bound to a load it cannot know."""
        found = self.fleet(1, peers=False).play(SECONDS)
        self.assertGreater(found.worst_window(FROM_S), ALLOWED)

    def test_lost_datagrams_are_made_good(self):
        found = self.fleet(1, network=Network(loss=0.05)).play(SECONDS)
        self.assertLess(found.worst_window(FROM_S), ALLOWED)

    def test_gateways_that_are_cut_off_decide_alone_and_go_on(self):
        half = GATEWAYS // 2
        network = Network(cut=lambda now, a, b: (a < half) != (b < half))
        found = self.fleet(1, network=network).play(SECONDS)
        self.assertEqual(found.refused, 0)
        # Two owners for many servers: each half sees only its own requests.
        self.assertLess(found.waited_s / len(found.arrivals), 0.02)

    def test_restarted_gateways_do_not_hold_places(self):
        fleet = self.fleet(1)
        for number in range(0, GATEWAYS, 3):
            fleet.play(SECONDS / GATEWAYS)
            fleet.restart(number)
        found = fleet.play(SECONDS / 2)
        self.assertEqual(found.refused, 0)
        self.assertLess(found.worst_window(FROM_S), ALLOWED)

    def test_question_must_count_its_own_request(self):
        """Gateways that ask at once would all take the last place of a hot server."""
        real = peers.PeerView.load_query

        def without(self, now, serial, state, asked):
            found = real(self, now, serial, state, asked)
            if found is not None:
                count = counters.Count(found.count.key, state.in_flight)
                found = type(found)(found.serial, found.peer, count)
            return found

        slow = Network(delay_s=0.008)
        kept = self.fleet(1, network=slow).play(SECONDS).peaks
        with mock.patch.object(peers.PeerView, "load_query", without):
            broken = self.fleet(1, network=slow).play(SECONDS).peaks
        self.assertLess(sum(kept) / len(kept), sum(broken) / len(broken))

    def test_work_of_a_gateway_does_not_grow_with_the_fleet(self):
        """Messages follow its own requests; at letter 1's size they stay few."""
        rates = []
        for gateways in (20, 80):
            share = gateways / GATEWAYS
            classes = tuple(
                type(c)(c.name, c.rate * share, c.run_s, c.chats) for c in QUIET
            )
            fleet = FleetSimulation(gateways, int(SERVERS * share), 1, classes)
            found = fleet.play(6.0)
            rates.append(sum(found.messages.values()) / gateways)
        self.assertLess(rates[1], 1.3 * rates[0])


if __name__ == "__main__":
    unittest.main()
