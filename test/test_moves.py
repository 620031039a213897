import asyncio
import json
import unittest
from dataclasses import replace

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.evidence import Judgement
from heatherswitch.fleet.members import Load, Member, Role
from heatherswitch.fleet.moves import MoveReducer, MoveTick, ZoneAgent
from heatherswitch.fleet.records import MOVE_OWNER_KEY, Move, MoveKind, MoveState
from heatherswitch.fleet.rollout import Counts, SequentialTest, Verdict, Window
from heatherswitch.fleet.settings import node_key
from heatherswitch.router.move_owner import MoveOwner
from heatherswitch.statecore.lease import LeaseLost
from test.memory_store import MemoryStore

ZONE_OUT = Move("m1", MoveKind.ZONE_OUT, 0.0, 100.0, zone="z1")
ZONE_BACK = replace(ZONE_OUT, kind=MoveKind.ZONE_BACK)
VERSION = Move(
    "m2", MoveKind.VERSION, 0.0, 600.0, "chat", from_version="v1", to_version="v2"
)


class FakeClock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class MemoryLease:
    """Lease whose holder does not notice its loss until a write is fenced."""

    def __init__(self, store, owner):
        self.store, self.owner, self.revision = store, owner, 0

    @property
    def fencing_compares(self):
        return {MOVE_OWNER_KEY: self.revision}

    def is_held(self, now):
        return self.revision > 0

    async def acquire(self):
        if await self.store.get(MOVE_OWNER_KEY) is not None:
            return False
        value = self.owner.encode()
        self.revision = await self.store.commit(
            {MOVE_OWNER_KEY: 0}, {MOVE_OWNER_KEY: value}
        )
        return True

    async def expire(self):
        await self.store.commit({}, {}, [MOVE_OWNER_KEY])

    async def renew_until_lost(self):
        await asyncio.Event().wait()

    async def release(self):
        self.revision = 0


def zone_agent(work=0, cold=False, responsive=True, pool_mean=0.0):
    return ZoneAgent("z1", responsive, work, cold, pool_mean)


