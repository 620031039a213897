import unittest
from dataclasses import replace

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.members import Load, Member, Role
from heatherswitch.fleet.outcomes import Failed, Finished, NotRun, Reason
from heatherswitch.fleet.placement import Placement, PlacementKey
from heatherswitch.fleet.records import Move, MoveKind, MoveState
from heatherswitch.fleet.rollout import Verdict
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.router import events
from heatherswitch.router.runner import (
    AttemptFirstByte,
    AttemptReport,
    AttemptStarted,
)
from heatherswitch.router.version_watch import VersionWatch
from heatherswitch.statecore.replica import Entry
from test.router_fakes import agent, fleet_config, table
from test.test_exchange import Process as Peer

MOVE = Move(
    "m1",
    MoveKind.VERSION,
    0.0,
    100.0,
    "chat",
    from_version="v1",
    to_version="v2",
    share=0.05,
)
GOOD = Finished(200, 10)
BROKEN = Failed("backend_closed")


class FakeClock:
    time = 0.0

    def now(self):
        return self.time


class FakeRunner:
    """Keeps the events that are posted."""

    def __init__(self):
        self.posted = []

    def post(self, event):
        self.posted.append(event)


class QuietNode(FleetNode):
    """Counts the rounds that were asked for instead of running them."""

    rounds = 0

    def exchange_soon(self):
        self.rounds += 1


