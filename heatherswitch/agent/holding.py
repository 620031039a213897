"""Requests that wait a short time for their preferred server, before admission."""

from dataclasses import dataclass

from heatherswitch.agent.events import ExecuteReceived
from heatherswitch.fleet.admission import Admission, AdmissionLimits, Admitted, Denied
from heatherswitch.fleet.fair_queue import Ticket
from heatherswitch.fleet.outcomes import Reason
from heatherswitch.fleet.settings import Settings

# Limits that the end of another request can lift.
HOLDABLE = frozenset({Reason.OVER_LOAD_BOUND, Reason.COLD_START})


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

    __slots__ = ("_admission", "_held")

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        # In the order of arrival.
        self._held: list[Held] = []

    def __len__(self) -> int:
        return len(self._held)

    def take(
        self,
        event: ExecuteReceived,
        ticket: Ticket,
        denied: Denied,
        settings: Settings,
        finish_in: list[float],
    ) -> bool:
        """Holds a denied request if a place may become free in time.

        Only the agent that the router prefers holds a request. Its later choices
        have no reason to have the prefix in cache.

        :param finish_in: expected seconds until each running request ends.
        """
        wait_s = settings.get("routing.affinity_wait_s")
        wanted = settings.is_engine and settings.get("routing.policy") == "affinity"
        first = event.attempt == 1 and event.idempotent
        if not (wanted and first and denied.reason in HOLDABLE):
            return False
        if wait_s <= 0 or len(self._held) >= len(finish_in):
            return False
        if sorted(finish_in)[len(self._held)] > wait_s:
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
