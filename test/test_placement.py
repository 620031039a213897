import unittest

from heatherswitch.fleet.members import Load
from heatherswitch.fleet.placement import Placement, PlacementKey, available_agents
from test.router_fakes import agent, fleet_config, table

POOL = [agent(f"a{i}", zone=f"z{i % 3}") for i in range(6)]
VERSIONS = {
    "/service=chat/version=v1": {"version_state": "active"},
    "/service=chat/version=v2": {"version_state": "starting", "version_share": 0.05},
}


def order(placement, chat="c", now=0.0, owner="", avoid=lambda agent_id: False):
    key = PlacementKey("chat", "w1", chat, owner)
    return [m.id for m in placement.candidates(now, key, avoid)]


class PlacementTest(unittest.TestCase):
    def test_losing_an_agent_moves_no_other_chat(self):
        # Chats that move to another server lose their prefix cache.
        whole = Placement(fleet_config(), table(*POOL))
        without = Placement(fleet_config(), table(*POOL[1:]))
        for i in range(50):
            expected = [a for a in order(whole, f"c{i}") if a != "a0"]
            self.assertEqual(order(without, f"c{i}"), expected)

    def test_zone_that_is_out_has_no_candidates(self):
        # A zone that is out of use must get no new requests (P3).
        nodes = {"/zone=z1": {"zone_state": "out"}}
        found = order(Placement(fleet_config(nodes), table(*POOL)))
        self.assertEqual(sorted(found), ["a0", "a2", "a3", "a5"])

    def test_unproven_version_gets_only_its_share(self):
        # Chats of the active version must not overflow to an unproven one (P4).
        members = table(*POOL, agent("b0", version="v2"))
        placement = Placement(fleet_config(VERSIONS), members)
        orders = [order(placement, f"c{i}") for i in range(1000)]
        starting = [found for found in orders if "b0" in found]
        self.assertTrue(20 <= len(starting) <= 90, len(starting))
        self.assertTrue(all(found[0] == "b0" for found in starting))
        self.assertTrue(all(len(found) >= 6 for found in orders))

    def test_blocked_version_gets_nothing(self):
        # A version that this router found bad must get no requests (P4).
        members = table(*POOL, agent("b0", version="v2"))
        placement = Placement(fleet_config(VERSIONS), members)
        placement.block_version("chat", "v2", until=10.0)
        self.assertFalse(any("b0" in order(placement, f"c{i}") for i in range(200)))

    def test_refusing_and_suspect_agents_are_last(self):
        # Attempts at agents that are busy or lost cost time.
        members = table(*POOL)
        members.merge(3.0, [agent("fresh")])
        found = order(Placement(fleet_config(), members), now=3.0)
        self.assertEqual(found[0], "fresh")
        best, *rest = order(Placement(fleet_config(), table(*POOL)))
        found = order(
            Placement(fleet_config(), table(*POOL)), avoid=lambda a: a == best
        )
        self.assertEqual(found, [*rest, best])

    def test_partition_owner_is_first_unless_its_zone_is_out(self):
        # Any other agent would refuse the claim. An owner in a zone that is out of use
        # must not be tried (P3).
        nodes = {"/zone=z1": {"zone_state": "out"}}
        for owner in ("a0", "a2"):
            placement = Placement(fleet_config(nodes), table(*POOL))
            self.assertEqual(order(placement, owner=owner)[0], owner)
        self.assertNotIn("a1", order(placement, owner="a1"))


class AvailableAgentsTest(unittest.TestCase):
    def test_zone_that_is_out_does_not_lower_the_mean(self):
        # A lower mean would lower the load bound of the agents that take over the load.
        config = fleet_config({"/zone=z1": {"zone_state": "out"}})
        found = available_agents(0.0, table(*POOL), config, "chat", "v1")
        self.assertEqual([m.id for m in found], ["a0", "a2", "a3", "a5"])


class PolicyTest(unittest.TestCase):
    def first(self, policy, members=None, request_id=""):
        node = {"/service=chat": {"routing": {"policy": policy}}}
        placement = Placement(fleet_config(node), members or table(*POOL))
        key = PlacementKey("chat", "w1", "c", request_id=request_id)
        return placement.candidates(0.0, key)[0].id

    def test_random_spreads_the_requests_of_a_chat(self):
        # The baseline must not reuse prefix caches like the affinity policy.
        found = {self.first("random", request_id=f"r{i}") for i in range(100)}
        self.assertEqual(len(found), len(POOL))
        self.assertEqual(
            self.first("affinity", request_id="r1"), self.first("affinity")
        )

    def test_least_loaded_takes_the_idle_agent(self):
        # The baseline must follow the load.
        members = table(*POOL)
        for member in POOL[1:]:
            members.update_load(0.0, member.id, Load(running=1))
        found = {self.first("least_loaded", members, f"r{i}") for i in range(20)}
        self.assertEqual(found, {"a0"})
