"""Tests of a gateway process that is stopped, alone and together with other signals."""

import asyncio
import signal
import time
import unittest
from pathlib import Path

from emulator.platform.deployment import API_KEY, HOST, build_configuration, build_route
from emulator.platform.process import GRACE_S, GatewayProcess, temporary_directory
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.store import PlatformStoreServer
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import RequestKind
from heatherswitch.gateway.relay import RequestRelay
from heatherswitch.platform.codec import PlatformCodec
from heatherswitch.util.http import ConnectionLost, Request
from heatherswitch.util.http_client import HttpClient
from test.gateway_fakes import route, server


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    # Third part of the gateways' addresses; differs between modules and from the soaks.
    ADDRESS_GROUP = 250

    async def asyncSetUp(self):
        directory = Path(self.enterContext(temporary_directory()))
        self.store = PlatformStoreServer()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        routes = [
            build_route("/settle/", "non_idempotent", "ledger", timeout_ms=20_000),
            build_route("/draft/", "streaming", "appraiser", timeout_ms=20_000),
        ]
        self.store.put("op/config", build_configuration(routes=routes))
        self.gateway = GatewayProcess(
            2, self.store.address, directory, self.ADDRESS_GROUP
        )
        self.addAsyncCleanup(self.kill)
        self._requests = 0

    async def kill(self):
        if self.gateway.running:
            await self.gateway.kill()

    async def start(self, service: str, behaviour: Behaviour, **entry):
        """Starts a backend server and the gateway, and waits until it is in use."""
        server = await self.start_server(service, behaviour, **entry)
        await self.start_gateway()
        return server

    async def start_server(self, service: str, behaviour: Behaviour, **entry):
        """Starts a backend server and writes its store entry."""
        server = PlatformServer(f"{service}-1", behaviour)
        await server.start()
        self.addAsyncCleanup(server.stop)
        entry = server.store_entry(service, **entry)
        self.store.put(f"servers/{server.id}", entry)
        return server

    async def start_gateway(self) -> None:
        """Starts the gateway and waits until it accepts requests."""
        await self.gateway.start()
        async with asyncio.timeout(10.0):
            while not await self.gateway.is_ready():
                await asyncio.sleep(0.05)

    async def send(self, path: str, client: HttpClient | None = None):
        self._requests += 1
        client = client or HttpClient.from_address(self.gateway.address)
        self.addCleanup(client.close)
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", f"{self._requests:08x}"),
            ("X-Deadline-Ms", "20000"),
            ("Authorization", f"Bearer {API_KEY}"),
        ]
        return await client.request("POST", path, headers)

    async def assert_stops(self) -> None:
        """Waits for the process to end by itself, within its grace period."""
        started_at = time.monotonic()
        self.assertEqual(
            await self.gateway.stop(), 0, self.gateway.log_path.read_text()
        )
        self.assertLess(time.monotonic() - started_at, GRACE_S)


class GatewayStopTest(GatewayCase):
    async def test_requests_in_the_queue_are_refused_before_the_process_ends(self):
        """The gateway had read them, and their connections closed without an answer."""
        await self.start("ledger", Behaviour(silent=True), slots=1)
        calls = [asyncio.create_task(self.send("/settle/1")) for _ in range(8)]
        await asyncio.sleep(0.3)
        await self.assert_stops()
        responses = await asyncio.gather(*calls, return_exceptions=True)
        # Those that have been sent to the server may have run.
        statuses = [
            getattr(response, "status", repr(response)) for response in responses
        ]
        self.assertLessEqual(set(statuses), {503, 504}, statuses)
        self.assertIn(503, statuses)

    async def test_stream_that_outlasts_the_grace_period_is_visibly_cut(self):
        await self.start("appraiser", Behaviour(events=200, event_gap_s=0.1))
        response = await self.send("/draft/1")
        stop = asyncio.create_task(self.assert_stops())
        with self.assertRaises(ConnectionLost):
            await response.read()
        await stop

    async def test_stream_that_ends_in_the_grace_period_is_complete(self):
        await self.start("appraiser", Behaviour(events=25, event_gap_s=0.1))
        response = await self.send("/draft/1")
        stop = asyncio.create_task(self.assert_stops())
        self.assertIn(b"piece 25\n\n", await response.read())
        await stop

    async def test_request_is_answered_while_the_store_is_down(self):
        await self.start("ledger", Behaviour(delay_s=1.0))
        call = asyncio.create_task(self.send("/settle/1"))
        await asyncio.sleep(0.2)
        self.store.silent = True
        await self.assert_stops()
        self.assertEqual((await call).status, 200)

    async def test_stop_lasts_no_longer_than_the_grace_period_without_the_store(self):
        """It waited for the store after its last request, until it was killed."""
        await self.start("ledger", Behaviour(silent=True))
        call = asyncio.create_task(self.send("/settle/1"))
        await asyncio.sleep(0.2)
        self.store.silent = True
        await self.assert_stops()
        self.assertEqual((await call).status, 504)

    async def test_other_signals_during_a_stop_interrupt_no_request(self):
        await self.start("ledger", Behaviour(delay_s=2.5))
        call = asyncio.create_task(self.send("/settle/1"))
        await asyncio.sleep(0.2)
        self.gateway.signal(signal.SIGHUP)
        stop = asyncio.create_task(self.assert_stops())
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGHUP):
            await asyncio.sleep(0.1)
            self.gateway.signal(number)
        self.assertEqual((await call).status, 200)
        await stop


