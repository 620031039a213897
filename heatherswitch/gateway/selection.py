"""Chooses the backend server of a request. Pure decisions, no input or output."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from heatherswitch.fleet.shares import FleetView
from heatherswitch.gateway.model import CallerRequest, Service
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.servers import CONNECTION_SHARE, ServerState
from heatherswitch.statecore.hashing import hash64, unit_hash

# A model server may hold this multiple of the mean load, plus a number of requests,
# before a chat goes elsewhere and its prompt must be copied. The platform's own bound is
# twice the mean plus three; the rest is left for loads that other gateways add meanwhile.
LOAD_FACTOR = 1.8
LOAD_SLACK = 2.5
# Requests at a plain server, as a multiple of its slots, above which a request waits
# in the gateway instead of in the server's queue.
PLAIN_FILL = 1.5
# The same for a model server, whose slots slow each other down little.
MODEL_FILL = 1.0
# A plain server's failures count as this many times its latency at a rate of 1.
FAILURE_COST = 8.0
# Latency that a hop to another zone adds, in seconds. It decides between servers
# that are otherwise alike.
OTHER_ZONE_S = 0.004
# Slots assumed where neither the entry nor the service says.
ASSUMED_SLOTS = 16


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen server.

    :param reason: what decided, for the log.
    :param source: another server that holds more of the prompt, to copy it from.
    """

    server: ServerState
    reason: str
    source: ServerState | None = None


@dataclass(frozen=True, slots=True)
class NoChoice:
    """No server can take the request now.

    :param known: servers that could take it but for their load or cold limit.
    :param wait_s: seconds until a cold server takes one more; infinite otherwise.
    """

    known: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Constraints:
    """Which servers may take a request.

    :param tried: ids of servers that the request was sent to.
    """

    service: Service
    allowed: Callable[[ServerState], bool]
    tried: Collection[str] = ()


class Selector:
    """Chooses among the servers of a service.

    :param zone: zone of the gateway.
    """

    __slots__ = ("_fleet", "_prefixes", "_zone")

    def __init__(self, fleet: FleetView, prefixes: PrefixIndex, zone: str) -> None:
        self._fleet = fleet
        self._prefixes = prefixes
        self._zone = zone

    def choose(
        self,
        now: float,
        request: CallerRequest,
        servers: Collection[ServerState],
        constraints: Constraints,
    ) -> Choice | NoChoice:
        """Chooses a server.

        :param servers: servers of the service.
        """
        service = constraints.service
        open_servers = [
            s for s in servers if s.takes_work(now) and constraints.allowed(s)
        ]
        usable = [s for s in open_servers if s.record.id not in constraints.tried]
        if not usable:
            return NoChoice(0, float("inf"))
        waits = {s.record.id: s.cold_wait_s(now, service, self._fleet) for s in usable}
        ready = [s for s in usable if waits[s.record.id] <= 0]
        ready = [s for s in ready if self._has_room(now, s, service)]
        if not ready:
            return NoChoice(len(usable), min(waits.values()) or float("inf"))
        healthy = [s for s in ready if not s.avoided(now)]
        if service.model:
            choice = self._by_affinity(now, request, healthy or ready, open_servers)
            return replace(choice, source=self._source(request, choice, servers))
        return self._by_latency(now, request, healthy or ready)

    def _has_room(self, now: float, state: ServerState, service: Service) -> bool:
        slots = state.record.slots or service.slots or ASSUMED_SLOTS
        fill = MODEL_FILL if service.model else PLAIN_FILL
        connections = CONNECTION_SHARE * service.max_connections / self._fleet.size
        return state.load(now) < slots * fill and state.in_flight < max(1, connections)

    def _by_affinity(self, now, request, ready, open_servers) -> Choice:
        """Follows the chat unless its server is above the load bound.

        All gateways rank the servers alike, so that a shared part is read at one.
        """
        loads = {s.record.id: s.load(now) for s in ready}
        mean = sum(s.load(now) for s in open_servers) / len(open_servers)
        bound = LOAD_FACTOR * mean + LOAD_SLACK
        ranked = sorted(ready, key=_ranking(request))
        if loads[ranked[0].record.id] < bound:
            return Choice(ranked[0], "affinity")
        below = [s for s in ranked if loads[s.record.id] < bound]
        holders = self._prefixes.holders(request.affinity)
        for state in below:
            if state.record.id in holders:
                return Choice(state, "load bound, prompt cached")
        if below:
            return Choice(below[0], "load bound")
        least = min(ranked, key=lambda s: loads[s.record.id])
        return Choice(least, "least loaded")

    def _source(self, request, choice: Choice, servers) -> ServerState | None:
        """Returns a server to copy the shared parts from; reading costs more.

        Without a known holder it is the server that ranks highest beside the chosen
        one: all gateways sent the chat there before the chosen server joined, before
        it began to leave, or before it reached its load bound. Asking a server that
        holds nothing costs nothing.
        """
        if not request.parts:
            return None
        chosen = choice.server.record.id
        holders = self._prefixes.holders(request.affinity)
        if chosen in holders:
            return None
        alive = {s.record.id: s for s in servers if not s.gone}
        alive.pop(chosen, None)
        for server_id in reversed(holders):
            if server_id in alive:
                return alive[server_id]
        return min(alive.values(), key=_ranking(request), default=None)

    def _by_latency(self, now, request, ready) -> Choice:
        def cost(state: ServerState) -> float:
            penalty = 1 + FAILURE_COST * state.failure_rate
            other_zone = OTHER_ZONE_S if state.record.zone != self._zone else 0.0
            slots = max(1, state.record.slots)
            # Requests within the slots run side by side; those beyond wait.
            queue = max(0.0, state.load(now) + 1 - slots) / slots
            busy = state.load(now) / slots
            latency = state.latency_s * (1 + busy + queue) * penalty + other_zone
            return latency * (1 + 0.05 * unit_hash(request.id, state.record.id))

        return Choice(min(ready, key=cost), "least expected latency")


def _ranking(request: CallerRequest) -> Callable[[ServerState], int]:
    """Ranks servers for the chat of a request, the preferred one first."""
    key = request.affinity or request.id
    return lambda state: -hash64(key, state.record.id)
