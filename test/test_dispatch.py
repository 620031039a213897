import unittest

from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.router.channels import AgentChannels
from heatherswitch.router.dispatch import Attempt, ConnectFailed, Silent
from test.router_fakes import FakeAgent, RecordingSink, agent, event, response_events


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = FakeAgent()
        self.member = await self.fake.start("a1")
        self.channels = AgentChannels()
        self.sink = RecordingSink()
        self.loads = []

    async def asyncTearDown(self):
        await self.channels.close()
        await self.fake.stop()

    def attempt(self, member=None, timeout_s=0.3):
        request = pb.ExecuteRequest(request_id="r1", attempt=1, workspace="w1")
        return Attempt(
            self.channels,
            member or self.member,
            request,
            self.sink,
            timeout_s,
            on_load=lambda agent_id, load, age_s: self.loads.append(
                (agent_id, load.running)
            ),
        )

    async def run_script(self, *script):
        self.fake.script = lambda request: script
        return await self.attempt().execute()

    async def test_complete_response_is_forwarded(self):
        load = pb.AgentLoad(agent_id="a1", running=3)
        result = await self.run_script(
            event("r1", load=load, ping=pb.Ping()), *response_events("r1")
        )
        self.assertEqual(result, Finished(200, 5))
        self.assertEqual(self.sink.data, b"hello")
        self.assertEqual(self.loads, [("a1", 3)])
        self.assertEqual(self.fake.requests[0].incarnation, 1)

    async def test_invalid_responses_never_count_as_finished(self):
        # P5: bytes of another request, and missing, repeated or changed bytes.
        accepted, head, first, second, done = response_events("r1")
        gap = event("r1", chunk=pb.Chunk(offset=3, data=b"lo"))
        overlap = event("r1", chunk=pb.Chunk(offset=1, data=b"llo"))
        other = event("r2", chunk=pb.Chunk(offset=2, data=b"llo"))
        changed = event("r1", chunk=pb.Chunk(offset=2, data=b"LLO"))
        cases = {
            "crossed_answer": [accepted, head, first, other, done],
            "offset_mismatch": [accepted, head, first, gap, done],
            "checksum_mismatch": [accepted, head, first, changed, done],
            "length_mismatch": [accepted, head, first, done],
            "protocol_error": [accepted, first],
            "agent_stream_ended": [accepted, head, first, second],
        }
        cases_list = [
            *cases.items(),
            ("offset_mismatch", [accepted, head, first, overlap]),
        ]
        for code, script in cases_list:
            with self.subTest(code=code):
                result = await self.run_script(*script)
                self.assertIsInstance(result, OutcomeUnknown)
                self.assertEqual(result.code, code)

    async def test_refusal_of_another_request_is_no_proof(self):
        # P6: "not run" must not be concluded from an event of another request.
        refused = pb.Refused(reason=pb.QUEUE_FULL)
        result = await self.run_script(event("r2", refused=refused))
        self.assertEqual(result.code, "crossed_answer")
        accepted = event("r1", accepted=pb.Accepted())
        result = await self.run_script(accepted, event("r1", refused=refused))
        self.assertEqual(result.code, "protocol_error")

    async def test_refusal_and_failure_keep_their_meaning(self):
        # P6: the caller must get the outcome that the agent reported.
        refused = pb.Refused(reason=pb.NOT_OWNER, owner="a9", retry_after_ms=7)
        result = await self.run_script(event("r1", refused=refused))
        self.assertEqual(result, NotRun(Reason.NOT_OWNER, 7, "", "a9"))
        failures = {
            pb.FAILED: Failed,
            pb.OUTCOME_UNKNOWN: OutcomeUnknown,
            pb.OUTCOME_UNSPECIFIED: OutcomeUnknown,
            pb.NOT_RUN: NotRun,
        }
        for outcome, kind in failures.items():
            failed = pb.Failed(outcome=outcome, code="x")
            result = await self.run_script(event("r1", failed=failed))
            self.assertIsInstance(result, kind)

    async def test_closed_port_is_proof_that_nothing_was_sent(self):
        await self.fake.stop()
        result = await self.attempt().execute()
        self.assertIsInstance(result, ConnectFailed)
        result = await self.attempt(agent("a2", address=self.member.address)).resume()
        # P6: a failed resumption proves nothing, as the request was sent before.
        self.assertIsInstance(result, OutcomeUnknown)

    async def test_silent_attempt_is_resumed_at_its_offset_on_a_new_connection(self):
        # Fault F4: the network path drops the state of a connection, so that no more
        # packets arrive on it.
        accepted, head, first, second, done = response_events("r1")
        self.fake.script = lambda request: [accepted, head, first, None]
        self.fake.resume_script = lambda request: [accepted, head, second, done]
        attempt = self.attempt()
        self.assertIsInstance(await attempt.execute(), Silent)
        self.assertEqual(await attempt.resume(), Finished(200, 5))
        self.assertEqual(self.sink.data, b"hello")
        self.assertEqual(len(self.sink.heads), 1)
        self.assertEqual(self.fake.resumes[0].offset, 2)
        self.assertNotEqual(*self.fake.peers)

    async def test_refused_resumption_is_unknown(self):
        # P6: only the resumption is refused; the request may have run.
        accepted = event("r1", accepted=pb.Accepted(incarnation=1))
        refused = event("r1", refused=pb.Refused(reason=pb.WRONG_INCARNATION))
        self.fake.script = lambda request: [accepted, None]
        self.fake.resume_script = lambda request: [refused]
        attempt = self.attempt()
        self.assertIsInstance(await attempt.execute(), Silent)
        self.assertEqual((await attempt.resume()).code, "resume_refused")
