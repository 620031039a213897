import asyncio
import contextlib
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

    async def exchange(self, link, data: bytes = b"abc", timeout: float = 2.0) -> bytes:
        link[1].write(data)
        return await asyncio.wait_for(link[0].read(100), timeout)

    async def test_silent_connection_while_new_ones_work(self):
        # Guards against a silent fault that closes the connection or hits all.
        old = await self.connect()
        self.assertEqual(await self.exchange(old), b"abc")
        self.proxy.set_faults({"to_target": {"drop_existing": True}})
        with self.assertRaises(TimeoutError):
            await self.exchange(old, timeout=0.3)
        self.assertEqual(await self.exchange(await self.connect()), b"abc")
        self.proxy.set_faults({})
        with self.assertRaises(TimeoutError):
            await self.exchange(old, timeout=0.3)

    async def test_answer_is_lost_after_delivery(self):
        # Guards against a fault that also loses the request.
        self.proxy.set_faults({"to_client": {"lose_answers": True}})
        link = await self.connect()
        with self.assertRaises(ConnectionResetError):
            if await self.exchange(link) == b"":
                raise ConnectionResetError
        self.assertEqual(self.received, b"abc")

    async def test_directions_are_independent(self):
        # Guards against a one-way fault that hits both ways.
        link = await self.connect()
        self.proxy.set_faults({"to_client": {"duplicate": True, "delay_s": 0.2}})
        started = asyncio.get_running_loop().time()
        self.assertEqual(await self.exchange(link), b"abcabc")
        self.assertGreaterEqual(asyncio.get_running_loop().time() - started, 0.2)

    async def test_cut_after_bytes(self):
        # Guards against a cut that lets more than the set bytes through.
        self.proxy.set_faults({"to_target": {"cut_after_bytes": 2}})
        link = await self.connect()
        link[1].write(b"abc")
        received = b""
        with contextlib.suppress(ConnectionResetError):
            received = await asyncio.wait_for(link[0].read(), 2)
        self.assertLessEqual(len(received), 2)
        self.assertLessEqual(len(self.received), 2)

    async def test_invalid_faults_change_nothing(self):
        # Guards against a misspelt fault that a test believes to be active.
        for body in ({"sideways": {}}, {"to_target": {"cutt": True}}, {"to_client": 1}):
            with self.subTest(body), self.assertRaises(BadRequest):
                self.proxy.set_faults(body)


class VmListTest(unittest.IsolatedAsyncioTestCase):
    async def test_list_reports_changes_with_a_lag(self):
        # Guards against a list that shows changes at once.
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
