import asyncio
import json
import unittest
from dataclasses import replace

from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router.shell import Router, RouterConfig
from heatherswitch.util.http_client import ConnectionLost, HttpClient
from test.router_fakes import (
    API_KEY,
    FakeAgent,
    event,
    fleet_config,
    response_events,
    table,
)

CHAT = {"model": "chat", "messages": [{"role": "user", "content": "hi"}]}


class FakeNode:
    """Fleet state with a fixed configuration and no peers."""

    def __init__(self, members, **options):
        self.config = fleet_config()
        self.members = members
        self.ready = True
        self.own_record = options["own_record"]

    def servicer(self):
        return pb_grpc.PeerServicer()

    async def start(self):
        pass

    stop = run_exchange = start


class CallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.agent = FakeAgent()
        self.ledger = FakeAgent()
        members = table(
            await self.agent.start("a1"),
            await self.ledger.start("l1", service="ledger"),
        )
        config = RouterConfig("r1", "z1", drain_delay_s=0.05)
        self.router = Router.from_config(config, lambda **o: FakeNode(members, **o))
        await self.router.start()
        self.client = HttpClient.from_address(self.router.addresses["caller"])

    async def asyncTearDown(self):
        await self.router.stop()
        self.client.close()
        await self.agent.stop()
        await self.ledger.stop()

    async def send(self, method, target, body=b"", key=API_KEY, **headers):
        sent = [(name.replace("_", "-"), value) for name, value in headers.items()]
        if key:
            sent.append(("Authorization", f"Bearer {key}"))
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return await self.client.request(method, target, sent, body)

    async def send_and_read_error(self, *args, **options):
        response = await self.send(*args, **options)
        return response.status, json.loads(await response.read())["error"]["code"]

    async def test_chat_response_carries_the_callers_request_id(self):
        response = await self.send(
            "POST", "/v1/chat/completions", CHAT, X_Request_Id="mine"
        )
        self.assertEqual((response.status, await response.read()), (200, b"hello"))
        self.assertEqual(response.header("x-request-id"), "mine")
        # P5: two callers that send the same id must not get each other's response.
        self.assertNotEqual(self.agent.requests[0].request_id, "mine")
        self.assertEqual(self.agent.requests[0].workspace, "w1")

    async def test_callers_cannot_choose_their_workspace(self):
        # A caller must not act for another workspace, and its API key must not reach
        # the backend server.
        status = await self.send_and_read_error("GET", "/v1/models", key="wrong")
        self.assertEqual(status, (401, "invalid_api_key"))
        headers = {"X_Workspace": "w2", "X_Fencing_Token": "9", "Connection": "X-Hop"}
        response = await self.send("GET", "/ledger/lots/1?a=b", X_Hop="1", **headers)
        await response.read()
        request = self.ledger.requests[0]
        self.assertEqual((request.workspace, request.target), ("w1", "/lots/1?a=b"))
        self.assertEqual([header.name for header in request.headers], [])

    async def test_invalid_requests_are_refused_before_any_attempt(self):
        # Fault F17: malformed requests. P7: an ambiguous path must not reach a
        # non-idempotent route without a claim.
        cases = [
            (("POST", "/ledger/settle"), {}, 400, "idempotency_key_required"),
            (("GET", "/ledger/lots/../settle"), {}, 400, "invalid_path"),
            (("GET", "/ledger/lots/%2e%2e/settle"), {}, 400, "invalid_path"),
            (("GET", "/ledger/lots/..%2fsettle"), {}, 400, "invalid_path"),
            (("GET", "/ledger//lots"), {}, 400, "invalid_path"),
            (("GET", "/ledger/settle"), {}, 404, "no_such_route"),
            (("GET", "/chat/lots"), {}, 404, "no_such_route"),
            (("GET", "/ledger/lots", b"x" * 2001), {}, 413, "body_too_large"),
            (("GET", "/ledger/lots"), {"X_Request_Class": "x"}, 400, "unknown_class"),
            (
                ("GET", "/ledger/lots"),
                {"X_Request_Timeout_Ms": "0"},
                400,
                "invalid_timeout",
            ),
            (
                ("POST", "/v1/chat/completions", CHAT | {"model": "ledger"}),
                {},
                404,
                "model_not_found",
            ),
        ]
        for args, headers, status, code in cases:
            with self.subTest(args=args[:2], headers=headers):
                self.assertEqual(
                    await self.send_and_read_error(*args, **headers), (status, code)
                )
        self.assertEqual(self.agent.requests + self.ledger.requests, [])

    async def test_claimed_route_carries_key_and_is_not_retried(self):
        # P7: a non-idempotent request must not be sent again after an unknown outcome.
        self.ledger.script = lambda r: [event(r.request_id, accepted=pb.Accepted())]
        found = await self.send_and_read_error(
            "POST", "/ledger/settle", Idempotency_Key="k1"
        )
        self.assertEqual(found, (504, "agent_stream_ended"))
        (request,) = self.ledger.requests
        self.assertEqual((request.idempotent, request.idempotency_key), (False, "k1"))

    async def test_refusal_sets_status_and_retry_after(self):
        refused = pb.Refused(reason=pb.FAIR_SHARE, retry_after_ms=2500)
        self.agent.script = lambda r: [event(r.request_id, refused=refused)]
        response = await self.send("POST", "/v1/chat/completions", CHAT)
        self.assertEqual((response.status, response.header("retry-after")), (429, "3"))
        await response.read()

    async def test_incomplete_stream_is_reported_as_an_error(self):
        # P5: a truncated stream must not look complete.
        def script(request):
            accepted, head, first, _, done = response_events(request.request_id)
            head.head.headers.add(name="Content-Type", value="text/event-stream")
            return [accepted, head, first, done]

        self.agent.script = script
        body = CHAT | {"stream": True}
        response = await self.send("POST", "/v1/chat/completions", body)
        data = b""
        with self.assertRaises(ConnectionLost):
            async for chunk in response.chunks():
                data += chunk
        self.assertIn(b'"code":"length_mismatch"', data)

    async def test_caller_gets_a_complete_response_after_a_resumption(self):
        # Fault F4, end to end: the connection to the agent stops delivering events.
        parts = {}

        def script(request):
            parts["events"] = response_events(request.request_id)
            return [*parts["events"][:3], None]

        self.agent.script = script
        self.agent.resume_script = lambda request: parts["events"][3:]
        response = await self.send("POST", "/v1/chat/completions", CHAT)
        self.assertEqual(await response.read(), b"hello")

    async def test_invalid_buffered_response_is_retried_at_another_agent(self):
        # P5: an invalid response must not be delivered if a retry is possible.
        second = FakeAgent()
        self.addAsyncCleanup(second.stop)
        members = self.router.node.members
        members.merge(self.router.clock.now(), [await second.start("a2")])
        calls = []

        def script(request):
            calls.append(request)
            events = response_events(request.request_id)
            return events if len(calls) > 1 else [*events[:3], events[4]]

        self.agent.script = second.script = script
        reports = []
        self.router.runner.add_result_observer(reports.append)
        response = await self.send("POST", "/v1/chat/completions", CHAT)
        self.assertEqual((response.status, await response.read()), (200, b"hello"))
        self.assertEqual([call.attempt for call in calls], [1, 2])
        self.assertEqual({call.agent_id for call in calls}, {"a1", "a2"})
        self.assertEqual(
            [(report.version, type(report.result).__name__) for report in reports],
            [("v1", "OutcomeUnknown"), ("v1", "Finished")],
        )

    async def test_caller_that_leaves_ends_the_call_to_the_agent(self):
        # Otherwise the engine would go on generating tokens for no one.
        ended = asyncio.Event()

        async def play(script):
            for item in script[:3]:
                yield item
            try:
                while True:
                    await asyncio.sleep(0.05)
                    yield event(script[0].request_id, ping=pb.Ping())
            finally:
                ended.set()

        self.agent._play = play
        body = CHAT | {"stream": True}
        response = await self.send("POST", "/v1/chat/completions", body)
        response.close()
        await asyncio.wait_for(ended.wait(), 5)
        self.assertEqual(self.agent.resumes, [])

    async def test_stop_finishes_running_requests(self):
        # P9: a planned stop must not interrupt requests.
        release = asyncio.Event()

        async def play(script):
            await release.wait()
            for item in script:
                yield item

        self.agent._play = play
        sent = asyncio.create_task(self.send("POST", "/v1/chat/completions", CHAT))
        while not self.agent.requests:
            await asyncio.sleep(0.01)
        stop = asyncio.create_task(self.router.stop())
        await asyncio.sleep(0.05)
        health = HttpClient.from_address(self.router.addresses["metrics"])
        self.assertEqual((await health.request("GET", "/readyz")).status, 503)
        release.set()
        self.assertEqual(await (await sent).read(), b"hello")
        await stop
        health.close()

    async def test_request_that_outlasts_the_grace_period_gets_a_response(self):
        # P9: its connection was closed without one, so that its caller could not tell
        # whether it had run.
        self.router._config = replace(self.router._config, grace_s=0.6)
        running = pb.Accepted(incarnation=1)
        self.agent.script = lambda r: [event(r.request_id, accepted=running), None]
        call = asyncio.create_task(
            self.send_and_read_error("POST", "/v1/chat/completions", CHAT)
        )
        while not self.agent.requests:
            await asyncio.sleep(0.01)
        await self.router.stop()
        self.assertEqual(await call, (504, "stopping"))

    async def test_request_in_flight_when_the_listener_closes_is_served(self):
        # P9: a new connection must not be closed before its first request is served.
        host, _, port = self.router.addresses["caller"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.01)
        listener_stop = asyncio.create_task(self.router._caller_server.stop(5.0))
        await asyncio.sleep(0)
        head = (
            f"GET /ledger/lots/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {API_KEY}"
        )
        writer.write(head.encode() + b"\r\n\r\n")
        self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 200"))
        writer.close()
        await listener_stop
