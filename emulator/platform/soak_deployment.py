"""The store, gateway processes and backend servers of a soak of gateways."""

import asyncio
import random
import signal
import time
from pathlib import Path

from emulator.platform.process import GatewayProcess
from emulator.platform.server import Behaviour, PlatformServer
from emulator.platform.soak_configuration import (
    ChangingConfiguration,
    ConfigurationVersion,
)
from emulator.platform.store import PlatformStoreServer
from emulator.proxy import FaultProxy

GATEWAYS = 3
# Number of backend servers by service.
SERVERS = {"ledger": 3, "registry": 2, "appraiser": 3}
# Seeds that differ modulo this use other loopback addresses, so they can run at once.
MAX_ADDRESS_GROUPS = 200
# Retry budget of each service: repeats per request, and repeats in each window of 10 s
# in addition. The latter is small, so that a failure of seconds can exceed the budget.
RETRY_RATIO = 0.2
RETRY_SLACK = 10
# Limits of each gateway process: the memory of the smallest VMs.
MEMORY_MB = 160
MAX_DESCRIPTORS = 1024
# Seconds between two writes of the entry of a server.
HEARTBEAT_S = 1.0
# Entries of other writers before the configuration, so that a read of all entries takes
# several pages. Half of the runs have none.
FURTHER_ENTRIES = 130
# Number of events in a stream, and seconds between two of them.
STREAM_EVENTS = 12
EVENT_GAP_S = 0.03
# Behaviour by service, without faults.
NORMAL_BEHAVIOUR = {
    "ledger": Behaviour(echo=True, delay_s=0.01),
    "registry": Behaviour(echo=True, delay_s=0.01),
    "appraiser": Behaviour(echo=True, events=STREAM_EVENTS, event_gap_s=EVENT_GAP_S),
}


class SoakDeployment:
    """Several gateway processes with their store and backend servers.

    Each server, and each gateway's way to the store, is behind a proxy for faults.

    :param seed: selects the loopback addresses and determines the configurations.
    :param directory: where the gateways write their settings and logs.
    :ivar servers: each server with its proxy and the name of its service.
    :ivar stopping: gateways that got SIGTERM and still run.
    :ivar bad_part: id of a part of prompts that crashes servers; empty for none.
    :ivar bad_turns: number of parts of the caller behind that part.
    :ivar heartbeats: servers write their entries again and again.
    :ivar busy_route: host and prefix of a route with much traffic; None for none.
    :ivar versions: versions of the configuration, in the order of writing.
    """

    def __init__(self, seed: int, directory: Path) -> None:
        self.store = PlatformStoreServer()
        self.store_links: list[FaultProxy] = []
        self.gateways: list[GatewayProcess] = []
        self.stopping: list[GatewayProcess] = []
        self.servers: list[tuple[PlatformServer, FaultProxy, str]] = []
        self._random = random.Random(seed)
        self.configuration = ChangingConfiguration(self._random)
        self.bad_part = ""
        self.bad_turns = 0
        self.heartbeats = False
        # Entry of each listed server by id.
        self._entries: dict[str, dict] = {}
        # Number of the last heartbeat of each start of a server, by id and start.
        self._sequences: dict[tuple[str, int], int] = {}
        self._heartbeat_task: asyncio.Task | None = None
        self.busy_route: tuple[str, str] | None = None
        self.versions: list[ConfigurationVersion] = []
        self._address_group = 1 + seed % MAX_ADDRESS_GROUPS
        self._directory = directory

    async def start(self) -> None:
        """Starts everything and waits until all gateways are ready.

        :raises TimeoutError: if the gateways do not become ready.
        """
        await self.store.start()
        for number in range(self._random.choice((0, FURTHER_ENTRIES))):
            self.store.put(f"further/{number:03}", {})
        self._put_configuration()
        for service, count in SERVERS.items():
            for number in range(count):
                await self._add_server(f"{service}-{number}", service)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for number in range(GATEWAYS):
            link = FaultProxy(self.store.address)
            await link.start()
            self.store_links.append(link)
            gateway = GatewayProcess(
                2 + number,
                link.address,
                self._directory,
                self._address_group,
                {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
                retry_budget_ratio=RETRY_RATIO,
                retry_budget_slack=RETRY_SLACK,
            )
            self.gateways.append(gateway)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        async with asyncio.timeout(10):
            while not all([await gateway.is_ready() for gateway in self.gateways]):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kills the gateways and stops the servers, the proxies and the store."""
        for gateway in self.gateways:
            if gateway.running:
                gateway.signal(signal.SIGCONT)
                await gateway.kill()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for server, link, _ in self.servers:
            await link.stop()
            await server.stop()
        for link in self.store_links:
            await link.stop()
        await self.store.stop()

    def gateway_of(self, store_link: FaultProxy) -> GatewayProcess:
        """Returns the gateway that reaches the store by a link."""
        return self.gateways[self.store_links.index(store_link)]

    def write_configuration(self) -> None:
        """Draws a new version of the configuration and writes it."""
        self.configuration.change()
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put("op/config", self.configuration.document())
        self.versions.append(self.configuration.to_version(time.monotonic()))

    async def _add_server(self, server_id: str, service: str) -> None:
        server = PlatformServer(server_id, NORMAL_BEHAVIOUR[service])
        await server.start()
        link = FaultProxy(server.address)
        await link.start()
        self.servers.append((server, link, service))
        self.publish_server(server, link, service)

    def publish_server(
        self, server: PlatformServer, link: FaultProxy, service: str, **changes
    ) -> None:
        """Writes a server's entry in the store.

        :param changes: fields that replace the defaults.
        """
        born = self._entries.get(server.id, {"born": 1000})["born"]
        fields = {"born": born} | changes
        entry = server.store_entry(service, address=link.address, **fields)
        self._entries[server.id] = entry
        self._put_entry(server.id)

    def _put_entry(self, server_id: str) -> None:
        """Writes the entry of a server with the number of its next heartbeat."""
        entry = self._entries[server_id]
        start = server_id, entry["born"]
        # A count begins anew only with a new start.
        self._sequences[start] = self._sequences.get(start, 0) + 1
        entry["seq"] = self._sequences[start]
        self.store.put(f"servers/{server_id}", entry)

    def write_again(self) -> None:
        """Writes what operators and servers wrote, as after a restore of the store."""
        self._put_configuration()
        for server_id in self._entries:
            self._put_entry(server_id)

    def withdraw_lost_servers(self) -> None:
        """Deletes entries of servers that have gone, but are in the restored backup."""
        for item in self.store.data.range(b"servers/", b"servers0"):
            server_id = item.key.decode().removeprefix("servers/")
            if server_id not in self._entries:
                self.store.delete(f"servers/{server_id}")

    def withdraw_server(self, server: PlatformServer) -> None:
        """Deletes a server's entry in the store."""
        self._entries.pop(server.id, None)
        self.store.delete(f"servers/{server.id}")

    async def _send_heartbeats(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S / len(self.servers))
            number = (number + 1) % len(self.servers)
            server_id = self.servers[number][0].id
            # Entries that lapsed are written again by the fault that let them lapse.
            away = self.store.silent or self.store.refuse or self.store.away
            if self.heartbeats and not away and server_id in self._entries:
                self._put_entry(server_id)
