"""Queue of requests that wait in the gateway for a free backend server."""

import heapq
from dataclasses import dataclass, field

# Maximum number of queued requests of a service over all gateways, as a multiple of its
# servers' slots. Requests in a longer queue would wait longer than a request runs.
QUEUE_SLOT_RATIO = 1.0
MIN_QUEUE_LENGTH = 8
# Maximum share of the time until the deadline that a request spends in the queue.
MAX_WAIT_TIME_SHARE = 0.25


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A waiting request, ordered by priority and then by arrival.

    :param priority: 0 is served first.
    :param expires_at: time at which the request is refused.
    """

    priority: int
    arrived_at: float
    serial: int
    expires_at: float = field(compare=False)


class RequestQueue:
    """Priority queue of the waiting requests of one service."""

    __slots__ = ("_removed", "_heap")

    def __init__(self) -> None:
        self._heap: list[QueuedRequest] = []
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def add(self, queued: QueuedRequest) -> None:
        """Adds a waiting request."""
        heapq.heappush(self._heap, queued)

    def discard(self, serial: int) -> None:
        """Removes a request, which must be in the queue."""
        self._removed.add(serial)
        self._prune()

    def first(self) -> QueuedRequest | None:
        """Returns the request to serve next, or None."""
        self._prune()
        return self._heap[0] if self._heap else None

    def expired(self, now: float) -> list[QueuedRequest]:
        """Returns the requests that have waited too long; they stay in the queue."""
        return [
            w
            for w in self._heap
            if w.expires_at <= now and w.serial not in self._removed
        ]

    def least_urgent(self) -> QueuedRequest | None:
        """Returns the request that a more urgent one displaces first, or None."""
        live = [w for w in self._heap if w.serial not in self._removed]
        return max(live) if live else None

    def _prune(self) -> None:
        while self._heap and self._heap[0].serial in self._removed:
            self._removed.discard(heapq.heappop(self._heap).serial)
