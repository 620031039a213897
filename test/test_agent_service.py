import asyncio
import json
import unittest

import grpc
import xxhash

from heatherswitch.agent.backend import BackendClient
from heatherswitch.agent.shell import Agent, AgentConfig
from heatherswitch.fleet.claims import (
    Claimed,
    ClaimUnknown,
    JournalUnavailable,
    Replay,
)
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import MemberState
from heatherswitch.fleet.settings import node_key
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router.channels import OPTIONS
from heatherswitch.statecore.replica import Entry
from heatherswitch.util.http_client import HttpClient
from test.backend_fake import FakeBackend

# A server that is warm from the start.
WARM = b'{"cold_start": {"limit": 8}, "limits": {"max_running": 8}}'


class JournalDouble:
    def __init__(self):
        self.result = Claimed(5)
        self.completed = []
        self.released = False

    async def claim(self, partition, workspace, key, fingerprint, request_id):
        return self.result

    async def complete(self, partition, workspace, key, status, headers, body):
        self.completed.append((key, status, body))

    def on_config(self, config):
        pass

    def on_members(self):
        pass

    async def release_all(self):
        self.released = True


class NodeDouble:
    def __init__(self, agent):
        self.agent = agent
        self.config = FleetConfig()
        self.ready = True
        self.announced = []

    def set_node(self, path, value, revision):
        entry = Entry(node_key(path), revision, json.dumps(value).encode())
        self.config.apply([entry])
        self.agent.config_changed()

    def servicer(self):
        return pb_grpc.PeerServicer()

    async def start(self):
        self.config.apply([Entry(node_key("/"), 1, WARM)])

    async def stop(self):
        pass

    async def run_exchange(self):
        self.announced.append(self.agent.own_record().state)


def request(request_id="r1", **fields):
    values = {
        "request_id": request_id,
        "workspace": "w1",
        "request_class": "default",
        "service": "chat",
        "idempotent": True,
        "deadline_ms": 20000,
        "method": "POST",
        "target": "/v1/chat/completions",
        "body": b"{}",
    }
    return pb.ExecuteRequest(**(values | fields))


def kinds(events):
    return [event.WhichOneof("event") for event in events]


def body(events):
    chunks = [e.chunk for e in events if e.WhichOneof("event") == "chunk"]
    return b"".join(chunk.data for chunk in chunks)


class AgentServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = FakeBackend()
        self.journal = JournalDouble()
        address = await self.fake.start()
        # Work that does not end shows as an error log instead of a hanging test.
        config = AgentConfig("a1", "chat", "v1", "z1", address, drain_timeout_s=30.0)
        self.agent = Agent(
            config,
            BackendClient.from_address(config.backend),
            node_factory=self.make_node,
            journal_factory=lambda agent: self.journal,
            partition=lambda *names: 0,
        )
        await self.agent.start()
        self.agent.pool_load(20, 2)
        # As the router opens it: what gRPC buffers ahead of a reader must stay below
        # what the agent keeps for a reader that comes back.
        self.channel = grpc.aio.insecure_channel(self.agent.address, OPTIONS)
        self.stub = pb_grpc.AgentStub(self.channel)

    def make_node(self, agent):
        self.node = NodeDouble(agent)
        return self.node

    async def asyncTearDown(self):
        self.fake.gate.set()
        await self.channel.close()
        await self.agent.stop()
        await self.fake.stop()

    async def run_request(self, message):
        return [event async for event in self.stub.Execute(message)]

    async def read_until(self, stream, kind):
        events = []
        while not events or events[-1].WhichOneof("event") != kind:
            events.append(await asyncio.wait_for(stream.read(), 5.0))
        return events

    async def until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_whole_answer_with_length_and_checksum(self):
        events = await self.run_request(request())
        self.assertEqual(kinds(events)[:2], ["accepted", "head"])
        done = events[-1].done
        whole = body(events)
        self.assertEqual(done.length, len(whole))
        self.assertEqual(done.checksum, xxhash.xxh3_64_intdigest(whole))
        self.assertEqual(done.cached_tokens, 8)
        self.assertEqual({e.request_id for e in events}, {"r1"})
        self.assertEqual(events[0].load.agent_id, "a1")

    async def test_crossed_and_cut_answers_end_as_failed(self):
        # Guards against a wrong or truncated answer ending with done.
        for mode, code in (("crossed", "crossed_answer"), ("truncated", "truncated")):
            with self.subTest(mode=mode):
                self.fake.mode = mode
                failed = (await self.run_request(request(mode)))[-1].failed
                self.assertEqual((failed.code, failed.outcome), (code, pb.FAILED))

    async def test_resume_continues_at_the_offset(self):
        # Guards against lost or doubled bytes after a silent connection.
        self.fake.gate.clear()
        first = self.stub.Execute(request())
        received = body(await self.read_until(first, "chunk"))
        first.cancel()
        self.fake.gate.set()
        again = pb.ResumeRequest(request_id="r1", workspace="w1", offset=len(received))
        events = [event async for event in self.stub.Resume(again)]
        whole = received + body(events)
        self.assertEqual(kinds(events)[0], "accepted")
        checksum = xxhash.xxh3_64_intdigest(whole)
        self.assertEqual(events[-1].done.checksum, checksum)

    async def test_silent_router_connection_does_not_hold_the_answer(self):
        # Guards against an unread stream blocking the one that replaced it.
        self.fake.mode = "large"
        silent = self.stub.Execute(request())
        await self.read_until(silent, "chunk")
        channel = grpc.aio.insecure_channel(
            self.agent.address, options=[("grpc.use_local_subchannel_pool", 1)]
        )
        again = pb.ResumeRequest(request_id="r1", workspace="w1", offset=32768)
        stub = pb_grpc.AgentStub(channel)
        async with asyncio.timeout(10.0):
            events = [event async for event in stub.Resume(again)]
        self.assertEqual(events[-1].done.length, 4 * 1024 * 1024)
        self.assertEqual(len(body(events)), 4 * 1024 * 1024 - 32768)
        await channel.close()

    async def test_other_workspace_cannot_resume(self):
        # Guards against an answer reaching another customer.
        await self.run_request(request())
        stolen = pb.ResumeRequest(request_id="r1", workspace="w2")
        events = [event async for event in self.stub.Resume(stolen)]
        self.assertEqual(kinds(events), ["failed"])
        self.assertEqual(events[0].failed.outcome, pb.OUTCOME_UNKNOWN)

    async def test_work_of_a_caller_that_left_is_cancelled(self):
        self.fake.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        stream.cancel()
        await self.until(lambda: self.fake.cancelled)
        self.assertEqual(self.agent.runner.reducer.load.total, 0)

    async def test_claimed_work_of_a_caller_that_left_runs_on(self):
        # Guards against a settlement that is cut because its caller left.
        self.fake.mode = "plain"
        self.fake.gate.clear()
        stream = self.stub.Execute(request(idempotent=False, idempotency_key="k1"))
        await self.until(lambda: self.fake.requests)
        stream.cancel()
        await asyncio.sleep(2.5)
        self.fake.gate.set()
        await self.until(lambda: self.journal.completed)
        self.assertEqual(self.journal.completed, [("k1", 201, b"settled")])
        self.assertEqual(self.fake.requests[0].header("x-fencing-token"), "5")
        self.assertEqual(self.fake.cancelled, 0)

    async def test_claim_results_are_passed_on(self):
        # Guards against work that runs although its claim was not recorded.
        claimed = {"idempotent": False, "idempotency_key": "k1"}
        self.journal.result = Replay(201, (("X-Ledger", "1"),), b"settled")
        events = await self.run_request(request("r1", **claimed))
        self.assertTrue(events[0].accepted.replayed)
        self.assertEqual((events[1].head.status, body(events)), (201, b"settled"))
        self.journal.result = JournalUnavailable()
        events = await self.run_request(request("r2", **claimed))
        self.assertEqual(events[0].refused.reason, pb.STORE_UNAVAILABLE)
        self.journal.result = ClaimUnknown("earlier_incarnation")
        events = await self.run_request(request("r3", **claimed))
        self.assertEqual(events[0].failed.outcome, pb.OUTCOME_UNKNOWN)
        self.assertEqual(self.fake.requests, [])

    async def test_repeated_key_attaches_to_the_running_work(self):
        # Guards against a settlement that runs twice while its first run lasts.
        self.fake.mode = "plain"
        self.fake.gate.clear()
        claimed = {"idempotent": False, "idempotency_key": "k1"}
        first = asyncio.create_task(self.run_request(request("r1", **claimed)))
        await self.until(lambda: self.fake.requests)
        second = asyncio.create_task(self.run_request(request("r2", **claimed)))
        await asyncio.sleep(0.1)
        self.fake.gate.set()
        answers = await asyncio.gather(first, second)
        self.assertEqual([body(events) for events in answers], [b"settled"] * 2)
        self.assertEqual({e.request_id for e in answers[1]}, {"r2"})
        self.assertEqual(len(self.fake.requests), 1)

    async def test_request_id_in_use_is_refused(self):
        # Guards against two answers mixing under one request id.
        self.fake.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        events = await self.run_request(request(body=b"other"))
        self.assertEqual(kinds(events), ["refused"])

    async def test_waiting_work_that_is_refused_late_is_failed_as_not_run(self):
        # Guards against "refused" after "accepted", which routers do not expect.
        self.fake.gate.clear()
        self.agent.pool_load(100, 2)
        running = [self.stub.Execute(request(f"r{n}")) for n in range(8)]
        for stream in running:
            await self.read_until(stream, "chunk")
        waiting = self.stub.Execute(request("waits"))
        await self.read_until(waiting, "accepted")
        self.node.set_node("/zone=z1", {"zone_state": "out"}, 2)
        failed = (await self.read_until(waiting, "failed"))[-1].failed
        self.assertEqual((failed.outcome, failed.code), (pb.NOT_RUN, "zone_out"))

    async def test_ping_while_nothing_progresses(self):
        # Guards against a slow answer being taken for a silent connection.
        self.fake.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "ping")

    async def test_down_server_is_refused_as_not_run(self):
        await self.fake.stop()
        events = await self.run_request(request())
        self.assertEqual(events[0].refused.reason, pb.BACKEND_DOWN)

    async def test_order_of_the_zone_is_in_force_at_once(self):
        self.node.set_node("/zone=z1", {"zone_state": "out"}, 2)
        events = await self.run_request(request())
        self.assertEqual(events[0].refused.reason, pb.ZONE_OUT)

    async def test_graceful_shutdown_finishes_running_work(self):
        # Guards against a planned stop that interrupts requests.
        self.fake.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        stopping = asyncio.create_task(self.agent.stop())
        await self.until(lambda: self.node.announced)
        events = await self.run_request(request("r2"))
        self.assertEqual(events[0].refused.reason, pb.LEAVING)
        self.fake.gate.set()
        await self.read_until(stream, "done")
        await stopping
        self.assertEqual(self.node.announced[0], MemberState.LEAVING)
        self.assertTrue(self.journal.released)

    async def test_metrics_and_health(self):
        await self.run_request(request())
        http = HttpClient("127.0.0.1", self.agent.metrics_port)
        text = await (await http.request("GET", "/metrics")).read()
        self.assertIn(b"heatherswitch_agent_service_seconds", text)
        self.assertIn(b"heatherswitch_agent_limit", text)
        self.assertEqual((await http.request("GET", "/readyz")).status, 200)
        http.close()

    async def test_restarted_server_is_cold_again(self):
        # Guards against P2 being broken by a restart between two probes.
        small = {"cold_start": {"limit": 1}, "limits": {"max_running": 8}}
        self.node.set_node("/", small, 2)
        self.assertEqual(self.agent.runner.reducer.load.limit, 8)
        self.fake.health = {"incarnation": "i2"}
        await self.until(lambda: self.agent.runner.reducer.load.limit == 1)
        self.fake.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        events = await self.run_request(request("r2"))
        self.assertEqual(events[0].refused.reason, pb.COLD_START)