class MoveReducerTest(unittest.TestCase):
    def setUp(self):
        self.reducer = MoveReducer("r0")
        self.test = SequentialTest(0.001)

    def tick(self, now, move, *agents, unproven=0.05):
        judgements = {"m2": Judgement(self.test.verdict, self.test.reason)}
        event = MoveTick(now, (move,), agents, {"chat": unproven}, judgements)
        effects = self.reducer.apply(event)
        return effects[0] if effects else None

    def evidence(self, old, new, route="/"):
        self.test.add(Window(route, Counts(*old), Counts(*new)))

    def test_zone_out_waits_for_running_work_and_unheard_agents(self):
        # A zone must not be reported as empty while requests may still run.
        self.assertIsNone(self.tick(1.0, ZONE_OUT, zone_agent()))
        self.assertIsNone(self.tick(5.0, ZONE_OUT, zone_agent(work=1)))
        self.assertIsNone(self.tick(5.0, ZONE_OUT, zone_agent(responsive=False)))
        self.assertIs(self.tick(5.0, ZONE_OUT, zone_agent()).move.state, MoveState.DONE)

    def test_zone_out_ends_before_its_deadline_with_a_reason(self):
        # A move must be decided before its deadline.
        self.assertIsNone(self.tick(95.9, ZONE_OUT, zone_agent(work=2)))
        move = self.tick(96.0, ZONE_OUT, zone_agent(work=2)).move
        self.assertIs(move.state, MoveState.DONE)
        self.assertIn("2 requests running", move.reason)

    def test_zone_back_waits_until_servers_are_warm_or_loaded(self):
        # The move must not end while the zone's servers are cold and carry little load.
        cold = zone_agent(work=3, cold=True, pool_mean=8.0)
        self.assertIsNone(self.tick(5.0, ZONE_BACK, cold))
        self.assertIsNone(self.tick(5.0, ZONE_BACK))
        done = self.tick(5.0, ZONE_BACK, zone_agent(), replace(cold, work=7))
        self.assertIs(done.move.state, MoveState.DONE)

    def test_zone_back_is_taken_back_with_its_settings_node(self):
        # A zone whose return failed must not stay in use.
        effect = self.tick(96.0, ZONE_BACK, zone_agent(cold=True, pool_mean=9.0))
        self.assertIs(effect.move.state, MoveState.TAKEN_BACK)
        self.assertEqual(effect.settings, {"/zone=z1": {"zone_state": "out"}})

    def test_good_version_gets_larger_shares_by_evidence_until_done(self):
        # Each increase of the share needs evidence at the current share. Only the first
        # one depends on time alone, since the initial share is too small for a proof.
        move, now, shares = VERSION, 0.0, []
        while True:
            effect = self.tick(now, move)
            if effect.move.state is not MoveState.RUNNING:
                break
            move, now = effect.move, now + 1
            shares.append(move.share)
            self.test.start_step()
            self.assertIsNone(self.tick(now, move))
            if move.share >= 0.05:
                self.assertIsNone(self.tick(now + 60, move))
                self.evidence((1000, 10, 1000, 50), (60, 0, 60, 3))
            now += 61
        self.assertEqual([round(s, 3) for s in shares], [0.01, 0.05, 0.25, 0.5, 0.9])
        self.assertIs(effect.move.state, MoveState.DONE)
        states = {p: v["version_state"] for p, v in effect.settings.items()}
        self.assertEqual(
            states,
            {
                "/service=chat/version=v2": "active",
                "/service=chat/version=v1": "retired",
            },
        )

    def test_version_with_faults_on_one_route_is_taken_back_at_once(self):
        # The sum over all routes would hide faults on a single one.
        move = replace(VERSION, share=0.05)
        self.tick(1.0, move)
        self.evidence((5000, 0), (5000, 0), "/a")
        self.evidence((1000, 10), (20, 8), "/b")
        effect = self.tick(1.5, move)
        self.assertIs(effect.move.state, MoveState.TAKEN_BACK)
        self.assertEqual(effect.move.share, 0.0)
        self.assertIn("failure on /b", effect.move.reason)

    def test_new_owner_needs_its_own_proof(self):
        # A new owner must neither raise the share without its own evidence nor ignore
        # the evidence that its router has.
        move = replace(VERSION, share=0.25)
        successor = MoveReducer("r1")
        for now in (100.0, 110.0):
            self.assertEqual(successor.apply(MoveTick(now, (move,))), [])
        bad = {"m2": Judgement(Verdict.BAD, "failure on /b")}
        effect = successor.apply(MoveTick(111.0, (move,), judgements=bad))[0]
        self.assertIs(effect.move.state, MoveState.TAKEN_BACK)

    def test_unproven_version_is_taken_back_before_its_deadline(self):
        # A version move must be decided before its deadline.
        effect = self.tick(596.0, replace(VERSION, share=0.9))
        self.assertIs(effect.move.state, MoveState.TAKEN_BACK)
        self.assertIn("not proven", effect.move.reason)


class MoveOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.clock = FakeClock()
        value = b'{"zone_state": "out", "share": 2}'
        await self.store.commit(
            {}, {ZONE_OUT.key: ZONE_OUT.to_bytes(), node_key("/zone=z1"): value}
        )

    async def owner(self, name, work=1, judgements=None):
        own = Member(name, Role.ROUTER, "z1", "127.0.0.1:1", 1)
        node = FleetNode.from_config(lambda: own, clock=self.clock)
        agent = Member("a1", Role.AGENT, "z1", "127.0.0.1:2", 1, load=Load(work))
        node.members.merge(self.clock.now(), [agent])
        await self.refresh(node)
        lease = MemoryLease(self.store, name)
        made = MoveOwner.from_config(
            self.store, node, lease, name, self.clock, judgements
        )
        return made, node

    async def refresh(self, node):
        snapshot = await self.store.range("heatherswitch/config/")
        node.apply_snapshot(snapshot.entries, snapshot.revision)

    async def stored(self, move):
        return Move.from_bytes((await self.store.get(move.key)).value)

    async def test_another_router_resumes_when_the_owner_dies(self):
        # A move must be decided although its owner died.
        first, _ = await self.owner("r0")
        await first._lease.acquire()
        self.clock.time = 10.0
        await first.decide()
        self.assertIs((await self.stored(ZONE_OUT)).state, MoveState.RUNNING)
        second, _ = await self.owner("r1", work=0)
        self.assertFalse(await second._lease.acquire())
        await first._lease.expire()
        self.assertTrue(await second._lease.acquire())
        await second.decide()
        decided = await self.stored(ZONE_OUT)
        self.assertEqual((decided.state, decided.owner), (MoveState.DONE, "r1"))

    async def test_successor_takes_a_bad_version_back_by_its_own_evidence(self):
        # After the death of the owner, its successor must not rely on a proof that it
        # did not see, and must use its own evidence of a fault.
        move = replace(VERSION, share=0.25)
        await self.store.commit({}, {move.key: move.to_bytes()})
        verdicts = {"m2": Judgement(Verdict.PROVEN)}
        first, _ = await self.owner("r0", judgements=lambda: verdicts)
        await first._lease.acquire()
        await first.decide()
        await first._lease.expire()
        seen = {"m2": Judgement()}
        second, _ = await self.owner("r1", judgements=lambda: seen)
        await second._lease.acquire()
        for self.clock.time in (5.0, 20.0):
            await second.decide()
            self.assertEqual((await self.stored(move)).share, 0.25)
        seen["m2"] = Judgement(Verdict.BAD, "failure on /b", Counts(20, 8))
        await second.decide()
        decided = await self.stored(move)
        self.assertIs(decided.state, MoveState.TAKEN_BACK)
        self.assertIn("failure on /b; 20 requests, 8 failures", decided.reason)
        node = await self.store.get(node_key("/service=chat/version=v2"))
        self.assertEqual(json.loads(node.value)["version_state"], "taken_back")

    async def test_paused_owner_is_fenced(self):
        # A former owner must not decide after another router has taken over.
        paused, node = await self.owner("r0", work=0)
        await paused._lease.acquire()
        await paused._lease.expire()
        other, _ = await self.owner("r1")
        await other._lease.acquire()
        self.clock.time = 10.0
        node.members.record_contact(10.0, "a1")
        with self.assertRaises(LeaseLost):
            await paused.decide()
        self.assertIs((await self.stored(ZONE_OUT)).state, MoveState.RUNNING)
        self.assertFalse(paused.is_owner)

    async def test_deadline_writes_move_and_settings_in_one_transaction(self):
        # The zone's state and the move's record must never contradict each other.
        move = replace(ZONE_BACK, id="m3", started_at=1.0)
        value = b'{"zone_state": "in", "share": 2}'
        await self.store.commit(
            {}, {move.key: move.to_bytes(), node_key("/zone=z1"): value}
        )
        owner, node = await self.owner("r0")
        await owner._lease.acquire()
        self.clock.time = 97.0
        await owner.decide()
        entry = await self.store.get(move.key)
        settings = await self.store.get(node_key("/zone=z1"))
        self.assertEqual(entry.mod_revision, settings.mod_revision)
        self.assertEqual(json.loads(settings.value), {"zone_state": "out", "share": 2})
        self.assertTrue(node.config.zone_is_out("", "z1", 97.0))

    async def test_owner_acquires_the_lease_and_releases_it_on_stop(self):
        owner, node = await self.owner("r0", work=0)
        node.mark_store_read()
        self.clock.time = 10.0
        node.members.record_contact(10.0, "a1")
        owner._tick_s = 0.02
        await owner.start()
        for _ in range(100):
            await asyncio.sleep(0.02)
            if (await self.stored(ZONE_OUT)).state is MoveState.DONE:
                break
        self.assertIs((await self.stored(ZONE_OUT)).state, MoveState.DONE)
        await owner.stop()
        self.assertFalse(owner.is_owner)
