"""Tests that changes in the store reach a gateway, whatever else stands in the store."""

import asyncio
import json
import unittest

from emulator.platform.deployment import Deployment, build_configuration, build_route
from emulator.platform.server import Behaviour

# Seconds in which at least one watch of a gateway begins and ends.
DEAF_S = 1.2


class AddedRouteTest(unittest.IsolatedAsyncioTestCase):
    """Guards CONFIG: a route that was added must be served, and the first ones too."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        await self.deployment.add_server("l1", "ledger", Behaviour())

    def put_version(self, version: int) -> None:
        """Writes a configuration with one more route than the first one."""
        routes = build_configuration()["routes"]
        routes.append(build_route("/added/", "safe", "ledger"))
        self.deployment.store.put(
            "op/config", build_configuration(version, routes=routes)
        )

    async def assert_served(self, *paths: str) -> None:
        await asyncio.sleep(2.0)
        for path in paths:
            status, _, _ = await self.deployment.call(path)
            self.assertEqual(status, 200, path)

    async def test_beside_an_odd_entry_of_another_writer(self):
        entry = {"service": "ledger", "address": "127.0.0.1:9", "zone": "a"}
        text = json.dumps(entry | {"state": "ready"})[:-1] + ', "slots": 1e999}'
        self.deployment.store.put("servers/odd", text.encode())
        # The gateway reads the entry before the configuration is written.
        await asyncio.sleep(1.2)
        self.put_version(2)
        await self.assert_served("/added/1", "/lookup/1")

    async def test_after_watch_answers_that_pass_over_its_change(self):
        """The store answers with its newest revision while watches hear nothing."""
        store = self.deployment.store
        store.deaf = True
        self.put_version(2)
        await asyncio.sleep(DEAF_S)
        store.discard_history()
        store.deaf = False
        await self.assert_served("/added/1", "/lookup/1")

    async def test_after_a_configuration_that_cannot_be_decoded(self):
        """Its routes are unknown, so that they must not be refused for good."""
        self.deployment.store.put("op/config", b'{"version": 2, "routes": 1}')
        await asyncio.sleep(2.0)
        status, _, _ = await self.deployment.call("/added/1")
        self.assertEqual(status, 503)
        self.put_version(3)
        await self.assert_served("/added/1", "/lookup/1")


if __name__ == "__main__":
    unittest.main()
