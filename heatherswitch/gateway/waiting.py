"""Requests that wait in the gateway for a backend server."""

import heapq
from dataclasses import dataclass, field

# Requests that wait at once for one service, as a share of the slots of its servers.
# More would wait longer than a request runs.
QUEUE_SHARE = 1.0
MIN_QUEUE = 8
# A request waits at most this share of the time that its caller gives it.
MAX_WAIT_SHARE = 0.25


@dataclass(order=True, slots=True)
class Waiter:
    """One waiting request.

    :param priority: 0 is served first.
    :param give_up_at: time at which the request is refused.
    """

    priority: int
    arrived_at: float
    serial: int
    give_up_at: float = field(compare=False)


class WaitingQueue:
    """Waiting requests of one service, the most urgent first, then by arrival."""

    __slots__ = ("_gone", "_heap")

    def __init__(self) -> None:
        self._heap: list[Waiter] = []
        self._gone: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._gone)

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        heapq.heappush(self._heap, waiter)

    def discard(self, serial: int) -> None:
        """Removes a request that is known to wait."""
        self._gone.add(serial)
        self._prune()

    def first(self) -> Waiter | None:
        """Returns the request to serve next, or None."""
        self._prune()
        return self._heap[0] if self._heap else None

    def overdue(self, now: float) -> list[Waiter]:
        """Returns the requests that have waited too long."""
        return [
            w for w in self._heap if w.give_up_at <= now and w.serial not in self._gone
        ]

    def least_urgent(self) -> Waiter | None:
        """Returns the request that yields first, or None."""
        live = [w for w in self._heap if w.serial not in self._gone]
        return max(live) if live else None

    def _prune(self) -> None:
        while self._heap and self._heap[0].serial in self._gone:
            self._gone.discard(heapq.heappop(self._heap).serial)
