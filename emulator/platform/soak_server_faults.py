"""Faults of backend servers in a soak, and of the links to them."""

import asyncio
import contextlib
import time
from dataclasses import replace

from emulator.platform.soak_deployment import NORMAL_BEHAVIOUR
from emulator.platform.soak_fault_base import FaultBase

# Seconds after a link fault in which connections whose data was discarded are given up,
# so that later responses reach the gateways.
LINK_SETTLE_S = 1.5


class ServerFaults(FaultBase):
    """Faults of backend servers and of the links to them."""

    async def fault_server_misbehaves(self) -> None:
        item = self._choose_target(self._deployment.servers)
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

    async def fault_server_link(self) -> None:
        item = self._choose_target(self._deployment.servers)
        if item is not None:
            await self._apply_link_fault(item[1], impaired=item[0].id)

    async def fault_server_replaced(self) -> None:
        """Replaces a server by one with another id at the same address."""
        item = self._choose_target(self._deployment.servers)
        if item is None:
            return
        server, link, service = item
        self._faulty_ids.add(id(item))
        self._deployment.withdraw_server(server)
        server.id += "x"
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._deployment.publish_server(
            server, link, service, born=int(time.time() * 1000)
        )
        self._faulty_ids.discard(id(item))

    async def fault_server_leaves(self) -> None:
        item = self._choose_target(self._deployment.servers)
        if item is not None:
            server, link, service = item
            await self._apply_fault(
                item,
                lambda: self._deployment.publish_server(
                    server, link, service, state="draining"
                ),
                lambda: self._deployment.publish_server(server, link, service),
            )

    @contextlib.asynccontextmanager
    async def _reserved_service(self):
        """Yields the servers of a service that are free of faults, with their links.

        Half of the time, the gateways are cut off the store meanwhile.
        """
        service = self._random.choice(list(NORMAL_BEHAVIOUR))
        items = [
            item
            for item in self._deployment.servers
            if item[2] == service and not {id(item), id(item[1])} & self._faulty_ids
        ]
        links = [
            x for x in self._deployment.store_links if id(x) not in self._faulty_ids
        ]
        links = links if self._random.random() < 0.5 else []
        with self._reserved(*items, *links, *(link for _, link, _ in items)):
            await asyncio.sleep(LINK_SETTLE_S)
            with contextlib.ExitStack() as stack:
                for link in links:
                    name = self._deployment.gateway_of(link).name
                    faults = self._history.store_faults
                    stack.enter_context(self._recorded(name, faults))
                    link.set_faults({"to_target": {"cut": True}})
                yield items
                for link in links:
                    link.set_faults({})

    async def fault_service_leaves(self) -> None:
        """The servers of a service leave one by one and are replaced.

        Their store entries say nothing of it.
        """
        async with self._reserved_service() as items:
            for server, link, service in items:
                normal_behaviour = NORMAL_BEHAVIOUR[service]
                server.behaviour = replace(normal_behaviour, leaving=True)
                await asyncio.sleep(self._random.uniform(0.5, 1.0))
                self._deployment.withdraw_server(server)
                server.id += "x"
                server.behaviour = normal_behaviour
                self._deployment.publish_server(
                    server, link, service, born=int(time.time() * 1000)
                )

    async def fault_service_fails(self) -> None:
        """All servers of a service fail while another service has much traffic."""
        async with self._reserved_service() as items:
            if not items:
                return
            service = items[0][2]
            changes = self._random.choice(
                (
                    {"reset_unread": True},
                    {"status": 500},
                    {"status": 503},
                    {"status": 503, "retry_after_s": 0.3},
                )
            )
            configuration = self._deployment.configuration
            self._deployment.busy_route = configuration.find_busy_route(service)
            with contextlib.ExitStack() as stack:
                for server, _, _ in items:
                    impairments = self._history.impairments
                    stack.enter_context(self._recorded(server.id, impairments))
                    behaviour = replace(NORMAL_BEHAVIOUR[service], **changes)
                    server.behaviour = behaviour
                await asyncio.sleep(self._random.uniform(1.0, 5.0))
                for server, _, _ in items:
                    server.behaviour = NORMAL_BEHAVIOUR[service]
            self._deployment.busy_route = None

    async def fault_service_sheds(self) -> None:
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
