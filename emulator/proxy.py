"""TCP proxy that injects faults between two processes.

Run it with ``python -m emulator.proxy --target HOST:PORT --ready-file PATH``. The
ready file holds the addresses of the proxy and of its control listener, which
accepts ``POST /_faults`` with ``{"to_target": {...}, "to_client": {...}}``.
"""

import asyncio
import contextlib
import time
from dataclasses import asdict, dataclass, fields
from typing import Any

from emulator.standin import (
    LOOPBACK,
    configure_stand_in_logs,
    create_option_parser,
    wait_for_stop_signal,
    write_ready_file,
)
from heatherswitch.util.http import MAX_READ_BYTES, BadRequest, Request
from heatherswitch.util.http_server import HttpServer, Responder

DIRECTIONS = ("to_target", "to_client")
# Data that a connection sends in one turn on a link of limited throughput; a few packets.
LINK_CHUNK_BYTES = 8192


@dataclass(frozen=True, slots=True)
class DirectionFaults:
    """Faults of the data that flows in one direction.

    :param delay_s: delay before each chunk of data is forwarded, in seconds.
    :param bytes_per_s: throughput of a connection; 0 is unlimited.
    :param link_bytes_per_s: throughput of all connections together, which take turns;
        0 is unlimited.
    :param cut: closes a connection when data arrives.
    :param cut_after_bytes: closes a connection after that many bytes; 0 is never.
    :param drop_existing: connections that are open when the fault is set forward no
        more data and stay open, even after it is cleared; new ones work.
    :param drop_all: no connection forwards data while the fault is set. Its data is
        discarded, so a connection that carried any never works again.
    :param lose_answers: like ``cut`` but only once the target has received data on
        the connection, so that a request is delivered and its response lost.
    :param duplicate: forwards each chunk of data twice.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    cut: bool = False
    cut_after_bytes: int = 0
    drop_existing: bool = False
    drop_all: bool = False
    lose_answers: bool = False
    duplicate: bool = False


def parse_direction_faults(value: Any) -> DirectionFaults:
    """Returns the faults that a JSON value describes.

    :raises BadRequest: if a field or its type is invalid.
    """
    defaults = {item.name: item.default for item in fields(DirectionFaults)}
    if not isinstance(value, dict) or not set(value) <= set(defaults):
        raise BadRequest(400, f"a direction is an object with {sorted(defaults)}")
    for name, item in value.items():
        is_flag = isinstance(defaults[name], bool)
        if isinstance(item, bool) != is_flag or not isinstance(
            item, (bool, int, float)
        ):
            raise BadRequest(400, f"{name}: {item!r} has the wrong type")
    return DirectionFaults(**value)


class ProxiedConnection:
    """A client's connection and the matching one to the target."""

    __slots__ = (
        "dropped_directions",
        "forwarded_bytes",
        "target_received_data",
        "writers",
    )

    def __init__(self, writers: dict[str, asyncio.StreamWriter]) -> None:
        # Writer by direction.
        self.writers = writers
        self.forwarded_bytes = dict.fromkeys(DIRECTIONS, 0)
        # Directions that never forward data again.
        self.dropped_directions: set[str] = set()
        self.target_received_data = False

    def close(self) -> None:
        """Closes both connections without sending buffered data."""
        for writer in self.writers.values():
            writer.transport.abort()


