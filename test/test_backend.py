import json
import unittest

from heatherswitch.agent.backend import (
    AnswerSink,
    BackendCall,
    BackendClient,
    BackendError,
    NothingSent,
    Usage,
    parse_load,
    request_body,
    request_headers,
)
from test.backend_fake import FakeBackend


class Sink(AnswerSink):
    def __init__(self):
        self.status = 0
        self.body = b""

    async def head(self, status, headers):
        self.status = status

    async def chunk(self, data):
        self.body += data


def call(**fields):
    values = {"request_id": "r1", "method": "POST", "target": "/v1/x", "timeout_s": 5.0}
    return BackendCall(**(values | fields))


class BackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = FakeBackend()
        self.client = BackendClient.from_address(await self.fake.start())
        self.sink = Sink()

    async def asyncTearDown(self):
        self.client.close()
        await self.fake.stop()

    async def code(self, mode, **fields):
        self.fake.mode = mode
        with self.assertRaises(BackendError) as caught:
            await self.client.call(call(**fields), self.sink)
        self.assertTrue(caught.exception.sent)
        return caught.exception.code

    async def test_stream_is_passed_on_with_its_usage(self):
        usage = await self.client.call(call(), self.sink)
        self.assertEqual(usage, Usage(9, 8, 2))
        self.assertTrue(self.sink.body.endswith(b"data: [DONE]\n\n"))

    async def test_headers_are_replaced(self):
        # Guards against a caller choosing its own id or fencing token, and
        # against its key for the fleet reaching the server.
        forged = [
            ("X-Request-Id", "x"),
            ("X-Fencing-Token", "9"),
            ("Authorization", "k"),
        ]
        self.fake.mode = "plain"
        sent = call(headers=forged, idempotent=False, idempotency_key="k1", epoch=3)
        await self.client.call(sent, self.sink)
        received = self.fake.requests[0]
        self.assertEqual(received.header("x-request-id"), "r1")
        self.assertEqual(received.header("x-fencing-token"), "3")
        self.assertEqual(received.header("idempotency-key"), "k1")
        self.assertEqual(received.header("authorization"), "")

    def test_engine_gets_the_class_priority_once(self):
        # Guards against a caller that overtakes others by a priority of its own.
        bodies = (
            b'{"model": "m"}\n',
            b'{"priority": 0, "model": "m"}',
            b'{"prior\\u0069ty": 0, "model": "m"}',
            b"{ }",
        )
        for body in bodies:
            sent = request_body(call(body=body, priority=7))
            pairs = json.loads(sent, object_pairs_hook=list)
            self.assertEqual([v for k, v in pairs if k == "priority"], [7], body)
        for body in (b"", b"[1]", b'{"cut": 1'):
            self.assertEqual(request_body(call(body=body, priority=7)), body)
        plain = call(body=b'{"a": 1}', priority=7, engine=False)
        self.assertEqual(request_body(plain), b'{"a": 1}')

    def test_plain_service_learns_workspace_and_scope_from_the_agent_only(self):
        # Guards against a caller that names another workspace, and against
        # epochs of one partition that fence another one.
        given = [("X-Workspace", "other"), ("X-Fencing-Scope", "s/9")]
        fields = {"headers": given, "workspace": "w", "epoch": 3, "scope": "s/1"}
        sent = request_headers(call(**fields, engine=False))
        self.assertEqual([v for k, v in sent if k == "X-Workspace"], ["w"])
        self.assertEqual([v for k, v in sent if k == "X-Fencing-Scope"], ["s/1"])
        names = [name for name, _ in request_headers(call(**fields))]
        self.assertNotIn("X-Workspace", names)

    async def test_crossed_answer_reaches_nobody(self):
        # Guards against one caller receiving another caller's answer.
        self.assertEqual(await self.code("crossed"), "crossed_answer")
        self.assertEqual(self.sink.body, b"")

    async def test_cut_answers_are_failures(self):
        # Guards against a truncated answer being passed on as a whole one.
        for mode in ("truncated", "stream_without_end"):
            with self.subTest(mode=mode):
                self.assertEqual(await self.code(mode), "truncated")

    async def test_silent_stream_is_given_up(self):
        self.fake.gate.clear()
        self.assertEqual(await self.code("stream", silent_s=0.1), "backend_silent")

    async def test_refused_connection_is_nothing_sent(self):
        await self.fake.stop()
        with self.assertRaises(NothingSent):
            await self.client.call(call(), self.sink)

    async def test_forbidden_header_is_nothing_sent(self):
        # Guards against a caller's bad header counting as a failed server.
        for value in ("a\nb", "\u20ac"):
            with self.assertRaises(NothingSent) as caught:
                await self.client.call(call(headers=[("x", value)]), self.sink)
            self.assertEqual(caught.exception.code, "invalid_request")

    async def test_probes(self):
        health = await self.client.health()
        self.assertEqual((health.incarnation, health.started_at), ("i1", 10.0))
        self.assertEqual((await self.client.load()).running, 3)
        self.assertIsNone(parse_load("num_requests_running NaNx"))
