"""Selects the backend server for a request. Performs no I/O."""

from collections.abc import Callable, Collection

from heatherswitch.fleet.shares import FleetSize
from heatherswitch.gateway.model import CallerRequest, Service
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.servers import CONNECTION_SHARE, ServerState
from heatherswitch.statecore.hashing import hash64, unit_hash
from heatherswitch.util.record import Record

# A model server may have this multiple of the mean load, plus a number of requests,
# before a chat moves to another server and its prompt must be copied. The platform's
# own bound is twice the mean plus three; the margin covers load that other gateways add
# at the same time.
LOAD_BOUND_FACTOR = 1.8
LOAD_BOUND_SLACK = 2.5
# Requests at a plain server, as a multiple of its slots, above which a request waits in
# the gateway's queue instead of the server's.
MAX_PLAIN_OCCUPANCY = 1.5
# The same for a model server, whose concurrent requests slow each other down little.
MAX_MODEL_OCCUPANCY = 1.0
# Weight of a plain server's failure rate: at a rate of 1 it adds this multiple of the
# server's latency to its cost.
FAILURE_PENALTY = 8.0
# Latency of a hop to another zone, in seconds. It breaks ties between servers that are
# otherwise equal.
CROSS_ZONE_LATENCY_S = 0.004
# A server first seen less than this many seconds ago was not the preferred one when its
# chats were last used. Prompts last used earlier than that are processed again at no
# cost.
NEW_SERVER_AGE_S = 10.0
# Slots assumed if neither the server's entry nor the service states them.
DEFAULT_SLOTS = 16


class Choice(Record):
    """The selected server.

    :param reason: which rule decided, for the log.
    :param copy_source: another server that has more of the prompt cached, from which
        the selected one can copy it.
    """

    __slots__ = (
        "server",
        "reason",
        "copy_source",
    )

    def __init__(
        self, server: ServerState, reason: str, copy_source: ServerState | None = None
    ) -> None:
        self.server = server
        self.reason = reason
        self.copy_source = copy_source


class NoChoice(Record):
    """No server can take the request now.

    :param eligible: number of servers that could take it if it were not for their load,
        their cold-start rate limit or the time for which they want no requests.
    :param wait_s: seconds until a server that is cold or wants no requests takes one
        more; infinite if that depends on other requests ending.
    :param busy: all of these servers are waited for, and some of them want no requests.
    """

    __slots__ = (
        "eligible",
        "wait_s",
        "busy",
    )

    def __init__(self, eligible: int, wait_s: float, busy: bool = False) -> None:
        self.eligible = eligible
        self.wait_s = wait_s
        self.busy = busy


class Constraints(Record):
    """Restrictions on the servers that may take a request.

    :param tried_ids: ids of the servers that the request was already sent to.
    :param fleet_mean_load: mean number of all gateways' requests per server of the
        service; None if unknown.
    :param holders_known: the owner of the prompt part was queried for servers that have
        it cached, so none is guessed.
    """

    __slots__ = (
        "service",
        "allowed",
        "tried_ids",
        "fleet_mean_load",
        "holders_known",
    )

    def __init__(
        self,
        service: Service,
        allowed: Callable[[ServerState], bool],
        tried_ids: Collection[str] = (),
        fleet_mean_load: float | None = None,
        holders_known: bool = False,
    ) -> None:
        self.service = service
        self.allowed = allowed
        self.tried_ids = tried_ids
        self.fleet_mean_load = fleet_mean_load
        self.holders_known = holders_known


