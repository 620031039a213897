"""Servers that send bytes that are no answer, and callers that do not read theirs.

Each case fails when a limit counts bytes as progress or a reader of bytes has no bound:
the request, its server and the gateway's memory would then be held without end.
"""

import asyncio
import itertools
import time
import unittest

from emulator.platform.deployment import Deployment
from emulator.platform.server import Behaviour
from heatherswitch.gateway.event_stream import MAX_EVENT_BYTES, EventReader
from heatherswitch.util import http_server
from heatherswitch.util.http import ConnectionLost
from heatherswitch.util.http_client import HttpClient

# Seconds that the callers wait, and what the gateway may take beyond that.
DEADLINE_S = 1.0
MARGIN_S = 0.5
BLOCK = b"x" * 8192
# Seconds between two bytes of a server that stalls; many come within one limit.
DRIP_S = 0.02


def endless(first: bytes, part: bytes):
    """Returns what sends ``first`` and then ``part`` without end."""
    return lambda head: itertools.chain([first], itertools.repeat(part))


def after_head(first: bytes, part: bytes):
    """The same after the head of a chunked answer to the request."""
    return lambda head: itertools.chain([head + first], itertools.repeat(part))


INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
STRAY = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"2000\r\n" + BLOCK + b"\r\n"


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def check(self, service: str, path: str, raw, gap_s: float = 0.0):
        """Calls a server in trouble and a sound one beside it."""
        await self.deployment.add("bad", service, Behaviour(raw=raw, raw_gap_s=gap_s))
        began = time.monotonic()
        milliseconds = str(int(DEADLINE_S * 1000))
        status = 0
        try:
            status, _, _ = await self.deployment.call(
                path, method="POST", X_Deadline_Ms=milliseconds
            )
        except ConnectionLost:
            # An answer that has begun ends without its end.
            status = -1
        self.assertNotEqual(status, 200)
        self.assertLess(time.monotonic() - began, DEADLINE_S + MARGIN_S)
        bad = self.deployment.servers["bad"]
        await self.deployment.until(lambda: bad.cancelled, timeout_s=MARGIN_S)

    async def test_head_without_end(self):
        await self.check(
            "ledger", "/settle/1", endless(b"HTTP/1.1 200 OK\r\nA: ", BLOCK)
        )

    async def test_head_line_by_line(self):
        line = b"A: " + BLOCK + b"\r\n"
        await self.check("ledger", "/settle/1", endless(b"HTTP/1.1 200 OK\r\n", line))

    async def test_head_a_byte_now_and_then(self):
        raw = endless(b"HTTP/1.1 200 OK\r\nA: ", b"x")
        await self.check("ledger", "/settle/1", raw, DRIP_S)

    async def test_interim_answers_without_end(self):
        await self.check("ledger", "/settle/1", endless(INTERIM, INTERIM))

    async def test_interim_answers_now_and_then(self):
        await self.check("ledger", "/settle/1", endless(INTERIM, INTERIM), DRIP_S)

    async def test_stray_answer_without_end(self):
        await self.check("ledger", "/settle/1", endless(STRAY, CHUNK))

    async def test_stray_answer_a_byte_now_and_then(self):
        raw = endless(STRAY, b"1\r\nx\r\n")
        await self.check("ledger", "/settle/1", raw, DRIP_S)

    async def test_chunk_line_without_end(self):
        await self.check("ledger", "/settle/1", after_head(b"1;a=", BLOCK))

    async def test_body_without_end(self):
        await self.check("ledger", "/settle/1", after_head(b"", CHUNK))

    async def test_body_a_byte_now_and_then(self):
        raw = after_head(b"", b"1\r\nx\r\n")
        await self.check("ledger", "/settle/1", raw, DRIP_S)

    async def test_trailer_without_end(self):
        await self.check("ledger", "/settle/1", after_head(b"0\r\nA: ", BLOCK))

    async def test_event_without_end(self):
        await self.check("appraiser", "/draft/1", after_head(b"", CHUNK))

    async def test_events_without_end(self):
        event = b"7\r\ndata:x\n\r\n1\r\n\n\r\n"
        await self.check("appraiser", "/draft/1", after_head(b"", event))

    async def test_event_a_byte_now_and_then(self):
        raw = after_head(b"", b"1\r\nx\r\n")
        await self.check("appraiser", "/draft/1", raw, DRIP_S)

    async def test_stream_that_may_go_on_leaves_a_server_that_only_sends_bytes(self):
        """Bytes without a whole event are silence; the deadline is far off."""
        raw = after_head(b"", b"1\r\nx\r\n")
        await self.deployment.add(
            "bad", "appraiser", Behaviour(raw=raw, raw_gap_s=DRIP_S)
        )
        began = time.monotonic()
        status, _, _ = await self.deployment.call("/answer/1", method="POST")
        self.assertIn(status, (502, 504))
        self.assertLess(time.monotonic() - began, 2.0)

    async def test_other_callers_are_served_meanwhile(self):
        raw = after_head(b"", CHUNK)
        await self.deployment.add("bad", "appraiser", Behaviour(raw=raw))
        await self.deployment.add("good", "ledger")
        stuck = asyncio.create_task(
            self.deployment.call("/draft/1", method="POST", X_Deadline_Ms="800")
        )
        for _ in range(5):
            began = time.monotonic()
            status, _, _ = await self.deployment.call("/settle/1", method="POST")
            self.assertEqual(status, 200)
            self.assertLess(time.monotonic() - began, MARGIN_S)
        await asyncio.gather(stuck, return_exceptions=True)

    async def test_slow_but_sound_stream_is_not_cut(self):
        """Whole events are progress, however slowly the bytes of each arrive."""
        events = [b"id: %d\ndata: piece\n\n" % n for n in range(1, 5)]

        def raw(head):
            yield head
            for event in events:
                for begin in range(0, len(event), 4):
                    part = event[begin : begin + 4]
                    yield b"%x\r\n%s\r\n" % (len(part), part)
            yield b"0\r\n\r\n"

        await self.deployment.add(
            "slow", "appraiser", Behaviour(raw=raw, raw_gap_s=0.08)
        )
        status, body, _ = await self.deployment.call("/answer/1", method="POST")
        self.assertEqual((status, body), (200, b"".join(events)))


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_caller_that_does_not_read_frees_its_server_at_its_deadline(self):
        event = b"2000\r\n" + b"x" * 8190 + b"\n\n\r\n"
        await self.deployment.add(
            "fast", "appraiser", Behaviour(raw=after_head(b"", event))
        )
        response = await self.deployment.send(
            "/draft/1", method="POST", X_Deadline_Ms="800"
        )
        server = self.deployment.servers["fast"]
        await self.deployment.until(lambda: server.cancelled, timeout_s=2.0)
        response.close()


class StalledCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_that_nobody_reads_is_dropped(self):
        done = asyncio.Event()

        async def handler(request, responder):
            try:
                await responder.start(200, [])
                while True:
                    await responder.write(BLOCK)
            finally:
                done.set()

        server = http_server.HttpServer(handler)
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.stop, 0)
        limit_s, http_server.WRITE_STALL_TIMEOUT_S = (
            http_server.WRITE_STALL_TIMEOUT_S,
            0.3,
        )
        self.addCleanup(setattr, http_server, "WRITE_STALL_TIMEOUT_S", limit_s)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1024)
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(3.0):
            await done.wait()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def served(self, part: bytes, gap_s: float):
        """Returns a client of a server that sends ``part`` without end."""

        async def serve(reader, writer):
            with_end = True
            while with_end:
                try:
                    writer.write(part)
                    await writer.drain()
                except OSError:
                    with_end = False
                await asyncio.sleep(gap_s)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return HttpClient("127.0.0.1", port)

    async def lost_within(self, client: HttpClient, limit_s: float) -> None:
        began = time.monotonic()
        with self.assertRaises(ConnectionLost):
            await client.request("GET", "/", timeout=0.3)
        self.assertLess(time.monotonic() - began, limit_s)

    async def test_head_a_byte_now_and_then(self):
        await self.lost_within(await self.served(b"H", DRIP_S), 0.8)

    async def test_interim_answers_without_end(self):
        await self.lost_within(await self.served(INTERIM, 0.0), 0.8)

    async def test_interim_answers_now_and_then(self):
        await self.lost_within(await self.served(INTERIM, 0.1), 0.8)


class EventBoundTest(unittest.TestCase):
    def test_event_without_an_end_is_bounded(self):
        reader = EventReader()
        with self.assertRaises(ValueError):
            for _ in range(2 * MAX_EVENT_BYTES // len(BLOCK)):
                reader.feed(BLOCK)
        self.assertLessEqual(len(reader.rest()), MAX_EVENT_BYTES + len(BLOCK))

    def test_work_grows_with_the_bytes_and_not_with_their_square(self):
        def seconds(parts: int) -> float:
            reader = EventReader()
            began = time.process_time()
            for _ in range(parts):
                reader.feed(b"xxxx")
            return time.process_time() - began

        seconds(1000)
        self.assertLess(seconds(60_000), 18 * max(seconds(10_000), 0.002))

    def test_events_may_end_with_any_line_ending(self):
        for end in (b"\n\n", b"\r\n\r\n", b"\r\r"):
            reader = EventReader()
            self.assertEqual(reader.feed(b"data: a" + end + b"da"), b"data: a" + end)
            self.assertEqual(reader.feed(b"ta: b" + end), b"data: b" + end)


if __name__ == "__main__":
    unittest.main()
