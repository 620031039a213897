"""Holds received data until it is parsed, and divides it into steps."""

# Bytes that are parsed in one step, and line ends up to which more are. The time of a
# step grows with the headers, chunks or events in it, each of which has a line end.
STEP_BYTES = 8 * 1024
STEP_LINES = 512


class ReceivedData:
    """Data of a connection that is not parsed yet, and whether its end has arrived."""

    __slots__ = ("_buffer", "_ended")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._ended = False

    def __bool__(self) -> bool:
        return self._ended or bool(self._buffer)

    @property
    def ended(self) -> bool:
        """True if the end of the data has arrived and was not taken yet."""
        return self._ended

    def append(self, data: bytes) -> None:
        """Adds the data of one read; empty data is the end."""
        self._buffer += data
        self._ended = self._ended or not data

    def take(self) -> bytes | bytearray:
        """Removes and returns the data of the next step; empty data is the end."""
        buffer = self._buffer
        if not buffer:
            self._ended = False
            return b""
        if len(buffer) > STEP_BYTES:
            end = max(STEP_BYTES, min(_skip(buffer, b"\n"), _skip(buffer, b"\r")))
            if end < len(buffer):
                data = bytes(buffer[:end])
                del buffer[:end]
                return data
        self._buffer = bytearray()
        return buffer


def _skip(data: bytearray, line_end: bytes) -> int:
    """Returns the index after :data:`STEP_LINES` line ends, or the end of the data."""
    index = 0
    for _ in range(STEP_LINES):
        index = data.find(line_end, index) + 1
        if not index:
            return len(data)
    return index
