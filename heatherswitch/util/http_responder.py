"""Writes the response to a request of an HTTP/1.1 connection."""

import asyncio
import json
import logging
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11

from heatherswitch.util.connection_budget import STALL_S, Reservation, Stage
from heatherswitch.util.http import Headers, encode_headers

log = logging.getLogger("heatherswitch.http_server")

# Seconds after which a caller that reads nothing of its response is disconnected.
WRITE_STALL_TIMEOUT_S = 15.0
# Bytes of a response that fit the memory which each connection has reserved for itself.
# asyncio passes them on without waiting for the caller.
INCLUDED_RESPONSE_BYTES = 64 * 1024
# Bytes that are read ahead of a response while its caller does not take it.
RELAYED_BYTES = 128 * 1024
# Value of SO_LINGER (on, for 0 s) with which closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class Responder:
    """Writes the response to one request."""

    __slots__ = (
        "_connection",
        "_is_closing",
        "_reservation",
        "_unsent",
        "_writer",
        "started",
    )

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        is_closing: Callable[[], bool],
        reservation: Reservation,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._is_closing = is_closing
        self._reservation = reservation
        # Encoded head that is sent with the first part of the body, in one system call.
        self._unsent: list[bytes] = []
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
            self._unsent.append(self._connection.send(response) or b"")
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
            data = h11.Data(data=body)
            self._unsent += self._connection.send_with_data_passthrough(data) or ()
            # Nothing refers to the body while the caller reads it.
            del body, data
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
        reset_connection(self._writer)

    def hold(self, size: int) -> bool:
        """Reserves memory for a part of the response that is kept back.

        :param size: bytes that are kept back in total.
        :returns: False if there is no room, so that it has to be sent at once.
        """
        return size <= INCLUDED_RESPONSE_BYTES or self._reservation.hold_response(size)

    def detach_request(self) -> Reservation:
        """Returns the reservation of a request that goes on without its caller.

        It must be closed once the request is no longer held.
        """
        return self._reservation.detach_request()

    async def _send(self, event: Any) -> None:
        self._unsent += self._connection.send_with_data_passthrough(event) or ()
        if self._unsent:
            self._writer.write(b"".join(self._unsent))
            self._unsent.clear()
            await self._drain()

    async def _drain(self) -> None:
        """Waits until the write buffer is below its limit.

        :raises ConnectionAbortedError: if the caller reads nothing for
            :data:`WRITE_STALL_TIMEOUT_S`, or others need the memory.
        """
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if unsent_bytes <= INCLUDED_RESPONSE_BYTES:
            await self._writer.drain()
            return
        if not self._reservation.hold_response(unsent_bytes + RELAYED_BYTES):
            self.abort()
            raise ConnectionAbortedError("no memory for a response that is not read")
        self._reservation.enter(Stage.UNREAD)
        try:
            await self._wait_until_read(unsent_bytes)
        finally:
            self._reservation.hold_response(0)
            self._reservation.enter(Stage.SERVING)

    async def _wait_until_read(self, unsent_bytes: int) -> None:
        transport = self._writer.transport
        loop = asyncio.get_running_loop()
        progress_at = loop.time()
        while True:
            try:
                async with asyncio.timeout(min(STALL_S, WRITE_STALL_TIMEOUT_S)):
                    await self._writer.drain()
                    return
            except TimeoutError:
                still_unsent = transport.get_write_buffer_size()
            if still_unsent < unsent_bytes:
                progress_at = loop.time()
                self._reservation.progress(unsent_bytes - still_unsent)
                unsent_bytes = still_unsent
            elif loop.time() - progress_at >= WRITE_STALL_TIMEOUT_S:
                self.abort()
                raise ConnectionAbortedError("the caller does not read") from None


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset; data that was not sent yet is discarded."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def close_when_sent(writer: asyncio.StreamWriter, lost: asyncio.Event) -> None:
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
                reset_connection(writer)
                return
