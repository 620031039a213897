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
LOAD_BOUND_FACTOR = 1.8
LOAD_BOUND_SLACK = 2.5
# Requests at a plain server, as a multiple of its slots, above which a request waits
# in the gateway instead of in the server's queue.
MAX_PLAIN_OCCUPANCY = 1.5
# The same for a model server, whose slots slow each other down little.
MAX_MODEL_OCCUPANCY = 1.0
# A plain server's failures count as this many times its latency at a rate of 1.
FAILURE_PENALTY = 8.0
# Latency that a hop to another zone adds, in seconds. It decides between servers
# that are otherwise alike.
CROSS_ZONE_LATENCY_S = 0.004
# A server that was listed for less than this, in seconds, was not the preferred one of
# the chats that it now gets. Prompts that were last used earlier cost nothing to read.
NEW_SERVER_AGE_S = 10.0
# Slots assumed where neither the entry nor the service says.
DEFAULT_SLOTS = 16


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen server.

    :param reason: what decided, for the log.
    :param copy_source: another server that holds more of the prompt, to copy it from.
    """

    server: ServerState
    reason: str
    copy_source: ServerState | None = None


@dataclass(frozen=True, slots=True)
class NoChoice:
    """No server can take the request now.

    :param eligible: servers that could take it but for their load or cold limit.
    :param wait_s: seconds until a cold server takes one more; infinite otherwise.
    """

    eligible: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Constraints:
    """Which servers may take a request.

    :param tried_ids: ids of servers that the request was sent to.
    :param fleet_mean_load: mean requests of all gateways at a server of the service; None
        if it is not known.
    :param holders_known: the holders of the prompt were asked for, so that none is
        guessed.
    """

    service: Service
    allowed: Callable[[ServerState], bool]
    tried_ids: Collection[str] = ()
    fleet_mean_load: float | None = None
    holders_known: bool = False


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
            s for s in servers if s.accepts_work(now) and constraints.allowed(s)
        ]
        usable = [s for s in open_servers if s.record.id not in constraints.tried_ids]
        if not usable:
            return NoChoice(0, float("inf"))
        waits = {s.record.id: s.cold_wait_s(now, service, self._fleet) for s in usable}
        ready = [s for s in usable if waits[s.record.id] <= 0]
        ready = [s for s in ready if self._has_room(now, s, service)]
        if not ready:
            return NoChoice(len(usable), min(waits.values()) or float("inf"))
        healthy = [s for s in ready if not s.in_backoff(now)]
        if service.is_model:
            listed = [s for s in servers if not s.removed]
            choice = self._select_by_affinity(
                now, request, healthy or ready, listed, constraints.fleet_mean_load
            )
            allow_guess = not constraints.holders_known
            source = self._find_copy_source(now, request, choice, servers, allow_guess)
            return replace(choice, copy_source=source)
        return self._select_by_latency(now, request, healthy or ready)

    def _has_room(self, now: float, state: ServerState, service: Service) -> bool:
        slots = state.record.slots or service.slots or DEFAULT_SLOTS
        fill = MAX_MODEL_OCCUPANCY if service.is_model else MAX_PLAIN_OCCUPANCY
        connections = CONNECTION_SHARE * service.max_connections / self._fleet.size
        return state.load(now) < slots * fill and state.in_flight < max(1, connections)

    def _select_by_affinity(
        self, now, request, ready, listed, fleet_mean_load
    ) -> Choice:
        """Follows the chat unless its server is above the load bound.

        All gateways rank the servers alike, so that a shared part is read at one. The
        mean is over all listed servers, as the platform takes it: those that are out
        or leaving lower it, and the others must then share their load more evenly.

        A load that its owner told is that of all gateways, and so is compared with the
        mean of all; one that this gateway knows alone, with the mean that it knows.
        """
        loads = {s.record.id: s.load(now) for s in ready}
        known_mean = sum(s.load(now) for s in listed) / len(listed)

        def fits(state: ServerState) -> bool:
            told = fleet_mean_load is not None and state.has_fleet_load(now)
            mean = fleet_mean_load if told else known_mean
            return loads[state.record.id] < LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK

        ranked = sorted(ready, key=_affinity_rank(request))
        if fits(ranked[0]):
            return Choice(ranked[0], "affinity")
        below = [s for s in ranked if fits(s)]
        holders = self._prefixes.holders(request.affinity_key)
        for state in below:
            if state.record.id in holders:
                return Choice(state, "load bound, prompt cached")
        if below:
            return Choice(below[0], "load bound")
        least = min(ranked, key=lambda s: loads[s.record.id])
        return Choice(least, "least loaded")

    def _find_copy_source(
        self, now, request, choice: Choice, servers, allow_guess: bool
    ) -> ServerState | None:
        """Returns a server to copy shared parts from; reading them costs more.

        The deepest part that a server is known to hold decides. Where this gateway
        knows no holder of the whole chat, others may have sent it elsewhere while the
        chosen server was new, out or at its load bound: a likely holder is asked then.
        A copy moves only what the chosen server lacks, so a guess costs nothing where
        it has the prompt.

        :param allow_guess: the fleet did not tell who holds the whole chat.
        """
        if not request.shared_parts:
            return None
        chosen = choice.server
        others = {
            s.record.id: s
            for s in servers
            if s is not chosen
            and not (s.removed or s.connection_refused or s.in_backoff(now))
        }
        is_new = now - chosen.first_seen_at < NEW_SERVER_AGE_S
        allow_guess = allow_guess and bool(others) and (is_new or self._fleet.size > 1)
        for part in reversed(request.shared_parts):
            holders = self._prefixes.holders(part.id)
            if chosen.record.id in holders:
                return None
            for server_id in reversed(holders):
                if server_id in others:
                    return others[server_id]
            if part is request.shared_parts[-1] and allow_guess:
                return self._guess_holder(now, request, others.values())
        return None

    def _guess_holder(self, now, request, others) -> ServerState:
        """Returns the highest in rank, before servers that were listed lately.

        All gateways send the chat there whenever they do not to the chosen server.
        """
        ranked = sorted(others, key=_affinity_rank(request))
        for state in ranked:
            if now - state.first_seen_at >= NEW_SERVER_AGE_S:
                return state
        return ranked[0]

    def _select_by_latency(self, now, request, ready) -> Choice:
        def cost(state: ServerState) -> float:
            penalty = 1 + FAILURE_PENALTY * state.failure_rate
            other_zone = (
                CROSS_ZONE_LATENCY_S if state.record.zone != self._zone else 0.0
            )
            slots = max(1, state.record.slots)
            # Requests within the slots run side by side; those beyond wait.
            queue = max(0.0, state.load(now) + 1 - slots) / slots
            busy = state.load(now) / slots
            latency = state.latency_s * (1 + busy + queue) * penalty + other_zone
            return latency * (1 + 0.05 * unit_hash(request.id, state.record.id))

        return Choice(min(ready, key=cost), "least expected latency")


def _affinity_rank(request: CallerRequest) -> Callable[[ServerState], int]:
    """Ranks servers for the chat of a request, the preferred one first."""
    key = request.affinity_key or request.id
    return lambda state: -hash64(key, state.record.id)