class FaultProxy:
    """Forwards bytes between clients and one target, with faults by direction."""

    __slots__ = (
        "_faults",
        "_link_free_at",
        "_open_connections",
        "_server",
        "_target",
        "_tasks",
    )

    def __init__(self, target: str) -> None:
        """:param target: ``host:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._faults = dict.fromkeys(DIRECTIONS, DirectionFaults())
        # When the link has sent all data that was given to it, by direction, in seconds
        # of the monotonic clock.
        self._link_free_at = dict.fromkeys(DIRECTIONS, 0.0)
        self._open_connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    @property
    def open_connections(self) -> int:
        """Number of open client connections."""
        return len(self._open_connections)

    def set_target(self, target: str) -> None:
        """Sends new connections to another ``host:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))

    async def start(self, port: int = 0) -> None:
        """Binds the listener on loopback; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._handle_client, LOOPBACK, port)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        for connection in list(self._open_connections):
            connection.close()
        for task in list(self._tasks):
            task.cancel()

    def set_faults(self, body: Any) -> None:
        """Replaces the faults of both directions; one that is absent gets none.

        :param body: JSON object of :class:`DirectionFaults` fields by direction.
        :raises BadRequest: if the body is invalid; the old faults stay active.
        """
        if not isinstance(body, dict) or not set(body) <= set(DIRECTIONS):
            raise BadRequest(400, f"the body must be an object with {DIRECTIONS}")
        self._faults = {
            name: parse_direction_faults(body.get(name, {})) for name in DIRECTIONS
        }
        for name, fault in self._faults.items():
            if fault.drop_existing:
                for connection in self._open_connections:
                    connection.dropped_directions.add(name)

    async def handle_control_request(
        self, request: Request, responder: Responder
    ) -> None:
        """Responds to ``/_faults`` and ``/_stats`` on the control listener."""
        if request.path == "/_faults" and request.method == "POST":
            self.set_faults(request.json())
        elif request.path not in ("/_faults", "/_stats"):
            raise BadRequest(404, f"no route {request.method} {request.path}")
        faults = {name: asdict(fault) for name, fault in self._faults.items()}
        if request.path == "/_stats":
            await responder.send_json(200, {"connections": len(self._open_connections)})
        else:
            await responder.send_json(200, faults)

    async def _handle_client(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self._tasks.discard(task)
            return
        connection = ProxiedConnection(
            {"to_target": target_writer, "to_client": writer}
        )
        self._open_connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, "to_target", reader),
                self._forward(connection, "to_client", target_reader),
            )
        except (OSError, asyncio.CancelledError):
            connection.close()
        finally:
            self._open_connections.discard(connection)
            self._tasks.discard(task)

    async def _forward(
        self, connection: ProxiedConnection, direction: str, reader
    ) -> None:
        writer = connection.writers[direction]
        while data := await reader.read(self._chunk_bytes(direction)):
            faults = self._faults[direction]
            if faults.delay_s:
                await asyncio.sleep(faults.delay_s)
                faults = self._faults[direction]
            if faults.drop_all:
                connection.dropped_directions.add(direction)
            if direction in connection.dropped_directions:
                continue
            if faults.cut or (faults.lose_answers and connection.target_received_data):
                raise ConnectionResetError("connection closed by an injected fault")
            data = self._cut_to_limit(connection, direction, faults, data)
            if faults.bytes_per_s:
                await asyncio.sleep(len(data) / faults.bytes_per_s)
            if faults.link_bytes_per_s:
                await self._take_link(direction, len(data) / faults.link_bytes_per_s)
            writer.write(data * 2 if faults.duplicate else data)
            await writer.drain()
            connection.target_received_data = (
                connection.target_received_data or direction == "to_target"
            )
            connection.forwarded_bytes[direction] += len(data)
            if 0 < faults.cut_after_bytes <= connection.forwarded_bytes[direction]:
                raise ConnectionResetError("connection closed by an injected fault")
        if direction not in connection.dropped_directions and writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    def _chunk_bytes(self, direction: str) -> int:
        limited = self._faults[direction].link_bytes_per_s
        return LINK_CHUNK_BYTES if limited else MAX_READ_BYTES

    async def _take_link(self, direction: str, seconds: float) -> None:
        """Waits until the link has sent what was given to it before, and this data."""
        now = time.monotonic()
        sent_at = max(now, self._link_free_at[direction]) + seconds
        self._link_free_at[direction] = sent_at
        await asyncio.sleep(sent_at - now)

    def _cut_to_limit(self, connection, direction, faults, data: bytes) -> bytes:
        if not faults.cut_after_bytes:
            return data
        return data[
            : max(0, faults.cut_after_bytes - connection.forwarded_bytes[direction])
        ]


async def _main(options) -> None:
    proxy = FaultProxy(options.target)
    await proxy.start(options.port)
    control = HttpServer(proxy.handle_control_request)
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
