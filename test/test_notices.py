"""Servers that say in their responses that they are leaving (rule DRAIN)."""

import asyncio
import itertools
import time
import unittest
from pathlib import Path

from emulator.platform.deployment import API_KEY, HOST, build_configuration
from emulator.platform.process import GatewayProcess, temporary_directory
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.soak_checks import Call, History, find_unwanted_arrivals
from emulator.platform.store import PlatformStoreServer
from emulator.proxy import FaultProxy
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.notices import MAX_REMEMBERED_STARTS, NOTICE_MEMORY_S
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient
from test.gateway_fakes import Driver, chat_prompt, server

# Part of the loopback addresses of the gateway processes; soaks use lower ones.
ADDRESS_GROUP = 231


class NoticeCase(unittest.TestCase):
    def setUp(self):
        self.driver = Driver()

    def say_leaving(self, record, request_id: str = "r") -> None:
        self.driver.apply(ev.NoticeReceived(record, request_id, leaving=True))


class LeavingTest(NoticeCase):
    def setUp(self):
        super().setUp()
        self.leaving, self.other = server("l1"), server("l2")
        self.driver.add_servers(self.leaving, self.other)

    def assert_only_the_other_is_used(self):
        for _ in range(6):
            self.assertEqual(self.driver.decide("/safe/1").server.id, "l2")

    def test_leaving_server_gets_no_request_although_the_store_lists_it_as_ready(self):
        self.say_leaving(self.leaving)
        self.assert_only_the_other_is_used()
        self.driver.advance(60.0)
        self.assert_only_the_other_is_used()

    def test_repeated_store_entry_does_not_return_a_leaving_server(self):
        self.say_leaving(self.leaving)
        self.driver.add_servers(self.leaving, self.leaving.replace(slots=9))
        self.assert_only_the_other_is_used()

    def test_entry_that_expired_in_an_outage_and_is_back_does_not_return_it(self):
        for after_outage in (True, False):
            self.say_leaving(self.leaving)
            self.driver.apply(ev.ServerRemoved("l1", after_outage))
            self.driver.advance(5.0)
            self.driver.add_servers(self.leaving)
            self.assert_only_the_other_is_used()

    def test_notice_that_arrives_after_the_entry_was_removed_is_kept(self):
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.say_leaving(self.leaving)
        self.driver.add_servers(self.leaving)
        self.assert_only_the_other_is_used()

    def test_new_start_and_new_id_at_the_address_are_used(self):
        self.say_leaving(self.leaving)
        self.driver.add_servers(
            self.leaving.replace(incarnation=2), self.leaving.replace(id="l3")
        )
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        used = {self.driver.decide("/safe/1").server.id for _ in range(8)}
        self.assertEqual(used, {"l1", "l3"})

    def test_new_start_after_the_entry_was_gone_is_used(self):
        self.say_leaving(self.leaving)
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_notice_of_an_earlier_start_does_not_take_the_new_one_out(self):
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.say_leaving(self.leaving)
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_lost_entry_does_not_leave_the_notice_behind_for_good(self):
        """A server whose entry states no start always has the same incarnation."""
        self.say_leaving(self.leaving)
        self.driver.apply(ev.ServerRemoved("l1", after_outage=False))
        self.driver.apply(ev.ServerRemoved("l2", after_outage=False))
        self.driver.advance(NOTICE_MEMORY_S + 1.0)
        self.driver.add_servers(self.leaving)
        self.assertEqual(self.driver.decide("/safe/1").server.id, "l1")

    def test_memory_of_notices_is_bounded(self):
        for number in range(MAX_REMEMBERED_STARTS + 50):
            self.say_leaving(server(f"gone-{number}"))
        table = self.driver.reducer._servers
        self.assertEqual(len(table._notices._by_start), MAX_REMEMBERED_STARTS)
        self.assertEqual(len(table._out), MAX_REMEMBERED_STARTS)

    def test_running_requests_of_a_leaving_server_end_normally(self):
        sent = [self.driver.decide("/safe/1") for _ in range(4)]
        self.say_leaving(self.leaving)
        for forward in sent:
            end = self.driver.end_attempt(forward.serial, ev.Completed(200, 0.1))
            self.assertIsInstance(end, ev.Finish)

    def test_retry_and_resumption_do_not_go_to_a_leaving_server(self):
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(2)))
        for path, leaving in (("/safe/1", "l1"), ("/live/1", "e0")):
            sent = self.driver.decide(path, parts=chat_prompt("guide"))
            others = {"l1", "l2"} if path == "/safe/1" else {"e0", "e1"}
            (leaving,) = others - {sent.server.id}
            self.say_leaving(sent.server.replace(id=leaving))
            broken = ev.Broken("reset", started=path == "/live/1")
            end = self.driver.end_attempt(sent.serial, broken)
            self.assertNotIsInstance(end, ev.Forward)

    def test_queued_request_does_not_go_to_a_leaving_server(self):
        driver = self.driver = Driver()
        driver.add_servers(server("l1", slots=1))
        first = driver.decide("/safe/1")
        driver.decide("/safe/2")
        queued = driver.send_request("/safe/3")
        self.assertEqual(driver.take_effects(), [])
        self.say_leaving(server("l1"))
        driver.apply(ev.AttemptEnded(first.serial, ev.Completed(200, 0.1)))
        driver.advance(0.02)
        ended = {e.serial: e for e in driver.take_effects() if hasattr(e, "serial")}
        self.assertEqual(ended[queued].status, 503)

    def test_request_waiting_for_a_peer_does_not_go_to_a_leaving_server(self):
        addresses = (("me", "10.0.0.1:7341"), ("peer", "10.0.0.2:7341"))
        driver = self.driver = Driver(routers=("me", "peer"))
        driver.apply(ev.RoutersListed(("me", "peer"), addresses))
        driver.add_servers(*(server(f"e{n}", "engine") for n in range(8)))
        for number in range(20):
            query = driver.decide("/chat/1", parts=chat_prompt(f"chat-{number}"))
            if isinstance(query, ev.QueryLoad):
                break
        target = query.count.key.removeprefix("server/")
        self.say_leaving(server(target, "engine"))
        driver.apply(ev.PeerQueryFailed(query.serial, query.peer))
        (forward,) = (e for e in driver.take_effects() if isinstance(e, ev.Forward))
        self.assertNotEqual(forward.server.id, target)

    def test_prompt_is_copied_from_a_leaving_server_but_no_chat_goes_there(self):
        self.driver.add_servers(*(server(f"e{n}", "engine") for n in range(3)))
        first = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.driver.apply(ev.ResponseStarted(first.serial, None, 0.1, True))
        self.say_leaving(first.server)
        second = self.driver.decide("/chat/1", parts=chat_prompt("guide"))
        self.assertNotEqual(second.server.id, first.server.id)
        self.assertEqual(second.copy_source.id, first.server.id)

    def test_leaving_and_cold_rollout_and_evacuation_rules_hold_together(self):
        """The only server left is in a zone that is out of service."""
        self.driver.add_servers(self.other.replace(zone="b"))
        self.driver.apply(ev.ZonesOut(frozenset({"b"})))
        self.say_leaving(self.leaving)
        self.assertEqual(self.driver.decide("/safe/1").status, 503)

    def test_request_is_refused_at_once_if_all_servers_are_leaving(self):
        self.say_leaving(self.leaving)
        self.say_leaving(self.other)
        refusal = self.driver.decide("/safe/1")
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_server_is_reported_once_when_taken_out_and_once_when_back(self):
        self.driver.take_effects()
        self.say_leaving(self.leaving, "r7")
        self.say_leaving(self.leaving, "r8")
        self.driver.advance(1.0)
        self.assertEqual(
            self.driver.take_effects(), [ev.ServerTakenOut("l1", "r7", "leaving")]
        )
        self.driver.add_servers(self.leaving.replace(incarnation=2))
        self.driver.advance(0.5)
        self.driver.advance(0.5)
        self.assertEqual(
            self.driver.take_effects(), [ev.ServerReturned("l1", "leaving")]
        )