class Selector:
    """Ranks the servers of a service and selects one of them.

    :param zone: availability zone of the gateway.
    """

    __slots__ = ("_fleet", "_prefixes", "_zone")

    def __init__(self, fleet: FleetSize, prefixes: PrefixIndex, zone: str) -> None:
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
        """Selects a server for a request.

        :param servers: all listed servers of the service.
        """
        service = constraints.service
        open_servers = [
            s for s in servers if s.accepts_work(now) and constraints.allowed(s)
        ]
        usable = [s for s in open_servers if s.record.id not in constraints.tried_ids]
        if not usable:
            return NoChoice(0, float("inf"))
        waits = {s.record.id: s.wait_s(now, service, self._fleet) for s in usable}
        ready = [s for s in usable if waits[s.record.id] <= 0]
        ready = [s for s in ready if self._has_room(now, s, service)]
        if not ready:
            shortest_s = min(waits.values())
            busy = shortest_s > 0 and any(s.notices.busy_s(now) for s in usable)
            return NoChoice(len(usable), shortest_s or float("inf"), busy)
        healthy = [s for s in ready if not s.in_backoff(now)]
        if service.is_model:
            listed = [s for s in servers if not s.removed]
            choice = self._select_by_affinity(
                now, request, healthy or ready, listed, constraints.fleet_mean_load
            )
            allow_guess = not constraints.holders_known
            source = self._find_copy_source(now, request, choice, servers, allow_guess)
            return choice.replace(copy_source=source)
        return self._select_by_latency(now, request, healthy or ready)

    def _has_room(self, now: float, state: ServerState, service: Service) -> bool:
        if state.notices.trial_runs:
            return False
        slots = state.record.slots or service.slots or DEFAULT_SLOTS
        fill = MAX_MODEL_OCCUPANCY if service.is_model else MAX_PLAIN_OCCUPANCY
        connections = CONNECTION_SHARE * service.max_connections / self._fleet.size
        return state.load(now) < slots * fill and state.in_flight < max(1, connections)

    def _select_by_affinity(
        self, now, request, ready, listed, fleet_mean_load
    ) -> Choice:
        """Selects the chat's preferred server unless that is above the load bound.

        All gateways rank the servers identically, so that a shared prompt part is
        processed at one server only. The mean covers all listed servers, as in the
        platform's own rule: servers that are out of service or draining lower it, and
        the others must then share their load more evenly.

        A load that the server's owner summed over all gateways is compared with the
        mean over all gateways, and one that only this gateway knows with the mean known
        to this gateway.
        """
        loads = {s.record.id: s.load(now) for s in ready}
        known_mean = sum(s.load(now) for s in listed) / len(listed)

        def is_below_bound(state: ServerState) -> bool:
            use_fleet_mean = fleet_mean_load is not None and state.has_fleet_load(now)
            mean = fleet_mean_load if use_fleet_mean else known_mean
            return loads[state.record.id] < LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK

        ranked = sorted(ready, key=_affinity_rank(request))
        if is_below_bound(ranked[0]):
            return Choice(ranked[0], "affinity")
        below_bound = [s for s in ranked if is_below_bound(s)]
        holders = self._prefixes.holders(request.affinity_key)
        for state in below_bound:
            if state.record.id in holders:
                return Choice(state, "load bound, prompt cached")
        if below_bound:
            return Choice(below_bound[0], "load bound")
        least = min(ranked, key=lambda s: loads[s.record.id])
        return Choice(least, "least loaded")

    def _find_copy_source(
        self, now, request, choice: Choice, servers, allow_guess: bool
    ) -> ServerState | None:
        """Returns a server to copy cached prompt parts from, or None.

        Copying is cheaper than processing the parts again. The longest prefix that a
        server is known to have cached decides. If this gateway knows no server for the
        whole shared prefix, other gateways may have sent the chat elsewhere while the
        selected server was new, out of service or at its load bound, so a likely server
        is guessed. Only parts that the selected server lacks are copied, so a wrong
        guess costs nothing if that server already has the prompt.

        :param allow_guess: the fleet did not report which servers have the whole shared
            prefix cached.
        """
        if not request.shared_parts:
            return None
        chosen = choice.server
        others = {
            s.record.id: s
            for s in servers
            if s is not chosen
            and not (s.removed or s.is_excluded(now) or s.in_backoff(now))
            and not s.notices.busy_s(now)
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
        """Returns the highest-ranked server, preferring servers that are not new.

        All gateways send the chat there whenever they do not use the selected server.
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
            # Requests within the slots run concurrently; further ones queue.
            queue = max(0.0, state.load(now) + 1 - slots) / slots
            busy = state.load(now) / slots
            latency = state.latency_s * (1 + busy + queue) * penalty + other_zone
            return latency * (1 + 0.05 * unit_hash(request.id, state.record.id))

        return Choice(min(ready, key=cost), "least expected latency")


def _affinity_rank(request: CallerRequest) -> Callable[[ServerState], int]:
    """Returns a sort key that puts the preferred servers of a chat first."""
    key = request.affinity_key or request.id
    return lambda state: -hash64(key, state.record.id)
