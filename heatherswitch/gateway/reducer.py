"""The gateway's decisions: one reducer over all events, with effects as data.

It decides where a request goes, whether it waits, is retried at another server or is
refused. It performs no I/O and reads no clock.
"""

from heatherswitch.fleet.shares import FleetSize
from heatherswitch.gateway import events as ev
from heatherswitch.gateway.admission import RETRY_BUSY_S, Denied, admit
from heatherswitch.gateway.crash_handling import CrashHandling
from heatherswitch.gateway.current_configuration import CurrentConfiguration
from heatherswitch.gateway.limits import Limits
from heatherswitch.gateway.model import CallerRequest, Service
from heatherswitch.gateway.peers import MAX_LOAD_QUERIES, PeerView
from heatherswitch.gateway.pending import Pending
from heatherswitch.gateway.placement import RequestPlacer
from heatherswitch.gateway.prefix_index import PrefixIndex
from heatherswitch.gateway.request_queue import (
    MAX_WAIT_TIME_SHARE,
    MIN_QUEUE_LENGTH,
    QUEUE_SLOT_RATIO,
    QueuedRequest,
    RequestQueue,
)
from heatherswitch.gateway.response_speed import AttemptTimes
from heatherswitch.gateway.retry_budget import RetryBudget
from heatherswitch.gateway.rollout_table import RolloutTable
from heatherswitch.gateway.rollouts import Rollout
from heatherswitch.gateway.selection import (
    Choice,
    NoChoice,
    Selector,
)
from heatherswitch.gateway.servers import (
    BACKOFF_S,
    UNRESPONSIVE_BACKOFF_S,
    ServerState,
    ServerTable,
)

# Why requests end that are still open at the end of the grace period.
STOP_REASON = "the gateway stops"
# Why requests with a quarantined part of the prompt are refused or not sent again.
NO_SERVER_REASON = "no server is available"
QUARANTINE_REASON = "servers crash on a part of the prompt"
# Why requests that have reached a server are not sent to another one.
BUDGET_REASON = "the retry budget is used up"


