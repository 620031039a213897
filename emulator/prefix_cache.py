"""Prefix cache of the stand-in engine, with delayed and lossy cache events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

import xxhash

TOKENS_PER_BLOCK = 16
# Older events are discarded.
MAX_RETAINED_EVENTS = 10000


def block_hashes(tokens: Sequence[str]) -> list[int]:
    """Returns the hashes of the complete blocks of a prompt.

    Each hash covers its block and all blocks before it.
    """
    hashes: list[int] = []
    parent = 0
    for start in range(0, len(tokens) - TOKENS_PER_BLOCK + 1, TOKENS_PER_BLOCK):
        block = "\n".join(tokens[start : start + TOKENS_PER_BLOCK])
        parent = xxhash.xxh3_64_intdigest(block.encode(), seed=parent)
        hashes.append(parent)
    return hashes


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used ones."""

    __slots__ = (
        "_blocks",
        "_capacity_blocks",
        "_event_gap_rate",
        "_events",
        "_random",
        "_sequence",
    )

    def __init__(
        self, capacity_blocks: int, event_gap_rate: float = 0.0, seed: int = 0
    ) -> None:
        """:param capacity_blocks: most blocks that are kept.
        :param event_gap_rate: share of events that are never published.
        """
        self._capacity_blocks = capacity_blocks
        self._event_gap_rate = event_gap_rate
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[dict[str, Any]] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, tokens: Sequence[str]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        count = 0
        for block in block_hashes(tokens):
            if block not in self._blocks:
                break
            count += TOKENS_PER_BLOCK
        return count

    def store(self, tokens: Sequence[str], now: float) -> None:
        """Adds the blocks of a prompt and evicts the least recently used ones.

        :param now: time of the cache events, in seconds since the epoch.
        """
        blocks = block_hashes(tokens)
        added = [block for block in blocks if block not in self._blocks]
        # The last block is marked as used first and so evicted first, since a block
        # cannot be reused without the blocks before it.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._capacity_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", added, now)
        self._publish("removed", removed, now)

    def clear(self, now: float, publish: bool = True) -> None:
        """Removes all blocks.

        :param publish: False suppresses the ``cleared`` event.
        """
        self._blocks.clear()
        if publish:
            self._publish("cleared", [0], now)

    def events_after(self, sequence: int, occurred_by: float) -> list[dict[str, Any]]:
        """Returns the published events above a sequence number.

        :param occurred_by: latest time of an event, in seconds since the epoch.
        """
        return [
            event
            for event in self._events
            if event["seq"] > sequence and event["time"] <= occurred_by
        ]

    def _publish(self, kind: str, blocks: list[int], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._random.random() >= self._event_gap_rate:
            hashes = [f"{block:016x}" for block in blocks]
            event = {"seq": self._sequence, "time": now, "type": kind, "blocks": hashes}
            self._events.append(event)
