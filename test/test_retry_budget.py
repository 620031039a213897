"""Tests of the retry budget over a fleet of gateway processes, and of its check."""

import asyncio
import contextlib
import time
import unittest
from pathlib import Path

from emulator.platform.deployment import API_KEY, HOST, build_configuration, build_route
from emulator.platform.process import GatewayProcess, temporary_directory
from emulator.platform.retry_checks import find_budget_violations, worst_budget_use
from emulator.platform.server import Behaviour, PlatformServer, ReceivedRequest
from emulator.platform.soak_checks import Call, History, Interval
from emulator.platform.soak_configuration import ConfigurationVersion
from emulator.platform.store import PlatformStoreServer
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

# Third part of the gateways' addresses; differs from those of other tests.
ADDRESS_GROUP = 249
RATIO = 0.2
SLACK = 20
GATEWAYS = 4
MEMBER_PREFIX = b"heatherswitch/routers/"
FAILING_SERVERS = 6
# Seconds until a new gateway uses its share of the listed fleet instead of a smaller one.
SETTLE_S = 6.5
SECONDS = 12.0


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Guards BUDGET: repeats at one service, summed over all gateways."""

    async def asyncSetUp(self):
        directory = Path(self.enterContext(temporary_directory()))
        self.store = PlatformStoreServer()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        routes = [
            build_route("/failing/", "safe", "failing", retry_attempts=3),
            build_route("/sound/", "safe", "sound"),
        ]
        services = [
            {"name": "failing", "max_connections": 500},
            {"name": "sound", "max_connections": 500},
        ]
        self.store.put(
            "op/config", build_configuration(routes=routes, services=services)
        )
        self.failing = await self.start_servers("failing", FAILING_SERVERS, Behaviour())
        await self.start_servers("sound", 2, Behaviour(delay_s=0.005))
        bounds = {"retry_budget_ratio": RATIO, "retry_budget_slack": SLACK}
        self.gateways = [
            GatewayProcess(
                2 + n, self.store.address, directory, ADDRESS_GROUP, **bounds
            )
            for n in range(GATEWAYS)
        ]
        self.addAsyncCleanup(self.kill_gateways)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        async with asyncio.timeout(10.0):
            while not all([await gateway.is_ready() for gateway in self.gateways]):
                await asyncio.sleep(0.05)
        self.sent_at: list[float] = []
        self.requests = 0

    async def start_servers(self, service: str, count: int, behaviour: Behaviour):
        servers = [PlatformServer(f"{service}-{n}", behaviour) for n in range(count)]
        for server in servers:
            await server.start()
            self.addAsyncCleanup(server.stop)
            entry = server.store_entry(service, slots=64)
            self.store.put(f"servers/{server.id}", entry)
        return servers

    async def kill_gateways(self):
        for gateway in self.gateways:
            if gateway.running:
                await gateway.kill()

    async def send(self, client: HttpClient, path: str) -> None:
        self.requests += 1
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", f"{self.requests:08x}"),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", f"Bearer {API_KEY}"),
        ]
        if path.startswith("/failing/"):
            self.sent_at.append(time.monotonic())
        # Gateways that are killed close their connections.
        with contextlib.suppress(HttpError):
            response = await client.request("GET", path, headers, timeout=5.0)
            await response.read()

    async def send_at_rate(self, path: str, per_s: float) -> None:
        """Sends requests to all gateways in turn for :data:`SECONDS`."""
        clients = [HttpClient.from_address(g.address) for g in self.gateways]
        tasks = []
        ends_at = time.monotonic() + SECONDS
        while time.monotonic() < ends_at:
            client = clients[len(tasks) % len(clients)]
            tasks.append(asyncio.create_task(self.send(client, path)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)
        for client in clients:
            client.close()

    def fail_requests(self) -> None:
        for server in self.failing:
            server.behaviour = Behaviour(reset_unread=True)

    async def restart_gateways(self) -> None:
        for gateway in self.gateways:
            await gateway.kill()
            await gateway.start()
            await asyncio.sleep(1.5)

    async def lapse_memberships(self) -> None:
        for _ in range(3):
            members = self.store.data.range(MEMBER_PREFIX, MEMBER_PREFIX + b"~")
            self.assertEqual(len(members), GATEWAYS)
            for member in members:
                self.store.data.revoke(member.lease)
            await asyncio.sleep(3.5)

    def assert_within_budget(self) -> None:
        arrivals = [(r.at, r.id) for s in self.failing for r in s.received]
        worst = worst_budget_use("failing", self.sent_at, arrivals, RATIO, SLACK)
        self.assertLessEqual(worst.repeats, worst.allowed)

    async def test_requests_for_a_sound_service_allow_no_repeats_at_another(self):
        """Every request to one service fails while another one has much traffic."""
        await asyncio.sleep(SETTLE_S)
        self.fail_requests()
        await asyncio.gather(
            self.send_at_rate("/failing/1", 15), self.send_at_rate("/sound/1", 90)
        )
        self.assert_within_budget()

    async def test_restarted_gateways_do_not_start_with_a_budget_of_their_own(self):
        """Every gateway is killed and started again, one after the other."""
        await asyncio.sleep(SETTLE_S)
        self.fail_requests()
        await asyncio.gather(
            self.send_at_rate("/failing/1", 15),
            self.send_at_rate("/sound/1", 60),
            self.restart_gateways(),
        )
        self.assert_within_budget()

    async def test_lapsed_memberships_do_not_enlarge_the_shares(self):
        """All leases end at once; the gateways register again one by one."""
        await asyncio.sleep(SETTLE_S)
        self.fail_requests()
        await asyncio.gather(
            self.send_at_rate("/failing/1", 15),
            self.send_at_rate("/sound/1", 60),
            self.lapse_memberships(),
        )
        self.assert_within_budget()


class WorstBudgetUseTest(unittest.TestCase):
    """Tests the check itself on constructed arrivals."""

    def use(self, sent_at, arrivals, ratio=0.5, slack=1.0):
        return worst_budget_use("ledger", sent_at, arrivals, ratio, slack)

    def test_first_arrivals_are_no_repeats(self):
        self.assertIsNone(self.use([0.0, 1.0], [(0.1, "a"), (1.1, "b")]))

    def test_repeats_are_counted_in_a_sliding_window(self):
        repeats = [(at, "a") for at in (0.1, 1.0, 2.0, 3.0, 30.0)]
        worst = self.use([0.0], repeats)
        self.assertEqual((worst.repeats, worst.allowed), (3, 1.5))
        self.assertEqual(worst.ends_at, 3.0)

    def test_requests_of_an_earlier_window_count_for_late_repeats(self):
        sent_at = [n / 10 for n in range(100)]
        worst = self.use(sent_at, [(9.0, "a"), (19.0, "a")])
        # 91 requests were sent in the window before that of the repeat.
        self.assertEqual(worst.allowed, 0.5 * 91 + 1.0)


class FindBudgetViolationsTest(unittest.TestCase):
    """Tests the check of each service over a constructed history."""

    def check(self, ledger_calls: int, registry_calls: int, repeats: int) -> list[str]:
        """Checks requests for two services, some at the ledger sent to two servers."""
        routes = {(HOST, "/lookup/"): ("ledger",), (HOST, "/search/"): ("registry",)}
        version = ConfigurationVersion(1, 0.0, routes, frozenset({API_KEY}))
        services = {"l1": "ledger", "l2": "ledger", "r1": "registry"}
        history = History(versions=[version], services=services)
        # The whole time is impaired, which does not excuse repeats.
        history.impairments.append(Interval("l1", 0.0))
        for number in range(ledger_calls + registry_calls):
            at_ledger = number < ledger_calls
            path, server = ("/lookup/1", "l1") if at_ledger else ("/search/1", "r1")
            call = Call(f"r{number}", path, API_KEY, 5.0 + number / 1000)
            history.calls.append(call)
            servers = [server, "l2"] if number < repeats else [server]
            for server_id in servers:
                fields = {"x-attempt-id": call.id}
                at = call.sent_at + (2.0 if server_id == "l2" else 0.0)
                arrival = ReceivedRequest("GET", path, fields, b"", at)
                arrival.server_id = server_id
                history.arrivals.append(arrival)
        return find_budget_violations(history, RATIO, SLACK)

    def test_requests_for_another_service_allow_no_repeats(self):
        self.assertEqual(self.check(100, 0, 40), [])
        self.assertIn("41 repeats at ledger", " ".join(self.check(100, 0, 41)))
        self.assertIn("41 repeats at ledger", " ".join(self.check(100, 900, 41)))


if __name__ == "__main__":
    unittest.main()
