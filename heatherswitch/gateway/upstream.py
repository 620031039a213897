"""HTTP/1.1 connections to backend servers, pooled for reuse without pipelining."""

import asyncio
import logging
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import h11

from heatherswitch.gateway.model import Load, Server
from heatherswitch.util.fairness import MAX_RELAYED_PIECES, Turn
from heatherswitch.util.http import (
    ConnectFailed,
    ConnectionLost,
    Headers,
    check_final_status,
    encode_headers,
)
from heatherswitch.util.received_data import ReceivedData
from heatherswitch.util.record import Record
from heatherswitch.util.request_body import BodyPart, transfer_parts

log = logging.getLogger("heatherswitch.gateway.upstream")

# Connections normally open within a few milliseconds, also between zones (about 1 ms
# away). A longer wait means a lost packet or an unreachable server; giving up early
# leaves time to meet the deadline at another server.
CONNECT_TIMEOUT_S = 0.25
# Seconds for which sent data may stay unacknowledged before the kernel drops the
# connection; detects peers that became unreachable.
TCP_USER_TIMEOUT_S = 2.0
# TCP keep-alive of idle connections: seconds before the first probe, seconds between
# probes, and the number of lost probes after which the connection is dropped.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Seconds after which an idle connection is not reused if the server states no limit.
DEFAULT_IDLE_LIMIT_S = 1.0
# Fraction of the idle limit within which a connection is reused. It is lower for
# requests that may run only once: their outcome would be unknown if the server closed
# the connection as they are sent.
IDLE_LIMIT_FRACTION = 0.8
RUN_ONCE_IDLE_LIMIT_FRACTION = 0.4
# Bytes that are read from a server at once, and unprocessed bytes above which reading
# pauses, for slow callers.
READ_AHEAD_BYTES = 64 * 1024
# Limits on skipped responses to other requests: their number and the bytes of each.
MAX_UNRELATED_RESPONSES = 2
MAX_UNRELATED_BYTES = 256 * 1024
# 1xx responses that are accepted before the final response.
MAX_INTERIM_RESPONSES = 8
# Limit on the bytes of a response head, of a chunk header and of the trailers.
MAX_HEAD_BYTES = 32 * 1024
# Lines above which a head or trailers that are not complete yet are refused. h11 parses
# all lines in one step, 2 µs each.
MAX_HEAD_LINES = 512
# Body bytes that count as progress when the response is not chunked.
MIN_PROGRESS_BYTES = 1024

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


class UpstreamContext(Record):
    """Data that the gateway adds to the caller's request for one backend server.

    :param server_id: instance that the request is meant for.
    :param time_left_s: seconds until the caller's deadline.
    :param last_event_id: id after which to resume a stream; empty to start one.
    :param copy_from: ``host:port`` of a server that has more of the prompt cached;
        empty for none.
    """

    __slots__ = (
        "server_id",
        "time_left_s",
        "workspace",
        "priority",
        "last_event_id",
        "copy_from",
    )

    def __init__(
        self,
        server_id: str,
        time_left_s: float,
        workspace: str,
        priority: int | None,
        last_event_id: str = "",
        copy_from: str = "",
    ) -> None:
        self.server_id = server_id
        self.time_left_s = time_left_s
        self.workspace = workspace
        self.priority = priority
        self.last_event_id = last_event_id
        self.copy_from = copy_from


