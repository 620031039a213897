"""Measures the event loop's turns, and peers that send without waiting."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable, Coroutine, Iterable

from emulator.platform.deployment import Deployment
from emulator.platform.store import PlatformStoreServer
from emulator.standin import LOOPBACK
from heatherswitch.util.http_protocol import READ_BYTES, StreamProtocol

# Bytes that the peers write at once.
WRITE_BYTES = 64 * 1024


class LoopTurns:
    """Records the longest iteration of the running event loop.

    Iterations are measured in processor time, so that other processes do not count.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._last = 0.0
        self._handle: asyncio.Handle | None = None

    def __enter__(self) -> "LoopTurns":
        self._last = time.thread_time()
        self._handle = asyncio.get_running_loop().call_soon(self._tick)
        return self

    def __exit__(self, *exc_info) -> None:
        self._handle.cancel()

    def _tick(self) -> None:
        now = time.thread_time()
        self.longest_s = max(self.longest_s, now - self._last)
        self._last = now
        self._handle = asyncio.get_running_loop().call_soon(self._tick)


async def slowest_call_s(deployment: Deployment, calls: int) -> float:
    """Returns the longest time that one of some calls takes, in processor time.

    Gateway, peers and caller share this process, so that it is the time that other work
    takes before the answer. Time in which the process waits for a processor does not
    count; the call's own time limit bounds it.

    :raises AssertionError: if a call isn't served.
    """
    slowest_s = 0.0
    for _ in range(calls):
        started_at = time.process_time()
        status, _, _ = await deployment.call("/settle/1", method="POST")
        assert status == 200, f"status {status}"
        slowest_s = max(slowest_s, time.process_time() - started_at)
    return slowest_s


def repeat(part: bytes) -> Iterable[bytes]:
    """Yields a part without end, many copies at a time."""
    data = part * max(1, WRITE_BYTES // len(part))
    while True:
        yield data


class EagerServer:
    """Answers each request with bytes as fast as they are taken, from own threads.

    :param respond: returns the parts of an answer; its argument is the request's head.
    """

    def __init__(self, respond: Callable[[bytes], Iterable[bytes]]) -> None:
        self._respond = respond
        self._listener = socket.create_server((LOOPBACK, 0))
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The ``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Closes the listener and all connections."""
        for sock in (self._listener, *self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._connections.append(connection)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                data = connection.recv(WRITE_BYTES)
                if not data:
                    return
                head += data
            for part in self._respond(head):
                connection.sendall(part)


class EagerCaller:
    """Sends a request over and over, on one connection at a time, from own threads.

    :param address: ``host:port`` of the server.
    :param request: the first bytes on each connection.
    :param parts: what follows, until the server closes the connection.
    """

    def __init__(self, address: str, request: bytes, parts: Iterable[bytes]) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._request = request
        self._parts = parts
        self._connection: socket.socket | None = None
        self._closed = False

    def start(self) -> None:
        """Starts to send."""
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Closes the connection and stops."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        while not self._closed:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(self._address) as connection,
            ):
                self._connection = connection
                reader = threading.Thread(
                    target=_discard, args=(connection,), daemon=True
                )
                reader.start()
                connection.sendall(self._request)
                for part in self._parts:
                    connection.sendall(part)


def _discard(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(WRITE_BYTES):
            pass


class ThreadedStore(PlatformStoreServer):
    """A stand-in of the store with an event loop and a thread of its own.

    Its connections have read buffers of their own, too: all others share one, which is
    safe in a single event loop only.
    """

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()

    async def start(self) -> None:
        """Starts the thread and binds the listener."""
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        create_server = self._loop.create_server

        async def create_with_own_buffers(create_protocol, **options):
            def create_own() -> StreamProtocol:
                protocol = create_protocol()
                protocol._read_buffer = memoryview(bytearray(READ_BYTES))
                return protocol

            return await create_server(create_own, **options)

        self._loop.create_server = create_with_own_buffers
        await self._run(super().start())

    async def stop(self) -> None:
        """Closes the listener and ends the thread."""
        await self._run(super().stop())
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def write(self, puts: dict[str, bytes]) -> None:
        """Writes entries in one revision."""

        async def apply() -> None:
            items = [(key.encode(), value, 0) for key, value in puts.items()]
            self.data.write(items, [])

        await self._run(apply())

    async def _run(self, coroutine: Coroutine) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        await asyncio.wrap_future(future)
