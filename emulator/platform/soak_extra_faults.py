"""Faults of the responses of backend servers that a soak only plays if they are named."""

import asyncio
import contextlib
import re
import time
from collections.abc import Iterator
from dataclasses import replace

from emulator.platform.deployment import HOST
from emulator.platform.server import PlatformServer
from emulator.platform.soak_checks import LARGE_COPIES, Call, Interval
from emulator.platform.soak_deployment import NORMAL_BEHAVIOUR
from emulator.platform.soak_fault_base import FaultBase
from emulator.proxy import FaultProxy

# Beginning of the ids of requests that are answered without end.
ENDLESS_PREFIX = "endless"
# Events in one part of an endless stream, each in a chunk of its own.
EVENTS_PER_PART = 5000
SMALL_EVENT = b"7\r\ndata:\n\n\r\n"
# Seconds for which an endless stream is read.
ENDLESS_S = 3.0
# Bytes after which a plain response is broken off.
CUT_BYTES = 280_000


class ExtraFaults(FaultBase):
    """Faults that are only injected if they are named."""

    def _free_servers(
        self, service: str
    ) -> list[tuple[PlatformServer, FaultProxy, str]]:
        return [
            item
            for item in self._deployment.servers
            if item[2] == service and id(item) not in self._faulty_ids
        ]

    async def extra_fault_lines_end_with_cr(self) -> None:
        """Some servers end the lines of their streams with CR, and some break off."""
        items = self._free_servers("appraiser")
        with self._reserved(*items), contextlib.ExitStack() as stack:
            for server, _, _ in items:
                changes = {"line_end": self._random.choice("\r\r\n")}
                if self._random.random() < 0.5:
                    changes["cut_after"] = self._random.randint(1, 10)
                server.behaviour = replace(NORMAL_BEHAVIOUR["appraiser"], **changes)
                impairments = self._history.impairments
                stack.enter_context(self._recorded(server.id, impairments))
            await asyncio.sleep(self._random.uniform(1.0, 3.0))
            for server, _, _ in items:
                server.behaviour = NORMAL_BEHAVIOUR["appraiser"]

    async def extra_fault_endless_events(self) -> None:
        """One stream gets small events without end, and its caller reads them all."""
        items = self._free_servers("appraiser")
        gateway = self._random.choice(self._deployment.gateways)
        number = len(self._history.calls)
        key = self._random.choice(sorted(self._deployment.configuration.keys))
        call = Call(f"{ENDLESS_PREFIX}-{number}", "/answer/1", key, time.monotonic())
        call.gateway, call.left = gateway.name, True
        self._history.calls.append(call)
        with self._reserved(*items):
            for server, _, _ in items:
                server.behaviour = replace(
                    NORMAL_BEHAVIOUR["appraiser"],
                    raw=_repeat_small_events,
                    raw_for=ENDLESS_PREFIX,
                )
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ENDLESS_S):
                    await _read_all(gateway.address, call)
            call.ended_at = time.monotonic()
            for server, _, _ in items:
                server.behaviour = NORMAL_BEHAVIOUR["appraiser"]

    async def extra_fault_large_response_cut(self) -> None:
        """Servers send plain responses of more than 256 KiB; one breaks them off."""
        service = self._random.choice(("ledger", "registry"))
        items = self._free_servers(service)
        with self._reserved(*items), contextlib.ExitStack() as stack:
            for number, (server, _, _) in enumerate(items):
                raw = _send_large if number else _break_off_late
                server.behaviour = replace(NORMAL_BEHAVIOUR[service], raw=raw)
                impairments = self._history.impairments
                stack.enter_context(self._recorded(server.id, impairments))
            await asyncio.sleep(self._random.uniform(0.3, 1.5))
            for server, _, _ in items:
                server.behaviour = NORMAL_BEHAVIOUR[service]

    async def extra_fault_bad_prompts(self) -> None:
        """A part of prompts crashes servers, which are back after some seconds.

        Played once in a run, since the checks count the crashes of one part.
        """
        items = self._free_servers("appraiser")
        if self._history.crashes or self._deployment.bad_part or not items:
            return
        self._deployment.bad_part = f"bad{self._random.randrange(16**5):05x}"
        self._deployment.bad_turns = self._random.choice((1, 11))
        behaviour = replace(
            NORMAL_BEHAVIOUR["appraiser"], crash_part=self._deployment.bad_part
        )
        with self._reserved(*items):
            for server, _, _ in items:
                server.behaviour = behaviour
            watches = [
                asyncio.create_task(self._restart_after_crashes(*item))
                for item in items
            ]
            await asyncio.sleep(self._random.uniform(12.0, 15.0))
            self._deployment.bad_part = ""
            await asyncio.sleep(3.5)
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            for server, link, service in items:
                server.behaviour = NORMAL_BEHAVIOUR[service]
                if server.crashed:
                    await self._restart_server(server, link, service)

    async def _restart_after_crashes(self, server, link, service) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not server.crashed:
                continue
            interval = Interval(server.id, server.crashed_at)
            self._history.impairments.append(interval)
            self._history.crashes.append(interval.begins_at)
            await asyncio.sleep(self._random.uniform(1.0, 3.0))
            await self._restart_server(server, link, service)
            interval.ends_at = time.monotonic()

    async def _restart_server(self, server, link, service) -> None:
        await server.start()
        server.crashed = False
        link.set_target(server.address)
        born = int(time.time() * 1000)
        self._deployment.publish_server(server, link, service, born=born)


def _repeat_small_events(head: bytes) -> Iterator[bytes]:
    yield head
    while True:
        yield SMALL_EVENT * EVENTS_PER_PART


def _send_large(head: bytes) -> Iterator[bytes]:
    request_id = re.search(rb"X-Attempt-Id: (\S+)", head).group(1)
    body = request_id * LARGE_COPIES
    length = b"Content-Length: %d" % len(body)
    yield head.replace(b"Transfer-Encoding: chunked", length)
    yield body[:CUT_BYTES]
    yield body[CUT_BYTES:]


def _break_off_late(head: bytes) -> Iterator[bytes]:
    parts = _send_large(head)
    yield next(parts)
    yield next(parts)


async def _read_all(address: str, call: Call) -> None:
    """Sends a request and reads without parsing, which would be slower than the gateway."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            f"POST {call.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {call.id}\r\n"
            f"Authorization: Bearer {call.key}\r\nX-Deadline-Ms: {ENDLESS_S * 1000:.0f}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        while await reader.read(65536):
            pass
    finally:
        writer.transport.abort()