class ResponseHead(Record):
    """Decoded head of a backend server's response.

    :param headers: headers to forward to the caller.
    :param request_id: id of the request that was answered; empty if not given.
    :param sealed: the response carries the server's signature.
    :param not_run: the server states that it did not run the request.
    :param other_instance: a different backend server now uses the address.
    :param encoded: the body has a content encoding, so it is not the signed original.
    :param load: load that the server reports, or None.
    :param length: bytes of the body; None if not stated.
    :param cold_s: seconds for which the server reports that it stays cold.
    :param leaving: the server is shutting down and must get no new requests.
    :param busy_s: seconds for which the server wants no requests; 0 for none.
    """

    __slots__ = (
        "status",
        "headers",
        "request_id",
        "sealed",
        "not_run",
        "other_instance",
        "encoded",
        "load",
        "length",
        "cold_s",
        "leaving",
        "busy_s",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        request_id: str,
        sealed: bool,
        not_run: bool,
        other_instance: bool,
        encoded: bool,
        load: Load | None,
        length: int | None,
        cold_s: float,
        leaving: bool = False,
        busy_s: float = 0.0,
    ) -> None:
        self.status = status
        self.headers = headers
        self.request_id = request_id
        self.sealed = sealed
        self.not_run = not_run
        self.other_instance = other_instance
        self.encoded = encoded
        self.load = load
        self.length = length
        self.cold_s = cold_s
        self.leaving = leaving
        self.busy_s = busy_s


