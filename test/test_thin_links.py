"""Notices of the store that arrive beside large configurations over a thin link."""

import asyncio
import itertools
import time

from emulator.platform.deployment import build_configuration, build_route
from test.gateway_process_case import ProcessCase

# Throughput of the thinnest links that deployments have, 5 Mbit/s, in bytes a second.
LINK_BYTES_PER_S = 625_000
# Seconds after a notice from which on no request may reach its server; the default.
DRAIN_S = 2.0
# Routes of a large configuration; it takes two thirds of a second on that link.
MANY_ROUTES = 1400
# Versions of the configuration in a row, and the seconds between two of them.
STORM_VERSIONS = 24
STORM_GAP_S = 0.33
# Seconds between two servers that leave.
LEAVE_GAP_S = 0.5
# Seconds between two heartbeats of all servers.
HEARTBEAT_S = 0.6
# Share of the requests that must be served.
MIN_SERVED_SHARE = 0.95


class ConfigurationStormTest(ProcessCase):
    """Guards DRAIN: notices waited behind each version of a large configuration."""

    ADDRESS_GROUP = 232

    async def asyncSetUp(self):
        servers = {f"s{number:02}": "ledger" for number in range(20)}
        await self.start(1, **servers)
        self.store_links[0].set_faults(
            {"to_client": {"link_bytes_per_s": LINK_BYTES_PER_S}}
        )
        self.leaving = list(servers)[:14]
        # When the store accepted the notice of each server that leaves.
        self.notices: dict[str, float] = {}
        self.numbers = itertools.count(2)

    def publish_states(self) -> None:
        number = next(self.numbers)
        for server_id in self.servers:
            state = "draining" if server_id in self.notices else "ready"
            self.publish(server_id, "ledger", seq=number, state=state)

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.publish_states()

    async def change_configuration(self) -> None:
        idle = [
            build_route(f"/idle-{n}/", "safe", "ledger") for n in range(MANY_ROUTES)
        ]
        base = build_configuration()
        for version in range(2, 2 + STORM_VERSIONS):
            routes = [*base["routes"], *idle]
            self.store.put("op/config", build_configuration(version, routes=routes))
            await asyncio.sleep(STORM_GAP_S)

    async def leave(self) -> None:
        for server_id in self.leaving:
            await asyncio.sleep(LEAVE_GAP_S)
            self.notices[server_id] = time.monotonic()
            self.publish_states()

    async def play(self) -> None:
        heartbeats = asyncio.create_task(self.send_heartbeats())
        seconds = STORM_VERSIONS * STORM_GAP_S + DRAIN_S
        await asyncio.gather(
            self.load(seconds), self.change_configuration(), self.leave()
        )
        heartbeats.cancel()

    async def test_notices_take_effect_in_time_and_callers_are_served(self):
        await self.play()
        last_s = {
            server_id: max(self.arrivals(server_id), default=0.0) - at
            for server_id, at in self.notices.items()
        }
        late = {i: round(s, 2) for i, s in last_s.items() if s > DRAIN_S}
        with self.subTest("no request is late"):
            self.assertEqual(late, {})
        calls = self.history.calls
        served = sum(call.status == 200 for call in calls)
        with self.subTest("callers are served"):
            self.assertGreater(served, MIN_SERVED_SHARE * len(calls))
