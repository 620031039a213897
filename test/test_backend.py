import asyncio
import json
import re
import unittest

from heatherswitch.agent.backend import (
    BackendCall,
    BackendClient,
    BackendError,
    RequestNotSent,
    ResponseSink,
    Usage,
    parse_load,
    request_body,
    request_headers,
)
from test.backend_fake import FakeBackend


class RecordingSink(ResponseSink):
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
        self.backend = FakeBackend()
        self.client = BackendClient.from_address(await self.backend.start())
        self.sink = RecordingSink()

    async def asyncTearDown(self):
        self.client.close()
        await self.backend.stop()

    async def error_code(self, mode, **fields):
        self.backend.mode = mode
        with self.assertRaises(BackendError) as caught:
            await self.client.call(call(**fields), self.sink)
        self.assertTrue(caught.exception.sent)
        return caught.exception.code

    async def test_stream_is_forwarded_and_usage_returned(self):
        usage = await self.client.call(call(), self.sink)
        self.assertEqual(usage, Usage(9, 8, 2))
        self.assertTrue(self.sink.body.endswith(b"data: [DONE]\n\n"))

    async def test_headers_are_replaced(self):
        # Guards against a caller choosing its own request id or fencing token, and
        # against its API key reaching the server.
        forged = [
            ("X-Request-Id", "x"),
            ("X-Fencing-Token", "9"),
            ("Authorization", "k"),
        ]
        self.backend.mode = "plain"
        sent = call(headers=forged, idempotent=False, idempotency_key="k1", epoch=3)
        await self.client.call(sent, self.sink)
        received = self.backend.requests[0]
        self.assertEqual(received.header("x-request-id"), "r1")
        self.assertEqual(received.header("x-fencing-token"), "3")
        self.assertEqual(received.header("idempotency-key"), "k1")
        self.assertEqual(received.header("authorization"), "")

    def test_engine_gets_only_the_class_priority(self):
        # Guards against a caller that gets ahead of others by setting a priority.
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

    def test_application_service_gets_workspace_and_scope_only_from_the_agent(self):
        # Guards against a caller that sends another workspace, and against epochs of
        # one partition that fence off another partition.
        given = [("X-Workspace", "other"), ("X-Fencing-Scope", "s/9")]
        fields = {"headers": given, "workspace": "w", "epoch": 3, "scope": "s/1"}
        sent = request_headers(call(**fields, engine=False))
        self.assertEqual([v for k, v in sent if k == "X-Workspace"], ["w"])
        self.assertEqual([v for k, v in sent if k == "X-Fencing-Scope"], ["s/1"])
        names = [name for name, _ in request_headers(call(**fields))]
        self.assertNotIn("X-Workspace", names)

    async def test_response_for_another_request_is_discarded(self):
        # Guards against a caller receiving another caller's response.
        self.assertEqual(await self.error_code("crossed"), "crossed_answer")
        self.assertEqual(self.sink.body, b"")

    async def test_truncated_responses_fail(self):
        # Guards against a truncated response being reported as complete.
        for mode in ("truncated", "stream_without_end"):
            with self.subTest(mode=mode):
                self.assertEqual(await self.error_code(mode), "truncated")

    async def test_stalled_stream_fails(self):
        self.backend.gate.clear()
        self.assertEqual(
            await self.error_code("stream", stall_timeout_s=0.1), "backend_silent"
        )

    async def test_refused_connection_means_request_not_sent(self):
        await self.backend.stop()
        with self.assertRaises(RequestNotSent):
            await self.client.call(call(), self.sink)

    async def test_invalid_header_means_request_not_sent(self):
        # Guards against a caller's invalid header counting as a server failure.
        for value in ("a\nb", "\u20ac"):
            with self.assertRaises(RequestNotSent) as caught:
                await self.client.call(call(headers=[("x", value)]), self.sink)
            self.assertEqual(caught.exception.code, "invalid_request")

    async def test_probes(self):
        health = await self.client.health()
        self.assertEqual((health.incarnation, health.started_at), ("i1", 10.0))
        self.assertEqual((await self.client.load()).running, 3)
        self.assertIsNone(parse_load("num_requests_running NaNx"))


class StrayResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an earlier response that is taken for the next request's."""

    STRAY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    # Seconds from a response to the stray bytes.
    LATE_S = 0.02

    async def serve(self, reader, writer):
        """Responds to each request, and sends stray bytes after each response."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.received += 1
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            await reader.readexactly(length)
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
            if self.delay_s:
                writer.write(response)
                await asyncio.sleep(self.delay_s)
                writer.write(self.STRAY)
            else:
                writer.write(response + self.STRAY)
        writer.close()

    async def assert_not_taken_for_a_response(self, delay_s):
        self.received, self.delay_s = 0, delay_s
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient.from_address(f"127.0.0.1:{port}")
        try:
            for number in range(3):
                sink = RecordingSink()
                await client.call(call(request_id=f"r{number}"), sink)
                self.assertEqual((sink.status, sink.body), (200, b"done"))
                await asyncio.sleep(2 * delay_s)
        finally:
            client.close()
            server.close()
            # Lets the server's side of the connections end.
            await asyncio.sleep(self.LATE_S)
        self.assertEqual(self.received, 3)

    async def test_stray_response_on_an_idle_connection(self):
        await self.assert_not_taken_for_a_response(self.LATE_S)

    async def test_stray_response_in_one_read_with_the_end_of_a_response(self):
        await self.assert_not_taken_for_a_response(0.0)
