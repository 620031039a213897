"""Fuzz tests: generated malformed input to listeners and parsers (F17).

It must be rejected with a clear error and must not damage state or end a process.
"""

import asyncio
import json
import unittest

import grpc
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from heatherswitch.agent.backend import BackendClient, BackendError
from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, Role
from heatherswitch.fleet.records import MOVES_PREFIX, PARTITIONS_PREFIX
from heatherswitch.fleet.settings import SETTINGS_PREFIX, node_key
from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.router.operators import OperatorApi
from heatherswitch.router.shell import Router, RouterConfig
from heatherswitch.statecore.replica import Entry
from heatherswitch.statecore.store import StoreClient, StoreError
from test.memory_store import MemoryStore
from test.router_fakes import API_KEY, FakeAgent, table
from test.test_backend import RecordingSink, call
from test.test_callers import CHAT, FakeNode
from test.test_operators import TOKEN

# The same examples in each run. They have no deadline, since machines differ in speed.
FUZZ_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
MAX_RESPONSE_BYTES = 65536
# Seconds within which a listener must respond or close the connection.
RESPONSE_TIMEOUT_S = 20.0
UNKNOWN_METHOD = grpc.StatusCode.UNIMPLEMENTED

json_scalars = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
)
field_names = st.sampled_from(
    ["limits", "max_running", "routes", "classes", "share", "partitions", "kind"]
) | st.text(max_size=6)
json_values = st.recursive(
    json_scalars,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(field_names, inner, max_size=3)
    ),
    max_leaves=8,
)
documents = st.binary(max_size=60) | json_values.map(
    lambda value: json.dumps(value).encode()
)
key_prefixes = st.sampled_from([SETTINGS_PREFIX, MOVES_PREFIX, PARTITIONS_PREFIX])
entry_keys = st.builds(
    str.__add__,
    key_prefixes,
    st.sampled_from(["/", "/service=a", "m1", "a/0", "a/²", ""]),
)


class FuzzCase(unittest.TestCase):
    """Runs the coroutines of all examples of a test on one event loop."""

    def setUp(self):
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)

    def run_async(self, coroutine):
        """Runs a coroutine to its end and returns its result."""
        return self.runner.run(coroutine)

    async def exchange_bytes(self, address, data, half_close=True):
        """Sends bytes to a listener and returns the first bytes that it sends back.

        If the connection is closed or reset before, no bytes are returned.

        :param half_close: whether to close the sending direction after the data.
        :raises TimeoutError: if the listener neither responds nor closes in time.
        """
        reader, writer = await asyncio.open_connection(*address.split(":"))
        try:
            writer.write(data)
            if half_close:
                writer.write_eof()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await reader.read(MAX_RESPONSE_BYTES)
        except ConnectionError:
            return b""
        finally:
            writer.close()


class StoredValuesTest(FuzzCase):
    """Guards against malformed stored values that end a process or remove others."""

    @FUZZ_SETTINGS
    @given(st.lists(st.tuples(entry_keys, st.none() | documents), max_size=6))
    def test_malformed_stored_values_are_ignored(self, stored):
        config = FleetConfig()
        good = Entry(node_key("/service=good"), 1, b'{"share": 3}')
        config.apply([good])
        entries = [Entry(key, 2 + i, value) for i, (key, value) in enumerate(stored)]
        errors = config.apply(entries)
        self.assertTrue(all(str(error) for error in errors))
        share = config.settings(service="good").get("share")
        self.assertIsInstance(share, int | float)
        # None of the lookups raises an exception.
        for service in ("a", "good"):
            config.zone_is_out(service, "z", 10.0)
            config.version_is_closed(service, "v", 10.0)
            config.split(service, 10.0)
            config.head(service, 0)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=80) | documents)
    def test_malformed_store_responses_raise_store_errors(self, body):
        self.run_async(self._query_store(body))

    async def _query_store(self, body):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient.from_addresses([f"127.0.0.1:{port}"], timeout_s=2.0)
        try:
            for coroutine in (client.get("k"), client.range("k"), client.grant(5)):
                try:
                    await coroutine
                except StoreError as error:
                    self.assertTrue(str(error))
            with self.assertRaises(StoreError):
                await client.commit({"k": 1}, {"k": b"v"}, [])
                if json.loads(body).get("succeeded") is True:
                    raise StoreError("valid response")
        finally:
            client.close()
            server.close()


