"""Delays requests so that chats can stay at the agent that cached their prefix."""

from collections import OrderedDict
from dataclasses import dataclass

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.agent.request_policy import not_run
from heatherswitch.fleet.admission import Admission, AdmissionLimits, Admitted, Denied
from heatherswitch.fleet.fair_queue import Ticket
from heatherswitch.fleet.outcomes import NotRun, Reason
from heatherswitch.fleet.settings import Settings
from heatherswitch.statecore.hashing import hash64

# Reasons of a denial that may cease to apply when another request ends.
TRANSIENT_REASONS = frozenset({Reason.OVER_LOAD_BOUND, Reason.COLD_START})
# Number of chats that an agent remembers. They take about 0.5 MB and last over an hour
# at the planned load of one request per second and agent.
MAX_RECENT_CHATS = 4096


class RecentChats:
    """The chats that were added last, up to a fixed number."""

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        # Number of the attempt in the request, by hash of the chat.
        self._attempts: OrderedDict[int, int] = OrderedDict()

    def attempt(self, event: ExecuteReceived) -> int | None:
        """Returns the attempt number stored for the chat of a request, or None."""
        return self._attempts.get(_chat_hash(event))

    def add(self, event: ExecuteReceived) -> None:
        """Stores the attempt number for the chat of a request, if it has a chat."""
        if not event.chat_key:
            return
        self._attempts[_chat_hash(event)] = event.attempt
        self._attempts.move_to_end(_chat_hash(event))
        if len(self._attempts) > MAX_RECENT_CHATS:
            self._attempts.popitem(last=False)

    def discard(self, event: ExecuteReceived) -> None:
        """Removes the chat of a request."""
        self._attempts.pop(_chat_hash(event), None)


def _has_spare_attempts(event: ExecuteReceived, settings: Settings) -> bool:
    """Returns whether attempts are left for the next agent and to come back here."""
    return 0 < event.attempt <= settings.get("routing.max_attempts") - 2


def _chat_hash(event: ExecuteReceived) -> int:
    return hash64(event.workspace, event.chat_key)


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A denied request that waits for another admission decision.

    :param refuse_at: time in seconds at which it is refused.
    """

    event: ExecuteReceived
    ticket: Ticket
    refuse_at: float


class AffinityQueue:
    """Holds denied requests for a short time instead of losing their cached prefix.

    At another agent the prompt prefix would have to be computed again. A held request
    does not count as load: it is neither running nor queued and does not raise the mean
    of the pool. It is admitted by the same rules as a new one.
    """

    __slots__ = ("_admission", "_held", "_redirected", "_served")

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        # In order of arrival.
        self._held: list[HeldRequest] = []
        # Chats whose last request was denied here, and whose last request ran here.
        self._redirected = RecentChats()
        self._served = RecentChats()

    def __len__(self) -> int:
        return len(self._held)

    def prefix_refusal(self, event: ExecuteReceived) -> NotRun | None:
        """Refuses a request whose chat was denied here the last time, or returns None.

        All routers try the agents of a chat in the same order, so a later one has the
        prefix. If that agent has no capacity, the request comes back with a higher
        attempt number.
        """
        redirected_attempt = self._redirected.attempt(event)
        if redirected_attempt is None or not 0 < event.attempt <= redirected_attempt:
            return None
        return not_run(Reason.PREFIX_ELSEWHERE)

    def note_admitted(self, event: ExecuteReceived) -> None:
        """Notes that this agent will cache the prefix of a chat."""
        self._served.add(event)
        self._redirected.discard(event)

    def hold(
        self,
        event: ExecuteReceived,
        ticket: Ticket,
        denied: Denied,
        settings: Settings,
        expected_remaining_s: list[float],
    ) -> bool:
        """Holds a denied request if a running one is expected to end in time.

        Only the agent that the router prefers and one that ran the chat before hold a
        request, because others are unlikely to have the prefix in their cache.

        :param expected_remaining_s: expected seconds until each running request ends.
        :returns: False if the request must be refused.
        """
        wait_s = settings.get("routing.affinity_wait_s")
        enabled = settings.is_engine and settings.get("routing.policy") == "affinity"
        if not (enabled and event.idempotent and denied.reason in TRANSIENT_REASONS):
            return False
        if _has_spare_attempts(event, settings):
            self._redirected.add(event)
        if event.attempt != 1 and self._served.attempt(event) is None:
            return False
        position = len(self._held)
        slot_free_s = (
            sorted(expected_remaining_s)[position]
            if position < len(expected_remaining_s)
            else wait_s + 1
        )
        if wait_s <= 0 or slot_free_s > wait_s:
            return False
        self._held.append(HeldRequest(event, ticket, event.now + wait_s))
        return True

    def next_decision(
        self, now: float, limits: AdmissionLimits
    ) -> tuple[HeldRequest, Admitted | Denied] | None:
        """Removes and returns the first held request with a final decision, or None.

        The caller must apply the decision before the next call, because an admission
        changes the load.
        """
        by_priority = sorted(self._held, key=lambda h: (h.ticket.priority, h.event.now))
        for held in by_priority:
            decision = self._admission.decide(now, held.ticket, limits)
            still_held = isinstance(decision, Denied) and (
                decision.reason in TRANSIENT_REASONS and now < held.refuse_at
            )
            if not still_held:
                self._held.remove(held)
                return held, decision
        return None

    def remove(self, job_id: str) -> bool:
        """Removes a request whose caller disconnected; returns False if not held."""
        count = len(self._held)
        self._held = [h for h in self._held if h.event.job_id != job_id]
        return len(self._held) < count

    def drain(self) -> list[str]:
        """Removes all held requests, which may not be started; returns their ids."""
        held, self._held = self._held, []
        return [item.event.job_id for item in held]