class ReplayCase(NoticeCase):
    """Replays load at servers whose requests take a while."""

    RUN_S = 0.3

    def setUp(self):
        super().setUp()
        self.running: list[tuple[float, int]] = []
        self.sent: list[tuple[float, str]] = []
        self.refused = 0

    def arrive(self, path: str, parts=()) -> None:
        """Advances the time by 10 ms and passes one request to the gateway."""
        self.driver.advance(0.01)
        for done in [r for r in self.running if r[0] <= self.driver.now]:
            self.running.remove(done)
            self.driver.apply(ev.AttemptEnded(done[1], ev.Completed(200, self.RUN_S)))
        self.driver.send_request(path, parts=parts, deadline_s=4.0)
        for effect in self.driver.take_effects():
            self.refused += isinstance(effect, ev.Refuse)
            if isinstance(effect, ev.Forward):
                self.on_forward(effect)

    def on_forward(self, effect: ev.Forward) -> None:
        """Lets a server respond to a request; a subclass may override it."""
        self.sent.append((self.driver.now, effect.server.id))
        self.running.append((self.driver.now + self.RUN_S, effect.serial))


class RollingLeaveReplayTest(ReplayCase):
    def test_all_servers_leave_one_by_one_under_load(self):
        """Each replacement starts at the address of the server that left."""
        for path, service in (("/safe/1", "ledger"), ("/live/1", "engine")):
            servers = [server(f"{service}-{n}", service, slots=64) for n in range(5)]
            self.driver.add_servers(*servers)
            left: dict[str, float] = {}
            for number in range(1000):
                if number % 200 == 100:
                    leaving = servers.pop(0)
                    self.say_leaving(leaving)
                    left[leaving.id] = self.driver.now
                if number % 200 == 180:
                    self.driver.apply(ev.ServerRemoved(leaving.id, after_outage=False))
                    self.driver.add_servers(leaving.replace(id=leaving.id + "-new"))
                self.arrive(path, chat_prompt(f"s{number % 40}"))
            self.assertEqual(len(left), 5)
            late = [s for at, s in self.sent if at > left.get(s, float("inf"))]
            self.assertEqual(late, [])
            self.assertEqual(self.refused, 0)


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """Gateway processes with stand-ins; checks what the backend servers saw."""

    async def start(self, gateways: int = 2, **servers: str) -> None:
        """Starts backend servers, given by id with their service, and gateways."""
        directory = temporary_directory()
        self.addCleanup(directory.cleanup)
        self.ids = itertools.count(1)
        self.history = History()
        self.store = PlatformStoreServer()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put("op/config", build_configuration())
        self.servers = {}
        for server_id, service in servers.items():
            stand_in = self.servers[server_id] = PlatformServer(server_id)
            await stand_in.start()
            self.addAsyncCleanup(stand_in.stop)
            self.publish(server_id, service)
        self.store_link = FaultProxy(self.store.address)
        await self.store_link.start()
        self.addAsyncCleanup(self.store_link.stop)
        self.gateways = [
            GatewayProcess(
                2 + n, self.store_link.address, Path(directory.name), ADDRESS_GROUP
            )
            for n in range(gateways)
        ]
        for gateway in self.gateways:
            await gateway.start()
            self.addAsyncCleanup(gateway.kill)
        async with asyncio.timeout(10):
            while not all([await g.is_ready() for g in self.gateways]):
                await asyncio.sleep(0.05)

    def publish(self, server_id: str, service: str, **changes) -> None:
        stand_in = self.servers[server_id]
        entry = stand_in.store_entry(service, **changes)
        self.store.put(f"servers/{stand_in.id}", entry)

    def cut_store(self) -> None:
        """Cuts all gateways off the store."""
        self.store_link.set_faults({"to_target": {"cut": True}})

    async def send(
        self, gateway: GatewayProcess, path: str, client: HttpClient
    ) -> Call:
        call = Call(f"{next(self.ids):08x}", path, API_KEY, time.monotonic())
        call.gateway = gateway.name
        self.history.calls.append(call)
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", call.id),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", f"Bearer {API_KEY}"),
        ]
        method = "GET" if path.startswith("/lookup") else "POST"
        try:
            response = await client.request(method, path, headers, timeout=4.0)
            call.body = await response.read()
            call.status, call.headers = response.status, dict(response.headers)
        except HttpError:
            call.status = 0
        call.ended_at = time.monotonic()
        return call

    async def load(self, seconds: float, path: str = "/lookup/1", callers: int = 3):
        """Lets callers send requests to each gateway over kept connections."""
        ends_at = time.monotonic() + seconds

        async def run(gateway: GatewayProcess) -> None:
            client = HttpClient.from_address(gateway.address)
            while time.monotonic() < ends_at:
                await self.send(gateway, path, client)
                await asyncio.sleep(0.01)
            client.close()

        await asyncio.gather(*(run(g) for g in self.gateways for _ in range(callers)))

    def violations(self) -> list[str]:
        for stand_in in self.servers.values():
            self.history.add_server(stand_in)
        return find_unwanted_arrivals(self.history, max_while_busy=0)

    async def read_metrics(self, gateway: GatewayProcess) -> str:
        client = HttpClient.from_address(f"{gateway.host}:7340")
        response = await client.request("GET", "/metrics", new_connection=True)
        text = (await response.read()).decode()
        client.close()
        return text

    def arrivals(self, server_id: str) -> list[float]:
        return [request.at for request in self.servers[server_id].received]


