"""Tests of a gateway's start: from the settings to the first served request."""

import asyncio
import json
import socket
import tempfile
import unittest
from pathlib import Path

from emulator.platform.deployment import Deployment, build_configuration
from emulator.standin import LOOPBACK
from heatherswitch.gateway.shell import START_WAIT_S, GatewayConfig
from heatherswitch.platform.gateway import build_gateway
from heatherswitch.platform.launch import bind_listeners
from heatherswitch.platform.settings_file import SettingsError, read_settings
from heatherswitch.util.clock import Clock
from heatherswitch.util.http_client import HttpClient
from heatherswitch.util.listeners import bind_listener


def address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


class SettingsFileTest(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "settings")
            path.write_text(text)
            return read_settings(str(path))

    def test_json_and_yaml_are_accepted(self):
        settings = {"node_name": "a-1", "zones": {"a": "east"}, "bootstrap": True}
        self.assertEqual(self.read(json.dumps(settings)), settings)
        yaml = 'node_name: "a-1"\nzones:\n  a: east\nbootstrap: true\n'
        self.assertEqual(self.read(yaml), settings)

    def test_other_content_is_an_error_that_names_the_file(self):
        for text in ("[1, 2]", "a: [", '"text"', ""):
            with self.subTest(text), self.assertRaisesRegex(SettingsError, "settings"):
                self.read(text)


class ListenerTest(unittest.TestCase):
    def test_malformed_addresses_are_settings_errors(self):
        for listen in (None, {}, {"front": 1}, {"front": "127.0.0.1:x"}):
            with self.subTest(listen), self.assertRaises(SettingsError):
                bind_listeners({"listen": listen})

    def test_address_in_use_is_a_settings_error(self):
        with bind_listener(f"{LOOPBACK}:0") as taken:
            address = address_of(taken)
            with self.assertRaisesRegex(SettingsError, "in use"):
                bind_listeners({"listen": {"front": address, "ready": address}})


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a restarted gateway that refuses the callers of an outage.

    Callers that return while it starts were reset or got 503, and use up their retries.
    """

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.store = self.deployment.store
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.listener = bind_listener(f"{LOOPBACK}:0")
        self.config = GatewayConfig(
            id="gateway-a",
            zone="a",
            regions={"a": "east"},
            listen=address_of(self.listener),
            ready_listen=f"{LOOPBACK}:0",
            store=self.store.address,
        )

    def call(self) -> asyncio.Task:
        """Sends a request as a caller does, over a connection of its own."""
        client = HttpClient.from_address(self.config.listen)
        self.addCleanup(client.close)
        headers = [("Host", "unknown.example"), ("X-Attempt-Id", "1")]
        return asyncio.create_task(client.request("GET", "/lookup/1", headers))

    async def start_gateway(self) -> None:
        listeners = {self.config.listen: self.listener}
        gateway = build_gateway(self.config, Clock(), listeners)
        self.addAsyncCleanup(gateway.close)
        await gateway.start()

    async def test_caller_that_connects_before_the_start_is_served(self):
        self.store.put("op/config", build_configuration())
        self.store.delay_s = 0.1
        call = self.call()
        await asyncio.sleep(0.05)
        await self.start_gateway()
        response = await call
        # The route does not exist, which only a gateway with a configuration knows.
        self.assertEqual(response.status, 404)

    async def test_callers_are_refused_soon_if_the_store_is_down(self):
        await self.store.stop()
        call = self.call()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self.start_gateway()
        response = await call
        self.assertEqual(response.status, 503)
        self.assertTrue(response.header("retry-after"))
        # The wait of the start, and as long again for the machine.
        self.assertLess(loop.time() - started_at, 2 * START_WAIT_S + 1.0)


if __name__ == "__main__":
    unittest.main()
