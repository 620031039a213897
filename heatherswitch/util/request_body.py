"""Collects the body of a request without copying it."""

import mmap
from collections.abc import Iterator, Sequence

# Bodies up to this size are kept as bytes.
BLOCKLESS_BYTES = 64 * 1024
# Size of a block if the length of the body is not known.
BLOCK_BYTES = 256 * 1024
# Size of the parts in which a body is passed on.
PART_BYTES = 64 * 1024

BodyPart = bytes | memoryview


class BodyBuffer:
    """The part of a body that was received so far.

    A large body is kept in memory mappings. They hold only what was written to them, and
    return to the system once the body is dropped; the allocator would keep them for later
    use between other objects.

    :param length: length of the body in bytes if it is known.
    """

    __slots__ = ("_blocks", "_free", "_length", "_size", "_small")

    def __init__(self, length: int | None = None) -> None:
        self._length = length
        self._size = 0
        self._small = bytearray()
        self._blocks: list[mmap.mmap] = []
        # Bytes of the last block that are not written yet.
        self._free = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes | bytearray) -> None:
        """Adds received bytes; no more than the length in total, if it is known."""
        self._size += len(data)
        if not self._blocks and self._size <= BLOCKLESS_BYTES:
            self._small += data
            return
        if self._small:
            data = self._small + data
            self._small = bytearray()
        self._write(memoryview(data))

    def parts(self) -> list[BodyPart]:
        """Returns the body as bytes, or as one view for each block."""
        if not self._blocks:
            return [bytes(self._small)] if self._small else []
        views = [memoryview(block) for block in self._blocks]
        views[-1] = views[-1][: len(views[-1]) - self._free]
        return views

    def _write(self, data: memoryview) -> None:
        while data:
            if not self._free:
                self._add_block(len(data))
            taken = min(self._free, len(data))
            self._blocks[-1].write(data[:taken])
            self._free -= taken
            data = data[taken:]

    def _add_block(self, needed: int) -> None:
        held = sum(map(len, self._blocks))
        rest = BLOCK_BYTES if self._length is None else self._length - held
        self._free = max(rest, needed)
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._blocks.append(mmap.mmap(-1, self._free, flags=flags))


def transfer_parts(parts: Sequence[BodyPart]) -> Iterator[BodyPart]:
    """Yields a body in parts of at most :data:`PART_BYTES`."""
    for part in parts:
        if len(part) <= PART_BYTES:
            yield part
            continue
        view = memoryview(part)
        for at in range(0, len(view), PART_BYTES):
            yield view[at : at + PART_BYTES]
