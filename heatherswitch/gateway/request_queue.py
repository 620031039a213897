"""Requests that wait in the gateway for a backend server."""

import heapq
from dataclasses import dataclass, field

# Requests that wait at once for one service, as a share of the slots of its servers.
# More would wait longer than a request runs.
QUEUE_SLOT_RATIO = 1.0
MIN_QUEUE_LENGTH = 8
# A request waits at most this share of the time that its caller gives it.
MAX_WAIT_TIME_SHARE = 0.25


@dataclass(order=True, slots=True)
class QueuedRequest:
    """One waiting request.

    :param priority: 0 is served first.
    :param expires_at: time at which the request is refused.
    """

    priority: int
    arrived_at: float
    serial: int
    expires_at: float = field(compare=False)


class RequestQueue:
    """Waiting requests of one service, the most urgent first, then by arrival."""

    __slots__ = ("_removed", "_heap")

    def __init__(self) -> None:
        self._heap: list[QueuedRequest] = []
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def add(self, queued: QueuedRequest) -> None:
        """Adds a request."""
        heapq.heappush(self._heap, queued)

    def discard(self, serial: int) -> None:
        """Removes a request that is known to wait."""
        self._removed.add(serial)
        self._prune()

    def first(self) -> QueuedRequest | None:
        """Returns the request to serve next, or None."""
        self._prune()
        return self._heap[0] if self._heap else None

    def expired(self, now: float) -> list[QueuedRequest]:
        """Returns the requests that have waited too long."""
        return [
            w
            for w in self._heap
            if w.expires_at <= now and w.serial not in self._removed
        ]

    def least_urgent(self) -> QueuedRequest | None:
        """Returns the request that yields first, or None."""
        live = [w for w in self._heap if w.serial not in self._removed]
        return max(live) if live else None

    def _prune(self) -> None:
        while self._heap and self._heap[0].serial in self._removed:
            self._removed.discard(heapq.heappop(self._heap).serial)
