"""Connections to backend servers: one request at a time, kept open for reuse."""

import asyncio
import logging
import re
import socket
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import h11

from heatherswitch.gateway.model import Load, Server
from heatherswitch.util.http import ConnectFailed, ConnectionLost, Headers

log = logging.getLogger("heatherswitch.gateway.upstream")

# Seconds for a connection to open. Zones are a millisecond apart and servers take a
# few milliseconds, so a longer wait means a lost packet or a server out of reach, and
# another server is tried while the answer can still be on time.
CONNECT_TIMEOUT_S = 0.25
# Seconds for which data may stay unacknowledged before the kernel gives a
# connection up; finds connections that have gone silent.
TCP_USER_TIMEOUT_S = 2.0
# Keep-alive probes of idle connections: seconds before the first, between two, and
# how many may be lost.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle time after which a connection is not used again where the server does not
# state its limit, in seconds.
UNKNOWN_IDLE_S = 1.0
# Part of a stated idle limit that is used. A request that may run only once uses
# less, since its outcome would be unknown if the server closed the connection.
IDLE_SHARE = 0.8
IDLE_SHARE_ONCE = 0.4
# Bytes that are received ahead of a slow caller before reading pauses.
READ_AHEAD_BYTES = 128 * 1024
# Answers of other requests that are skipped on one connection, and the bytes of one.
MAX_STRAY_ANSWERS = 2
MAX_STRAY_BYTES = 256 * 1024
# Interim answers before the head of an answer.
MAX_INTERIM_ANSWERS = 8
# Bytes of a head, of a line between two chunks, or of trailers.
MAX_HEAD_BYTES = 32 * 1024
# Bytes of a body without chunks that count as progress.
PROGRESS_BYTES = 1024

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


