"""Decides what an agent does with each request; does no I/O."""

import logging
from collections.abc import Callable

from heatherswitch.agent import effects as fx
from heatherswitch.agent import events as ev
from heatherswitch.agent.affinity_queue import AffinityQueue
from heatherswitch.agent.job_state import (
    JobState,
    Phase,
    expected_remaining_s,
    find_duplicate,
)
from heatherswitch.agent.request_policy import Identity, RequestPolicy, denial, not_run
from heatherswitch.fleet.admission import Admission, Admitted, PoolReport
from heatherswitch.fleet.members import Load
from heatherswitch.fleet.outcomes import Failed, NotRun, OutcomeUnknown, Reason
from heatherswitch.fleet.warmth import ColdStartLimiter, ColdStartSettings
from heatherswitch.statecore.reducer import Effect, Event, Log

# Error codes of the backend client for a lost connection.
CONNECTION_LOST_CODES = frozenset({"backend_closed", "truncated"})
# Consecutive failed health probes after which the server is considered down.
DOWN_AFTER_PROBES = 2
# Error code of a request that is not valid HTTP; no part of it was sent.
INVALID_REQUEST_CODE = "invalid_request"
# Mean age of the loads that a router sums for a pool, in seconds: half the interval of
# the exchange.
POOL_REPORT_AGE_S = 0.25
# Minimum interval between exchanges that newer router configurations cause, in seconds.
MIN_FETCH_CONFIG_INTERVAL_S = 0.5


