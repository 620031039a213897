"""Server-sent events: whole events out of parts of a body, and their ids.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

import re

# Bytes of one event. A server in trouble may send an event without an end.
MAX_EVENT_BYTES = 256 * 1024

_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
# An empty line, in any of the line endings that the standard allows.
_END = re.compile(rb"\n\r?\n|\r\r")
# Bytes of the longest end of an event.
_END_BYTES = 3


class EventReader:
    """Cuts a body into whole events and watches that their ids rise.

    :param after: id of the last event that the caller has.
    """

    __slots__ = ("_after", "_buffer", "_resumed", "_searched")

    def __init__(self, after: int | None = None, resumed: bool = False) -> None:
        self._after = after
        self._buffer = bytearray()
        # Bytes of the buffer that are known to hold no end of an event.
        self._searched = 0
        self._resumed = resumed

    @property
    def last_id(self) -> int | None:
        """Id of the last whole event, or None."""
        return self._after

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events in the data so far.

        :raises ValueError: if an event is missing after a resumption or is over
            :data:`MAX_EVENT_BYTES`.
        """
        self._buffer += data
        end = 0
        for found in _END.finditer(self._buffer, self._searched):
            end = found.end()
        if len(self._buffer) - end > MAX_EVENT_BYTES:
            raise ValueError(f"an event is over {MAX_EVENT_BYTES} bytes")
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._searched = max(0, len(self._buffer) - _END_BYTES + 1)
        if self._resumed:
            whole = self._after_resumption(whole)
        ids = _EVENT_ID.findall(whole)
        if ids:
            self._after = int(ids[-1])
        return whole

    def rest(self) -> bytes:
        """Returns what follows the last whole event."""
        return bytes(self._buffer)

    def _after_resumption(self, whole: bytes) -> bytes:
        """Drops events that the caller has and checks that none is missing."""
        kept = []
        begin = 0
        for end in _END.finditer(whole):
            event = whole[begin : end.end()]
            begin = end.end()
            found = _EVENT_ID.search(event)
            if found is not None and self._after is not None:
                number = int(found[1])
                if number <= self._after:
                    continue
                if number != self._after + 1:
                    raise ValueError(f"event {self._after + 1} is missing")
                self._after = number
            kept.append(event)
        return b"".join(kept)
