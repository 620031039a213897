"""Tests of servers that answer while the request is still being written.

Guards MIXED: a part of an answer without a length was passed on as a whole one when its
server reset the connection during the upload; and an answer with a status that doesn't
exist in HTTP was passed on.
"""

import asyncio
import contextlib
import socket
import struct
import threading
import time
import unittest

from emulator.platform.deployment import (
    Deployment,
    build_configuration,
    build_route,
)
from emulator.standin import LOOPBACK
from heatherswitch.util.http import ConnectionLost
from heatherswitch.util.http_client import HttpClient

# Bodies that fit into the buffers of the sockets, and one that doesn't.
BODY_BYTES = (0, 60_000, 3_900_000)
MAX_BODY_BYTES = 4_194_304
# Receive buffer of a server, so that most of the largest body stays at the gateway.
RECEIVE_BUFFER_BYTES = 16_384
# Seconds between a part of the answer and the end of the connection.
DELAYS_S = (0.0, 0.005, 0.05, 0.3)
PATHS = ("/lookup/1", "/settle/1", "/draft/1", "/answer/1")
EVENT = b"id: 1\ndata: piece 1\n\n"
LINGER_RESET = struct.pack("ii", 1, 0)
# Statuses that RFC 9110, section 15, calls invalid.
BAD_STATUSES = ("000", "099", "0200", "20", "-20", "600", "999", "1000")


class EarlyServer:
    """Answers each request as soon as it has its head, and ends the connection.

    :param status_line: first line of the answers.
    :param fields: further lines of the head.
    :param body: what is sent of the body.
    :param delay_s: seconds from there to the end of the connection.
    :param reset: the connection is reset; otherwise the server half-closes it first.
    :param read_bytes_s: bytes of the request's body that it reads a second meanwhile.
    """

    def __init__(
        self,
        status_line: bytes = b"HTTP/1.1 200 OK",
        fields: tuple[bytes, ...] = (),
        body: bytes = EVENT,
        delay_s: float = 0.0,
        reset: bool = True,
        read_bytes_s: int = 0,
    ) -> None:
        self._status_line = status_line
        self._fields = fields
        self._body = body
        self._delay_s = delay_s
        self._reset = reset
        self._read_bytes_s = read_bytes_s
        self.requests = 0
        self._listener = socket.create_server((LOOPBACK, 0))
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The ``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Closes the listener."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            data = b""
            while b"\r\n\r\n" not in data:
                part = connection.recv(1024)
                if not part:
                    return
                data += part
            self.requests += 1
            lines = [self._status_line, *self._fields]
            for line in data.split(b"\r\n"):
                if line.lower().startswith(b"x-attempt-id:"):
                    lines.append(line)
            lines.append(b"X-Response-Seal: s")
            connection.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + self._body)
            ends_at = time.monotonic() + self._delay_s
            while (left_s := ends_at - time.monotonic()) > 0:
                if self._read_bytes_s:
                    connection.recv(max(1, self._read_bytes_s // 100))
                time.sleep(min(0.01, left_s))
            if self._reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            else:
                connection.shutdown(socket.SHUT_WR)
                time.sleep(0.2)


class EarlyAnswerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        limits = build_configuration()["limits"] | {"max_body_bytes": MAX_BODY_BYTES}
        routes = build_configuration()["routes"]
        routes.append(build_route("/new/", "safe", "ledger", allow_anonymous=True))
        configuration = build_configuration(2, limits=limits, routes=routes)
        self.deployment.store.put("op/config", configuration)
        async with asyncio.timeout(5.0):
            while (await self.deployment.call("/new/1"))[0] == 404:
                await asyncio.sleep(0.05)

    async def add(self, server: EarlyServer, name: str = "bad") -> None:
        """Lists a server for each kind of route, and waits for it."""
        self.addCleanup(server.close)
        for service in ("ledger", "appraiser"):
            entry = {"service": service, "address": server.address, "zone": "a"}
            entry |= {"version": "v1", "slots": 8, "state": "ready", "born": 1}
            server_id = f"{name}-{service}"
            self.deployment.store.put(f"servers/{server_id}", entry)
            await self.deployment.wait_until(
                lambda server_id=server_id: self.deployment.gateway.routes_to(server_id)
            )

    async def call(self, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Returns status and body; status -1 if the answer was cut or malformed."""
        try:
            status, received, _ = await self.deployment.call(
                path, method="POST", body=body, X_Deadline_Ms="1500"
            )
        except ConnectionLost:
            return -1, b""
        return status, received


class InterruptedUploadTest(EarlyAnswerCase):
    async def check(self, **options) -> None:
        """Checks that no caller gets a part of an answer as a whole one."""
        for delay_s in DELAYS_S:
            server = EarlyServer(delay_s=delay_s, **options)
            await self.add(server, f"bad-{delay_s}")
            cases = [(path, size) for path in PATHS for size in BODY_BYTES]
            results = await asyncio.gather(
                *(self.call(path, b"x" * size) for path, size in cases)
            )
            self.assertGreater(server.requests, 0)
            server.close()
            for (path, size), (status, _) in zip(cases, results, strict=True):
                with self.subTest(path=path, size=size, delay_s=delay_s):
                    self.assertFalse(200 <= status < 300, status)

    async def test_reset_during_an_upload(self):
        await self.check()

    async def test_reset_while_the_upload_is_read_slowly(self):
        await self.check(read_bytes_s=1_000_000)

    async def test_reset_of_an_answer_in_an_earlier_version(self):
        await self.check(status_line=b"HTTP/1.0 200 OK")

    async def test_reset_of_an_answer_that_closes(self):
        await self.check(fields=(b"Connection: close",))

    async def test_end_of_the_connection_before_the_request_was_sent(self):
        """What a server says before it has read the request is no answer to it."""
        for status_line in (b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK"):
            server = EarlyServer(status_line, delay_s=0.05, reset=False)
            await self.add(server, f"half-{status_line[5:8].decode()}")
            for path in PATHS:
                with self.subTest(path=path, status_line=status_line):
                    status, _ = await self.call(path, b"x" * BODY_BYTES[-1])
                    self.assertFalse(200 <= status < 300, status)
            self.assertGreaterEqual(server.requests, len(PATHS))
            server.close()

    async def test_whole_answer_without_a_length_is_delivered(self):
        server = EarlyServer(reset=False)
        await self.add(server)
        for path in PATHS:
            with self.subTest(path=path):
                self.assertEqual(await self.call(path), (200, EVENT))


class BadStatusTest(EarlyAnswerCase):
    async def test_statuses_outside_of_http_are_not_delivered(self):
        for status in BAD_STATUSES:
            line = b"HTTP/1.1 %s Status" % status.encode()
            server = EarlyServer(line, (b"Content-Length: %d" % len(EVENT),))
            await self.add(server, f"bad{status}")
            for path in PATHS:
                with self.subTest(status=status, path=path):
                    got, body = await self.call(path)
                    self.assertIn(got, (-1, 502, 503, 504))
                    self.assertNotEqual(body, EVENT)
            server.close()

    async def test_client_of_other_programs_accepts_no_such_status(self):
        """Agents and clients of the store read answers with it."""
        for status in BAD_STATUSES:
            line = b"HTTP/1.1 %s Status" % status.encode()
            server = EarlyServer(line, (b"Content-Length: 0",), b"")
            self.addCleanup(server.close)
            with self.subTest(status=status), self.assertRaises(ConnectionLost):
                await HttpClient.from_address(server.address).request("GET", "/")
