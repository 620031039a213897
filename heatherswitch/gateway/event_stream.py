"""Splits a response body into complete server-sent events and tracks their ids.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

import re

# Limit on the bytes of one event, as a faulty server may send one that never ends.
MAX_EVENT_BYTES = 256 * 1024

_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
# An empty line ends an event, with any line ending that the standard allows.
_EVENT_END = re.compile(rb"\n\r?\n|\r\r")
# Length of the longest match of _EVENT_END.
_MAX_EVENT_END_BYTES = 3


class EventReader:
    """Incremental parser that returns complete events only.

    :param after: id of the last event that the caller has received, or None.
    :param resumed: the stream continues an earlier one: events that the caller already
        has are dropped, and a gap in the ids is an error.
    """

    __slots__ = ("_buffer", "_event_count", "_last_id", "_resumed", "_scanned_bytes")

    def __init__(self, after: int | None = None, resumed: bool = False) -> None:
        self._last_id = after
        self._buffer = bytearray()
        # Leading bytes of the buffer that contain no end of an event.
        self._scanned_bytes = 0
        self._event_count = 0
        self._resumed = resumed

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event that had one, or None."""
        return self._last_id

    @property
    def event_count(self) -> int:
        """Number of complete events so far, including those that were dropped."""
        return self._event_count

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that it completes.

        :raises ValueError: if an event is missing after a resumption or is over
            :data:`MAX_EVENT_BYTES`.
        """
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, self._scanned_bytes):
            end = match.end()
            self._event_count += 1
        if len(self._buffer) - end > MAX_EVENT_BYTES:
            raise ValueError(f"an event is over {MAX_EVENT_BYTES} bytes")
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._scanned_bytes = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        if self._resumed:
            complete = self._drop_delivered(complete)
        ids = _EVENT_ID.findall(complete)
        if ids:
            self._last_id = int(ids[-1])
        return complete

    def remainder(self) -> bytes:
        """Returns the incomplete event, or the line ends, at the end of the data."""
        return bytes(self._buffer)

    @property
    def inside_event(self) -> bool:
        """True if the data ends inside an event; line ends alone begin none."""
        return bool(self._buffer.strip(b"\r\n"))

    def _drop_delivered(self, complete: bytes) -> bytes:
        """Drops events that the caller already has; raises ValueError on a gap."""
        kept = []
        begin = 0
        for end in _EVENT_END.finditer(complete):
            event = complete[begin : end.end()]
            begin = end.end()
            match = _EVENT_ID.search(event)
            if match is not None and self._last_id is not None:
                number = int(match[1])
                if number <= self._last_id:
                    continue
                if number != self._last_id + 1:
                    raise ValueError(f"event {self._last_id + 1} is missing")
                self._last_id = number
            kept.append(event)
        return b"".join(kept)
