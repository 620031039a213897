"""Splits a response body into complete server-sent events and tracks their ids.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

import re

# Limit on the bytes of one event, as a faulty server may send one that never ends.
MAX_EVENT_BYTES = 256 * 1024

# A line ends with CR LF, LF or CR, in any mixture.
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_ID = re.compile(rb"(?<![^\r\n])id:[ ]?(\d+)(?=[\r\n])")
_DATA = re.compile(rb"(?<![^\r\n])data(?=[:\r\n])")
# Lines of a name, a colon and a value. The name is empty in comments, and the colon may
# be absent.
_FIELDS = re.compile(rb"(?:[A-Za-z0-9_-]*(?::[^\r\n]*)?[\r\n])*")
# An empty line ends an event.
_EVENT_END = re.compile(_LINE_END + _LINE_END)
# Length of the longest match of _EVENT_END.
_MAX_EVENT_END_BYTES = 4
# Clients ignore it at the start of a stream, but not in the middle.
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventReader:
    """Incremental parser that returns complete events only.

    :param after: id of the last event that the caller has received, or None.
    :param resumed: the stream continues an earlier one: events that the caller already
        has are dropped, and a gap in the ids is an error.
    :param counted: the ids so far increased by one, so that a gap shows. Others may
        increase in any steps, as those that count tokens. None if that is not known.
    """

    __slots__ = (
        "_at_start",
        "_buffer",
        "_counted",
        "_cr_returned",
        "_dropped_id",
        "_dropping",
        "_event_count",
        "_last_id",
        "_resumable",
        "_resumed",
        "_scanned_bytes",
    )

    def __init__(
        self,
        after: int | None = None,
        resumed: bool = False,
        counted: bool | None = True,
    ) -> None:
        self._last_id = after
        self._counted = None if after is None else counted
        # Id of the last event that was dropped, if any.
        self._dropped_id: int | None = None
        self._buffer = bytearray()
        # Leading bytes of the buffer that contain no end of an event.
        self._scanned_bytes = 0
        self._event_count = 0
        self._resumed = resumed
        self._resumable = True
        # No event was taken from the buffer yet.
        self._at_start = True
        # The last event ended with a CR, which may be the first half of CR LF.
        self._cr_returned = False
        # The last event was dropped.
        self._dropping = False

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event that had one, or None."""
        return self._last_id

    @property
    def counted(self) -> bool | None:
        """True if the ids increase by one, None if that is not known yet."""
        return self._counted

    @property
    def resumable(self) -> bool:
        """True unless an event without an id came last.

        A server that resumes after the last id would send that event again. A comment
        is no event in this sense.
        """
        return self._resumable

    @property
    def event_count(self) -> int:
        """Number of complete events so far, including those that were dropped.

        Empty lines alone are no event, and a comment counts as one.
        """
        return self._event_count

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that it completes.

        :raises ValueError: if an event is missing after a resumption or is over
            :data:`MAX_EVENT_BYTES`.
        """
        self._buffer += data
        complete = bytearray()
        end = 0
        if self._cr_returned and self._buffer:
            self._cr_returned = False
            if self._buffer[0:1] == b"\n":
                end = 1
                if not self._dropping:
                    complete += b"\n"
        for match in _EVENT_END.finditer(self._buffer, max(end, self._scanned_bytes)):
            complete += self._take_event(bytes(self._buffer[end : match.end()]))
            end = match.end()
            self._cr_returned = self._buffer[end - 1 : end] == b"\r"
        if len(self._buffer) - end > MAX_EVENT_BYTES:
            raise ValueError(f"an event is over {MAX_EVENT_BYTES} bytes")
        del self._buffer[:end]
        self._scanned_bytes = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        return bytes(complete)

    def remainder(self) -> bytes:
        """Returns the incomplete event, or the line ends, at the end of the data."""
        return self._without_mark(bytes(self._buffer))

    @property
    def inside_event(self) -> bool:
        """True if the data ends inside an event; line ends alone begin none."""
        data = bytes(self._buffer)
        if self._at_start:
            data = data.removeprefix(_BYTE_ORDER_MARK)
        return bool(data.strip(b"\r\n"))

    def _take_event(self, event: bytes) -> bytes:
        """Notes a complete event and returns what the caller gets of it.

        :raises ValueError: if an event is missing after a resumption, or something else
            than an event comes, such as the text of an error.
        """
        content = event.removeprefix(_BYTE_ORDER_MARK) if self._at_start else event
        event = self._without_mark(event)
        self._at_start = False
        if not content.strip(b"\r\n"):
            return b"" if self._dropping else event
        self._event_count += 1
        if self._resumed and not _FIELDS.fullmatch(content):
            raise ValueError("a line after a resumption is no field of an event")
        ids = _EVENT_ID.findall(content)
        if ids:
            number = int(ids[-1])
            if self._resumed and self._last_id is not None:
                self._dropping = number <= self._last_id
                if self._dropping:
                    self._dropped_id = number
                    return b""
                self._check_next(number)
            self._note_step(number)
            self._last_id = number
            self._resumable = True
        elif not self._dropping and _DATA.search(content):
            self._resumable = False
        return b"" if self._dropping else event

    def _note_step(self, number: int) -> None:
        """Notes whether the ids increase by one. The first one may be any."""
        if self._last_id is None:
            self._counted = True if number == 1 else None
        elif number != self._last_id + 1:
            self._counted = False
        elif self._counted is None:
            self._counted = True

    def _check_next(self, number: int) -> None:
        """Checks the id of an event that the caller does not have after a resumption.

        :raises ValueError: if an event before it is missing, or it repeats a part of the
            last one that the caller has.
        """
        if self._counted and number != self._last_id + 1:
            raise ValueError(f"event {self._last_id + 1} is missing")
        if self._dropped_id not in (None, self._last_id):
            raise ValueError(f"no event ends at {self._last_id}")
        self._dropped_id = None

    def _without_mark(self, data: bytes) -> bytes:
        """Removes the byte order mark from the start of a resumed stream."""
        if self._resumed and self._at_start:
            return data.removeprefix(_BYTE_ORDER_MARK)
        return data
