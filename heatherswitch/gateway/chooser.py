"""Brings together what decides the server of a request: rules, moves, loads, peers."""

from collections.abc import Mapping

from heatherswitch.fleet.shares import FleetSize
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.peers import PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.rollout_table import RolloutTable
from heatherswitch.gateway.selection import Choice, Constraints, NoChoice, Selector
from heatherswitch.gateway.servers import ServerState, ServerTable


class Chooser:
    """Chooses the server of a request, or the question that comes before the choice.

    :param regions: zone to its region.
    :ivar zones_out: zones whose backend servers get no new work.
    """

    __slots__ = (
        "_fleet",
        "_moves",
        "_peers",
        "_regions",
        "_selector",
        "_servers",
        "zones_out",
    )

    def __init__(
        self,
        servers: ServerTable,
        selector: Selector,
        moves: RolloutTable,
        fleet: FleetSize,
        peers: PeerView,
        regions: Mapping[str, str],
    ) -> None:
        self._servers = servers
        self._selector = selector
        self._moves = moves
        self._fleet = fleet
        self._peers = peers
        self._regions = regions
        self.zones_out: frozenset[str] = frozenset()

    def choose(self, now: float, pending: Pending) -> Choice | NoChoice:
        """Chooses by what is known now."""
        service = pending.service
        servers = self._servers.of_service(service.name)
        fleet_mean = self._peers.mean_load(
            now, service.name, sum(not s.gone for s in servers)
        )
        rules = self._moves.version_filters(
            service.name, pending.request.id, self._fleet.size_upper_bound(now)
        )
        choice: Choice | NoChoice = NoChoice(0, float("inf"))
        for rule in rules:
            constraints = Constraints(
                service,
                lambda state, fits=rule: (
                    fits(state.record.version) and self._allowed(state, pending)
                ),
                pending.tried,
                fleet_mean,
                pending.holders_told,
            )
            choice = self._selector.choose(now, pending.request, servers, constraints)
            if isinstance(choice, Choice) or choice.known:
                break
        return choice

    def choose_or_ask(
        self, now: float, serial: int, pending: Pending
    ) -> Choice | NoChoice | ev.Ask | ev.AskHolder:
        """Chooses a server; what is not known of it and of the prompt is asked first."""
        choice = self.choose(now, pending)
        while isinstance(choice, Choice) and pending.service.model:
            state = choice.server
            if state.load_is_told(now):
                break
            question = self._peers.question(now, serial, state, pending.questions)
            pending.questions += 1
            if question is not None:
                return question
            if not state.load_is_told(now):
                # Nobody can be asked.
                break
            choice = self.choose(now, pending)
        if isinstance(choice, Choice) and pending.service.model:
            told = pending.holders_told
            question = self._peers.holder_question(now, serial, pending, choice.server)
            if question is not None:
                return question
            if pending.holders_told != told:
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
