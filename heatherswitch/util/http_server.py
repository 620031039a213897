"""HTTP/1.1 server over h11 and asyncio streams."""

import asyncio
import contextlib
import json
import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from heatherswitch.util.http import READ_SIZE, BadRequest, Headers, HttpLimits, Request

log = logging.getLogger("heatherswitch.http_server")

# After the listener closed, a request that is on its way on an open connection
# has this long to arrive, in seconds.
STOP_LINGER_S = 0.25


class Responder:
    """Writes the answer to one request."""

    __slots__ = ("_chunked", "_connection", "_writer", "started")

    def __init__(self, connection: h11.Connection, writer: asyncio.StreamWriter):
        self._connection = connection
        self._writer = writer
        self._chunked = False
        self.started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head; the body follows by :meth:`write`."""
        self.started = True
        if not any(name.lower() == "content-length" for name, _ in headers):
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        await self._send(h11.Response(status_code=status, headers=headers))

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
        await self.start(status, [*(headers or []), ("Content-Length", str(len(body)))])
        await self.write(body)
        await self.finish()

    async def send_json(
        self, status: int, value: Any, headers: Headers | None = None
    ) -> None:
        """Sends a whole answer as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        typed = [*(headers or []), ("Content-Type", "application/json")]
        await self.send(status, body, typed)

    async def _send(self, event: Any) -> None:
        data = self._connection.send(event)
        if data:
            self._writer.write(data)
            await self._writer.drain()


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Serves one listener; each request runs ``handler``.

    The handler is cancelled when the caller closes its connection.
    """

    __slots__ = (
        "_connections",
        "_handler",
        "_limits",
        "_server",
        "_stopping",
        "_tasks",
    )

    def __init__(self, handler: Handler, limits: HttpLimits | None = None) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._server: asyncio.Server | None = None
        self._stopping = False
        self._tasks: set[asyncio.Task] = set()
        self._connections: dict[asyncio.Task, bool] = {}

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        return self._server.sockets[0].getsockname()[1]

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Binds the listener; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._on_connection, host, port, ssl=tls, limit=READ_SIZE, backlog=1024
        )

    async def stop(self, grace_s: float) -> None:
        """Stops accepting, lets running requests finish, then closes.

        :param grace_s: seconds after which running requests are cancelled.
        """
        self._stopping = True
        self._server.close()
        if self._connections:
            await asyncio.sleep(min(STOP_LINGER_S, grace_s))
        for task, busy in list(self._connections.items()):
            if not busy:
                task.cancel()
        if self._connections:
            await asyncio.wait(list(self._connections), timeout=grace_s)
        for task in list(self._connections):
            task.cancel()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if len(self._connections) >= self._limits.connections:
            writer.close()
            return
        self._connections[task] = False
        try:
            await self._serve(task, reader, writer)
        except (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError):
            log.debug("connection closed by the peer")
        except asyncio.CancelledError:
            # Raised by stop(); a cancelled connection task has nothing to unwind.
            log.debug("connection closed by shutdown")
        finally:
            del self._connections[task]
            writer.close()

    async def _serve(self, task, reader, writer) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        # A new connection serves its first request even during a stop.
        first = True
        while first or not self._stopping:
            first = False
            responder = Responder(connection, writer)
            try:
                request = await self._read_request(task, connection, reader)
            except h11.RemoteProtocolError as error:
                await self._refuse(responder, error.error_status_hint, str(error))
                return
            except BadRequest as error:
                await self._refuse(responder, error.status, str(error))
                return
            if request is None:
                return
            if not await self._run_handler(request, responder, reader):
                return
            self._connections[task] = False
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _read_request(self, task, connection, reader) -> Request | None:
        request = None
        body = bytearray()
        timeout = self._limits.idle_timeout_s
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await asyncio.wait_for(reader.read(READ_SIZE), timeout)
                except TimeoutError:
                    if request is None and not connection.trailing_data[0]:
                        return None
                    raise BadRequest(408, "the request was not sent in time") from None
                timeout = self._limits.read_timeout_s
                self._connections[task] = True
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                self._connections[task] = True
                headers = [
                    (k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers
                ]
                request = Request(
                    event.method.decode("latin-1"),
                    event.target.decode("latin-1"),
                    headers,
                )
                if connection.they_are_waiting_for_100_continue:
                    raise BadRequest(417, "Expect: 100-continue is not supported")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise BadRequest(
                        413, f"the body is over {self._limits.body_bytes} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                request.body = bytes(body)
                return request
            else:
                # ConnectionClosed or PAUSED: no further request follows.
                return None

    async def _run_handler(self, request, responder, reader) -> bool:
        """Runs the handler; returns False when the connection must close."""
        work = asyncio.ensure_future(self._handler(request, responder))
        closed = asyncio.ensure_future(_wait_closed(reader))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return False
            return await self._finish(work, responder)
        finally:
            closed.cancel()
            if not work.done():
                work.cancel()

    async def _finish(self, work, responder) -> bool:
        try:
            work.result()
        except BadRequest as error:
            if not responder.started:
                await self._refuse(responder, error.status, str(error))
            return False
        except (OSError, h11.LocalProtocolError):
            return False
        except Exception:
            log.exception("request handler failed")
            if not responder.started:
                await self._refuse(responder, 500, "internal error")
            return False
        return True

    async def _refuse(self, responder: Responder, status: int, message: str) -> None:
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            error = {"message": message, "type": "invalid_request_error", "code": None}
            await responder.send_json(
                status, {"error": error}, [("Connection", "close")]
            )


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Returns when the peer has closed its side.

    Polls the stream's end flag, because reading would take pipelined bytes.
    """
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.05)
