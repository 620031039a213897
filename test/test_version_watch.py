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
from heatherswitch.router.version_monitor import VersionMonitor
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
    """Records the events posted to the request runner."""

    def __init__(self):
        self.posted = []

    def post(self, event):
        self.posted.append(event)


class OfflineNode(FleetNode):
    """Counts requested exchange rounds instead of running them."""

    rounds = 0

    def schedule_exchange(self):
        self.rounds += 1


class RouterProcess:
    """The version monitor of one router, without network."""

    def __init__(self, name, clock, move=MOVE):
        own = Member(name, Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.clock, self.runner = clock, FakeRunner()
        self.node = OfflineNode.from_config(lambda: own, clock=clock)
        self.member, self.attempts_made = own, 0
        if move is not None:
            self.put(move, 1)
        self.monitor = VersionMonitor(self.node, self.runner, name, clock)
        self.monitor.tick()

    def put(self, move, revision):
        self.node.apply_entries([Entry(move.key, revision, move.to_bytes())])

    def serve(self, version, result=GOOD, first_byte_s=None, cold=False):
        """Runs one attempt; with neither first byte nor result it stays pending."""
        self.attempts_made += 1
        key, recorder = (f"q{self.attempts_made}", 1), self.monitor._recorder
        recorder.on_progress(AttemptStarted(*key, "chat", version, "/c", "", cold))
        if first_byte_s is not None:
            self.clock.time += first_byte_s
            recorder.on_progress(AttemptFirstByte(*key))
        if result is not None:
            report = AttemptReport("chat", version, "/c", "a1", result, 0.0, *key)
            recorder.on_result(report)

    def run_window(self, good=20, bad=0, result=BROKEN, **options):
        """Runs one evidence window of one second.

        The active version gets ``good`` successful attempts, the starting one ``bad``
        attempts with ``result``.
        """
        for _ in range(good):
            self.serve("v1", first_byte_s=0.001)
        for _ in range(bad):
            self.serve("v2", result, **options)
        self.clock.time += 1.0
        self.monitor.tick()

    def exchange(self, other):
        """Runs one exchange with another router, as ``FleetNode`` does."""
        request, reply = pb.ExchangeRequest(), pb.ExchangeReply()
        self.monitor.extend_message(request)
        other.monitor.handle_request(self.member, request, reply)
        self.monitor.process_message(reply)

    @property
    def blocks(self):
        return [e for e in self.runner.posted if isinstance(e, events.VersionBlocked)]


class VersionMonitorTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()

    def test_own_evidence_blocks_at_once_and_others_follow(self):
        # P4: a bad version must not get requests until the move owner has decided,
        # not even from a router with stale configuration and no evidence.
        first = RouterProcess("r1", self.clock)
        stale = RouterProcess("r2", self.clock, move=None)
        first.run_window(bad=10)
        block = first.blocks[0]
        self.assertEqual(
            (block.service, block.version, block.until), ("chat", "v2", 100.0)
        )
        self.assertEqual(first.node.rounds, 1)
        self.assertIs(first.monitor.judgements["m1"].verdict, Verdict.BAD)
        first.exchange(stale)
        self.assertEqual([b.version for b in stale.blocks], ["v2"])
        third = RouterProcess("r3", self.clock)
        third.exchange(stale)
        self.assertIs(third.monitor.judgements["m1"].verdict, Verdict.BAD)
        self.assertIn("failure on /c", third.monitor.judgements["m1"].reason)

    def test_evidence_of_several_routers_adds_up_at_each(self):
        # Some faults are too rare at each single router to be detected there.
        routers = [RouterProcess(f"r{n}", self.clock) for n in range(3)]
        for router in routers:
            router.run_window(bad=2)
        self.assertFalse(any(router.blocks for router in routers))
        for router in routers[1:]:
            for _ in range(3):
                routers[0].exchange(router)
        self.assertEqual(len(routers[0].blocks), 1)
        self.assertEqual(routers[0].monitor.judgements["m1"].seen.requests, 6)

    def test_decided_move_lifts_the_block(self):
        # Otherwise the version would stay blocked when an operator starts it again.
        router = RouterProcess("r1", self.clock)
        router.run_window(bad=10)
        router.put(replace(MOVE, state=MoveState.TAKEN_BACK), 2)
        router.monitor.tick()
        self.assertEqual(router.blocks[-1].until, self.clock.time)
        again = replace(MOVE, id="m2", started_at=5.0)
        router.put(again, 3)
        router.monitor.tick()
        self.assertIs(router.monitor.judgements["m2"].verdict, Verdict.UNDECIDED)

    def test_version_that_never_responds_is_found_before_its_deadline(self):
        # A hanging version produces no failures to count.
        router = RouterProcess("r1", self.clock)
        for _ in range(3):
            router.run_window(good=30)
        for _ in range(6):
            router.run_window(bad=2, result=None)
        self.assertIn("slow on /c", router.blocks[0].reason)

    def test_cold_start_and_refusals_are_no_evidence(self):
        # A good version must not be rolled back because its servers start cold or
        # refuse requests.
        router = RouterProcess("r1", self.clock)
        for _ in range(5):
            router.run_window(bad=3, result=GOOD, first_byte_s=0.15, cold=True)
            router.run_window(bad=3, result=NotRun(Reason.UNPROVEN_SHARE, 0))
        self.assertEqual(router.blocks, [])
        seen = router.monitor.judgements["m1"].seen
        self.assertEqual((seen.requests, seen.failures), (15, 0))

    def test_slow_version_is_found_although_it_reports_a_cold_start(self):
        # A slow version also stays in cold start for longer, which must not exempt
        # it from the slowness test.
        router = RouterProcess("r1", self.clock)
        for _ in range(8):
            router.run_window(bad=1, result=GOOD, first_byte_s=1.0, cold=True)
        self.assertIn("slow on /c", router.blocks[0].reason)

    def test_agents_of_the_starting_version_receive_the_service_load(self):
        # P4: the unproven share is one of the running requests of the whole service,
        # not of queued requests or of the new version's own pool.
        router = RouterProcess("r1", self.clock)
        old = replace(agent("a1"), load=Load(running=20, queued=400))
        new = replace(agent("b1", version="v2"), load=Load(running=1))
        router.node.members.merge(0.0, [old, new])
        for member, expected in ((old, []), (new, [("", 21, 2)])):
            reply = pb.ExchangeReply()
            router.monitor.handle_request(member, pb.ExchangeRequest(), reply)
            loads = [(p.version, p.total, p.agents) for p in reply.pool_loads]
            self.assertEqual(loads, expected)

    def test_blocked_version_is_not_placed_despite_stale_configuration(self):
        # P4: the configuration of a router may still give the version a large share.
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
        placement.block_version("chat", "v2", 10.0)
        self.assertEqual([m.id for m in placement.candidates(1.0, key)], ["a1"])


class BlockTraffic:
    """Sends one version block and records those it receives."""

    def __init__(self, move):
        self.move, self.received = move, set()

    def extend_message(self, message):
        message.cuts.add(move=self.move)

    def process_message(self, message):
        self.received |= {block.move for block in message.cuts}

    def handle_request(self, sender, request, reply):
        self.process_message(request)
        self.extend_message(reply)


class VersionTrafficTest(unittest.IsolatedAsyncioTestCase):
    async def test_exchange_carries_blocks_in_both_directions(self):
        # Otherwise only the router that detected a bad version would block it.
        first = Peer("r1", [])
        second = Peer("r2", [first.address])
        traffic = []
        for number, peer in enumerate((first, second)):
            traffic.append(BlockTraffic(f"m{number}"))
            peer.node.set_exchange_extension(traffic[-1])
            self.addAsyncCleanup(peer.stop)
            await peer.server.start()
        await second.node.run_exchange()
        self.assertEqual([t.received for t in traffic], [{"m1"}, {"m0"}])