class LeavingProcessTest(ProcessCase):
    async def test_leaving_server_gets_no_request_from_gateways_cut_off_the_store(self):
        """Callers keep their connections, and the store lists the server as ready."""
        await self.start(l1="ledger", l2="ledger", l3="ledger")
        for server_id in ("l2", "l3"):
            # Gateways prefer the other server to these slower ones.
            self.servers[server_id].behaviour = Behaviour(delay_s=0.1)
        await self.load(0.5)
        self.cut_store()
        self.servers["l1"].behaviour = Behaviour(leaving=True)
        await self.load(1.5)
        self.assertGreaterEqual(len(self.servers["l1"].notices), 2)
        self.assertEqual(self.violations(), [])
        self.assertEqual({c.status for c in self.history.calls}, {200})

    async def test_refusals_errors_and_cut_responses_take_a_leaving_server_out(self):
        await self.start(1, l1="ledger", l2="ledger", l3="ledger")
        changes = ({"status": 503}, {"status": 500}, {"cut_after": 0})
        for stand_in, change in zip(self.servers.values(), changes, strict=True):
            stand_in.behaviour = Behaviour(leaving=True, **change)
        await self.load(1.5, callers=1)
        for server_id in ("l1", "l2", "l3"):
            self.assertEqual(len(self.arrivals(server_id)), 1, server_id)

    async def test_mark_is_logged_counted_and_not_forwarded(self):
        await self.start(1, l1="ledger")
        self.servers["l1"].behaviour = Behaviour(leaving=True)
        client = HttpClient.from_address(self.gateways[0].address)
        call = await self.send(self.gateways[0], "/lookup/1", client)
        self.assertEqual(call.status, 200)
        self.assertNotIn("server-leaving", call.headers)
        call = await self.send(self.gateways[0], "/lookup/1", client)
        self.assertEqual(call.status, 503)
        self.publish("l1", "ledger", born=2000)
        self.servers["l1"].behaviour = Behaviour()
        async with asyncio.timeout(5):
            while call.status != 200:
                call = await self.send(self.gateways[0], "/lookup/1", client)
        client.close()
        await asyncio.sleep(0.6)
        metrics = await self.read_metrics(self.gateways[0])
        for name in ("taken_out", "returned"):
            self.assertIn(
                f'gateway_servers_{name}_total{{reason="leaving"}} 1', metrics
            )
        lines = self.gateways[0].log_path.read_text().splitlines()
        self.assertEqual(sum("server taken out" in line for line in lines), 1)
        self.assertEqual(sum("server returned" in line for line in lines), 1)


if __name__ == "__main__":
    unittest.main()
