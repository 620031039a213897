"""Tests that changes in the store reach a gateway, whatever else stands in the store."""

import asyncio
import json
import unittest

from emulator.platform.deployment import Deployment, build_configuration, build_route
from emulator.platform.server import Behaviour
from heatherswitch.gateway.crash_records import CLEARED_PREFIX, CRASH_PREFIX
from heatherswitch.gateway.rollout_records import EVIDENCE_PREFIX, PROGRESS_PREFIX
from heatherswitch.platform import names
from heatherswitch.platform.reader import PlatformReader

# Seconds in which at least one watch of a gateway begins and ends.
DEAF_S = 1.2
# Seconds after which a gateway counts the store as unreachable and reads all entries.
OUTAGE_S = 3.0
# Prefixes of the entries that a gateway decodes, those of gateways included.
ENTRY_PREFIXES = (
    names.SERVERS_PREFIX,
    names.ROLLOUT_PREFIX,
    names.ROLLOUT_STATUS_PREFIX,
    names.EVACUATE_PREFIX,
    PlatformReader.member_prefix,
    CRASH_PREFIX,
    CLEARED_PREFIX,
    PROGRESS_PREFIX,
    EVIDENCE_PREFIX,
)
# An entry of a server whose number of slots is out of range.
SLOTS_OUT_OF_RANGE = (
    b'{"service": "old", "address": "127.0.0.1:9", "zone": "a", "state": "ready", '
    b'"slots": 1e999}'
)
# Values that decoders failed on: bytes that are no JSON, nesting, numbers out of range.
ODD_VALUES = (
    SLOTS_OUT_OF_RANGE,
    b"\xff",
    b"[]",
    b"[" * 5000,
    b'{"slots": 1e999, "at": 1e999, "age_s": 1e999, "owner": 1e999, "target": 1e999}',
)


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


class MalformedEntryTest(unittest.IsolatedAsyncioTestCase):
    """Guards CONFIG: one malformed entry ended the watch of the store for good.

    Routes that a later configuration moved were run by the old service, and requests with
    a key were refused once the configuration was too old.
    """

    def setUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.store = self.deployment.store

    async def start(self) -> None:
        services = [{"name": name, "max_connections": 64} for name in ("old", "new")]
        await self.deployment.start(services=services, routes=self.routes("old"))
        for service in ("old", "new"):
            await self.deployment.add_server(f"{service}-1", service, Behaviour())

    def routes(self, service: str) -> list[dict]:
        return [
            build_route("/lookup/", "safe", service),
            build_route("/open/", "safe", service, allow_anonymous=True),
        ]

    def put_odd_entries(self) -> None:
        for prefix in ENTRY_PREFIXES:
            zone = prefix == names.EVACUATE_PREFIX
            for number, value in enumerate(ODD_VALUES):
                # Any entry of an existing zone takes the zone out.
                name = f"no-zone-{number}" if zone else f"odd-{number}"
                self.store.put(prefix + name, value)

    async def assert_routes_move(self) -> None:
        """Moves the routes to the other service and sends requests to them."""
        configuration = build_configuration(2, routes=self.routes("new"))
        configuration["services"] = [
            {"name": name, "max_connections": 64} for name in ("old", "new")
        ]
        self.store.put("op/config", configuration)
        await asyncio.sleep(2.0)
        for path in ("/lookup/1", "/open/1"):
            status, _, _ = await self.deployment.call(path)
            self.assertEqual(status, 200, path)
        self.assertEqual(len(self.deployment.servers["old-1"].runs), 0)
        self.assertEqual(len(self.deployment.servers["new-1"].runs), 2)

    async def test_malformed_server_entry_does_not_end_the_watch_of_the_store(self):
        """Review case 1: the number of slots in an entry of another writer is 1e999."""
        await self.start()
        self.store.put("servers/odd", SLOTS_OUT_OF_RANGE)
        await asyncio.sleep(1.2)
        await self.assert_routes_move()

    async def test_malformed_entries_of_all_kinds_do_not_end_the_watch(self):
        await self.start()
        self.put_odd_entries()
        await asyncio.sleep(1.2)
        await self.assert_routes_move()

    async def test_malformed_entries_that_stand_at_the_start_do_not_end_the_watch(self):
        self.put_odd_entries()
        await self.start()
        await self.assert_routes_move()

    async def test_malformed_entries_read_after_an_outage_do_not_end_the_watch(self):
        """All entries are read then, as after a restart of the store."""
        await self.start()
        self.store.refuse = 503
        self.put_odd_entries()
        self.store.lapse_leases()
        self.store.discard_history()
        await asyncio.sleep(OUTAGE_S)
        self.store.refuse = 0
        await self.deployment.wait_until(lambda: self.deployment.gateway.ready)
        await self.assert_routes_move()


if __name__ == "__main__":
    unittest.main()
