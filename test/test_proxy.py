import asyncio
import contextlib
import time
import unittest

from emulator.proxy import FaultProxy
from emulator.vmlist import VmList
from heatherswitch.util.http import BadRequest
from test.emulated import serve_app, set_faults


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = b""
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.proxy = FaultProxy(f"{host}:{port}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def echo(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(1024):
                self.received += data
                writer.write(data)
        writer.close()

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            *self.proxy.address.rsplit(":", 1)
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(
        self, connection, data: bytes = b"abc", timeout: float = 2.0
    ) -> bytes:
        connection[1].write(data)
        return await asyncio.wait_for(connection[0].read(100), timeout)

    async def test_drop_existing_stalls_open_connections_but_not_new_ones(self):
        # Guards against a drop_existing fault that closes connections, affects new ones
        # or ends when it is cleared.
        existing = await self.connect()
        self.assertEqual(await self.exchange(existing), b"abc")
        self.proxy.set_faults({"to_target": {"drop_existing": True}})
        with self.assertRaises(TimeoutError):
            await self.exchange(existing, timeout=0.3)
        self.assertEqual(await self.exchange(await self.connect()), b"abc")
        self.proxy.set_faults({})
        with self.assertRaises(TimeoutError):
            await self.exchange(existing, timeout=0.3)

    async def test_connections_share_the_throughput_of_the_link(self):
        # Guards against a thin link whose connections don't delay each other.
        self.proxy.set_faults({"to_client": {"link_bytes_per_s": 20_000}})
        connections = [await self.connect() for _ in range(2)]
        started_at = time.monotonic()
        for connection in connections:
            connection[1].write(b"x" * 4000)
        for connection in connections:
            await asyncio.wait_for(connection[0].readexactly(4000), 2.0)
        self.assertGreater(time.monotonic() - started_at, 0.35)

    async def test_lose_answers_delivers_the_request(self):
        # Guards against a lose_answers fault that also loses the request.
        self.proxy.set_faults({"to_client": {"lose_answers": True}})
        connection = await self.connect()
        with self.assertRaises(ConnectionResetError):
            if await self.exchange(connection) == b"":
                raise ConnectionResetError
        self.assertEqual(self.received, b"abc")

    async def test_faults_apply_to_one_direction(self):
        # Guards against a fault of one direction that also affects the other one.
        connection = await self.connect()
        self.proxy.set_faults({"to_client": {"duplicate": True, "delay_s": 0.2}})
        started = asyncio.get_running_loop().time()
        self.assertEqual(await self.exchange(connection), b"abcabc")
        self.assertGreaterEqual(asyncio.get_running_loop().time() - started, 0.2)

    async def test_cut_after_bytes_forwards_no_more_than_the_limit(self):
        # Guards against a cut_after_bytes fault that forwards more than its limit.
        self.proxy.set_faults({"to_target": {"cut_after_bytes": 2}})
        connection = await self.connect()
        connection[1].write(b"abc")
        received = b""
        with contextlib.suppress(ConnectionResetError):
            received = await asyncio.wait_for(connection[0].read(), 2)
        self.assertLessEqual(len(received), 2)
        self.assertLessEqual(len(self.received), 2)

    async def test_invalid_faults_are_rejected(self):
        # Guards against misspelt faults that are ignored, so that a test runs without.
        for body in ({"sideways": {}}, {"to_target": {"cutt": True}}, {"to_client": 1}):
            with self.subTest(body), self.assertRaises(BadRequest):
                self.proxy.set_faults(body)


class VmListTest(unittest.IsolatedAsyncioTestCase):
    async def test_list_reports_changes_with_a_lag(self):
        # Guards against a list that shows changes without its lag.
        client = await self.enterAsyncContext(serve_app(VmList(lag_s=0)))
        vm = {"address": "127.0.0.1:1", "state": "live"}
        await client.request_json("PUT", "/vms/a", vm)
        _, body = await client.request_json("GET", "/vms")
        self.assertEqual(body["vms"], {"a": vm})
        await set_faults(client, {"kind": "delay", "seconds": 60})
        _, body = await client.request_json("GET", "/vms")
        self.assertEqual(body["vms"], {})
        status, _ = await client.request_json("PUT", "/vms/a", {"state": "up"})
        self.assertEqual(status, 400)
