"""HTTP/1.1 server based on h11 and asyncio streams."""

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable
from typing import Any

import h11

from heatherswitch.util.connection_budget import ConnectionBudget
from heatherswitch.util.http import HttpLimits, Request
from heatherswitch.util.http_connection import Connection, Handler
from heatherswitch.util.http_protocol import StreamProtocol
from heatherswitch.util.http_responder import (
    LINGER_RESET,
    Responder,
    close_when_sent,
)
from heatherswitch.util.listeners import LISTEN_BACKLOG, limit_receive_buffer

__all__ = ["LINGER_RESET", "HttpServer", "Responder"]

log = logging.getLogger("heatherswitch.http_server")

# Iterations of the event loop from accepting a connection to running its task.
ACCEPT_LOOP_ITERATIONS = 8
# Seconds for which requests in transit on open connections are still accepted after the
# listener is closed.
LATE_REQUEST_GRACE_S = 0.25


class HttpServer:
    """Serves one listener and calls ``handler`` for each request.

    The handler is cancelled when the caller disconnects. It may raise
    :class:`BadRequest` as long as it has not started the response.

    :param screen: called with the head of a request before a large body is read, or when
        the caller asks whether to send one. It may raise :class:`BadRequest` or
        :class:`RequestRefused`, which rejects the request at once.
    """

    __slots__ = (
        "_accept_requests_until",
        "_budget",
        "_connections",
        "_handler",
        "_limits",
        "_port",
        "_screen",
        "_server",
        "_stopping",
        "draining",
    )

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        screen: Callable[[Request], None] | None = None,
    ) -> None:
        self._handler = handler
        self._screen = screen
        self._limits = limits or HttpLimits()
        self._budget = ConnectionBudget(
            self._limits.connections,
            self._limits.memory_bytes,
            body_copies=self._limits.body_copies,
        )
        # While true, connections are closed after their next response.
        self.draining = False
        # Event loop time up to which connections may start another request; limited
        # once the listener is closed.
        self._accept_requests_until = float("inf")
        self._server: asyncio.Server | None = None
        self._port = 0
        self._stopping = False
        self._connections: dict[asyncio.Task, Connection] = {}

    @property
    def limits(self) -> HttpLimits:
        """The limits in force; may be replaced while the server runs.

        Those of a request apply from the next request of a connection on.
        """
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits = limits
        self._budget.connections = limits.connections
        self._budget.memory_bytes = limits.memory_bytes

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
    def budget(self) -> ConnectionBudget:
        """What the connections hold, and how many were given up."""
        return self._budget

    def screen(self, request: Request) -> None:
        """Passes the head of a request with a large body to ``screen``."""
        if self._screen is not None:
            self._screen(request)

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
            lambda: StreamProtocol(self._on_connection, loop),
            backlog=LISTEN_BACKLOG,
            **options,
        )
        for listener in self._server.sockets:
            limit_receive_buffer(listener)
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

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: StreamProtocol,
    ) -> None:
        connection = Connection(self, self._handler, reader, writer, protocol)
        if not connection.open(self._budget):
            log.warning("no room for a new connection")
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._connections[task] = connection
        try:
            await connection.serve()
            connection.reset_if_truncated()
            # stop() waits for this: data that the socket has not taken would be lost
            # when the process ends.
            await close_when_sent(writer, protocol.lost)
        except (OSError, h11.RemoteProtocolError):
            log.debug("connection closed by the peer")
        except asyncio.CancelledError:
            # Raised by stop(); there is no caller to propagate it to.
            log.debug("connection closed by shutdown")
        finally:
            del self._connections[task]
            connection.reset_if_truncated()
            connection.close()


async def _run_loop_iterations() -> None:
    """Lets the event loop accept the connections that are waiting."""
    for _ in range(ACCEPT_LOOP_ITERATIONS):
        await asyncio.sleep(0)
