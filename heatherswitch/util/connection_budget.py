"""Decides how much memory each connection of a listener may make its process hold.

What a peer can make a process hold is reserved before it is read: the connection itself,
the body that a head announces, each further part of a body without a length, and a response
that the peer doesn't take. Where there is no room, connections are given up that make no
progress; if that isn't enough, the reservation is refused. Performs no I/O.
"""

import enum
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator

# Bytes that one connection may hold beside a body: objects, a head that is incomplete,
# data that is read ahead, and what its socket has received.
CONNECTION_BYTES = 64 * 1024
# Bodies up to this size may use the whole budget, larger ones only a part of it, so that
# many large bodies leave room for ordinary requests.
SMALL_BODY_BYTES = 128 * 1024
LARGE_BODIES_SHARE = 0.75
# Seconds without progress after which a body, or a response, may be given up for others.
STALL_S = 1.0
# Bytes that a peer must send to make progress. Single bytes at intervals are none.
MIN_PROGRESS_BYTES = 4096
# Memory of a process without its connections: interpreter, libraries, configuration and
# the state of the fleet.
OWN_MEMORY_BYTES = 80_000_000
# Share of the other memory that may be reserved. The rest is for copies in transit and
# for what the allocator can't use.
RESERVABLE_SHARE = 0.7


def reservable_bytes(memory_mb: float, own_bytes: int = OWN_MEMORY_BYTES) -> int:
    """Returns the bytes that connections may reserve in a process.

    :param memory_mb: memory of the process, in megabytes. A process with less than it
        needs for itself gets the budget of a few connections.
    :param own_bytes: memory that the process needs for itself.
    """
    available = memory_mb * 1_000_000 - own_bytes
    return max(16 * CONNECTION_BYTES, int(available * RESERVABLE_SHARE))


class Stage(enum.Enum):
    """What a connection is doing, which decides when it may be given up."""

    # No whole head of the next request has arrived, and none did before.
    UNUSED = "unused"
    # A request was served before, and no further one is complete.
    IDLE = "idle"
    # Part of a body has arrived.
    RECEIVING = "receiving"
    # A whole request is being served.
    SERVING = "serving"
    # The peer doesn't take the response as fast as it is sent.
    UNREAD = "unread"
    # The request was refused, and the rest of it is dropped.
    DISCARDING = "discarding"


# Stages in which a connection may be given up only after STALL_S without progress. While
# it is discarding, its caller gets so long to read the refusal.
_STALLING = frozenset({Stage.RECEIVING, Stage.UNREAD, Stage.DISCARDING})
# In the order in which connections are given up for a request with a large body: for it,
# none that may carry an ordinary request.
_FOR_LARGE = (Stage.DISCARDING, Stage.RECEIVING, Stage.UNREAD)
# The same for a new connection or a small request.
_FOR_SMALL = (*_FOR_LARGE, Stage.UNUSED, Stage.IDLE)
# The same where connections have run out, not memory.
_FOR_CONNECTION = (
    Stage.UNUSED,
    Stage.DISCARDING,
    Stage.RECEIVING,
    Stage.UNREAD,
    Stage.IDLE,
)


