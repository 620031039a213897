import unittest
from dataclasses import replace

from heatherswitch.agent.version_pool import (
    ServiceLoadReader,
    claim_owner_candidates,
    rank_in_version,
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
        self.active = [agent("a1"), agent("a2")]
        self.starting = [agent("b1", version="v2"), agent("b2", version="v2")]

    def test_only_agents_of_the_active_version_own_claims(self):
        # Guards against too much load on an unproven version (P4): the owner of a
        # partition gets all of its requests.
        config = fleet_config(VERSIONS)
        for own in (self.active[0], self.starting[0]):
            others = table(*(m for m in self.active + self.starting if m.id != own.id))
            own = replace(own, state=MemberState.LIVE)
            owners = claim_owner_candidates(config, others, own, 0.0)
            self.assertEqual(sorted(owners), ["a1", "a2"])

    def test_rank_counts_only_agents_of_the_same_version(self):
        others = table(*self.active, self.starting[0])
        self.assertEqual(rank_in_version(others, self.starting[1]), (1, 2))

    def test_load_of_one_version_is_not_taken_as_that_of_the_service(self):
        # Guards against an unproven share of the small pool of one version.
        loads = []
        reader = ServiceLoadReader("chat", lambda *load: loads.append(load))
        reply = pb.ExchangeReply()
        reply.pool_loads.add(service="chat", version="v2", total=1, agents=2)
        reply.pool_loads.add(service="chat", total=40, agents=8)
        reader.process_message(reply)
        self.assertEqual(loads, [(40, 8)])
