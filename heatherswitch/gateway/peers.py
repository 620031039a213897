"""What one gateway asks of the others and tells them: loads and holders of prompts.

Among many gateways each meets a server only now and then, so what a server reported of
its load has run out by the next request. The requests of all gateways at a server are
therefore added up at one of them, its owner, which is asked before a request is sent.
Pure decisions, no input or output.
"""

from collections.abc import Iterable

from heatherswitch.fleet.counters import (
    REFRESH_INTERVAL_S,
    Count,
    KeyOwners,
    SharedCounters,
)
from heatherswitch.fleet.peer_messages import MAX_COUNTS, PrefixHolder
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import PromptPart
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.servers import ServerState, ServerTable

# Servers whose owners are asked for one request at most; each costs a round trip.
MAX_QUESTIONS = 3
# Requests of all gateways at a service hold for this long, in seconds.
TOTAL_VALID_S = 4.0
# Seconds between two questions for them.
TOTAL_EVERY_S = 0.5
# Keys of the requests at one server and at a whole service, and of a part of prompts.
SERVER_KEY = "server/"
SERVICE_KEY = "service/"
PART_KEY = "part/"


class PeerView:
    """The counts and holders that this gateway shares with the others.

    :param own_id: id of this gateway in the fleet.
    :param prefixes: what this gateway knows of the holders of parts.
    """

    __slots__ = (
        "_asked_totals_at",
        "_counters",
        "_dirty",
        "_owners",
        "_own_id",
        "_prefixes",
        "_refreshed_at",
        "_servers",
        "_services",
        "_told",
        "_totals",
    )

    def __init__(
        self, own_id: str, servers: ServerTable, prefixes: PrefixIndex
    ) -> None:
        self._own_id = own_id
        self._prefixes = prefixes
        self._servers = servers
        self._owners = KeyOwners(own_id)
        self._counters = SharedCounters()
        # Ids of servers at which the count of this gateway may have changed since.
        self._dirty: set[str] = set()
        # Id of a server to the count that its owner was told last.
        self._told: dict[str, int] = {}
        # Service to the requests of all other gateways, and when they were told.
        self._totals: dict[str, tuple[int, float]] = {}
        # Services whose servers' load was asked for.
        self._services: set[str] = set()
        self._refreshed_at = 0.0
        self._asked_totals_at = 0.0

    @property
    def known(self) -> int:
        """Gateways that can be asked, with this one."""
        return len(self._owners.addresses)

    def update(self, addresses: Iterable[tuple[str, str]]) -> None:
        """Takes the gateways of the fleet, as pairs of id and address."""
        self._owners.update({i: address for i, address in addresses if address})

    def mean_load(self, now: float, service: str, listed: int) -> float | None:
        """Returns the mean requests of all gateways at a server of a service.

        :param listed: servers of the service.
        :returns: None if the others told nothing lately.
        """
        total, told_at = self._totals.get(service, (0, float("-inf")))
        if now - told_at >= TOTAL_VALID_S or not listed:
            return None
        return (total + self._own_total(service)) / listed

    def question(
        self, now: float, serial: int, state: ServerState, asked: int
    ) -> ev.Ask | None:
        """Returns the question for a server's load before a request is sent to it.

        The count of the question already includes the request, so that two gateways
        that ask at once do not both take the last place.

        :param asked: questions for the request so far.
        :returns: None if the load is known or nobody can be asked.
        """
        if self.known < 2 or asked >= MAX_QUESTIONS or state.load_is_told(now):
            return None
        self._services.add(state.record.service)
        key = SERVER_KEY + state.record.id
        owner = self._owners.owner(now, key)
        if owner is None:
            return None
        if owner == self._own_address:
            state.note_told(now, self._counters.sum_of_others(now, key, ""))
            return None
        count = state.in_flight + 1
        self._told[state.record.id] = count
        self._dirty.add(state.record.id)
        return ev.Ask(serial, owner, Count(key, count))

    def on_load_told(self, now: float, event: ev.LoadTold) -> None:
        """Takes the answer to a question."""
        self._owners.record_response(event.peer)
        state = self._servers.get(event.key.removeprefix(SERVER_KEY))
        if state is not None:
            state.note_told(now, event.others)

    def holder_question(
        self, now: float, serial: int, pending: Pending, state: ServerState
    ) -> ev.AskHolder | None:
        """Returns the question for a server that holds a part of a prompt.

        The deepest part goes first; a server that holds it holds those before it. The
        parts that all chats of a kind share are soon known to every gateway.

        :param state: the server that the request is sent to.
        :returns: None if a holder is known or nobody can be asked.
        """
        if self.known < 2:
            return None
        for part in reversed(pending.request.shared):
            if any(self._takes_copies(i) for i in self._prefixes.holders(part.id)):
                return None
            if part.id in pending.parts_asked:
                continue
            owner = self._owners.owner(now, PART_KEY + part.id)
            if owner is None:
                return None
            pending.parts_asked.add(part.id)
            if owner != self._own_address:
                return ev.AskHolder(
                    serial, owner, PrefixHolder(part.id, state.record.id)
                )
            pending.note_told(part.id)
        return None

    def on_holder_told(self, event: ev.HolderTold) -> None:
        """Takes the answer to a question for a holder; it is a hint, as our own are."""
        self._owners.record_response(event.peer)
        if event.holder.server:
            self._note_holder(event.holder)

    def _takes_copies(self, server_id: str) -> bool:
        state = self._servers.get(server_id)
        return state is not None and not (state.gone or state.ended)

    def _note_holder(self, holder: PrefixHolder) -> None:
        self._prefixes.note([PromptPart(holder.part, 0)], holder.server)

    def _answer_holder(self, asked: PrefixHolder) -> PrefixHolder:
        """Returns a server that holds a part, and notes that another one reads it."""
        known = [
            server_id
            for server_id in self._prefixes.holders(asked.part)
            if server_id != asked.server and self._takes_copies(server_id)
        ]
        self._note_holder(asked)
        # The newest may still be reading the part.
        return PrefixHolder(asked.part, known[0] if known else "")

    def on_unanswered(self, now: float, peer: str) -> None:
        """Takes a question without an answer."""
        self._owners.record_timeout(now, peer)

    def changed(self, state: ServerState) -> None:
        """Notes that the requests of this gateway at a server changed."""
        self._dirty.add(state.record.id)

    def on_told(self, now: float, event: ev.PeerTold) -> list[ev.Effect]:
        """Takes counts of another gateway and answers if it asks."""
        if not self._owners.has_address(event.peer):
            return [ev.RefusePeer(event.peer)]
        self._counters.update(now, event.peer, event.run, event.number, event.counts)
        if not event.wants_answer:
            return []
        counts = tuple(
            Count(c.key, self._others(now, c.key, event.peer)) for c in event.counts
        )
        holders = tuple(self._answer_holder(asked) for asked in event.holders)
        return [ev.AnswerPeer(event.peer, event.number, counts, holders)]

    def on_totals(self, now: float, event: ev.TotalsTold) -> list[ev.Effect]:
        """Takes the requests of all other gateways at services."""
        if not self._owners.has_address(event.peer):
            return [ev.RefusePeer(event.peer)]
        self._owners.record_response(event.peer)
        for count in event.counts:
            service = count.key.removeprefix(SERVICE_KEY)
            # The answer to a question about a server may come too late for its request.
            if service in self._services:
                self._totals[service] = (count.value, now)
        return []

    def flush(self, now: float) -> list[ev.Effect]:
        """Returns what the other gateways must be told now."""
        if self.known < 2:
            self._dirty.clear()
            return []
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._counters.expire(now)
            self._told.clear()
            self._dirty.update(s.record.id for s in self._servers if s.in_flight)
        effects = self._tell_changes(now)
        if now - self._asked_totals_at >= TOTAL_EVERY_S:
            self._asked_totals_at = now
            effects += self._ask_totals(now)
        return effects

    def _tell_changes(self, now: float) -> list[ev.Effect]:
        by_owner: dict[str, list[Count]] = {}
        for server_id in self._dirty:
            state = self._servers.get(server_id)
            value = state.in_flight if state else 0
            owner = self._owners.owner(now, SERVER_KEY + server_id)
            if owner in (None, self._own_address):
                continue
            if self._told.get(server_id) != value:
                self._told[server_id] = value
                by_owner.setdefault(owner, []).append(
                    Count(SERVER_KEY + server_id, value)
                )
        self._dirty.clear()
        return [
            ev.TellPeer(owner, counts[at : at + MAX_COUNTS])
            for owner, told in by_owner.items()
            for counts in [tuple(told)]
            for at in range(0, len(counts), MAX_COUNTS)
        ]

    def _ask_totals(self, now: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for service in self._services:
            key = SERVICE_KEY + service
            owner = self._owners.owner(now, key)
            if owner == self._own_address:
                self._totals[service] = (
                    self._counters.sum_of_others(now, key, ""),
                    now,
                )
            elif owner is not None:
                count = Count(key, self._own_total(service))
                effects.append(ev.TellPeer(owner, (count,), wants_answer=True))
        return effects

    @property
    def _own_address(self) -> str | None:
        return self._owners.addresses.get(self._own_id)

    def _own_total(self, service: str) -> int:
        return sum(s.in_flight for s in self._servers.of_service(service))

    def _others(self, now: float, key: str, peer: str) -> int:
        """Returns the sum for a key, with the count of this gateway."""
        own = 0
        if key.startswith(SERVICE_KEY):
            own = self._own_total(key.removeprefix(SERVICE_KEY))
        else:
            state = self._servers.get(key.removeprefix(SERVER_KEY))
            own = state.in_flight if state else 0
        return own + self._counters.sum_of_others(now, key, peer)
