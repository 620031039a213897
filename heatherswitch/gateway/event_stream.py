"""Server-sent events: whole events out of parts of a body, and their ids.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

import re

_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_END = b"\n\n"


class EventReader:
    """Cuts a body into whole events and watches that their ids rise.

    :param after: id of the last event that the caller has.
    """

    __slots__ = ("_after", "_buffer", "_resumed")

    def __init__(self, after: int | None = None, resumed: bool = False) -> None:
        self._after = after
        self._buffer = b""
        self._resumed = resumed

    @property
    def last_id(self) -> int | None:
        """Id of the last whole event, or None."""
        return self._after

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events in the data so far.

        :raises ValueError: if an event is missing after a resumption.
        """
        self._buffer += data
        end = self._buffer.rfind(_END)
        if end < 0:
            return b""
        whole, self._buffer = (
            self._buffer[: end + len(_END)],
            self._buffer[end + len(_END) :],
        )
        if self._resumed:
            whole = self._after_resumption(whole)
        ids = _EVENT_ID.findall(whole)
        if ids:
            self._after = int(ids[-1])
        return whole

    def rest(self) -> bytes:
        """Returns what follows the last whole event."""
        return self._buffer

    def _after_resumption(self, whole: bytes) -> bytes:
        """Drops events that the caller has and checks that none is missing."""
        kept = []
        for event in whole.split(_END)[:-1]:
            found = _EVENT_ID.search(event)
            if found is not None and self._after is not None:
                number = int(found[1])
                if number <= self._after:
                    continue
                if number != self._after + 1:
                    raise ValueError(f"event {self._after + 1} is missing")
                self._after = number
            kept.append(event + _END)
        return b"".join(kept)
