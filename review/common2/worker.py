"""A sound worker in the protocol of the pages; subclasses misbehave."""

import asyncio
import contextlib
import json
import socket
import struct
import time

LINGER_RESET = struct.pack("ii", 1, 0)
# Seconds of work for one request of a plain service, as on the sheet of lochblick-route.
WORK_S = 0.09


class WorkerRequest:
    """A request as a worker got it; header names are in lower case."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The consumer's ``X-Attempt-Id``."""
        return self.headers.get("x-attempt-id", "")


class Worker:
    """One worker; its address stays the same when the listener is closed and opened.

    :ivar arrivals: ids of the requests that arrived, with their times.
    :ivar runs: ids of the requests that ran.
    """

    def __init__(self, worker_id: str, service: str, record, **entry) -> None:
        self.id = worker_id
        self.service = service
        self.record = record
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.leaving = False
        self._entry = entry
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        return f"127.0.0.1:{self._port}"

    def entry(self, **changes) -> dict:
        """Returns the value of the entry ``servers/ID``."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hobart-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
            **self._entry,
            **changes,
        }

    async def listen(self) -> None:
        """Opens the listener."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Closes the listener, so that channels are refused, and resets open ones."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.arrivals.append((self.record.now(), request.id))
                self.record.write("arrival", worker=self.id, id=request.id)
                expected = request.headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    writer.write(head(421, request.id, 0, {"X-Instance-Id": self.id}))
                elif not await self.serve(request, writer):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller has left, or the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, request: WorkerRequest, writer) -> bool:
        """Runs a request; returns False if the channel ends."""
        self.note_run(request)
        await asyncio.sleep(WORK_S)
        body = f"answer to {request.id}".encode()
        writer.write(head(200, request.id, len(body), self.fields()) + body)
        return True

    async def serve_stream(self, request, writer, events: int, gap_s: float) -> bool:
        """Streams events with the ids 1, 2, ... and ends in chunks."""
        self.note_run(request)
        await asyncio.sleep(0.02)
        first = int(request.headers.get("last-event-id") or 0) + 1
        writer.write(head(200, request.id, None, self.fields()))
        for number in range(first, events + 1):
            writer.write(chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        return True

    def note_run(self, request: WorkerRequest) -> None:
        """Records that a request runs."""
        self.runs.append(request.id)
        self.record.write("run", worker=self.id, id=request.id)

    def fields(self) -> dict[str, str]:
        """Returns the further headers of an answer of a run."""
        fields = {"X-Response-Seal": f"seal-{self.id}"}
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields


async def read_request(reader) -> WorkerRequest | None:
    """Reads a request with a length; returns None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rows = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return WorkerRequest(line, headers, body)


def head(status: int, request_id: str, length: int | None, fields: dict) -> bytes:
    """Returns the head of an answer; without a length it comes in chunks."""
    lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if length is None:
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    else:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a channel by a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def encode(value: dict) -> bytes:
    """Returns the JSON of an entry."""
    return json.dumps(value).encode()