class Process:
    """The watch of one router, without its network."""

    def __init__(self, name, clock, move=MOVE):
        own = Member(name, Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.clock, self.runner = clock, FakeRunner()
        self.node = QuietNode.from_config(lambda: own, clock=clock)
        self.member, self.number = own, 0
        if move is not None:
            self.put(move, 1)
        self.watch = VersionWatch(self.node, self.runner, name, clock)
        self.watch.tick()

    def put(self, move, revision):
        self.node.apply_entries([Entry(move.key, revision, move.to_bytes())])

    def serve(self, version, result=GOOD, first_byte_s=None, cold=False):
        """Runs one attempt; without a first byte it stays open."""
        self.number += 1
        key, attempts = (f"q{self.number}", 1), self.watch._attempts
        attempts.progress(AttemptStarted(*key, "chat", version, "/c", "", cold))
        if first_byte_s is not None:
            self.clock.time += first_byte_s
            attempts.progress(AttemptFirstByte(*key))
        if result is not None:
            report = AttemptReport("chat", version, "/c", "a1", result, 0.0, *key)
            attempts.ended(report)

    def second(self, good=20, bad=0, result=BROKEN, **options):
        """Serves one window: the active version well, the other with ``bad``."""
        for _ in range(good):
            self.serve("v1", first_byte_s=0.001)
        for _ in range(bad):
            self.serve("v2", result, **options)
        self.clock.time += 1.0
        self.watch.tick()

    def exchange(self, other):
        """Exchanges once with another router, as the node does."""
        request, reply = pb.ExchangeRequest(), pb.ExchangeReply()
        self.watch.add_to(request)
        other.watch.answer(self.member, request, reply)
        self.watch.take(reply)

    @property
    def cuts(self):
        return [e for e in self.runner.posted if isinstance(e, events.VersionCut)]


class VersionWatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()

    def test_own_evidence_cuts_at_once_and_others_follow(self):
        # Guards against P4: work for a bad version until its owner has decided,
        # also at a router with stale configuration and no evidence.
        first = Process("r1", self.clock)
        stale = Process("r2", self.clock, move=None)
        first.second(bad=10)
        cut = first.cuts[0]
        self.assertEqual((cut.service, cut.version, cut.until), ("chat", "v2", 100.0))
        self.assertEqual(first.node.rounds, 1)
        self.assertIs(first.watch.judgements["m1"].verdict, Verdict.BAD)
        first.exchange(stale)
        self.assertEqual([c.version for c in stale.cuts], ["v2"])
        third = Process("r3", self.clock)
        third.exchange(stale)
        self.assertIs(third.watch.judgements["m1"].verdict, Verdict.BAD)
        self.assertIn("failure on /c", third.watch.judgements["m1"].reason)

    def test_evidence_of_several_routers_adds_up_at_each(self):
        # Guards against faults that no single router sees often enough.
        routers = [Process(f"r{n}", self.clock) for n in range(3)]
        for router in routers:
            router.second(bad=2)
        self.assertFalse(any(router.cuts for router in routers))
        for router in routers[1:]:
            for _ in range(3):
                routers[0].exchange(router)
        self.assertEqual(len(routers[0].cuts), 1)
        self.assertEqual(routers[0].watch.judgements["m1"].seen.requests, 6)

    def test_decided_move_ends_the_cut(self):
        # Guards against a version that stays cut when an operator starts it again.
        router = Process("r1", self.clock)
        router.second(bad=10)
        router.put(replace(MOVE, state=MoveState.TAKEN_BACK), 2)
        router.watch.tick()
        self.assertEqual(router.cuts[-1].until, self.clock.time)
        again = replace(MOVE, id="m2", started_at=5.0)
        router.put(again, 3)
        router.watch.tick()
        self.assertIs(router.watch.judgements["m2"].verdict, Verdict.UNDECIDED)

    def test_version_that_never_answers_is_found_before_its_deadline(self):
        # Guards against a hanging version that gives no failures to count.
        router = Process("r1", self.clock)
        for _ in range(3):
            router.second(good=30)
        for _ in range(6):
            router.second(bad=2, result=None)
        self.assertIn("slow on /c", router.cuts[0].reason)

    def test_cold_start_and_refusals_are_no_evidence(self):
        # Guards against good versions that are taken back because their servers
        # start cold, or refuse work.
        router = Process("r1", self.clock)
        for _ in range(5):
            router.second(bad=3, result=GOOD, first_byte_s=0.15, cold=True)
            router.second(bad=3, result=NotRun(Reason.UNPROVEN_SHARE, 0))
        self.assertEqual(router.cuts, [])
        seen = router.watch.judgements["m1"].seen
        self.assertEqual((seen.requests, seen.failures), (15, 0))

    def test_version_that_stays_slow_is_found_although_it_seems_cold(self):
        # Guards against a slow version that is excused as a cold start for as long
        # as it takes to become warm.
        router = Process("r1", self.clock)
        for _ in range(8):
            router.second(bad=1, result=GOOD, first_byte_s=1.0, cold=True)
        self.assertIn("slow on /c", router.cuts[0].reason)

    def test_agents_of_the_starting_version_learn_what_runs_in_the_service(self):
        # Guards against P4: an unproven share of waiting requests, or of the new
        # version's own pool.
        router = Process("r1", self.clock)
        old = replace(agent("a1"), load=Load(running=20, queued=400))
        new = replace(agent("b1", version="v2"), load=Load(running=1))
        router.node.members.merge(0.0, [old, new])
        for member, expected in ((old, []), (new, [("", 21, 2)])):
            reply = pb.ExchangeReply()
            router.watch.answer(member, pb.ExchangeRequest(), reply)
            loads = [(p.version, p.total, p.agents) for p in reply.pool_loads]
            self.assertEqual(loads, expected)

    def test_cut_in_placement_holds_for_a_stale_configuration(self):
        # Guards against P4: a router that still believes in a large share.
        nodes = {
            "/service=chat/version=v1": {"version_state": "active"},
            "/service=chat/version=v2": {
                "version_state": "starting",
                "version_share": 1.0,
            },
        }
        members = table(agent("a1"), agent("b1", version="v2"))
        placement = Placement(fleet_config(nodes), members)
        key = PlacementKey("chat", "w", "c")
        self.assertEqual(placement.candidates(0.0, key)[0].id, "b1")
        placement.cut_version("chat", "v2", 10.0)
        self.assertEqual([m.id for m in placement.candidates(1.0, key)], ["a1"])


class CutTraffic:
    """Sends one cut and keeps those that arrive."""

    def __init__(self, move):
        self.move, self.taken = move, set()

    def add_to(self, message):
        message.cuts.add(move=self.move)

    def take(self, message):
        self.taken |= {cut.move for cut in message.cuts}

    def answer(self, sender, request, reply):
        self.take(request)
        self.add_to(reply)


class VersionTrafficTest(unittest.IsolatedAsyncioTestCase):
    async def test_exchange_carries_cuts_both_ways(self):
        # Guards against a cut that stays with the router that found it.
        first = Peer("r1", [])
        second = Peer("r2", [first.address])
        ways = []
        for number, peer in enumerate((first, second)):
            ways.append(CutTraffic(f"m{number}"))
            peer.node.exchange_versions(ways[-1])
            self.addAsyncCleanup(peer.stop)
            await peer.server.start()
        await second.node.exchange_now()
        self.assertEqual([way.taken for way in ways], [{"m1"}, {"m0"}])
