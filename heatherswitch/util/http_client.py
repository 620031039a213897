"""HTTP/1.1 client based on h11 and asyncio streams."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from typing import Any

import h11

from heatherswitch.util.fairness import Turn
from heatherswitch.util.http import (
    MAX_READ_BYTES,
    ConnectFailed,
    ConnectionLost,
    Headers,
    ResponseTooLarge,
    check_final_status,
)
from heatherswitch.util.untrusted import MalformedInput, parse_json

# Maximum number of interim (1xx) responses before the final one.
MAX_INTERIM_RESPONSES = 8


class HttpResponse:
    """A response whose body is read by :meth:`chunks` or :meth:`read`.

    The connection is reusable once the body was read to its end.
    """

    __slots__ = ("_client", "_connection", "_streams", "_timeout", "headers", "status")

    def __init__(self, client, streams, connection, head, timeout) -> None:
        self._client = client
        self._streams = streams
        self._connection = connection
        self._timeout = timeout
        self.status: int = head.status_code
        self.headers: Headers = [
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers
        ]

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, or ``default``.

        :param name: name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive.

        :raises ConnectionLost: if the body is truncated, or its next part does not
            arrive within the timeout of the request.
        """
        turn = Turn("response", self._streams[1].get_extra_info("peername"))
        while True:
            event = await self._client._next_event(
                self._streams, self._connection, self._timeout
            )
            # A read doesn't wait if the data is buffered already.
            await turn.pause_if_due()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._client._release(self._streams, self._connection)
                return
            else:
                self.close()
                raise ConnectionLost("the answer was cut")

    async def read(self, limit: int = 64 * 1024 * 1024) -> bytes:
        """Reads the whole body.

        :raises ConnectionLost: if the body is truncated.
        :raises ResponseTooLarge: if it is larger than ``limit`` bytes; if it states its
            length, before any of it is read.
        """
        stated = self.header("content-length", "0")
        if stated.isdecimal() and int(stated) > limit:
            self.close()
            raise ResponseTooLarge(f"the answer is over {limit} bytes")
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                self.close()
                raise ResponseTooLarge(f"the answer is over {limit} bytes")
        return bytes(body)

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self._streams[1].close()


class HttpClient:
    """Sends requests to one host over a pool of idle connections.

    :param max_idle: maximum number of idle connections in the pool.
    """

    __slots__ = ("_host", "_idle_streams", "_max_idle", "_port", "_tls")

    def __init__(
        self,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        max_idle: int = 16,
    ) -> None:
        self._host = host
        self._port = port
        self._tls = tls
        self._max_idle = max_idle
        self._idle_streams: list[tuple] = []

    @classmethod
    def from_address(cls, address: str, **options) -> "HttpClient":
        """Returns a client for ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), **options)

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout: float = 10.0,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Sends a request and returns the response, whose body is not read yet.

        :param timeout: limit for each step, in seconds: to connect, to send, to receive
            the response head, and to receive each part of the body.
        :param new_connection: doesn't reuse an idle connection. The server may close
            one just as a request is sent, which leaves the outcome unknown.
        :raises ConnectFailed: if nothing was sent.
        :raises ConnectionLost: if the server may have received the request.
        """
        streams = None if new_connection else await self._take_idle_streams()
        streams = streams or await self._connect(timeout)
        connection = h11.Connection(h11.CLIENT)
        try:
            await self._send_request(
                streams, connection, method, target, headers, body, timeout
            )
            # Limits the total time for the head, including interim responses.
            async with asyncio.timeout(timeout):
                event = await self._receive_head(streams, connection, timeout)
            return HttpResponse(self, streams, connection, event, timeout)
        except TimeoutError as error:
            streams[1].close()
            raise ConnectionLost("no answer: timeout") from error
        except BaseException:
            streams[1].close()
            raise

    async def _take_idle_streams(self) -> tuple | None:
        """Returns an idle connection, or None if there is none.

        One on which the server has sent bytes is closed, since they belong to no
        request and would be taken for the response to the next one.
        """
        while self._idle_streams:
            streams = self._idle_streams.pop()
            usable = False
            try:
                usable = not (
                    streams[1].is_closing() or await _has_received(streams[0])
                )
            finally:
                if not usable:
                    streams[1].close()
            if usable:
                return streams
        return None

    async def _receive_head(self, streams, connection, timeout: float) -> h11.Response:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(streams, connection, timeout)
            if isinstance(event, h11.Response):
                check_final_status(event.status_code)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the server closed the connection")
        raise ConnectionLost(f"over {MAX_INTERIM_RESPONSES} interim answers came")

    async def request_json(
        self, method: str, target: str, value: Any = None, timeout: float = 10.0
    ) -> tuple[int, Any]:
        """Sends a JSON request and reads a JSON response.

        :returns: the status and the parsed body, None if it is empty.
        :raises ConnectFailed: if nothing was sent.
        :raises ConnectionLost: if the outcome is unknown or the body is not JSON.
        """
        body = b"" if value is None else json.dumps(value).encode()
        headers = [("Content-Type", "application/json")]
        response = await self.request(method, target, headers, body, timeout)
        data = await response.read()
        try:
            return response.status, parse_json(data) if data else None
        except MalformedInput as error:
            raise ConnectionLost(f"the answer is not JSON: {error}") from error

    def close(self) -> None:
        """Closes the idle connections."""
        for streams in self._idle_streams:
            streams[1].close()
        self._idle_streams.clear()

    async def _connect(self, timeout: float) -> tuple:
        try:
            # Not asyncio.wait_for: in Python 3.11 it loses a cancellation that arrives
            # together with the result, and the cancelled task runs on.
            async with asyncio.timeout(timeout):
                return await asyncio.open_connection(
                    self._host, self._port, ssl=self._tls, limit=MAX_READ_BYTES
                )
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            # See ConnectionPool: the port or the host name may be one that cannot exist.
            raise ConnectFailed(
                f"cannot connect to {self._host}:{self._port}: {error or 'timeout'}"
            ) from error

    async def _send_request(
        self, streams, connection, method, target, headers, body, timeout
    ):
        header_names = {name.lower() for name, _ in headers or []}
        all_headers = (
            [("Host", f"{self._host}:{self._port}")]
            if "host" not in header_names
            else []
        )
        all_headers += headers or []
        if "content-length" not in header_names:
            all_headers.append(("Content-Length", str(len(body))))
        data = connection.send(
            h11.Request(method=method, target=target, headers=all_headers)
        )
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        try:
            streams[1].write(data)
            async with asyncio.timeout(timeout):
                await streams[1].drain()
        except (OSError, TimeoutError) as error:
            raise ConnectionLost(f"sending failed: {error or 'timeout'}") from error

    async def _next_event(self, streams, connection, timeout):
        try:
            # Limits the total time for the event, since a failing peer may send single
            # bytes at intervals.
            async with asyncio.timeout(timeout):
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await streams[0].read(MAX_READ_BYTES))
            return event
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            streams[1].close()
            raise ConnectionLost(f"no answer: {error or 'timeout'}") from error

    def _release(self, streams, connection) -> None:
        reusable = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            and not connection.trailing_data[0]
        )
        if reusable and len(self._idle_streams) < self._max_idle:
            self._idle_streams.append(streams)
        else:
            streams[1].close()


async def _has_received(reader: asyncio.StreamReader) -> bool:
    """Tells whether the peer has sent bytes that were not read, or has closed."""
    # Lets the event loop read what is in the socket.
    await asyncio.sleep(0)
    try:
        async with asyncio.timeout(0):
            await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    return True
