"""Keeps chats at the server that has their prefix, as far as the limits allow."""

from collections import OrderedDict
from dataclasses import dataclass

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.agent.gate import not_run
from heatherswitch.fleet.admission import Admission, AdmissionLimits, Admitted, Denied
from heatherswitch.fleet.fair_queue import Ticket
from heatherswitch.fleet.outcomes import NotRun, Reason
from heatherswitch.fleet.settings import Settings
from heatherswitch.statecore.hashing import hash64

# Limits that the end of another request can lift.
HOLDABLE = frozenset({Reason.OVER_LOAD_BOUND, Reason.COLD_START})
# Chats that an agent remembers; about 0.5 MB, and over an hour of chats at the
# design size of one request a second per agent.
MAX_CHATS = 4096


class RecentChats:
    """A limited number of chats, without those noted longest ago."""

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        # Attempt with which the request came, by hash of the chat.
        self._attempts: OrderedDict[int, int] = OrderedDict()

    def attempt(self, event: ExecuteReceived) -> int | None:
        """Returns the attempt noted for the chat of a request."""
        return self._attempts.get(_chat(event))

    def add(self, event: ExecuteReceived) -> None:
        """Notes the chat of a request and its attempt; requests without one are not."""
        if not event.chat_key:
            return
        self._attempts[_chat(event)] = event.attempt
        self._attempts.move_to_end(_chat(event))
        if len(self._attempts) > MAX_CHATS:
            self._attempts.popitem(last=False)

    def discard(self, event: ExecuteReceived) -> None:
        """Forgets the chat of a request."""
        self._attempts.pop(_chat(event), None)


def _may_return(event: ExecuteReceived, settings: Settings) -> bool:
    """Tells whether attempts are left for the next agent and for a return."""
    return 0 < event.attempt <= settings.get("routing.max_attempts") - 2


def _chat(event: ExecuteReceived) -> int:
    return hash64(event.workspace, event.chat_key)


@dataclass(frozen=True, slots=True)
class Held:
    """A request that was denied and asks again.

    :param until: seconds; it is refused then.
    """

    event: ExecuteReceived
    ticket: Ticket
    until: float


class Holding:
    """Keeps requests back while a short wait can save their cached prefix.

    A held request is no load: it is neither running nor queued and does not raise
    the mean of the pool. It is admitted by the same rule as a new one.
    """

    __slots__ = ("_admission", "_displaced", "_held", "_ran")

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        # In the order of arrival.
        self._held: list[Held] = []
        # Chats that were turned away here and that ran here, the last time.
        self._displaced = RecentChats()
        self._ran = RecentChats()

    def __len__(self) -> int:
        return len(self._held)

    def elsewhere(self, event: ExecuteReceived) -> NotRun | None:
        """Refuses a request of a chat that was turned away here the last time.

        The order of the agents is the same for all routers, so that a later one has
        the prefix. If it has no room, the request returns with a higher attempt.
        """
        displaced = self._displaced.attempt(event)
        if displaced is None or not 0 < event.attempt <= displaced:
            return None
        return not_run(Reason.PREFIX_ELSEWHERE)

    def note_admitted(self, event: ExecuteReceived) -> None:
        """Notes that the prefix of a chat will be here."""
        self._ran.add(event)
        self._displaced.discard(event)

    def take(
        self,
        event: ExecuteReceived,
        ticket: Ticket,
        denied: Denied,
        settings: Settings,
        finish_in: list[float],
    ) -> bool:
        """Holds a denied request if a place may become free in time.

        Only the agent that the router prefers and one that ran the chat hold a
        request. Others have no reason to have the prefix in cache.

        :param finish_in: expected seconds until each running request ends.
        """
        wait_s = settings.get("routing.affinity_wait_s")
        wanted = settings.is_engine and settings.get("routing.policy") == "affinity"
        if not (wanted and event.idempotent and denied.reason in HOLDABLE):
            return False
        if _may_return(event, settings):
            self._displaced.add(event)
        if event.attempt != 1 and self._ran.attempt(event) is None:
            return False
        place = len(self._held)
        free_in = sorted(finish_in)[place] if place < len(finish_in) else wait_s + 1
        if wait_s <= 0 or free_in > wait_s:
            return False
        self._held.append(Held(event, ticket, event.now + wait_s))
        return True

    def settle(
        self, now: float, limits: AdmissionLimits
    ) -> tuple[Held, Admitted | Denied] | None:
        """Returns the first held request that need not wait any longer, or None.

        The caller carries out the decision before it asks again, because an
        admission changes the load.
        """
        waiting = sorted(self._held, key=lambda h: (h.ticket.priority, h.event.now))
        for held in waiting:
            decision = self._admission.decide(now, held.ticket, limits)
            lasting = isinstance(decision, Denied) and (
                decision.reason in HOLDABLE and now < held.until
            )
            if not lasting:
                self._held.remove(held)
                return held, decision
        return None

    def remove(self, work_id: str) -> bool:
        """Forgets a request whose caller left; False if it is not held."""
        count = len(self._held)
        self._held = [h for h in self._held if h.event.work_id != work_id]
        return len(self._held) < count

    def drain(self) -> list[str]:
        """Forgets all, after an order that lets nothing start; returns their ids."""
        held, self._held = self._held, []
        return [item.event.work_id for item in held]
