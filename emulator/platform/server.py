"""Stand-in for a backend server of the platform: a plain service or a model engine.

It writes to sockets itself, since some of its faults violate HTTP.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import h11

from emulator.standin import LOOPBACK
from heatherswitch.util.http import MAX_READ_BYTES
from heatherswitch.util.http_server import LINGER_RESET

# Seconds between the last data of a response and the reset of its connection.
RESET_DELAY_S = 0.1
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class ReceivedRequest:
    """A request that reached the server.

    :param headers: names in lower case.
    :param at: when it was read, in seconds of the monotonic clock.
    :param server_id: id that the server had.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)
    server_id: str = ""

    @property
    def id(self) -> str:
        """The request id that the caller sent; empty without one."""
        return self.headers.get("x-attempt-id", "")


@dataclass(slots=True)
class SentNotice:
    """A response in which the server said something of itself.

    :param server_id: the server that the request was meant for.
    :param request_id: the request that it responded to.
    :param at: when the head was sent, in seconds of the monotonic clock.
    :param retry_after_s: seconds for which the server wants no requests; 0 for none.
    """

    server_id: str
    request_id: str
    leaving: bool
    retry_after_s: float
    at: float = field(default_factory=time.monotonic)


@dataclass(slots=True)
class Behaviour:
    """How the server responds; a test replaces it.

    :param status: response status; 503 says that the request did not run.
    :param delay_s: seconds before the head of the response.
    :param events: number of events in a stream; 0 for a plain response. A response
        with another status than 200 is no stream.
    :param event_gap_s: seconds between two events.
    :param gate: events wait until it is set; the head does not.
    :param pause_after: pauses for ``pause_s`` seconds after so many events of a response.
    :param cut_after: closes the connection after so many events, in the middle of the
        next one, or after the head of a plain response if it is not None.
    :param silent: never responds.
    :param reset_unread: aborts the connection when a request has arrived.
    :param stray: sends a response with another request's id first.
    :param late_refusal: sends a refusal without a request id first, on a connection that
        has served a request before.
    :param extra: returns bytes to send before the response and after it; its arguments
        are the id of the server's request before this one, empty on a new connection,
        and the id of this one.
    :param extra_delay_s: seconds from the response to the bytes after it; 0 to send
        them with its end.
    :param unframed: the response has neither a Content-Length nor chunks and ends with
        its connection.
    :param end_cut: a stream that is cut by ``cut_after`` gets the regular end of its
        framing.
    :param reset: the connection is reset at the end of the response.
    :param half_close: after an unframed response, only the server's side is closed.
    :param seal: the response carries the signature, ``X-Response-Seal``.
    :param echo: the body, or each event, is the request id.
    :param raw: returns the bytes to send in place of a response, which may be endless;
        its argument is the head of a normal response.
    :param raw_for: beginning of the ids of the requests that get ``raw``; others get a
        normal response.
    :param raw_gap_s: seconds between two parts of ``raw``.
    :param line_end: end of the lines of a stream.
    :param headers: further response headers.
    :param crash_part: id of a prompt part; the server crashes when it is about to send
        the first output of a request with it.
    :param leaving: responses say that the server is shutting down.
    :param retry_after_s: with status 503, the server asks for no requests for so many
        seconds; 0 to ask for nothing.
    """

    status: int = 200
    body: bytes = b"done"
    delay_s: float = 0.0
    events: int = 0
    event_gap_s: float = 0.0
    gate: asyncio.Event | None = None
    pause_after: int | None = None
    pause_s: float = 0.0
    cut_after: int | None = None
    silent: bool = False
    reset_unread: bool = False
    stray: bool = False
    late_refusal: bool = False
    extra: Callable[[str, str], tuple[bytes, bytes]] | None = None
    extra_delay_s: float = 0.0
    unframed: bool = False
    end_cut: bool = False
    reset: bool = False
    half_close: bool = False
    seal: bool = True
    echo: bool = False
    raw: Callable[[bytes], Iterable[bytes]] | None = None
    raw_for: str = ""
    raw_gap_s: float = 0.0
    line_end: str = "\n"
    headers: list[tuple[str, str]] = field(default_factory=list)
    crash_part: str = ""
    leaving: bool = False
    retry_after_s: float = 0.0

    @property
    def all_headers(self) -> list[tuple[str, str]]:
        """Further response headers, with those that the other fields stand for."""
        headers = list(self.headers)
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.asked_s:
            headers.append(("Retry-After", f"{self.asked_s:g}"))
        return headers

    @property
    def asked_s(self) -> float:
        """Seconds for which the responses ask for no requests; 0 for none."""
        return self.retry_after_s if self.status == 503 else 0.0