class Reservation:
    """What one connection may hold.

    :ivar stage: set by :meth:`enter`.
    """

    __slots__ = (
        "_budget",
        "_give_up",
        "_progress_at",
        "_progress_bytes",
        "_request_bytes",
        "_response_bytes",
        "stage",
    )

    def __init__(
        self, budget: "ConnectionBudget", give_up: Callable[[Stage], None], now: float
    ) -> None:
        self._budget = budget
        self._give_up = give_up
        self._progress_at = now
        self._progress_bytes = 0
        self._request_bytes = 0
        self._response_bytes = 0
        self.stage = Stage.UNUSED

    @property
    def size(self) -> int:
        """Reserved bytes, with those for the connection itself."""
        return CONNECTION_BYTES + self.body_bytes + self._response_bytes

    @property
    def closed(self) -> bool:
        """True once the connection was given up or has ended."""
        return not self._budget.contains(self)

    @property
    def body_bytes(self) -> int:
        """Reserved bytes of the request."""
        return self._request_bytes * self._budget.body_copies

    @property
    def is_large(self) -> bool:
        """True if the request counts among the large bodies."""
        return self._request_bytes > SMALL_BODY_BYTES

    def enter(self, stage: Stage) -> None:
        """Changes the stage, which counts as progress."""
        self._budget.move(self, stage)

    def progress(self, received: int) -> None:
        """Notes bytes that moved; small numbers add up."""
        self._progress_bytes += received
        if self._progress_bytes >= MIN_PROGRESS_BYTES:
            self._budget.move(self, self.stage)

    def hold_request(self, size: int) -> bool:
        """Sets the bytes that the request needs beside its connection.

        :returns: False if there is no room, or the connection was given up; nothing is
            changed then.
        """
        if self.closed:
            return False
        growth = (size - self._request_bytes) * self._budget.body_copies
        if growth <= 0 or self._budget.grow(self, growth, size > SMALL_BODY_BYTES):
            self._budget.resize(self, size, self._response_bytes)
            return True
        return False

    def hold_response(self, size: int) -> bool:
        """Sets the bytes of the response that the process holds for the peer.

        :returns: False if there is no room, or the connection was given up; nothing is
            changed then.
        """
        if self.closed:
            return False
        if size <= self._response_bytes or self._budget.grow(
            self, size - self._response_bytes, large=False
        ):
            self._budget.resize(self, self._request_bytes, size)
            return True
        return False

    def detach_request(self) -> "Reservation":
        """Moves what the request holds to a reservation that outlives the connection.

        :returns: the new reservation, which is not given up and must be closed.
        """
        return self._budget.detach(self)

    def close(self) -> None:
        """Ends the reservation; a repeated call changes nothing."""
        self._budget.close(self)


