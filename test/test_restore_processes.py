"""Gateway processes whose store is restored from a backup, with other trouble meanwhile.

Each test prints how long changes after the restore took to be in force at all gateways.
"""

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable

from emulator.platform.deployment import API_KEY, HOST, build_configuration, build_route
from emulator.platform.process import GatewayProcess
from emulator.platform.server import Behaviour
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient
from test.gateway_process_case import ProcessCase

OTHER_KEY = "key-other"
TENANTS = [{"name": "huon", "api_keys": [API_KEY, OTHER_KEY], "priority": 1}]
# Bounds on the platform's sites, in seconds.
CHANGE_S = 2.0
REVOKE_S = 5.0
# Age of the backup, how long the store is away, and when others have written again.
BACKUP_AGE_S = 1.5
AWAY_S = 0.8
REWRITE_S = 0.3
# Seconds from there to the changes that are measured.
SETTLE_S = 0.7
OBSERVED_S = 3.5
SERVED_SHARE = 0.98
# Callers at each gateway.
CALLERS = 4
# Writes that make the revisions of the former era higher than those after the restore.
LOST_WRITES = 60


class RestoreProcessCase(ProcessCase):
    """Three gateways, three servers in zone a and one in zone b."""

    ADDRESS_GROUP = 240
    CONFIGURATION = {"tenants": TENANTS}

    async def asyncSetUp(self):
        self.statuses: list[int] = []
        self.left_out: set[str] = set()
        await self.start(3, l1="ledger", l2="ledger", l3="ledger", zone_b="ledger")
        self.sequence = 1
        self.write_servers()
        self.version = 1
        for stand_in in self.servers.values():
            # So slow that requests overlap and go to all servers.
            stand_in.behaviour = Behaviour(delay_s=0.05)
        for gateway in self.gateways * CALLERS:
            task = asyncio.create_task(self.load_gateway(gateway))
            self.addCleanup(task.cancel)
        await asyncio.sleep(CHANGE_S)

    def write_servers(self, **states: str) -> None:
        """Writes the next heartbeat of all servers; those named get another state."""
        self.sequence += 1
        for server_id in self.servers:
            self.publish(
                server_id,
                "ledger",
                zone="b" if server_id == "zone_b" else "a",
                seq=self.sequence,
                slots=32,
                state=states.get(server_id, "ready"),
            )

    def write_configuration(self, version: int, **changes) -> None:
        self.version = version
        document = build_configuration(version, **{"tenants": TENANTS} | changes)
        self.store.put("op/config", document)

    def write_again(self) -> None:
        self.write_configuration(self.version)
        self.write_servers()

    async def ask(self, gateway: GatewayProcess, path: str, key: str = API_KEY) -> int:
        """Sends a request over a new connection and returns the status, or 0."""
        client = HttpClient.from_address(gateway.address)
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", f"{next(self.ids):08x}"),
            ("X-Deadline-Ms", "2000"),
            ("Authorization", f"Bearer {key}"),
        ]
        try:
            response = await client.request("GET", path, headers, timeout=3.0)
            await response.read()
            return response.status
        except HttpError:
            return 0
        finally:
            client.close()

    async def load_gateway(self, gateway: GatewayProcess) -> None:
        while True:
            status = await self.ask(gateway, "/lookup/1")
            if gateway.name not in self.left_out:
                self.statuses.append(status)
            await asyncio.sleep(0.03)

    async def seconds_until(
        self, path: str, key: str, status: int, limit_s: float
    ) -> float:
        """Returns the seconds until all gateways answer with a status."""

        async def wait(gateway: GatewayProcess) -> None:
            while await self.ask(gateway, path, key) != status:
                await asyncio.sleep(0.03)

        began_at = time.monotonic()
        async with asyncio.timeout(limit_s):
            await asyncio.gather(*(wait(gateway) for gateway in self.gateways))
        return time.monotonic() - began_at

    async def restore(
        self,
        meanwhile: Callable[[], Awaitable[None]] | None = None,
        keeps_history: bool = True,
    ) -> None:
        """Restores the store from a backup, and lets others write again."""
        backup = self.store.back_up()
        for _ in range(LOST_WRITES):
            await asyncio.sleep(BACKUP_AGE_S / LOST_WRITES)
            self.store.put("further", 0)
        trouble = asyncio.create_task(meanwhile()) if meanwhile else None
        await self.store.restore(backup, AWAY_S, keeps_history)
        await asyncio.sleep(REWRITE_S)
        self.write_again()
        if trouble:
            await trouble
        await asyncio.sleep(SETTLE_S)

    async def check_changes(self, form: str) -> None:
        """Makes changes and checks that they are in force at all gateways in time."""
        changed_at = time.monotonic()
        route = build_route("/added/", "safe", "ledger")
        routes = [*build_configuration()["routes"], route]
        tenants = [TENANTS[0] | {"api_keys": [API_KEY]}]
        self.write_configuration(self.version + 2, routes=routes, tenants=tenants)
        self.write_servers(l1="draining")
        self.store.put("op/evacuate/b", {})
        observed = asyncio.create_task(asyncio.sleep(OBSERVED_S))
        route_s, key_s = await asyncio.gather(
            self.seconds_until("/added/1", API_KEY, 200, CHANGE_S),
            self.seconds_until("/lookup/1", OTHER_KEY, 401, REVOKE_S),
        )
        await observed
        result = {
            "form": form,
            "added_route_s": round(route_s, 3),
            "withdrawn_key_s": round(key_s, 3),
        }
        for name, server_id in (("notice_s", "l1"), ("evacuation_s", "zone_b")):
            last_s = max(0.0, *(at - changed_at for at in self.arrivals(server_id)))
            result[name] = round(last_s, 3)
        served = self.statuses.count(200) / len(self.statuses)
        result |= {"requests": len(self.statuses), "served": round(served, 4)}
        print(json.dumps(result), flush=True)
        self.assertLess(result["notice_s"], CHANGE_S)
        self.assertLess(result["evacuation_s"], CHANGE_S)
        self.assertGreaterEqual(served, SERVED_SHARE)


