"""The gateway's decisions: one reducer over all events, with effects as data.

It decides where a request goes, when it waits, when it is sent to a second server
and when it is refused. It does no input or output and reads no clock.
"""

from heatherswitch.fleet.shares import FleetSize, TokenBucket
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.admission import RETRY_BUSY_S, Denied, admit
from heatherswitch.gateway.chooser import Chooser
from heatherswitch.gateway.freshness import CurrentConfiguration
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import Service
from heatherswitch.gateway.peers import MAX_QUESTIONS, PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.rollout_table import RolloutTable
from heatherswitch.gateway.rollouts import Rollout
from heatherswitch.gateway.selection import (
    Choice,
    NoChoice,
    Selector,
)
from heatherswitch.gateway.servers import (
    AVOID_S,
    AVOID_SILENT_S,
    ServerState,
    ServerTable,
)
from heatherswitch.gateway.waiting import (
    MAX_WAIT_SHARE,
    MIN_QUEUE,
    QUEUE_SHARE,
    Waiter,
    WaitingQueue,
)

# Part of the fleet's retry budget that is used, so that routers whose lists of the
# fleet differ for a moment stay within it together.
BUDGET_MARGIN = 0.7


class GatewayReducer:
    """State of one gateway.

    :param own_id: id of this gateway in the fleet.
    :param zone: its availability zone.
    :param regions: zone to its region.
    """

    __slots__ = (
        "_budget",
        "_chooser",
        "_configuration",
        "_fleet",
        "_limits",
        "_moves",
        "_peers",
        "_pending",
        "_prefixes",
        "_queues",
        "_servers",
    )

    def __init__(
        self,
        now: float,
        own_id: str,
        zone: str,
        regions: dict[str, str],
        limits: Limits,
    ) -> None:
        self._limits = limits
        self._moves = RolloutTable(own_id, int(now * 1000), limits.exposure)
        self._fleet = FleetSize(
            own_id, limits.expected_fleet, now + limits.timing.member_ttl_s
        )
        self._prefixes = PrefixIndex()
        self._servers = ServerTable()
        self._peers = PeerView(own_id, self._servers, self._prefixes)
        self._chooser = Chooser(
            self._servers,
            Selector(self._fleet, self._prefixes, zone),
            self._moves,
            self._fleet,
            self._peers,
            regions,
        )
        self._configuration = CurrentConfiguration(
            limits.key_max_age_s, limits.timing.refuse_age_s
        )
        self._pending: dict[int, Pending] = {}
        self._queues: dict[str, WaitingQueue] = {}
        self._budget = TokenBucket(now, 0.0, self._budget_burst(now))

    @property
    def configuration(self) -> CurrentConfiguration:
        """The configuration in force."""
        return self._configuration

    @property
    def fleet_size(self) -> int:
        """Routers among which limits are divided."""
        return self._fleet.size

    @property
    def peers(self) -> int:
        """Gateways that can be asked for loads, with this one."""
        return self._peers.known

    @property
    def moves(self) -> dict[str, Rollout]:
        """Newest move between versions of each service."""
        return self._moves.by_service

    @property
    def waiting(self) -> int:
        """Requests that wait for a server."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones whose backend servers get no new work."""
        return self._chooser.zones_out

    @property
    def pending(self) -> int:
        """Requests without their final answer."""
        return len(self._pending)

    def ready(self, now: float) -> bool:
        """Tells whether new callers should be sent here."""
        if self._configuration.configuration is None:
            return False
        return self._configuration.age_s(now) < self._limits.timing.ready_age_s

    def knows(self, now: float, server_id: str) -> bool:
        """Tells whether a server would get work."""
        state = self._servers.get(server_id)
        return state is not None and state.takes_work(now)

    def apply(self, now: float, event: ev.Event) -> list[ev.Effect]:
        """Takes one event.

        :param now: seconds of a clock that goes on while the VM is suspended.
        :returns: what the shell must do.
        """
        match event:
            case ev.RequestArrived():
                return self._on_arrival(now, event)
            case ev.AnswerStarted():
                return self._on_answer(now, event)
            case ev.AttemptEnded():
                return self._on_ended(now, event)
            case ev.CallerLeft():
                return self._on_caller_left(now, event)
            case ev.ServerListed():
                if self._servers.list(now, event.server):
                    self._prefixes.forget(event.server.id)
            case ev.ServerRemoved():
                self._servers.remove(now, event.server_id, event.after_outage)
            case ev.ConfigurationRead():
                self._configuration.take(event.configuration)
            case ev.StoreConfirmed():
                self._configuration.confirm(event.current_at)
                return []
            case ev.LoadTold() | ev.HolderTold() | ev.Unanswered():
                return self._on_peer_answer(now, event)
            case ev.PeerTold():
                return self._peers.on_told(now, event)
            case ev.TotalsTold():
                return self._peers.on_totals(now, event)
            case ev.FlushPeers():
                return self._peers.flush(now)
            case ev.ZonesOut():
                self._chooser.zones_out = event.zones
            case ev.RoutersCounted():
                self._fleet.update(event.ids)
                self._peers.update(event.addresses)
                self._budget.set_rate(now, 0.0, self._budget_burst(now))
            case ev.RolloutOrdered():
                self._moves.on_order(now, event)
            case ev.RolloutStatusRead():
                self._moves.on_status(event)
            case ev.ProgressRead():
                self._moves.on_progress(now, event)
            case ev.EvidenceRead():
                self._moves.on_evidence(now, event)
            case ev.Tick():
                self._servers.expire(now)
                self._budget.set_rate(now, 0.0, self._budget_burst(now))
                self._moves.tick(now)
        return self._serve_waiting(now)

    def _budget_burst(self, now: float) -> float:
        routers = self._fleet.size_upper_bound(now)
        return max(1.0, BUDGET_MARGIN * self._limits.budget_slack / routers)

    # Arrival

    def _on_arrival(self, now: float, event: ev.RequestArrived) -> list[ev.Effect]:
        serial, request = event.serial, event.request
        admitted = admit(now, self._configuration, request)
        if isinstance(admitted, Denied):
            denied = admitted
            return [
                ev.Refuse(serial, denied.status, denied.reason, denied.retry_after_s)
            ]
        pending = Pending(
            request,
            admitted.route,
            admitted.service,
            admitted.workspace,
            now,
            now + admitted.timeout_s,
        )
        self._pending[serial] = pending
        self._budget.deposit(BUDGET_MARGIN * self._limits.budget_ratio)
        return self._place(now, serial, pending)

    # Placement

    def _place(self, now: float, serial: int, pending: Pending) -> list[ev.Effect]:
        """Sends a request, asks for a server's load, lets it wait or refuses it."""
        choice = self._chooser.choose_or_ask(now, serial, pending)
        if isinstance(choice, ev.Ask | ev.AskHolder):
            return [choice]
        if isinstance(choice, Choice):
            return [self._send(now, serial, pending, choice)]
        if choice.known == 0:
            return self._give_up(serial, pending, "no server is available")
        return self._wait(now, serial, pending, choice.wait_s)

    def _on_peer_answer(
        self, now: float, event: ev.LoadTold | ev.HolderTold | ev.Unanswered
    ) -> list[ev.Effect]:
        """Goes on with a request whose question was answered, or was not."""
        match event:
            case ev.LoadTold():
                self._peers.on_load_told(now, event)
            case ev.HolderTold():
                self._peers.on_holder_told(event)
            case ev.Unanswered():
                self._peers.on_unanswered(now, event.peer)
        pending = self._pending.get(event.serial)
        if pending is None:
            return []
        if isinstance(event, ev.HolderTold):
            pending.note_told(event.holder.part)
        if isinstance(event, ev.Unanswered):
            # A second wait would cost the caller more than a server that is too full.
            pending.questions = MAX_QUESTIONS
            pending.parts_asked.update(p.id for p in pending.request.shared)
        return self._place(now, event.serial, pending)

    def _send(self, now, serial: int, pending: Pending, choice: Choice) -> ev.Forward:
        state = choice.server
        state.take_cold_token(now)
        state.in_flight += 1
        self._peers.changed(state)
        pending.at = state
        pending.first_s = None
        pending.waiting = False
        pending.drawn = self._moves.count_request(
            pending.service.name,
            state.record.version,
            self._fleet.size_upper_bound(now),
        )
        pending.tried.append(state.record.id)
        return ev.Forward(
            serial,
            state.record,
            choice.source.record if choice.source else None,
            pending.route,
            pending.workspace.name if pending.workspace else "",
            pending.priority,
            pending.deadline_at,
            pending.silence_s,
            f"{choice.reason}; load {state.load(now):.0f}",
        )

    def _wait(
        self, now: float, serial: int, pending: Pending, wait_s: float
    ) -> list[ev.Effect]:
        """Lets a request wait, unless that is known to be in vain.

        :param wait_s: seconds until a cold server takes one more; infinite where the
            end of another request decides.
        """
        longest_s = MAX_WAIT_SHARE * (pending.deadline_at - now)
        if longest_s < wait_s < float("inf"):
            return self._give_up(serial, pending, "the servers are cold", wait_s)
        queue = self._queues.setdefault(pending.service.name, WaitingQueue())
        waiter = Waiter(pending.priority, now, serial, now + longest_s)
        effects: list[ev.Effect] = []
        if len(queue) >= self._queue_limit(pending.service):
            last = queue.least_urgent()
            if last is None or last.priority <= waiter.priority:
                return self._give_up(serial, pending, "the queue is full")
            effects = self._refuse_waiter(last, "displaced by a more urgent request")
        queue.add(waiter)
        pending.waiting = True
        return effects

    def _queue_limit(self, service: Service) -> int:
        slots = sum(s.record.slots for s in self._servers.of_service(service.name))
        return max(MIN_QUEUE, int(QUEUE_SHARE * slots / self._fleet.size))

    def _refuse_waiter(self, waiter: Waiter, reason: str) -> list[ev.Effect]:
        pending = self._pending[waiter.serial]
        self._queues[pending.service.name].discard(waiter.serial)
        return self._give_up(waiter.serial, pending, reason)

    def _serve_waiting(self, now: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for queue in self._queues.values():
            for waiter in queue.overdue(now):
                effects += self._refuse_waiter(waiter, "no server had room in time")
            while (waiter := queue.first()) is not None:
                pending = self._pending[waiter.serial]
                choice = self._chooser.choose(now, pending)
                if isinstance(choice, Choice):
                    queue.discard(waiter.serial)
                    effects.append(self._send(now, waiter.serial, pending, choice))
                elif choice.known == 0:
                    effects += self._refuse_waiter(waiter, "no server is available")
                else:
                    break
        return effects

    # Attempts

    def _on_answer(self, now: float, event: ev.AnswerStarted) -> list[ev.Effect]:
        pending = self._pending.get(event.serial)
        if pending is None or pending.at is None:
            return []
        pending.first_s = event.first_s
        if event.load is not None:
            pending.at.note_load(now, event.load)
        pending.at.note_cold(now, event.cold_s)
        if event.success:
            self._prefixes.note(pending.request.shared, pending.at.record.id)
        return []

    def _on_ended(self, now: float, event: ev.AttemptEnded) -> list[ev.Effect]:
        pending = self._pending.get(event.serial)
        if pending is None or pending.at is None:
            return []
        state, pending.at = pending.at, None
        state.in_flight -= 1
        self._peers.changed(state)
        effects = self._after(now, event.serial, pending, state, event.outcome)
        return effects + self._serve_waiting(now)

    def _after(self, now, serial, pending, state, outcome) -> list[ev.Effect]:
        match outcome:
            case ev.Completed(_, total_s):
                state.note_success(total_s)
                self._count_version(now, pending, state, failed=False)
                del self._pending[serial]
                return [ev.Finish(serial)]
            case ev.NotSent():
                state.note_failure(now, AVOID_SILENT_S)
                state.ended = state.ended or outcome.refused
                return self._repeat(now, serial, pending, ran=False, arrived=False)
            case ev.Rejected(_, other_instance):
                state.note_failure(now)
                state.gone = state.gone or other_instance
                return self._repeat(now, serial, pending, ran=False)
            case ev.FailedAnswer():
                state.note_failure(now, avoid_s=0.0)
                self._count_version(now, pending, state, failed=True)
                pending.held = outcome
                return self._repeat(now, serial, pending, ran=True)
            case ev.Broken():
                state.note_failure(now, AVOID_SILENT_S if outcome.silent else AVOID_S)
                self._count_version(now, pending, state, failed=True)
                pending.held = None
                pending.broken = outcome
                pending.started = pending.started or outcome.started
                return self._repeat(now, serial, pending, ran=True)
        raise TypeError(f"unknown outcome {outcome!r}")

    def _repeat(
        self, now: float, serial: int, pending: Pending, ran: bool, arrived=True
    ) -> list[ev.Effect]:
        """Sends a request to another server where the rules allow it.

        :param ran: the request may have run at the last server.
        :param arrived: the request reached the last server.
        """
        pending.runs += ran
        reason = pending.no_repeat(now)
        if reason:
            return self._give_up(serial, pending, reason)
        choice = self._chooser.choose(now, pending)
        if isinstance(choice, NoChoice):
            if choice.known and not pending.runs and not pending.started:
                return self._wait(now, serial, pending, choice.wait_s)
            return self._give_up(serial, pending, "no other server is available")
        if arrived and not self._budget.take(now):
            return self._give_up(serial, pending, "the retry budget is used up")
        return [self._send(now, serial, pending, choice)]

    def _give_up(
        self,
        serial: int,
        pending: Pending,
        reason: str,
        retry_after_s: float = RETRY_BUSY_S,
    ) -> list[ev.Effect]:
        """Ends a request with the answer that tells the truth about it.

        :param retry_after_s: when to come back, if it has not run.
        """
        del self._pending[serial]
        if pending.held is not None:
            return [ev.Relay(serial)]
        if pending.started:
            return [ev.Cut(serial, reason)]
        if pending.broken is not None:
            timed_out = pending.broken.silent
            return [ev.Refuse(serial, 504 if timed_out else 502, reason)]
        return [ev.Refuse(serial, 503, reason, retry_after_s)]

    def _on_caller_left(self, now: float, event: ev.CallerLeft) -> list[ev.Effect]:
        pending = self._pending.pop(event.serial, None)
        if pending is None:
            return []
        if pending.waiting:
            self._queues[pending.service.name].discard(event.serial)
        if pending.at is not None:
            pending.at.in_flight -= 1
            self._peers.changed(pending.at)
        return self._serve_waiting(now)

    def _count_version(
        self, now: float, pending: Pending, state: ServerState, failed: bool
    ) -> None:
        self._moves.count_response(
            now,
            pending.service.name,
            pending.route.name,
            state.record.version,
            failed,
            pending.first_s,
            pending.drawn,
        )