class GatewayReducer:
    """Decision logic and state of one gateway.

    :param now: start time, in seconds of the clock given to :meth:`apply`.
    :param own_id: id of this gateway in the fleet.
    :param zone: availability zone of this gateway.
    :param regions: zone to its region.
    """

    __slots__ = (
        "_configuration",
        "_crashes",
        "_fleet",
        "_limits",
        "_peers",
        "_pending",
        "_placer",
        "_prefixes",
        "_queues",
        "_retry_budget",
        "_rollouts",
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
        self._rollouts = RolloutTable(own_id, int(now * 1000), limits.exposure)
        self._fleet = FleetSize(
            own_id, limits.expected_fleet, now + limits.timing.member_ttl_s
        )
        self._prefixes = PrefixIndex()
        self._servers = ServerTable(limits.timing.outage_s, limits.entry_ttl_s)
        self._peers = PeerView(own_id, self._servers, self._prefixes)
        self._crashes = CrashHandling(own_id, self._peers, self._servers)
        self._placer = RequestPlacer(
            self._servers,
            Selector(self._fleet, self._prefixes, zone),
            self._rollouts,
            self._fleet,
            self._peers,
            regions,
        )
        self._configuration = CurrentConfiguration(
            limits.key_max_age_s, limits.timing.refuse_age_s
        )
        self._pending: dict[int, Pending] = {}
        self._queues: dict[str, RequestQueue] = {}
        self._retry_budget = RetryBudget(
            now, limits.budget_ratio, limits.budget_slack, self._fleet
        )

    @property
    def configuration(self) -> CurrentConfiguration:
        """The configuration in force and its age."""
        return self._configuration

    @property
    def fleet_size(self) -> int:
        """Number of routers among which fleet-wide limits are divided."""
        return self._fleet.size

    @property
    def peer_count(self) -> int:
        """Number of gateways that can be queried for loads, including this one."""
        return self._peers.peer_count

    @property
    def rollouts(self) -> dict[str, Rollout]:
        """Newest rollout of each service."""
        return self._rollouts.by_service

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a server."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones whose backend servers get no new requests."""
        return self._placer.zones_out

    @property
    def crashes(self) -> CrashHandling:
        """Crash reports and the prompt parts that are kept from the servers."""
        return self._crashes

    @property
    def pending_count(self) -> int:
        """Number of requests whose final response was not sent yet."""
        return len(self._pending)

    def retry_budget_left(self, now: float, service: str) -> float:
        """Returns the number of repeats that may be sent to a service now."""
        return self._retry_budget.left(now, service)

    def servers_age_s(self, now: float) -> float:
        """Returns the seconds since the store confirmed the list of servers."""
        return self._servers.age_s(now)

    def ready(self, now: float) -> bool:
        """Tells whether the configuration is recent enough to serve new callers."""
        if self._configuration.configuration is None:
            return False
        return self._configuration.age_s(now) < self._limits.timing.ready_age_s

    def server_accepts_work(self, now: float, server_id: str) -> bool:
        """Tells whether a server is known and new requests may be sent to it."""
        state = self._servers.get(server_id)
        return state is not None and state.accepts_work(now)

    def apply(self, now: float, event: ev.Event) -> list[ev.Effect]:
        """Processes one event.

        :param now: seconds of a clock that keeps running while the VM is suspended.
        :returns: effects for the shell to carry out.
        """
        match event:
            case ev.RequestArrived():
                return self._on_arrival(now, event)
            case ev.ResponseStarted():
                return self._on_response_started(now, event)
            case ev.AttemptStalled():
                return self._on_attempt_stalled(now, event)
            case ev.StreamProgressed():
                return self._on_stream_progressed(now, event)
            case ev.NoticeReceived():
                return self._on_notice(now, event)
            case ev.PeerNoticeReceived():
                return self._on_peer_notice(now, event)
            case ev.AttemptEnded():
                return self._on_attempt_ended(now, event)
            case ev.CallerDisconnected():
                return self._on_caller_disconnected(now, event)
            case ev.ServerListed():
                return self._on_server_listed(now, event)
            case ev.ServerRemoved():
                return self._on_server_removed(now, event)
            case ev.ConfigurationRead():
                self._configuration.update(event.configuration)
            case ev.StoreConfirmed():
                self._configuration.confirm(event.current_at)
                self._servers.confirm(event.current_at)
                return []
            case ev.StoreRestored():
                self._servers.note_restored(now)
                self._rollouts.note_restored(now)
                return self._crashes.note_restored()
            case ev.ServersConfirmed():
                self._servers.confirm(event.current_at)
                return []
            case (
                ev.LoadReplyReceived()
                | ev.PrefixOwnerReplyReceived()
                | ev.PeerQueryFailed()
            ):
                return self._on_peer_reply(now, event)
            case ev.PeerCountsReceived():
                return self._peers.on_counts(now, event)
            case ev.ServiceTotalsReceived():
                return self._peers.on_totals(now, event)
            case ev.GraceEnding():
                return self._on_grace_ending(now)
            case ev.PeerFlushDue():
                return self._peers.flush(now)
            case ev.ZonesOut():
                self._placer.zones_out = event.zones
            case ev.RoutersListed():
                self._fleet.update(event.ids)
                self._peers.update(event.addresses)
                self._retry_budget.update_share(now)
            case ev.RolloutOrdered():
                versions = self._servers.versions(event.service)
                self._rollouts.on_order(now, event, versions)
            case ev.RolloutStatusRead():
                self._rollouts.on_status(event)
            case ev.RolloutProgressRead():
                self._rollouts.on_progress(now, event)
            case ev.RolloutEvidenceRead():
                self._rollouts.on_evidence(now, event)
            case ev.CrashEvent():
                changed = self._crashes.apply(now, event)
                return [*changed, *self._dispatch_waiting(now)]
            case ev.Tick():
                self._servers.expire(now)
                self._retry_budget.update_share(now)
                for pending in self._pending.values():
                    self._judge_speed(now, pending)
                self._rollouts.tick(now, self._servers.versions)
                return [
                    *self._returned_servers(),
                    *self._crashes.tick(now),
                    *self._dispatch_waiting(now),
                ]
        return self._dispatch_waiting(now)

    def _on_server_listed(self, now: float, event: ev.ServerListed) -> list[ev.Effect]:
        if self._servers.is_foreign(event.server):
            # As one that can't be read: the server's next heartbeat replaces it.
            removed = ev.ServerRemoved(event.server.id, after_outage=False)
            return self._on_server_removed(now, removed)
        effects: list[ev.Effect] = []
        known = self._servers.get(event.server.id)
        in_use = known is not None and not known.leaving
        outdated = self._servers.is_outdated(now, event.server)
        if self._servers.upsert(now, event.server):
            self._prefixes.remove_server(event.server.id)
            if (
                known is not None
                and known.record.incarnation != event.server.incarnation
            ):
                effects = self._crashes.note_ended(now, known.record)
        if not outdated:
            effects += self._crashes.note_heartbeat(event.server)
        if in_use and known.leaving:
            effects.append(self._taken_out(now, event.server.id, "leaving"))
            self._peers.note_leaving(event.server)
        return [*effects, *self._dispatch_waiting(now)]

    def _on_server_removed(
        self, now: float, event: ev.ServerRemoved
    ) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        known = self._servers.get(event.server_id)
        self._servers.remove(now, event.server_id, event.after_outage)
        if known is not None and not event.after_outage and not known.leaving:
            effects = self._crashes.note_ended(now, known.record)
            effects.append(self._taken_out(now, event.server_id, "removed"))
        return [*effects, *self._dispatch_waiting(now)]

    def _taken_out(self, now: float, server_id: str, reason: str) -> ev.ServerTakenOut:
        """Returns the effect for a server that the store no longer lists as ready.

        The store did not have the change yet when it last confirmed its list.
        """
        delay_s = self._servers.age_s(now)
        return ev.ServerTakenOut(server_id, "", reason, "store", delay_s)

    def _returned_servers(self) -> list[ev.Effect]:
        returned = self._servers.take_returned()
        return [ev.ServerReturned(server_id, reason) for server_id, reason in returned]

    def _on_notice(self, now: float, event: ev.NoticeReceived) -> list[ev.Effect]:
        """Takes a server out that says that it is leaving or wants no requests."""
        reason = self._servers.take_out(now, event.server, event.leaving, event.busy_s)
        if not reason:
            return []
        if reason == "leaving":
            self._peers.note_leaving(event.server)
        return [ev.ServerTakenOut(event.server.id, event.request_id, reason)]

    def _on_peer_notice(
        self, now: float, event: ev.PeerNoticeReceived
    ) -> list[ev.Effect]:
        """Takes a start of a server out that told another gateway that it leaves."""
        if not self._peers.is_peer(event.peer):
            return [ev.RejectPeerMessage(event.peer)]
        if not self._servers.take_out(now, event.start, leaving=True):
            return []
        return [ev.ServerTakenOut(event.start.id, "", "leaving", "peer")]

    # Arrival

    def screen(self, now: float, request: CallerRequest) -> ev.Refuse | None:
        """Returns the refusal of a request whose body is not read yet.

        :returns: None if the request may be served once it has arrived.
        """
        pending = self._admit(now, 0, request)
        if isinstance(pending, ev.Refuse):
            return pending
        if self._placer.has_server(now, pending):
            return None
        return ev.Refuse(0, 503, NO_SERVER_REASON, self._retry_after_s(now, pending))

    def _admit(
        self, now: float, serial: int, request: CallerRequest
    ) -> Pending | ev.Refuse:
        admitted = admit(now, self._configuration, request)
        if isinstance(admitted, Denied):
            return ev.Refuse(
                serial, admitted.status, admitted.reason, admitted.retry_after_s
            )
        return Pending(
            request,
            admitted.route,
            admitted.service,
            admitted.workspace,
            now,
            now + admitted.timeout_s,
        )

    def _on_arrival(self, now: float, event: ev.RequestArrived) -> list[ev.Effect]:
        serial = event.serial
        pending = self._admit(now, serial, event.request)
        if isinstance(pending, ev.Refuse):
            return [pending]
        self._pending[serial] = pending
        self._retry_budget.count_request(now, pending.service.name)
        self._crashes.note_request(pending)
        return self._place_request(now, serial, pending)

    # Placement

    def _place_request(
        self, now: float, serial: int, pending: Pending
    ) -> list[ev.Effect]:
        """Forwards a request, queries a peer for it, queues it or refuses it."""
        if (refusal_s := self._crashes.refusal_s(now, pending)) is not None:
            return self._end_unserved(serial, pending, QUARANTINE_REASON, refusal_s)
        choice = self._placer.choose_or_query(now, serial, pending)
        if isinstance(choice, ev.QueryLoad | ev.QueryHolder):
            return [choice]
        if isinstance(choice, Choice):
            return [self._forward(now, serial, pending, choice)]
        if choice.eligible == 0:
            return self._end_unserved(
                serial,
                pending,
                NO_SERVER_REASON,
                self._retry_after_s(now, pending),
            )
        return self._enqueue(now, serial, pending, choice.wait_s)

    def _on_peer_reply(
        self,
        now: float,
        event: ev.LoadReplyReceived | ev.PrefixOwnerReplyReceived | ev.PeerQueryFailed,
    ) -> list[ev.Effect]:
        """Resumes a request after the reply to its peer query, or the query's failure."""
        match event:
            case ev.LoadReplyReceived():
                self._peers.on_load_reply(now, event)
            case ev.PrefixOwnerReplyReceived():
                self._peers.on_prefix_owner_reply(event)
            case ev.PeerQueryFailed():
                self._peers.on_query_failed(now, event.peer)
        pending = self._pending.get(event.serial)
        if pending is None:
            return []
        if isinstance(event, ev.PrefixOwnerReplyReceived):
            pending.note_holder_reply(event.holder.part)
        if isinstance(event, ev.PeerQueryFailed):
            # Waiting for another reply would delay the caller more than a server above
            # its load bound does.
            pending.load_queries = MAX_LOAD_QUERIES
            pending.queried_parts.update(p.id for p in pending.request.shared_parts)
        return self._place_request(now, event.serial, pending)

    def _forward(
        self, now, serial: int, pending: Pending, choice: Choice
    ) -> ev.Forward:
        state = choice.server
        state.take_cold_token(now)
        state.in_flight += 1
        state.notices.start_request(serial)
        self._peers.note_changed(state)
        pending.current_server = state
        pending.times = AttemptTimes(now)
        pending.queued = False
        if pending.arrivals:
            self._retry_budget.draw(now, pending.service.name)
        pending.in_version_split = self._rollouts.count_request(
            now,
            pending.service.name,
            state.record.version,
            self._fleet.size_upper_bound(now),
        )
        pending.tried_ids.append(state.record.id)
        return ev.Forward(
            serial,
            state.record,
            choice.copy_source.record if choice.copy_source else None,
            pending.route,
            pending.workspace.name if pending.workspace else "",
            pending.priority,
            pending.deadline_at,
            pending.stall_timeout_s,
            f"{choice.reason}; load {state.load(now):.0f}",
            pending.arrivals,
            self._servers.age_s(now),
        )

    def _enqueue(
        self, now: float, serial: int, pending: Pending, wait_s: float
    ) -> list[ev.Effect]:
        """Queues a request, or refuses it.

        It is refused if it would wait for a cold server, or for one that wants no
        requests for some time, longer than ``MAX_WAIT_TIME_SHARE`` of the time left
        until its deadline, or if the queue is full of requests that are at least as
        urgent. Otherwise, it displaces the least urgent request of a full queue.

        :param wait_s: seconds until a server takes one more request; infinite if that
            depends on other requests ending.
        """
        longest_s = MAX_WAIT_TIME_SHARE * (pending.deadline_at - now)
        if longest_s < wait_s < float("inf"):
            retry_after_s = self._placer.retry_after_s(now, pending) or wait_s
            return self._end_unserved(
                serial, pending, "the servers are cold or busy", retry_after_s
            )
        queue = self._queues.setdefault(pending.service.name, RequestQueue())
        queued = QueuedRequest(pending.priority, now, serial, now + longest_s)
        effects: list[ev.Effect] = []
        if len(queue) >= self._queue_limit(pending.service):
            last = queue.least_urgent()
            if last is None or last.priority <= queued.priority:
                return self._end_unserved(serial, pending, "the queue is full")
            effects = self._refuse_queued(last, "displaced by a more urgent request")
        queue.add(queued)
        pending.queued = True
        return effects

    def _queue_limit(self, service: Service) -> int:
        slots = sum(s.record.slots for s in self._servers.for_service(service.name))
        return max(MIN_QUEUE_LENGTH, int(QUEUE_SLOT_RATIO * slots / self._fleet.size))

    def _refuse_queued(
        self, queued: QueuedRequest, reason: str, retry_after_s: float = RETRY_BUSY_S
    ) -> list[ev.Effect]:
        pending = self._pending[queued.serial]
        self._queues[pending.service.name].discard(queued.serial)
        return self._end_unserved(queued.serial, pending, reason, retry_after_s)

    def _retry_after_s(self, now: float, pending: Pending) -> float:
        """Returns the seconds after which a server is likely to take the request."""
        return self._placer.retry_after_s(now, pending) or RETRY_BUSY_S

    def _dispatch_waiting(self, now: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        for queue in self._queues.values():
            for queued in queue.expired(now):
                effects += self._refuse_queued(queued, "no server had room in time")
            while (queued := queue.first()) is not None:
                pending = self._pending[queued.serial]
                if (refusal_s := self._crashes.refusal_s(now, pending)) is not None:
                    effects += self._refuse_queued(queued, QUARANTINE_REASON, refusal_s)
                    continue
                choice = self._placer.choose(now, pending)
                if isinstance(choice, Choice) and self._denies_repeat(now, pending):
                    effects += self._refuse_queued(
                        queued, BUDGET_REASON, self._retry_after_s(now, pending)
                    )
                elif isinstance(choice, Choice):
                    queue.discard(queued.serial)
                    effects.append(self._forward(now, queued.serial, pending, choice))
                elif choice.eligible == 0:
                    effects += self._refuse_queued(
                        queued,
                        NO_SERVER_REASON,
                        self._retry_after_s(now, pending),
                    )
                elif choice.busy and now + choice.wait_s > queued.expires_at:
                    effects += self._refuse_queued(
                        queued,
                        "the servers are cold or busy",
                        self._retry_after_s(now, pending),
                    )
                else:
                    break
        return effects

    # Attempts

    def _on_response_started(
        self, now: float, event: ev.ResponseStarted
    ) -> list[ev.Effect]:
        pending = self._pending.get(event.serial)
        if pending is None or pending.current_server is None:
            return []
        pending.times.head_s = event.first_byte_s
        if event.load is not None:
            pending.current_server.set_reported_load(now, event.load)
        pending.current_server.extend_cold_period(now, event.cold_for_s)
        if not event.success:
            # Perhaps of another server at the address.
            return []
        pending.current_server.notices.end_request(event.serial, taken=True)
        self._prefixes.add(
            pending.request.shared_parts, pending.current_server.record.id
        )
        effects = self._crashes.note_answer(now, pending)
        return [*effects, *self._dispatch_waiting(now)] if effects else []

    def _on_stream_progressed(
        self, now: float, event: ev.StreamProgressed
    ) -> list[ev.Effect]:
        pending = self._pending.get(event.serial)
        if pending is not None:
            pending.times.first_event_s = event.first_event_s
            pending.times.event_interval_s = event.event_interval_s
            self._judge_speed(now, pending)
        return []

    def _on_attempt_stalled(
        self, now: float, event: ev.AttemptStalled
    ) -> list[ev.Effect]:
        """Ends a stalled attempt only if another server takes over in the same step.

        A slow server may still complete the response before the deadline, so an attempt
        that has no replacement goes on.
        """
        pending = self._pending.get(event.serial)
        if pending is None or pending.current_server is None:
            return []
        pending.note_delivery(event.outcome)
        choice = self._choose_for_retry(now, pending)
        reason = choice if isinstance(choice, str) else ""
        if isinstance(choice, NoChoice):
            reason = "no other server is available"
        elif isinstance(choice, Choice) and choice.server.in_backoff(now):
            reason = "the other servers failed recently"
        if reason:
            pending.current_server.record_failure(now, UNRESPONSIVE_BACKOFF_S)
            return [ev.KeepWaiting(event.serial, reason)]
        ended = ev.AttemptEnded(event.serial, event.outcome)
        return self._on_attempt_ended(now, ended, choice)

    def _on_attempt_ended(
        self, now: float, event: ev.AttemptEnded, replacement: Choice | None = None
    ) -> list[ev.Effect]:
        """Retries or ends a request whose attempt ended.

        :param replacement: server that was already chosen for the retry of a broken
            attempt.
        """
        pending = self._pending.get(event.serial)
        if pending is None or pending.current_server is None:
            return []
        state, pending.current_server = pending.current_server, None
        state.in_flight -= 1
        state.notices.end_request(
            event.serial, isinstance(event.outcome, ev.Completed | ev.FailedAnswer)
        )
        self._peers.note_changed(state)
        effects = self._on_outcome(
            now, event.serial, pending, state, event.outcome, replacement
        )
        return effects + self._dispatch_waiting(now)

    def _on_outcome(
        self, now, serial, pending, state, outcome, replacement: Choice | None = None
    ) -> list[ev.Effect]:
        match outcome:
            case ev.Completed(_, total_s):
                state.record_success(total_s)
                self._count_version_result(now, pending, state, failed=False)
                del self._pending[serial]
                noted = self._crashes.note_completed(now, pending, outcome)
                return [ev.Finish(serial), *noted]
            case ev.NotSent():
                state.record_failure(now, UNRESPONSIVE_BACKOFF_S)
                if outcome.refused:
                    state.exclude(now, self._limits.entry_ttl_s)
                return self._retry(now, serial, pending, ran=False, arrived=False)
            case ev.Rejected(_, other_instance):
                state.record_failure(now)
                if other_instance:
                    state.exclude(now, self._limits.entry_ttl_s)
                return self._retry(now, serial, pending, ran=False)
            case ev.FailedAnswer():
                state.record_failure(now, base_backoff_s=0.0)
                self._count_version_result(now, pending, state, failed=True)
                pending.buffered_error = outcome
                return self._retry(now, serial, pending, ran=True)
            case ev.Broken():
                state.record_failure(
                    now, UNRESPONSIVE_BACKOFF_S if outcome.silent else BACKOFF_S
                )
                self._count_version_result(now, pending, state, failed=True)
                pending.note_broken(outcome)
                reported = self._crashes.report(now, serial, pending, state, outcome)
                effects = self._retry(
                    now, serial, pending, ran=True, replacement=replacement
                )
                return effects + reported
            case ev.Interrupted():
                # Says nothing about the server or its version.
                pending.note_broken(
                    ev.Broken(STOP_REASON, outcome.started, silent=True)
                )
                return self._end_unserved(serial, pending, STOP_REASON)
        raise TypeError(f"unknown outcome {outcome!r}")

    def _retry(
        self,
        now: float,
        serial: int,
        pending: Pending,
        ran: bool,
        arrived: bool = True,
        replacement: Choice | None = None,
    ) -> list[ev.Effect]:
        """Sends a request to another server if the retry rules allow it.

        :param ran: the request may have run at the last server.
        :param arrived: the request reached the last server.
        :param replacement: server that :meth:`_choose_for_retry` returned in this step.
        """
        pending.possible_runs += ran
        pending.arrivals += arrived
        if pending.arrivals and not arrived:
            self._retry_budget.refund(now, pending.service.name)
        if (refusal_s := self._crashes.refusal_s(now, pending)) is not None:
            return self._end_unserved(serial, pending, QUARANTINE_REASON, refusal_s)
        choice = replacement or self._choose_for_retry(now, pending)
        if isinstance(choice, str):
            return self._end_unserved(
                serial, pending, choice, self._retry_after_s(now, pending)
            )
        if isinstance(choice, NoChoice):
            if self._denies_repeat(now, pending):
                return self._end_unserved(
                    serial, pending, BUDGET_REASON, self._retry_after_s(now, pending)
                )
            if (
                choice.eligible
                and not pending.possible_runs
                and not pending.partly_delivered
            ):
                return self._enqueue(now, serial, pending, choice.wait_s)
            return self._end_unserved(
                serial,
                pending,
                "no other server is available",
                self._retry_after_s(now, pending),
            )
        return [self._forward(now, serial, pending, choice)]

    def _denies_repeat(self, now: float, pending: Pending) -> bool:
        """Tells whether a send would be a repeat that the retry budget doesn't allow."""
        service = pending.service.name
        return pending.reached_server and not self._retry_budget.is_available(
            now, service
        )

    def _choose_for_retry(
        self, now: float, pending: Pending
    ) -> Choice | NoChoice | str:
        """Returns another server for a request, or why it may not be sent again."""
        if self._crashes.refusal_s(now, pending) is not None:
            return QUARANTINE_REASON
        reason = pending.reason_not_to_retry(now)
        if reason:
            return reason
        choice = self._placer.choose(now, pending)
        if isinstance(choice, Choice) and self._denies_repeat(now, pending):
            return BUDGET_REASON
        return choice

    def _end_unserved(
        self,
        serial: int,
        pending: Pending,
        reason: str,
        retry_after_s: float = RETRY_BUSY_S,
    ) -> list[ev.Effect]:
        """Ends a request with a response that does not misstate whether it has run.

        Only a request that has certainly not run is refused with status 503.

        :param retry_after_s: value of Retry-After for a request that has not run.
        """
        del self._pending[serial]
        if pending.buffered_error is not None:
            return [ev.Relay(serial)]
        if pending.partly_delivered:
            return [ev.Cut(serial, reason)]
        if pending.ambiguous_failure is not None:
            timed_out = pending.ambiguous_failure.silent
            return [ev.Refuse(serial, 504 if timed_out else 502, reason)]
        return [ev.Refuse(serial, 503, reason, retry_after_s)]

    def _on_grace_ending(self, now: float) -> list[ev.Effect]:
        """Refuses the queued requests; the others are not retried any more."""
        effects: list[ev.Effect] = []
        for serial, pending in list(self._pending.items()):
            pending.deadline_at = min(pending.deadline_at, now)
            if pending.queued:
                self._queues[pending.service.name].discard(serial)
                effects += self._end_unserved(serial, pending, STOP_REASON)
        return effects

    def _on_caller_disconnected(
        self, now: float, event: ev.CallerDisconnected
    ) -> list[ev.Effect]:
        pending = self._pending.pop(event.serial, None)
        if pending is None:
            return []
        if pending.queued:
            self._queues[pending.service.name].discard(event.serial)
        effects: list[ev.Effect] = []
        if pending.current_server is not None:
            # A server without power breaks no connection off, and callers leave first.
            effects = self._crashes.note_silent(
                now, event.serial, pending, pending.current_server
            )
            # Callers leave when a response is slow, so their requests are evidence too.
            self._judge_speed(now, pending)
            pending.current_server.in_flight -= 1
            pending.current_server.notices.end_request(event.serial, taken=False)
            self._peers.note_changed(pending.current_server)
        return [*effects, *self._dispatch_waiting(now)]

    def _judge_speed(self, now: float, pending: Pending) -> None:
        """Counts the speed of an open attempt as evidence once it is known."""
        state = pending.current_server
        if state is None or not pending.in_version_split:
            return
        self._rollouts.count_speed(
            now,
            pending.service.name,
            pending.route.name,
            state.record.version,
            pending.times,
        )

    def _count_version_result(
        self, now: float, pending: Pending, state: ServerState, failed: bool
    ) -> None:
        self._rollouts.count_response(
            now,
            pending.service.name,
            pending.route.name,
            state.record.version,
            failed,
            pending.times,
            pending.in_version_split,
        )
