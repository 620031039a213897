"""Measures cost and propagation times of a fleet of exchange nodes in one process."""

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

# Longest wait for a change to reach all members, in seconds.
SPREAD_TIMEOUT_S = 10.0
# Seconds after the start until all members know each other.
SETTLE_S = 6.0


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Size of the measured fleet and length of the measurement.

    :param pools: number of services over which the agents are spread.
    :param seconds: length of the measurement without changes.
    :param changes: number of settings changes whose propagation is measured.
    """

    routers: int
    agents: int
    pools: int
    seconds: float
    changes: int


class CountingServicer(pb_grpc.PeerServicer):
    """Counts the exchanges that a node answers, and their message bytes."""

    def __init__(self, member: "FleetMember", servicer) -> None:
        self._member = member
        self._servicer = servicer

    async def Exchange(self, request, context):  # noqa: N802 - name from the protocol
        """Forwards an exchange to the node and counts it."""
        reply = await self._servicer.Exchange(request, context)
        size = request.ByteSize() + reply.ByteSize()
        self._member.traffic["answers"] += 1
        self._member.traffic["bytes"] += size
        self._member.fleet_traffic["exchanges"] += 1
        self._member.fleet_traffic["bytes"] += size
        return reply


class FleetMember:
    """An exchange node with its gRPC server.

    ``traffic`` counts the exchanges of this member, ``fleet_traffic`` those of all.
    """

    def __init__(
        self, name: str, role: Role, service: str, fleet_traffic: Counter
    ) -> None:
        self.traffic: Counter = Counter()
        self.fleet_traffic = fleet_traffic
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
        """Starts the server and the node.

        :param peers: addresses of the members to contact first.
        """

        def set_pool_load(total: int, agents: int) -> None:
            self.pool_load = (total, agents)

        self.node = FleetNode.from_config(
            lambda: self.record, peers, on_pool_load=set_pool_load
        )
        servicer = CountingServicer(self, self.node.servicer())
        pb_grpc.add_PeerServicer_to_server(servicer, self._server)
        await self._server.start()
        await self.node.start()
        if self.record.role is Role.ROUTER:
            self.node.mark_store_read()

    async def stop(self) -> None:
        """Stops node and server without announcing it to the peers."""
        await self.node.stop()
        await self._server.stop(0)


def build_fleet(options: FleetOptions, fleet_traffic: Counter) -> list[FleetMember]:
    """Returns the members, not yet started, routers first."""
    routers = [
        FleetMember(f"router-{i:03d}", Role.ROUTER, "", fleet_traffic)
        for i in range(options.routers)
    ]
    agents = [
        FleetMember(
            f"agent-{i:04d}", Role.AGENT, f"model-{i % options.pools}", fleet_traffic
        )
        for i in range(options.agents)
    ]
    return [*routers, *agents]


async def measure_fleet(
    options: FleetOptions, settle_s: float = SETTLE_S
) -> dict[str, float]:
    """Measures a fleet without changes, then the propagation of changes.

    :param settle_s: seconds between the start of the fleet and the measurement.
    """
    fleet_traffic: Counter = Counter()
    members = build_fleet(options, fleet_traffic)
    seeds = [member.address for member in members[:3]]
    for member in members:
        await member.start(seeds)
    await asyncio.sleep(settle_s)
    result = await _measure_idle(options, members, fleet_traffic)
    result |= await _measure_spread(options, members, fleet_traffic)
    result |= _count_wrong_pool_loads(options, members)
    await asyncio.gather(*(member.stop() for member in members))
    return result


async def _measure_idle(options, members, fleet_traffic) -> dict[str, float]:
    for member in members:
        member.traffic.clear()
    fleet_traffic.clear()
    cpu_time, started = time.process_time(), time.monotonic()
    await asyncio.sleep(options.seconds)
    elapsed = time.monotonic() - started
    cpu_time = time.process_time() - cpu_time
    answers = [m.traffic["answers"] / elapsed for m in members[: options.routers]]
    exchanges = max(fleet_traffic["exchanges"], 1)
    return {
        "routers": options.routers,
        "agents": options.agents,
        "exchanges_per_s": fleet_traffic["exchanges"] / elapsed,
        "cpu_percent_per_member": cpu_time / elapsed / len(members) * 100,
        "cpu_ms_per_exchange_both": cpu_time / exchanges * 1000,
        "bytes_per_exchange": fleet_traffic["bytes"] / exchanges,
        "answers_per_router_mean": statistics.mean(answers),
        "answers_per_router_max": max(answers),
    }


async def _measure_spread(options, members, fleet_traffic) -> dict[str, float]:
    times, exchange_counts = [], []
    for number in range(options.changes):
        fleet_traffic.clear()
        revision = 1000 + number
        value = json.dumps({"share": 1 + number}).encode()
        key = "heatherswitch/config/settings/workspace=customer-1"
        started = time.monotonic()
        # A router does the same after the store accepted an operator's change.
        origin = members[random.randrange(options.routers)].node
        origin.apply_entries([Entry(key, revision, value)], revision)
        origin.schedule_exchange()
        while any(m.node.entries.revision < revision for m in members):
            if time.monotonic() - started > SPREAD_TIMEOUT_S:
                break
            await asyncio.sleep(0.01)
        times.append(time.monotonic() - started)
        exchange_counts.append(fleet_traffic["exchanges"])
        await asyncio.sleep(1.0)
    if not times:
        return {}
    return {
        "spread_s_mean": statistics.mean(times),
        "spread_s_max": max(times),
        "exchanges_during_spread": statistics.mean(exchange_counts),
    }


def _count_wrong_pool_loads(options, members) -> dict[str, float]:
    """Counts the agents whose pool load differs from the actual load of the pool."""
    wrong = 0
    agents = members[options.routers :]
    for member in agents:
        pool = [m.record for m in agents if m.record.service == member.record.service]
        expected = (sum(record.load.total for record in pool), len(pool))
        wrong += member.pool_load != expected
    return {"agents_with_wrong_pool_load": wrong}
