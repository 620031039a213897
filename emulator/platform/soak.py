"""Fault soak of gateways: real processes, seeded faults, promises checked at the ends.

``python -m emulator.platform.soak --seed 1 --seconds 30`` ends with 0 if no promise was
broken. ``--seeds 1-50`` runs several. The seed fixes the schedule of faults, not the
timing of processes.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from emulator.platform.deployment import HOST, configuration, route
from emulator.platform.process import GatewayProcess, work_folder
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.soak_checks import Call, History, summary, violations
from emulator.platform.store import PlatformStoreServer
from emulator.proxy import FaultProxy
from heatherswitch.util.http import HttpError
from heatherswitch.util.http_client import HttpClient

GATEWAYS = 3
LEDGERS = 3
ENGINES = 3
CALLERS = 12
# Groups of loopback addresses, so that several seeds can run at once.
MAX_GROUPS = 200
# Events of a stream, and seconds between two.
EVENTS = 12
EVENT_GAP_S = 0.03
# Bound of the platform on withdrawn keys, in seconds.
REVOKE_S = 5.0
# Seconds after the last fault in which the deployment must serve again.
RECOVERY_S = 8.0
KEYS = {"key-huon": "huon", "key-derwent": "derwent", "key-tamar": "tamar"}
PATHS = ("/lookup/1", "/settle/1", "/draft/1", "/answer/1")
GOOD = {
    "ledger": Behaviour(echo=True, delay_s=0.01),
    "appraiser": Behaviour(echo=True, events=EVENTS, event_gap_s=EVENT_GAP_S),
}


class Soak:
    """One run.

    :ivar faults: how often each fault was injected.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.faults: Counter[str] = Counter()
        self.history = History(events=EVENTS)
        self._seconds = seconds
        self._random = random.Random(seed)
        self._group = 1 + seed % MAX_GROUPS
        self._folder = folder
        self._store = PlatformStoreServer()
        self._store_links: list[FaultProxy] = []
        self._gateways: list[GatewayProcess] = []
        self._servers: list[tuple[PlatformServer, FaultProxy, str]] = []
        self._busy: set[object] = set()
        self._tasks: set[asyncio.Task] = set()
        self._calling = True
        self._version = 1
        self._keys = dict(KEYS)
        self._served_at_end = 0

    async def run(self) -> list[str]:
        """Plays the schedule and returns the broken promises."""
        try:
            await self._start()
        except BaseException:
            # Processes that are left behind keep the addresses of the seed.
            await self._stop()
            raise
        callers = [asyncio.create_task(self._caller(n)) for n in range(CALLERS)]
        try:
            await self._play()
            await asyncio.gather(*self._tasks)
            await asyncio.sleep(RECOVERY_S)
        finally:
            self._calling = False
            results = await asyncio.gather(*callers, return_exceptions=True)
            await self._stop()
        for result in results:
            if isinstance(result, BaseException):
                raise result
        self.history.runs = [run for s, _, _ in self._servers for run in s.runs]
        found = violations(self.history, REVOKE_S, KEYS)
        return found + self._check_recovery()

    def _check_recovery(self) -> list[str]:
        since = self.history.calls[-1].sent_at - RECOVERY_S / 2
        last = [
            c for c in self.history.calls if c.sent_at > since and c.key in self._keys
        ]
        served = sum(c.status == 200 for c in last)
        if served < 0.9 * len(last):
            return [f"recovery: {served} of {len(last)} served after the last fault"]
        return []

    # Deployment

    async def _start(self) -> None:
        await self._store.start()
        self._write_configuration()
        for service, count in (("ledger", LEDGERS), ("appraiser", ENGINES)):
            for number in range(count):
                await self._add_server(f"{service}-{number}", service)
        for number in range(GATEWAYS):
            link = FaultProxy(self._store.address)
            await link.start()
            self._store_links.append(link)
            gateway = GatewayProcess(
                2 + number, link.address, self._folder, self._group
            )
            self._gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self._gateways))
        async with asyncio.timeout(10):
            while not all([await gateway.is_ready() for gateway in self._gateways]):
                await asyncio.sleep(0.1)

    async def _stop(self) -> None:
        for gateway in self._gateways:
            if gateway.running:
                gateway.signal(signal.SIGCONT)
                await gateway.kill()
        for server, link, _ in self._servers:
            await link.stop()
            await server.stop()
        for link in self._store_links:
            await link.stop()
        await self._store.stop()

    def _write_configuration(self) -> None:
        tenants = [
            {"name": name, "api_keys": [key], "priority": 1}
            for key, name in self._keys.items()
        ]
        routes = configuration()["routes"]
        routes.append(route(f"/extra-{self._version}/", "safe", "ledger"))
        tree = configuration(self._version, tenants=tenants, routes=routes)
        self._store.put("op/config", tree)
        self._version += 1

    async def _add_server(self, server_id: str, service: str) -> None:
        server = PlatformServer(server_id, GOOD[service])
        await server.start()
        link = FaultProxy(server.address)
        await link.start()
        self._servers.append((server, link, service))
        self._list(server, link, service)

    def _list(self, server: PlatformServer, link: FaultProxy, service: str, **changes):
        entry = server.entry(service, address=link.address, **changes)
        self._store.put(f"servers/{server.id}", entry)

    # Callers

    async def _caller(self, number: int) -> None:
        """Sends requests over connections that stay open until they fail."""
        rng = random.Random(number)
        clients: dict[str, HttpClient] = {}
        count = 0
        while self._calling:
            gateway = rng.choice(self._gateways)
            client = clients.setdefault(
                gateway.address, HttpClient.from_address(gateway.address)
            )
            count += 1
            call = Call(
                f"{number:02}-{count:05}",
                rng.choice(PATHS),
                rng.choice(list(KEYS)),
                time.monotonic(),
            )
            self.history.calls.append(call)
            if rng.random() < 0.05:
                await self._leave_early(client, call, rng)
            else:
                await self._call(client, call)
            await asyncio.sleep(rng.uniform(0.0, 0.1))
        for client in clients.values():
            client.close()

    async def _call(self, client: HttpClient, call: Call) -> None:
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", call.id),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", f"Bearer {call.key}"),
        ]
        method = "GET" if call.path.startswith("/lookup") else "POST"
        try:
            response = await client.request(method, call.path, headers, timeout=4.0)
            call.body = await response.read()
            call.status = response.status
        except HttpError:
            call.status = 0

    async def _leave_early(self, client: HttpClient, call: Call, rng) -> None:
        task = asyncio.create_task(self._call(client, call))
        await asyncio.sleep(rng.uniform(0.0, 0.2))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if task.cancelled():
            call.status = 0

    # Faults

    async def _play(self) -> None:
        ends_at = time.monotonic() + self._seconds
        kinds = [name for name in dir(self) if name.startswith("_fault_")]
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            kind = self._random.choice(kinds)
            self.faults[kind.removeprefix("_fault_")] += 1
            task = asyncio.create_task(getattr(self, kind)())
            self._tasks.add(task)

    def _free(self, things: list):
        """Picks something that no other fault holds; None if all are held."""
        free = [thing for thing in things if id(thing) not in self._busy]
        return self._random.choice(free) if free else None

    async def _for_a_while(self, thing, begin, end, longest_s: float = 3.0) -> None:
        if thing is None:
            return
        self._busy.add(id(thing))
        duration_s = self._random.uniform(0.3, longest_s)
        begin()
        await asyncio.sleep(duration_s)
        end()
        self._busy.discard(id(thing))

    async def _restart(self, how) -> None:
        gateway = self._free(self._gateways)
        if gateway is None:
            return
        self._busy.add(id(gateway))
        await how(gateway)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await gateway.start()
        self._busy.discard(id(gateway))

    async def _fault_gateway_killed(self) -> None:
        await self._restart(GatewayProcess.kill)

    async def _fault_gateway_stopped(self) -> None:
        await self._restart(GatewayProcess.stop)

    async def _fault_gateway_paused(self) -> None:
        gateway = self._free(self._gateways)
        await self._for_a_while(
            gateway,
            lambda: gateway.signal(signal.SIGSTOP),
            lambda: gateway.signal(signal.SIGCONT),
            longest_s=7.0,
        )

    async def _fault_gateway_reloads(self) -> None:
        gateway = self._free(self._gateways)
        if gateway is not None:
            gateway.signal(signal.SIGHUP)

    async def _fault_server_misbehaves(self) -> None:
        item = self._free(self._servers)
        if item is None:
            return
        server, _, service = item
        changes = self._random.choice(
            (
                {"status": 500},
                {"status": 503},
                {"cut_after": 2},
                {"silent": True},
                {"reset_unread": True},
                {"stray": True},
                {"delay_s": 0.8},
                {"seal": False},
            )
        )
        good = GOOD[service]
        await self._for_a_while(
            item,
            lambda: setattr(server, "behaviour", replace(good, **changes)),
            lambda: setattr(server, "behaviour", good),
        )

    async def _fault_server_link(self) -> None:
        item = self._free(self._servers)
        if item is not None:
            await self._link_fault(item[1])

    async def _fault_store_link(self) -> None:
        link = self._free(self._store_links)
        if link is not None:
            await self._link_fault(link, longest_s=7.0)

    async def _link_fault(self, link: FaultProxy, longest_s: float = 3.0) -> None:
        fault = self._random.choice(
            (
                {"delay_s": 0.2},
                {"cut": True},
                {"drop_existing": True},
                {"drop_all": True},
                {"lose_answers": True},
            )
        )
        direction = self._random.choice(("to_target", "to_client"))
        await self._for_a_while(
            link,
            lambda: link.set_faults({direction: fault}),
            lambda: link.set_faults({}),
            longest_s,
        )

    async def _fault_server_replaced(self) -> None:
        """A server ends; another of the same service answers at its address."""
        item = self._free(self._servers)
        if item is None:
            return
        server, link, service = item
        self._busy.add(id(item))
        self._store.delete(f"servers/{server.id}")
        server.id += "x"
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._list(server, link, service, born=int(time.time() * 1000))
        self._busy.discard(id(item))

    async def _fault_server_leaves(self) -> None:
        item = self._free(self._servers)
        if item is not None:
            server, link, service = item
            await self._for_a_while(
                item,
                lambda: self._list(server, link, service, state="draining"),
                lambda: self._list(server, link, service),
            )

    async def _fault_store(self) -> None:
        """The store refuses, hangs, is slow or deaf, or loses answers."""
        name, value, normal = self._random.choice(
            (
                ("refuse", 503, 0),
                ("refuse", 429, 0),
                ("silent", True, False),
                ("delay_s", 0.3, 0.0),
                ("deaf", True, False),
                ("lose_writes", 3, 0),
            )
        )
        store = self._store if id(self._store) not in self._busy else None

        def restore() -> None:
            setattr(store, name, normal)
            if name == "deaf":
                store.forget_history()

        longest_s = 1.0 if name == "deaf" else 6.0
        await self._for_a_while(
            store, lambda: setattr(store, name, value), restore, longest_s
        )

    async def _fault_configuration(self) -> None:
        self._write_configuration()

    async def _fault_key_withdrawn(self) -> None:
        if len(self._keys) > 1:
            key = self._random.choice(list(self._keys))
            del self._keys[key]
            self._write_configuration()
            self.history.revoked_at[key] = time.monotonic()

    async def _fault_zone_out(self) -> None:
        # All servers of the soak are in one zone: nothing may be served meanwhile.
        await self._for_a_while(
            self._store if id(self._store) not in self._busy else None,
            lambda: self._store.put("op/evacuate/b", {}),
            lambda: self._store.delete("op/evacuate/b"),
        )


async def run_seed(seed: int, seconds: float, keep: Path | None) -> list[str]:
    """Runs one seed, prints its counts and returns the broken promises."""
    with work_folder() as name:
        folder = keep or Path(name)
        soak = Soak(seed, seconds, folder)
        found = await soak.run()
        report = {
            "seed": seed,
            "calls": len(soak.history.calls),
            "runs": len(soak.history.runs),
            "statuses": summary(soak.history),
            "faults": dict(soak.faults),
            "violations": found[:20],
        }
        print(json.dumps(report), flush=True)
        return found


def main() -> int:
    """Runs the seeds of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="N or N-M")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--keep", type=Path, help="folder for settings and logs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        broken += bool(asyncio.run(run_seed(seed, options.seconds, options.keep)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
