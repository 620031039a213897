"""Prefix cache of the stand-in engine, with late and incomplete events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

import xxhash

# Tokens of one cached block.
BLOCK_TOKENS = 16
# Events kept for readers; older ones are lost to them.
MAX_EVENTS = 10000


def block_hashes(tokens: Sequence[str]) -> list[int]:
    """Returns the chained hashes of the complete blocks of a prompt."""
    hashes: list[int] = []
    parent = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = "\n".join(tokens[start : start + BLOCK_TOKENS])
        parent = xxhash.xxh3_64_intdigest(block.encode(), seed=parent)
        hashes.append(parent)
    return hashes


class PrefixCache:
    """Least recently used blocks in limited memory."""

    __slots__ = ("_blocks", "_capacity", "_events", "_gap_rate", "_random", "_sequence")

    def __init__(self, capacity: int, gap_rate: float = 0.0, seed: int = 0) -> None:
        """:param capacity: number of blocks.
        :param gap_rate: share of events that are never published.
        """
        self._capacity = capacity
        self._gap_rate = gap_rate
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, tokens: Sequence[str]) -> int:
        """Returns the length of the cached prefix in tokens."""
        count = 0
        for block in block_hashes(tokens):
            if block not in self._blocks:
                break
            count += BLOCK_TOKENS
        return count

    def store(self, tokens: Sequence[str], now: float) -> None:
        """Keeps the blocks of a prompt and evicts those used least recently."""
        blocks = block_hashes(tokens)
        added = [block for block in blocks if block not in self._blocks]
        # From the last to the first, because a block is of no use without the
        # blocks before it and must therefore be evicted first.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", added, now)
        self._publish("removed", removed, now)

    def clear(self, now: float, publish: bool = True) -> None:
        """Drops all blocks, with or without an event."""
        self._blocks.clear()
        if publish:
            self._publish("cleared", [0], now)

    def events_after(self, sequence: int, before: float) -> list[dict[str, Any]]:
        """Returns published events above a number that happened before a time."""
        return [
            event
            for event in self._events
            if event["seq"] > sequence and event["time"] <= before
        ]

    def _publish(self, kind: str, blocks: list[int], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._random.random() >= self._gap_rate:
            hashes = [f"{block:016x}" for block in blocks]
            event = {"seq": self._sequence, "time": now, "type": kind, "blocks": hashes}
            self._events.append(event)
