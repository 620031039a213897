import unittest
from dataclasses import replace

from heatherswitch.agent.version_pool import (
    ServiceLoadReader,
    claim_agents,
    place_in_version,
)
from heatherswitch.fleet.members import MemberState
from heatherswitch.protocol import heatherswitch_pb2 as pb
from test.router_fakes import agent, fleet_config, table

VERSIONS = {
    "/service=chat/version=v1": {"version_state": "active"},
    "/service=chat/version=v2": {"version_state": "starting"},
}


class VersionPoolTest(unittest.TestCase):
    def setUp(self):
        self.old = [agent("a1"), agent("a2")]
        self.new = [agent("b1", version="v2"), agent("b2", version="v2")]

    def test_claims_go_to_agents_of_the_active_version_only(self):
        # Guards against P4: a partition owner takes all requests of its partition,
        # which is more than an unproven version may take.
        config = fleet_config(VERSIONS)
        for own in (self.old[0], self.new[0]):
            others = table(*(m for m in self.old + self.new if m.id != own.id))
            own = replace(own, state=MemberState.LIVE)
            found = claim_agents(config, others, own, 0.0)
            self.assertEqual(sorted(found), ["a1", "a2"])

    def test_rank_counts_agents_of_the_own_version(self):
        others = table(*self.old, self.new[0])
        self.assertEqual(place_in_version(others, self.new[1]), (1, 2))

    def test_load_of_the_own_version_is_not_that_of_the_service(self):
        # Guards against an unproven share of the own small pool.
        seen = []
        reader = ServiceLoadReader("chat", lambda *load: seen.append(load))
        reply = pb.ExchangeReply()
        reply.pool_loads.add(service="chat", version="v2", total=1, agents=2)
        reply.pool_loads.add(service="chat", total=40, agents=8)
        reader.process_message(reply)
        self.assertEqual(seen, [(40, 8)])
