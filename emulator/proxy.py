"""TCP proxy that injects faults between two processes.

Run it with ``python -m emulator.proxy --target HOST:PORT --ready-file PATH``. The
ready file holds the address of the proxy and that of its control listener, which
takes ``POST /_faults`` with ``{"to_target": {...}, "to_client": {...}}``.
"""

import asyncio
import contextlib
from dataclasses import asdict, dataclass, fields
from typing import Any

from emulator.standin import (
    LOOPBACK,
    configure_stand_in_logs,
    create_option_parser,
    wait_for_stop_signal,
    write_ready_file,
)
from heatherswitch.util.http import READ_SIZE, BadRequest, Request
from heatherswitch.util.http_server import HttpServer, Responder

DIRECTIONS = ("to_target", "to_client")


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Faults of one direction.

    :param delay_s: added before each piece of data is passed on, in seconds.
    :param bytes_per_s: throughput of a connection; 0 is unlimited.
    :param cut: closes a connection when data arrives.
    :param cut_after_bytes: closes a connection after that many bytes; 0 is never.
    :param drop_existing: connections open when the rule is set carry no more data
        and stay open, even after the rule is cleared; new ones work.
    :param drop_all: no connection carries data while the rule is set. Held-back
        data is discarded, so such a connection never works again.
    :param lose_answers: like ``cut`` but only once the other side has received
        data on the connection, so that a request is delivered and its answer lost.
    :param duplicate: sends each piece of data twice.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    cut: bool = False
    cut_after_bytes: int = 0
    drop_existing: bool = False
    drop_all: bool = False
    lose_answers: bool = False
    duplicate: bool = False


def parse_link_fault(value: Any) -> LinkFault:
    """Reads the faults of one direction.

    :raises BadRequest: if a name or type is unknown.
    """
    defaults = {item.name: item.default for item in fields(LinkFault)}
    if not isinstance(value, dict) or not set(value) <= set(defaults):
        raise BadRequest(400, f"a direction is an object with {sorted(defaults)}")
    for name, item in value.items():
        is_flag = isinstance(defaults[name], bool)
        if isinstance(item, bool) != is_flag or not isinstance(
            item, (bool, int, float)
        ):
            raise BadRequest(400, f"{name}: {item!r} has the wrong type")
    return LinkFault(**value)


class Link:
    """One proxied connection."""

    __slots__ = (
        "delivered",
        "dropped",
        "passed",
        "writers",
    )

    def __init__(self, writers: dict[str, asyncio.StreamWriter]) -> None:
        # Writer by direction.
        self.writers = writers
        self.passed = dict.fromkeys(DIRECTIONS, 0)
        # Directions that never carry data again.
        self.dropped: set[str] = set()
        self.delivered = False

    def close(self) -> None:
        """Resets both sides."""
        for writer in self.writers.values():
            writer.transport.abort()


class FaultProxy:
    """Passes bytes between clients and one target."""

    __slots__ = (
        "_faults",
        "_links",
        "_server",
        "_target",
        "_tasks",
    )

    def __init__(self, target: str) -> None:
        """:param target: ``host:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._faults = dict.fromkeys(DIRECTIONS, LinkFault())
        self._links: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._links)

    def retarget(self, target: str) -> None:
        """Sends new connections to another ``host:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))

    async def start(self, port: int = 0) -> None:
        """Binds the listener on loopback; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._on_client, LOOPBACK, port)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        for link in list(self._links):
            link.close()
        for task in list(self._tasks):
            task.cancel()

    def set_faults(self, body: Any) -> None:
        """Replaces the faults; a direction that is not named has none.

        :raises BadRequest: if the body is invalid; the faults stay as they were.
        """
        if not isinstance(body, dict) or not set(body) <= set(DIRECTIONS):
            raise BadRequest(400, f"the body must be an object with {DIRECTIONS}")
        self._faults = {
            name: parse_link_fault(body.get(name, {})) for name in DIRECTIONS
        }
        for name, fault in self._faults.items():
            if fault.drop_existing:
                for link in self._links:
                    link.dropped.add(name)

    async def control(self, request: Request, responder: Responder) -> None:
        """Handles a request to the control listener."""
        if request.path == "/_faults" and request.method == "POST":
            self.set_faults(request.json())
        elif request.path not in ("/_faults", "/_stats"):
            raise BadRequest(404, f"no route {request.method} {request.path}")
        faults = {name: asdict(fault) for name, fault in self._faults.items()}
        if request.path == "/_stats":
            await responder.send_json(200, {"connections": len(self._links)})
        else:
            await responder.send_json(200, faults)

    async def _on_client(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self._tasks.discard(task)
            return
        link = Link({"to_target": target_writer, "to_client": writer})
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pass(link, "to_target", reader),
                self._pass(link, "to_client", target_reader),
            )
        except (OSError, asyncio.CancelledError):
            link.close()
        finally:
            self._links.discard(link)
            self._tasks.discard(task)

    async def _pass(self, link: Link, direction: str, reader) -> None:
        writer = link.writers[direction]
        while data := await reader.read(READ_SIZE):
            fault = self._faults[direction]
            if fault.delay_s:
                await asyncio.sleep(fault.delay_s)
                fault = self._faults[direction]
            if fault.drop_all:
                link.dropped.add(direction)
            if direction in link.dropped:
                continue
            if fault.cut or (fault.lose_answers and link.delivered):
                raise ConnectionResetError("cut by a fault")
            data = self._within_limit(link, direction, fault, data)
            if fault.bytes_per_s:
                await asyncio.sleep(len(data) / fault.bytes_per_s)
            writer.write(data * 2 if fault.duplicate else data)
            await writer.drain()
            link.delivered = link.delivered or direction == "to_target"
            link.passed[direction] += len(data)
            if 0 < fault.cut_after_bytes <= link.passed[direction]:
                raise ConnectionResetError("cut by a fault")
        if direction not in link.dropped and writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    def _within_limit(self, link, direction, fault, data: bytes) -> bytes:
        if not fault.cut_after_bytes:
            return data
        return data[: max(0, fault.cut_after_bytes - link.passed[direction])]


async def _main(options) -> None:
    proxy = FaultProxy(options.target)
    await proxy.start(options.port)
    control = HttpServer(proxy.control)
    await control.start(LOOPBACK, options.control_port)
    addresses = {"address": proxy.address, "control": f"{LOOPBACK}:{control.port}"}
    write_ready_file(options.ready_file, addresses)
    await wait_for_stop_signal()
    await proxy.stop()
    await control.stop(0)


def main() -> None:
    """Runs the proxy until SIGTERM."""
    parser = create_option_parser("proxy", __doc__)
    parser.add_argument("--target", required=True, help="host:port to connect to")
    parser.add_argument("--control-port", type=int, default=0)
    options = parser.parse_args()
    configure_stand_in_logs("proxy", options)
    asyncio.run(_main(options))


if __name__ == "__main__":
    main()