class RestoreProcessTest(RestoreProcessCase):
    """Guards CONFIG and DRAIN after restores, on real processes."""

    async def test_one_restore(self):
        await self.restore()
        await self.check_changes("one restore")

    async def test_two_restores(self):
        await self.restore()
        await self.restore()
        await self.check_changes("two restores")

    async def test_history_dropped(self):
        await self.restore(keeps_history=False)
        await self.check_changes("history dropped")

    async def test_gateway_cut_off_from_the_store(self):
        """It sees the restore seconds after the others, once revisions have passed."""
        link = self.store_links[0]
        link.set_faults({"to_target": {"cut": True}})
        self.left_out.add(self.gateways[0].name)
        await self.restore()
        for _ in range(2 * LOST_WRITES):
            self.store.put("further", 0)
        link.set_faults({})
        await asyncio.sleep(CHANGE_S)
        await self.check_changes("a gateway cut off")

    async def test_gateway_that_starts_while_the_store_is_away(self):
        gateway = self.gateways[0]

        async def restart() -> None:
            self.left_out.add(gateway.name)
            await gateway.kill()
            await gateway.start()

        await self.restore(restart)
        await self.check_changes("a gateway restarted")

    async def test_paused_gateway(self):
        gateway = self.gateways[0]

        async def pause() -> None:
            self.left_out.add(gateway.name)
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            gateway.signal(signal.SIGCONT)

        await self.restore(pause)
        await self.check_changes("a gateway paused")

    async def test_response_of_the_former_era_that_arrives_late(self):
        async def hold() -> None:
            await asyncio.sleep(AWAY_S + REWRITE_S + 0.4)
            self.store.release_answers()

        self.store.hold_answers = 1
        await self.restore(hold)
        await self.check_changes("a late response")

    async def test_zone_that_was_taken_back_in_the_lost_span(self):
        """The backup has the evacuation; operators take it back again."""
        self.store.put("op/evacuate/b", {})
        await asyncio.sleep(CHANGE_S)
        await self.restore()
        self.store.delete("op/evacuate/b")
        await asyncio.sleep(CHANGE_S)
        self.store.put("op/evacuate/a", {})
        changed_at = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        last_s = max(
            at - changed_at for i in ("l1", "l2", "l3") for at in self.arrivals(i)
        )
        result = {"form": "an evacuation taken back", "other_zone_s": round(last_s, 3)}
        print(json.dumps(result), flush=True)
        self.assertLess(last_s, CHANGE_S)
        served_in_b = [at for at in self.arrivals("zone_b") if at > changed_at + last_s]
        self.assertGreater(len(served_in_b), 10)
        self.assertEqual(set(self.statuses[-10:]), {200})

    async def test_server_that_has_gone_is_in_the_backup(self):
        async def end_entry() -> None:
            await asyncio.sleep(AWAY_S + REWRITE_S + 1.0)
            self.store.delete("servers/l3")

        backup_has_it = self.servers.pop("l3")
        self.store.delete("servers/l3")
        await asyncio.sleep(0.1)
        entry = backup_has_it.store_entry("ledger", seq=self.sequence)
        self.store.put("servers/l3", entry)
        await self.restore(end_entry)
        await self.check_changes("a server that has gone")
