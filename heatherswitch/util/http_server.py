"""HTTP/1.1 server based on h11 and asyncio streams."""

import asyncio
import contextlib
import json
import logging
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11

from heatherswitch.util.fairness import Turn
from heatherswitch.util.http import (
    MAX_READ_BYTES,
    BadRequest,
    Headers,
    HttpLimits,
    Request,
    encode_headers,
)
from heatherswitch.util.listeners import LISTEN_BACKLOG
from heatherswitch.util.received_data import ReceivedData

log = logging.getLogger("heatherswitch.http_server")

# Seconds after which a caller that reads nothing of its response is disconnected.
WRITE_STALL_TIMEOUT_S = 15.0
# Iterations of the event loop from accepting a connection to running its task.
ACCEPT_LOOP_ITERATIONS = 8
# Seconds for which requests in transit on open connections are still accepted after the
# listener is closed.
LATE_REQUEST_GRACE_S = 0.25
# Value of SO_LINGER (on, for 0 s) with which closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class Responder:
    """Writes the response to one request."""

    __slots__ = ("_connection", "_is_closing", "_unsent_head", "_writer", "started")

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        is_closing: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._is_closing = is_closing
        # Encoded head that is sent with the first part of the body, in one system call.
        self._unsent_head = b""
        self.started = False

    async def start(
        self, status: int, headers: Headers, defer_send: bool = False
    ) -> None:
        """Sends the head of the response; :meth:`write` sends its body.

        Without a Content-Length the body is sent in chunks.

        :param defer_send: sends the head together with the first part of the body, or
            with its end.
        :raises ConnectionAbortedError: if a response was begun before.
        """
        if self.started:
            # h11 would drop the state of the first one, by which its end is judged.
            log.error("a second response to one request", extra={"status": status})
            raise ConnectionAbortedError("a response was begun before")
        self.started = True
        all_headers = list(headers)
        if not any(name.lower() == "content-length" for name, _ in all_headers):
            all_headers.append(("Transfer-Encoding", "chunked"))
        if self._is_closing():
            all_headers.append(("Connection", "close"))
        reason = _REASON_PHRASES.get(status, b"")
        response = h11.Response(
            status_code=status, headers=encode_headers(all_headers), reason=reason
        )
        if defer_send:
            self._unsent_head = self._connection.send(response) or b""
        else:
            await self._send(response)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body.

        :raises ConnectionAbortedError: if the caller stopped reading.
        """
        if data:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends the body; without this the caller sees a truncated response."""
        await self._send(h11.EndOfMessage())

    async def send(
        self, status: int, body: bytes = b"", headers: Headers | None = None
    ) -> None:
        """Sends a complete response."""
        all_headers = [*(headers or []), ("Content-Length", str(len(body)))]
        await self.start(status, all_headers, defer_send=True)
        if body:
            self._unsent_head += self._connection.send(h11.Data(data=body)) or b""
        await self.finish()

    async def send_json(
        self, status: int, value: Any, headers: Headers | None = None
    ) -> None:
        """Sends a complete response with a JSON body."""
        body = json.dumps(value, separators=(",", ":")).encode()
        all_headers = [*(headers or []), ("Content-Type", "application/json")]
        await self.send(status, body, all_headers)

    def abort(self) -> None:
        """Resets the connection, so that what was sent can't look complete."""
        _reset(self._writer)

    async def _send(self, event: Any) -> None:
        data = self._unsent_head + (self._connection.send(event) or b"")
        self._unsent_head = b""
        if data:
            self._writer.write(data)
            await self._drain()

    async def _drain(self) -> None:
        """Waits until the write buffer is below its limit.

        :raises ConnectionAbortedError: if the caller reads nothing for
            :data:`WRITE_STALL_TIMEOUT_S`.
        """
        transport = self._writer.transport
        while True:
            unsent_bytes = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(WRITE_STALL_TIMEOUT_S):
                    await self._writer.drain()
                    return
            except TimeoutError:
                if transport.get_write_buffer_size() >= unsent_bytes:
                    self.abort()
                    raise ConnectionAbortedError("the caller does not read") from None


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Serves one listener and calls ``handler`` for each request.

    The handler is cancelled when the caller disconnects. It may raise
    :class:`BadRequest` as long as it has not started the response.
    """

    __slots__ = (
        "_accept_requests_until",
        "_connections",
        "_handler",
        "_port",
        "_server",
        "_stopping",
        "draining",
        "limits",
    )

    def __init__(self, handler: Handler, limits: HttpLimits | None = None) -> None:
        self._handler = handler
        # May be replaced while the server runs; applies from the next request on.
        self.limits = limits or HttpLimits()
        # While true, connections are closed after their next response.
        self.draining = False
        # Event loop time up to which connections may start another request; limited
        # once the listener is closed.
        self._accept_requests_until = float("inf")
        self._server: asyncio.Server | None = None
        self._port = 0
        self._stopping = False
        self._connections: dict[asyncio.Task, _Connection] = {}

    @property
    def port(self) -> int:
        """The port that the listener is bound to; 0 before :meth:`start`."""
        return self._port

    @property
    def stopping(self) -> bool:
        """True once :meth:`stop` was called."""
        return self._stopping

    @property
    def closing(self) -> bool:
        """True if responses ask the caller to close the connection."""
        return self.draining or self._stopping

    @property
    def accepts_requests(self) -> bool:
        """False once requests are refused, since they could outlast the grace period."""
        return asyncio.get_running_loop().time() < self._accept_requests_until

    @property
    def idle_timeout_s(self) -> float:
        """Seconds for which a connection may wait for its next request.

        Zero or negative if no further request is accepted.
        """
        remaining_s = self._accept_requests_until - asyncio.get_running_loop().time()
        return min(self.limits.idle_timeout_s, remaining_s)

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Binds the listener; port 0 lets the system choose a free port.

        :raises OSError: if the address cannot be bound.
        """
        await self._serve(host=host, port=port, ssl=tls)

    async def serve_listener(self, listener: socket.socket) -> None:
        """Starts to accept the connections of a listener that is already bound."""
        await self._serve(sock=listener)

    async def _serve(self, **options: Any) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StreamProtocol(self._on_connection, loop),
            backlog=LISTEN_BACKLOG,
            **options,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self, grace_s: float) -> None:
        """Stops accepting, waits for running requests and closes all connections.

        :param grace_s: seconds after which running requests are cancelled.
        """
        self._stopping = True
        # Closing the listener resets connections that still wait to be accepted, so the
        # event loop accepts them first.
        await _run_loop_iterations()
        now = asyncio.get_running_loop().time()
        late_request_grace_s = min(LATE_REQUEST_GRACE_S, grace_s)
        self._accept_requests_until = now + late_request_grace_s
        self._server.close()
        # Lets connections accepted last start their tasks.
        await _run_loop_iterations()
        if self._connections:
            await asyncio.sleep(late_request_grace_s)
        for connection in list(self._connections.values()):
            connection.end_idle_wait()
        if self._connections:
            await asyncio.wait(
                list(self._connections), timeout=grace_s - late_request_grace_s
            )
        for task in list(self._connections):
            task.cancel()

    async def _on_connection(self, reader, writer, protocol: "_StreamProtocol") -> None:
        if len(self._connections) >= self.limits.connections:
            log.warning("connection limit reached; closing a new connection")
            writer.close()
            return
        task = asyncio.current_task()
        connection = _Connection(self, self._handler, reader, writer, protocol)
        self._connections[task] = connection
        try:
            await connection.serve()
            connection.reset_if_truncated()
            # stop() waits for this: data that the socket has not taken would be lost
            # when the process ends.
            await _close_when_sent(writer, protocol.lost)
        except (OSError, h11.RemoteProtocolError):
            log.debug("connection closed by the peer")
        except asyncio.CancelledError:
            # Raised by stop(); there is no caller to propagate it to.
            log.debug("connection closed by shutdown")
        finally:
            del self._connections[task]
            connection.reset_if_truncated()
            writer.close()


