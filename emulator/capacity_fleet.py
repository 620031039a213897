"""A fleet of real exchange nodes in one process, with their cost and spread times."""

import asyncio
import json
import random
import statistics
import time
from collections import Counter
from dataclasses import dataclass

import grpc

from heatherswitch.exchange.node import FleetNode
from heatherswitch.fleet.members import Load, Member, Role
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc
from heatherswitch.statecore.replica import Entry

# A change must reach all members within this time, in seconds.
SPREAD_LIMIT_S = 10.0
# Seconds until the membership of a started fleet has settled.
SETTLE_S = 6.0


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Size of the measured fleet.

    :param pools: number of services that the agents are divided into.
    :param seconds: length of the measurement without changes.
    :param changes: settings changes whose spread is measured.
    """

    routers: int
    agents: int
    pools: int
    seconds: float
    changes: int


class CountingServicer(pb_grpc.PeerServicer):
    """Counts the exchanges and message bytes that a node answers."""

    def __init__(self, member: "FleetMember", servicer) -> None:
        self._member = member
        self._servicer = servicer

    async def Exchange(self, request, context):  # noqa: N802 - name from the protocol
        """Passes one exchange on."""
        reply = await self._servicer.Exchange(request, context)
        size = request.ByteSize() + reply.ByteSize()
        self._member.traffic["answers"] += 1
        self._member.traffic["bytes"] += size
        self._member.fleet["exchanges"] += 1
        self._member.fleet["bytes"] += size
        return reply


class FleetMember:
    """One node with its gRPC server."""

    def __init__(self, name: str, role: Role, service: str, fleet: Counter) -> None:
        self.traffic: Counter = Counter()
        self.fleet = fleet
        self._server = grpc.aio.server()
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        load = Load(random.randrange(8), 0, 8) if role is Role.AGENT else Load()
        version = "v1" if service else ""
        self.record = Member(
            name,
            role,
            "zone-0",
            self.address,
            time.time_ns(),
            service=service,
            version=version,
            load=load,
        )
        self.pool_load = (0, 0)
        self.node: FleetNode | None = None

    async def start(self, peers: list[str]) -> None:
        """Starts the node."""

        def take_pool_load(total: int, agents: int) -> None:
            self.pool_load = (total, agents)

        self.node = FleetNode.from_config(
            lambda: self.record, peers, on_pool_load=take_pool_load
        )
        servicer = CountingServicer(self, self.node.servicer())
        pb_grpc.add_PeerServicer_to_server(servicer, self._server)
        await self._server.start()
        await self.node.start()
        if self.record.role is Role.ROUTER:
            self.node.mark_store_read()

    async def stop(self) -> None:
        """Ends the node without a goodbye."""
        await self.node.stop()
        await self._server.stop(0)


def build_fleet(options: FleetOptions, fleet: Counter) -> list[FleetMember]:
    """Builds the members, routers first."""
    routers = [
        FleetMember(f"router-{i:03d}", Role.ROUTER, "", fleet)
        for i in range(options.routers)
    ]
    agents = [
        FleetMember(f"agent-{i:04d}", Role.AGENT, f"model-{i % options.pools}", fleet)
        for i in range(options.agents)
    ]
    return [*routers, *agents]


async def measure_fleet(
    options: FleetOptions, settle_s: float = SETTLE_S
) -> dict[str, float]:
    """Starts a fleet, measures it idle and then the spread of changes.

    :param settle_s: seconds between the start and the measurement.
    """
    fleet: Counter = Counter()
    members = build_fleet(options, fleet)
    seeds = [member.address for member in members[:3]]
    for member in members:
        await member.start(seeds)
    await asyncio.sleep(settle_s)
    figures = await _measure_idle(options, members, fleet)
    figures |= await _measure_spread(options, members, fleet)
    figures |= _pool_error(options, members)
    await asyncio.gather(*(member.stop() for member in members))
    return figures


async def _measure_idle(options, members, fleet) -> dict[str, float]:
    for member in members:
        member.traffic.clear()
    fleet.clear()
    cpu, started = time.process_time(), time.monotonic()
    await asyncio.sleep(options.seconds)
    elapsed = time.monotonic() - started
    cpu = time.process_time() - cpu
    answers = [m.traffic["answers"] / elapsed for m in members[: options.routers]]
    exchanges = max(fleet["exchanges"], 1)
    return {
        "routers": options.routers,
        "agents": options.agents,
        "exchanges_per_s": fleet["exchanges"] / elapsed,
        "cpu_percent_per_member": cpu / elapsed / len(members) * 100,
        "cpu_ms_per_exchange_both": cpu / exchanges * 1000,
        "bytes_per_exchange": fleet["bytes"] / exchanges,
        "answers_per_router_mean": statistics.mean(answers),
        "answers_per_router_max": max(answers),
    }


async def _measure_spread(options, members, fleet) -> dict[str, float]:
    times, messages = [], []
    for number in range(options.changes):
        fleet.clear()
        revision = 1000 + number
        value = json.dumps({"share": 1 + number}).encode()
        key = "heatherswitch/config/settings/workspace=customer-1"
        started = time.monotonic()
        # As the operator's router does after its write was accepted.
        origin = members[random.randrange(options.routers)].node
        origin.apply_entries([Entry(key, revision, value)], revision)
        origin.schedule_exchange()
        while any(m.node.entries.revision < revision for m in members):
            if time.monotonic() - started > SPREAD_LIMIT_S:
                break
            await asyncio.sleep(0.01)
        times.append(time.monotonic() - started)
        messages.append(fleet["exchanges"])
        await asyncio.sleep(1.0)
    if not times:
        return {}
    return {
        "spread_s_mean": statistics.mean(times),
        "spread_s_max": max(times),
        "exchanges_during_spread": statistics.mean(messages),
    }


def _pool_error(options, members) -> dict[str, float]:
    """Compares the pool load that agents were told with the true one."""
    wrong = 0
    agents = members[options.routers :]
    for member in agents:
        pool = [m.record for m in agents if m.record.service == member.record.service]
        truth = (sum(record.load.total for record in pool), len(pool))
        wrong += member.pool_load != truth
    return {"agents_with_wrong_pool_load": wrong}
