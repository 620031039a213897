"""Decides what an agent does with each request; pure."""

import logging
from collections.abc import Callable

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.gate import Gate, Identity, denial, not_run
from heatherswitch.agent.holding import Holding
from heatherswitch.agent.work import Phase, Work, find_same, finish_in
from heatherswitch.fleet.admission import Admission, Admitted, PoolReport
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown, Reason
from heatherswitch.fleet.warmth import ColdStartLimiter, ColdStartSettings
from heatherswitch.statecore.reducer import Effect, Event, Log

# Failures of the backend client that mean a broken connection.
CONNECTION_LOST = frozenset({"backend_closed", "truncated"})
# Consecutive failed health probes after which the server counts as down.
DOWN_AFTER_PROBES = 2
# Code of a request that HTTP does not allow; nothing of it was sent.
INVALID_REQUEST = "invalid_request"
# Mean age of the loads that a home router adds up, in seconds: half a period.
POOL_REPORT_AGE_S = 0.25
# Shortest time between two exchanges that a newer router revision causes, in
# seconds.
FETCH_CONFIG_EVERY_S = 0.5


class AgentReducer:
    """All decisions of the agent beside one backend server.

    :param identity: who the agent is.
    """

    __slots__ = (
        "_admission",
        "_failed_probes",
        "_fetched_at",
        "_gate",
        "_handlers",
        "_holding",
        "_warmth",
        "_works",
    )

    def __init__(self, identity: Identity) -> None:
        self._gate = Gate(identity)
        self._admission = Admission()
        self._holding = Holding(self._admission)
        self._warmth = ColdStartLimiter()
        self._works: dict[str, Work] = {}
        self._failed_probes = 0
        self._fetched_at = float("-inf")
        self._handlers: dict[type, Callable[[Event], list[Effect]]] = {
            ev.ExecuteReceived: self._on_execute,
            ev.BackendHead: self._on_head,
            ev.BackendFinished: self._on_finished,
            ev.BackendFailed: self._on_failed,
            ev.CallerLeft: self._on_caller_left,
            ev.CallerReturned: self._on_caller_returned,
            ev.ClaimRecorded: self._on_claim_recorded,
            ev.ClaimRejected: self._on_claim_rejected,
            ev.LoadReported: self._on_load,
            ev.HealthReported: self._on_health,
            ev.BackendRestarted: self._on_restarted,
            ev.PoolMeanReported: self._on_pool_mean,
            ev.ServiceLoadReported: self._on_service_load,
            ev.VersionAgentsChanged: self._on_version_agents,
            ev.ConfigChanged: self._on_config,
            ev.Tick: self._on_tick,
            ev.StopRequested: self._on_stop,
        }

    @property
    def load(self) -> Load:
        """Present load; work that is being claimed counts as running."""
        queue = self._admission.queue
        return Load(queue.running, queue.queued, self._warmth.limit)

    @property
    def cold(self) -> bool:
        """True during a cold start."""
        return self._warmth.cold

    @property
    def leaving(self) -> bool:
        """True after a stop was requested."""
        return self._gate.leaving

    @property
    def backend_up(self) -> bool:
        """False when health probes or connections failed."""
        return self._failed_probes < DOWN_AFTER_PROBES

    @property
    def configured(self) -> bool:
        """True once a configuration was received."""
        return self._gate.configured

    @property
    def idle(self) -> bool:
        """True when no work is in the agent."""
        return not self._works and not self._holding

    def apply(self, event: Event) -> list[Effect]:
        """Changes the state and returns what must be done."""
        made = self._handlers[type(event)](event)
        made += self._settle_held(event.now)
        return made + self._start_waiting(event.now)

    # Admission.

    def _on_execute(self, event: ev.ExecuteReceived) -> list[Effect]:
        same = find_same(event, self._works.values())
        if same is not None:
            return self._join(event, same)
        made = self._fetch_if_behind(event)
        refusal = self._gate.refusal(event) or self._down()
        refusal = refusal or self._holding.elsewhere(event)
        if refusal is not None:
            return [*made, fx.Refuse(event.work_id, refusal)]
        self._observe(event)
        ticket = self._gate.ticket(event)
        limits = self._gate.limits(event.now, self._warmth)
        decision = self._admission.decide(event.now, ticket, limits)
        if isinstance(decision, Admitted):
            return made + self._admit(event, ticket, decision)
        ends = finish_in(event.now, self._works.values(), self._admission.service_times)
        if not self._holding.take(event, ticket, decision, self._gate.settings(), ends):
            made.append(fx.Refuse(event.work_id, denial(decision)))
        return made

    def _admit(self, event: ev.ExecuteReceived, ticket, decision: Admitted) -> list:
        made: list[Effect] = []
        if decision.displaced is not None:
            displaced = self._works[decision.displaced.id]
            made += self._not_started(displaced, Reason.FAIR_SHARE)
        self._works[event.work_id] = Work(event, ticket)
        self._holding.note_admitted(event)
        self._admission.queue.add(ticket)
        return [*made, fx.Admit(event.work_id)]

    def _settle_held(self, now: float) -> list[Effect]:
        """Admits or refuses held requests whose wait is over."""
        if not self._holding:
            return []
        refusal = self._gate.order_refusal(now) or self._down()
        if refusal is not None:
            return [fx.Refuse(i, refusal) for i in self._holding.drain()]
        made: list[Effect] = []
        limits = self._gate.limits(now, self._warmth)
        while (settled := self._holding.settle(now, limits)) is not None:
            item, decision = settled
            if isinstance(decision, Admitted):
                made += self._admit(item.event, item.ticket, decision)
                made += self._start_waiting(now)
            else:
                made.append(fx.Refuse(item.event.work_id, denial(decision)))
        return made

    def _down(self) -> NotRun | None:
        return None if self.backend_up else not_run(Reason.BACKEND_DOWN)

    def _join(self, event: ev.ExecuteReceived, same: Work) -> list[Effect]:
        if same.request.fingerprint != event.fingerprint:
            return [fx.Refuse(event.work_id, not_run(Reason.KEY_REUSED))]
        same.detached_at = None
        return [fx.AttachTo(event.work_id, same.id)]

    def _fetch_if_behind(self, event: ev.ExecuteReceived) -> list[Effect]:
        due = event.now - self._fetched_at >= FETCH_CONFIG_EVERY_S
        if event.config_revision <= self._gate.revision or not due:
            return []
        self._fetched_at = event.now
        return [fx.FetchConfig()]

    def _observe(self, event: ev.ExecuteReceived) -> None:
        seen = event.observed
        if seen is None or not self._gate.in_own_pool(seen.service, seen.version):
            return
        # The present load would count requests that have ended here as load of others.
        own = min(seen.own, seen.total)
        report = PoolReport(seen.total, seen.agents, own, event.now - seen.age_s)
        self._admission.pool.update(report)

    # Start of waiting work.

    def _start_waiting(self, now: float) -> list[Effect]:
        made = []
        queue = self._admission.queue
        while (ticket := queue.pop(now, self._warmth.limit)) is not None:
            work = self._works[ticket.id]
            if self._gate.needs_claim(work.request):
                work.phase = Phase.CLAIMING
                work.claim_sent_at = now
                made.append(fx.RecordClaim(work.id))
            else:
                made.append(self._start(now, work, epoch=0))
        return made

    def _start(self, now: float, work: Work, epoch: int) -> Effect:
        work.phase = Phase.RUNNING
        work.started_at = now
        work.period = self._warmth.period
        work.running = self._admission.queue.running
        timeout_s = max(0.0, work.ticket.deadline_at - now)
        if not work.request.idempotent:
            # Started work that may not run twice must be able to finish.
            longest = self._gate.settings().get("limits.request_timeout_s")
            timeout_s = max(timeout_s, longest)
        queued_s = now - work.ticket.arrived_at
        priority = work.ticket.priority
        return fx.StartBackend(work.id, epoch, queued_s, timeout_s, priority)

    def _on_claim_recorded(self, event: ev.ClaimRecorded) -> list[Effect]:
        work = self._works.get(event.work_id)
        if work is None or work.phase is not Phase.CLAIMING:
            return [fx.AbandonClaim(event.work_id)]
        limit_s = self._gate.settings().get("claim_start_limit_s")
        work.claimed = True
        if event.now - work.claim_sent_at > limit_s:
            detail = "the claim took longer than claim_start_limit_s"
            return self._not_started(work, Reason.STORE_UNAVAILABLE, detail)
        refusal = self._gate.order_refusal(event.now)
        if refusal is not None:
            return self._not_started(work, refusal.reason)
        if event.now >= work.ticket.deadline_at:
            return self._not_started(work, Reason.DEADLINE)
        return [self._start(event.now, work, event.epoch)]

    def _on_claim_rejected(self, event: ev.ClaimRejected) -> list[Effect]:
        work = self._works.get(event.work_id)
        if work is None or work.phase is not Phase.CLAIMING:
            return []
        self._forget(work)
        match event.result:
            case ev.StoredAnswer():
                return [fx.ReplayOutcome(work.id, event.result)]
            case ev.SameWork():
                return [fx.AttachTo(work.id, event.result.work_id)]
            case NotRun():
                return [fx.Refuse(work.id, event.result)]
        return [fx.Fail(work.id, event.result)]

    def _not_started(self, work: Work, reason: Reason, detail: str = "") -> list:
        self._forget(work)
        made: list[Effect] = [fx.AbandonClaim(work.id)] if work.claimed else []
        return [*made, fx.Refuse(work.id, not_run(reason, detail))]

    # The backend server's answers.

    def _on_head(self, event: ev.BackendHead) -> list[Effect]:
        # A busy server may answer probes late; an answer shows that it is up.
        self._failed_probes = 0
        if (work := self._works.get(event.work_id)) is not None:
            work.first_byte_at = event.now
        return []

    def _on_finished(self, event: ev.BackendFinished) -> list[Effect]:
        work = self._works.get(event.work_id)
        if work is None:
            return []
        self._forget(work)
        self._failed_probes = 0
        service_s = event.now - work.started_at
        self._admission.service_times.add(work.request.request_class, service_s)
        made: list[Effect] = [fx.Complete(work.id, work.claimed, service_s)]
        if event.status >= 500:
            self._warmth.on_failure()
            return made
        first_byte_at = work.first_byte_at or event.now
        first_s = first_byte_at - work.started_at
        if self._warmth.on_response(
            work.period, first_s, event.computed_tokens, work.running, work.started_at
        ):
            made.append(_cold_log("first token far above the warm level"))
        return made

    def _on_failed(self, event: ev.BackendFailed) -> list[Effect]:
        work = self._works.get(event.work_id)
        if work is None:
            return []
        if event.code == INVALID_REQUEST:
            self._forget(work)
            abandon = [fx.AbandonClaim(work.id)] if work.claimed else []
            return [*abandon, fx.Fail(work.id, Failed(event.code, event.detail))]
        self._warmth.on_failure()
        if not event.sent:
            self._failed_probes = DOWN_AFTER_PROBES
            self._warmth.reset()
            made = self._not_started(work, Reason.BACKEND_DOWN, event.detail)
            return [*made, _cold_log("connection refused")]
        if event.code in CONNECTION_LOST:
            self._warmth.on_connection_lost()
        self._forget(work)
        if work.request.idempotent:
            return [fx.Fail(work.id, Failed(event.code, event.detail))]
        return [fx.Fail(work.id, OutcomeUnknown(event.code, event.detail))]

    # Hints about the backend server and the pool.

    def _on_load(self, event: ev.LoadReported) -> list[Effect]:
        if self._warmth.on_load_report(event.started_at):
            return [_cold_log("start time in the load report changed")]
        return []

    def _on_health(self, event: ev.HealthReported) -> list[Effect]:
        if not event.healthy:
            self._failed_probes += 1
            if self._failed_probes != DOWN_AFTER_PROBES:
                return []
            self._warmth.reset()
            return [_cold_log("health probes failed")]
        self._failed_probes = 0
        if self._warmth.on_health(event.incarnation, event.started_at):
            return [_cold_log("identity in the health report changed")]
        return []

    def _on_restarted(self, event: ev.BackendRestarted) -> list[Effect]:
        self._warmth.reset()
        return [_cold_log("restart reported")]

    def _on_pool_mean(self, event: ev.PoolMeanReported) -> list[Effect]:
        at = event.now - POOL_REPORT_AGE_S
        report = PoolReport(event.total, event.agents, event.own, at)
        self._admission.pool.update(report)
        return []

    def _on_service_load(self, event: ev.ServiceLoadReported) -> list[Effect]:
        report = PoolReport(event.total, event.agents, event.own, event.now)
        self._admission.unproven_budget.update(report)
        return []

    def _on_version_agents(self, event: ev.VersionAgentsChanged) -> list[Effect]:
        self._admission.unproven_budget.set_rank(event.rank, event.agents)
        return []

    def _on_config(self, event: ev.ConfigChanged) -> list[Effect]:
        self._gate.set_config(event.config)
        self._warmth.configure(ColdStartSettings.from_settings(self._gate.settings()))
        return self._check_zone(event.now) + self._drop_waiting(event.now)

    def _check_zone(self, now: float) -> list[Effect]:
        if self._gate.zone_returned(now):
            # Work returns gradually, because caches are old and the routers'
            # view of this server's load is too.
            self._warmth.reset()
            return [_cold_log("the zone was taken in again")]
        return []

    def _drop_waiting(self, now: float) -> list[Effect]:
        """Refuses waiting work after an order that lets nothing start."""
        refusal = self._gate.order_refusal(now)
        if refusal is None:
            return []
        waiting = [w for w in self._works.values() if w.phase is Phase.WAITING]
        made = []
        for work in waiting:
            made += self._not_started(work, refusal.reason)
        return made

    # Callers, time and the end.

    def _on_caller_left(self, event: ev.CallerLeft) -> list[Effect]:
        if self._holding.remove(event.work_id):
            return [fx.Refuse(event.work_id, not_run(Reason.DEADLINE))]
        if (work := self._works.get(event.work_id)) is not None:
            work.detached_at = event.now
        return []

    def _on_caller_returned(self, event: ev.CallerReturned) -> list[Effect]:
        if event.work_id in self._works:
            self._works[event.work_id].detached_at = None
        return []

    def _on_tick(self, event: ev.Tick) -> list[Effect]:
        if not self._gate.configured:
            return []
        window_s = self._gate.settings().get("limits.resume_window_s")
        made = self._check_zone(event.now) + self._drop_waiting(event.now)
        for work in list(self._works.values()):
            made += self._check_time(event.now, work, window_s)
        return made

    def _check_time(self, now: float, work: Work, window_s: float) -> list[Effect]:
        gone = work.detached_at is not None and work.detached_for(now) >= window_s
        overdue = now >= work.ticket.deadline_at
        if work.phase is Phase.WAITING:
            needed = self._admission.service_times.estimate(work.request.request_class)
            too_late = now + needed >= work.ticket.deadline_at
            late = gone or too_late
            return self._not_started(work, Reason.DEADLINE) if late else []
        if work.phase is Phase.CLAIMING and overdue:
            # The claim may still be recorded; it is abandoned then.
            return self._not_started(work, Reason.DEADLINE)
        if work.phase is not Phase.RUNNING or not work.request.idempotent:
            return []
        if not (gone or overdue):
            return []
        self._forget(work)
        code = "caller_left" if gone else "deadline"
        return [fx.CancelBackend(work.id), fx.Fail(work.id, Failed(code))]

    def _on_stop(self, event: ev.StopRequested) -> list[Effect]:
        self._gate.leaving = True
        left = Log("agent is leaving", {"in_flight": len(self._works)})
        return [left, *self._drop_waiting(event.now)]

    def _forget(self, work: Work) -> None:
        del self._works[work.id]
        self._admission.queue.remove(work.id)


def _cold_log(reason: str) -> Log:
    return Log("backend server is cold", {"reason": reason}, logging.WARNING)
