"""Stand-in for a consumer: sends one request a channel, or several on a kept one."""

import asyncio
import time


class Answer:
    """What a consumer got for one request.

    :ivar status: 0 without a head.
    :ivar complete: the answer ended as HTTP/1.1 says that it ends.
    :ivar error: how the channel ended otherwise.
    """

    def __init__(self, attempt_id: str) -> None:
        self.id = attempt_id
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


class Client:
    """A consumer at one gateway.

    :param address: ``host:port`` of the gateway.
    """

    def __init__(self, address: str, host: str, key: str) -> None:
        self._address = address
        self._host = host
        self._key = key
        self._streams: tuple | None = None

    async def call(
        self,
        attempt_id: str,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 3000,
        headers: list[tuple[str, str]] | None = None,
        keep: bool = False,
    ) -> Answer:
        """Sends a request and reads the answer until the time limit.

        :param keep: uses the channel of the last call if it is open, and keeps it.
        """
        result = Answer(attempt_id)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._exchange(result, method, path, body, deadline_ms, headers)
        except TimeoutError:
            result.error = "no whole answer within the time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            result.error = repr(error)
        result.ended_at = time.monotonic()
        closing = "close" in result.headers.get("connection", "").lower()
        if not (keep and result.complete and not closing):
            self.close()
        return result

    def close(self) -> None:
        """Closes the kept channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _exchange(self, result, method, path, body, deadline_ms, headers):
        if self._streams is None:
            host, _, port = self._address.rpartition(":")
            self._streams = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Attempt-Id: {result.id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if self._key:
            lines.append(f"Authorization: Bearer {self._key}")
        lines += [f"{name}: {value}" for name, value in headers or []]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        result.sent_at = time.monotonic()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        await self._read_head(reader, result)
        await self._read_body(reader, result)
        result.complete = True

    async def _read_head(self, reader, result) -> None:
        data = await reader.readuntil(b"\r\n\r\n")
        first, *lines = data.decode("latin-1").split("\r\n")[:-2]
        result.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            result.headers[name.lower()] = value.strip()

    async def _read_body(self, reader, result) -> None:
        if "chunked" not in result.headers.get("transfer-encoding", ""):
            length = int(result.headers.get("content-length", "0"))
            result.body = await reader.readexactly(length)
            return
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                result.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