def _new_server_connection(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset; data that was not sent yet is discarded."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _run_loop_iterations() -> None:
    """Lets the event loop accept the connections that are waiting."""
    for _ in range(ACCEPT_LOOP_ITERATIONS):
        await asyncio.sleep(0)


async def _close_when_sent(writer: asyncio.StreamWriter, lost: asyncio.Event) -> None:
    """Closes a connection and waits until its caller has taken all data.

    :param lost: set when the connection has ended.
    """
    transport = writer.transport
    writer.close()
    while not lost.is_set():
        unsent_bytes = transport.get_write_buffer_size()
        try:
            async with asyncio.timeout(WRITE_STALL_TIMEOUT_S):
                await lost.wait()
        except TimeoutError:
            if transport.get_write_buffer_size() >= unsent_bytes:
                log.debug("the caller does not read")
                _reset(writer)
                return


class _Connection:
    """Serves the requests of one connection sequentially."""

    __slots__ = (
        "_h11_connection",
        "_handler",
        "_header_bytes",
        "_idle_timeout",
        "_protocol",
        "_read_bytes",
        "_reader",
        "_server",
        "_turn",
        "_unparsed",
        "_writer",
    )

    def __init__(self, server, handler, reader, writer, protocol) -> None:
        self._server = server
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._protocol = protocol
        # Bytes taken from the reader so far.
        self._read_bytes = 0
        self._header_bytes = server.limits.header_bytes
        self._h11_connection = _new_server_connection(self._header_bytes)
        # Set while the connection waits for a request.
        self._idle_timeout: asyncio.Timeout | None = None
        self._turn = Turn("request")
        self._unparsed = ReceivedData()

    def reset_if_truncated(self) -> None:
        """Resets the connection if closing it would complete an unfinished response.

        HTTP/1.0 has no chunks, so a response without a length ends with its connection.
        """
        http = self._h11_connection
        if self._writer.is_closing() or http.our_state is not h11.SEND_BODY:
            return
        if http.their_http_version < b"1.1":
            _reset(self._writer)

    def end_idle_wait(self) -> None:
        """Closes the connection if it waits for a request and none has arrived."""
        if self._idle_timeout is not None and not self._idle_timeout.expired():
            self._idle_timeout.reschedule(asyncio.get_running_loop().time())

    async def serve(self) -> None:
        """Serves requests until the connection must close."""
        while True:
            try:
                request = await self._read_request()
                if request is None:
                    return
                responder = self._new_responder()
                if not self._server.accepts_requests:
                    await self._refuse(responder)
                elif not await self._run_handler(request, responder):
                    return
            except h11.RemoteProtocolError as error:
                await self._send_error(
                    self._new_responder(), error.error_status_hint, str(error)
                )
                return
            except BadRequest as error:
                await self._send_error(self._new_responder(), error.status, str(error))
                return
            states = (self._h11_connection.our_state, self._h11_connection.their_state)
            if states != (h11.DONE, h11.DONE):
                return
            self._h11_connection.start_next_cycle()

    def _new_responder(self) -> Responder:
        return Responder(
            self._h11_connection,
            self._writer,
            # Requests that were received behind this one get a response too.
            lambda: self._server.closing and not self._has_unparsed_data,
        )

    @property
    def _has_unparsed_data(self) -> bool:
        """True if the caller has sent data behind the current request."""
        if self._unparsed or self._protocol.received_bytes > self._read_bytes:
            return True
        return bool(self._h11_connection.trailing_data[0])

    async def _read(self) -> bytes:
        """Returns the next data of the caller; empty at the end of the connection."""
        data = await self._reader.read(MAX_READ_BYTES)
        self._read_bytes += len(data)
        return data

    def _apply_header_limit(self) -> None:
        """Takes over a changed limit before a request; h11 can't change its own."""
        if self._header_bytes == self._server.limits.header_bytes:
            return
        self._header_bytes = self._server.limits.header_bytes
        unparsed, _ = self._h11_connection.trailing_data
        self._h11_connection = _new_server_connection(self._header_bytes)
        if unparsed:
            self._h11_connection.receive_data(unparsed)

    async def _read_request(self) -> Request | None:
        """Reads a request with its body; returns None if no further one arrives.

        :raises BadRequest: if it is too large or not received in time.
        """
        self._apply_header_limit()
        event = self._h11_connection.next_event()
        if event is h11.NEED_DATA and not self._unparsed:
            data = await self._wait_for_data()
            if not data:
                return None
            self._apply_header_limit()
            self._unparsed.append(data)
        self._turn = Turn("request", self._writer.get_extra_info("peername"))
        try:
            # Limits the total time for a request, so that a caller cannot keep a
            # connection busy by sending single bytes at intervals.
            async with asyncio.timeout(self._server.limits.read_timeout_s):
                if not isinstance(event, h11.Request):
                    async with asyncio.timeout(self._server.limits.head_timeout_s):
                        event = await self._next_event()
                if not isinstance(event, h11.Request):
                    return None
                return await self._read_body(self._convert_request(event))
        except TimeoutError:
            raise BadRequest(408, "the request was not sent in time") from None

    async def _wait_for_data(self) -> bytes:
        """Returns the first bytes of the next request; empty if none arrives in time."""
        idle_s = self._server.idle_timeout_s
        if idle_s > 0:
            try:
                async with asyncio.timeout(idle_s) as self._idle_timeout:
                    return await self._read()
            except TimeoutError:
                pass
            finally:
                self._idle_timeout = None
        # A request that has been received is not dropped: its caller could not tell
        # whether it was run. Data that is still in the socket makes the kernel reset
        # the connection, which tells the caller that it was not read.
        transport = self._writer.transport
        transport.pause_reading()
        try:
            async with asyncio.timeout(0):
                data = await self._read()
        except TimeoutError:
            return b""
        transport.resume_reading()
        return data

    async def _read_body(self, request: Request) -> Request:
        body = bytearray()
        while True:
            if self._h11_connection.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._writer.write(self._h11_connection.send(continue_response))
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                request.body = bytes(body)
                return request
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the request was cut")
            body += event.data
            if len(body) > self._server.limits.body_bytes:
                limit = self._server.limits.body_bytes
                raise BadRequest(413, f"the body is over {limit} bytes")

    async def _next_event(self) -> Any:
        event = self._h11_connection.next_event()
        while event is h11.NEED_DATA:
            if not self._unparsed:
                self._unparsed.append(await self._read())
            self._h11_connection.receive_data(self._unparsed.take())
            event = self._h11_connection.next_event()
        # A read doesn't wait if the caller's data is buffered already.
        await self._turn.pause_if_due()
        return event

    def _convert_request(self, event: h11.Request) -> Request:
        # h11 limits only the size of heads that arrive in several reads.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size + len(event.target) > self._header_bytes:
            raise BadRequest(431, f"the head is over {self._header_bytes} bytes")
        return Request(
            event.method.decode("latin-1"),
            event.target.decode("latin-1"),
            [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers],
        )

    async def _run_handler(self, request, responder) -> bool:
        """Runs the handler; returns False if the connection must close."""
        handler_task = asyncio.ensure_future(self._handler(request, responder))
        disconnect_task = asyncio.ensure_future(self._protocol.closed.wait())
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if handler_task.done():
                return await self._collect_result(handler_task, responder)
            return False
        finally:
            disconnect_task.cancel()
            if not handler_task.done():
                handler_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await handler_task

    async def _collect_result(
        self, handler_task: asyncio.Future, responder: Responder
    ) -> bool:
        """Logs an error of the handler; returns False if the connection must close."""
        try:
            handler_task.result()
        except BadRequest:
            if responder.started:
                return False
            raise
        except (OSError, h11.LocalProtocolError) as error:
            if not responder.started:
                log.warning(
                    "request ended without a response", extra={"error": repr(error)}
                )
            return False
        except Exception:
            log.exception("request handler failed")
            if not responder.started:
                await self._send_error(responder, 500, "internal error")
            return False
        return True

    async def _refuse(self, responder: Responder) -> None:
        """Refuses a request that was read too late to be served before the stop."""
        log.info("request refused: the server is stopping")
        with contextlib.suppress(OSError):
            await responder.send(503, b"", [("Retry-After", "0")])

    async def _send_error(
        self, responder: Responder, status: int, message: str
    ) -> None:
        error = {"message": message, "type": "invalid_request_error", "code": None}
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            headers = [("Connection", "close")]
            await responder.send_json(status, {"error": error}, headers)


class _StreamProtocol(asyncio.StreamReaderProtocol):
    """Stream protocol with events that are set when the connection closes.

    :class:`asyncio.StreamReader` detects this only by a read, which would consume the
    bytes of a pipelined request.

    :ivar closed: set when the peer has closed its side, or the connection has ended.
    :ivar lost: set when the connection has ended.
    :ivar received_bytes: bytes received so far.
    """

    def __init__(self, on_connection, loop: asyncio.AbstractEventLoop) -> None:
        self.closed = asyncio.Event()
        self.lost = asyncio.Event()
        self.received_bytes = 0
        self._on_connection = on_connection
        super().__init__(
            asyncio.StreamReader(MAX_READ_BYTES, loop), self._connected, loop
        )

    async def _connected(self, reader, writer) -> None:
        await self._on_connection(reader, writer, self)

    def data_received(self, data: bytes) -> None:
        """Passes data to the reader and counts it."""
        self.received_bytes += len(data)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Sets :attr:`closed` when the peer has sent its last byte."""
        self.closed.set()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Sets both events when the connection is lost or closed."""
        self.closed.set()
        self.lost.set()
        super().connection_lost(exc)
