"""HTTP/1.1 client over h11 and asyncio streams."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from typing import Any

import h11

from heatherswitch.util.http import READ_SIZE, ConnectFailed, ConnectionLost, Headers

# Interim answers before the head of an answer.
MAX_INTERIM_ANSWERS = 8


class HttpResponse:
    """An answer whose body is read by :meth:`chunks` or :meth:`read`."""

    __slots__ = ("_client", "_connection", "_link", "_timeout", "headers", "status")

    def __init__(self, client, link, connection, head, timeout) -> None:
        self._client = client
        self._link = link
        self._connection = connection
        self._timeout = timeout
        self.status: int = head.status_code
        self.headers: Headers = [
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers
        ]

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body.

        :raises ConnectionLost: if the body is cut or makes no progress in time.
        """
        while True:
            event = await self._client._next_event(
                self._link, self._connection, self._timeout
            )
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._client._release(self._link, self._connection)
                return
            else:
                self.close()
                raise ConnectionLost("the answer was cut")

    async def read(self, limit: int = 64 * 1024 * 1024) -> bytes:
        """Reads the whole body.

        :raises ConnectionLost: if the body is cut or over ``limit`` bytes.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                self.close()
                raise ConnectionLost(f"the answer is over {limit} bytes")
        return bytes(body)

    def close(self) -> None:
        """Drops the connection, which cancels the request at the server."""
        self._link[1].close()


class HttpClient:
    """Sends requests to one host and keeps idle connections for reuse."""

    __slots__ = ("_host", "_idle", "_max_idle", "_port", "_tls")

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
        self._idle: list[tuple] = []

    @classmethod
    def from_address(cls, address: str, **options) -> "HttpClient":
        """Builds a client from ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), **options)

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout: float = 10.0,
        fresh: bool = False,
    ) -> HttpResponse:
        """Sends a request and returns the head of the answer.

        :param timeout: seconds without progress after which the request fails.
        :param fresh: opens a new connection. A server may close an idle one
            just as a request is sent, which leaves the outcome unknown.
        :raises ConnectFailed: if nothing was sent.
        :raises ConnectionLost: if the outcome is unknown.
        """
        link = None
        if not fresh:
            while self._idle and link is None:
                link = self._idle.pop()
                if link[0].at_eof() or link[1].is_closing():
                    link[1].close()
                    link = None
        link = link or await self._connect(timeout)
        connection = h11.Connection(h11.CLIENT)
        try:
            await self._write(link, connection, method, target, headers, body, timeout)
            # One limit for the whole head, whatever arrives meanwhile.
            async with asyncio.timeout(timeout):
                event = await self._head(link, connection, timeout)
            return HttpResponse(self, link, connection, event, timeout)
        except TimeoutError as error:
            link[1].close()
            raise ConnectionLost("no answer: timeout") from error
        except BaseException:
            link[1].close()
            raise

    async def _head(self, link, connection, timeout: float) -> h11.Response:
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event(link, connection, timeout)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the server closed the connection")
        raise ConnectionLost(f"over {MAX_INTERIM_ANSWERS} interim answers came")

    async def request_json(
        self, method: str, target: str, value: Any = None, timeout: float = 10.0
    ) -> tuple[int, Any]:
        """Sends a JSON request and reads a JSON answer.

        :returns: status and parsed body (None if empty).
        """
        body = b"" if value is None else json.dumps(value).encode()
        headers = [("Content-Type", "application/json")]
        response = await self.request(method, target, headers, body, timeout)
        data = await response.read()
        try:
            return response.status, json.loads(data) if data else None
        except ValueError as error:
            raise ConnectionLost(f"the answer is not JSON: {error}") from error

    def close(self) -> None:
        """Closes the idle connections."""
        for link in self._idle:
            link[1].close()
        self._idle.clear()

    async def _connect(self, timeout: float) -> tuple:
        try:
            # In Python 3.11 a cancellation of wait_for is lost when its result
            # arrives at the same time, so that a cancelled task goes on for ever.
            async with asyncio.timeout(timeout):
                return await asyncio.open_connection(
                    self._host, self._port, ssl=self._tls, limit=READ_SIZE
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(
                f"cannot connect to {self._host}:{self._port}: {error or 'timeout'}"
            ) from error

    async def _write(self, link, connection, method, target, headers, body, timeout):
        names = {name.lower() for name, _ in headers or []}
        sent = [("Host", f"{self._host}:{self._port}")] if "host" not in names else []
        sent += headers or []
        if "content-length" not in names:
            sent.append(("Content-Length", str(len(body))))
        data = connection.send(h11.Request(method=method, target=target, headers=sent))
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        try:
            link[1].write(data)
            async with asyncio.timeout(timeout):
                await link[1].drain()
        except (OSError, TimeoutError) as error:
            raise ConnectionLost(f"sending failed: {error or 'timeout'}") from error

    async def _next_event(self, link, connection, timeout):
        try:
            # The limit holds for the whole event: a peer in trouble may send a byte
            # now and then.
            async with asyncio.timeout(timeout):
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await link[0].read(READ_SIZE))
            return event
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            link[1].close()
            raise ConnectionLost(f"no answer: {error or 'timeout'}") from error

    def _release(self, link, connection) -> None:
        reusable = (
            connection.our_state is h11.DONE and connection.their_state is h11.DONE
        )
        if reusable and len(self._idle) < self._max_idle:
            self._idle.append(link)
        else:
            link[1].close()
