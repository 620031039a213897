"""Bounded buffer of one answer, read by routers from any retained offset."""

import asyncio
from dataclasses import dataclass

import xxhash

from heatherswitch.agent.backend import AnswerSink, Usage
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown
from heatherswitch.util.http import Headers

# Body bytes kept behind the slowest router. Bytes that were handed to gRPC may
# still be in its buffers when a connection becomes silent, and are asked for again.
RETAINED_BYTES = 512 * 1024
# A backend server waits when the slowest attached router is this far behind.
AHEAD_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The answer is complete.

    :param length: bytes in the body.
    :param checksum: xxh3-64 of the body.
    """

    length: int
    checksum: int
    usage: Usage = Usage()


Ending = WholeAnswer | NotRun | OutcomeUnknown | Failed


@dataclass(slots=True, eq=False)
class Reader:
    """The position of one router in an answer.

    :param request_id: request that the router asked for.
    :param replaced: True after the router reattached on another connection.
    """

    request_id: str
    offset: int = 0
    replaced: bool = False


class AnswerBuffer:
    """One answer as far as it has arrived."""

    __slots__ = (
        "_base",
        "_changed",
        "_data",
        "_hasher",
        "_readers",
        "_space",
        "ended_at",
        "ending",
        "fingerprint",
        "head",
        "linked",
        "replayed",
        "started",
        "work_id",
    )

    def __init__(self, work_id: str, fingerprint: str = "") -> None:
        self.work_id = work_id
        self.fingerprint = fingerprint
        # True once an answer arrives. Until then the first event waits, since a
        # refused connection to the backend server still proves "not run".
        self.started = False
        self.replayed = False
        self.head: tuple[int, Headers] | None = None
        self.ending: Ending | None = None
        self.ended_at = 0.0
        # The answer of other work with the same idempotency key.
        self.linked: AnswerBuffer | None = None
        self._data = bytearray()
        self._base = 0
        self._hasher = xxhash.xxh3_64()
        self._readers: set[Reader] = set()
        self._changed = asyncio.Event()
        self._space = asyncio.Event()

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next change; take it before looking at the state."""
        return self._changed

    @property
    def base(self) -> int:
        """Offset of the first retained byte."""
        return self._base

    @property
    def length(self) -> int:
        """Bytes that have arrived."""
        return self._base + len(self._data)

    @property
    def attached(self) -> bool:
        """True while a router reads the answer."""
        return bool(self._readers)

    def attach(self, request_id: str, offset: int) -> Reader:
        """Adds a router that has received ``offset`` bytes.

        It replaces an earlier reader of the same request, whose connection is
        silent and would hold the answer back for ever.
        """
        for earlier in [r for r in self._readers if r.request_id == request_id]:
            earlier.replaced = True
            self.detach(earlier)
        reader = Reader(request_id, offset)
        self._readers.add(reader)
        self.notify()
        return reader

    def detach(self, reader: Reader) -> None:
        """Removes a router."""
        self._readers.discard(reader)
        self._space.set()

    def take(self, reader: Reader, size: int) -> bytes:
        """Returns up to ``size`` next bytes of a router and moves its offset."""
        start = reader.offset - self._base
        data = bytes(self._data[start : start + size])
        reader.offset += len(data)
        self._space.set()
        return data

    async def append(self, data: bytes) -> None:
        """Adds a part of the body; waits while an attached router is far behind."""
        self._hasher.update(data)
        self._data += data
        self.notify()
        while self._trim() > AHEAD_BYTES:
            self._space.clear()
            await self._space.wait()

    def _trim(self) -> int:
        """Drops bytes that no router needs; returns how far the slowest is behind."""
        lowest = min((r.offset for r in self._readers), default=self.length)
        surplus = lowest - RETAINED_BYTES - self._base
        if surplus > 0:
            del self._data[:surplus]
            self._base += surplus
        return self.length - lowest

    def set_head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""
        self.started = True
        self.head = (status, headers)
        self.notify()

    def link(self, other: "AnswerBuffer") -> None:
        """Makes the readers continue with another answer."""
        self.linked = other
        self.notify()

    def end(self, now: float, ending: Ending) -> None:
        """Ends the answer; a second ending is ignored."""
        if self.ending is None:
            self.ending = ending
            self.ended_at = now
            self.notify()

    def whole(self, usage: Usage) -> WholeAnswer:
        """Returns the ending of an answer that has arrived in full."""
        return WholeAnswer(self.length, self._hasher.intdigest(), usage)

    def notify(self) -> None:
        """Wakes the readers."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class BufferSink(AnswerSink):
    """Passes an answer from the backend server into its buffer.

    :param on_first_byte: called with the status when the body begins.
    :param record_bytes: body bytes to keep for the claim's outcome.
    """

    __slots__ = ("_buffer", "_first", "_on_first_byte", "_record_bytes", "recorded")

    def __init__(self, buffer: AnswerBuffer, on_first_byte, record_bytes=0) -> None:
        self._buffer = buffer
        self._on_first_byte = on_first_byte
        self._record_bytes = record_bytes
        self._first = True
        self.recorded = bytearray()

    async def head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""
        self._buffer.set_head(status, headers)

    async def chunk(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._first:
            self._first = False
            self._on_first_byte(self._buffer.head[0])
        if len(self.recorded) < self._record_bytes:
            self.recorded += data
        await self._buffer.append(data)
