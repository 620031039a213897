"""Stand-in for a backend server of the platform: a plain service or a model engine.

It works on raw sockets, since its faults break HTTP.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import h11

from emulator.standin import LOOPBACK
from heatherswitch.util.http import MAX_READ_BYTES


@dataclass(slots=True)
class Arrival:
    """A request that reached the server.

    :param headers: names in lower case.
    :param at: seconds of the monotonic clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("x-attempt-id", "")


@dataclass(slots=True)
class Behaviour:
    """How the server answers; a test replaces it.

    :param status: status of answers; 503 says that the request did not run.
    :param delay_s: seconds before the head.
    :param events: events of a stream; 0 for a plain answer.
    :param event_gap_s: seconds between two events.
    :param cut_after: closes the connection after so many events, or after the head
        of a plain answer; None for never.
    :param silent: sends nothing after the request.
    :param reset_unread: closes each connection when a request arrives.
    :param stray: sends another request's answer first.
    :param late_refusal: sends a second copy of a refusal without an id first, on a
        connection that was used before.
    :param unframed: the answer has no length and ends with the connection.
    :param seal: the answer carries the signature.
    :param echo: the body, or each event, names the request.
    :param raw: bytes sent in place of an answer, given the head of a whole one; may be
        without end.
    :param raw_gap_s: seconds between two parts of ``raw``.
    """

    status: int = 200
    body: bytes = b"done"
    delay_s: float = 0.0
    events: int = 0
    event_gap_s: float = 0.0
    cut_after: int | None = None
    silent: bool = False
    reset_unread: bool = False
    stray: bool = False
    late_refusal: bool = False
    unframed: bool = False
    seal: bool = True
    echo: bool = False
    raw: Callable[[bytes], Iterable[bytes]] | None = None
    raw_gap_s: float = 0.0
    headers: list[tuple[str, str]] = field(default_factory=list)


class PlatformServer:
    """One backend server.

    :ivar arrivals: requests that reached it.
    :ivar runs: requests that it began to run.
    :ivar cancelled: requests whose connection closed before the answer's end.
    """

    def __init__(self, server_id: str, behaviour: Behaviour | None = None) -> None:
        self.id = server_id
        self.behaviour = behaviour or Behaviour()
        self.arrivals: list[Arrival] = []
        self.runs: list[Arrival] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        port = self._server.sockets[0].getsockname()[1]
        return f"{LOOPBACK}:{port}"

    def entry(self, service: str, zone: str = "a", **changes) -> dict:
        """Returns the server's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1000,
        } | changes

    async def start(self) -> None:
        """Binds the listener."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def stop(self) -> None:
        """Closes the listener."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            served = 0
            while await self._one(reader, writer, served):
                served += 1
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            # The connection broke, or the stand-in ends.
            pass
        finally:
            writer.close()

    async def _one(self, reader, writer, served: int) -> bool:
        arrival = await _read_request(reader)
        if arrival is None:
            return False
        behaviour = self.behaviour
        self.arrivals.append(arrival)
        expected = arrival.headers.get("x-expect-instance", self.id)
        if behaviour.reset_unread:
            writer.transport.abort()
            return False
        if expected != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if behaviour.status != 503:
            self.runs.append(arrival)
        gone = asyncio.ensure_future(reader.read(1))
        answer = asyncio.ensure_future(self._answer(arrival, behaviour, writer, served))
        await asyncio.wait({gone, answer}, return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            self.cancelled.append(arrival.id)
            answer.cancel()
            return False
        keep = answer.result()
        if keep:
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
        return keep

    async def _answer(self, arrival, behaviour: Behaviour, writer, served) -> bool:
        await asyncio.sleep(behaviour.delay_s)
        if behaviour.silent:
            await asyncio.Event().wait()
        if behaviour.raw is not None:
            return await self._raw(arrival, behaviour, writer)
        if behaviour.stray:
            writer.write(_head(200, "another", self.id, 5, behaviour) + b"stray")
        if behaviour.late_refusal and served:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        if behaviour.events:
            return await self._stream(arrival, behaviour, writer)
        return await self._plain(arrival, behaviour, writer)

    async def _raw(self, arrival: Arrival, behaviour: Behaviour, writer) -> bool:
        head = _head(200, arrival.id, self.id, None, behaviour, chunked=True)
        for part in behaviour.raw(head):
            writer.write(part)
            try:
                await writer.drain()
            except OSError:
                self.cancelled.append(arrival.id)
                return False
            # Other tasks run also while the caller reads all at once.
            await asyncio.sleep(behaviour.raw_gap_s)
        return False

    async def _plain(self, arrival, behaviour, writer) -> bool:
        body = arrival.id.encode() if behaviour.echo else behaviour.body
        length = None if behaviour.unframed else len(body)
        head = _head(behaviour.status, arrival.id, self.id, length, behaviour)
        if behaviour.cut_after is not None:
            writer.write(head)
            await writer.drain()
            writer.transport.abort()
            return False
        writer.write(head + body)
        await writer.drain()
        return length is not None

    async def _stream(self, arrival, behaviour, writer) -> bool:
        head = _head(200, arrival.id, self.id, None, behaviour, chunked=True)
        first = int(arrival.headers.get("last-event-id") or 0) + 1
        writer.write(head)
        for sent, number in enumerate(range(first, behaviour.events + 1)):
            if behaviour.cut_after is not None and sent >= behaviour.cut_after:
                # Breaks off in the middle of an event.
                writer.write(_chunk(b"id: %d\ndata: half" % number))
                await writer.drain()
                writer.close()
                return False
            data = arrival.id if behaviour.echo else f"piece {number}"
            writer.write(_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(behaviour.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def _read_request(reader) -> Arrival | None:
    connection = h11.Connection(h11.SERVER)
    head, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(MAX_READ_BYTES)
            if not data:
                return None
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return Arrival(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None


def _head(status, request_id, server_id, length, behaviour, chunked=False) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request_id}"]
    if status == 503:
        lines.append("X-Not-Executed: 1")
    elif behaviour.seal:
        lines.append(f"X-Response-Seal: seal-of-{server_id}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    lines += [f"{name}: {value}" for name, value in behaviour.headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
