"""HTTP/1.1 server over h11 and asyncio streams."""

import asyncio
import contextlib
import json
import logging
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11

from heatherswitch.util.http import READ_SIZE, BadRequest, Headers, HttpLimits, Request

log = logging.getLogger("heatherswitch.http_server")

# Connections that wait to be accepted.
BACKLOG = 1024
# A caller that reads nothing of an answer for this long is cut off, in seconds.
WRITE_STALL_S = 15.0
# Turns of the event loop that a new connection takes from the kernel to its task.
ACCEPT_TURNS = 8
# After the listener closed, a request that is on its way on an open connection
# has this long to arrive, in seconds.
STOP_LINGER_S = 0.25


_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Responder:
    """Writes the answer to one request."""

    __slots__ = ("_closing", "_connection", "_head", "_writer", "started")

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        closing: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._closing = closing
        # A head that waits for the first part of the body, so that both take one
        # system call.
        self._head = b""
        self.started = False

    async def start(self, status: int, headers: Headers, hold: bool = False) -> None:
        """Sends the head; the body follows by :meth:`write`.

        Without a Content-Length the body is sent in chunks.

        :param hold: sends the head with the first part of the body or its end.
        """
        self.started = True
        sent = list(headers)
        if not any(name.lower() == "content-length" for name, _ in sent):
            sent.append(("Transfer-Encoding", "chunked"))
        if self._closing():
            sent.append(("Connection", "close"))
        reason = _REASONS.get(status, b"")
        response = h11.Response(status_code=status, headers=sent, reason=reason)
        if hold:
            self._head = self._connection.send(response) or b""
        else:
            await self._send(response)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if data:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends the body; without this the caller sees a broken answer."""
        await self._send(h11.EndOfMessage())

    async def send(
        self, status: int, body: bytes = b"", headers: Headers | None = None
    ) -> None:
        """Sends a whole answer."""
        sized = [*(headers or []), ("Content-Length", str(len(body)))]
        await self.start(status, sized, hold=True)
        if body:
            self._head += self._connection.send(h11.Data(data=body)) or b""
        await self.finish()

    async def send_json(
        self, status: int, value: Any, headers: Headers | None = None
    ) -> None:
        """Sends a whole answer as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        typed = [*(headers or []), ("Content-Type", "application/json")]
        await self.send(status, body, typed)

    def abort(self) -> None:
        """Closes the connection at once; what the caller has not read is dropped."""
        self._writer.transport.abort()

    async def _send(self, event: Any) -> None:
        data = self._head + (self._connection.send(event) or b"")
        self._head = b""
        if data:
            self._writer.write(data)
            await self._drain()

    async def _drain(self) -> None:
        """Waits until the caller has read enough.

        :raises ConnectionAbortedError: if it reads nothing for too long.
        """
        transport = self._writer.transport
        while True:
            unread = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(WRITE_STALL_S):
                    await self._writer.drain()
                    return
            except TimeoutError:
                if transport.get_write_buffer_size() >= unread:
                    self.abort()
                    raise ConnectionAbortedError("the caller does not read") from None


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Serves one listener; each request runs ``handler``.

    The handler is cancelled when the caller closes its connection. It may raise
    :class:`BadRequest` before it has started an answer.
    """

    __slots__ = (
        "_connections",
        "_handler",
        "_last_request_at",
        "_port",
        "_server",
        "_stopping",
        "draining",
        "limits",
    )

    def __init__(self, handler: Handler, limits: HttpLimits | None = None) -> None:
        self._handler = handler
        # May be replaced while the server runs; holds from the next request on.
        self.limits = limits or HttpLimits()
        # While true, each connection ends with its next answer.
        self.draining = False
        # Loop time up to which a request may still begin once the listener closed.
        self._last_request_at = float("inf")
        self._server: asyncio.Server | None = None
        self._port = 0
        self._stopping = False
        self._connections: dict[asyncio.Task, _Connection] = {}

    @property
    def port(self) -> int:
        """The port that the listener was bound to by :meth:`start`."""
        return self._port

    @property
    def stopping(self) -> bool:
        """True once :meth:`stop` was called."""
        return self._stopping

    @property
    def closing(self) -> bool:
        """True once answers tell the caller to open a new connection."""
        return self.draining or self._stopping

    @property
    def idle_timeout_s(self) -> float:
        """Seconds for which a connection may wait for its next request."""
        left_s = self._last_request_at - asyncio.get_running_loop().time()
        return min(self.limits.idle_timeout_s, left_s)

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Binds the listener; port 0 picks a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Protocol(self._on_connection, loop),
            host,
            port,
            ssl=tls,
            backlog=BACKLOG,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self, grace_s: float) -> None:
        """Stops accepting, lets running requests finish, then closes.

        :param grace_s: seconds after which running requests are cancelled.
        """
        self._stopping = True
        # Closing the listener resets connections that wait to be accepted.
        await _let_loop_turn()
        now = asyncio.get_running_loop().time()
        self._last_request_at = now + STOP_LINGER_S
        self._server.close()
        # What was accepted last becomes a connection of this server.
        await _let_loop_turn()
        if self._connections:
            await asyncio.sleep(min(STOP_LINGER_S, grace_s))
        for task, connection in list(self._connections.items()):
            if not connection.busy:
                task.cancel()
        if self._connections:
            await asyncio.wait(list(self._connections), timeout=grace_s)
        for task in list(self._connections):
            task.cancel()

    async def _on_connection(self, reader, writer, closed: asyncio.Event) -> None:
        if len(self._connections) >= self.limits.connections:
            log.warning("connection limit reached; closing a new connection")
            writer.close()
            return
        task = asyncio.current_task()
        connection = _Connection(self, self._handler, reader, writer)
        self._connections[task] = connection
        try:
            await connection.serve(closed)
        except (OSError, h11.RemoteProtocolError):
            log.debug("connection closed by the peer")
        except asyncio.CancelledError:
            # Raised by stop(); a cancelled connection task has nothing to unwind.
            log.debug("connection closed by shutdown")
        finally:
            del self._connections[task]
            writer.close()


async def _let_loop_turn() -> None:
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)


class _Connection:
    """Serves the requests of one connection, one after the other."""

    __slots__ = (
        "_handler",
        "_http",
        "_reader",
        "_server",
        "_writer",
        "busy",
    )

    def __init__(self, server, handler, reader, writer) -> None:
        self._server = server
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        # True from the first byte of a request to the end of its answer.
        self.busy = False

    async def serve(self, closed: asyncio.Event) -> None:
        """Serves until the connection cannot carry another request."""
        while True:
            responder = Responder(
                self._http, self._writer, lambda: self._server.closing
            )
            try:
                request = await self._read_request()
                if request is None or not await self._run(request, responder, closed):
                    return
            except h11.RemoteProtocolError as error:
                await self._refuse(responder, error.error_status_hint, str(error))
                return
            except BadRequest as error:
                await self._refuse(responder, error.status, str(error))
                return
            states = (self._http.our_state, self._http.their_state)
            if states != (h11.DONE, h11.DONE):
                return
            self._http.start_next_cycle()
            self.busy = False

    async def _read_request(self) -> Request | None:
        """Reads a request with its body; None when no further one comes."""
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            idle_s = self._server.idle_timeout_s
            if idle_s <= 0:
                # The answer before may have begun before the stop, and so did not
                # tell the caller to leave. A request would outlive the grace period.
                return None
            try:
                async with asyncio.timeout(idle_s):
                    data = await self._reader.read(READ_SIZE)
            except TimeoutError:
                return None
            self._http.receive_data(data)
        else:
            data = b"pipelined"
        self.busy = bool(data)
        try:
            # One limit for the whole request, so that a caller cannot hold a
            # connection by sending a byte now and then.
            async with asyncio.timeout(self._server.limits.read_timeout_s):
                if not isinstance(event, h11.Request):
                    async with asyncio.timeout(self._server.limits.head_timeout_s):
                        event = await self._next_event()
                if not isinstance(event, h11.Request):
                    return None
                return await self._read_body(self._request(event))
        except TimeoutError:
            raise BadRequest(408, "the request was not sent in time") from None

    async def _read_body(self, request: Request) -> Request:
        body = bytearray()
        while True:
            if self._http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self._writer.write(self._http.send(go_on))
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
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await self._reader.read(READ_SIZE))
            event = self._http.next_event()
        return event

    def _request(self, event: h11.Request) -> Request:
        # h11 applies its limit only to heads that arrive in several reads.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size + len(event.target) > self._server.limits.header_bytes:
            raise BadRequest(
                431, f"the head is over {self._server.limits.header_bytes} bytes"
            )
        return Request(
            event.method.decode("latin-1"),
            event.target.decode("latin-1"),
            [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers],
        )

    async def _run(self, request, responder, closed: asyncio.Event) -> bool:
        """Runs the handler; returns False when the connection must close."""
        work = asyncio.ensure_future(self._handler(request, responder))
        gone = asyncio.ensure_future(closed.wait())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return await self._finish(work, responder)
            return False
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await work

    async def _finish(self, work: asyncio.Future, responder: Responder) -> bool:
        try:
            work.result()
        except BadRequest:
            if responder.started:
                return False
            raise
        except (OSError, h11.LocalProtocolError):
            return False
        except Exception:
            log.exception("request handler failed")
            if not responder.started:
                await self._refuse(responder, 500, "internal error")
            return False
        return True

    async def _refuse(self, responder: Responder, status: int, message: str) -> None:
        error = {"message": message, "type": "invalid_request_error", "code": None}
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            headers = [("Connection", "close")]
            await responder.send_json(status, {"error": error}, headers)


class _Protocol(asyncio.StreamReaderProtocol):
    """Stream protocol that tells when the peer has closed its side.

    The stream reader alone would need a read, which takes pipelined bytes.
    """

    def __init__(self, on_connection, loop: asyncio.AbstractEventLoop) -> None:
        self.closed = asyncio.Event()
        self._on_connection = on_connection
        super().__init__(asyncio.StreamReader(READ_SIZE, loop), self._connected, loop)

    async def _connected(self, reader, writer) -> None:
        await self._on_connection(reader, writer, self.closed)

    def eof_received(self) -> bool | None:
        """Marks the connection as closed."""
        self.closed.set()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the connection as closed."""
        self.closed.set()
        super().connection_lost(exc)
