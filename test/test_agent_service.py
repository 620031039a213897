import asyncio
import json
import unittest

import grpc
import xxhash

from heatherswitch.agent.backend import BackendClient
from heatherswitch.agent.shell import Agent, AgentConfig
from heatherswitch.fleet.claims import (
    Claimed,
    ClaimOutcomeUnknown,
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

# With these limits a started server is not restricted by the cold start.
WARM_SETTINGS = b'{"cold_start": {"limit": 8}, "limits": {"max_running": 8}}'


class FakeJournal:
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


class FakeNode:
    def __init__(self, agent):
        self.agent = agent
        self.config = FleetConfig()
        self.ready = True
        self.announced = []

    def set_node(self, path, value, revision):
        entry = Entry(node_key(path), revision, json.dumps(value).encode())
        self.config.apply([entry])
        self.agent.on_config_changed()

    def servicer(self):
        return pb_grpc.PeerServicer()

    async def start(self):
        self.config.apply([Entry(node_key("/"), 1, WARM_SETTINGS)])

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
        self.backend = FakeBackend()
        self.journal = FakeJournal()
        address = await self.backend.start()
        # A job that does not end causes an error log instead of a test that hangs.
        config = AgentConfig("a1", "chat", "v1", "z1", address, drain_timeout_s=30.0)
        self.agent = Agent(
            config,
            BackendClient.from_address(config.backend),
            node_factory=self.make_node,
            journal_factory=lambda agent: self.journal,
            partition=lambda *names: 0,
        )
        await self.agent.start()
        self.agent.on_pool_load(20, 2)
        # With the options of the router: what gRPC buffers ahead of a reader must stay
        # below what the agent retains for a reader that resumes.
        self.channel = grpc.aio.insecure_channel(self.agent.address, OPTIONS)
        self.stub = pb_grpc.AgentStub(self.channel)

    def make_node(self, agent):
        self.node = FakeNode(agent)
        return self.node

    async def asyncTearDown(self):
        self.backend.gate.set()
        await self.channel.close()
        await self.agent.stop()
        await self.backend.stop()

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

    async def test_complete_response_has_length_and_checksum(self):
        events = await self.run_request(request())
        self.assertEqual(kinds(events)[:2], ["accepted", "head"])
        done = events[-1].done
        complete_body = body(events)
        self.assertEqual(done.length, len(complete_body))
        self.assertEqual(done.checksum, xxhash.xxh3_64_intdigest(complete_body))
        self.assertEqual(done.cached_tokens, 8)
        self.assertEqual({e.request_id for e in events}, {"r1"})
        self.assertEqual(events[0].load.agent_id, "a1")

    async def test_response_for_another_request_and_truncated_response_fail(self):
        # Guards against a wrong or truncated response that ends with ``done``.
        for mode, code in (("crossed", "crossed_answer"), ("truncated", "truncated")):
            with self.subTest(mode=mode):
                self.backend.mode = mode
                failed = (await self.run_request(request(mode)))[-1].failed
                self.assertEqual((failed.code, failed.outcome), (code, pb.FAILED))

    async def test_resume_continues_at_the_offset(self):
        # Guards against missing or repeated bytes after a stalled connection.
        self.backend.gate.clear()
        first = self.stub.Execute(request())
        received = body(await self.read_until(first, "chunk"))
        first.cancel()
        self.backend.gate.set()
        resume = pb.ResumeRequest(request_id="r1", workspace="w1", offset=len(received))
        events = [event async for event in self.stub.Resume(resume)]
        complete_body = received + body(events)
        self.assertEqual(kinds(events)[0], "accepted")
        checksum = xxhash.xxh3_64_intdigest(complete_body)
        self.assertEqual(events[-1].done.checksum, checksum)

    async def test_stalled_router_connection_does_not_block_the_response(self):
        # Guards against a stream that nobody reads blocking the one that replaced it.
        self.backend.mode = "large"
        silent = self.stub.Execute(request())
        await self.read_until(silent, "chunk")
        channel = grpc.aio.insecure_channel(
            self.agent.address, options=[("grpc.use_local_subchannel_pool", 1)]
        )
        resume = pb.ResumeRequest(request_id="r1", workspace="w1", offset=32768)
        stub = pb_grpc.AgentStub(channel)
        async with asyncio.timeout(10.0):
            events = [event async for event in stub.Resume(resume)]
        self.assertEqual(events[-1].done.length, 4 * 1024 * 1024)
        self.assertEqual(len(body(events)), 4 * 1024 * 1024 - 32768)
        await channel.close()

    async def test_other_workspace_cannot_resume(self):
        # Guards against a response reaching another workspace.
        await self.run_request(request())
        resume = pb.ResumeRequest(request_id="r1", workspace="w2")
        events = [event async for event in self.stub.Resume(resume)]
        self.assertEqual(kinds(events), ["failed"])
        self.assertEqual(events[0].failed.outcome, pb.OUTCOME_UNKNOWN)

    async def test_job_of_a_disconnected_caller_is_cancelled(self):
        self.backend.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        stream.cancel()
        await self.until(lambda: self.backend.cancelled)
        self.assertEqual(self.agent.runner.reducer.load.total, 0)

    async def test_claimed_job_of_a_disconnected_caller_continues(self):
        # Guards against a non-idempotent job cancelled because its caller disconnected.
        self.backend.mode = "plain"
        self.backend.gate.clear()
        stream = self.stub.Execute(request(idempotent=False, idempotency_key="k1"))
        await self.until(lambda: self.backend.requests)
        stream.cancel()
        await asyncio.sleep(2.5)
        self.backend.gate.set()
        await self.until(lambda: self.journal.completed)
        self.assertEqual(self.journal.completed, [("k1", 201, b"settled")])
        self.assertEqual(self.backend.requests[0].header("x-fencing-token"), "5")
        self.assertEqual(self.backend.cancelled, 0)

    async def test_job_without_a_new_claim_does_not_run(self):
        # Guards against a job that runs although its claim was not recorded.
        claimed = {"idempotent": False, "idempotency_key": "k1"}
        self.journal.result = Replay(201, (("X-Ledger", "1"),), b"settled")
        events = await self.run_request(request("r1", **claimed))
        self.assertTrue(events[0].accepted.replayed)
        self.assertEqual((events[1].head.status, body(events)), (201, b"settled"))
        self.journal.result = JournalUnavailable()
        events = await self.run_request(request("r2", **claimed))
        self.assertEqual(events[0].refused.reason, pb.STORE_UNAVAILABLE)
        self.journal.result = ClaimOutcomeUnknown("earlier_incarnation")
        events = await self.run_request(request("r3", **claimed))
        self.assertEqual(events[0].failed.outcome, pb.OUTCOME_UNKNOWN)
        self.assertEqual(self.backend.requests, [])

    async def test_repeated_key_attaches_to_the_running_job(self):
        # Guards against a second run with a key whose first run has not ended.
        self.backend.mode = "plain"
        self.backend.gate.clear()
        claimed = {"idempotent": False, "idempotency_key": "k1"}
        first = asyncio.create_task(self.run_request(request("r1", **claimed)))
        await self.until(lambda: self.backend.requests)
        second = asyncio.create_task(self.run_request(request("r2", **claimed)))
        await asyncio.sleep(0.1)
        self.backend.gate.set()
        answers = await asyncio.gather(first, second)
        self.assertEqual([body(events) for events in answers], [b"settled"] * 2)
        self.assertEqual({e.request_id for e in answers[1]}, {"r2"})
        self.assertEqual(len(self.backend.requests), 1)

    async def test_request_id_in_use_is_refused(self):
        # Guards against two responses under the same request id.
        self.backend.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        events = await self.run_request(request(body=b"other"))
        self.assertEqual(kinds(events), ["refused"])

    async def test_waiting_job_that_is_refused_late_fails_as_not_run(self):
        # Guards against ``refused`` after ``accepted``, which routers do not expect.
        self.backend.gate.clear()
        self.agent.on_pool_load(100, 2)
        running = [self.stub.Execute(request(f"r{n}")) for n in range(8)]
        for stream in running:
            await self.read_until(stream, "chunk")
        waiting = self.stub.Execute(request("waits"))
        await self.read_until(waiting, "accepted")
        self.node.set_node("/zone=z1", {"zone_state": "out"}, 2)
        failed = (await self.read_until(waiting, "failed"))[-1].failed
        self.assertEqual((failed.outcome, failed.code), (pb.NOT_RUN, "zone_out"))

    async def test_ping_is_sent_without_progress(self):
        # Guards against a slow response being treated as a stalled connection.
        self.backend.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "ping")

    async def test_request_to_a_down_server_is_refused_as_not_run(self):
        await self.backend.stop()
        events = await self.run_request(request())
        self.assertEqual(events[0].refused.reason, pb.BACKEND_DOWN)

    async def test_zone_out_is_effective_at_once(self):
        self.node.set_node("/zone=z1", {"zone_state": "out"}, 2)
        events = await self.run_request(request())
        self.assertEqual(events[0].refused.reason, pb.ZONE_OUT)

    async def test_graceful_shutdown_finishes_running_jobs(self):
        # Guards against a planned shutdown that interrupts requests.
        self.backend.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        stopping = asyncio.create_task(self.agent.stop())
        await self.until(lambda: self.node.announced)
        events = await self.run_request(request("r2"))
        self.assertEqual(events[0].refused.reason, pb.LEAVING)
        self.backend.gate.set()
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
        # Guards against a server that was restarted between two probes being treated as
        # warm (P2).
        small = {"cold_start": {"limit": 1}, "limits": {"max_running": 8}}
        self.node.set_node("/", small, 2)
        self.assertEqual(self.agent.runner.reducer.load.limit, 8)
        self.backend.health = {"incarnation": "i2"}
        await self.until(lambda: self.agent.runner.reducer.load.limit == 1)
        self.backend.gate.clear()
        stream = self.stub.Execute(request())
        await self.read_until(stream, "chunk")
        events = await self.run_request(request("r2"))
        self.assertEqual(events[0].refused.reason, pb.COLD_START)
