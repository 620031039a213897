"""Bounded buffer of one response, which routers read from any retained offset."""

import asyncio
from dataclasses import dataclass

import xxhash

from heatherswitch.agent.backend import ResponseSink, Usage
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.util.http import Headers

# Body bytes retained after the slowest router has read them. When a connection stalls,
# bytes already passed to gRPC may still be in its buffers and are requested again.
RETAINED_BYTES = 512 * 1024
# The response is not read further from the backend server while the slowest attached
# router has more unread bytes than this.
MAX_UNREAD_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response that was received completely.

    :param length: size of the body in bytes.
    :param checksum: xxh3-64 of the body.
    """

    length: int
    checksum: int
    usage: Usage = Usage()


Outcome = CompleteResponse | NotRun | OutcomeUnknown | Failed


@dataclass(slots=True, eq=False)
class Reader:
    """The read position of one router in a response.

    :param request_id: id of the request that the router sent or resumed.
    :param offset: body bytes that were read so far.
    :param replaced: True after the router reattached on another connection.
    """

    request_id: str
    offset: int = 0
    replaced: bool = False


class ResponseBuffer:
    """The part of one response that was received so far, with its readers."""

    __slots__ = (
        "_base",
        "_changed",
        "_data",
        "_hasher",
        "_readers",
        "_space_available",
        "ended_at",
        "fingerprint",
        "head",
        "job_id",
        "linked",
        "outcome",
        "replayed",
        "started",
    )

    def __init__(self, job_id: str, fingerprint: str = "") -> None:
        self.job_id = job_id
        self.fingerprint = fingerprint
        # True once the response head was received. Before that, routers get no event
        # until a ping is due, so that a request whose connection to the backend server
        # is refused can still be refused as "not run".
        self.started = False
        self.replayed = False
        self.head: tuple[int, Headers] | None = None
        self.outcome: Outcome | None = None
        self.ended_at = 0.0
        # Response of another job with the same idempotency key, read instead of this.
        self.linked: ResponseBuffer | None = None
        self._data = bytearray()
        self._base = 0
        self._hasher = xxhash.xxh3_64()
        self._readers: set[Reader] = set()
        self._changed = asyncio.Event()
        self._space_available = asyncio.Event()

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next change; get it before reading the state to miss no change."""
        return self._changed

    @property
    def base(self) -> int:
        """Offset of the first retained byte."""
        return self._base

    @property
    def length(self) -> int:
        """Number of body bytes received."""
        return self._base + len(self._data)

    @property
    def attached(self) -> bool:
        """True while any router is attached."""
        return bool(self._readers)

    def attach(self, request_id: str, offset: int) -> Reader:
        """Attaches a router that has received ``offset`` bytes; returns its reader.

        An earlier reader of the same request is detached. Its connection has stalled
        and would otherwise block the response forever.
        """
        for earlier in [r for r in self._readers if r.request_id == request_id]:
            earlier.replaced = True
            self.detach(earlier)
        reader = Reader(request_id, offset)
        self._readers.add(reader)
        self.notify()
        return reader

    def detach(self, reader: Reader) -> None:
        """Detaches a router, which no longer limits how far the response is read."""
        self._readers.discard(reader)
        self._space_available.set()

    def read(self, reader: Reader, size: int) -> bytes:
        """Returns at most the next ``size`` bytes for a reader and advances it."""
        start = reader.offset - self._base
        data = bytes(self._data[start : start + size])
        reader.offset += len(data)
        self._space_available.set()
        return data

    async def append(self, data: bytes) -> None:
        """Appends body bytes; waits while a reader is too far behind."""
        self._hasher.update(data)
        self._data += data
        self.notify()
        while self._trim() > MAX_UNREAD_BYTES:
            self._space_available.clear()
            await self._space_available.wait()

    def _trim(self) -> int:
        """Drops surplus bytes; returns how many the slowest reader has not read."""
        lowest = min((r.offset for r in self._readers), default=self.length)
        surplus = lowest - RETAINED_BYTES - self._base
        if surplus > 0:
            del self._data[:surplus]
            self._base += surplus
        return self.length - lowest

    def set_head(self, status: int, headers: Headers) -> None:
        """Sets status and headers."""
        self.started = True
        self.head = (status, headers)
        self.notify()

    def redirect_readers(self, other: "ResponseBuffer") -> None:
        """Makes the readers continue with another response."""
        self.linked = other
        self.notify()

    def end(self, now: float, outcome: Outcome) -> None:
        """Sets the outcome, unless one is set already."""
        if self.outcome is None:
            self.outcome = outcome
            self.ended_at = now
            self.notify()

    def complete_response(self, usage: Usage) -> CompleteResponse:
        """Returns the outcome of a response whose whole body was appended."""
        return CompleteResponse(self.length, self._hasher.intdigest(), usage)

    def notify(self) -> None:
        """Wakes all tasks that wait for :attr:`changed`."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class BufferSink(ResponseSink):
    """Writes a response from the backend server into its buffer.

    :param on_first_byte: called with the status at the first part of the body.
    :param record_limit_bytes: no more of the body is kept for the claim's recorded
        outcome once this many bytes are.
    """

    __slots__ = (
        "_buffer",
        "_first_chunk",
        "_on_first_byte",
        "_record_limit_bytes",
        "recorded_body",
    )

    def __init__(
        self, buffer: ResponseBuffer, on_first_byte, record_limit_bytes=0
    ) -> None:
        self._buffer = buffer
        self._on_first_byte = on_first_byte
        self._record_limit_bytes = record_limit_bytes
        self._first_chunk = True
        self.recorded_body = bytearray()

    async def head(self, status: int, headers: Headers) -> None:
        """Sets status and headers."""
        self._buffer.set_head(status, headers)

    async def chunk(self, data: bytes) -> None:
        """Appends a part of the body."""
        if self._first_chunk:
            self._first_chunk = False
            self._on_first_byte(self._buffer.head[0])
        if len(self.recorded_body) < self._record_limit_bytes:
            self.recorded_body += data
        await self._buffer.append(data)
