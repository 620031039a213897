"""Reads CPU time and memory of processes, and sends exchanges to a router."""

import asyncio
import json
import os
import time
from dataclasses import dataclass
from pathlib import Path

import grpc

from heatherswitch.protocol import heatherswitch_pb2 as pb
from heatherswitch.protocol import heatherswitch_pb2_grpc as pb_grpc

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Number of services of the simulated agents. The fleet is designed for 18 models.
SERVICES = 18
# Settings nodes in one message. Many more would exceed gRPC's limit of 4 MB.
NODES_PER_MESSAGE = 500


def cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB of 10**6 bytes.

    :raises ValueError: if the kernel reports none, as for a zombie.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"process {pid} has no resident memory")


def agent_record(number: int) -> pb.MemberRecord:
    """Returns the record of a simulated agent; nothing listens at its address."""
    return pb.MemberRecord(
        id=f"agent-{number:05d}",
        role=pb.AGENT,
        region="north",
        zone=f"zone-{number % 8}",
        address=f"127.0.0.{number % 250 + 1}:9",
        incarnation=time.time_ns(),
        heartbeat=1,
        state=pb.LIVE,
        service=f"model-{number % SERVICES}",
        version="v1",
        load=pb.AgentLoad(running=3, queued=1, limit=8),
    )


def settings_node(number: int) -> pb.ConfigEntry:
    """Returns the settings node of a workspace, as written by operators."""
    workspace = f"customer-{number:05d}"
    overrides = {
        "share": 1 + number % 7,
        "api_key_digests": [f"{number:064x}"],
        "limits": {"max_queued": 20},
    }
    return pb.ConfigEntry(
        key=f"heatherswitch/config/settings/workspace={workspace}",
        mod_revision=number + 1,
        value=json.dumps(overrides).encode(),
    )


@dataclass(frozen=True, slots=True)
class ExchangeCost:
    """Cost of exchanges at the process that responds to them.

    :param cpu_ms: CPU time of that process per exchange, in milliseconds.
    :param request_bytes: size of a request message without HTTP/2 framing.
    :param reply_bytes: size of a reply message without HTTP/2 framing.
    :param slowest_ms: longest wait for a reply, in milliseconds.
    """

    cpu_ms: float
    request_bytes: int
    reply_bytes: int
    slowest_ms: float


class PeerClient:
    """Sends exchanges to a process in the name of simulated peers."""

    def __init__(self, address: str, pid: int) -> None:
        self._channel = grpc.aio.insecure_channel(address)
        self._stub = pb_grpc.PeerStub(self._channel)
        self._pid = pid
        self._revision = 0

    async def close(self) -> None:
        """Closes the connection."""
        await self._channel.close()

    async def register_members(self, count: int) -> list[pb.MemberRecord]:
        """Announces ``count`` agents to the process and returns their records."""
        records = [agent_record(number) for number in range(count)]
        for record in records:
            await self._send(record)
        return records

    async def send_settings(self, first: int, last: int) -> float:
        """Sends the settings nodes from ``first`` to before ``last``.

        :returns: longest wait for a concurrent exchange without entries, in seconds.
        """
        sender = agent_record(0)
        latency_task = asyncio.create_task(self._measure_latency(sender))
        for start in range(first, last, NODES_PER_MESSAGE):
            end = min(start + NODES_PER_MESSAGE, last)
            request = pb.ExchangeRequest(
                sender=sender,
                config_revision=end,
                entries=[settings_node(number) for number in range(start, end)],
                entries_base=start,
                entries_revision=end,
            )
            await self._stub.Exchange(request, timeout=60)
        self._revision = last
        latency_task.cancel()
        results = await asyncio.gather(latency_task, return_exceptions=True)
        return max((r for r in results if isinstance(r, float)), default=0.0)

    async def measure_exchanges(
        self, records: list[pb.MemberRecord], count: int
    ) -> ExchangeCost:
        """Measures ``count`` sequential exchanges that transfer no settings.

        :param records: members that send the exchanges in turn.
        """
        before = cpu_s(self._pid)
        slowest = 0.0
        for number in range(count):
            record = records[number % len(records)]
            started = time.monotonic()
            request, reply = await self._send(record)
            slowest = max(slowest, time.monotonic() - started)
        cpu_ms = (cpu_s(self._pid) - before) / count * 1000
        return ExchangeCost(
            cpu_ms, request.ByteSize(), reply.ByteSize(), slowest * 1000
        )

    async def _send(self, record: pb.MemberRecord):
        request = pb.ExchangeRequest(sender=record, config_revision=self._revision)
        return request, await self._stub.Exchange(request, timeout=10)

    async def _measure_latency(self, record: pb.MemberRecord) -> float:
        """Sends exchanges until cancelled, then returns the longest wait in seconds."""
        longest = 0.0
        try:
            while True:
                started = time.monotonic()
                await self._stub.Exchange(
                    pb.ExchangeRequest(sender=record, config_revision=2**40), timeout=60
                )
                longest = max(longest, time.monotonic() - started)
                await asyncio.sleep(0.01)
        except asyncio.CancelledError:
            return longest