class ConnectionBudget:
    """The memory and the number of connections of one listener.

    :param connections: maximum number of connections.
    :param memory_bytes: bytes that they may reserve together.
    :param clock: returns the monotonic time in seconds.
    :param body_copies: how often the process holds a body while it serves the request.
    :ivar given_up: number of connections given up so far, by their stage.
    :ivar refused: number of reservations refused so far.
    """

    __slots__ = (
        "_clock",
        "_large_bytes",
        "_reserved_bytes",
        "_stages",
        "body_copies",
        "connections",
        "given_up",
        "memory_bytes",
        "refused",
    )

    def __init__(
        self,
        connections: int,
        memory_bytes: int,
        clock: Callable[[], float] = time.monotonic,
        body_copies: int = 1,
    ) -> None:
        self.body_copies = body_copies
        self.connections = connections
        self.memory_bytes = memory_bytes
        self.given_up: Counter[Stage] = Counter()
        self.refused = 0
        self._clock = clock
        self._reserved_bytes = 0
        self._large_bytes = 0
        # In each stage, the connection without progress for the longest time is first.
        self._stages: dict[Stage, OrderedDict[Reservation, None]] = {
            stage: OrderedDict() for stage in Stage
        }

    def __len__(self) -> int:
        return sum(map(len, self._stages.values()))

    @property
    def reserved_bytes(self) -> int:
        """Bytes that the connections have reserved."""
        return self._reserved_bytes

    def open(self, give_up: Callable[[Stage], None]) -> Reservation | None:
        """Returns the reservation of a new connection; None if there is no room.

        :param give_up: called with the stage of the connection when it is given up for
            others. Its reservation has ended then; if only the memory of a body was
            needed, the reservation of the connection goes on, in the stage of those
            whose request was refused.
        """
        now = self._clock()
        reservation = Reservation(self, give_up, now)
        if len(self) >= self.connections:
            victim = next(self._candidates(now, _FOR_CONNECTION, reservation), None)
            if victim is None:
                self.refused += 1
                return None
            self._end(victim)
        if not self.grow(reservation, CONNECTION_BYTES, large=False):
            return None
        self._stages[reservation.stage][reservation] = None
        self._reserved_bytes += CONNECTION_BYTES
        return reservation

    def grow(self, reservation: Reservation, size: int, large: bool) -> bool:
        """Makes room for further bytes, if need be by giving up other connections.

        :param large: the bytes belong to a large body.
        :returns: False if there is no room; no connection is given up then.
        """
        missing = self._reserved_bytes + size - self.memory_bytes
        # One large body finds room in calm, also if its size exceeds the share.
        others = self._large_bytes - (reservation.size if reservation.is_large else 0)
        large_over = 0
        if large:
            allowed = int(self.memory_bytes * LARGE_BODIES_SHARE)
            large_over = min(others, self._large_bytes + size - allowed)
        if missing <= 0 and large_over <= 0:
            return True
        victims = []
        stages = _FOR_LARGE if large else _FOR_SMALL
        for candidate in self._candidates(self._clock(), stages, reservation):
            freed = _freed_bytes(candidate)
            if freed and (candidate.is_large or missing > 0):
                victims.append(candidate)
                missing -= freed
            if candidate.is_large:
                others -= candidate.size
                large_over = min(others, large_over - candidate.size)
            if missing <= 0 and large_over <= 0:
                break
        else:
            self.refused += 1
            return False
        for victim in victims:
            if victim.stage is Stage.RECEIVING:
                self._refuse(victim)
            else:
                self._end(victim)
        return True

    def resize(self, reservation: Reservation, request: int, response: int) -> None:
        """Changes what a connection has reserved; called by the reservation."""
        if not self.contains(reservation):
            return
        self._count(reservation, -1)
        reservation._request_bytes = request
        reservation._response_bytes = response
        self._count(reservation, 1)

    def detach(self, reservation: Reservation) -> Reservation:
        """Splits a reservation; called by the reservation."""
        detached = Reservation(self, lambda _: None, self._clock())
        detached.stage = Stage.SERVING
        self._stages[Stage.SERVING][detached] = None
        self._reserved_bytes += detached.size
        if self.contains(reservation):
            self.resize(detached, reservation._request_bytes, 0)
            self.resize(reservation, 0, reservation._response_bytes)
        return detached

    def move(self, reservation: Reservation, stage: Stage) -> None:
        """Changes the stage of a connection; called by the reservation."""
        if self._stages[reservation.stage].pop(reservation, reservation) is None:
            self._stages[stage][reservation] = None
            reservation.stage = stage
        reservation._progress_at = self._clock()
        reservation._progress_bytes = 0

    def close(self, reservation: Reservation) -> None:
        """Ends a reservation; called by the reservation."""
        if self._stages[reservation.stage].pop(reservation, reservation) is None:
            self._count(reservation, -1)

    def contains(self, reservation: Reservation) -> bool:
        """Tells whether a reservation is in force."""
        return reservation in self._stages[reservation.stage]

    def _count(self, reservation: Reservation, sign: int) -> None:
        self._reserved_bytes += sign * reservation.size
        if reservation.is_large:
            self._large_bytes += sign * reservation.size

    def _candidates(
        self, now: float, stages: tuple[Stage, ...], requester: Reservation
    ) -> Iterator[Reservation]:
        """Yields the connections that may be given up, the first one first."""
        for stage in stages:
            for reservation in self._stages[stage]:
                stalled = reservation._progress_at <= now - STALL_S
                if stage in _STALLING and not stalled:
                    break
                if reservation is not requester:
                    yield reservation

    def _end(self, victim: Reservation) -> None:
        """Gives up a connection."""
        stage = victim.stage
        self.given_up[stage] += 1
        victim.close()
        victim._give_up(stage)

    def _refuse(self, victim: Reservation) -> None:
        """Gives up a body; its connection stays until its caller knows."""
        self.given_up[Stage.RECEIVING] += 1
        self.resize(victim, 0, victim._response_bytes)
        self.move(victim, Stage.DISCARDING)
        victim._give_up(Stage.RECEIVING)


def _freed_bytes(reservation: Reservation) -> int:
    """Returns the bytes that are free once a connection has been given up."""
    if reservation.stage is Stage.RECEIVING:
        return reservation.body_bytes
    return reservation.size
