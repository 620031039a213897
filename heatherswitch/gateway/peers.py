"""What one gateway asks of the others and tells them: loads and holders of prompts.

Among many gateways each meets a server only now and then, so what a server reported of
its load has run out by the next request. The requests of all gateways at a server are
therefore added up at one of them, its owner, which is asked before a request is sent.
Pure decisions, no input or output.
"""

from collections.abc import Iterable

from heatherswitch.fleet.counters import REFRESH_S, Count, Owners, SharedCounters
from heatherswitch.fleet.peer_messages import MAX_COUNTS, Holder
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.model import PromptPart
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.servers import ServerState, ServerTable

# Servers whose owners are asked for one request at most; each costs a round trip.
MAX_LOAD_QUERIES = 3
# Requests of all gateways at a service hold for this long, in seconds.
TOTALS_TTL_S = 4.0
# Seconds between two questions for them.
TOTALS_QUERY_INTERVAL_S = 0.5
# Keys of the requests at one server and at a whole service, and of a part of prompts.
SERVER_KEY_PREFIX = "server/"
SERVICE_KEY_PREFIX = "service/"
PART_KEY_PREFIX = "part/"


class PeerView:
    """The counts and holders that this gateway shares with the others.

    :param own_id: id of this gateway in the fleet.
    :param prefixes: what this gateway knows of the holders of parts.
    """

    __slots__ = (
        "_totals_queried_at",
        "_counters",
        "_changed_servers",
        "_owners",
        "_own_id",
        "_prefixes",
        "_refreshed_at",
        "_servers",
        "_queried_services",
        "_sent_counts",
        "_other_totals",
    )

    def __init__(
        self, own_id: str, servers: ServerTable, prefixes: PrefixIndex
    ) -> None:
        self._own_id = own_id
        self._prefixes = prefixes
        self._servers = servers
        self._owners = Owners(own_id)
        self._counters = SharedCounters()
        # Ids of servers at which the count of this gateway may have changed since.
        self._changed_servers: set[str] = set()
        # Id of a server to the count that its owner was told last.
        self._sent_counts: dict[str, int] = {}
        # Service to the requests of all other gateways, and when they were told.
        self._other_totals: dict[str, tuple[int, float]] = {}
        # Services whose servers' load was asked for.
        self._queried_services: set[str] = set()
        self._refreshed_at = 0.0
        self._totals_queried_at = 0.0

    @property
    def peer_count(self) -> int:
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
        total, told_at = self._other_totals.get(service, (0, float("-inf")))
        if now - told_at >= TOTALS_TTL_S or not listed:
            return None
        return (total + self._own_total(service)) / listed

    def load_query(
        self, now: float, serial: int, state: ServerState, asked: int
    ) -> ev.QueryLoad | None:
        """Returns the question for a server's load before a request is sent to it.

        The count of the question already includes the request, so that two gateways
        that ask at once do not both take the last place.

        :param asked: questions for the request so far.
        :returns: None if the load is known or nobody can be asked.
        """
        if (
            self.peer_count < 2
            or asked >= MAX_LOAD_QUERIES
            or state.has_fleet_load(now)
        ):
            return None
        self._queried_services.add(state.record.service)
        key = SERVER_KEY_PREFIX + state.record.id
        owner = self._owners.owner(now, key)
        if owner is None:
            return None
        if owner == self._own_address:
            state.set_fleet_load(now, self._counters.others(now, key, ""))
            return None
        count = state.in_flight + 1
        self._sent_counts[state.record.id] = count
        self._changed_servers.add(state.record.id)
        return ev.QueryLoad(serial, owner, Count(key, count))

    def on_load_reply(self, now: float, event: ev.LoadReplyReceived) -> None:
        """Takes the answer to a question."""
        self._owners.answered(event.peer)
        state = self._servers.get(event.key.removeprefix(SERVER_KEY_PREFIX))
        if state is not None:
            state.set_fleet_load(now, event.other_requests)

    def holder_query(
        self, now: float, serial: int, pending: Pending, state: ServerState
    ) -> ev.QueryHolder | None:
        """Returns the question for a server that holds a part of a prompt.

        The deepest part goes first; a server that holds it holds those before it. The
        parts that all chats of a kind share are soon known to every gateway.

        :param state: the server that the request is sent to.
        :returns: None if a holder is known or nobody can be asked.
        """
        if self.peer_count < 2:
            return None
        for part in reversed(pending.request.shared_parts):
            if any(self._can_serve_copies(i) for i in self._prefixes.holders(part.id)):
                return None
            if part.id in pending.queried_parts:
                continue
            owner = self._owners.owner(now, PART_KEY_PREFIX + part.id)
            if owner is None:
                return None
            pending.queried_parts.add(part.id)
            if owner != self._own_address:
                return ev.QueryHolder(serial, owner, Holder(part.id, state.record.id))
            pending.note_holder_reply(part.id)
        return None

    def on_holder_reply(self, event: ev.HolderReplyReceived) -> None:
        """Takes the answer to a question for a holder; it is a hint, as our own are."""
        self._owners.answered(event.peer)
        if event.holder.server:
            self._add_holder(event.holder)

    def _can_serve_copies(self, server_id: str) -> bool:
        state = self._servers.get(server_id)
        return state is not None and not (state.removed or state.connection_refused)

    def _add_holder(self, holder: Holder) -> None:
        self._prefixes.add([PromptPart(holder.part, 0)], holder.server)

    def _holder_reply(self, asked: Holder) -> Holder:
        """Returns a server that holds a part, and notes that another one reads it."""
        known = [
            server_id
            for server_id in self._prefixes.holders(asked.part)
            if server_id != asked.server and self._can_serve_copies(server_id)
        ]
        self._add_holder(asked)
        # The newest may still be reading the part.
        return Holder(asked.part, known[0] if known else "")

    def on_query_failed(self, now: float, peer: str) -> None:
        """Takes a question without an answer."""
        self._owners.missed(now, peer)

    def note_changed(self, state: ServerState) -> None:
        """Notes that the requests of this gateway at a server changed."""
        self._changed_servers.add(state.record.id)

    def on_counts(self, now: float, event: ev.PeerCountsReceived) -> list[ev.Effect]:
        """Takes counts of another gateway and answers if it asks."""
        if not self._owners.knows(event.peer):
            return [ev.RejectPeerMessage(event.peer)]
        self._counters.note(
            now, event.peer, event.incarnation, event.sequence, event.counts
        )
        if not event.wants_reply:
            return []
        counts = tuple(
            Count(c.key, self._total_without(now, c.key, event.peer))
            for c in event.counts
        )
        holders = tuple(self._holder_reply(asked) for asked in event.holders)
        return [ev.ReplyToPeer(event.peer, event.sequence, counts, holders)]

    def on_totals(self, now: float, event: ev.ServiceTotalsReceived) -> list[ev.Effect]:
        """Takes the requests of all other gateways at services."""
        if not self._owners.knows(event.peer):
            return [ev.RejectPeerMessage(event.peer)]
        self._owners.answered(event.peer)
        for count in event.counts:
            service = count.key.removeprefix(SERVICE_KEY_PREFIX)
            # The answer to a question about a server may come too late for its request.
            if service in self._queried_services:
                self._other_totals[service] = (count.value, now)
        return []

    def flush(self, now: float) -> list[ev.Effect]:
        """Returns what the other gateways must be told now."""
        if self.peer_count < 2:
            self._changed_servers.clear()
            return []
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._counters.expire(now)
            self._sent_counts.clear()
            self._changed_servers.update(
                s.record.id for s in self._servers if s.in_flight
            )
        effects = self._send_changes(now)
        if now - self._totals_queried_at >= TOTALS_QUERY_INTERVAL_S:
            self._totals_queried_at = now
            effects += self._query_totals(now)
        return effects

    def _send_changes(self, now: float) -> list[ev.Effect]:
        by_owner: dict[str, list[Count]] = {}
        for server_id in self._changed_servers:
            state = self._servers.get(server_id)
            value = state.in_flight if state else 0
            owner = self._owners.owner(now, SERVER_KEY_PREFIX + server_id)
            if owner in (None, self._own_address):
                continue
            if self._sent_counts.get(server_id) != value:
                self._sent_counts[server_id] = value
                by_owner.setdefault(owner, []).append(
                    Count(SERVER_KEY_PREFIX + server_id, value)
                )
        self._changed_servers.clear()
        return [
            ev.SendCounts(owner, counts[at : at + MAX_COUNTS])
            for owner, told in by_owner.items()
            for counts in [tuple(told)]
            for at in range(0, len(counts), MAX_COUNTS)
        ]

    def _query_totals(self, now: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for service in self._queried_services:
            key = SERVICE_KEY_PREFIX + service
            owner = self._owners.owner(now, key)
            if owner == self._own_address:
                self._other_totals[service] = (self._counters.others(now, key, ""), now)
            elif owner is not None:
                count = Count(key, self._own_total(service))
                effects.append(ev.SendCounts(owner, (count,), wants_reply=True))
        return effects

    @property
    def _own_address(self) -> str | None:
        return self._owners.addresses.get(self._own_id)

    def _own_total(self, service: str) -> int:
        return sum(s.in_flight for s in self._servers.for_service(service))

    def _total_without(self, now: float, key: str, peer: str) -> int:
        """Returns the sum for a key, with the count of this gateway."""
        own = 0
        if key.startswith(SERVICE_KEY_PREFIX):
            own = self._own_total(key.removeprefix(SERVICE_KEY_PREFIX))
        else:
            state = self._servers.get(key.removeprefix(SERVER_KEY_PREFIX))
            own = state.in_flight if state else 0
        return own + self._counters.others(now, key, peer)
