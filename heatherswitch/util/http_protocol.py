"""Receives the bytes of a server's connection and notices its end."""

import asyncio

# Bytes that are read from a connection at once, and that it may have received beside the
# request that is being served.
READ_BYTES = 32 * 1024


class StreamProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Stream protocol with events that are set when the connection closes.

    :class:`asyncio.StreamReader` detects this only by a read, which would consume the
    bytes of a pipelined request.

    All connections read into one buffer, so that none holds more than it has received.

    :ivar closed: set when the peer has closed its side, or the connection has ended.
    :ivar lost: set when the connection has ended.
    :ivar received_bytes: bytes received so far.
    """

    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, on_connection, loop: asyncio.AbstractEventLoop) -> None:
        self.closed = asyncio.Event()
        self.lost = asyncio.Event()
        self.received_bytes = 0
        self._on_connection = on_connection
        # Reading pauses once more than twice the limit is unread.
        super().__init__(
            asyncio.StreamReader(READ_BYTES // 2, loop), self._connected, loop
        )

    async def _connected(self, reader, writer) -> None:
        await self._on_connection(reader, writer, self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received data to the reader and counts it."""
        self.received_bytes += nbytes
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Sets :attr:`closed` when the peer has sent its last byte."""
        self.closed.set()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Sets both events when the connection is lost or closed."""
        self.closed.set()
        self.lost.set()
        super().connection_lost(exc)
