"""Tests of requests of all shapes that arrive while a gateway process stops.

Guards LOST: a request that the process has read is answered, whatever else arrives with
it, and none is cut at the end of the grace period.
"""

import asyncio
import signal
import time
import unittest

from emulator.platform.deployment import API_KEY, HOST
from emulator.platform.server import Behaviour
from test.test_gateway_stop import GatewayCase

# Seconds from the signal in which requests are sent, and between two.
SENDING_S = 3.4
SEND_INTERVAL_S = 0.1
DELAY_S = 0.4
NOT_RUN = (503,)


class Caller:
    """A connection of a caller that is kept open.

    :ivar name: start of the ids of its requests.
    :ivar sent_at: when the last byte of each request was sent.
    :ivar statuses: status of each response.
    :ivar whole: whether the last response was complete.
    """

    def __init__(self, address: str, name: str) -> None:
        self._address = address
        self.name = name
        self.sent_at: list[float] = []
        self.statuses: list[int] = []
        self.whole = True
        self.closed_at = 0.0

    async def open(self) -> None:
        host, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def head(self, path: str, framing: str) -> bytes:
        number = len(self.sent_at)
        return (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {self.name}-{number}\r\nX-Deadline-Ms: 10000\r\n"
            f"Authorization: Bearer {API_KEY}\r\n{framing}\r\n\r\n"
        ).encode()

    def send(self, *paths: str) -> None:
        """Sends requests in one write, each with a body of two bytes."""
        data = b""
        for path in paths:
            data += self.head(path, "Content-Length: 2") + b"ok"
            self.sent_at.append(time.monotonic())
        self.writer.write(data)

    async def send_in_chunks(self, path: str, seconds: float) -> None:
        """Sends a request whose body takes some seconds."""
        self.writer.write(self.head(path, "Transfer-Encoding: chunked"))
        for _ in range(10):
            self.writer.write(b"2\r\nok\r\n")
            await asyncio.sleep(seconds / 10)
        self.writer.write(b"0\r\n\r\n")
        self.sent_at.append(time.monotonic())

    async def receive(self) -> None:
        """Reads responses until the connection ends."""
        try:
            while line := await self.reader.readline():
                self.whole = False
                self.statuses.append(int(line.split()[1]))
                fields = {}
                while (line := await self.reader.readline()).strip():
                    name, _, value = line.decode().partition(":")
                    fields[name.lower()] = value.strip()
                await self._read_body(fields)
                self.whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_at = time.monotonic()
            self.writer.close()

    async def _read_body(self, fields: dict[str, str]) -> None:
        if "content-length" in fields:
            await self.reader.readexactly(int(fields["content-length"]))
            return
        while size := int((await self.reader.readline()) or b"x", 16):
            await self.reader.readexactly(size + 2)
        await self.reader.readline()

    @property
    def unanswered(self) -> int:
        """Number of requests without a response."""
        return len(self.sent_at) - len(self.statuses)


class StopUnderLoadTest(GatewayCase):
    ADDRESS_GROUP = 248

    async def asyncSetUp(self):
        await super().asyncSetUp()
        ledger = Behaviour(delay_s=DELAY_S)
        appraiser = Behaviour(events=8, event_gap_s=0.05)
        self.servers = [
            await self.start_server("ledger", ledger, slots=64),
            await self.start_server("appraiser", appraiser, slots=64),
        ]
        await self.start_gateway()
        self.callers: list[Caller] = []
        self.reads: list[asyncio.Task] = []

    async def connect(self) -> Caller:
        caller = Caller(self.gateway.address, f"c{len(self.callers)}")
        await caller.open()
        self.callers.append(caller)
        self.reads.append(asyncio.create_task(caller.receive()))
        return caller

    async def stop(self) -> None:
        """Stops the gateway and reads all responses."""
        await self.assert_stops()
        await asyncio.gather(*self.reads)

    @property
    def run_ids(self) -> set[str]:
        """Ids of the requests that a server got."""
        return {r.id for server in self.servers for r in server.runs}

    def assert_answered(self, caller: Caller) -> None:
        """Checks that each request has a whole response, true if it says not run."""
        self.assertEqual(caller.unanswered, 0, caller.statuses)
        self.assertTrue(caller.whole)
        for number, status in enumerate(caller.statuses):
            if status in NOT_RUN:
                self.assertNotIn(f"{caller.name}-{number}", self.run_ids)

    async def test_pipelined_requests_are_all_answered(self):
        """The first response said "close", and those behind it were dropped unread."""
        callers = [await self.connect() for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send(*["/settle/1", "/draft/1", "/settle/1"][: number + 1])
        await asyncio.sleep(DELAY_S / 2)
        # Sent on their own while the response to the first request is waited for.
        callers[0].send("/settle/1", "/draft/1")
        await asyncio.sleep(DELAY_S / 4)
        await self.stop()
        for caller in callers:
            self.assert_answered(caller)
            self.assertEqual(set(caller.statuses), {200})

    async def test_requests_whose_bodies_come_in_chunks_are_answered(self):
        """Bodies that end before and after the time up to which requests are accepted."""
        callers = [await self.connect() for _ in range(6)]
        sends = [
            asyncio.create_task(caller.send_in_chunks("/settle/1", 0.5 + 0.5 * number))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(0.1)
        await self.stop()
        for caller, send in zip(callers, sends, strict=True):
            self.assertTrue(send.done())
            self.assert_answered(caller)
        statuses = [status for caller in callers for status in caller.statuses]
        self.assertEqual(set(statuses), {200, 503})

    async def test_late_requests_on_kept_and_new_connections_are_answered(self):
        """Signals come in series meanwhile, and the store is away."""
        kept = [await self.connect() for _ in range(40)]
        stopped = asyncio.create_task(self.stop())
        self.store.silent = True
        signals = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
        began_at = time.monotonic()
        number = 0
        unread = 0
        while time.monotonic() - began_at < SENDING_S:
            path = ("/settle/1", "/draft/1")[number % 2]
            if kept:
                kept.pop().send(path)
            if number % 8 == 4 and signals:
                self.gateway.signal(signals.pop())
            try:
                (await self.connect()).send(path)
            except OSError:
                unread += 1
            number += 1
            await asyncio.sleep(SEND_INTERVAL_S)
        await stopped
        self.assertGreater(unread, 0)
        for caller in self.callers:
            if not caller.sent_at:
                continue
            if f"{caller.name}-0" not in self.run_ids and caller.unanswered:
                # It crossed the end of the connection: nothing has read it.
                self.assertLess(caller.closed_at - caller.sent_at[0], 0.2)
                continue
            self.assert_answered(caller)


if __name__ == "__main__":
    unittest.main()
