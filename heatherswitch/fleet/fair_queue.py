"""Request queue of one agent: by class priority, then fair share per workspace."""

import math
from dataclasses import dataclass

# Time for which a workspace counts as active after its last request, in seconds.
WORKSPACE_ACTIVE_S = 10.0
# One slot in this many is reserved for workspaces within their fair share.
RESERVED_SLOT_DIVISOR = 8


@dataclass(frozen=True, slots=True)
class Ticket:
    """A waiting or running request, as the queue knows it.

    :param priority: priority of the request class; 0 is served first.
    :param share: fair-share weight of the workspace.
    :param arrived_at: time of arrival, in seconds.
    :param deadline_at: time by which the whole response is due, in seconds.
    """

    id: str
    workspace: str
    request_class: str
    priority: int
    share: float
    arrived_at: float
    deadline_at: float


class FairQueue:
    """Orders waiting requests and counts the requests of each workspace.

    Requests are served by class priority, then by start-time fair queueing over the
    workspaces, then by arrival.
    """

    __slots__ = (
        "_active_workspaces",
        "_running",
        "_start_tags",
        "_virtual_time",
        "_waiting",
    )

    def __init__(self) -> None:
        # Ordered by arrival.
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, Ticket] = {}
        # Start tag of each workspace's next request, in virtual time.
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        # Workspace to its weight and the time of its last request.
        self._active_workspaces: dict[str, tuple[float, float]] = {}

    @property
    def running(self) -> int:
        """Number of requests that run at the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> list[Ticket]:
        """Waiting requests, ordered by arrival."""
        return list(self._waiting.values())

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def total(self) -> int:
        """Number of waiting and running requests."""
        return len(self._waiting) + len(self._running)

    def add(self, ticket: Ticket) -> None:
        """Adds a waiting request."""
        self._waiting[ticket.id] = ticket
        self.record_arrival(ticket)

    def record_arrival(self, ticket: Ticket) -> None:
        """Marks the workspace of a request as active, even if it is refused."""
        self._active_workspaces[ticket.workspace] = (ticket.share, ticket.arrived_at)

    def remove(self, ticket_id: str) -> Ticket | None:
        """Removes a waiting or running request; returns None when it is unknown."""
        waiting = self._waiting.pop(ticket_id, None)
        return waiting or self._running.pop(ticket_id, None)

    def pop(self, now: float, limit: int) -> Ticket | None:
        """Starts the next request and returns it, or None when no slot may be used.

        :param limit: requests that may run at once.
        """
        if len(self._running) >= limit:
            return None
        self._forget_inactive(now)
        reserved = limit // RESERVED_SLOT_DIVISOR
        only_reserved_left = len(self._running) >= limit - reserved
        for ticket in sorted(self._waiting.values(), key=self._order):
            if only_reserved_left and self.exceeds_fair_share(ticket, pending=0):
                continue
            self._start(ticket)
            return ticket
        return None

    def exceeds_fair_share(self, ticket: Ticket, pending: int = 1) -> bool:
        """Returns whether the workspace of a request holds more than its fair share.

        :param pending: further requests of the workspace to count, which are not in
            the agent yet.
        """
        total_weight = sum(share for share, _ in self._active_workspaces.values())
        if len(self._active_workspaces) < 2 or total_weight <= 0:
            return False
        used = self._request_count(ticket.workspace) + pending
        return used * total_weight > ticket.share * (self.total + pending)

    def requests_ahead_of(self, ticket: Ticket) -> int:
        """Returns the number of waiting requests that are served before a new one."""
        urgent = 0
        equal: dict[str, tuple[int, float]] = {}
        for other in self._waiting.values():
            if other.priority < ticket.priority:
                urgent += 1
            elif other.priority == ticket.priority:
                count, _ = equal.get(other.workspace, (0, 0.0))
                equal[other.workspace] = (count + 1, other.share)
        own, _ = equal.pop(ticket.workspace, (0, 0.0))
        own_tag = self._start_tag(ticket.workspace) + own / ticket.share
        ahead = urgent + own
        for workspace, (count, share) in equal.items():
            # Start tags of one workspace's requests are 1/share apart.
            earlier = math.floor((own_tag - self._start_tag(workspace)) * share) + 1
            ahead += min(count, max(0, earlier))
        return ahead

    def find_displaceable(self, ticket: Ticket) -> Ticket | None:
        """Returns a waiting request that should be refused in favour of a new one.

        It has no higher priority, and belongs either to a workspace that holds more
        requests per weight than the new one's workspace will, or to the same workspace
        and has a lower priority. Returns None when there is no such request.
        """
        new_use = (self._request_count(ticket.workspace) + 1) / ticket.share
        victims = []
        for other in self._waiting.values():
            use = self._request_count(other.workspace) / other.share
            if other.workspace == ticket.workspace:
                yields = other.priority > ticket.priority
            else:
                yields = other.priority >= ticket.priority and use > new_use
            if yields:
                victims.append((use, other.priority, other.arrived_at, other.id))
        return self._waiting[max(victims)[-1]] if victims else None

    def _request_count(self, workspace: str) -> int:
        held = (self._waiting, self._running)
        return sum(t.workspace == workspace for group in held for t in group.values())

    def _order(self, ticket: Ticket) -> tuple[int, float, float]:
        return (ticket.priority, self._start_tag(ticket.workspace), ticket.arrived_at)

    def _start_tag(self, workspace: str) -> float:
        return max(self._start_tags.get(workspace, 0.0), self._virtual_time)

    def _start(self, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        self._running[ticket.id] = ticket
        tag = self._start_tag(ticket.workspace)
        self._start_tags[ticket.workspace] = tag + 1.0 / ticket.share
        # Priority may start a request ahead of others with lower start tags, so the
        # virtual time is the lowest tag among this request and the waiting ones.
        waiting = (self._start_tag(t.workspace) for t in self._waiting.values())
        self._virtual_time = min([tag, *waiting])
        if len(self._start_tags) > 2 * len(self._active_workspaces) + 16:
            tags = self._start_tags.items()
            self._start_tags = {w: t for w, t in tags if t > self._virtual_time}

    def _forget_inactive(self, now: float) -> None:
        used = {t.workspace for t in self._waiting.values()}
        used |= {t.workspace for t in self._running.values()}
        self._active_workspaces = {
            workspace: (share, at)
            for workspace, (share, at) in self._active_workspaces.items()
            if workspace in used or now - at <= WORKSPACE_ACTIVE_S
        }