class PlatformServer:
    """One backend server.

    :ivar received: requests that reached it.
    :ivar runs: requests that it started to run.
    :ivar notices: responses in which it said that it leaves or wants no requests.
    :ivar cancelled: ids of requests whose caller disconnected before the response ended.
    :ivar connections: number of connections accepted so far.
    :ivar crashed: True once it has crashed.
    :ivar crashed_at: when it crashed last, in seconds of the monotonic clock.
    """

    def __init__(self, server_id: str, behaviour: Behaviour | None = None) -> None:
        self.id = server_id
        self.behaviour = behaviour or Behaviour()
        self.received: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.notices: list[SentNotice] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.crashed = False
        self.crashed_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the listener."""
        port = self._server.sockets[0].getsockname()[1]
        return f"{LOOPBACK}:{port}"

    def store_entry(self, service: str, zone: str = "a", **changes) -> dict:
        """Returns the value of the server's entry in the store.

        :param changes: fields that replace the defaults.
        """
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
        """Closes the listener; open connections stay open."""
        self._server.close()

    def crash(self) -> None:
        """Closes the listener and all connections at once, with their requests."""
        self.crashed = True
        self.crashed_at = time.monotonic()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            requests_before = 0
            while await self._handle_request(reader, writer, requests_before):
                requests_before += 1
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            # The caller disconnected, or the event loop is shutting down.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(self, reader, writer, requests_before: int) -> bool:
        request = await _read_request(reader)
        if request is None:
            return False
        request.server_id = self.id
        behaviour = self.behaviour
        self.received.append(request)
        expected = request.headers.get("x-expect-instance", self.id)
        if behaviour.reset_unread:
            writer.transport.abort()
            return False
        if expected != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if behaviour.status != 503:
            self.runs.append(request)
        # Callers send nothing before the response, so only a disconnect ends this read.
        disconnected = asyncio.ensure_future(reader.read(1))
        response = asyncio.ensure_future(
            self._respond(request, behaviour, writer, requests_before)
        )
        await asyncio.wait(
            {disconnected, response}, return_when=asyncio.FIRST_COMPLETED
        )
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)
        if not response.done():
            self.cancelled.append(request.id)
            response.cancel()
            return False
        return response.result()

    async def _respond(
        self, request, behaviour: Behaviour, writer, requests_before
    ) -> bool:
        await asyncio.sleep(behaviour.delay_s)
        prompt = request.headers.get("x-prompt-prefix", "")
        if behaviour.crash_part and f"{behaviour.crash_part}:" in prompt:
            self.crash()
            return False
        if behaviour.silent:
            await asyncio.Event().wait()
        if behaviour.raw is not None and request.id.startswith(behaviour.raw_for):
            return await self._send_raw(request, behaviour, writer)
        if behaviour.leaving or behaviour.asked_s:
            self.notices.append(
                SentNotice(
                    request.headers.get("x-expect-instance", self.id),
                    request.id,
                    behaviour.leaving,
                    behaviour.asked_s,
                )
            )
        if behaviour.stray:
            writer.write(_head(200, "another", self.id, 5, behaviour) + b"stray")
        if behaviour.late_refusal and requests_before:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        if behaviour.extra is not None:
            return await self._send_with_extra(
                request, behaviour, writer, requests_before
            )
        if behaviour.events and behaviour.status == 200:
            return await self._send_stream(request, behaviour, writer)
        return await self._send_plain(request, behaviour, writer)

    async def _send_with_extra(
        self, request, behaviour: Behaviour, writer, requests_before: int
    ) -> bool:
        """Sends a plain response between bytes that belong to no request."""
        earlier_id = self.received[-2].id if requests_before else ""
        before, after = behaviour.extra(earlier_id, request.id)
        body = request.id.encode() if behaviour.echo else behaviour.body
        head = _head(behaviour.status, request.id, self.id, len(body), behaviour)
        if behaviour.extra_delay_s:
            writer.write(before + head + body)
            await asyncio.sleep(behaviour.extra_delay_s)
            writer.write(after)
        else:
            writer.write(before + head + body + after)
        await writer.drain()
        return True

    async def _send_raw(
        self, request: ReceivedRequest, behaviour: Behaviour, writer
    ) -> bool:
        head = _head(
            200, request.id, self.id, None, behaviour, chunked=not behaviour.unframed
        )
        for part in behaviour.raw(head):
            writer.write(part)
            try:
                await writer.drain()
            except OSError:
                self.cancelled.append(request.id)
                return False
            # Lets other tasks run even if the caller reads without a pause.
            await asyncio.sleep(behaviour.raw_gap_s)
        if behaviour.reset:
            return await self._end_response(behaviour, writer, unframed=True)
        return False

    async def _send_plain(self, request, behaviour, writer) -> bool:
        body = request.id.encode() if behaviour.echo else behaviour.body
        length = None if behaviour.unframed else len(body)
        head = _head(behaviour.status, request.id, self.id, length, behaviour)
        if behaviour.cut_after is not None:
            writer.write(head)
            await writer.drain()
            writer.transport.abort()
            return False
        writer.write(head + body)
        await writer.drain()
        return await self._end_response(behaviour, writer, length is None)

    async def _end_response(self, behaviour, writer, unframed: bool) -> bool:
        """Ends a response; returns True if the connection stays open."""
        if behaviour.reset:
            # Lets the data reach the gateway, which a reset would discard.
            await asyncio.sleep(RESET_DELAY_S)
            reset_connection(writer)
            return False
        if behaviour.half_close:
            writer.write_eof()
            await asyncio.Event().wait()
        return not unframed

    async def _send_stream(self, request, behaviour, writer) -> bool:
        chunked = not behaviour.unframed
        head = _head(200, request.id, self.id, None, behaviour, chunked=chunked)
        encode = _chunk if chunked else bytes
        first = int(request.headers.get("last-event-id") or 0) + 1
        writer.write(head)
        for sent, number in enumerate(range(first, behaviour.events + 1)):
            if behaviour.cut_after is not None and sent >= behaviour.cut_after:
                half = f"id: {number}\ndata: half".replace("\n", behaviour.line_end)
                writer.write(encode(half.encode()))
                if behaviour.end_cut and chunked:
                    writer.write(LAST_CHUNK)
                await writer.drain()
                writer.close()
                return False
            if sent == behaviour.pause_after:
                await asyncio.sleep(behaviour.pause_s)
            if behaviour.gate is not None:
                await behaviour.gate.wait()
            data = request.id if behaviour.echo else f"piece {number}"
            event = f"id: {number}\ndata: {data}\n\n".replace("\n", behaviour.line_end)
            writer.write(encode(event.encode()))
            await writer.drain()
            await asyncio.sleep(behaviour.event_gap_s)
        if chunked:
            writer.write(LAST_CHUNK)
        await writer.drain()
        return await self._end_response(behaviour, writer, behaviour.unframed)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset; data that was not sent yet is discarded."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _read_request(reader) -> ReceivedRequest | None:
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
            return ReceivedRequest(
                head.method.decode(), head.target.decode(), headers, body
            )
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
    lines += [f"{name}: {value}" for name, value in behaviour.all_headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