class OperatorListenerTest(FuzzCase):
    """Guards against malformed orders that end a router or get no error message."""

    def setUp(self):
        super().setUp()
        own = Member("r0", Role.ROUTER, "z1", "127.0.0.1:1", 1)
        self.node = FleetNode.from_config(lambda: own)
        api = OperatorApi.from_config(MemoryStore(), self.node, TOKEN, "r0")
        self.server = api.server()
        self.run_async(self.server.start("127.0.0.1", 0))
        self.addCleanup(lambda: self.run_async(self.server.stop(0)))
        self.address = f"127.0.0.1:{self.server.port}"

    @FUZZ_SETTINGS
    @given(
        st.sampled_from(
            [
                "PUT /v1/settings?path=/service=a",
                "POST /v1/apply",
                "POST /v1/zones/z/out",
                "POST /v1/versions/a/v/start",
                "DELETE /v1/settings?path=/&revision=",
            ]
        ),
        documents,
    )
    def test_malformed_orders_are_refused_with_a_message(self, request_line, body):
        head = (
            f"{request_line} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        )
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        response = self.run_async(
            self.exchange_bytes(self.address, head.encode() + body, False)
        )
        status, text = int(response.split()[1]), response.partition(b"\r\n\r\n")[2]
        self.assertNotEqual(500, status, text)
        if status >= 300:
            self.assertTrue(json.loads(text)["error"]["message"])

    @FUZZ_SETTINGS
    @given(st.binary(max_size=200))
    def test_invalid_http_ends_only_its_connection(self, data):
        self.run_async(self.exchange_bytes(self.address, data))
        good = (
            f"GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        )
        good += "Connection: close\r\n\r\n"
        response = self.run_async(
            self.exchange_bytes(self.address, good.encode(), False)
        )
        self.assertIn(b" 200 ", response[:20])


class CallerListenerTest(FuzzCase):
    """Guards against malformed caller requests that end a router or hide a refusal."""

    def setUp(self):
        super().setUp()
        self.run_async(self._start())
        self.addCleanup(lambda: self.run_async(self._stop()))

    async def _start(self):
        self.agent = FakeAgent()
        members = table(await self.agent.start("a1"))
        config = RouterConfig("r1", "z1", drain_delay_s=0.05)
        self.router = Router.from_config(config, lambda **o: FakeNode(members, **o))
        await self.router.start()
        self.address = self.router.addresses["caller"]

    async def _stop(self):
        await self.router.stop()
        await self.agent.stop()

    def post(self, body, headers=""):
        head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        head += f"Authorization: Bearer {API_KEY}\r\n{headers}"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        data = head.encode("latin-1") + body
        return self.run_async(self.exchange_bytes(self.address, data, False))

    @FUZZ_SETTINGS
    @given(documents)
    def test_malformed_chats_are_refused_as_not_run(self, body):
        before = len(self.agent.requests)
        response = self.post(body)
        status, text = int(response.split()[1]), response.partition(b"\r\n\r\n")[2]
        if len(self.agent.requests) == before:
            error = json.loads(text)["error"]
            self.assertIn(status, (400, 404, 413))
            self.assertEqual("not_run", error["outcome"])
            self.assertTrue(error["message"])

    @FUZZ_SETTINGS
    @given(
        st.sampled_from(
            ["X-Request-Timeout-Ms", "X-Chat-Id", "Idempotency-Key", "X-Request-Class"]
        ),
        st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=300),
    )
    def test_malformed_headers_get_no_server_error(self, name, value):
        response = self.post(json.dumps(CHAT).encode(), f"{name}: {value}\r\n")
        self.assertIn(int(response.split()[1]), (200, 400, 431))

    @FUZZ_SETTINGS
    @given(st.binary(max_size=200))
    def test_invalid_http_ends_only_its_connection(self, data):
        self.run_async(self.exchange_bytes(self.address, data))
        self.assertIn(b" 200 ", self.post(json.dumps(CHAT).encode())[:20])


class BackendResponsesTest(FuzzCase):
    """Guards against malformed responses that end an agent or count as complete."""

    @FUZZ_SETTINGS
    @given(st.binary(max_size=120), st.sampled_from(["", "head", "stream"]))
    def test_malformed_responses_are_backend_errors(self, data, kind):
        heads = {
            "": b"",
            "head": b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n",
            "stream": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
        }
        self.run_async(self._call_backend(heads[kind] + data))

    async def _call_backend(self, response):
        async def serve(reader, writer):
            await reader.read(65536)
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient.from_address(f"127.0.0.1:{port}")
        try:
            with self.assertRaises(BackendError) as caught:
                await client.call(call(engine=True, idempotent=False), RecordingSink())
            self.assertTrue(caught.exception.code)
            health = await client.health()
            self.assertIsInstance(health.healthy, bool)
            await client.load()
        finally:
            client.close()
            server.close()


class PeerListenerTest(FuzzCase):
    """Guards against malformed peer messages that end a process or replace entries."""

    @FUZZ_SETTINGS
    @given(st.binary(max_size=120), st.lists(documents, max_size=3), st.integers(0, 99))
    def test_malformed_exchanges_are_refused_and_change_nothing(
        self, data, stored, revision
    ):
        self.run_async(self._exchange(data, stored, revision))

    async def _exchange(self, data, stored, revision):
        own = Member("r0", Role.ROUTER, "z1", "127.0.0.1:1", 1)
        node = FleetNode.from_config(lambda: own)
        node.apply_entries([Entry(node_key("/service=a"), 50, b'{"share": 3}')], 50)
        server = grpc.aio.server()
        port = server.add_insecure_port("127.0.0.1:0")
        pb_grpc.add_PeerServicer_to_server(node.servicer(), server)
        await server.start()
        entries = [
            pb.ConfigEntry(key=node_key("/service=a"), mod_revision=revision, value=v)
            for v in stored
        ]
        request = pb.ExchangeRequest(entries=entries, entries_revision=revision)
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
            exchange = channel.unary_unary("/heatherswitch.v1.Peer/Exchange")
            for message in (data, request.SerializeToString()):
                try:
                    await exchange(message, timeout=RESPONSE_TIMEOUT_S)
                except grpc.aio.AioRpcError as error:
                    not_rejected = (grpc.StatusCode.DEADLINE_EXCEEDED, UNKNOWN_METHOD)
                    self.assertNotIn(error.code(), not_rejected)
        await server.stop(0)
        self.assertGreaterEqual(node.entries.revision, 50)
        if revision <= 50:
            self.assertEqual(3, node.config.settings(service="a").get("share"))


if __name__ == "__main__":
    unittest.main()