@dataclass(frozen=True, slots=True)
class Upstream:
    """What a backend server is told beside the caller's request.

    :param time_left_s: seconds until the caller's deadline.
    :param last_event_id: the stream goes on after this event; empty for a new one.
    :param copy_from: ``host:port`` of a server that holds more of the prompt.
    """

    server_id: str
    time_left_s: float
    workspace: str
    priority: int | None
    last_event_id: str = ""
    copy_from: str = ""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of a backend server's answer, decoded.

    :param headers: those to forward.
    :param sealed: the answer carries the server's signature.
    :param not_run: the server says that it did not run the request.
    :param other_instance: another backend server has the address now.
    :param encoded: the body is not the server's own bytes.
    :param length: bytes of the body; None if the head does not say.
    :param cold_s: seconds for which the server says that it stays cold.
    """

    status: int
    headers: Headers
    request_id: str
    sealed: bool
    not_run: bool
    other_instance: bool
    encoded: bool
    load: Load | None
    length: int | None
    cold_s: float


class ServerConnection(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(self) -> None:
        self._http = _client_side()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._closed = False
        self._busy = False
        self._unread = 0
        # Loop time at which the server last got ahead with its answer.
        self._progress_at = 0.0
        # Bytes of the body since then.
        self._body_bytes = 0
        self._sent: list[Any] = []
        self.idle_since = 0.0
        # Idle limit that the server stated, in seconds.
        self.idle_limit_s: float | None = None

    @property
    def usable(self) -> bool:
        """True when another request may be sent."""
        return not self._closed and not self._transport.is_closing()

    def connection_made(self, transport) -> None:
        """Sets the options of the socket."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(TCP_USER_TIMEOUT_S * 1000))

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer; bytes that no request waits for end it."""
        if not self._busy:
            log.info("backend server sent bytes without a request")
            self.close()
            return
        self._http.receive_data(data)
        self._unread += len(data)
        if self._unread > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Ends an answer without a length."""
        self._closed = True
        if self._busy:
            self._http.receive_data(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes a reset: an answer without a length is then not complete."""
        self._error = self._error or exc
        if not self._closed and exc is None:
            self._error = ConnectionResetError("the connection was closed")
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Sends a request."""
        self._busy = True
        head = h11.Request(method=method, target=target, headers=headers)
        self._sent = [head]
        if body:
            self._sent.append(h11.Data(data=body))
        self._sent.append(h11.EndOfMessage())
        data = b"".join(self._http.send(event) for event in self._sent)
        self._transport.write(data)
        self.note_progress()

    def note_progress(self) -> None:
        """Starts the limit on silence anew: a whole part of the answer arrived."""
        self._progress_at = asyncio.get_running_loop().time()
        self._body_bytes = 0

    async def head(self, silence_s: float | None) -> h11.Response:
        """Waits for the head of an answer.

        :raises ConnectionLost: if none comes.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self.next_event(silence_s)
            if isinstance(event, h11.Response):
                size = sum(len(n) + len(v) + 4 for n, v in event.headers)
                if size > MAX_HEAD_BYTES:
                    raise ConnectionLost(f"the head is over {MAX_HEAD_BYTES} bytes")
                self.note_progress()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the server closed the connection")
        raise ConnectionLost(f"over {MAX_INTERIM_ANSWERS} interim answers came")

    async def skip_answer(self, silence_s: float | None) -> None:
        """Reads over an answer that belongs to another request.

        :raises ConnectionLost: if no further answer can follow, or it is over
            :data:`MAX_STRAY_BYTES`.
        """
        size = 0
        while not isinstance(
            event := await self.next_event(silence_s), h11.EndOfMessage
        ):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > MAX_STRAY_BYTES:
                raise ConnectionLost("an answer to another request does not end")
        rest, at_end = self._http.trailing_data
        if self._http.their_state is h11.MUST_CLOSE or at_end:
            raise ConnectionLost("an answer to another request ended the connection")
        self._http = _client_side()
        for event in self._sent:
            self._http.send(event)
        if rest:
            self._http.receive_data(rest)

    async def body(self, silence_s: float | None) -> AsyncIterator[bytes]:
        """Yields the body of the answer; a chunk that ends is progress.

        :raises ConnectionLost: if the answer is cut or malformed.
        :raises TimeoutError: if the server makes no progress for ``silence_s``.
        """
        while True:
            event = await self.next_event(silence_s)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the answer was cut")
            self._body_bytes += len(event.data)
            if event.chunk_end or self._body_bytes >= PROGRESS_BYTES:
                self.note_progress()
            yield bytes(event.data)

    async def next_event(self, silence_s: float | None) -> Any:
        """Returns the next event of the answer.

        :param silence_s: seconds without progress up to which it waits; None for no
            limit. Bytes alone are no progress: a server in trouble may send one now
            and then.
        :raises TimeoutError: if none comes in time.
        :raises ConnectionLost: if the answer is cut or malformed.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(f"the answer is malformed: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            self._unread = 0
            if self._error is not None:
                raise ConnectionLost(f"no answer: {self._error!r}")
            if self._closed:
                raise ConnectionLost("the answer was cut")
            self._transport.resume_reading()
            await self._wait(silence_s)

    async def _wait(self, silence_s: float | None) -> None:
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if silence_s is not None:
            timer = loop.call_at(self._progress_at + silence_s, _expire, waiter)
        try:
            await waiter
        finally:
            if timer is not None:
                timer.cancel()
            self._waiter = None

    def finish(self, now: float) -> bool:
        """Ends an exchange; returns True when the connection may be kept."""
        self._busy = False
        states = (self._http.our_state, self._http.their_state)
        # A server that answered early reads the rest of the request later.
        unsent = self._transport.get_write_buffer_size() > 0
        rest = self._http.trailing_data[0]
        if not self.usable or states != (h11.DONE, h11.DONE) or unsent or rest:
            return False
        self._http.start_next_cycle()
        self.idle_since = now
        return True

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


def _client_side() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _expire(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError("the server is silent"))


class ConnectionPool:
    """Connections to all backend servers."""

    __slots__ = ("_idle", "opened")

    def __init__(self) -> None:
        # By server id and incarnation, so that none outlives its server.
        self._idle: dict[tuple[str, int], deque[ServerConnection]] = {}
        # Connections opened so far, for the metrics.
        self.opened = 0

    async def acquire(
        self, now: float, server: Server, once: bool
    ) -> tuple[ServerConnection, bool]:
        """Returns a connection and whether it was used before.

        :param once: the request may run only once.
        :raises ConnectFailed: if none can be opened.
        """
        idle = self._idle.get((server.id, server.incarnation))
        while idle:
            connection = idle.pop()
            if connection.usable and now - connection.idle_since < _idle_limit_s(
                connection, once
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
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(
                f"cannot connect to {server.host}:{server.port}: {error!r}"
            ) from error
        self.opened += 1
        return connection

    def release(
        self,
        now: float,
        server: Server,
        connection: ServerConnection,
        keep_alive: str,
        closing: bool,
    ) -> None:
        """Takes a connection back after a whole answer.

        :param keep_alive: value of the answer's Keep-Alive header.
        :param closing: the server will close the connection.
        """
        stated = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
        if stated:
            connection.idle_limit_s = float(stated[1])
        if closing or not connection.finish(now):
            connection.close()
            return
        key = (server.id, server.incarnation)
        self._idle.setdefault(key, deque()).append(connection)

    def expire(self, now: float) -> None:
        """Closes connections that were idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and not (
                idle[0].usable
                and now - idle[0].idle_since < _idle_limit_s(idle[0], once=False)
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


def _idle_limit_s(connection: ServerConnection, once: bool) -> float:
    limit_s = connection.idle_limit_s or UNKNOWN_IDLE_S
    return limit_s * (IDLE_SHARE_ONCE if once else IDLE_SHARE)