class SlowPool:
    """A pool whose connection opens once the test allows it.

    It stands in for the connection too, and records what is done with it.
    """

    def __init__(self):
        self.opened = asyncio.Event()
        self.calls: list[str] = []

    async def acquire(self, now, server, run_once):
        await self.opened.wait()
        return self, False

    def send(self, *args):
        self.calls.append("send")

    async def head(self, stall_timeout_s):
        await asyncio.Event().wait()

    def close(self):
        self.calls.append("close")


class InterruptTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_not_sent_after_the_grace_period_has_ended(self):
        """Its connection was still opening, and its deadline was still to come.

        It was sent then, and its caller's connection was closed without an answer.
        """
        pool = SlowPool()
        request = Request("POST", "/settle/1", [("host", HOST)])
        relay = RequestRelay(
            PlatformCodec(), pool, time.monotonic, request, "1", None, *[None] * 4
        )
        forward = ev.Forward(
            1,
            server("l1"),
            None,
            route("/settle/", RequestKind.NON_IDEMPOTENT),
            "",
            None,
            time.monotonic() + 20.0,
            None,
            "",
        )
        attempt = asyncio.create_task(relay.attempt(forward))
        await asyncio.sleep(0)
        relay.interrupt()
        pool.opened.set()
        async with asyncio.timeout(5.0):
            self.assertIsInstance(await attempt, ev.NotSent)
        self.assertEqual(pool.calls, ["close"])


class SignalDuringStartTest(GatewayCase):
    """Guards against a signal that ends the process while its modules are imported.

    The listeners are bound then, so callers wait in their queue and were reset.
    """

    async def launch_until_listening(self) -> asyncio.StreamReader:
        """Starts the process and connects as soon as it accepts connections."""
        await self.gateway.launch()
        host, _, port = self.gateway.address.rpartition(":")
        async with asyncio.timeout(5.0):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.002)
                    continue
                self.addCleanup(writer.close)
                writer.write(b"GET /settle/1 HTTP/1.1\r\nHost: unknown.example\r\n")
                writer.write(b"X-Attempt-Id: 1\r\n\r\n")
                return reader

    async def test_settings_change_does_not_end_a_starting_gateway(self):
        reader = await self.launch_until_listening()
        self.gateway.signal(signal.SIGHUP)
        async with asyncio.timeout(10.0):
            self.assertIn(b"HTTP/1.1 404", await reader.readline())
        self.assertIn("settings file changed", self.gateway.log_path.read_text())
        await self.assert_stops()

    async def test_stop_of_a_starting_gateway_answers_waiting_callers(self):
        reader = await self.launch_until_listening()
        for number in (signal.SIGTERM, signal.SIGHUP):
            self.gateway.signal(number)
        async with asyncio.timeout(10.0):
            self.assertIn(b"HTTP/1.1 404", await reader.readline())
        await self.assert_stops()


if __name__ == "__main__":
    unittest.main()
