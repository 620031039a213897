"""Decides which server gets a request, or which peer is queried before that."""

from collections.abc import Mapping

from heatherswitch.fleet.shares import FleetSize
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.peers import PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.rollout_table import RolloutTable, VersionFilter
from heatherswitch.gateway.selection import Choice, Constraints, NoChoice, Selector
from heatherswitch.gateway.servers import ServerState, ServerTable


class RequestPlacer:
    """Selects a server under rollouts, zones, regions and what peers report.

    :param regions: zone to its region.
    :ivar zones_out: zones whose backend servers get no new requests.
    """

    __slots__ = (
        "_fleet",
        "_peers",
        "_regions",
        "_rollouts",
        "_selector",
        "_servers",
        "zones_out",
    )

    def __init__(
        self,
        servers: ServerTable,
        selector: Selector,
        rollouts: RolloutTable,
        fleet: FleetSize,
        peers: PeerView,
        regions: Mapping[str, str],
    ) -> None:
        self._servers = servers
        self._selector = selector
        self._rollouts = rollouts
        self._fleet = fleet
        self._peers = peers
        self._regions = regions
        self.zones_out: frozenset[str] = frozenset()

    def choose(self, now: float, pending: Pending) -> Choice | NoChoice:
        """Selects a server based on what is known now."""
        service = pending.service
        servers = self._servers.for_service(service.name)
        fleet_mean_load = self._peers.mean_load(
            now, service.name, sum(not s.removed for s in servers)
        )
        best = NoChoice(0, float("inf"))
        for rule in self._version_filters(now, pending):
            constraints = Constraints(
                service,
                lambda state, version_allowed=rule: (
                    version_allowed(state.record.version)
                    and self._allowed(state, pending)
                ),
                pending.tried_ids,
                fleet_mean_load,
                pending.holders_known,
            )
            choice = self._selector.choose(now, pending.request, servers, constraints)
            if isinstance(choice, Choice):
                return choice
            if choice.eligible:
                best = choice
                if not choice.busy:
                    break
        return best

    def retry_after_s(self, now: float, pending: Pending) -> float | None:
        """Returns the seconds until a server takes a request like this one.

        :returns: None if that is unknown, because a server may take one now, all of
            them are leaving, or there is none.
        """
        service = pending.service
        rules = self._version_filters(now, pending)
        waits = [
            state.wait_s(now, service, self._fleet)
            for state in self._servers.for_service(service.name)
            if state.accepts_work(now)
            and self._allowed(state, pending)
            and any(version_allowed(state.record.version) for version_allowed in rules)
        ]
        return min(waits, default=0.0) or None

    def has_server(self, now: float, pending: Pending) -> bool:
        """Tells whether any server may get a request like this one, now or later."""
        return any(
            state.accepts_work(now) and self._allowed(state, pending)
            for state in self._servers.for_service(pending.service.name)
        )

    def _version_filters(self, now: float, pending: Pending) -> list[VersionFilter]:
        return self._rollouts.version_filters(
            now,
            pending.service.name,
            pending.request.id,
            self._fleet.size_upper_bound(now),
        )

    def choose_or_query(
        self, now: float, serial: int, pending: Pending
    ) -> Choice | NoChoice | ev.QueryLoad | ev.QueryHolder:
        """Selects a server, or returns the peer query that is needed first.

        For a model service, the server's fleet-wide load and a server that has the
        prompt cached are queried if they are unknown.
        """
        choice = self.choose(now, pending)
        while isinstance(choice, Choice) and pending.service.is_model:
            state = choice.server
            if state.has_fleet_load(now):
                break
            query = self._peers.load_query(now, serial, state, pending.load_queries)
            pending.load_queries += 1
            if query is not None:
                return query
            if not state.has_fleet_load(now):
                # No peer can be queried.
                break
            choice = self.choose(now, pending)
        if isinstance(choice, Choice) and pending.service.is_model:
            knew_holders = pending.holders_known
            query = self._peers.holder_query(now, serial, pending, choice.server)
            if query is not None:
                return query
            if pending.holders_known != knew_holders:
                choice = self.choose(now, pending)
        return choice

    def _allowed(self, state: ServerState, pending: Pending) -> bool:
        if state.record.zone in self.zones_out:
            return False
        region = self._regions.get(state.record.zone, "")
        for regions in (
            pending.route.regions,
            pending.workspace.regions if pending.workspace else (),
        ):
            if regions and region not in regions:
                return False
        return True