class AgentReducer:
    """State and decisions of the agent of one backend server.

    :param identity: identity of this agent process.
    """

    __slots__ = (
        "_admission",
        "_affinity_queue",
        "_config_fetched_at",
        "_failed_probes",
        "_handlers",
        "_jobs",
        "_policy",
        "_warmth",
    )

    def __init__(self, identity: Identity) -> None:
        self._policy = RequestPolicy(identity)
        self._admission = Admission()
        self._affinity_queue = AffinityQueue(self._admission)
        self._warmth = ColdStartLimiter()
        self._jobs: dict[str, JobState] = {}
        self._failed_probes = 0
        self._config_fetched_at = float("-inf")
        self._handlers: dict[type, Callable[[Event], list[Effect]]] = {
            ev.ExecuteReceived: self._on_execute,
            ev.BackendFirstByte: self._on_first_byte,
            ev.BackendFinished: self._on_finished,
            ev.BackendFailed: self._on_failed,
            ev.CallerDisconnected: self._on_caller_disconnected,
            ev.CallerReconnected: self._on_caller_reconnected,
            ev.ClaimRecorded: self._on_claim_recorded,
            ev.ClaimRejected: self._on_claim_rejected,
            ev.ServerLoadReported: self._on_server_load,
            ev.HealthReported: self._on_health,
            ev.BackendRestarted: self._on_restarted,
            ev.PoolLoadReported: self._on_pool_load,
            ev.ServiceLoadReported: self._on_service_load,
            ev.VersionAgentsChanged: self._on_version_agents,
            ev.ConfigChanged: self._on_config,
            ev.Tick: self._on_tick,
            ev.StopRequested: self._on_stop,
        }

    @property
    def load(self) -> Load:
        """Current load; jobs whose claim is being recorded count as running."""
        queue = self._admission.queue
        return Load(queue.running, queue.queued, self._warmth.limit)

    @property
    def cold(self) -> bool:
        """True during a cold start of the backend server."""
        return self._warmth.cold

    @property
    def leaving(self) -> bool:
        """True once a shutdown was requested."""
        return self._policy.leaving

    @property
    def backend_up(self) -> bool:
        """False after failed health probes or a refused connection."""
        return self._failed_probes < DOWN_AFTER_PROBES

    @property
    def configured(self) -> bool:
        """True once a configuration was received."""
        return self._policy.configured

    @property
    def idle(self) -> bool:
        """True when there are no jobs and no held requests."""
        return not self._jobs and not self._affinity_queue

    def apply(self, event: Event) -> list[Effect]:
        """Applies an event to the state and returns the effects to execute."""
        effects = self._handlers[type(event)](event)
        effects += self._decide_held(event.now)
        return effects + self._start_queued(event.now)

    # Admission.

    def _on_execute(self, event: ev.ExecuteReceived) -> list[Effect]:
        duplicate = find_duplicate(event, self._jobs.values())
        if duplicate is not None:
            return self._attach_to_duplicate(event, duplicate)
        effects = self._fetch_newer_config(event)
        refusal = self._policy.refusal(event) or self._backend_refusal()
        refusal = refusal or self._affinity_queue.prefix_refusal(event)
        if refusal is not None:
            return [*effects, fx.Refuse(event.job_id, refusal)]
        self._update_pool_load(event)
        ticket = self._policy.ticket(event)
        limits = self._policy.limits(event.now, self._warmth)
        decision = self._admission.decide(event.now, ticket, limits)
        if isinstance(decision, Admitted):
            return effects + self._admit(event, ticket, decision)
        remaining_s = expected_remaining_s(
            event.now, self._jobs.values(), self._admission.service_times
        )
        if not self._affinity_queue.hold(
            event, ticket, decision, self._policy.settings(), remaining_s
        ):
            effects.append(fx.Refuse(event.job_id, denial(decision)))
        return effects

    def _admit(self, event: ev.ExecuteReceived, ticket, decision: Admitted) -> list:
        effects: list[Effect] = []
        if decision.displaced is not None:
            displaced = self._jobs[decision.displaced.id]
            effects += self._refuse_unstarted(displaced, Reason.FAIR_SHARE)
        self._jobs[event.job_id] = JobState(event, ticket)
        self._affinity_queue.note_admitted(event)
        self._admission.queue.add(ticket)
        return [*effects, fx.Admit(event.job_id)]

    def _decide_held(self, now: float) -> list[Effect]:
        """Admits or refuses held requests that need not wait any longer."""
        if not self._affinity_queue:
            return []
        refusal = self._policy.config_refusal(now) or self._backend_refusal()
        if refusal is not None:
            return [fx.Refuse(i, refusal) for i in self._affinity_queue.drain()]
        effects: list[Effect] = []
        limits = self._policy.limits(now, self._warmth)
        while (
            next_decision := self._affinity_queue.next_decision(now, limits)
        ) is not None:
            held, decision = next_decision
            if isinstance(decision, Admitted):
                effects += self._admit(held.event, held.ticket, decision)
                effects += self._start_queued(now)
            else:
                effects.append(fx.Refuse(held.event.job_id, denial(decision)))
        return effects

    def _backend_refusal(self) -> NotRun | None:
        return None if self.backend_up else not_run(Reason.BACKEND_DOWN)

    def _attach_to_duplicate(
        self, event: ev.ExecuteReceived, duplicate: JobState
    ) -> list[Effect]:
        if duplicate.request.fingerprint != event.fingerprint:
            return [fx.Refuse(event.job_id, not_run(Reason.KEY_REUSED))]
        duplicate.disconnected_at = None
        return [fx.AttachTo(event.job_id, duplicate.id)]

    def _fetch_newer_config(self, event: ev.ExecuteReceived) -> list[Effect]:
        due = event.now - self._config_fetched_at >= MIN_FETCH_CONFIG_INTERVAL_S
        if event.config_revision <= self._policy.revision or not due:
            return []
        self._config_fetched_at = event.now
        return [fx.FetchConfig()]

    def _update_pool_load(self, event: ev.ExecuteReceived) -> None:
        observed = event.observed
        if observed is None or not self._policy.in_own_pool(
            observed.service, observed.version
        ):
            return
        # Subtracting the current own load instead would count requests that have ended
        # here since the report as load of other agents.
        own = min(observed.own, observed.total)
        report = PoolReport(
            observed.total, observed.agents, own, event.now - observed.age_s
        )
        self._admission.pool.update(report)

    # Start of queued jobs.

    def _start_queued(self, now: float) -> list[Effect]:
        effects = []
        queue = self._admission.queue
        while (ticket := queue.pop(now, self._warmth.limit)) is not None:
            job = self._jobs[ticket.id]
            if self._policy.needs_claim(job.request):
                job.phase = Phase.CLAIMING
                job.claim_sent_at = now
                effects.append(fx.RecordClaim(job.id))
            else:
                effects.append(self._start_job(now, job, epoch=0))
        return effects

    def _start_job(self, now: float, job: JobState, epoch: int) -> Effect:
        job.phase = Phase.RUNNING
        job.started_at = now
        job.warmth_period = self._warmth.period
        job.running_at_start = self._admission.queue.running
        timeout_s = max(0.0, job.ticket.deadline_at - now)
        if not job.request.idempotent:
            # A job that must not run twice has to be able to finish once started.
            request_timeout_s = self._policy.settings().get("limits.request_timeout_s")
            timeout_s = max(timeout_s, request_timeout_s)
        queued_s = now - job.ticket.arrived_at
        priority = job.ticket.priority
        return fx.StartBackend(job.id, epoch, queued_s, timeout_s, priority)

    def _on_claim_recorded(self, event: ev.ClaimRecorded) -> list[Effect]:
        job = self._jobs.get(event.job_id)
        if job is None or job.phase is not Phase.CLAIMING:
            return [fx.AbandonClaim(event.job_id)]
        limit_s = self._policy.settings().get("claim_start_limit_s")
        job.claimed = True
        if event.now - job.claim_sent_at > limit_s:
            detail = "the claim took longer than claim_start_limit_s"
            return self._refuse_unstarted(job, Reason.STORE_UNAVAILABLE, detail)
        refusal = self._policy.config_refusal(event.now)
        if refusal is not None:
            return self._refuse_unstarted(job, refusal.reason)
        if event.now >= job.ticket.deadline_at:
            return self._refuse_unstarted(job, Reason.DEADLINE)
        return [self._start_job(event.now, job, event.epoch)]

    def _on_claim_rejected(self, event: ev.ClaimRejected) -> list[Effect]:
        job = self._jobs.get(event.job_id)
        if job is None or job.phase is not Phase.CLAIMING:
            return []
        self._remove(job)
        match event.result:
            case ev.StoredResponse():
                return [fx.ReplayOutcome(job.id, event.result)]
            case ev.DuplicateJob():
                return [fx.AttachTo(job.id, event.result.job_id)]
            case NotRun():
                return [fx.Refuse(job.id, event.result)]
        return [fx.Fail(job.id, event.result)]

    def _refuse_unstarted(
        self, job: JobState, reason: Reason, detail: str = ""
    ) -> list:
        self._remove(job)
        effects: list[Effect] = [fx.AbandonClaim(job.id)] if job.claimed else []
        return [*effects, fx.Refuse(job.id, not_run(reason, detail))]

    # Results from the backend server.

    def _on_first_byte(self, event: ev.BackendFirstByte) -> list[Effect]:
        # A busy server may be late for probes, but this response shows that it is up.
        self._failed_probes = 0
        if (job := self._jobs.get(event.job_id)) is not None:
            job.first_byte_at = event.now
        return []

    def _on_finished(self, event: ev.BackendFinished) -> list[Effect]:
        job = self._jobs.get(event.job_id)
        if job is None:
            return []
        self._remove(job)
        self._failed_probes = 0
        service_s = event.now - job.started_at
        self._admission.service_times.add(job.request.request_class, service_s)
        effects: list[Effect] = [fx.Complete(job.id, job.claimed, service_s)]
        if event.status >= 500:
            self._warmth.on_failure()
            return effects
        first_byte_at = job.first_byte_at or event.now
        first_byte_s = first_byte_at - job.started_at
        if self._warmth.on_response(
            job.warmth_period,
            first_byte_s,
            event.computed_tokens,
            job.running_at_start,
            job.started_at,
        ):
            effects.append(_cold_log("first token far above the warm level"))
        return effects

    def _on_failed(self, event: ev.BackendFailed) -> list[Effect]:
        job = self._jobs.get(event.job_id)
        if job is None:
            return []
        if event.code == INVALID_REQUEST_CODE:
            self._remove(job)
            abandon = [fx.AbandonClaim(job.id)] if job.claimed else []
            return [*abandon, fx.Fail(job.id, Failed(event.code, event.detail))]
        self._warmth.on_failure()
        if not event.sent:
            self._failed_probes = DOWN_AFTER_PROBES
            self._warmth.reset()
            effects = self._refuse_unstarted(job, Reason.BACKEND_DOWN, event.detail)
            return [*effects, _cold_log("connection refused")]
        if event.code in CONNECTION_LOST_CODES:
            self._warmth.on_connection_lost()
        self._remove(job)
        if job.request.idempotent:
            return [fx.Fail(job.id, Failed(event.code, event.detail))]
        return [fx.Fail(job.id, OutcomeUnknown(event.code, event.detail))]

    # Reports about the backend server and the pool.

    def _on_server_load(self, event: ev.ServerLoadReported) -> list[Effect]:
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

    def _on_pool_load(self, event: ev.PoolLoadReported) -> list[Effect]:
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
        self._policy.set_config(event.config)
        self._warmth.configure(ColdStartSettings.from_settings(self._policy.settings()))
        return self._check_zone_restored(event.now) + self._refuse_waiting(event.now)

    def _check_zone_restored(self, now: float) -> list[Effect]:
        if self._policy.zone_restored(now):
            # The load must grow gradually, because the server's cache is outdated and
            # so is the load that the routers know of it.
            self._warmth.reset()
            return [_cold_log("the zone was taken in again")]
        return []

    def _refuse_waiting(self, now: float) -> list[Effect]:
        """Refuses waiting jobs when the configuration or a shutdown forbids starts."""
        refusal = self._policy.config_refusal(now)
        if refusal is None:
            return []
        waiting = [j for j in self._jobs.values() if j.phase is Phase.WAITING]
        effects = []
        for job in waiting:
            effects += self._refuse_unstarted(job, refusal.reason)
        return effects

    # Disconnected callers, deadlines and shutdown.

    def _on_caller_disconnected(self, event: ev.CallerDisconnected) -> list[Effect]:
        if self._affinity_queue.remove(event.job_id):
            return [fx.Refuse(event.job_id, not_run(Reason.DEADLINE))]
        if (job := self._jobs.get(event.job_id)) is not None:
            job.disconnected_at = event.now
        return []

    def _on_caller_reconnected(self, event: ev.CallerReconnected) -> list[Effect]:
        if event.job_id in self._jobs:
            self._jobs[event.job_id].disconnected_at = None
        return []

    def _on_tick(self, event: ev.Tick) -> list[Effect]:
        if not self._policy.configured:
            return []
        window_s = self._policy.settings().get("limits.resume_window_s")
        effects = self._check_zone_restored(event.now) + self._refuse_waiting(event.now)
        for job in list(self._jobs.values()):
            effects += self._check_deadline(event.now, job, window_s)
        return effects

    def _check_deadline(
        self, now: float, job: JobState, window_s: float
    ) -> list[Effect]:
        abandoned = (
            job.disconnected_at is not None and job.disconnected_s(now) >= window_s
        )
        overdue = now >= job.ticket.deadline_at
        if job.phase is Phase.WAITING:
            expected_s = self._admission.service_times.estimate(
                job.request.request_class
            )
            too_late = now + expected_s >= job.ticket.deadline_at
            late = abandoned or too_late
            return self._refuse_unstarted(job, Reason.DEADLINE) if late else []
        if job.phase is Phase.CLAIMING and overdue:
            # If the claim is still recorded, it is abandoned then.
            return self._refuse_unstarted(job, Reason.DEADLINE)
        if job.phase is not Phase.RUNNING or not job.request.idempotent:
            return []
        if not (abandoned or overdue):
            return []
        self._remove(job)
        code = "caller_left" if abandoned else "deadline"
        return [fx.CancelBackend(job.id), fx.Fail(job.id, Failed(code))]

    def _on_stop(self, event: ev.StopRequested) -> list[Effect]:
        self._policy.leaving = True
        leaving_log = Log("agent is shutting down", {"in_flight": len(self._jobs)})
        return [leaving_log, *self._refuse_waiting(event.now)]

    def _remove(self, job: JobState) -> None:
        del self._jobs[job.id]
        self._admission.queue.remove(job.id)


def _cold_log(reason: str) -> Log:
    return Log("backend server is cold", {"reason": reason}, logging.WARNING)
