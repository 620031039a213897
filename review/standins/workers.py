"""Stand-in for a backend server (a worker, on the users' pages)."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable

# Value of SO_LINGER (on, for 0 s) with which closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)
LOOPBACK = "127.0.0.1"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Request:
    """A request as it reached a worker."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.at = time.monotonic()

    @property
    def id(self) -> str:
        """Id of the consumer's attempt."""
        return self.headers.get("x-attempt-id", "")


class Connection:
    """One channel from a gateway to a worker."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    async def write(self, data: bytes) -> None:
        """Sends bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Resets the channel; data that was not sent yet is discarded."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort()


# Answers a request; returns False if the channel must not be used any more.
Respond = Callable[["Worker", Request, Connection], Awaitable[bool]]


class Worker:
    """One worker of a service.

    :ivar arrived: requests that reached it.
    :ivar ran: requests that it began to work on.
    """

    def __init__(self, worker_id: str, service: str, respond: Respond) -> None:
        self.id = worker_id
        self.service = service
        self.respond = respond
        self.arrived: list[Request] = []
        self.ran: list[Request] = []
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"{LOOPBACK}:{self._port}"

    def entry(self, **changes) -> dict:
        """Returns the next entry that the worker writes to the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "born": self.born,
        } | changes

    async def start(self) -> None:
        """Binds the listener, at the same port as before if it was stopped."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        connection = Connection(reader, writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.arrived.append(request)
                if request.headers.get("x-expect-instance", self.id) != self.id:
                    await connection.write(
                        head(421, request.id, [("X-Not-Executed", "1")], 0)
                    )
                    continue
                if not await self.respond(self, request, connection):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader) -> Request | None:
    """Reads a request with a length, or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    request = Request(method, target, headers)
    with contextlib.suppress(KeyError):
        request.body = await reader.readexactly(int(headers["content-length"]))
    return request


def head(
    status: int,
    attempt_id: str,
    headers: list[tuple[str, str]] | None = None,
    length: int | None = None,
) -> bytes:
    """Returns the head of an answer.

    :param length: bytes of the body; None for a body in chunks.
    """
    lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {attempt_id}"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    lines.append(
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(worker: Worker, request: Request, connection, body: bytes) -> bool:
    """Runs a request and sends its whole answer."""
    worker.ran.append(request)
    await connection.write(
        head(200, request.id, [("X-Response-Seal", SEAL)], len(body)) + body
    )
    return True
