"""Tests of the HTTP server's stop: no request that it has read ends without an answer."""

import asyncio
import socket
import subprocess
import sys
import time
import unittest

from heatherswitch.util import http_server
from heatherswitch.util.http import HttpLimits
from heatherswitch.util.http_server import HttpServer

HOST = "127.0.0.1"
REQUEST = b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
GRACE_S = 1.5
# Serves one response that the socket does not take to its end, and stops meanwhile.
SERVE_ONE_RESPONSE = """
import asyncio
from heatherswitch.util.http_server import HttpServer

async def main():
    written = asyncio.Event()

    async def handle(request, responder):
        parts = 0
        await responder.start(200, [])
        while not responder._writer.transport.get_write_buffer_size():
            await responder.write(b"x" * 8192)
            parts += 1
        await responder.finish()
        print(parts, flush=True)
        written.set()

    server = HttpServer(handle)
    await server.start("127.0.0.1", 0)
    print(server.port, flush=True)
    await written.wait()
    await server.stop(5.0)

asyncio.run(main())
"""


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.server = HttpServer(self.handle, HttpLimits(idle_timeout_s=0.4))
        await self.server.start(HOST, 0)
        self.addAsyncCleanup(self.server.stop, 0)

    async def handle(self, request, responder):
        if request.path == "/stream":
            await responder.start(200, [])
            await responder.write(b"first")
            await self.release.wait()
            await responder.finish()
        else:
            await responder.send(200, request.body)

    async def connect(self) -> socket.socket:
        """Returns a connection that has had one answer and is kept open."""
        caller = socket.create_connection((HOST, self.server.port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        await self.send(caller, b"first")
        self.assertIn(b"200", await self.receive(caller))
        return caller

    async def send(self, caller: socket.socket, path: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(caller, REQUEST % path)

    async def receive(self, caller: socket.socket) -> bytes:
        """Returns the next bytes; empty if the server closed after it read all data.

        :raises ConnectionResetError: if the server closed with unread data.
        """
        async with asyncio.timeout(5.0):
            return await asyncio.get_running_loop().sock_recv(caller, 4096)

    def send_and_block_loop(self, caller: socket.socket) -> None:
        """Sends a request and keeps the event loop busy, as on a loaded machine.

        The loop then sees the request together with timers that have passed meanwhile.
        """
        caller.send(REQUEST % b"late")
        time.sleep(0.1)

    def send_while_loop_is_blocked(self, caller: socket.socket, delay_s: float) -> None:
        """Sends a request in the iteration of the event loop that runs a given timer."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s - 0.05, time.sleep, 0.1)
        loop.call_later(delay_s, caller.send, REQUEST % b"late")

    async def assert_answered_or_unread(self, caller: socket.socket) -> bytes:
        try:
            received = await self.receive(caller)
        except ConnectionResetError:
            return b""
        self.assertTrue(received, "a request was read and got no answer")
        return received

    async def test_request_that_arrives_as_idle_connections_are_closed(self):
        """It was read, and the connection closed without an answer."""
        for offset_s in (-0.002, 0.0, 0.002, 0.004):
            with self.subTest(offset_s=offset_s):
                await self.asyncSetUp()
                self.server.limits = HttpLimits()
                caller = await self.connect()
                await asyncio.sleep(0.01)
                close_after_s = http_server.LATE_REQUEST_GRACE_S
                self.send_while_loop_is_blocked(caller, close_after_s + offset_s)
                await self.server.stop(GRACE_S)
                await self.assert_answered_or_unread(caller)

    async def test_request_that_arrives_at_the_idle_timeout(self):
        """It was read, and the connection closed without an answer."""
        for offset_s in (-0.04, -0.02, 0.0):
            with self.subTest(offset_s=offset_s):
                caller = await self.connect()
                loop = asyncio.get_running_loop()
                idle_s = self.server.limits.idle_timeout_s
                loop.call_later(idle_s + offset_s, self.send_and_block_loop, caller)
                await self.assert_answered_or_unread(caller)

    async def test_request_behind_a_response_that_outlasts_the_accept_deadline(self):
        """The response began before the stop, so it has no "Connection: close"."""
        caller = await self.connect()
        await self.send(caller, b"stream")
        self.assertIn(b"first", await self.receive(caller))
        stop = asyncio.create_task(self.server.stop(GRACE_S))
        await self.send(caller, b"late")
        await asyncio.sleep(http_server.LATE_REQUEST_GRACE_S + 0.2)
        self.release.set()
        await stop
        received = await self.receive(caller)
        while part := await self.receive(caller):
            received += part
        end, _, late = received.partition(b"0\r\n\r\n")
        self.assertEqual(end, b"")
        self.assertIn(b"HTTP/1.1 503", late)
        self.assertIn(b"retry-after: 0", late.lower())
        self.assertIn(b"connection: close", late.lower())

    async def test_request_that_is_read_slowly_is_refused_after_the_deadline(self):
        """It was served until the grace period ended, and then cut off."""
        caller = await self.connect()
        loop = asyncio.get_running_loop()
        request = REQUEST % b"stream"
        await loop.sock_sendall(caller, request[:-1])
        stop = asyncio.create_task(self.server.stop(GRACE_S))
        await asyncio.sleep(http_server.LATE_REQUEST_GRACE_S + 0.2)
        await loop.sock_sendall(caller, request[-1:])
        self.assertIn(b"HTTP/1.1 503", await self.receive(caller))
        await stop

    async def test_stop_lasts_no_longer_than_the_grace_period(self):
        caller = await self.connect()
        await self.send(caller, b"stream")
        await self.receive(caller)
        started_at = time.monotonic()
        await self.server.stop(0.5)
        self.assertLess(time.monotonic() - started_at, 0.7)


class SlowCallerTest(unittest.TestCase):
    def test_response_is_sent_completely_before_the_process_ends(self):
        """The part that the kernel had not taken yet was lost at the process's end."""
        with subprocess.Popen(
            [sys.executable, "-c", SERVE_ONE_RESPONSE],
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            self.addCleanup(process.kill)
            caller = socket.create_connection((HOST, int(process.stdout.readline())))
            self.addCleanup(caller.close)
            caller.settimeout(5.0)
            caller.sendall(REQUEST % b"large")
            parts = int(process.stdout.readline())
            # Now the server has nothing left to do but to send the rest.
            time.sleep(1.0)
            received = bytearray()
            while part := caller.recv(65536):
                received += part
        self.assertEqual(received.count(b"x"), parts * 8192)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
