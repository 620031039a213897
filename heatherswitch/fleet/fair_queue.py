"""Queue of one agent: class priority, then fair share per workspace."""

import math
from dataclasses import dataclass

# A workspace counts as active for this long after its last request, in seconds.
ACTIVE_FOR_S = 10.0
# One slot in this many stays free for workspaces within their fair share.
RESERVED_SLOT_DIVISOR = 8


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request in the agent.

    :param priority: 0 is served first.
    :param share: fair-share weight of the workspace.
    :param deadline_at: seconds; the whole answer is due by then.
    """

    id: str
    workspace: str
    request_class: str
    priority: int
    share: float
    arrived_at: float
    deadline_at: float


class FairQueue:
    """Orders waiting requests and counts the use of each workspace.

    The order is class priority, then the workspace with the least use per share
    (start-time fair queueing), then arrival.
    """

    __slots__ = ("_active", "_running", "_tags", "_virtual", "_waiting")

    def __init__(self) -> None:
        # Tickets are kept in the order of their arrival.
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, Ticket] = {}
        # Virtual time at which each workspace's next request may start.
        self._tags: dict[str, float] = {}
        self._virtual = 0.0
        # Workspace to its share and the time of its last request.
        self._active: dict[str, tuple[float, float]] = {}

    @property
    def running(self) -> int:
        """Requests at the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> list[Ticket]:
        """Waiting requests in the order of their arrival."""
        return list(self._waiting.values())

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def total(self) -> int:
        """Requests waiting and running."""
        return len(self._waiting) + len(self._running)

    def add(self, ticket: Ticket) -> None:
        """Adds a request that waits."""
        self._waiting[ticket.id] = ticket
        self.note_arrival(ticket)

    def note_arrival(self, ticket: Ticket) -> None:
        """Counts the workspace as active."""
        self._active[ticket.workspace] = (ticket.share, ticket.arrived_at)

    def remove(self, ticket_id: str) -> Ticket | None:
        """Removes a request, waiting or running."""
        waiting = self._waiting.pop(ticket_id, None)
        return waiting or self._running.pop(ticket_id, None)

    def pop(self, now: float, limit: int) -> Ticket | None:
        """Moves the next request to running; None when no slot may be used.

        :param limit: requests that may run at once.
        """
        if len(self._running) >= limit:
            return None
        self._forget_inactive(now)
        reserved = limit // RESERVED_SLOT_DIVISOR
        scarce = len(self._running) >= limit - reserved
        for ticket in sorted(self._waiting.values(), key=self._order):
            if scarce and self.over_share(ticket, pending=0):
                continue
            self._start(ticket)
            return ticket
        return None

    def over_share(self, ticket: Ticket, pending: int = 1) -> bool:
        """Tells whether a workspace uses more than its share of the agent.

        :param pending: requests of it to count beside those in the agent.
        """
        weights = sum(share for share, _ in self._active.values())
        if len(self._active) < 2 or weights <= 0:
            return False
        used = self._used(ticket.workspace) + pending
        return used * weights > ticket.share * (self.total + pending)

    def ahead_of(self, ticket: Ticket) -> int:
        """Returns how many waiting requests are served before a new one."""
        urgent = 0
        equal: dict[str, tuple[int, float]] = {}
        for other in self._waiting.values():
            if other.priority < ticket.priority:
                urgent += 1
            elif other.priority == ticket.priority:
                count, _ = equal.get(other.workspace, (0, 0.0))
                equal[other.workspace] = (count + 1, other.share)
        own, _ = equal.pop(ticket.workspace, (0, 0.0))
        mine = self._tag(ticket.workspace) + own / ticket.share
        ahead = urgent + own
        for workspace, (count, share) in equal.items():
            # Requests of a workspace have tags that are 1/share apart.
            earlier = math.floor((mine - self._tag(workspace)) * share) + 1
            ahead += min(count, max(0, earlier))
        return ahead

    def displaceable(self, ticket: Ticket) -> Ticket | None:
        """Returns a waiting request that should yield its place to a new one.

        It is no more urgent, and is either of a workspace with more use per share
        than the new one will have, or of the same workspace and less urgent.
        """
        mine = (self._used(ticket.workspace) + 1) / ticket.share
        victims = []
        for other in self._waiting.values():
            use = self._used(other.workspace) / other.share
            if other.workspace == ticket.workspace:
                yields = other.priority > ticket.priority
            else:
                yields = other.priority >= ticket.priority and use > mine
            if yields:
                victims.append((use, other.priority, other.arrived_at, other.id))
        return self._waiting[max(victims)[-1]] if victims else None

    def _used(self, workspace: str) -> int:
        held = (self._waiting, self._running)
        return sum(t.workspace == workspace for group in held for t in group.values())

    def _order(self, ticket: Ticket) -> tuple[int, float, float]:
        return (ticket.priority, self._tag(ticket.workspace), ticket.arrived_at)

    def _tag(self, workspace: str) -> float:
        return max(self._tags.get(workspace, 0.0), self._virtual)

    def _start(self, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        self._running[ticket.id] = ticket
        tag = self._tag(ticket.workspace)
        self._tags[ticket.workspace] = tag + 1.0 / ticket.share
        # Priority may serve a workspace ahead of others with lower tags, so the
        # virtual time is the least tag of this start and of those that wait.
        waiting = (self._tag(t.workspace) for t in self._waiting.values())
        self._virtual = min([tag, *waiting])
        if len(self._tags) > 2 * len(self._active) + 16:
            tags = self._tags.items()
            self._tags = {w: t for w, t in tags if t > self._virtual}

    def _forget_inactive(self, now: float) -> None:
        used = {t.workspace for t in self._waiting.values()}
        used |= {t.workspace for t in self._running.values()}
        self._active = {
            workspace: (share, at)
            for workspace, (share, at) in self._active.items()
            if workspace in used or now - at <= ACTIVE_FOR_S
        }
