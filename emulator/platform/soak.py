"""Soak test: runs gateway processes under random faults and checks what callers saw.

``python -m emulator.platform.soak --seeds 1 --seconds 30`` exits with 0 if it found no
violation. ``--seeds 1-50`` runs several. The seed determines which faults are drawn, but
not the timing of the processes.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from emulator.platform.deployment import HOST, build_configuration, build_route
from emulator.platform.process import GRACE_S, GatewayProcess, temporary_directory
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.soak_checks import (
    Call,
    History,
    Interval,
    calls_during_stops,
    count_statuses,
    find_violations,
)
from emulator.platform.store import PlatformStoreServer
from emulator.proxy import FaultProxy
from heatherswitch.util.http import ConnectionLost, HttpError
from heatherswitch.util.http_client import HttpClient

GATEWAYS = 3
LEDGERS = 3
ENGINES = 3
CALLERS = 12
# Seeds that differ modulo this use other loopback addresses, so they can run at once.
MAX_ADDRESS_GROUPS = 200
# Number of events in a stream, and seconds between two of them.
STREAM_EVENTS = 12
EVENT_GAP_S = 0.03
# Seconds after which the platform allows no request with a withdrawn API key.
REVOCATION_LIMIT_S = 5.0
# Seconds after the last fault in which the deployment must serve again.
RECOVERY_S = 8.0
# Seconds that a caller waits for a response.
CALL_TIMEOUT_S = 3.0
# Seconds after a link fault in which connections whose data was discarded are given up,
# so that later responses reach the gateways.
LINK_SETTLE_S = 1.5
# Workspace by API key.
API_KEYS = {"key-huon": "huon", "key-derwent": "derwent", "key-tamar": "tamar"}
PATHS = ("/lookup/1", "/settle/1", "/draft/1", "/answer/1")
# Behaviour by service, without faults.
NORMAL_BEHAVIOUR = {
    "ledger": Behaviour(echo=True, delay_s=0.01),
    "appraiser": Behaviour(echo=True, events=STREAM_EVENTS, event_gap_s=EVENT_GAP_S),
}


class Soak:
    """One soak run of several gateways with their store, backend servers and callers.

    :param seconds: how long faults are injected.
    :param directory: where the gateways write their settings and logs.
    :ivar faults: number of injected faults by kind.
    """

    def __init__(self, seed: int, seconds: float, directory: Path) -> None:
        self.faults: Counter[str] = Counter()
        self.history = History(events=STREAM_EVENTS)
        self._duration_s = seconds
        self._random = random.Random(seed)
        self._address_group = 1 + seed % MAX_ADDRESS_GROUPS
        self._directory = directory
        self._store = PlatformStoreServer()
        self._store_links: list[FaultProxy] = []
        self._gateways: list[GatewayProcess] = []
        self._stopping: list[GatewayProcess] = []
        self._servers: list[tuple[PlatformServer, FaultProxy, str]] = []
        self._faulty_ids: set[object] = set()
        self._injected: set[asyncio.Task] = set()
        self._callers_run = True
        self._configuration_version = 1
        self._valid_keys = dict(API_KEYS)
        self._served_at_end = 0

    async def run(self) -> list[str]:
        """Runs the deployment under faults and returns one line for each violation.

        :raises TimeoutError: if the gateways do not become ready.
        """
        try:
            await self._start()
        except BaseException:
            # Processes left running would block the addresses for the next run.
            await self._stop()
            raise
        callers = [asyncio.create_task(self._run_caller(n)) for n in range(CALLERS)]
        try:
            await self._inject_faults()
            await asyncio.gather(*self._injected)
            await asyncio.sleep(RECOVERY_S)
        finally:
            self._callers_run = False
            results = await asyncio.gather(*callers, return_exceptions=True)
            await self._stop()
        for result in results:
            if isinstance(result, BaseException):
                raise result
        for server, _, _ in self._servers:
            self.history.add_server(server)
        found = find_violations(self.history, REVOCATION_LIMIT_S, API_KEYS)
        return found + self._check_recovery()

    def _check_recovery(self) -> list[str]:
        since = self.history.calls[-1].sent_at - RECOVERY_S / 2
        last = [
            c
            for c in self.history.calls
            if c.sent_at > since and c.key in self._valid_keys
        ]
        served = sum(c.status == 200 for c in last)
        if served < 0.9 * len(last):
            return [
                f"recovery: only {served} of {len(last)} requests were served after "
                "the last fault"
            ]
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
                2 + number, link.address, self._directory, self._address_group
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
            for key, name in self._valid_keys.items()
        ]
        routes = build_configuration()["routes"]
        routes.append(
            build_route(f"/extra-{self._configuration_version}/", "safe", "ledger")
        )
        configuration = build_configuration(
            self._configuration_version, tenants=tenants, routes=routes
        )
        self._store.put("op/config", configuration)
        self._configuration_version += 1

    async def _add_server(self, server_id: str, service: str) -> None:
        server = PlatformServer(server_id, NORMAL_BEHAVIOUR[service])
        await server.start()
        link = FaultProxy(server.address)
        await link.start()
        self._servers.append((server, link, service))
        self._publish_server(server, link, service)

    def _publish_server(
        self, server: PlatformServer, link: FaultProxy, service: str, **changes
    ):
        entry = server.store_entry(service, address=link.address, **changes)
        self._store.put(f"servers/{server.id}", entry)

    # Callers

    async def _run_caller(self, number: int) -> None:
        """Sends requests to random gateways, over connections that it keeps open."""
        rng = random.Random(number)
        clients: dict[str, HttpClient] = {}
        count = 0
        while self._callers_run:
            # A gateway that stops is used until its process is gone.
            prefer_stopping = self._stopping and rng.random() < 0.5
            gateway = rng.choice(self._stopping if prefer_stopping else self._gateways)
            client = clients.setdefault(
                gateway.address, HttpClient.from_address(gateway.address)
            )
            count += 1
            call = Call(
                f"{number:02}-{count:05}",
                rng.choice(PATHS),
                rng.choice(list(API_KEYS)),
                time.monotonic(),
                gateway=gateway.name,
            )
            self.history.calls.append(call)
            if rng.random() < 0.05:
                await self._call_and_disconnect(client, call, rng)
            else:
                await self._call(client, call)
            await asyncio.sleep(rng.uniform(0.0, 0.1))
        for client in clients.values():
            client.close()

    async def _call(self, client: HttpClient, call: Call) -> None:
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", call.id),
            ("X-Deadline-Ms", str(int(CALL_TIMEOUT_S * 1000))),
            ("Authorization", f"Bearer {call.key}"),
        ]
        method = "GET" if call.path.startswith("/lookup") else "POST"
        try:
            response = await client.request(
                method, call.path, headers, timeout=CALL_TIMEOUT_S + 1.0
            )
            call.body = await response.read()
            call.headers = dict(response.headers)
            call.status = response.status
        except HttpError as error:
            call.status = 0
            in_time = time.monotonic() - call.sent_at < CALL_TIMEOUT_S
            call.lost = isinstance(error, ConnectionLost) and in_time
        finally:
            call.ended_at = time.monotonic()

    async def _call_and_disconnect(self, client: HttpClient, call: Call, rng) -> None:
        task = asyncio.create_task(self._call(client, call))
        await asyncio.sleep(rng.uniform(0.0, 0.2))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if task.cancelled():
            call.status = 0

    # Faults

    async def _inject_faults(self) -> None:
        ends_at = time.monotonic() + self._duration_s
        kinds = [name for name in dir(self) if name.startswith("_fault_")]
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            kind = self._random.choice(kinds)
            self.faults[kind.removeprefix("_fault_")] += 1
            task = asyncio.create_task(getattr(self, kind)())
            self._injected.add(task)

    def _choose_target(self, targets: list):
        """Returns a random target without a fault in force; None if there is none."""
        free = [target for target in targets if id(target) not in self._faulty_ids]
        return self._random.choice(free) if free else None

    @contextlib.contextmanager
    def _reserved(self, *targets):
        """Keeps other faults away from targets."""
        self._faulty_ids.update(map(id, targets))
        yield
        self._faulty_ids.difference_update(map(id, targets))

    @contextlib.contextmanager
    def _disturbance(self, gateway: GatewayProcess):
        """Records that a gateway is stopped or paused."""
        spans, started_at = self.history.disturbed[gateway.name], time.monotonic()
        spans.append((started_at, float("inf")))
        yield
        spans.remove((started_at, float("inf")))
        spans.append((started_at, time.monotonic()))

    async def _apply_fault(
        self,
        target,
        start_fault,
        end_fault,
        max_duration_s: float = 3.0,
        impaired: str = "",
    ) -> None:
        """Puts a fault in force for a random time.

        :param impaired: name of the gateway or id of the server that is impaired, so
            that the requests that it handles may fail.
        """
        if target is None:
            return
        self._faulty_ids.add(id(target))
        duration_s = self._random.uniform(0.3, max_duration_s)
        interval = Interval(impaired, time.monotonic())
        self.history.impairments.append(interval)
        start_fault()
        await asyncio.sleep(duration_s)
        end_fault()
        interval.ends_at = time.monotonic()
        self._faulty_ids.discard(id(target))

    async def _restart_gateway(self, end_process) -> None:
        gateway = self._choose_target(self._gateways)
        if gateway is None:
            return
        with self._reserved(gateway), self._disturbance(gateway):
            await end_process(gateway)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            await gateway.start()

    async def _kill_gateway(self, gateway: GatewayProcess) -> None:
        interval = Interval(gateway.name, time.monotonic())
        self.history.impairments.append(interval)
        await gateway.kill()
        interval.ends_at = time.monotonic()

    async def _stop_gateway(self, gateway: GatewayProcess) -> None:
        """Sends SIGTERM, at times followed by more signals, and waits for the end."""
        interval = Interval(gateway.name, time.monotonic())
        self.history.stops.append(interval)
        self._stopping.append(gateway)
        stop = asyncio.create_task(gateway.stop())
        signals = (signal.SIGHUP, signal.SIGTERM)
        for number in self._random.choices(signals, k=self._random.randrange(3)):
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            gateway.signal(number)
        exit_code = await stop
        self._stopping.remove(gateway)
        interval.ends_at = time.monotonic()
        duration_s = interval.ends_at - interval.begins_at
        if exit_code != 0 or duration_s > GRACE_S:
            self.history.failed_stops.append(
                f"{gateway.name} ended with {exit_code} after {duration_s:.2f} s"
            )

    async def _fault_gateway_killed(self) -> None:
        await self._restart_gateway(self._kill_gateway)

    async def _fault_gateway_stopped(self) -> None:
        await self._restart_gateway(self._stop_gateway)

    async def _fault_gateways_stopped_in_series(self) -> None:
        """Restarts the gateways one after another while configurations change."""
        restarts = []
        for _ in self._gateways:
            restart = self._restart_gateway(self._stop_gateway)
            restarts.append(asyncio.create_task(restart))
            await asyncio.sleep(self._random.uniform(0.0, 2.5))
            self._write_configuration()
            await self._fault_gateway_reloads()
        await asyncio.gather(*restarts)

    async def _fault_gateway_paused(self) -> None:
        gateway = self._choose_target(self._gateways)
        if gateway is None:
            return
        with self._disturbance(gateway):
            await self._apply_fault(
                gateway,
                lambda: gateway.signal(signal.SIGSTOP),
                lambda: gateway.signal(signal.SIGCONT),
                max_duration_s=7.0,
                impaired=gateway.name,
            )

    async def _fault_gateway_reloads(self) -> None:
        gateway = self._choose_target(self._gateways)
        if gateway is not None:
            gateway.signal(signal.SIGHUP)

    async def _fault_server_misbehaves(self) -> None:
        item = self._choose_target(self._servers)
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
        normal_behaviour = NORMAL_BEHAVIOUR[service]
        await self._apply_fault(
            item,
            lambda: setattr(server, "behaviour", replace(normal_behaviour, **changes)),
            lambda: setattr(server, "behaviour", normal_behaviour),
            impaired=server.id,
        )

    async def _fault_server_link(self) -> None:
        item = self._choose_target(self._servers)
        if item is not None:
            await self._apply_link_fault(item[1], impaired=item[0].id)

    async def _fault_store_link(self) -> None:
        link = self._choose_target(self._store_links)
        if link is not None:
            await self._apply_link_fault(link, max_duration_s=7.0)

    async def _apply_link_fault(
        self, link: FaultProxy, max_duration_s: float = 3.0, impaired: str = ""
    ) -> None:
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
        await self._apply_fault(
            link,
            lambda: link.set_faults({direction: fault}),
            lambda: link.set_faults({}),
            max_duration_s,
            impaired,
        )

    async def _fault_server_replaced(self) -> None:
        """Replaces a server by one with another id at the same address."""
        item = self._choose_target(self._servers)
        if item is None:
            return
        server, link, service = item
        self._faulty_ids.add(id(item))
        self._store.delete(f"servers/{server.id}")
        server.id += "x"
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._publish_server(server, link, service, born=int(time.time() * 1000))
        self._faulty_ids.discard(id(item))

    async def _fault_server_leaves(self) -> None:
        item = self._choose_target(self._servers)
        if item is not None:
            server, link, service = item
            await self._apply_fault(
                item,
                lambda: self._publish_server(server, link, service, state="draining"),
                lambda: self._publish_server(server, link, service),
            )

    @contextlib.asynccontextmanager
    async def _reserved_service(self):
        """Yields the servers of a service that are free of faults, with their links.

        Half of the time, the gateways are cut off the store meanwhile.
        """
        service = self._random.choice(list(NORMAL_BEHAVIOUR))
        items = [
            item
            for item in self._servers
            if item[2] == service and not {id(item), id(item[1])} & self._faulty_ids
        ]
        links = [x for x in self._store_links if id(x) not in self._faulty_ids]
        links = links if self._random.random() < 0.5 else []
        with self._reserved(*items, *links, *(link for _, link, _ in items)):
            await asyncio.sleep(LINK_SETTLE_S)
            for link in links:
                link.set_faults({"to_target": {"cut": True}})
            yield items
            for link in links:
                link.set_faults({})

    async def _fault_service_leaves(self) -> None:
        """The servers of a service leave one by one and are replaced.

        Their store entries say nothing of it.
        """
        async with self._reserved_service() as items:
            for server, link, service in items:
                normal_behaviour = NORMAL_BEHAVIOUR[service]
                server.behaviour = replace(normal_behaviour, leaving=True)
                await asyncio.sleep(self._random.uniform(0.5, 1.0))
                self._store.delete(f"servers/{server.id}")
                server.id += "x"
                server.behaviour = normal_behaviour
                self._publish_server(
                    server, link, service, born=int(time.time() * 1000)
                )

    async def _fault_service_sheds(self) -> None:
        """Some or all servers of a service refuse requests in two waves."""
        async with self._reserved_service() as items:
            count = self._random.randint(min(1, len(items)), len(items))
            shedding = self._random.sample(items, count)
            for _ in range(2):
                asked_s = self._random.uniform(0.6, 1.5)
                for server, _, service in shedding:
                    server.behaviour = replace(
                        NORMAL_BEHAVIOUR[service], status=503, retry_after_s=asked_s
                    )
                await asyncio.sleep(self._random.uniform(0.5, 1.0))
                for server, _, service in shedding:
                    server.behaviour = NORMAL_BEHAVIOUR[service]
                await asyncio.sleep(asked_s)

    async def _fault_store(self) -> None:
        """Lets the store refuse, hang, be slow, report no changes or lose responses."""
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
        store = self._store if id(self._store) not in self._faulty_ids else None

        def restore() -> None:
            setattr(store, name, normal)
            if name == "deaf":
                store.discard_history()

        max_duration_s = 1.0 if name == "deaf" else 6.0
        await self._apply_fault(
            store, lambda: setattr(store, name, value), restore, max_duration_s
        )

    async def _fault_configuration(self) -> None:
        self._write_configuration()

    async def _fault_key_withdrawn(self) -> None:
        if len(self._valid_keys) > 1:
            key = self._random.choice(list(self._valid_keys))
            del self._valid_keys[key]
            self._write_configuration()
            self.history.revoked_at[key] = time.monotonic()

    async def _fault_zone_out(self) -> None:
        # Zone b is empty. All servers of the soak are in zone a, without which nothing
        # could be served.
        await self._apply_fault(
            self._store if id(self._store) not in self._faulty_ids else None,
            lambda: self._store.put("op/evacuate/b", {}),
            lambda: self._store.delete("op/evacuate/b"),
        )


async def run_seed(seed: int, seconds: float, work_directory: Path | None) -> list[str]:
    """Runs a soak with one seed and prints its counts as a JSON line.

    :param work_directory: directory for settings and logs; a temporary one if None.
    :returns: one line for each violation.
    """
    with temporary_directory() as name:
        directory = work_directory or Path(name)
        soak = Soak(seed, seconds, directory)
        found = await soak.run()
        during_stops = calls_during_stops(soak.history)
        run_ids = {run.id for run in soak.history.runs}
        report = {
            "seed": seed,
            "calls": len(soak.history.calls),
            "runs": len(soak.history.runs),
            "notices": len(soak.history.notices),
            "statuses": count_statuses(soak.history),
            "calls_during_stops": len(during_stops),
            "calls_run_during_stops": sum(c.id in run_ids for c in during_stops),
            "faults": dict(soak.faults),
            "violations": found[:20],
        }
        print(json.dumps(report), flush=True)
        return found


def main() -> int:
    """Runs a soak for each seed on the command line and returns the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="N or N-M")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--keep", type=Path, help="directory for settings and logs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        broken += bool(asyncio.run(run_seed(seed, options.seconds, options.keep)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
