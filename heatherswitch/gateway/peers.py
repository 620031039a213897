"""Exchange of server loads and cached prompt parts between gateways, without I/O.

With many gateways, each one sends to a given server only occasionally, so that the load
which the server reported has expired by the next request. Therefore one gateway, the
owner, sums the requests of all gateways at a server, and the others query it before
they send a request there.
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
from heatherswitch.gateway.model import PromptPart, Server, ServerStart
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.servers import ServerState, ServerTable
from heatherswitch.statecore.hashing import rendezvous_score

# Maximum number of load queries for one request; each costs a round trip.
MAX_LOAD_QUERIES = 3
# Validity of the totals of a service over all gateways, in seconds.
TOTALS_TTL_S = 4.0
# Seconds between two queries for these totals.
TOTALS_QUERY_INTERVAL_S = 0.5
# Key prefixes of the requests at one server, of those of a whole service, and of a
# prompt part.
SERVER_KEY_PREFIX = "server/"
SERVICE_KEY_PREFIX = "service/"
PART_KEY_PREFIX = "part/"


class PeerView:
    """Counts and cached prompt parts that this gateway shares with the others.

    :param own_id: id of this gateway in the fleet.
    :param prefixes: index of the servers that have prompt parts cached.
    """

    __slots__ = (
        "_totals_queried_at",
        "_counters",
        "_leaving",
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
        self._owners = KeyOwners(own_id)
        self._counters = SharedCounters()
        # Ids of servers whose count may have changed since the last flush.
        self._changed_servers: set[str] = set()
        # Server id to the count that was last sent to its owner.
        self._sent_counts: dict[str, int] = {}
        # Service to the requests of all other gateways, and when they were received.
        self._other_totals: dict[str, tuple[int, float]] = {}
        # Services for which a server's load was needed, so that totals are queried too.
        self._queried_services: set[str] = set()
        # Starts of servers that are leaving, to be told to the other gateways.
        self._leaving: list[ServerStart] = []
        self._refreshed_at = 0.0
        self._totals_queried_at = 0.0

    @property
    def peer_count(self) -> int:
        """Number of gateways that can be queried, including this one."""
        return len(self._owners.addresses)

    def update(self, addresses: Iterable[tuple[str, str]]) -> None:
        """Takes the gateways of the fleet as pairs of id and address."""
        self._owners.update({i: address for i, address in addresses if address})

    def mean_load(self, now: float, service: str, listed: int) -> float | None:
        """Returns the mean number of all gateways' requests per server of a service.

        :param listed: number of servers of the service.
        :returns: None if no recent totals are known.
        """
        total, told_at = self._other_totals.get(service, (0, float("-inf")))
        if now - told_at >= TOTALS_TTL_S or not listed:
            return None
        return (total + self._own_total(service)) / listed

    def load_query(
        self, now: float, serial: int, state: ServerState, queries_sent: int
    ) -> ev.QueryLoad | None:
        """Returns the query for a server's load that precedes sending a request to it.

        The count in the query already includes the request, so that two gateways that
        ask at the same time do not both take the last free slot.

        :param queries_sent: number of load queries for the request so far.
        :returns: None if the load is known or nobody can be queried.
        """
        if (
            self.peer_count < 2
            or queries_sent >= MAX_LOAD_QUERIES
            or state.has_fleet_load(now)
        ):
            return None
        self._queried_services.add(state.record.service)
        key = SERVER_KEY_PREFIX + state.record.id
        owner = self._owners.owner(now, key)
        if owner is None:
            return None
        if owner == self._own_address:
            state.set_fleet_load(now, self._counters.sum_of_others(now, key, ""))
            return None
        count = state.in_flight + 1
        self._sent_counts[state.record.id] = count
        self._changed_servers.add(state.record.id)
        return ev.QueryLoad(serial, owner, Count(key, count))

    def on_load_reply(self, now: float, event: ev.LoadReplyReceived) -> None:
        """Stores the load of a server from the owner's reply."""
        self._owners.record_response(event.peer)
        state = self._servers.get(event.key.removeprefix(SERVER_KEY_PREFIX))
        if state is not None:
            state.set_fleet_load(now, event.other_requests)

    def holder_query(
        self, now: float, serial: int, pending: Pending, state: ServerState
    ) -> ev.QueryHolder | None:
        """Returns the query for a server that has a part of the prompt cached.

        The longest shared prefix is asked for first, since a server that has its last
        part cached has the preceding ones too. Parts shared by all chats of a kind soon
        become known to every gateway.

        :param state: the server that the request is about to go to.
        :returns: None if such a server is known or nobody can be queried.
        """
        if self.peer_count < 2:
            return None
        for part in reversed(pending.request.shared_parts):
            holders = self._prefixes.holders(part.id)
            if any(
                self._can_serve_copies(now, server_id)
                and not self._servers.get(server_id).notices.busy_s(now)
                for server_id in holders
            ):
                return None
            if part.id in pending.queried_parts:
                continue
            owner = self._owners.owner(now, PART_KEY_PREFIX + part.id)
            if owner is None:
                return None
            pending.queried_parts.add(part.id)
            if owner != self._own_address:
                return ev.QueryHolder(
                    serial, owner, PrefixHolder(part.id, state.record.id)
                )
            pending.note_holder_reply(part.id)
        return None

    def on_prefix_owner_reply(self, event: ev.PrefixOwnerReplyReceived) -> None:
        """Adds the server named in an owner's reply to the prefix index.

        An empty reply adds nothing. Like all entries of the index, the new one is a
        hint: the server may have evicted the part since.
        """
        self._owners.record_response(event.peer)
        if event.holder.server:
            self._add_holder(event.holder)

    def _can_serve_copies(self, now: float, server_id: str) -> bool:
        state = self._servers.get(server_id)
        return state is not None and not (state.removed or state.is_excluded(now))

    def _add_holder(self, holder: PrefixHolder) -> None:
        self._prefixes.add([PromptPart(holder.part, 0)], holder.server)

    def _holder_reply(self, now: float, query: PrefixHolder) -> PrefixHolder:
        """Returns another server that has a part cached, and records the asking one."""
        candidates = [
            server_id
            for server_id in self._prefixes.holders(query.part)
            if server_id != query.server and self._can_serve_copies(now, server_id)
        ]
        self._add_holder(query)
        # The oldest entry, because the newest server may still be processing the part.
        return PrefixHolder(query.part, candidates[0] if candidates else "")

    def on_query_failed(self, now: float, peer: str) -> None:
        """Records that a peer did not reply to a query."""
        self._owners.record_timeout(now, peer)

    def note_changed(self, state: ServerState) -> None:
        """Marks the count of this gateway's requests at a server as changed."""
        self._changed_servers.add(state.record.id)

    def on_counts(self, now: float, event: ev.PeerCountsReceived) -> list[ev.Effect]:
        """Stores the counts of another gateway and replies if it wants a reply."""
        if not self._owners.has_address(event.peer):
            return [ev.RejectPeerMessage(event.peer)]
        self._counters.update(
            now, event.peer, event.incarnation, event.sequence, event.counts
        )
        if not event.wants_reply:
            return []
        counts = tuple(
            Count(c.key, self._total_without(now, c.key, event.peer))
            for c in event.counts
        )
        holders = tuple(self._holder_reply(now, query) for query in event.holders)
        return [ev.ReplyToPeer(event.peer, event.sequence, counts, holders)]

    def on_totals(self, now: float, event: ev.ServiceTotalsReceived) -> list[ev.Effect]:
        """Stores the sums of all other gateways' requests for whole services."""
        if not self._owners.has_address(event.peer):
            return [ev.RejectPeerMessage(event.peer)]
        self._owners.record_response(event.peer)
        for count in event.counts:
            service = count.key.removeprefix(SERVICE_KEY_PREFIX)
            # A late reply to a query for one server's load is also delivered here; its
            # key names no service and is ignored.
            if service in self._queried_services:
                self._other_totals[service] = (count.value, now)
        return []

    def crash_messages(
        self, effect: ev.PublishCrash | ev.PublishCleared
    ) -> list[ev.Effect]:
        """Returns the message that tells all other gateways what the store will.

        It arrives seconds before the record in the store, and in that time a prompt
        that is sent often can crash several servers. A lost message is not repeated.
        """
        others = self._other_addresses()
        if not others:
            return []
        if isinstance(effect, ev.PublishCleared):
            return [ev.SendCleared(others, effect)]
        return [ev.SendCrash(others, effect.report)]

    def note_leaving(self, server: Server) -> None:
        """Tells the other gateways of a server that said to this one that it leaves.

        They would learn of it from the store, seconds later over a thin link. A start
        that isn't stated can't be told from the next one.
        """
        if server.incarnation:
            self._leaving.append(ServerStart(server.id, server.incarnation))

    def owns(self, key: str) -> bool:
        """Tells whether a key falls to this gateway, or to none."""
        ids = self._owners.addresses
        if self._own_id not in ids:
            return not ids
        return self._own_id == max(ids, key=lambda i: (rendezvous_score(key, i), i))

    def is_peer(self, address: str) -> bool:
        """Returns True if a listed gateway has this address."""
        return self._owners.has_address(address)

    def flush(self, now: float) -> list[ev.Effect]:
        """Returns the messages with changed counts and, periodically, total queries."""
        if self.peer_count < 2:
            self._changed_servers.clear()
            self._leaving.clear()
            return []
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._counters.expire(now)
            self._sent_counts.clear()
            self._changed_servers.update(
                s.record.id for s in self._servers if s.in_flight
            )
        effects = [*self._send_leaving(), *self._send_changes(now)]
        if now - self._totals_queried_at >= TOTALS_QUERY_INTERVAL_S:
            self._totals_queried_at = now
            effects += self._query_totals(now)
        return effects

    def _send_leaving(self) -> list[ev.Effect]:
        starts, self._leaving = tuple(self._leaving), []
        others = self._other_addresses()
        return [ev.SendLeaving(others, starts)] if starts and others else []

    def _other_addresses(self) -> tuple[str, ...]:
        own = self._own_address
        return tuple(a for a in self._owners.addresses.values() if a != own)

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
            for owner, changed in by_owner.items()
            for counts in [tuple(changed)]
            for at in range(0, len(counts), MAX_COUNTS)
        ]

    def _query_totals(self, now: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for service in self._queried_services:
            key = SERVICE_KEY_PREFIX + service
            owner = self._owners.owner(now, key)
            if owner == self._own_address:
                self._other_totals[service] = (
                    self._counters.sum_of_others(now, key, ""),
                    now,
                )
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
        """Returns the sum for a key without one peer's count, including this gateway's."""
        own = 0
        if key.startswith(SERVICE_KEY_PREFIX):
            own = self._own_total(key.removeprefix(SERVICE_KEY_PREFIX))
        else:
            state = self._servers.get(key.removeprefix(SERVER_KEY_PREFIX))
            own = state.in_flight if state else 0
        return own + self._counters.sum_of_others(now, key, peer)
