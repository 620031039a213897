"""Decides on the attempts of each request and on its final outcome."""

import heapq
import logging
from collections import Counter

from heatherswitch.fleet.config import FleetConfig
from heatherswitch.fleet.members import Member, MemberTable
from heatherswitch.fleet.outcomes import (
    Failed,
    Finished,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from heatherswitch.fleet.placement import Placement, PlacementKey
from heatherswitch.router import events
from heatherswitch.router.effects import (
    CancelAttempt,
    CompleteRequest,
    Dispatch,
    Resume,
)
from heatherswitch.router.retries import AvoidedAgents, ServiceRetryBudgets
from heatherswitch.statecore.reducer import Effect, Event, Log

# How often one attempt is resumed after silence.
MAX_RESUMES = 2
# The agent enforces the deadline as well, and it knows whether the request has started.
# The router waits this many seconds for its report.
DEADLINE_GRACE_S = 0.1
# Suggested delay before the caller retries.
RETRY_AFTER_MS = 500
# After this many refusals by agents of one version, agents of other versions are tried
# first, since an unproven version refuses all but a few requests.
MAX_VERSION_REFUSALS = 2
# Refusals that only redirect the request to another agent.
REDIRECT_REASONS = frozenset({Reason.NOT_OWNER, Reason.PREFIX_ELSEWHERE})
# Refusals that every other agent would repeat.
FINAL_REASONS = frozenset({Reason.KEY_REUSED, Reason.STORE_UNAVAILABLE})


class _RequestState:
    """State of a request that has no outcome yet."""

    __slots__ = (
        "agent_id",
        "arrived",
        "attempt",
        "executed_outcome",
        "owner_hint",
        "redirected_by",
        "refusal",
        "resumes",
        "tried_agents",
        "version",
        "version_refusals",
    )

    def __init__(self, arrived: events.RequestArrived) -> None:
        self.arrived = arrived
        self.attempt = 0
        self.agent_id = ""
        self.tried_agents: set[str] = set()
        # Version of the last attempt, and refusals by version.
        self.version = ""
        self.version_refusals: Counter[str] = Counter()
        # Partition owner named by the last NOT_OWNER refusal.
        self.owner_hint = ""
        self.resumes = 0
        self.refusal: NotRun | None = None
        # Agents that redirected the request, because another one served the chat last.
        self.redirected_by: set[str] = set()
        # Outcome of an earlier attempt that ran or may have run.
        self.executed_outcome: Failed | OutcomeUnknown | None = None

    def readmit_redirecting_agents(self) -> None:
        """Makes the agents that redirected the request eligible again."""
        self.tried_agents -= self.redirected_by
        self.redirected_by.clear()

    def record_executed(self, outcome: Failed | OutcomeUnknown) -> None:
        """Stores an outcome; an unknown one is never replaced by a failed one."""
        if not isinstance(self.executed_outcome, OutcomeUnknown):
            self.executed_outcome = outcome

    def record_refusal(self, refusal: NotRun) -> None:
        """Stores a refusal; the first one that is not a redirection is kept."""
        if self.refusal is None or self.refusal.reason in REDIRECT_REASONS:
            self.refusal = refusal


class RouterReducer:
    """State machine of the router, without I/O.

    :param config: current configuration; the fleet node updates it in place.
    :param members: membership table; the fleet node updates it in place.
    """

    __slots__ = (
        "_avoided",
        "_config",
        "_deadlines",
        "_handlers",
        "_placement",
        "_requests",
        "_retry_budgets",
        "_serve_until",
    )

    def __init__(self, config: FleetConfig, members: MemberTable) -> None:
        self._config = config
        self._placement = Placement(config, members)
        self._avoided = AvoidedAgents()
        self._retry_budgets = ServiceRetryBudgets()
        self._requests: dict[str, _RequestState] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._serve_until: float | None = None
        self._handlers = {
            events.RequestArrived: self._on_arrived,
            events.AttemptAccepted: self._on_accepted,
            events.AttemptRefused: self._on_refused,
            events.AttemptFailed: self._on_failed,
            events.AttemptSilent: self._on_silent,
            events.AttemptFinished: self._on_finished,
            events.CallerDisconnected: self._on_caller_disconnected,
            events.VersionBlocked: self._on_version_cut,
            events.Tick: self._on_tick,
            events.StopRequested: self._on_stop,
            events.GraceEnding: self._on_grace_ending,
        }

    @property
    def stopping(self) -> bool:
        """True once a shutdown was requested."""
        return self._serve_until is not None

    @property
    def running(self) -> int:
        """Number of requests without an outcome."""
        return len(self._requests)

    def apply(self, event: Event) -> list[Effect]:
        """Applies an event and returns the effects to execute.

        ``MembersChanged`` and ``ConfigChanged`` have no effect, since candidates are
        ranked for each attempt.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            return []
        if isinstance(event, events.AttemptEvent):
            state = self._requests.get(event.request_id)
            if state is None or state.attempt != event.attempt:
                # A late event of an attempt that was replaced or cancelled.
                return []
            return handler(event, state)
        return handler(event)

    def _on_arrived(self, event: events.RequestArrived) -> list[Effect]:
        state = _RequestState(event)
        self._requests[event.request_id] = state
        if self._serve_until is not None and event.now >= self._serve_until:
            refusal = NotRun(Reason.NOT_READY, RETRY_AFTER_MS, "the router is stopping")
            return self._complete(state, refusal)
        self._retry_budgets.count_request(event.now, event.service)
        entry = (event.deadline_at + DEADLINE_GRACE_S, event.request_id)
        heapq.heappush(self._deadlines, entry)
        return self._dispatch_next(event.now, state)

    def _on_accepted(self, event, state: _RequestState) -> list[Effect]:
        self._avoided.record_reachable(state.agent_id)
        return []

    def _on_refused(self, event, state: _RequestState) -> list[Effect]:
        refusal: NotRun = event.outcome
        if event.unreachable:
            self._avoided.record_unreachable(event.now, state.agent_id)
        else:
            self._avoided.record_refusal(event.now, state.agent_id, refusal.reason)
        state.record_refusal(refusal)
        if refusal.reason is Reason.PREFIX_ELSEWHERE:
            state.redirected_by.add(state.agent_id)
        else:
            state.version_refusals[state.version] += 1
            state.readmit_redirecting_agents()
        line = self._log(
            "attempt refused",
            state,
            reason=refusal.reason.value,
            unreachable=event.unreachable,
        )
        if refusal.reason in FINAL_REASONS:
            return [line, *self._complete(state, state.executed_outcome or refusal)]
        if refusal.reason is Reason.NOT_OWNER and refusal.owner != state.agent_id:
            state.owner_hint = refusal.owner
        return [line, *self._dispatch_next(event.now, state)]

    def _on_failed(self, event, state: _RequestState) -> list[Effect]:
        state.record_executed(event.outcome)
        line = self._log(
            "attempt failed", state, code=event.outcome.code, delivered=event.delivered
        )
        if event.delivered or not self._may_retry(event.now, state):
            return [line, *self._complete(state, state.executed_outcome)]
        return [line, *self._dispatch_next(event.now, state)]

    def _on_silent(self, event, state: _RequestState) -> list[Effect]:
        if state.resumes < MAX_RESUMES:
            state.resumes += 1
            return [
                self._log("attempt silent, resuming", state),
                Resume(event.request_id, event.attempt, state.agent_id),
            ]
        self._avoided.record_unreachable(event.now, state.agent_id)
        outcome = OutcomeUnknown("silent", "the agent stopped answering")
        failed = events.AttemptFailed(
            event.now, event.request_id, event.attempt, outcome, event.delivered
        )
        cancel = CancelAttempt(event.request_id, event.attempt)
        return [cancel, *self._on_failed(failed, state)]

    def _on_finished(self, event, state: _RequestState) -> list[Effect]:
        return self._complete(state, event.outcome)

    def _on_caller_disconnected(self, event: events.CallerDisconnected) -> list[Effect]:
        state = self._requests.pop(event.request_id, None)
        if state is None:
            return []
        effects: list[Effect] = [self._log("caller disconnected", state)]
        if state.attempt:
            effects.append(CancelAttempt(event.request_id, state.attempt))
        return effects

    def _on_version_cut(self, event: events.VersionBlocked) -> list[Effect]:
        self._placement.block_version(event.service, event.version, event.until)
        fields = {"service": event.service, "version": event.version}
        if event.until <= event.now:
            return [Log("version block lifted", fields)]
        fields["reason"] = event.reason
        return [Log("version cut by this router", fields, logging.WARNING)]

    def _on_tick(self, event: events.Tick) -> list[Effect]:
        self._avoided.expire(event.now)
        self._retry_budgets.expire(event.now)
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= event.now:
            _, request_id = heapq.heappop(self._deadlines)
            state = self._requests.get(request_id)
            if state is not None:
                outcome = OutcomeUnknown("deadline", "the deadline passed")
                effects += self._abandon(state, outcome)
        return effects

    def _on_stop(self, event: events.StopRequested) -> list[Effect]:
        self._serve_until = event.serve_until
        return [Log("graceful shutdown started", {"running": self.running})]

    def _on_grace_ending(self, event: events.GraceEnding) -> list[Effect]:
        """Ends all requests, so that their connections close with a response."""
        effects: list[Effect] = []
        for state in list(self._requests.values()):
            outcome = OutcomeUnknown("stopping", "the router stops")
            effects += self._abandon(state, outcome)
        return effects

    def _abandon(self, state: _RequestState, outcome: OutcomeUnknown) -> list[Effect]:
        """Ends a request whose attempt may still run."""
        state.record_executed(outcome)
        cancel = CancelAttempt(state.arrived.request_id, state.attempt)
        return [cancel, *self._complete(state, state.executed_outcome)]

    def _may_retry(self, now: float, state: _RequestState) -> bool:
        if not state.arrived.idempotent:
            return False
        service = state.arrived.service
        share = self._config.settings(service=service).get("routing.retry_budget")
        return self._retry_budgets.try_acquire(now, service, share)

    def _dispatch_next(self, now: float, state: _RequestState) -> list[Effect]:
        """Dispatches the next attempt, or ends the request without one."""
        arrived = state.arrived
        settings = self._config.settings(service=arrived.service)
        if now >= arrived.deadline_at:
            expired = NotRun(Reason.DEADLINE, 0, "the deadline passed before a start")
            return self._complete(state, state.executed_outcome or expired)
        agent = None
        if state.attempt < settings.get("routing.max_attempts"):
            agent = self._select_agent(now, state)
            if agent is None and state.redirected_by:
                state.readmit_redirecting_agents()
                agent = self._select_agent(now, state)
        if agent is None:
            no_agent = NotRun(
                Reason.BACKEND_DOWN, RETRY_AFTER_MS, "no agent is available"
            )
            return self._complete(
                state, state.executed_outcome or state.refusal or no_agent
            )
        state.attempt += 1
        state.resumes = 0
        state.agent_id = agent.id
        state.version = agent.version
        state.tried_agents.add(agent.id)
        return [Dispatch(arrived.request_id, state.attempt, agent.id)]

    def _select_agent(self, now: float, state: _RequestState) -> Member | None:
        arrived = state.arrived
        owner = ""
        if not arrived.idempotent and arrived.partition != events.NO_PARTITION:
            owner = self._config.head(arrived.service, arrived.partition).owner
        owner_hint, state.owner_hint = state.owner_hint, ""
        if self._avoided.is_unreachable(now, owner_hint):
            # Agents name an unreachable owner until the partition is taken over.
            owner_hint = ""
        key = PlacementKey(
            arrived.service,
            arrived.workspace,
            arrived.chat_key,
            owner_hint or owner,
            arrived.request_id,
        )
        candidates = self._placement.candidates(
            now, key, lambda agent_id: self._avoided.is_avoided(now, agent_id)
        )
        if arrived.idempotent:
            refusals = state.version_refusals
            candidates.sort(key=lambda m: refusals[m.version] >= MAX_VERSION_REFUSALS)
        for member in candidates:
            # The named owner is tried even if it refused before, because it may have
            # become the owner since.
            if member.id == owner_hint or member.id not in state.tried_agents:
                return member
        return None

    def _complete(self, state: _RequestState, outcome: Outcome) -> list[Effect]:
        request_id = state.arrived.request_id
        self._requests.pop(request_id, None)
        effects: list[Effect] = [CompleteRequest(request_id, outcome)]
        if isinstance(outcome, Finished):
            effects.append(
                self._log(
                    "request answered",
                    state,
                    status=outcome.status,
                    prompt_tokens=outcome.prompt_tokens,
                    cached_tokens=outcome.cached_tokens,
                )
            )
        else:
            detail = getattr(outcome, "reason", None)
            cause = detail.value if detail else outcome.code
            name = type(outcome).__name__
            effects.append(
                self._log("request not answered", state, outcome=name, cause=cause)
            )
        return effects

    def _log(self, message: str, state: _RequestState, **fields) -> Log:
        values = {
            "request_id": state.arrived.request_id,
            "service": state.arrived.service,
            "workspace": state.arrived.workspace,
            "attempt": state.attempt,
            "agent": state.agent_id,
        }
        return Log(message, values | fields)