class ServerConnection(asyncio.BufferedProtocol):
    """A client connection to a backend server, with one request at a time."""

    _read_buffer = memoryview(bytearray(READ_AHEAD_BYTES))

    def __init__(self) -> None:
        self._http = _new_client_connection()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._closed = False
        self._busy = False
        self._unread = 0
        self._unparsed = ReceivedData()
        self._turn = Turn("answer")
        # Event loop time of the last progress in the response.
        self._progress_at = 0.0
        # Event loop time of the last progress or reported stall.
        self._stall_timer_from = 0.0
        self._on_stall: Callable[[float], None] | None = None
        # Body bytes received since then.
        self._body_bytes = 0
        self._sent_events: list[Any] = []
        # Parts of the request's body that the transport has not taken yet.
        self._unsent_parts: deque[BodyPart] = deque()
        self._writing_paused = False
        self.idle_since = 0.0
        # Idle limit in seconds from the server's Keep-Alive header.
        self.idle_limit_s: float | None = None

    @property
    def usable(self) -> bool:
        """True while the connection is open."""
        return not self._closed and not self._transport.is_closing()

    def connection_made(self, transport) -> None:
        """Sets the socket's keep-alive, timeout and buffer options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_AHEAD_BYTES)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(TCP_USER_TIMEOUT_S * 1000))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps response bytes; closes the connection if no request is open."""
        if not self._busy:
            log.info("backend server sent data while no request was open")
            self.close()
            return
        self._unparsed.append(self._read_buffer[:nbytes])
        self._unread += nbytes
        if self._unread > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Marks the end of the data, which completes a response without a length.

        It doesn't while part of the request is unsent: the server has not read all of it,
        and a proxy may turn its reset into an ordinary end.
        """
        self._closed = True
        if self._is_sending:
            self._error = ConnectionResetError("the request was not sent whole")
        else:
            self._unparsed.append(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records a reset, after which a response without a length is incomplete."""
        self._error = self._error or exc
        if not self._closed and exc is None:
            self._error = ConnectionResetError("the connection was closed")
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(True)

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body_parts: Sequence[BodyPart],
        on_stall: Callable[[float], None] | None = None,
    ) -> None:
        """Sends a request; the connection must not have one open.

        A large body is passed to the socket in parts as it takes them, so that it isn't
        copied whole.

        :param on_stall: called with the seconds since the last progress each time that
            a stall timeout expires. If it returns, reading goes on; its exceptions reach
            the reader.
        """
        self._busy = True
        self._on_stall = on_stall
        head = h11.Request(
            method=method, target=target, headers=encode_headers(headers)
        )
        body = [h11.Data(data=part) for part in transfer_parts(body_parts)]
        self._sent_events = [head, *body, h11.EndOfMessage()]
        parts = deque([self._http.send(head)])
        for event in body:
            parts += self._http.send_with_data_passthrough(event)
        self._http.send(self._sent_events[-1])
        # The head and the first part of the body go out in one system call.
        first = [parts.popleft() for _ in range(min(2, len(parts)))]
        self._transport.write(b"".join(first))
        self._unsent_parts = parts
        self._send_parts()
        self._turn = Turn(
            "answer",
            self._transport.get_extra_info("peername"),
            max_pieces=MAX_RELAYED_PIECES,
        )
        self.record_progress()

    def _send_parts(self) -> None:
        while self._unsent_parts and not (self._writing_paused or self._closed):
            self._transport.write(self._unsent_parts.popleft())

    def pause_writing(self) -> None:
        """Called when the transport holds more than it should."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Called when the transport takes data again."""
        self._writing_paused = False
        self._send_parts()

    @property
    def _is_sending(self) -> bool:
        """True while the server has not been sent the whole request."""
        return bool(self._unsent_parts) or self._transport.get_write_buffer_size() > 0

    def record_progress(self) -> None:
        """Restarts the stall timeout."""
        self._progress_at = asyncio.get_running_loop().time()
        self._stall_timer_from = self._progress_at
        self._body_bytes = 0

    async def head(self, stall_timeout_s: float | None) -> h11.Response:
        """Returns the head of the next final response; skips 1xx responses.

        :raises ConnectionLost: if none arrives, it is over :data:`MAX_HEAD_BYTES`, or its
            status doesn't exist.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event(stall_timeout_s)
            if isinstance(event, h11.Response):
                size = sum(len(n) + len(v) + 4 for n, v in event.headers)
                if size > MAX_HEAD_BYTES:
                    raise ConnectionLost(f"the head is over {MAX_HEAD_BYTES} bytes")
                check_final_status(event.status_code)
                self.record_progress()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the server closed the connection")
        raise ConnectionLost(f"over {MAX_INTERIM_RESPONSES} interim answers came")

    async def skip_response(self, stall_timeout_s: float | None) -> None:
        """Skips the rest of a response that belongs to another request.

        :raises ConnectionLost: if no further response can follow, or the body is over
            :data:`MAX_UNRELATED_BYTES`.
        """
        size = 0
        while not isinstance(
            event := await self.next_event(stall_timeout_s), h11.EndOfMessage
        ):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > MAX_UNRELATED_BYTES:
                raise ConnectionLost("an answer to another request does not end")
        rest, at_end = self._http.trailing_data
        if self._http.their_state is h11.MUST_CLOSE or at_end or self._unparsed.ended:
            raise ConnectionLost("an answer to another request ended the connection")
        self._http = _new_client_connection()
        for event in self._sent_events:
            self._http.send_with_data_passthrough(event)
        if rest:
            self._http.receive_data(rest)

    async def body(self, stall_timeout_s: float | None) -> AsyncIterator[bytes]:
        """Yields the body of the response; each complete chunk is progress.

        :raises ConnectionLost: if the response is cut or malformed.
        """
        while True:
            event = await self.next_event(stall_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the answer was cut")
            self._body_bytes += len(event.data)
            if event.chunk_end or self._body_bytes >= MIN_PROGRESS_BYTES:
                self.record_progress()
            yield bytes(event.data)

    async def next_event(self, stall_timeout_s: float | None) -> Any:
        """Returns the next h11 event of the response.

        :param stall_timeout_s: seconds without progress after which the callback given
            to :meth:`send` is called; None for never. Single bytes are no progress,
            since a faulty server may keep sending them.
        :raises ConnectionLost: if the response is cut or malformed.
        """
        parsed = b""
        # Lines of data that completes no event.
        lines = 0
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(f"the answer is malformed: {error}") from error
            if event is not h11.NEED_DATA:
                await self._turn.pause_if_due()
                return event
            lines += parsed.count(b"\n")
            parsed = b""
            if lines > MAX_HEAD_LINES:
                raise ConnectionLost(f"the head is over {MAX_HEAD_LINES} lines")
            if self._unparsed:
                parsed = self._unparsed.take()
                self._http.receive_data(parsed)
                continue
            self._unread = 0
            if self._error is not None:
                raise ConnectionLost(f"no answer: {self._error!r}")
            if self._closed:
                raise ConnectionLost("the answer was cut")
            self._transport.resume_reading()
            if not await self._wait_for_data(stall_timeout_s):
                self._stall_timer_from = asyncio.get_running_loop().time()
                self._on_stall(self._stall_timer_from - self._progress_at)

    async def _wait_for_data(self, stall_timeout_s: float | None) -> bool:
        """Returns False if the stall timeout expired first."""
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if stall_timeout_s is not None and self._on_stall is not None:
            expires_at = self._stall_timer_from + stall_timeout_s
            timer = loop.call_at(expires_at, _expire, waiter)
        try:
            return await waiter
        finally:
            if timer is not None:
                timer.cancel()
            self._waiter = None
            self._turn.begin()

    def end_exchange(self, now: float) -> bool:
        """Ends the request; returns True if the connection can be reused."""
        self._busy = False
        self._on_stall = None
        self._sent_events = []
        states = (self._http.our_state, self._http.their_state)
        # A server that responded early has not read the whole request yet.
        unsent = self._is_sending
        rest = self._http.trailing_data[0]
        rest = rest or self._unparsed
        if not self.usable or states != (h11.DONE, h11.DONE) or unsent or rest:
            return False
        self._http.start_next_cycle()
        # Reading may be paused after a long response, but an idle connection must
        # notice stray bytes and its end.
        self._unread = 0
        self._transport.resume_reading()
        self.idle_since = now
        return True

    def close(self) -> None:
        """Aborts the connection, which cancels an open request at the server."""
        self._closed = True
        self._unsent_parts.clear()
        if self._transport is not None:
            self._transport.abort()


def _new_client_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _expire(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(False)


class ConnectionPool:
    """Idle connections to all backend servers."""

    __slots__ = ("_idle", "opened_total")

    def __init__(self) -> None:
        # Keyed by server id and incarnation, so that a restarted server gets new ones.
        self._idle: dict[tuple[str, int], deque[ServerConnection]] = {}
        # Number of connections opened so far, for the metrics.
        self.opened_total = 0

    async def acquire(
        self, now: float, server: Server, run_once: bool
    ) -> tuple[ServerConnection, bool]:
        """Returns a connection and whether it was used before.

        :param run_once: the request must not run twice, so only connections that were
            idle for a short time are reused.
        :raises ConnectFailed: if no connection can be opened, also because the host name
            or the port cannot exist.
        """
        idle = self._idle.get((server.id, server.incarnation))
        while idle:
            connection = idle.pop()
            if connection.usable and now - connection.idle_since < _idle_limit_s(
                connection, run_once
            ):
                return connection, True
            connection.close()
        return await self._open(server), False

    async def _open(self, server: Server) -> ServerConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    ServerConnection, server.host, server.port
                )
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            # A port out of range raises OverflowError, a host name that the codec of
            # domain names or the C library rejects UnicodeError or ValueError.
            raise ConnectFailed(
                f"cannot connect to {server.host[:100]}:{server.port}: {error!r}"
            ) from error
        self.opened_total += 1
        return connection

    def release(
        self,
        now: float,
        server: Server,
        connection: ServerConnection,
        keep_alive: str,
        closing: bool,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        :param keep_alive: value of the response's Keep-Alive header.
        :param closing: the server announced that it closes the connection.
        """
        stated = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
        if stated:
            connection.idle_limit_s = float(stated[1])
        if closing or not connection.end_exchange(now):
            connection.close()
            return
        key = (server.id, server.incarnation)
        self._idle.setdefault(key, deque()).append(connection)

    def expire(self, now: float) -> None:
        """Closes connections whose idle limit has passed."""
        for key, idle in list(self._idle.items()):
            while idle and not (
                idle[0].usable
                and now - idle[0].idle_since < _idle_limit_s(idle[0], run_once=False)
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


def _idle_limit_s(connection: ServerConnection, run_once: bool) -> float:
    limit_s = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
    return limit_s * (RUN_ONCE_IDLE_LIMIT_FRACTION if run_once else IDLE_LIMIT_FRACTION)
